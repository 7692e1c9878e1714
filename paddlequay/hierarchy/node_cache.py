"""The cache of a node, and the purges that decide which copies may be served and stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import CachedCopy, CopyCache, PartKey
from paddlequay.hierarchy.fill_requests import FillRequest, ReplyReason
from paddlequay.hierarchy.purge_history import PurgeHistory
from paddlequay.observability.counters import Counters


@dataclass(frozen=True, slots=True)
class ServedCopy:
    """A cached copy that may serve a request, as `CACHED` or as `STALE`."""

    copy: CachedCopy
    reason: ReplyReason


class NodeCache:
    """Cached copies and the purges of the last seconds.

    Args:
        max_bytes: The most memory for copies.
        purge_memory_s: For how long a purge is remembered.
        counters: The node's counters.
    """

    def __init__(self, max_bytes: int, purge_memory_s: float, counters: Counters) -> None:
        self.copies = CopyCache(max_bytes)
        self.purges = PurgeHistory(purge_memory_s)
        self.counters = counters

    def lookup(self, request: FillRequest) -> ServedCopy | None:
        """Returns the copy that serves a request: a fresh one, or a stale one within the request's grace.

        No copy from before a purge serves any request. The grace, in seconds, is for the classes whose copies
        may be served while they are refreshed.
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
        """Stores the copy of a fill, with the highest retention that a waiter asks for.

        A copy is not stored where it was purged while the fill was in flight, or where no waiter allows it.
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
        """Drops older copies of an object, or of a group where `object_name` is None (Unix seconds)."""
        self.purges.add(object_name, group, purged_at, now)
        self.counters.add("purged_copies", self.copies.purge(object_name, group, purged_at))
