"""The requests that wait for fills, ordered by deadline."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from paddlequay.hierarchy.fill_requests import FillRequest

# The heap is cleared of closed requests once it has this many entries more than twice the waiting requests.
MAX_CLOSED_ENTRIES = 1000


class Deadline(NamedTuple):
    """When a request times out, in Unix seconds; `number` orders requests with equal deadlines."""

    expires_at: float
    number: int
    request: FillRequest


class WaitingRequests:
    """Counts the waiting requests and orders them by deadline."""

    def __init__(self) -> None:
        self.count = 0
        self.deadlines: list[Deadline] = []  # a heap
        self.last_number = 0

    def add(self, request: FillRequest) -> None:
        """Adds a request and marks it as waiting."""
        request.is_waiting = True
        self.count += 1
        self.last_number += 1
        heapq.heappush(self.deadlines, Deadline(request.deadline, self.last_number, request))
        if len(self.deadlines) > 2 * self.count + MAX_CLOSED_ENTRIES:
            self._drop_closed()

    def remove(self, request: FillRequest) -> None:
        """Stops counting a request; its heap entry stays and is skipped when it comes up."""
        if request.is_waiting:
            request.is_waiting = False
            self.count -= 1

    def pop_expired(self, now: float) -> Iterator[FillRequest]:
        """Removes and yields the open requests whose deadline has passed; `now` is in Unix seconds."""
        while self.deadlines:
            earliest = self.deadlines[0]
            if earliest.expires_at > now and not earliest.request.is_closed:
                return
            heapq.heappop(self.deadlines)
            if not earliest.request.is_closed:
                yield earliest.request

    def _drop_closed(self) -> None:
        self.deadlines = [deadline for deadline in self.deadlines if not deadline.request.is_closed]
        heapq.heapify(self.deadlines)
