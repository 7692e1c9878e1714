"""A simulation of fleet limits under faults: clock drift, late and lost messages, stalls and restarts.

The simulation is event-driven and seeded. Leases are simulated, not negotiated: at each instant of true time
a lease has at most one holder, which considers it expired before its true end. `LimitAudit` checks the
admitted requests in true time, without reading the routers' own ledgers.
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
IDLE_CHECK_S = 0.05  # interval at which a router without demand checks whether it has got any
USUAL_DELAY_S = 0.01
LONG_DELAY_S = 2.5


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that a process believes it holds, until a time of its own clock."""

    term: int
    until: float


NOT_HELD = HeldLease(0, 0.0)


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The true holder of a lease, until a point of true time."""

    holder: Peer
    incarnation: int
    term: int
    until: float


NO_HOLDER = LeaseRecord(-1, 0, 0, 0.0)


@dataclass(slots=True)
class LimitRouter:
    """A router's machine, and the process that runs on it.

    Attributes:
        clock_rate: Seconds of its clock in a true second.
        clock_offset_s: The time of its clock at true time 0.
        stalled_until: The true time until which the process is stalled.
        demand_per_s: The rate at which requests arrive.
        duration_s: The longest time that a request takes.
        next_tick_at: The true time of the next tick; negative if none is scheduled.
        partition_side: The side of a network partition; routers on different sides cannot reach each other.
        loss_ratio: The share of messages to and from the router that are lost.
        extra_delay_s: The longest additional delay of messages to the router.
        admitted: The number of requests that it has admitted.
    """

    me: Peer
    clock_rate: float
    clock_offset_s: float
    limits: FleetLimits = field(init=False)
    incarnation: int = 0
    stalled_until: float = 0.0
    demand_per_s: float = 0.0
    duration_s: float = 0.3
    leases: dict[NameDigest, HeldLease] = field(default_factory=dict)
    next_tick_at: float = -1.0
    partition_side: int = 0
    loss_ratio: float = 0.0
    extra_delay_s: float = 0.0
    admitted: int = 0

    def clock(self, true_time: float) -> float:
        """Returns the time of its clock at a true time."""
        return self.clock_offset_s + self.clock_rate * true_time

    def held_term(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which the process believes it holds a lease at a time of its clock."""
        held = self.leases.get(lease, NOT_HELD)
        return held.term if now < held.until else None


LinkDelay = Callable[[LimitRouter, LimitRouter, SendMessage], float | None]


class SimulatedLeases:
    """Simulates the leases: each has at most one holder in true time, on a partition side with a majority.

    Attributes:
        records: The true holder of each lease.
        first_holder: The router that acquires the leases first, None for a random one.
    """

    def __init__(self, world: "LimitWorld") -> None:
        self.world = world
        self.records: dict[NameDigest, LeaseRecord] = {}
        self.first_holder: Peer | None = None
        self._term = 0

    def renew(self) -> None:
        """Renews leases, or assigns expired ones to another router; then schedules the next renewal."""
        world = self.world
        world.schedule(world.now + LEASE_CHECK_S, self.renew)
        sides = Counter(router.partition_side for router in world.routers)
        eligible = [
            router
            for router in world.routers
            if router.stalled_until <= world.now and sides[router.partition_side] * 2 > len(world.routers)
        ]
        for lease in world.routers[0].limits.leases:
            self._renew_one(lease, eligible)

    def _renew_one(self, lease: NameDigest, eligible: list[LimitRouter]) -> None:
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

    def _hold(self, lease: NameDigest, router: LimitRouter, term: int, eligible: list[LimitRouter]) -> None:
        """Has a router hold a lease for its full duration; most other routers observe a new holder."""
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
    """A simulated fleet with its limits, its load and its faults.

    Args:
        seed: The seed of all random draws.
        size: The number of routers.
        rules: The limits.
        limits_class: `FleetLimits`, or a subclass of it that lacks a guard.
        clock_error: The largest deviation of a clock's rate from 1.
        max_request_s: Passed to `FleetLimits`.
        slot_grant_extension_s: Passed to `FleetLimits`.
        fast_ratio: Passed to `FleetLimits`.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        rules: tuple[LimitRule, ...],
        limits_class: type[FleetLimits] = FleetLimits,
        clock_error: float = 0.05,
        max_request_s: float = 1.0,
        slot_grant_extension_s: float = 0.0,
        fast_ratio: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.rules = rules
        self.limits_class = limits_class
        self.max_request_s = max_request_s
        self.slot_grant_extension_s = slot_grant_extension_s
        self.fast_ratio = fast_ratio
        self.bounds = ClusterBounds()
        self.now = 0.0
        self.steps = 0
        self.loss_ratio = 0.0
        self.duplicate_ratio = 0.0
        self.long_delay_ratio = 0.02  # share of messages with a delay of up to `LONG_DELAY_S`
        self.link_delay: LinkDelay = self.draw_delay
        self.audits = {rule.name: LimitAudit(rule) for rule in rules}
        self.leases = SimulatedLeases(self)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.routers = [
            LimitRouter(me, 1 + self.rng.uniform(-clock_error, clock_error), self.rng.uniform(0, 1e4))
            for me in range(size)
        ]
        for router in self.routers:
            self.start(router, is_first_process=True)
            self.schedule(self.rng.random() * 0.01, partial(self.arrive, router))
        self.schedule(0.0, self.leases.renew)

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call at a true time."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), call))

    def run(self, until: float) -> "LimitWorld":
        """Runs the events until a true time, and returns the world."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            self.steps += 1
            call()
        self.now = until
        return self

    def start(self, router: LimitRouter, is_first_process: bool = False) -> None:
        """Starts a new process in place of the former one, whose requests may still be in flight."""
        router.incarnation += 1
        router.leases = {}
        router.stalled_until = 0.0
        router.next_tick_at = -1.0
        router.limits = self.limits_class(
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

    def stall(self, router: LimitRouter, seconds: float) -> None:
        """Stalls a process for a number of true seconds."""
        router.stalled_until = max(router.stalled_until, self.now + seconds)

    def _is_running(self, router: LimitRouter, call: Callable[[], None]) -> bool:
        """Returns whether the process runs; if not, schedules the call for the end of the stall."""
        if router.stalled_until > self.now:
            self.schedule(router.stalled_until + self.rng.random() * 0.002, call)
            return False
        return True

    def arrive(self, router: LimitRouter) -> None:
        """Sends a request to a router if it has demand, and schedules the next arrival."""
        if not self._is_running(router, partial(self.arrive, router)):
            return
        wait = self.rng.expovariate(router.demand_per_s) if router.demand_per_s else IDLE_CHECK_S
        self.schedule(self.now + wait, partial(self.arrive, router))
        if router.demand_per_s:
            self.request(router)

    def surge(self, per_router: int) -> None:
        """Sends `per_router` requests to each router within a millisecond, to use up its tokens and slots."""
        for router in self.routers * per_router:
            self.schedule(self.now + self.rng.random() * 0.001, partial(self.request, router))

    def request(self, router: LimitRouter) -> None:
        """Sends a request to a router; an admitted request ends at its time-out or earlier."""
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
            self.schedule(self.now + true_duration_s, lambda: limits.release(answer, router.clock(self.now)))
        self._schedule_tick(router)

    def _schedule_tick(self, router: LimitRouter) -> None:
        due = (router.limits.due() - router.clock_offset_s) / router.clock_rate
        if due < float("inf") and not (self.now <= router.next_tick_at <= due):
            router.next_tick_at = max(due, self.now)
            self.schedule(router.next_tick_at, partial(self._tick, router))

    def _tick(self, router: LimitRouter) -> None:
        if self._is_running(router, partial(self._tick, router)):
            router.next_tick_at = -1.0
            self._send(router, router.limits.tick(router.clock(self.now)))
            self._schedule_tick(router)

    def _send(self, router: LimitRouter, actions: list[Action]) -> None:
        for action in actions:
            assert isinstance(action, SendMessage)
            for other in self.routers:
                is_receiver = action.to in (None, other.me) and other is not router
                if not is_receiver or other.partition_side != router.partition_side:
                    continue
                for _ in range(2 if self.rng.random() < self.duplicate_ratio else 1):
                    delay_s = self.link_delay(router, other, action)
                    if delay_s is not None:
                        self._carry(router, other, action, delay_s)

    def draw_delay(self, router: LimitRouter, other: LimitRouter, action: SendMessage) -> float | None:
        """Draws the delay of a message in seconds; returns None if the message is lost."""
        if self.rng.random() < max(self.loss_ratio, router.loss_ratio, other.loss_ratio):
            return None
        max_delay_s = LONG_DELAY_S if self.rng.random() < self.long_delay_ratio else USUAL_DELAY_S
        return self.rng.random() * max_delay_s + other.extra_delay_s * self.rng.uniform(0.5, 1)

    def _carry(self, router: LimitRouter, other: LimitRouter, action: SendMessage, delay_s: float) -> None:
        sender = router.me
        incarnation = router.incarnation

        def deliver() -> None:
            if self._is_running(other, deliver):
                now = other.clock(self.now)
                answers = other.limits.handle_message(sender, incarnation, action.message, now)
                self._send(other, answers)
                self._schedule_tick(other)

        self.schedule(self.now + delay_s, deliver)
