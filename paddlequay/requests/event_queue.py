"""Delivers the events of the exchange to the routing policy one at a time."""

from collections import deque
from collections.abc import Callable

from paddlequay.routing.interface import Event


class RoutingEventQueue:
    """Calls `handle` for each event; an event raised meanwhile waits until that call has ended."""

    def __init__(self, handle: Callable[[Event], None]) -> None:
        self.handle = handle
        self.waiting: deque[Event] = deque()
        self.is_delivering = False

    def append(self, event: Event) -> None:
        """Queues an event, to be handled after the current one."""
        self.waiting.append(event)

    def deliver(self, event: Event) -> None:
        """Handles an event at once, or after the current one if one is being handled."""
        self.waiting.append(event)
        if self.is_delivering:
            return
        self.is_delivering = True
        try:
            while self.waiting:
                self.handle(self.waiting.popleft())
        finally:
            self.is_delivering = False
