"""Limits over all routers: each router has a floor and, according to its demand, a grant in addition.

docs/cluster/limits.md compares the designs and proves that a limit is kept. A grant is valid for
`ClusterBounds.grant_validity_s` from when its request was sent, less the clock drift. Admission decides at
once, by the floor and the grant that this router has.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

from paddlequay.cluster.buckets import Bucket, BucketTiming, RateBucket, SlotBucket
from paddlequay.cluster.granter import Granter
from paddlequay.cluster.limit_registry import FleetLimit, LimitRegistry, limit_of
from paddlequay.cluster.local_limits import LocalLimit, LocalLimits
from paddlequay.cluster.messages import PeerMessage, QuotaGrant, QuotaRequest
from paddlequay.cluster.quota_client import QuotaClient
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import (
    Action,
    ClusterBounds,
    Fleet,
    HeldTerm,
    HolderObserved,
    LeaseAcquired,
    LocalEvent,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)

MAX_LOCAL_LIMITS = 4096  # limits of single values that a router keeps at the same time
MAX_TOKEN_WAIT_S = 1.0  # longest wait told to a rejected client; a grant may bring a token sooner

LimitKey = tuple[LimitScope, str]  # a scope, and the value that a request has in it


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one request; has to be passed to `FleetLimits.release` when the request ends."""

    number: int
    limits: tuple[NameDigest, ...]


@dataclass(frozen=True, slots=True)
class Rejection:
    """The name of the rule that rejects a request, and the seconds after which a retry may succeed."""

    rule: str
    retry_after_s: float


class FleetLimits:
    """Admits requests under all limits, and grants quotas where this router holds the lease.

    Implements `Component`. Starts with empty buckets. A call of `admit` may make `due()` earlier.

    Args:
        fleet: The routers.
        bounds: The times that all routers share.
        rules: The limits of the settings.
        held_term: Returns the term of a lease if this router holds it at the given time, else None.
        incarnation: Of this process.
        now: Seconds of this process's clock.
        slot_grant_extension_s: How much longer than `bounds.grant_validity_s` grants of slots are valid; the
            same at all routers. It is the longest request that may start on a granted slot.
        max_request_s: The longest time-out of a request; floor slots are blocked for as long after the start.
        is_first_process: Whether this router had no former process, so that no floor slot has to be blocked.
        fast_ratio: The ratio by which this clock may run faster than true time; every rate is reduced by as
            much. `bounds.drift_ratio` by default.
        max_local_limits: The limits of single values that are kept at the same time.

    Raises:
        ValueError: A rule is invalid, or the names of two rules have the same digest.
    """

    HANDLED_MESSAGES: tuple[type[PeerMessage], ...] = (QuotaRequest, QuotaGrant)
    rate_bucket_class: type[RateBucket] = RateBucket
    slot_bucket_class: type[SlotBucket] = SlotBucket
    granter_class: type[Granter] = Granter
    client_class: type[QuotaClient] = QuotaClient
    local_limits_class: type[LocalLimits] = LocalLimits

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rules: Iterable[LimitRule],
        held_term: HeldTerm,
        incarnation: int,
        now: float,
        *,
        slot_grant_extension_s: float = 0.0,
        max_request_s: float = 30.0,
        is_first_process: bool = False,
        fast_ratio: float | None = None,
        max_local_limits: int = MAX_LOCAL_LIMITS,
    ) -> None:
        self.fleet = fleet
        self.bounds = bounds
        self.incarnation = incarnation
        self.fast_ratio = bounds.drift_ratio if fast_ratio is None else fast_ratio
        self.timing = BucketTiming(
            started_at=now,
            min_clock_rate=self.min_clock_rate(),
            retention_s=bounds.epoch_validity_s,  # the same as of a placement epoch
            floor_blocked_s=0.0 if is_first_process else _longest_by_slow_clock(max_request_s, bounds),
            window_s=bounds.grant_validity_s / 3,
        )
        self.registry = LimitRegistry(rules, fleet.size, bounds, slot_grant_extension_s)
        self.granter = self.granter_class(bounds, fleet.size, held_term)
        self.local_limits = self.local_limits_class(max_local_limits, self._make_bucket)
        self.client = self.client_class(fleet, bounds, incarnation, self.local_limits, self.granter)
        self._permit_numbers = count(1)

    def min_clock_rate(self) -> float:
        """Returns the least true seconds in one second of this clock: a fast clock must not fill faster."""
        return 1 / (1 + self.fast_ratio)

    @property
    def leases(self) -> tuple[NameDigest, ...]:
        """The leases whose holders grant the quotas of the limits."""
        return self.registry.leases

    def admit(self, scope: LimitScope, value: str, now: float, duration_s: float) -> Permit | Rejection:
        """Admits or rejects one request whose time-out is `duration_s`."""
        return self.admit_all(((scope, value),), now, duration_s)

    def admit_all(self, keys: Iterable[LimitKey], now: float, duration_s: float) -> Permit | Rejection:
        """Admits a request under all limits that apply to it, or rejects it without using any of them.

        Args:
            keys: The scopes and values that the request has.
            now: Seconds of this process's clock.
            duration_s: The longest that the request may last.

        Returns:
            A permit, or the rejection by the limit that takes longest to admit it.
        """
        limits: dict[NameDigest, LocalLimit] = {}
        for scope, value in keys:
            for fleet_limit in self.registry.matching(scope, value):
                name = limit_of(fleet_limit.lease, value)
                limit = self.local_limits.use(name, fleet_limit, now, pinned=limits)
                if limit is None:
                    return Rejection(fleet_limit.rule.name, self.bounds.grant_validity_s)
                limits[name] = limit
        for limit in limits.values():
            limit.advance(now)
        rejecting = {
            name: limit for name, limit in limits.items() if not limit.bucket.admits(now, duration_s)
        }
        if rejecting:
            return self._reject(rejecting, now)
        return self._acquire(limits, now, duration_s)

    def release(self, permit: Permit, now: float) -> None:
        """Frees the slots of a request that has ended; tokens stay spent. A repeated call has no effect."""
        for name in permit.limits:
            limit = self.local_limits.get(name)
            if limit is not None:
                limit.bucket.release(permit.number)

    def _acquire(self, limits: dict[NameDigest, LocalLimit], now: float, duration_s: float) -> Permit:
        number = next(self._permit_numbers)
        for name, limit in limits.items():
            limit.bucket.acquire(number, now, duration_s)
            self.client.record_admission(name, limit, now)
        return Permit(number, tuple(limits))

    def _reject(self, rejecting: dict[NameDigest, LocalLimit], now: float) -> Rejection:
        """Counts the demand at the rejecting limits only: a higher share of the others would not help."""
        for name, limit in rejecting.items():
            self.client.record_rejection(name, limit, now)
        waits = [(self._retry_after(limit, now), limit.fleet_limit.rule.name) for limit in rejecting.values()]
        retry_after_s, rule = max(waits)
        return Rejection(rule, retry_after_s)

    def _retry_after(self, limit: LocalLimit, now: float) -> float:
        """Returns the seconds until there is a token, or until the holder may have answered again."""
        token_wait_s = limit.bucket.retry_after(now)
        if token_wait_s is None:
            return self.bounds.grant_validity_s / 3
        return min(token_wait_s, MAX_TOKEN_WAIT_S)

    def _make_bucket(self, limit: FleetLimit, now: float) -> Bucket:
        if limit.rule.max_in_flight is not None:
            return self.slot_bucket_class(limit.division, self.timing, now)
        return self.rate_bucket_class(limit.division, self.timing, now)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Answers another router's request for a quota, or uses a grant that the holder sent."""
        match message:
            case QuotaRequest():
                return self._handle_request(sender, incarnation, message, now)
            case QuotaGrant():
                self.client.handle_grant(sender, message, now)
        return []

    def _handle_request(
        self, sender: Peer, incarnation: int, request: QuotaRequest, now: float
    ) -> list[Action]:
        limit = self.registry.of_name(request.limit)
        if limit is None:
            return []
        grant = self.granter.handle_request(limit, sender, incarnation, request, now)
        return [] if grant is None else [SendMessage(sender, grant, Urgency.CHANGE)]

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Records which routers hold the leases of the limits."""
        match event:
            case LeaseAcquired(lease, term) if lease in self.leases:
                self.granter.record_term(lease, term, now)
                self.client.observe_holder(lease, self.fleet.me, term)
            case HolderObserved(lease, holder, term) if lease in self.leases:
                self.client.observe_holder(lease, holder, term)
        return []

    def tick(self, now: float) -> list[Action]:
        """Sends the requests for quotas that are due."""
        return self.client.tick(now)

    def due(self) -> float:
        """Returns when the next request for a quota is due."""
        return self.client.due()


def _longest_by_slow_clock(seconds: float, bounds: ClusterBounds) -> float:
    """Returns what a fast clock measures while a slow clock measures `seconds`."""
    return seconds * (1 + bounds.drift_ratio) / (1 - bounds.drift_ratio)
