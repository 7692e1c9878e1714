"""The limits of single values that a router keeps: their buckets, and the requests for quotas under way."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Container, Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.buckets import Bucket
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.settings import PartitionMode
from paddlequay.cluster.types import NEVER, NameDigest

MAX_EVICTION_ATTEMPTS = 8  # oldest limits that are tried when one has to go


@dataclass(slots=True)
class LocalLimit:
    """One limit of one value, as this router uses it. Times are seconds of its clock.

    Attributes:
        fleet_limit: The limit that it is one value's of.
        bucket: What this router has of it.
        sent_requests: When each request for a quota was sent, by number, the oldest first.
        granted_request: The number of the request that the grant in use answers.
        next_request_at: When a request is due.
        last_request_at: When the last one was sent.
        unanswered_since: Since when requests have had no answer.
        rejected_since_request: Whether a request of a client was rejected since the last request for a quota.
        last_demand_milli: What the last request asked for, in thousandths.
        last_broadcast_at: When all routers that may hold the lease were asked.
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
        """Whether the grant ends while this router requests in vain, so that it may retain a part of it.

        False for a strict limit, and where the router has ceased to request.
        """
        if self.fleet_limit.rule.mode is not PartitionMode.OPEN:
            return False
        valid_until = self.bucket.grant.valid_until
        return any(
            number > self.granted_request and sent_at < valid_until
            for number, sent_at in self.sent_requests.items()
        )

    def advance(self, now: float) -> None:
        """Brings the bucket up to `now`."""
        self.bucket.advance(now, self.is_isolated)


class LocalLimits:
    """The local limits by name, the least recently used first; a bounded number of them."""

    def __init__(self, max_limits: int, make_bucket: Callable[[FleetLimit, float], Bucket]) -> None:
        self.max_limits = max_limits
        self.make_bucket = make_bucket
        self._limits: OrderedDict[NameDigest, LocalLimit] = OrderedDict()

    def __len__(self) -> int:
        return len(self._limits)

    def __iter__(self) -> Iterator[LocalLimit]:
        return iter(self._limits.values())

    def get(self, name: NameDigest) -> LocalLimit | None:
        """Returns a limit that is kept, without a use of it."""
        return self._limits.get(name)

    def use(
        self, name: NameDigest, fleet_limit: FleetLimit, now: float, pinned: Container[NameDigest]
    ) -> LocalLimit | None:
        """Returns a limit, new if need be; None where all that are kept are in use.

        Args:
            name: Of the limit.
            fleet_limit: The limit that it belongs to.
            now: Seconds of this process's clock.
            pinned: The limits that must not be dropped for it.
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
        """Returns whether a limit is as good as new, so that dropping it gains nobody anything.

        The requests that it has sent are forgotten with it, so that their answers are void.
        """
        limit.advance(now)
        return limit.bucket.is_unused()

    def _evict(self, now: float, pinned: Container[NameDigest]) -> bool:
        """Drops one of the oldest limits; returns False where none of them may go."""
        names = iter(self._limits)
        oldest = [next(names) for _ in range(min(MAX_EVICTION_ATTEMPTS, len(self._limits)))]
        for name in oldest:
            if name not in pinned and self.may_drop(self._limits[name], now):
                del self._limits[name]
                return True
        return False


class RequestSchedule:
    """When each local limit requests a quota next."""

    def __init__(self, limits: LocalLimits) -> None:
        self.limits = limits
        self._heap: list[tuple[float, NameDigest]] = []

    def request_by(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        """Schedules a request, unless an earlier one is due."""
        if at < limit.next_request_at:
            self._schedule(name, limit, at)

    def postpone(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        """Puts a scheduled request off, unless it is later already."""
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
        """Yields the limits whose request is due, also those that are scheduled meanwhile."""
        while self.due() <= now:
            _, name = heapq.heappop(self._heap)
            limit = self.limits.get(name)
            assert limit is not None  # `due` has dropped entries of limits that are gone
            limit.next_request_at = NEVER
            yield name, limit

    def _schedule(self, name: NameDigest, limit: LocalLimit, at: float) -> None:
        limit.next_request_at = at
        heapq.heappush(self._heap, (at, name))
