"""A reserved socket, so that a connection can be opened when no file descriptor is free."""

import contextlib
import socket


class SpareSocket:
    """Holds at most one unconnected TCP socket."""

    def __init__(self) -> None:
        self.socket: socket.socket | None = None

    def reserve(self) -> None:
        """Reserves a socket if none is reserved and a file descriptor is free."""
        if self.socket is None:
            with contextlib.suppress(OSError):
                self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def take_socket(self) -> socket.socket:
        """Returns the reserved socket, or else a new one, and reserves another if a file descriptor is free.

        Raises:
            OSError: No socket is reserved and no file descriptor is free.
        """
        reserved = self.socket or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket = None
        self.reserve()
        return reserved

    def close(self) -> None:
        """Closes the reserved socket."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
