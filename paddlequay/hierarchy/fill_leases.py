"""Leases of fills: one fill at a time for an object and part, and all other requests wait for it.

A fill lease coalesces requests inside one node (single flight, request coalescing). It ends with its fill and
has neither a term nor an expiry, unlike the leases of `paddlequay.cluster`, which routers agree on.

A purge during a fill is noted at its lease: a request that came after it is not answered by a copy from
before it, but by one more fill.

Fills that wait for other nodes could form a wait cycle, in which each node waits for the next (a deadlock).
Only older fills may therefore wait for younger ones (wait-die), so that no wait cycle closes, whatever the
nodes know of the topology. A path loop is something else: a path that visits a node twice (`fill_path.py`).
A request that is rejected because of either gets `ReplyReason.LOOP`.
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

MAX_NOTED_PURGES = 64  # at one fill


class SourceKind(Enum):
    """What a fill waits for."""

    CACHED_COPY = "cached copy"  # of another node: it waits at most for a fill that waits for the origin
    NODE = "node"  # another cache, which may wait in its turn
    ORIGIN = "origin"  # waits for nothing


class LeaseDecision(Enum):
    """What a request may do about the lease of its object and part."""

    JOIN = "join"
    BEGIN = "begin"  # no fill in flight can answer it
    ABORT = "abort"  # waiting could close a wait cycle
    REJECT = "reject"  # too many wait


@dataclass(frozen=True, slots=True)
class FillSource:
    """A node that a fill may ask.

    With `only_if_cached` the node gives only what it has cached, and is told of the claim on the object.
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
    """A purge during a fill.

    `group` is None for a purge of the object itself; `purged_at` is in Unix seconds; `waiter_count` is how
    many waited for the fill when it came, so waiters of that index and above came after it.
    """

    group: int | None
    purged_at: float
    waiter_count: int

    def concerns(self, waiter_index: int, group: int | None) -> bool:
        """Returns whether the purge came before a waiter did, and may be of a copy of this group."""
        may_be_of_group = self.group is None or group is None or self.group == group
        return self.waiter_count <= waiter_index and may_be_of_group


@dataclass(slots=True, eq=False)
class FillLease(Generic[T]):
    """A fill in flight and the requests that wait for it.

    Attributes:
        key: The object and part.
        number: The lease's own number.
        path: The nodes that the fill has passed.
        started_at: When it began, in Unix seconds.
        min_generated_at: The Unix second at which the copy must have been generated, or later.
        source_kind: What the fill waits for.
        source: The node that it asks now.
        youngest_waiter: The youngest path among the fills elsewhere that wait for this one.
        waiters: The requests that wait, in the order in which they came.
        sources: The nodes that it may still ask.
        extra_source_count: How many sources it has asked beside these; a repeated look-up counts as three.
        purges: The purges during the fill.
    """

    key: PartKey
    number: int
    path: FillPath
    started_at: float
    min_generated_at: float = 0.0
    source_kind: SourceKind = SourceKind.CACHED_COPY  # before the first source any fill may join
    source: str = ""
    youngest_waiter: FillPath | None = None
    waiters: list[T] = field(default_factory=list)
    sources: deque[FillSource] = field(default_factory=deque)
    extra_source_count: int = 0
    purges: list[NotedPurge] = field(default_factory=list)

    def wait_for(self, kind: SourceKind, target: str) -> FillPath:
        """Records the source that the fill asks from now on; returns the path that goes with the request.

        Before it waits for a node the fill becomes younger than all that wait for it. They joined while that
        was safe, and a wait cycle through them must be detected by this fill's start.
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
        """Notes a purge, of the object itself where `group` is None; `purged_at` is in Unix seconds."""
        if len(self.purges) < MAX_NOTED_PURGES:
            self.purges.append(NotedPurge(group, purged_at, len(self.waiters)))
            return
        # Too many to keep apart: the last one counts as a purge of the object.
        last = self.purges.pop()
        self.purges.append(NotedPurge(None, max(last.purged_at, purged_at), last.waiter_count))

    def latest_purge_before(self, waiter_index: int, group: int | None) -> float:
        """Returns the latest purge before a waiter came, in Unix seconds.

        Args:
            waiter_index: The waiter's place in `waiters`.
            group: The group of the copy; None where it is not known, and then purges of all groups count.
        """
        concerned = (purge.purged_at for purge in self.purges if purge.concerns(waiter_index, group))
        return max(concerned, default=-math.inf)


class FillLeases(Generic[T]):
    """All fills in flight.

    Args:
        max_fills: The most fills in flight.
        max_waiters: The most requests that wait for one of them.
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
        """Returns what a request may do.

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
        """Returns the lease of a new fill; requests for this object and part join it from now on."""
        self.last_number += 1
        lease: FillLease[T] = FillLease(key, self.last_number, path, now)
        lease.waiters.append(waiter)
        self.joinable[key] = lease
        self.by_number[lease.number] = lease
        return lease

    def join(self, key: PartKey, waiter: T, path: FillPath | None) -> FillLease[T]:
        """Adds a waiter to the fill in flight; `path` is that of the fill that waits, if there is one."""
        lease = self.joinable[key]
        lease.waiters.append(waiter)
        youngest = lease.youngest_waiter
        if path is not None and (youngest is None or youngest.is_older_than(path)):
            lease.youngest_waiter = path
        return lease

    def end(self, number: int) -> FillLease[T] | None:
        """Removes the lease of a fill that has ended; returns it, or None where it is not known any more."""
        lease = self.by_number.pop(number, None)
        if lease is not None and self.joinable.get(lease.key) is lease:
            del self.joinable[lease.key]
        return lease

    def purge(self, object_name: str | None, group: int | None, purged_at: float) -> int:
        """Notes a purge at the fills that it may concern; returns how many.

        The group and age of the copy are known once it comes, so the fills go on. A second fill begun at once
        would be one too many where the origin knew of the purge before this node did.

        Args:
            object_name: The object that is purged; None where a group is.
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
        """Returns for how many seconds the oldest fill has been in flight; 0 where there is none."""
        return max((now - lease.started_at for lease in self.by_number.values()), default=0.0)
