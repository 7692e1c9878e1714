"""Copies in memory: bounded bytes, ranks, purges. Lowest ranks go first, then what was used longest ago.

A copy never displaces one of a higher rank. One index per rank in order of use, one by object and one by
group, so that a look-up, a purge of an object and an eviction each cost what they touch and no walk through
the rest.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

K = TypeVar("K")

PartKey = tuple[str, int | None]
"""An object and one of its parts."""

RANKS = 4
PURGES_MOST = 20_000


@dataclass(slots=True)
class CachedCopy:
    """One part of an object. `minted` is the Unix second at which the store gave it out."""

    body: bytes | bytearray | memoryview
    tag: str
    minted: float
    group: int | None = None
    rank: int = 0

    @property
    def size(self) -> int:
        """Bytes charged: the body, and what the entry itself costs in the indexes."""
        return len(self.body) + OVERHEAD


OVERHEAD = 512


def unlist(index: dict[K, set[PartKey]], name: K, place: PartKey) -> None:
    index[name].discard(place)
    if not index[name]:
        del index[name]


class CopyCache:
    """All copies of a node within `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.bytes = 0
        self.evicted = 0
        self.places: dict[PartKey, CachedCopy] = {}
        self.by_use: tuple[OrderedDict[PartKey, None], ...] = tuple(OrderedDict() for _ in range(RANKS))
        self.by_object: dict[str, set[PartKey]] = {}
        self.by_group: dict[int | None, set[PartKey]] = {}

    def __len__(self) -> int:
        return len(self.places)

    def get(self, place: PartKey) -> CachedCopy | None:
        """The copy, used now."""
        copy = self.places.get(place)
        if copy is not None:
            self.by_use[copy.rank].move_to_end(place)
        return copy

    def peek(self, place: PartKey) -> CachedCopy | None:
        """The copy, left in its order."""
        return self.places.get(place)

    def put(self, place: PartKey, copy: CachedCopy) -> bool:
        """Keep a copy if it fits without displacing higher ranks; an older one never replaces a newer one."""
        known = self.places.get(place)
        if known is not None:
            if known.minted > copy.minted:
                return False
            copy.rank = max(known.rank, copy.rank)
        if not self.fits(copy, known):
            return False
        if known is not None:
            self.drop(place)
        while self.bytes + copy.size > self.most:
            self.drop(next(iter(next(order for order in self.by_use if order))))
            self.evicted += 1
        self.places[place] = copy
        self.by_use[copy.rank][place] = None
        self.by_object.setdefault(place[0], set()).add(place)
        self.by_group.setdefault(copy.group, set()).add(place)
        self.bytes += copy.size
        return True

    def fits(self, copy: CachedCopy, known: CachedCopy | None) -> bool:
        """Whether what may go makes room enough."""
        free = self.most - self.bytes + (known.size if known is not None else 0)
        if copy.size <= free:
            return True
        for rank in range(copy.rank + 1):
            for place in self.by_use[rank]:
                if self.places[place] is not known:
                    free += self.places[place].size
                if copy.size <= free:
                    return True
        return False

    def drop(self, place: PartKey) -> None:
        copy = self.places.pop(place, None)
        if copy is None:
            return
        self.bytes -= copy.size
        del self.by_use[copy.rank][place]
        unlist(self.by_object, place[0], place)
        unlist(self.by_group, copy.group, place)

    def purge(self, name: str | None, group: int | None, issued: float) -> int:
        """Drop copies of an object, or of a group, that are older than a purge; how many went.

        A copy whose group was never told may belong to any.
        """
        if name is not None:
            places = set(self.by_object.get(name, ()))
        else:
            places = self.by_group.get(group, set()) | self.by_group.get(None, set())
        old = [place for place in places if self.places[place].minted < issued]
        for place in old:
            self.drop(place)
        return len(old)

    def held(self) -> Iterator[tuple[PartKey, CachedCopy]]:
        return iter(self.places.items())


class PurgeHistory:
    """When objects and groups were purged last; the oldest time at which a copy of a place may be minted.

    Bounds: `most` purges, each for `memory` seconds, after which no copy from before it is left anywhere.
    Past the bound the oldest fold into one purge of everything, which costs fills and never a rule.
    """

    def __init__(self, memory: float, most: int = PURGES_MOST) -> None:
        self.memory, self.most = memory, most
        self.at: OrderedDict[tuple[str | None, int | None], float] = OrderedDict()
        self.groups = -math.inf  # the latest purge of any group: binds where the group is not known
        self.everything = -math.inf

    def add(self, name: str | None, group: int | None, issued: float, now: float) -> None:
        place = (name, None) if name is not None else (None, group)
        self.at[place] = max(issued, self.at.pop(place, -math.inf))
        if name is None:
            self.groups = max(self.groups, issued)
        while self.at and (len(self.at) > self.most or now - next(iter(self.at.values())) > self.memory):
            at = self.at.popitem(last=False)[1]
            if now - at <= self.memory:
                self.everything = max(self.everything, at)

    def of_object(self, name: str) -> float:
        """The floor by purges of the object itself, where its group is not known yet."""
        return max(self.everything, self.at.get((name, None), -math.inf))

    def floor(self, name: str, group: int | None) -> float:
        """No copy of this object minted before this Unix second may answer anything."""
        by_group = self.groups if group is None else self.at.get((None, group), -math.inf)
        return max(self.everything, by_group, self.at.get((name, None), -math.inf))
