"""Virtual time, and transfers that share a way out in equal parts."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Virtual time: what is due, in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = itertools.count()

    def later(self, delay: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.serial), act))

    def run(self) -> None:
        while self.due:
            self.now, _, act = heapq.heappop(self.due)
            act()


class Pipe:
    """So many transfers run at `pace`; more share what that is in equal parts."""

    def __init__(self, clock: Clock, fits: float, pace: float = 1.0) -> None:
        self.clock, self.fits, self.pace = clock, fits, pace
        self.done = 0.0  # work done on each transfer that has been there from the beginning
        self.at = 0.0
        self.busy = 0.0  # seconds of use, as parts of the whole
        self.ends: list[tuple[float, int, Callable[[], None]]] = []
        self.given_up: set[int] = set()
        self.version = 0

    @property
    def active(self) -> int:
        return len(self.ends) - len(self.given_up)

    def settle(self) -> None:
        since, self.at = self.clock.now - self.at, self.clock.now
        if self.active:
            self.done += since * self.pace * min(1.0, self.fits / self.active)
            self.busy += since * min(1.0, self.active / self.fits)
        while self.ends and self.ends[0][1] in self.given_up:
            self.given_up.discard(heapq.heappop(self.ends)[1])

    def plan(self) -> None:
        self.version += 1
        if self.ends:
            left = max(0.0, self.ends[0][0] - self.done)
            rate = self.pace * min(1.0, self.fits / max(1, self.active))
            self.clock.later(left / rate, lambda version=self.version: self.step(version))  # type: ignore[misc]

    def step(self, version: int) -> None:
        if version != self.version:
            return
        self.settle()
        over = []
        while self.ends and (self.ends[0][1] in self.given_up or self.ends[0][0] <= self.done + 1e-9):
            _, number, act = heapq.heappop(self.ends)
            if number in self.given_up:
                self.given_up.discard(number)
            else:
                over.append(act)
        self.plan()
        for act in over:
            act()

    def add(self, work: float, act: Callable[[], None]) -> int:
        self.settle()
        number = next(self.clock.serial)
        heapq.heappush(self.ends, (self.done + work, number, act))
        self.plan()
        return number

    def drop(self, number: int) -> None:
        self.settle()
        if any(number == each for _, each, _ in self.ends):
            self.given_up.add(number)
        self.settle()
        self.plan()
