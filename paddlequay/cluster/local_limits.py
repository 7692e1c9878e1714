"""The limits of single values that a router keeps: their buckets, and their requests for quotas."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.buckets import Bucket
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.settings import PartitionMode
from paddlequay.cluster.types import NEVER, NameDigest

MAX_EVICTION_ATTEMPTS = 8  # least recently used limits that are checked for eviction


@dataclass(slots=True)
class LocalLimit:
    """This router's state of the limit of one value. Times are seconds of its clock.

    Attributes:
        fleet_limit: The fleet limit that applies to the value.
        bucket: This router's part of the limit.
        sent_requests: When each request for a quota was sent, by request number, the oldest first.
        granted_request: The number of the request that the grant in use answers.
        next_request_at: When the next request for a quota is due.
        last_request_at: When the last request for a quota was sent.
        unanswered_since: When the first request for a quota since the last answer was sent.
        rejected_since_request: Whether a request of a client was rejected since the last request for a quota.
        last_demand_milli: The demand in the last request for a quota, in thousandths of a request.
        last_broadcast_at: When a request was last sent to all routers that may hold the lease.
    """

    fleet_limit: FleetLimit
    bucket: Bucket
    sent_requests: dict[int, float] = field(default_factory=dict)
    granted_request: int = 0
    next_request_at: float = NEVER
    last_request_at: float = -NEVER
    unanswered_since: float = NEVER
    rejected_since_request: bool = False
    last_demand_milli: int = 0
    last_broadcast_at: float = -NEVER

    @property
    def is_isolated(self) -> bool:
        """Whether requests since the grant in use are unanswered, so that a part of it may be retained.

        False for a strict limit, and where the router has stopped requesting.
        """
        if self.fleet_limit.rule.mode is not PartitionMode.OPEN:
            return False
        valid_until = self.bucket.grant.valid_until
        return any(
            number > self.granted_request and sent_at < valid_until
            for number, sent_at in self.sent_requests.items()
        )

    def advance(self, now: float) -> None:
        """Advances the bucket to `now`."""
        self.bucket.advance(now, self.is_isolated)


class LocalLimits:
    """A bounded number of local limits by name, the least recently used first."""

    def __init__(self, max_limits: int, make_bucket: Callable[[FleetLimit, float], Bucket]) -> None:
        self.max_limits = max_limits
        self.make_bucket = make_bucket
        self._limits: OrderedDict[NameDigest, LocalLimit] = OrderedDict()

    def __len__(self) -> int:
        return len(self._limits)

    def __iter__(self) -> Iterator[LocalLimit]:
        return iter(self._limits.values())

    def get(self, name: NameDigest) -> LocalLimit | None:
        """Returns a limit without marking it as used; None if it is not kept."""
        return self._limits.get(name)

    def use(
        self, name: NameDigest, fleet_limit: FleetLimit, now: float, pinned: Container[NameDigest]
    ) -> LocalLimit | None:
        """Returns a limit and marks it as used, creating it if needed; None if no other can be evicted.

        Args:
            name: The name of the limit.
            fleet_limit: The fleet limit to which it belongs.
            now: Seconds of this process's clock.
            pinned: The names of limits that must not be evicted for it.
        """
        limit = self._limits.get(name)
        if limit is not None:
            self._limits.move_to_end(name)
            return limit
        if len(self._limits) >= self.max_limits and not self._evict(now, pinned):
            return None
        limit = LocalLimit(fleet_limit, self.make_bucket(fleet_limit, now))
        self._limits[name] = limit
        return limit

    def may_drop(self, limit: LocalLimit, now: float) -> bool:
        """Returns whether a new limit would have the same state, so that dropping this one admits no more.

        The record of its sent requests is dropped with it, so that answers to them are void.
        """
        limit.advance(now)
        return limit.bucket.is_unused()

    def _evict(self, now: float, pinned: Container[NameDigest]) -> bool:
        """Drops one of the least recently used limits; returns False if none of them may be dropped."""
        names = iter(self._limits)
        oldest = [next(names) for _ in range(min(MAX_EVICTION_ATTEMPTS, len(self._limits)))]
        for name in oldest:
            if name not in pinned and self.may_drop(self._limits[name], now):
                del self._limits[name]
                return True
        return False


class RequestSchedule:
    """The times at which the local limits next request quotas."""

    def __init__(self, limits: LocalLimits) -> None:
        self.limits = limits
        self._heap: list[tuple[float, NameDigest]] = []

    def request_by(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        """Schedules a request, unless one is scheduled earlier."""
        if at < limit.next_request_at:
            self._schedule(name, limit, at)

    def postpone(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        """Postpones a scheduled request to `at`, unless it is scheduled later already."""
        self._schedule(name, limit, max(limit.next_request_at, at))

    def due(self) -> float:
        """Returns when the next request is due."""
        while self._heap:
            at, name = self._heap[0]
            limit = self.limits.get(name)
            if limit is not None and limit.next_request_at == at:
                return at
            heapq.heappop(self._heap)
        return NEVER

    def pop_due(self, now: float) -> Iterator[tuple[NameDigest, LocalLimit]]:
        """Yields the limits whose requests are due, including those scheduled during the iteration."""
        while self.due() <= now:
            _, name = heapq.heappop(self._heap)
            limit = self.limits.get(name)
            assert limit is not None  # `due` has removed the entries of limits that were dropped
            limit.next_request_at = NEVER
            yield name, limit

    def _schedule(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        limit.next_request_at = at
        heapq.heappush(self._heap, (at, name))
