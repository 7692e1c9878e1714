"""The shield: one fill at a time for an object, and all others wait for it.

A lease belongs to one (object, part). A purge during the fill is noted: whoever asked after it is not
answered by a copy from before it, but by one more fill. A fill that waits for another node may be part of a
ring of nodes that wait for each other: there only older fills may wait for younger ones (wait-die), so that
a ring cannot close, whatever the nodes know of the shape.
"""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

from paddlequay.hierarchy.copies import PartKey
from paddlequay.hierarchy.fill_path import FillPath

T = TypeVar("T")

PURGES_MOST = 64  # noted at one fill


class WaitTarget(Enum):
    """Whom a fill waits for."""

    LOOK = "look"  # what another holds: waits at most for a fill that waits for the store
    NODE = "node"  # another cache, which may wait in its turn
    STORE = "store"  # waits for nobody


class LeaseDecision(Enum):
    """What one who asks may do about a lease."""

    JOIN = "join"
    BEGIN = "begin"  # no fill under way may answer it
    DIE = "die"  # it may close a ring: take the next rung
    FULL = "full"  # too many wait


@dataclass(frozen=True, slots=True)
class FillSource:
    """One step of a fill's ladder: ask `target`; `held`: only for what it holds, claiming the object by
    it."""

    target: str
    held: bool = False
    store: bool = False


@dataclass(slots=True, eq=False)
class FillLease(Generic[T]):
    """A fill under way, and who waits for it."""

    place: PartKey
    number: int
    trail: FillPath
    began: float
    floor: float = 0.0  # the Unix second from which on the copy asked for must be minted
    toward: WaitTarget = WaitTarget.LOOK
    target: str = ""  # whom it asks now
    youngest: FillPath | None = None  # of the fills elsewhere that wait for this one
    joined: list[T] = field(default_factory=list)
    rungs: deque[FillSource] = field(default_factory=deque)  # whom it may still ask
    detours: int = 0  # whom it has asked beside these
    # Purges during the fill: of which group (None: of the object itself), when, and how many had joined.
    purges: list[tuple[int | None, float, int]] = field(default_factory=list)

    def turn(self, toward: WaitTarget, target: str) -> FillPath:
        """The fill asks somebody else now; the trail that goes with it.

        Before it waits for a node, it becomes younger than all who wait for it: they joined while it was
        safe, and a ring through them must be told from its stamp.
        """
        self.toward, self.target = toward, target
        youngest = self.youngest
        if toward is WaitTarget.NODE and youngest is not None and not youngest.older(self.trail):
            self.trail = FillPath(youngest.stamp + 1, self.trail.hops)
        return self.trail

    def purged_before(self, count: int, group: int | None) -> float:
        """The latest purge before the waiter at this place in `joined` asked, once the group is known."""
        return max(
            (
                at
                for of, at, joined in self.purges
                if joined <= count and (of is None or group is None or of == group)
            ),
            default=-math.inf,
        )


class FillLeases(Generic[T]):
    """All fills under way. Bounds: `most` fills, `joiners` waiting for each."""

    def __init__(self, most: int, joiners: int) -> None:
        self.most, self.joiners = most, joiners
        self.current: dict[PartKey, FillLease[T]] = {}  # the one that may be joined
        self.by_number: dict[int, FillLease[T]] = {}
        self.numbers = 0

    def __len__(self) -> int:
        return len(self.by_number)

    def may(self, place: PartKey, trail: FillPath | None, look: bool = False) -> LeaseDecision:
        """What an ask may do; `trail` is None where nobody waits for the one who asks.

        A look waits for no fill that waits for a node: so those may be joined who look themselves.
        """
        lease = self.current.get(place)
        if lease is None:
            return LeaseDecision.BEGIN if len(self.by_number) < self.most else LeaseDecision.FULL
        closes = lease.toward is WaitTarget.NODE and trail is not None and not trail.older(lease.trail)
        if closes or (look and lease.toward is not WaitTarget.STORE):
            return LeaseDecision.DIE
        return LeaseDecision.JOIN if len(lease.joined) < self.joiners else LeaseDecision.FULL

    def begin(self, place: PartKey, trail: FillPath, now: float, waiter: T) -> FillLease[T]:
        """A new fill; whoever asks for this place from now on joins it."""
        self.numbers += 1
        lease: FillLease[T] = FillLease(place, self.numbers, trail, now)
        lease.joined.append(waiter)
        self.current[place] = self.by_number[lease.number] = lease
        return lease

    def join(self, place: PartKey, waiter: T, trail: FillPath | None) -> FillLease[T]:
        lease = self.current[place]
        lease.joined.append(waiter)
        if trail is not None and (lease.youngest is None or lease.youngest.older(trail)):
            lease.youngest = trail
        return lease

    def end(self, number: int) -> FillLease[T] | None:
        """A fill is over, however it ended; None where it is not known any more."""
        lease = self.by_number.pop(number, None)
        if lease is not None and self.current.get(lease.place) is lease:
            del self.current[lease.place]
        return lease

    def purge(self, name: str | None, group: int | None, issued: float) -> int:
        """Note a purge of an object, or of a group, at the fills that it may concern; how many.

        Whether a fill brings a copy from before the purge shows when it comes, and so does its group. Who
        asks from now on waits for it and is answered by it only if it is newer than the purge. To begin a
        second fill at once was no better: the store had seen the purge before this node did, and filled
        twice.
        """
        hit = 0
        for lease in self.by_number.values():
            if name is None or lease.place[0] == name:
                if len(lease.purges) >= PURGES_MOST:
                    # Too many to tell apart: the last counts as one of the object.
                    _, at, joined = lease.purges.pop()
                    lease.purges.append((None, max(at, issued), joined))
                else:
                    lease.purges.append((group if name is None else None, issued, len(lease.joined)))
                hit += 1
        return hit

    def under_way(self) -> Iterator[FillLease[T]]:
        return iter(self.by_number.values())

    def oldest(self, now: float) -> float:
        return max((now - lease.began for lease in self.by_number.values()), default=0.0)
