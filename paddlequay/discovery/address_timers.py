"""Timers by which the membership decides anew about addresses."""

import heapq
from collections.abc import Iterator

from paddlequay.discovery.reports import Address


class AddressTimers:
    """A heap of times in seconds of one clock; equal times come due in the order of scheduling."""

    def __init__(self) -> None:
        self.timers: list[tuple[float, int, Address]] = []
        self.last_serial = 0

    def schedule(self, when: float, address: Address) -> None:
        """Schedules a decision about an address."""
        self.last_serial += 1
        heapq.heappush(self.timers, (when, self.last_serial, address))

    def due(self, now: float) -> Iterator[Address]:
        """Yields and removes the addresses that are due."""
        while self.timers and self.timers[0][0] <= now:
            yield heapq.heappop(self.timers)[2]
