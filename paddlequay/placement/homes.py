"""The homes of objects: the order in which members are tried for a key, without visiting all of them.

This is weighted rendezvous hashing over slots. A key falls into one of `SLOT_COUNT` slots. For each slot
every member draws an exponential arrival time, and the members are the homes in order of arrival (Thaler
and Ravishankar, "Using name-based mappings to increase hit rates", 1998; weights by exponential arrivals as
in Efraimidis and Spirakis, 2006). The order is a pure function of the key, the members and their weights,
so that routers agree without communication, and a change of the members moves as few objects as possible.

The first members of a slot are cached. The next look-up in the slot applies the changes made since, so that
neither a look-up nor a change visits all members. docs/hierarchy.md compares this with other ways.
"""

import heapq
import math
from bisect import insort
from collections.abc import Callable, Iterable, Iterator
from typing import Generic, TypeVar

from xxhash import xxh3_64_intdigest

from paddlequay.routing.interface import Request

M = TypeVar("M")

SLOT_BITS = 16
SLOT_COUNT = 1 << SLOT_BITS  # the same at all routers: another number would move every object
CACHED_MEMBERS_PER_SLOT = 8  # members that are cached for one slot
MAX_UNCACHED_MEMBERS = 12  # for up to this many members, sorting is cheaper than caching
MAX_CHANGES = 256  # recorded to update cached slots; a slot older than these changes is ranked anew
MAX_CACHED_SLOTS = 32_768
MIN_WEIGHT = 1e-6  # replaces lower weights, since 0 would divide by zero; such a member is ranked last

MASK_64 = (1 << 64) - 1

# Constants of the 64-bit hashes below, also the same at all routers. The hashes multiply and xor-shift as the
# finalizer of SplitMix64 does (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
# 2014), with one round.
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio: the increment of SplitMix64
MIX_MULTIPLIER = 0xBF58476D1CE4E5B9  # the first multiplier of SplitMix64
MIX_SHIFT_BITS = 29
FINAL_SHIFT_BITS = 32
SLOT_MULTIPLIER = 0xD6E8FEB86659FD93  # odd, so that all slots give different hash inputs for one seed
DRAW_OFFSET = 0x632BE59BD9B4E019  # keeps an input of 0 from being hashed to 0
PART_MULTIPLIER = 0xA0761D6478BD642F  # odd, so that all parts of an object have different keys

Entry = tuple[float, str]  # a member's arrival and name


def digest(text: str) -> int:
    """Returns the 64-bit hash of a text, which is the same in every process, unlike the builtin hash."""
    return xxh3_64_intdigest(text)


def arrival(seed: int, slot: int, weight: float) -> float:
    """Returns a member's arrival time at a slot, a draw from the exponential distribution of rate `weight`.

    The member with the earliest arrival is the first home of the slot.

    Args:
        seed: The `digest` of the member's name.
        slot: The slot, or the shard of a table.
        weight: The member's weight, above 0.
    """
    mixed = ((seed ^ (slot * SLOT_MULTIPLIER)) * GOLDEN_RATIO_64 + DRAW_OFFSET) & MASK_64
    mixed = ((mixed ^ (mixed >> MIX_SHIFT_BITS)) * MIX_MULTIPLIER) & MASK_64
    mixed ^= mixed >> FINAL_SHIFT_BITS
    return -math.log((mixed + 1) / 2.0**64) / weight


def object_key(name: str) -> int:
    """Returns the 64-bit key of an object: its name read as a hexadecimal number, else the name's digest."""
    try:
        return int(name, 16) & MASK_64
    except ValueError:
        return digest(name)


def placement_key(key: int | None, part: int | None = None) -> int:
    """Returns the 64-bit key that decides the placement of an object or of one part of it."""
    if part is None:
        return key or 0
    return (key or 0) ^ (((part + 1) * PART_MULTIPLIER) & MASK_64)


def slot_of(key: int) -> int:
    """Returns the slot of a 64-bit key, which need not be evenly distributed."""
    mixed = (key * GOLDEN_RATIO_64) & MASK_64
    mixed = ((mixed ^ (mixed >> MIX_SHIFT_BITS)) * MIX_MULTIPLIER) & MASK_64
    return mixed >> (64 - SLOT_BITS)


def full_weight_factor(_: object) -> float:
    """Returns 1, the weight factor of a member that is not in slow start."""
    return 1.0


class Homes(Generic[M]):
    """Members by name, and the order in which they are the homes of a key.

    Memory: up to `max_cached_slots` slots of `CACHED_MEMBERS_PER_SLOT` entries, and `MAX_CHANGES` changes.
    """

    def __init__(
        self, max_uncached_members: int = MAX_UNCACHED_MEMBERS, max_cached_slots: int | None = None
    ) -> None:
        """Creates homes without members.

        Args:
            max_uncached_members: The number of members up to which slots are not cached.
            max_cached_slots: The maximum number of cached slots; None means `MAX_CACHED_SLOTS`.
        """
        self.max_uncached_members = max_uncached_members
        self.max_cached_slots = MAX_CACHED_SLOTS if max_cached_slots is None else max_cached_slots
        self.members: dict[str, M] = {}
        self.weights: dict[str, float] = {}
        self.seeds: dict[str, int] = {}
        # By slot: the number of changes that the entries take into account, and the entries.
        self.slots: dict[int, tuple[int, list[Entry]]] = {}
        self.changes: list[str] = []  # names of members that were added or removed, or whose weight changed
        self.first_change = 0  # the number of the earliest change in `changes`
        self.full_rankings = 0  # how often all members were ranked, for measurements

    def __len__(self) -> int:
        return len(self.members)

    def put(self, name: str, member: M, weight: float = 1.0) -> None:
        """Adds a member or replaces the one of that name; another weight moves some of its objects."""
        weight = max(MIN_WEIGHT, weight)
        if self.weights.get(name) != weight:
            self.weights[name] = weight
            self.seeds[name] = digest(name)
            self.record_change(name)
        self.members[name] = member

    def remove(self, name: str) -> None:
        """Removes a member; ignores an unknown name."""
        if name in self.members:
            del self.members[name], self.weights[name], self.seeds[name]
            self.record_change(name)

    def reset(self, members: Iterable[tuple[str, M, float]]) -> None:
        """Replaces all members by those given as name, member and weight; unchanged ones stay cached."""
        new_members = {name: (member, weight) for name, member, weight in members}
        for name in [name for name in self.members if name not in new_members]:
            self.remove(name)
        for name, (member, weight) in new_members.items():
            self.put(name, member, weight)

    def record_change(self, name: str) -> None:
        """Records a change; past `MAX_CHANGES` drops the older half, and older cached slots become stale."""
        self.changes.append(name)
        if len(self.changes) > MAX_CHANGES:
            dropped = MAX_CHANGES // 2
            del self.changes[:dropped]
            self.first_change += dropped

    def rank_all(self, slot: int, depth: int) -> list[Entry]:
        """Returns the first `depth` entries of a slot, from the arrivals of all members."""
        self.full_rankings += 1
        seeds, weights = self.seeds, self.weights
        entries = [(arrival(seeds[name], slot, weights[name]), name) for name in seeds]
        return sorted(entries) if depth >= len(entries) else heapq.nsmallest(depth, entries)

    def first_entries(self, slot: int) -> tuple[list[Entry], bool]:
        """Returns the first entries of a slot, cached if possible, and whether they include all members."""
        if len(self.members) <= self.max_uncached_members:
            return self.rank_all(slot, len(self.members)), True
        current = self.first_change + len(self.changes)
        cached = self.slots.get(slot)
        if cached is not None and cached[0] >= self.first_change:
            change, entries = cached
            if change == current:
                return entries, False
            entries = self.apply_changes(slot, entries, self.changes[change - self.first_change :])
            if len(entries) >= CACHED_MEMBERS_PER_SLOT // 2:
                entries = entries[:CACHED_MEMBERS_PER_SLOT]
                self.slots[slot] = (current, entries)
                return entries, False
        entries = self.rank_all(slot, CACHED_MEMBERS_PER_SLOT)
        self.slots.pop(slot, None)
        while len(self.slots) >= self.max_cached_slots:
            del self.slots[next(iter(self.slots))]
        self.slots[slot] = (current, entries)
        return entries, False

    def apply_changes(self, slot: int, entries: list[Entry], changes: list[str]) -> list[Entry]:
        """Returns a slot's entries after changes as a new list: readers may still iterate over the old."""
        entries = entries.copy()
        # Members that are not cached may arrive after the last cached arrival, so nothing is added there.
        last_arrival = entries[-1][0] if entries else -math.inf
        for name in dict.fromkeys(changes):
            entries = [entry for entry in entries if entry[1] != name]
            if name in self.seeds:
                at = arrival(self.seeds[name], slot, self.weights[name])
                if at < last_arrival:
                    insort(entries, (at, name))
        return entries

    def order(self, key: int, weight_factor: Callable[[M], float] = full_weight_factor) -> Iterator[M]:
        """Yields the members lazily, in the order in which they are the homes of a key.

        Args:
            key: The key of the object, by `lookup_key`.
            weight_factor: Returns the current factor in (0, 1] on a member's weight, below 1 in slow start.
                The member's arrivals are divided by it: they come later, and move back as the factor grows,
                so that each object moves to a new member only once.
        """
        return self.order_in_slot(slot_of(key), weight_factor)

    def order_in_slot(
        self, slot: int, weight_factor: Callable[[M], float] = full_weight_factor
    ) -> Iterator[M]:
        """Yields the members in the order of a slot, or of a table's shard, as `order` does for a key."""
        members = self.members
        entries, complete = self.first_entries(slot)
        delayed: list[Entry] = []
        visited = 0
        for at, name in entries:
            while delayed and delayed[0][0] <= at:
                yield members[heapq.heappop(delayed)[1]]
            member = members.get(name)
            visited += 1
            if member is None:
                continue  # the member was removed during the iteration
            factor = weight_factor(member)
            if factor < 1.0:
                heapq.heappush(delayed, (at / max(MIN_WEIGHT, factor), name))
            else:
                yield member
        if not complete:
            for at, name in self.rank_all(slot, len(members))[visited:]:
                factor = weight_factor(members[name])
                heapq.heappush(delayed, (at / max(MIN_WEIGHT, factor), name))
        while delayed:
            name = heapq.heappop(delayed)[1]
            if name in members:
                yield members[name]

    def lookup_key(self, request: Request) -> int:
        """Returns the key by which `order` finds the homes of a request."""
        return placement_key(request.key, request.part)

    def first_home(self, key: int) -> M | None:
        """Returns the first home of a key if all members have full weight; None if there are no members."""
        return next(self.order(key), None)

    def first_home_names(self, key: int, count: int) -> list[str]:
        """Returns the names of up to `count` first homes of a key if all members have full weight."""
        entries, complete = self.first_entries(slot_of(key))
        if count > len(entries) and not complete:
            entries = self.rank_all(slot_of(key), count)
        return [name for _, name in entries[:count]]
