"""Times at which an address is to be decided anew."""

import heapq
from collections.abc import Iterator

from paddlequay.discovery.reports import Address


class AddressTimers:
    """A heap of times, in seconds of one clock; of equal times the one scheduled first comes first."""

    def __init__(self) -> None:
        self.timers: list[tuple[float, int, Address]] = []
        self.last_serial = 0

    def schedule(self, when: float, address: Address) -> None:
        """Have an address come due at a time."""
        self.last_serial += 1
        heapq.heappush(self.timers, (when, self.last_serial, address))

    def due(self, now: float) -> Iterator[Address]:
        """The addresses that are due, which are scheduled no more."""
        while self.timers and self.timers[0][0] <= now:
            yield heapq.heappop(self.timers)[2]
