"""Timers at which the membership evaluates addresses again."""

import heapq
from collections.abc import Iterator

from paddlequay.routing.membership_state import Address


class AddressTimers:
    """A heap of timers in seconds of one clock; equal times expire in the order of scheduling."""

    def __init__(self) -> None:
        self.timers: list[tuple[float, int, Address]] = []
        self.last_serial = 0

    def schedule(self, when: float, address: Address) -> None:
        """Schedules the evaluation of an address."""
        self.last_serial += 1
        heapq.heappush(self.timers, (when, self.last_serial, address))

    def due(self, now: float) -> Iterator[Address]:
        """Yields the addresses whose timers have expired, and removes these timers."""
        while self.timers and self.timers[0][0] <= now:
            yield heapq.heappop(self.timers)[2]
