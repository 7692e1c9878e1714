"""The cache of a node, and the recent purges that decide which copies may be served and stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import CachedCopy, CopyCache, PartKey
from paddlequay.hierarchy.fill_requests import FillRequest, ReplyReason
from paddlequay.hierarchy.purge_history import PurgeHistory
from paddlequay.observability.counters import Counters


@dataclass(frozen=True, slots=True)
class ServedCopy:
    """A cached copy that may serve a request, with reason `CACHED` or `STALE`."""

    copy: CachedCopy
    reason: ReplyReason


class NodeCache:
    """Cached copies and recent purges.

    Args:
        max_bytes: The limit of memory for copies.
        purge_memory_s: How long a purge is remembered.
        counters: The node's counters.
    """

    def __init__(self, max_bytes: int, purge_memory_s: float, counters: Counters) -> None:
        self.copies = CopyCache(max_bytes)
        self.purges = PurgeHistory(purge_memory_s)
        self.counters = counters

    def lookup(self, request: FillRequest) -> ServedCopy | None:
        """Returns the copy that serves a request: a fresh one, or a stale one within the grace period.

        A copy from before a purge never serves a request. Only requests whose class allows stale copies
        during a refresh have a grace period (`stale_grace_s`).
        """
        copy = self.copies.get(request.key)
        if copy is None:
            return None
        purged_at = self.purges.min_generated_at(request.object_name, copy.group)
        if copy.generated_at >= max(request.min_generated_at, purged_at):
            return ServedCopy(copy, ReplyReason.CACHED)
        grace = request.stale_grace_s
        if grace and copy.generated_at >= max(request.min_generated_at - grace, purged_at):
            return ServedCopy(copy, ReplyReason.STALE)
        return None

    def store(self, key: PartKey, copy: CachedCopy, waiters: Iterable[FillRequest]) -> None:
        """Stores the copy of a fill, with the highest retention that any waiter requests.

        The copy is not stored if it was purged while the fill was in flight or if no waiter allows caching.
        """
        if copy.generated_at < self.purges.min_generated_at(key.object_name, copy.group):
            self.counters.add("fills_purged")
            return
        retentions = [request.retention for request in waiters if request.may_cache]
        if not retentions:
            return
        copy.retention = max(retentions)
        if not self.copies.put(key, copy):
            self.counters.add("not_kept")

    def purge(self, object_name: str | None, group: int | None, purged_at: float, now: float) -> None:
        """Records a purge and drops the copies generated before it.

        Args:
            object_name: The object that is purged; None for the purge of a group.
            group: The group that is purged, where `object_name` is None.
            purged_at: When the purge was issued, in Unix seconds.
            now: The time in Unix seconds.
        """
        self.purges.add(object_name, group, purged_at, now)
        self.counters.add("purged_copies", self.copies.purge(object_name, group, purged_at))
