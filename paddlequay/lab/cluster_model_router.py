"""A simulated machine with a router's process, and the scheduled calls and the history of a simulation."""

import hashlib
import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.types import NEVER, Peer

LONG_AGO_S = -1e9
SLICE_S = 0.25  # period in which a process on a shared core runs once, for `SLICE_RUN_RATIO` of it
SLICE_RUN_RATIO = 0.2
SLICE_PHASE_S = 0.037  # offset between the slices of routers with consecutive numbers


class CallScheduler:
    """Runs scheduled calls in true time, from 0 s. Calls at the same time run in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = count()
        self._calls: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []

    def schedule(self, when: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at a true time, or now if that time has passed."""
        heapq.heappush(self._calls, (max(when, self.now), next(self._order), call, arguments))

    def run(self, until: float) -> None:
        """Runs all calls that are due by a true time, and advances the present time to it."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._calls)
            call(*arguments)
        self.now = until


class History:
    """The digest and the number of all events of a simulation, by which two runs are compared."""

    def __init__(self) -> None:
        self._hash = hashlib.blake2b(digest_size=16)
        self.event_count = 0

    def add(self, now: float, values: tuple[object, ...]) -> None:
        """Adds an event at a true time."""
        self.event_count += 1
        self._hash.update(repr((round(now, 9), values)).encode())

    def digest(self) -> str:
        """Returns the digest in hexadecimal."""
        return self._hash.hexdigest()


@dataclass(slots=True, eq=False)
class SimulatedRouter:
    """A machine with its own clock, and the process that runs on it. Times are true seconds."""

    number: Peer
    zone: str
    clock_rate: float  # seconds of the clock in a true second
    clock_offset_s: float
    node: ClusterNode | None = None  # None: no process runs
    process_count: int = 0
    stalled_until: float = 0.0
    shares_core: bool = False  # runs for a part of each scheduling slice only
    extra_delay_s: float = 0.0  # of each datagram to or from the router
    loss_ratio: float = 0.0
    zone_partition_count: int = 0  # faults that currently separate its zone from the others
    zone_partition_ended_at: float = LONG_AGO_S
    partition_side: int = 0
    death_excused_until: float = 0.0  # others may declare it dead until then
    socket_buffer: deque[tuple[bytes, Peer]] = field(default_factory=deque)
    next_call_at: float = NEVER
    sent_bytes: int = 0  # counted once for each receiver
    cpu_ns: int = 0  # CPU time of the calls of its process

    def local_time(self, true_time: float) -> float:
        """Returns the time of its clock at a true time."""
        return self.clock_offset_s + self.clock_rate * true_time

    def true_time(self, local_time: float) -> float:
        """Returns the true time that belongs to a time of its clock."""
        return (local_time - self.clock_offset_s) / self.clock_rate

    def next_run_time(self, now: float) -> float:
        """Returns the true time at which its process runs next, `now` or later."""
        when = max(now, self.stalled_until)
        if self.shares_core:
            phase_s = (when + self.number * SLICE_PHASE_S) % SLICE_S
            if phase_s >= SLICE_S * SLICE_RUN_RATIO:
                when += SLICE_S - phase_s
        return when

    def is_running(self, now: float) -> bool:
        """Returns whether its process runs at a true time."""
        return self.node is not None and self.next_run_time(now) <= now

    def excuse_death(self, until: float) -> None:
        """Allows others to declare it dead until a true time, because of a fault."""
        self.death_excused_until = max(self.death_excused_until, until)
