"""A fleet's limits under faults: routers with clocks of their own, late and lost notes, stalls, restarts.

Seeded and driven by events. The lease is a stand-in: one holder at a time in true time, each believing so
for less. What was admitted is judged from outside, in true time and without a look at anybody's books.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from paddlequay.cluster.fleet_limits import FleetLimits, Rejection
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import (
    Action,
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    NameDigest,
    Peer,
    SendMessage,
)
from paddlequay.lab.limit_audit import Audit

WHAT = ((LimitScope.CLASS, "c"), (LimitScope.TENANT, "t"), (LimitScope.SOURCE, "s"))


@dataclass(slots=True)
class Proc:
    """A router's machine and the process that runs on it."""

    me: Peer
    rate: float  # of its clock to true time
    offset: float
    limits: FleetLimits = field(init=False)
    incarnation: int = 0
    stalled: float = 0.0  # until when, true time
    demand: float = 0.0  # requests a second
    lasts: float = 0.3
    leases: dict[NameDigest, tuple[int, float]] = field(default_factory=dict)
    ticks: float = -1.0
    side: int = 0
    loss: float = 0.0  # of its notes, either way
    started: int = 0  # requests admitted
    far: float = 0.0  # seconds by which what it is sent is late at most

    def clock(self, at: float) -> float:
        return self.offset + self.rate * at


class World:
    def __init__(
        self,
        seed: int,
        size: int,
        rules: tuple[LimitRule, ...],
        kind: type[FleetLimits] = FleetLimits,
        clocks: float = 0.05,
        shut: float = 1.0,
        stay: float = 0.0,
        fast: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.rules, self.kind, self.shut, self.stay, self.fast = rules, kind, shut, stay, fast
        self.bounds = ClusterBounds()
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.steps = 0
        self.loss = self.twice = 0.0
        self.tail = 0.02  # of notes that are late by up to 2.5 s
        self.link: Callable[[Proc, Proc, SendMessage], float | None] = self.chance
        self.chosen: Peer | None = None  # takes the leases first
        self.audits = {rule.name: Audit(rule) for rule in rules}
        self.holder: dict[NameDigest, tuple[Peer, int, int, float]] = {}  # who, incarnation, term, until
        self.term = 0
        self.procs = [
            Proc(me, 1 + self.rng.uniform(-clocks, clocks), self.rng.uniform(0, 1e4)) for me in range(size)
        ]
        for proc in self.procs:
            self.start(proc, first=True)
            self.at(self.rng.random() * 0.01, partial(self.arrive, proc))
        self.at(0.0, self.lease)

    def at(self, when: float, do: Callable[[], None]) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.order), do))

    def run(self, until: float) -> "World":
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            self.steps += 1
            do()
        self.now = until
        return self

    # --- processes ---

    def start(self, proc: Proc, first: bool = False) -> None:
        """A new process in the place of one that is gone at this moment; its requests may go on."""
        proc.incarnation += 1
        proc.leases = {}
        proc.stalled = 0.0
        proc.ticks = -1.0
        proc.limits = self.kind(
            Fleet(proc.me, len(self.procs)),
            self.bounds,
            self.rules,
            lambda lease, now: self.holds(proc, lease, now),
            proc.incarnation,
            proc.clock(self.now),
            max_request_s=self.shut,
            slot_grant_extension_s=self.stay,
            is_first_process=first,
            fast_ratio=self.fast,
        )

    def holds(self, proc: Proc, lease: NameDigest, now: float) -> int | None:
        term, until = proc.leases.get(lease, (0, 0.0))
        return term if now < until else None

    def stall(self, proc: Proc, seconds: float) -> None:
        proc.stalled = max(proc.stalled, self.now + seconds)

    def awake(self, proc: Proc, again: Callable[[], None]) -> bool:
        """Whether the process runs; else it goes on with this when it does."""
        if proc.stalled > self.now:
            self.at(proc.stalled + self.rng.random() * 0.002, again)
            return False
        return True

    def arrive(self, proc: Proc) -> None:
        if not self.awake(proc, partial(self.arrive, proc)):
            return
        wait = self.rng.expovariate(proc.demand) if proc.demand else 0.05
        self.at(self.now + wait, partial(self.arrive, proc))
        if proc.demand:
            self.request(proc)

    def surge(self, each: int) -> None:
        """So many requests at every router at this moment: all that the fleet has tokens and places for."""
        for proc in self.procs * each:
            self.at(self.now + self.rng.random() * 0.001, partial(self.request, proc))

    def request(self, proc: Proc) -> None:
        if not self.awake(proc, partial(self.request, proc)):
            return
        lasts = proc.lasts
        got = proc.limits.admit_all(WHAT, proc.clock(self.now), lasts)
        if not isinstance(got, Rejection):
            proc.started += 1
            # As long as it may, or shorter; where it is cut short the router says so.
            held = lasts * self.rng.choice((0.2, 0.6, 1.0)) / proc.rate
            limits = proc.limits
            for audit in self.audits.values():
                audit.add(self.now, self.now + held)
            self.at(self.now + held, lambda: limits.release(got, proc.clock(self.now)))
        self.arm(proc)

    def arm(self, proc: Proc) -> None:
        """Have the process ticked when it is due."""
        due = (proc.limits.due() - proc.offset) / proc.rate
        if due < float("inf") and not (self.now <= proc.ticks <= due):
            proc.ticks = max(due, self.now)
            self.at(proc.ticks, partial(self.tick, proc))

    def tick(self, proc: Proc) -> None:
        if self.awake(proc, partial(self.tick, proc)):
            proc.ticks = -1.0
            self.send(proc, proc.limits.tick(proc.clock(self.now)))
            self.arm(proc)

    def send(self, proc: Proc, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, SendMessage)
            for other in self.procs:
                if other is proc or action.to not in (None, other.me) or other.side != proc.side:
                    continue
                for _ in range(2 if self.rng.random() < self.twice else 1):
                    late = self.link(proc, other, action)
                    if late is not None:
                        self.carry(proc, other, action, late)

    def chance(self, proc: Proc, other: Proc, send: SendMessage) -> float | None:
        """How late a note is, None: lost."""
        if self.rng.random() < max(self.loss, proc.loss, other.loss):
            return None
        late = 2.5 if self.rng.random() < self.tail else 0.01
        return self.rng.random() * late + other.far * self.rng.uniform(0.5, 1)

    def carry(self, proc: Proc, other: Proc, send: SendMessage, delay: float) -> None:
        sender, incarnation = proc.me, proc.incarnation

        def come() -> None:
            if self.awake(other, come):
                now = other.clock(self.now)
                self.send(other, other.limits.handle_message(sender, incarnation, send.message, now))
                self.arm(other)

        self.at(self.now + delay, come)

    # --- the lease ---

    def lease(self) -> None:
        """Renew leases, or give them to others once they have run out: only on a side with a majority."""
        self.at(self.now + 0.1, self.lease)
        ready = [proc for proc in self.procs if proc.stalled <= self.now]
        sides = Counter(proc.side for proc in self.procs)
        ready = [proc for proc in ready if sides[proc.side] * 2 > len(self.procs)]
        for lease in self.procs[0].limits.leases:
            who, incarnation, term, until = self.holder.get(lease, (-1, 0, 0, 0.0))
            holds = [proc for proc in ready if proc.me == who and proc.incarnation == incarnation]
            if (not holds or self.now > until) and until <= self.now and ready:
                self.term = term = self.term + 1
                holds = [proc for proc in ready if proc.me == self.chosen][:1] or [self.rng.choice(ready)]
                self.chosen = None
            for proc in holds:
                here = proc.clock(self.now)
                taken = proc.leases.get(lease, (0, 0.0))[0] != term
                proc.leases[lease] = term, here + self.bounds.lease_s * (1 - self.bounds.drift_ratio)
                self.holder[lease] = proc.me, proc.incarnation, term, self.now + self.bounds.lease_s
                if taken:
                    proc.limits.handle_event(LeaseAcquired(lease, term, here + self.bounds.lease_s), here)
                    for other in ready:
                        if other is not proc and self.rng.random() < 0.8:
                            other.limits.handle_event(
                                HolderObserved(lease, proc.me, term), other.clock(self.now)
                            )
