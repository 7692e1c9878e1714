"""One router's part of a limit: a bucket of tokens for a rate, or of slots for requests in flight.

A bucket is advanced to the current time before each use, so that a process that was stopped finds its grant
expired. docs/cluster/limits.md proves that the fleet stays within the limit: at every instant the capacities
and rates of all routers' buckets sum to at most the limit, tokens never exceed the capacity, and a raised
capacity adds no tokens.
"""

import heapq
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from paddlequay.cluster.demand_meter import DemandMeter
from paddlequay.cluster.quotas import MILLI_PER_REQUEST, NO_QUOTA, LimitDivision, Quota
from paddlequay.cluster.types import NEVER


@dataclass(frozen=True, slots=True)
class BucketTiming:
    """Times and durations that all buckets of a process share, in seconds of its clock.

    Attributes:
        started_at: When the process started; its predecessor may have spent all tokens by then, and requests
            of the predecessor may still be in flight.
        min_clock_rate: The least true time, in seconds, that passes in one second of this clock.
        retention_s: How long an isolated router retains a part of its grant, with `PartitionMode.OPEN`.
        floor_blocked_s: How long after `started_at` the predecessor's requests may still be in flight.
        window_s: The length of a window in which demand is counted.
    """

    started_at: float
    min_clock_rate: float = 1.0
    retention_s: float = 0.0
    floor_blocked_s: float = 0.0
    window_s: float = 0.2


@dataclass(frozen=True, slots=True)
class ActiveGrant:
    """The quota that a router may use in addition to its floor.

    Attributes:
        quota: The part of the limit that may be used in addition to the floor.
        valid_until: When the quota ends.
        is_retained: Whether the quota is the part that an isolated router retains of an expired grant.
    """

    quota: Quota = NO_QUOTA
    valid_until: float = NEVER
    is_retained: bool = False

    def after_expiry(self, division: LimitDivision, timing: BucketTiming, isolated: bool) -> "ActiveGrant":
        """Returns what replaces this grant at its end.

        In an isolated router a part of the grant is retained, but only once; otherwise there is no grant.
        """
        if not isolated or self.is_retained or timing.retention_s <= 0:
            return NO_GRANT
        retained = self.quota.min_with(division.max_retained)
        return ActiveGrant(retained, self.valid_until + timing.retention_s, is_retained=True)


NO_GRANT = ActiveGrant()


class Bucket(Protocol):
    """One router's part of one limit. Times are seconds of the process's clock."""

    grant: ActiveGrant
    demand: DemandMeter

    def advance(self, now: float, isolated: bool) -> None:
        """Advances the bucket to `now`; has to be called before every other method that takes `now`."""

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota that may be used beyond the floor by one that the lease holder has granted."""

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether a request that ends within `duration_s` may start now."""

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Takes a token or a slot for a request; only allowed if `admits` is true at the same `now`."""

    def release(self, permit: int) -> None:
        """Frees the slot of a request that has ended."""

    def retry_after(self, now: float) -> float | None:
        """Returns the seconds until a request is admitted; None if unknown, or if this grant admits none."""

    def demand_milli(self, now: float) -> int:
        """Returns what the router would use, in thousandths of a request; starts a new observation period."""

    def is_unused(self) -> bool:
        """Returns whether a bucket created later would have the same state; this one may then be dropped."""


class RateBucket:
    """A token bucket for a limit on a rate; tokens are thousandths of a request.

    A new bucket starts with the tokens that its floor has gained since the process started, from zero because
    the predecessor may have spent all tokens. A full bucket without a grant may therefore be dropped and
    created again.
    """

    def __init__(self, division: LimitDivision, timing: BucketTiming, now: float) -> None:
        self.division = division
        self.timing = timing
        self.grant = NO_GRANT
        self.filled_at = now
        self.demand = DemandMeter(now, timing.window_s)
        self.tokens = self.initial_tokens(now)

    def initial_tokens(self, now: float) -> float:
        """Returns the tokens that the floor has gained since the process started."""
        floor = self.division.floor
        since_start = floor.amount_milli * (now - self.timing.started_at) * self.timing.min_clock_rate
        return min(floor.burst_milli, since_start)

    @property
    def capacity_milli(self) -> int:
        """The most tokens that the bucket holds."""
        return self.division.floor.burst_milli + self.grant.quota.burst_milli

    @property
    def rate_milli(self) -> int:
        """The tokens that the bucket gains per second."""
        return self.division.floor.amount_milli + self.grant.quota.amount_milli

    def fill(self, now: float) -> None:
        """Adds the tokens gained since the last call."""
        if now > self.filled_at:
            gained = self.rate_milli * (now - self.filled_at) * self.timing.min_clock_rate
            self.tokens = min(self.capacity_milli, self.tokens + gained)
            self.filled_at = now

    def change_grant(self, grant: ActiveGrant) -> None:
        """Replaces the grant as of `filled_at`. Tokens above the new capacity are lost; none are added."""
        self.grant = grant
        self.tokens = min(self.tokens, self.capacity_milli)

    def advance(self, now: float, isolated: bool) -> None:
        """Fills the bucket up to `now`; ends the grant, and the part retained of it, when each expires."""
        while self.grant.valid_until <= now:
            self.fill(self.grant.valid_until)
            self.change_grant(self.grant.after_expiry(self.division, self.timing, isolated))
        self.fill(now)

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota that may be used beyond the floor by one that the lease holder has granted."""
        self.change_grant(ActiveGrant(quota, valid_until))

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether the bucket has a token for a whole request."""
        return self.tokens >= MILLI_PER_REQUEST

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Spends the token of one request and counts it as demand; rejected requests count as well."""
        self.tokens -= MILLI_PER_REQUEST
        self.demand.add(now)

    def release(self, permit: int) -> None:
        """Does nothing: a spent token is not returned."""

    def retry_after(self, now: float) -> float | None:
        """Returns the seconds until there is a token at the present rate; None if there will be none."""
        if self.capacity_milli < MILLI_PER_REQUEST or not self.rate_milli:
            return None
        return (MILLI_PER_REQUEST - self.tokens) / (self.rate_milli * self.timing.min_clock_rate)

    def demand_milli(self, now: float) -> int:
        """Returns the rate of requests, rejected ones included, in thousandths of a request per second."""
        return self.demand.rate_milli(now)

    def is_unused(self) -> bool:
        """Returns whether the bucket is full and has no grant."""
        return self.grant.valid_until == NEVER and self.tokens >= self.capacity_milli


class SlotKind(IntEnum):
    """The part of a limit on requests in flight to which a slot belongs."""

    FLOOR = 0
    GRANTED = 1
    RETAINED = 2


class SlotBucket:
    """Slots for requests in flight: of the floor, granted, or retained while the router is isolated.

    A request on a granted slot ends before the grant does. So all granted slots in use were acquired within a
    grant that is still valid, and do not exceed it. Retained slots are counted separately. Floor slots stay
    blocked while requests of the predecessor may be in flight.
    """

    def __init__(self, division: LimitDivision, timing: BucketTiming, now: float) -> None:
        self.division = division
        self.timing = timing
        self.grant = NO_GRANT
        self.demand = DemandMeter(now, timing.window_s)
        self.in_use = [0] * len(SlotKind)
        self.slots: dict[int, SlotKind] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.peak_in_flight = 0

    def advance(self, now: float, isolated: bool) -> None:
        """Releases the slots of requests past their time-out, and ends grants that have expired."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, permit = heapq.heappop(self.deadlines)
            self.release(permit)
        while self.grant.valid_until <= now:
            self.grant = self.grant.after_expiry(self.division, self.timing, isolated)

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota that may be used beyond the floor by one that the lease holder has granted."""
        self.grant = ActiveGrant(quota, valid_until)

    def is_floor_open(self, now: float) -> bool:
        """Returns whether floor slots may be used: the predecessor's requests have all ended."""
        return now >= self.timing.started_at + self.timing.floor_blocked_s

    def free_slot(self, now: float, duration_s: float) -> SlotKind | None:
        """Returns the kind of slot that is free for a request of `duration_s` now; None if none is."""
        floor_in_use_milli = self.in_use[SlotKind.FLOOR] * MILLI_PER_REQUEST
        if self.is_floor_open(now) and floor_in_use_milli < self.division.floor.amount_milli:
            return SlotKind.FLOOR
        kind = SlotKind.RETAINED if self.grant.is_retained else SlotKind.GRANTED
        if (self.in_use[kind] + 1) * MILLI_PER_REQUEST > self.grant.quota.amount_milli:
            return None
        ends_in_time = self.grant.is_retained or now + duration_s <= self.grant.valid_until
        return kind if ends_in_time else None

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether a slot is free for a request that ends within `duration_s`."""
        return self.free_slot(now, duration_s) is not None

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Takes a slot until the request ends, at the latest by its time-out."""
        kind = self.free_slot(now, duration_s)
        assert kind is not None  # the caller has checked `admits` at the same `now`
        self.in_use[kind] += 1
        self.slots[permit] = kind
        heapq.heappush(self.deadlines, (now + duration_s, permit))
        self.peak_in_flight = max(self.peak_in_flight, len(self.slots))

    def release(self, permit: int) -> None:
        """Frees the slot of a request; does nothing if its time-out has freed it already."""
        kind = self.slots.pop(permit, None)
        if kind is not None:
            self.in_use[kind] -= 1

    def retry_after(self, now: float) -> float | None:
        """Returns None: it is not known when a slot becomes free."""
        return None

    def demand_milli(self, now: float) -> int:
        """Returns the peak in flight since the last call plus recent rejections, in thousandths."""
        peak = self.peak_in_flight
        self.peak_in_flight = len(self.slots)
        return (peak + self.demand.peak(now)) * MILLI_PER_REQUEST

    def is_unused(self) -> bool:
        """Returns whether no request is in flight and there is no grant."""
        return self.grant.valid_until == NEVER and not self.slots
