"""A socket held in reserve, for a connection that has to be made while all other descriptors are taken."""

import contextlib
import socket


class SpareSocket:
    """At most one unconnected TCP socket."""

    def __init__(self) -> None:
        self.socket: socket.socket | None = None

    def reserve(self) -> None:
        """Hold a socket, if there is a descriptor for it."""
        if self.socket is None:
            with contextlib.suppress(OSError):
                self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def take(self) -> socket.socket:
        """The socket in reserve, or a new one, and another in reserve if there is one to be had.

        Raises OSError where there is no descriptor at all.
        """
        taken = self.socket or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket = None
        self.reserve()
        return taken

    def close(self) -> None:
        """Hold none any more."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
