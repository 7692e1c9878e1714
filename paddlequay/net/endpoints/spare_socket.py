"""A socket held in reserve, to open a connection when no file descriptor is left."""

import contextlib
import socket


class SpareSocket:
    """Holds at most one unconnected TCP socket."""

    def __init__(self) -> None:
        self.socket: socket.socket | None = None

    def reserve(self) -> None:
        """Reserves a socket if there is a descriptor for it."""
        if self.socket is None:
            with contextlib.suppress(OSError):
                self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def take(self) -> socket.socket:
        """Returns the reserved socket, or a new one, and reserves another if there is a descriptor for it.

        Raises:
            OSError: If there is no descriptor at all.
        """
        taken = self.socket or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket = None
        self.reserve()
        return taken

    def close(self) -> None:
        """Closes the reserved socket."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
