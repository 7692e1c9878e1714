"""Homes of objects: in which order members are asked for a key, at a cost that hardly grows with the members.

Weighted rendezvous over slots. A key falls into one of `SLOTS` slots; for each slot every member draws an
exponential arrival, and the order of the arrivals is the order of the homes (Thaler and Ravishankar, "Using
name-based mappings to increase hit rates", 1998; weights by exponential arrivals as in Efraimidis and
Spirakis, 2006). It is a pure function of the key, the members and their weights, so that routers which share
nothing agree, and a change moves only the objects that it must.

What is looked up is remembered for its slot and mended at the next look-up by the changes that came since, so
that neither a look-up nor a change walks through all members. docs/hierarchy.md compares the ways.
"""

import heapq
import math
from bisect import insort
from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

from xxhash import xxh3_64_intdigest

from paddlequay.routing.interface import Request

M = TypeVar("M")

SLOTS = 1 << 16  # the same for all routers for good: another number moves every object
DEPTH = 8  # homes remembered for a slot; who needs more has them sorted anew
SMALL = 12  # up to so many members sorting is cheaper than remembering
CHANGES_MOST = 256  # changes remembered for mending; past it a slot is sorted anew
REMEMBERED_MOST = 32_768  # slots
LEAST_WEIGHT = 1e-6  # a member of weight 0 stays last and divides nothing by zero

MASK = (1 << 64) - 1

Entry = tuple[float, str]


def digest(text: str) -> int:
    """The same 64 bits for a text in every process, unlike the builtin hash."""
    return xxh3_64_intdigest(text)


def arrival(seed: int, slot: int, weight: float) -> float:
    """A member's draw for a slot: exponential with rate `weight`; the lowest is the home."""
    unit = (seed ^ (slot * 0xD6E8FEB86659FD93)) * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019 & MASK
    unit = ((unit ^ (unit >> 29)) * 0xBF58476D1CE4E5B9) & MASK
    unit ^= unit >> 32
    return -math.log((unit + 1) / 2.0**64) / weight


def object_key(name: str) -> int:
    """The number of an object by its name: hex digits as clients give them, else a digest."""
    try:
        return int(name, 16) & MASK
    except ValueError:
        return digest(name)


def placement_key(key: int | None, part: int | None = None) -> int:
    """One key for an object, or for one part of it."""
    return (key or 0) ^ (0 if part is None else (part + 1) * 0xA0761D6478BD642F & MASK)


def slot_of(key: int) -> int:
    """The slot of a 64-bit key, which need not be evenly spread."""
    mixed = (key * 0x9E3779B97F4A7C15) & MASK
    return ((mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9 & MASK) >> 48


def always_whole(_: object) -> float:
    """The share of members that are all warm."""
    return 1.0


class Homes(Generic[M]):
    """Members by name, and the order in which they are homes of a key.

    Bounds: `remembered` slots of `DEPTH` entries, `CHANGES_MOST` changes. Who is removed is not held.
    """

    def __init__(self, small: int = SMALL, remembered: int | None = None) -> None:
        self.small = small
        self.remembered = REMEMBERED_MOST if remembered is None else remembered
        self.members: dict[str, M] = {}
        self.weights: dict[str, float] = {}
        self.seeds: dict[str, int] = {}
        self.slots: dict[int, tuple[int, list[Entry]]] = {}  # the change they are mended up to, the entries
        self.changes: list[str] = []  # names whose place changed: `first` is the number of the earliest kept
        self.first = 0
        self.sorted_anew = 0  # look-ups that walked through all members, for measurements

    def __len__(self) -> int:
        return len(self.members)

    def put(self, name: str, member: M, weight: float = 1.0) -> None:
        """Add a member, or replace what stands under its name; a new weight moves its objects."""
        weight = max(LEAST_WEIGHT, weight)
        if self.weights.get(name) != weight:
            self.weights[name] = weight
            self.seeds[name] = digest(name)
            self.changed(name)
        self.members[name] = member

    def remove(self, name: str) -> None:
        """Forget a member; unknown names are no error."""
        if name in self.members:
            del self.members[name], self.weights[name], self.seeds[name]
            self.changed(name)

    def reset(self, members: Iterable[tuple[str, M, float]]) -> None:
        """Exactly these members from now on; what stays as it was keeps its slots."""
        listed = {name: (member, weight) for name, member, weight in members}
        for name in [name for name in self.members if name not in listed]:
            self.remove(name)
        for name, (member, weight) in listed.items():
            self.put(name, member, weight)

    def changed(self, name: str) -> None:
        self.changes.append(name)
        if len(self.changes) > CHANGES_MOST:
            # Half at once: slots mended up to before that are sorted anew when they are next asked for.
            drop = CHANGES_MOST // 2
            del self.changes[:drop]
            self.first += drop

    def ranking(self, slot: int, depth: int) -> list[Entry]:
        """The first `depth` members of a slot by a walk through all."""
        self.sorted_anew += 1
        seeds, weights = self.seeds, self.weights
        entries = [(arrival(seeds[name], slot, weights[name]), name) for name in seeds]
        return sorted(entries) if depth >= len(entries) else heapq.nsmallest(depth, entries)

    def entries(self, slot: int) -> tuple[list[Entry], bool]:
        """What is remembered of a slot, mended; and whether that is all members."""
        if len(self.members) <= self.small:
            return self.ranking(slot, len(self.members)), True
        now = self.first + len(self.changes)
        found = self.slots.get(slot)
        if found is not None and found[0] >= self.first:
            upto, entries = found
            if upto == now:
                return entries, False
            # A list, or one that a reader may be walking, is never changed in place.
            entries = entries.copy()
            last = entries[-1][0] if entries else -math.inf
            for name in dict.fromkeys(self.changes[upto - self.first :]):
                entries = [entry for entry in entries if entry[1] != name]
                if name in self.seeds:
                    at = arrival(self.seeds[name], slot, self.weights[name])
                    # Past the last remembered there may be others before it.
                    if at < last:
                        insort(entries, (at, name))
            if len(entries) >= DEPTH // 2:
                entries = entries[:DEPTH]
                self.slots[slot] = (now, entries)
                return entries, False
        entries = self.ranking(slot, DEPTH)
        self.slots.pop(slot, None)
        while len(self.slots) >= self.remembered:
            del self.slots[next(iter(self.slots))]
        self.slots[slot] = (now, entries)
        return entries, False

    def order(self, key: int, share: Callable[[M], float] = always_whole) -> Iterator[M]:
        """Members from the first home on, lazily: who takes the first pays for the first.

        `share` in (0, 1] scales a member's weight now, as for one that warms up: its arrivals come later by
        that much, and move back as the share grows, so that each object moves to a newcomer once.
        """
        return self.in_slot(slot_of(key), share)

    def in_slot(self, slot: int, share: Callable[[M], float] = always_whole) -> Iterator[M]:
        """The same for a slot, or for a shard of a table, whose numbers are as good."""
        members = self.members
        entries, whole = self.entries(slot)
        later: list[Entry] = []
        seen = 0
        for at, name in entries:
            while later and later[0][0] <= at:
                yield members[heapq.heappop(later)[1]]
            member = members.get(name)
            seen += 1
            if member is None:
                continue  # removed while the order was walked
            part = share(member)
            if part < 1.0:
                heapq.heappush(later, (at / max(LEAST_WEIGHT, part), name))
            else:
                yield member
        if not whole:
            # Beyond what is remembered: all others, scaled, in their order.
            for at, name in self.ranking(slot, len(members))[seen:]:
                heapq.heappush(later, (at / max(LEAST_WEIGHT, share(members[name])), name))
        while later:
            name = heapq.heappop(later)[1]
            if name in members:
                yield members[name]

    def lookup_key(self, request: Request) -> int:
        """What the order of a request's homes is asked for by."""
        return placement_key(request.key, request.part)

    def first_home(self, key: int) -> M | None:
        """The first home of a key, all members taken as warm."""
        return next(self.order(key), None)

    def first_home_names(self, key: int, count: int) -> list[str]:
        """Names of the first homes, `count` of them or all there are, all taken as warm."""
        entries, whole = self.entries(slot_of(key))
        if count > len(entries) and not whole:
            entries = self.ranking(slot_of(key), count)
        return [name for _, name in entries[:count]]
