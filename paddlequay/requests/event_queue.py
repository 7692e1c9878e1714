"""Delivers the events of the exchange to the decisions one after another."""

from collections import deque
from collections.abc import Callable

from paddlequay.routing.interface import Event


class EventQueue:
    """Calls `handle` for each event; events raised while one is handled wait for its end."""

    def __init__(self, handle: Callable[[Event], None]) -> None:
        self.handle = handle
        self.waiting: deque[Event] = deque()
        self.is_delivering = False

    def append(self, event: Event) -> None:
        """Queues an event behind the one that is being handled."""
        self.waiting.append(event)

    def deliver(self, event: Event) -> None:
        """Handles an event at once, unless another one is being handled."""
        self.waiting.append(event)
        if self.is_delivering:
            return
        self.is_delivering = True
        try:
            while self.waiting:
                self.handle(self.waiting.popleft())
        finally:
            self.is_delivering = False
