"""A fleet's limits under faults: routers with clocks of their own, late and lost messages, stalls, restarts.

Seeded and driven by events. The lease is a stand-in: one holder at a time in true time, each of which
believes so for less. What was admitted is judged from outside, in true time and without a look at any ledger.
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
from paddlequay.lab.limit_audit import LimitAudit

REQUEST_KEYS = ((LimitScope.CLASS, "c"), (LimitScope.TENANT, "t"), (LimitScope.SOURCE, "s"))
LEASE_CHECK_S = 0.1
IDLE_CHECK_S = 0.05  # after which a router without demand looks whether it has some
USUAL_DELAY_S = 0.01
LONG_DELAY_S = 2.5


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that a process believes to hold, until a moment of its clock."""

    term: int
    until: float


NOT_HELD = HeldLease(0, 0.0)


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The true holder of a lease, until a moment of true time."""

    holder: Peer
    incarnation: int
    term: int
    until: float


NO_HOLDER = LeaseRecord(-1, 0, 0, 0.0)


@dataclass(slots=True)
class SimulatedRouter:
    """A router's machine, and the process that runs on it.

    Attributes:
        clock_rate: Of its clock to true time.
        offset: Of its clock at the true time 0.
        stalled_until: True time; the process does nothing before.
        demand_per_s: Requests that arrive.
        duration_s: How long a request lasts at most.
        next_tick_at: True time; below 0 where none is scheduled.
        side: Routers of different sides cannot reach each other.
        loss: The share of its messages that are lost, either way.
        extra_delay_s: By how much messages to it are late at most.
        admitted: Requests that it has admitted.
    """

    me: Peer
    clock_rate: float
    offset: float
    limits: FleetLimits = field(init=False)
    incarnation: int = 0
    stalled_until: float = 0.0
    demand_per_s: float = 0.0
    duration_s: float = 0.3
    leases: dict[NameDigest, HeldLease] = field(default_factory=dict)
    next_tick_at: float = -1.0
    side: int = 0
    loss: float = 0.0
    extra_delay_s: float = 0.0
    admitted: int = 0

    def clock(self, true_time: float) -> float:
        """Returns what its clock shows at a true time."""
        return self.offset + self.clock_rate * true_time

    def held_term(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which the process believes to hold a lease at a moment of its clock."""
        held = self.leases.get(lease, NOT_HELD)
        return held.term if now < held.until else None


Link = Callable[[SimulatedRouter, SimulatedRouter, SendMessage], float | None]


class SimulatedLeases:
    """Stands in for the leases: one holder at a time in true time, on a side with a majority only.

    Attributes:
        records: The true holders, by lease.
        first_holder: The router that acquires the leases first, None for a drawn one.
    """

    def __init__(self, world: "LimitWorld") -> None:
        self.world = world
        self.records: dict[NameDigest, LeaseRecord] = {}
        self.first_holder: Peer | None = None
        self._term = 0

    def renew(self) -> None:
        """Renews leases, or gives those that have run out to others; schedules itself again."""
        world = self.world
        world.at(world.now + LEASE_CHECK_S, self.renew)
        sides = Counter(router.side for router in world.routers)
        eligible = [
            router
            for router in world.routers
            if router.stalled_until <= world.now and sides[router.side] * 2 > len(world.routers)
        ]
        for lease in world.routers[0].limits.leases:
            self._renew_one(lease, eligible)

    def _renew_one(self, lease: NameDigest, eligible: list[SimulatedRouter]) -> None:
        record = self.records.get(lease, NO_HOLDER)
        term = record.term
        holders = [
            router
            for router in eligible
            if (router.me, router.incarnation) == (record.holder, record.incarnation)
        ]
        has_expired = record.until <= self.world.now
        if (not holders or self.world.now > record.until) and has_expired and eligible:
            self._term += 1
            term = self._term
            chosen = [router for router in eligible if router.me == self.first_holder]
            holders = chosen[:1] or [self.world.rng.choice(eligible)]
            self.first_holder = None
        for router in holders:
            self._hold(lease, router, term, eligible)

    def _hold(
        self, lease: NameDigest, router: SimulatedRouter, term: int, eligible: list[SimulatedRouter]
    ) -> None:
        """Lets a router hold a lease for its whole length, and tells the others of a new holder."""
        bounds = self.world.bounds
        now = router.clock(self.world.now)
        is_new = router.leases.get(lease, NOT_HELD).term != term
        believed_s = bounds.lease_s * (1 - bounds.drift_ratio)
        router.leases[lease] = HeldLease(term, now + believed_s)
        until = self.world.now + bounds.lease_s
        self.records[lease] = LeaseRecord(router.me, router.incarnation, term, until)
        if not is_new:
            return
        router.limits.handle_event(LeaseAcquired(lease, term, now + bounds.lease_s), now)
        for other in eligible:
            if other is not router and self.world.rng.random() < 0.8:
                observed = HolderObserved(lease, router.me, term)
                other.limits.handle_event(observed, other.clock(self.world.now))


class LimitWorld:
    """A fleet, its load and its faults.

    Args:
        seed: Of all draws.
        size: The number of routers.
        rules: The limits.
        kind: The limits' class, the product's or one without a guard.
        clock_error: The most by which clocks run fast or slow.
        max_request_s: As `FleetLimits` takes it.
        slot_grant_extension_s: As `FleetLimits` takes it.
        fast_ratio: As `FleetLimits` takes it.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        rules: tuple[LimitRule, ...],
        kind: type[FleetLimits] = FleetLimits,
        clock_error: float = 0.05,
        max_request_s: float = 1.0,
        slot_grant_extension_s: float = 0.0,
        fast_ratio: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.rules = rules
        self.kind = kind
        self.max_request_s = max_request_s
        self.slot_grant_extension_s = slot_grant_extension_s
        self.fast_ratio = fast_ratio
        self.bounds = ClusterBounds()
        self.now = 0.0
        self.steps = 0
        self.loss = 0.0
        self.duplicates = 0.0
        self.long_delays = 0.02  # the share of messages that are late by up to `LONG_DELAY_S`
        self.link: Link = self.draw_delay
        self.audits = {rule.name: LimitAudit(rule) for rule in rules}
        self.leases = SimulatedLeases(self)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.routers = [
            SimulatedRouter(me, 1 + self.rng.uniform(-clock_error, clock_error), self.rng.uniform(0, 1e4))
            for me in range(size)
        ]
        for router in self.routers:
            self.start(router, is_first_process=True)
            self.at(self.rng.random() * 0.01, partial(self.arrive, router))
        self.at(0.0, self.leases.renew)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call at a true time."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), call))

    def run(self, until: float) -> "LimitWorld":
        """Runs until a true time; returns itself."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            self.steps += 1
            call()
        self.now = until
        return self

    # --- processes ---

    def start(self, router: SimulatedRouter, is_first_process: bool = False) -> None:
        """Starts a process in place of the one before, whose requests may stay in flight."""
        router.incarnation += 1
        router.leases = {}
        router.stalled_until = 0.0
        router.next_tick_at = -1.0
        router.limits = self.kind(
            Fleet(router.me, len(self.routers)),
            self.bounds,
            self.rules,
            router.held_term,
            router.incarnation,
            router.clock(self.now),
            max_request_s=self.max_request_s,
            slot_grant_extension_s=self.slot_grant_extension_s,
            is_first_process=is_first_process,
            fast_ratio=self.fast_ratio,
        )

    def stall(self, router: SimulatedRouter, seconds: float) -> None:
        """Stops a process for a while."""
        router.stalled_until = max(router.stalled_until, self.now + seconds)

    def _is_running(self, router: SimulatedRouter, call: Callable[[], None]) -> bool:
        """Returns whether the process runs; else schedules the call for when it continues."""
        if router.stalled_until > self.now:
            self.at(router.stalled_until + self.rng.random() * 0.002, call)
            return False
        return True

    # --- load ---

    def arrive(self, router: SimulatedRouter) -> None:
        """Has a request arrive at a router, and schedules the next one."""
        if not self._is_running(router, partial(self.arrive, router)):
            return
        wait = self.rng.expovariate(router.demand_per_s) if router.demand_per_s else IDLE_CHECK_S
        self.at(self.now + wait, partial(self.arrive, router))
        if router.demand_per_s:
            self.request(router)

    def surge(self, per_router: int) -> None:
        """Sends so many requests to every router at once: all that the fleet has tokens and slots for."""
        for router in self.routers * per_router:
            self.at(self.now + self.rng.random() * 0.001, partial(self.request, router))

    def request(self, router: SimulatedRouter) -> None:
        """Sends a request to a router; an admitted one ends by its time-out, or earlier."""
        if not self._is_running(router, partial(self.request, router)):
            return
        duration_s = router.duration_s
        limits = router.limits
        answer = limits.admit_all(REQUEST_KEYS, router.clock(self.now), duration_s)
        if not isinstance(answer, Rejection):
            router.admitted += 1
            true_duration_s = duration_s * self.rng.choice((0.2, 0.6, 1.0)) / router.clock_rate
            for audit in self.audits.values():
                audit.add(self.now, self.now + true_duration_s)
            self.at(self.now + true_duration_s, lambda: limits.release(answer, router.clock(self.now)))
        self._schedule_tick(router)

    # --- time and messages ---

    def _schedule_tick(self, router: SimulatedRouter) -> None:
        due = (router.limits.due() - router.offset) / router.clock_rate
        if due < float("inf") and not (self.now <= router.next_tick_at <= due):
            router.next_tick_at = max(due, self.now)
            self.at(router.next_tick_at, partial(self._tick, router))

    def _tick(self, router: SimulatedRouter) -> None:
        if self._is_running(router, partial(self._tick, router)):
            router.next_tick_at = -1.0
            self._send(router, router.limits.tick(router.clock(self.now)))
            self._schedule_tick(router)

    def _send(self, router: SimulatedRouter, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, SendMessage)
            for other in self.routers:
                is_receiver = action.to in (None, other.me) and other is not router
                if not is_receiver or other.side != router.side:
                    continue
                for _ in range(2 if self.rng.random() < self.duplicates else 1):
                    delay_s = self.link(router, other, action)
                    if delay_s is not None:
                        self._carry(router, other, action, delay_s)

    def draw_delay(
        self, router: SimulatedRouter, other: SimulatedRouter, action: SendMessage
    ) -> float | None:
        """Draws the delay of a message in seconds, None for a lost one."""
        if self.rng.random() < max(self.loss, router.loss, other.loss):
            return None
        max_delay_s = LONG_DELAY_S if self.rng.random() < self.long_delays else USUAL_DELAY_S
        return self.rng.random() * max_delay_s + other.extra_delay_s * self.rng.uniform(0.5, 1)

    def _carry(
        self, router: SimulatedRouter, other: SimulatedRouter, action: SendMessage, delay_s: float
    ) -> None:
        sender = router.me
        incarnation = router.incarnation

        def deliver() -> None:
            if self._is_running(other, deliver):
                now = other.clock(self.now)
                answers = other.limits.handle_message(sender, incarnation, action.message, now)
                self._send(other, answers)
                self._schedule_tick(other)

        self.at(self.now + delay_s, deliver)
