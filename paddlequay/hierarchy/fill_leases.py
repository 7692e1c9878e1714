"""Fill leases: one fill at a time for an object and part, for which all other requests wait.

A fill lease coalesces requests inside one node (single flight). It ends with its fill and has neither a term
nor an expiry, unlike the leases of `paddlequay.cluster`, which are agreed between routers.

A purge that arrives during a fill is recorded in its lease. A request that arrived after the purge is not
answered with a copy from before the purge, but by another fill.

Fills that wait for other nodes could form a wait cycle, in which each node waits for the next (a deadlock).
Therefore only older fills may wait for younger ones (wait-die). This prevents wait cycles even if the nodes
know different topologies. A path loop is a different condition: a path that visits a node twice
(`fill_path.py`). A request that is rejected because of either gets `ReplyReason.LOOP`.
"""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from paddlequay.hierarchy.copy_cache import PartKey
from paddlequay.hierarchy.fill_path import FillPath

T = TypeVar("T")

MAX_NOTED_PURGES = 64  # of one lease


class SourceKind(Enum):
    """What a fill waits for."""

    # The cached copy of another node; the request waits there only for a fill that waits for the origin.
    CACHED_COPY = "cached copy"
    NODE = "node"  # another cache, which may itself wait for a further node
    ORIGIN = "origin"  # waits for no other node


class LeaseDecision(Enum):
    """What a request may do with regard to the lease of its object and part."""

    JOIN = "join"
    BEGIN = "begin"  # no fill that could be joined is in flight
    ABORT = "abort"  # waiting could close a wait cycle
    REJECT = "reject"  # too many fills in flight, or too many requests wait for this one


@dataclass(frozen=True, slots=True)
class FillSource:
    """A node that a fill may ask.

    With `only_if_cached` the node returns only a cached copy, and the request carries an ownership claim.
    """

    target: str
    only_if_cached: bool = False
    is_origin: bool = False

    @property
    def kind(self) -> SourceKind:
        """What the fill waits for while it asks this source."""
        if self.is_origin:
            return SourceKind.ORIGIN
        return SourceKind.CACHED_COPY if self.only_if_cached else SourceKind.NODE


@dataclass(frozen=True, slots=True)
class NotedPurge:
    """A purge that arrived during a fill.

    `group` is None for a purge of the object itself; `purged_at` is in Unix seconds; `waiter_count` is how
    many requests waited for the fill when the purge arrived: waiters from this index on arrived after it.
    """

    group: int | None
    purged_at: float
    waiter_count: int

    def concerns(self, waiter_index: int, group: int | None) -> bool:
        """Returns whether the purge arrived before a waiter, and may apply to a copy of this group."""
        may_be_of_group = self.group is None or group is None or self.group == group
        return self.waiter_count <= waiter_index and may_be_of_group


@dataclass(slots=True, eq=False)
class FillLease(Generic[T]):
    """A fill in flight and the requests that wait for it.

    Attributes:
        key: The object and part.
        number: The number that identifies the lease.
        path: The nodes that the fill has passed.
        started_at: When the fill began, in Unix seconds.
        min_generated_at: The Unix second before which the copy must not have been generated.
        source_kind: What the fill waits for.
        source: The node that the fill asks now.
        youngest_waiter: The youngest path among the fills of other nodes that wait for this one.
        waiters: The requests that wait, in order of arrival.
        sources: The nodes that the fill may still ask.
        extra_source_count: How many sources it has asked beyond the list; a repeated look-up counts as three.
        purges: The purges that arrived during the fill.
    """

    key: PartKey
    number: int
    path: FillPath
    started_at: float
    min_generated_at: float = 0.0
    source_kind: SourceKind = SourceKind.CACHED_COPY  # until the first source is chosen, any fill may join
    source: str = ""
    youngest_waiter: FillPath | None = None
    waiters: list[T] = field(default_factory=list)
    sources: deque[FillSource] = field(default_factory=deque)
    extra_source_count: int = 0
    purges: list[NotedPurge] = field(default_factory=list)

    def wait_for(self, kind: SourceKind, target: str) -> FillPath:
        """Records the source that the fill asks now; returns the path to send with the request.

        Before the fill waits for a node, it is made younger than all fills that wait for it. Those joined
        while waiting was safe. A wait cycle through them is detected by comparing start times, so this fill
        must be the youngest of them.
        """
        self.source_kind = kind
        self.source = target
        youngest = self.youngest_waiter
        if kind is SourceKind.NODE and youngest is not None and not youngest.is_older_than(self.path):
            self.path = FillPath(youngest.started_us + 1, self.path.hops)
        return self.path

    def may_be_awaited_by(self, path: FillPath | None, only_if_cached: bool) -> bool:
        """Returns whether a request may wait for this fill without a risk of a wait cycle.

        Args:
            path: The path of the fill that would wait; None where no fill waits for the requester.
            only_if_cached: Whether the request is for a cached copy only. Such a request may wait only for a
                fill that waits for the origin, so that other requests of this kind can wait for it in turn.
        """
        if only_if_cached and self.source_kind is not SourceKind.ORIGIN:
            return False
        if self.source_kind is not SourceKind.NODE or path is None:
            return True
        return path.is_older_than(self.path)

    def note_purge(self, group: int | None, purged_at: float) -> None:
        """Records a purge; `group` is None for the object itself, `purged_at` is in Unix seconds."""
        if len(self.purges) < MAX_NOTED_PURGES:
            self.purges.append(NotedPurge(group, purged_at, len(self.waiters)))
            return
        # Above the limit, the purge is merged with the last one into a purge of the object itself.
        last = self.purges.pop()
        self.purges.append(NotedPurge(None, max(last.purged_at, purged_at), last.waiter_count))

    def latest_purge_before(self, waiter_index: int, group: int | None) -> float:
        """Returns the time of the latest purge that arrived before a waiter, in Unix seconds.

        Args:
            waiter_index: The waiter's index in `waiters`.
            group: The group of the copy; None if it is not known, so that purges of all groups count.
        """
        concerned = (purge.purged_at for purge in self.purges if purge.concerns(waiter_index, group))
        return max(concerned, default=-math.inf)


class FillLeases(Generic[T]):
    """The leases of all fills in flight.

    Args:
        max_fills: The limit of fills in flight.
        max_waiters: The limit of requests that wait for one fill.
    """

    def __init__(self, max_fills: int, max_waiters: int) -> None:
        self.max_fills = max_fills
        self.max_waiters = max_waiters
        self.joinable: dict[PartKey, FillLease[T]] = {}
        self.by_number: dict[int, FillLease[T]] = {}
        self.last_number = 0

    def __len__(self) -> int:
        return len(self.by_number)

    def decide(self, key: PartKey, path: FillPath | None, only_if_cached: bool = False) -> LeaseDecision:
        """Returns whether a request may join a fill, begin one, or do neither.

        Args:
            key: The object and part.
            path: The path of the fill that would wait; None where no fill waits for the requester.
            only_if_cached: Whether the request is for a cached copy only.
        """
        lease = self.joinable.get(key)
        if lease is None:
            return LeaseDecision.BEGIN if len(self.by_number) < self.max_fills else LeaseDecision.REJECT
        if not lease.may_be_awaited_by(path, only_if_cached):
            return LeaseDecision.ABORT
        return LeaseDecision.JOIN if len(lease.waiters) < self.max_waiters else LeaseDecision.REJECT

    def begin(self, key: PartKey, path: FillPath, now: float, waiter: T) -> FillLease[T]:
        """Creates and returns the lease of a new fill, which later requests for this object and part join."""
        self.last_number += 1
        lease: FillLease[T] = FillLease(key, self.last_number, path, now)
        lease.waiters.append(waiter)
        self.joinable[key] = lease
        self.by_number[lease.number] = lease
        return lease

    def join(self, key: PartKey, waiter: T, path: FillPath | None) -> FillLease[T]:
        """Adds a waiter to the fill in flight; `path` is the path of the waiting fill, if there is one."""
        lease = self.joinable[key]
        lease.waiters.append(waiter)
        youngest = lease.youngest_waiter
        if path is not None and (youngest is None or youngest.is_older_than(path)):
            lease.youngest_waiter = path
        return lease

    def end(self, number: int) -> FillLease[T] | None:
        """Removes the lease of a fill that has ended; returns the lease, or None if it is unknown."""
        lease = self.by_number.pop(number, None)
        if lease is not None and self.joinable.get(lease.key) is lease:
            del self.joinable[lease.key]
        return lease

    def purge(self, object_name: str | None, group: int | None, purged_at: float) -> int:
        """Records a purge in the leases of the fills that it may concern; returns how many these are.

        The fills continue, because the group and age of the copy are known only when it arrives. Beginning a
        second fill at once would be superfluous if the origin knew of the purge before this node did.

        Args:
            object_name: The object that is purged; None for the purge of a group.
            group: The group that is purged, where `object_name` is None.
            purged_at: When the purge was issued, in Unix seconds.
        """
        concerned = [
            lease
            for lease in self.by_number.values()
            if object_name is None or lease.key.object_name == object_name
        ]
        for lease in concerned:
            lease.note_purge(group if object_name is None else None, purged_at)
        return len(concerned)

    def in_flight(self) -> Iterator[FillLease[T]]:
        """Returns the leases of all fills in flight."""
        return iter(self.by_number.values())

    def oldest_age(self, now: float) -> float:
        """Returns for how many seconds the oldest fill has been in flight; 0 if there is none."""
        return max((now - lease.started_at for lease in self.by_number.values()), default=0.0)
