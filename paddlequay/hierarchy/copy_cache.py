"""Cached copies in memory, bounded in bytes, evicted by retention and then by last use.

A copy never displaces one of a higher retention. There is one index per retention in order of use, one by
object and one by purge group, so that a look-up, a purge and an eviction visit only the copies concerned.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

K = TypeVar("K")

RETENTION_COUNT = 4
ENTRY_OVERHEAD_BYTES = 512  # memory of one entry in the indexes


class PartKey(NamedTuple):
    """An object and one of its parts; the part is None for an object without parts."""

    object_name: str
    part: int | None


@dataclass(slots=True)
class CachedCopy:
    """One part of an object.

    `generated_at` is the Unix second at which the origin generated the copy; `group` is the purge group, None
    if it is not known; copies of `retention` 0 are evicted first, those of 3 last.
    """

    body: bytes | bytearray | memoryview
    tag: str
    generated_at: float
    group: int | None = None
    retention: int = 0

    @property
    def size(self) -> int:
        """The bytes charged for the copy: its body and the entry's overhead."""
        return len(self.body) + ENTRY_OVERHEAD_BYTES


class CopyCache:
    """All cached copies of a node.

    Args:
        max_bytes: The limit of all copies' sizes together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.evicted = 0
        self.copies: dict[PartKey, CachedCopy] = {}
        # By retention: the keys in order of use, the least recently used first.
        self.by_use: tuple[OrderedDict[PartKey, None], ...] = tuple(
            OrderedDict() for _ in range(RETENTION_COUNT)
        )
        self.by_object: dict[str, set[PartKey]] = {}
        self.by_group: dict[int | None, set[PartKey]] = {}

    def __len__(self) -> int:
        return len(self.copies)

    def get(self, key: PartKey) -> CachedCopy | None:
        """Returns a copy and records its use."""
        copy = self.copies.get(key)
        if copy is not None:
            self.by_use[copy.retention].move_to_end(key)
        return copy

    def peek(self, key: PartKey) -> CachedCopy | None:
        """Returns a copy without recording a use."""
        return self.copies.get(key)

    def put(self, key: PartKey, copy: CachedCopy) -> bool:
        """Stores a copy and returns whether it was stored.

        It is not stored if a newer one is cached or if it would displace a copy of a higher retention. A copy
        inherits the retention of the one that it replaces, if that is higher.
        """
        replaced = self.copies.get(key)
        if replaced is not None:
            if replaced.generated_at > copy.generated_at:
                return False
            copy.retention = max(replaced.retention, copy.retention)
        if not self.can_fit(copy, replaced):
            return False
        if replaced is not None:
            self.drop(key)
        while self.bytes + copy.size > self.max_bytes:
            self._evict_one()
        self._insert(key, copy)
        return True

    def can_fit(self, copy: CachedCopy, replaced: CachedCopy | None) -> bool:
        """Returns whether a copy fits if copies of the same or a lower retention are evicted.

        Args:
            copy: The new copy.
            replaced: The copy that it replaces, whose bytes become free in any case.
        """
        free = self.max_bytes - self.bytes
        if replaced is not None:
            free += replaced.size
        if copy.size <= free:
            return True
        for retention in range(copy.retention + 1):
            for key in self.by_use[retention]:
                if self.copies[key] is not replaced:
                    free += self.copies[key].size
                if copy.size <= free:
                    return True
        return False

    def drop(self, key: PartKey) -> None:
        """Removes a copy, if it is cached."""
        copy = self.copies.pop(key, None)
        if copy is None:
            return
        self.bytes -= copy.size
        del self.by_use[copy.retention][key]
        _remove_from_index(self.by_object, key.object_name, key)
        _remove_from_index(self.by_group, copy.group, key)

    def purge(self, object_name: str | None, group: int | None, purged_at: float) -> int:
        """Drops the copies of an object or of a group that are older than a purge.

        A copy whose group is not known counts as a member of every group.

        Args:
            object_name: The object that is purged; None for the purge of a group.
            group: The group that is purged, where `object_name` is None.
            purged_at: When the purge was issued, in Unix seconds.

        Returns:
            How many copies were dropped.
        """
        if object_name is not None:
            keys = set(self.by_object.get(object_name, ()))
        else:
            keys = self.by_group.get(group, set()) | self.by_group.get(None, set())
        outdated = [key for key in keys if self.copies[key].generated_at < purged_at]
        for key in outdated:
            self.drop(key)
        return len(outdated)

    def items(self) -> Iterator[tuple[PartKey, CachedCopy]]:
        """Returns all copies with their keys."""
        return iter(self.copies.items())

    def _evict_one(self) -> None:
        """Drops the least recently used copy of the lowest retention."""
        lowest = next(order for order in self.by_use if order)
        self.drop(next(iter(lowest)))
        self.evicted += 1

    def _insert(self, key: PartKey, copy: CachedCopy) -> None:
        self.copies[key] = copy
        self.by_use[copy.retention][key] = None
        self.by_object.setdefault(key.object_name, set()).add(key)
        self.by_group.setdefault(copy.group, set()).add(key)
        self.bytes += copy.size


def _remove_from_index(index: dict[K, set[PartKey]], name: K, key: PartKey) -> None:
    index[name].discard(key)
    if not index[name]:
        del index[name]
