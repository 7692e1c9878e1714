"""The connection of one watch, and the interfaces of events and parsers."""

import socket
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

from tornado.iostream import IOStream

EventT = TypeVar("EventT", covariant=True)


class NumberedEvent(Protocol):
    """An event of a stream in which the event numbers increase."""

    @property
    def number(self) -> int:
        """The number of the event in its stream."""
        ...


class EventParser(Protocol[EventT]):
    """Parses the received bytes of one connection. Raises nothing."""

    def feed(self, data: bytes) -> Iterator[EventT]:
        """Yields the events that these bytes complete."""
        ...


class WatchConnection(IOStream):
    """One connection of a watch client, which it notifies in the event loop iteration in which it closes.

    The client must reserve the file descriptor at once, as other connections may be waiting for one.

    Args:
        connecting: The unconnected socket.
        on_closed: Called once the file descriptor is closed.
        now: The time in seconds of the event loop's clock.

    Attributes:
        read_at: When bytes were last received, at first the time of creation, by the event loop's clock.
        is_dropped: Whether the client ignores its events and its end.
    """

    def __init__(self, connecting: socket.socket, on_closed: Callable[[], None], now: float) -> None:
        self.on_closed = on_closed
        self.read_at = now
        self.is_dropped = False
        super().__init__(connecting)

    def close_fd(self) -> None:
        """Closes the file descriptor and notifies the client."""
        super().close_fd()
        self.on_closed()
