"""What one router has of a limit: tokens of a rate, or slots for requests in flight.

Both kinds first bring themselves up to the moment of use, so that a process that was stopped finds its grant
expired. docs/cluster/limits.md proves that the fleet stays within the limit: at every instant the capacities
and rates of all routers' buckets are the limit's at most, tokens never exceed the capacity, and a raised
capacity brings no tokens.
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
    """The times of all buckets of a process, in seconds of its clock.

    Attributes:
        started_at: When the process started; its predecessor has spent its tokens, maybe not all its slots.
        min_clock_rate: The true seconds in one second of this clock, at least.
        retention_s: For how long an isolated router retains a part of its grant, with `PartitionMode.OPEN`.
        floor_blocked_s: For how long after the start requests of the predecessor may still be in flight.
        window_s: The length of a window of demand.
    """

    started_at: float
    min_clock_rate: float = 1.0
    retention_s: float = 0.0
    floor_blocked_s: float = 0.0
    window_s: float = 0.2


@dataclass(frozen=True, slots=True)
class ActiveGrant:
    """The quota beside the floor.

    Attributes:
        quota: What may be used beside the floor.
        valid_until: When it ends.
        is_retained: Whether the router is isolated and the quota is what it retains.
    """

    quota: Quota = NO_QUOTA
    valid_until: float = NEVER
    is_retained: bool = False

    def after_expiry(self, division: LimitDivision, timing: BucketTiming, isolated: bool) -> "ActiveGrant":
        """Returns what follows this grant: a retained part where the router is isolated, else nothing."""
        if not isolated or self.is_retained or timing.retention_s <= 0:
            return NO_GRANT
        retained = self.quota.min_with(division.isolated)
        return ActiveGrant(retained, self.valid_until + timing.retention_s, is_retained=True)


NO_GRANT = ActiveGrant()


class Bucket(Protocol):
    """What one router has of one limit. Times are seconds of the process's clock."""

    grant: ActiveGrant
    demand: DemandMeter

    def advance(self, now: float, isolated: bool) -> None:
        """Brings the bucket up to `now`; to be called before every question."""

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota beside the floor by one that the holder has granted."""

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether a request may start now that ends within `duration_s`."""

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Takes what a request needs; only where `admits` is true at the same moment."""

    def release(self, permit: int) -> None:
        """Gives back what a request has taken, when it ends."""

    def retry_after(self, now: float) -> float | None:
        """Returns the seconds until a request is admitted, None where only another grant can admit one."""

    def demand_milli(self, now: float) -> int:
        """Returns what the router would use, in thousandths; starts a new observation."""

    def is_unused(self) -> bool:
        """Returns whether a bucket that is made later is the same as this one."""


class RateBucket:
    """Tokens of a rate, in thousandths of a request.

    A bucket that is made later holds what it would hold had it been unused since the process started, when it
    was empty: the predecessor may have spent all tokens. So one that is full and without a grant may be
    dropped.
    """

    def __init__(self, division: LimitDivision, timing: BucketTiming, now: float) -> None:
        self.division = division
        self.timing = timing
        self.grant = NO_GRANT
        self.filled_at = now
        self.demand = DemandMeter(now, timing.window_s)
        self.tokens = self.initial_tokens(now)

    def initial_tokens(self, now: float) -> float:
        """Returns the tokens of the floor since the process started."""
        floor = self.division.floor
        since_start = floor.amount_milli * (now - self.timing.started_at) * self.timing.min_clock_rate
        return min(floor.burst_milli, since_start)

    @property
    def capacity_milli(self) -> int:
        """The most tokens that the bucket holds."""
        return self.division.floor.burst_milli + self.grant.quota.burst_milli

    @property
    def rate_milli(self) -> int:
        """The tokens that it gains per second."""
        return self.division.floor.amount_milli + self.grant.quota.amount_milli

    def fill(self, now: float) -> None:
        """Adds the tokens gained since the last call."""
        if now > self.filled_at:
            gained = self.rate_milli * (now - self.filled_at) * self.timing.min_clock_rate
            self.tokens = min(self.capacity_milli, self.tokens + gained)
            self.filled_at = now

    def change_grant(self, grant: ActiveGrant) -> None:
        """Replaces the grant as of `filled_at`: tokens above the new capacity are lost, none are gained."""
        self.grant = grant
        self.tokens = min(self.tokens, self.capacity_milli)

    def advance(self, now: float, isolated: bool) -> None:
        """Fills the bucket up to `now`, through the ends of the grant and of what was retained of it."""
        while self.grant.valid_until <= now:
            self.fill(self.grant.valid_until)
            self.change_grant(self.grant.after_expiry(self.division, self.timing, isolated))
        self.fill(now)

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota beside the floor by one that the holder has granted."""
        self.change_grant(ActiveGrant(quota, valid_until))

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether there is a token."""
        return self.tokens >= MILLI_PER_REQUEST

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Spends a token; an admitted request is demand as well as a rejected one."""
        self.tokens -= MILLI_PER_REQUEST
        self.demand.add(now)

    def release(self, permit: int) -> None:
        """Does nothing: tokens are spent for good."""

    def retry_after(self, now: float) -> float | None:
        """Returns the seconds until there is a token at the present rate."""
        if self.capacity_milli < MILLI_PER_REQUEST or not self.rate_milli:
            return None
        return (MILLI_PER_REQUEST - self.tokens) / (self.rate_milli * self.timing.min_clock_rate)

    def demand_milli(self, now: float) -> int:
        """Returns the rate of requests, rejected ones included, in thousandths per second."""
        return self.demand.rate_milli(now)

    def is_unused(self) -> bool:
        """Returns whether the bucket is full and has no grant."""
        return self.grant.valid_until == NEVER and self.tokens >= self.capacity_milli


class SlotKind(IntEnum):
    """What a request in flight counts against."""

    FLOOR = 0
    GRANTED = 1
    RETAINED = 2


class SlotBucket:
    """Slots for requests in flight: of the floor, granted, or retained while the router is isolated.

    A request on a granted slot ends before the grant does: the granted slots in use were all acquired within
    a grant that is still valid, and are no more than that grant's. Retained slots are counted apart. Floor
    slots stay blocked while requests of the predecessor may be in flight.
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
        """Releases slots of requests past their time-out, and goes through the ends of grants."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, permit = heapq.heappop(self.deadlines)
            self.release(permit)
        while self.grant.valid_until <= now:
            self.grant = self.grant.after_expiry(self.division, self.timing, isolated)

    def receive_grant(self, quota: Quota, valid_until: float) -> None:
        """Replaces the quota beside the floor by one that the holder has granted."""
        self.grant = ActiveGrant(quota, valid_until)

    def is_floor_open(self, now: float) -> bool:
        """Returns whether no request of the predecessor can be in flight any more."""
        return now >= self.timing.started_at + self.timing.floor_blocked_s

    def free_slot(self, now: float, duration_s: float) -> SlotKind | None:
        """Returns the kind of slot that a request of `duration_s` may have now, None where it has to wait."""
        floor_in_use_milli = self.in_use[SlotKind.FLOOR] * MILLI_PER_REQUEST
        if self.is_floor_open(now) and floor_in_use_milli < self.division.floor.amount_milli:
            return SlotKind.FLOOR
        kind = SlotKind.RETAINED if self.grant.is_retained else SlotKind.GRANTED
        if (self.in_use[kind] + 1) * MILLI_PER_REQUEST > self.grant.quota.amount_milli:
            return None
        ends_in_time = self.grant.is_retained or now + duration_s <= self.grant.valid_until
        return kind if ends_in_time else None

    def admits(self, now: float, duration_s: float) -> bool:
        """Returns whether there is a slot for a request that ends within `duration_s`."""
        return self.free_slot(now, duration_s) is not None

    def acquire(self, permit: int, now: float, duration_s: float) -> None:
        """Takes a slot until the request ends, by its time-out at the latest."""
        kind = self.free_slot(now, duration_s)
        assert kind is not None  # `admits` was asked at the same moment
        self.in_use[kind] += 1
        self.slots[permit] = kind
        heapq.heappush(self.deadlines, (now + duration_s, permit))
        self.peak_in_flight = max(self.peak_in_flight, len(self.slots))

    def release(self, permit: int) -> None:
        """Frees a slot; does nothing once the request has timed out."""
        kind = self.slots.pop(permit, None)
        if kind is not None:
            self.in_use[kind] -= 1

    def retry_after(self, now: float) -> float | None:
        """Returns None: when a slot becomes free is not known."""
        return None

    def demand_milli(self, now: float) -> int:
        """Returns the slots that would be used: the peak in flight since the last call, and the rejected."""
        peak = self.peak_in_flight
        self.peak_in_flight = len(self.slots)
        return (peak + self.demand.peak(now)) * MILLI_PER_REQUEST

    def is_unused(self) -> bool:
        """Returns whether no request is in flight and there is no grant."""
        return self.grant.valid_until == NEVER and not self.slots
