"""The connection of one watch, and the events and the parser that a watch needs."""

import socket
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

from tornado.iostream import IOStream

EventT = TypeVar("EventT", covariant=True)


class NumberedEvent(Protocol):
    """An event of a stream whose numbers increase."""

    @property
    def number(self) -> int:
        """The place of the event in its stream."""
        ...


class EventParser(Protocol[EventT]):
    """Parses the received bytes of one connection. Raises nothing."""

    def feed(self, data: bytes) -> Iterator[EventT]:
        """Returns the events that are complete with these bytes."""
        ...


class WatchConnection(IOStream):
    """One connection of a watch client, which is notified in the same iteration in which it closes.

    Other connections wait for the file descriptor, so the client must reserve it at once.

    Args:
        connecting: The unconnected socket.
        on_closed: Called once the file descriptor is closed.
        now: The time in seconds of the event loop's clock.

    Attributes:
        read_at: When bytes were last received, or the connection was begun, by the event loop's clock.
        is_dropped: Whether its events and its end are ignored.
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
