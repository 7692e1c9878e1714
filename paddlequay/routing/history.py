"""Bounded memories of what was read and of what was purged: they count and forget, and decide nothing."""

import math
from collections import OrderedDict
from collections.abc import Hashable

from paddlequay.routing.state import Seen

OBJECTS_MOST, OBJECT_AGE_S = 20000, 30.0  # older reads weigh nothing: objects are new all day long
PURGES_MOST = 5000
HOLDERS_MOST = 3


class Reads:
    """How often parts of objects were read, fading over `fade` seconds, and who was seen holding them.

    Bounded by `OBJECTS_MOST` parts, `OBJECT_AGE_S` of age and `HOLDERS_MOST` holders of each.
    """

    def __init__(self, fade: float) -> None:
        self.fade = fade
        self.table: OrderedDict[Hashable, Seen] = OrderedDict()

    def read(self, place: Hashable, now: float) -> tuple[Seen, float, float]:
        """Count a read: the record, how many reads it had before, and the seconds since the last of them."""
        seen = self.place(place, now)
        before, since = seen.reads, now - seen.read_at
        seen.reads = 1.0 + before * math.exp(-since / self.fade)
        seen.read_at = now
        return seen, before, since

    def place(self, place: Hashable, now: float) -> Seen:
        """The record of a place, a new one where there is none."""
        seen = self.table.get(place)
        if seen is None:
            seen = self.table[place] = Seen(now)
            oldest = now - OBJECT_AGE_S
            while len(self.table) > OBJECTS_MOST or next(iter(self.table.values())).read_at < oldest:
                self.table.popitem(last=False)
        self.table.move_to_end(place)
        return seen

    def told(self, place: Hashable, name: str, now: float) -> None:
        """A cache is said to hold a part, which is no read of it."""
        self.add_holder(self.place(place, now), name, now)

    def add_holder(self, seen: Seen, name: str, now: float) -> None:
        """A part was asked of a cache, which has it from then on."""
        seen.holders.pop(name, None)
        seen.holders[name] = now
        if len(seen.holders) > HOLDERS_MOST:
            del seen.holders[next(iter(seen.holders))]

    def drop_holder(self, seen: Seen, name: str) -> None:
        """A cache was seen to lack a part; unknown names are no error."""
        seen.holders.pop(name, None)


class LeastMean:
    """The least mean of `count` values in a row, by name; bounded by the names."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.sums: dict[str, tuple[int, float]] = {}

    def heard(self, name: str, value: float, least: float) -> float:
        """Another value: the lesser of `least` and the mean, where that is complete."""
        count, total = self.sums.pop(name, (0, 0.0))
        if count + 1 >= self.count:
            return min(least, (total + value) / (count + 1))
        self.sums[name] = (count + 1, total + value)
        return least


class Purges:
    """When objects and groups were purged, for as long as older copies may live: `done` seconds.

    Not told how long old copies live, a purge binds for good, which costs refetches and never a rule.
    """

    def __init__(self, done: float | None) -> None:
        self.done = math.inf if done is None else done
        self.table: OrderedDict[tuple[str, int | None], float] = OrderedDict()
        self.all_purged = -math.inf

    def add(self, group: int | None, key: int | None, at: float, now: float) -> None:
        """Remember a purge until the copies are cleared; too many fold into one purge of everything."""
        name = ("group", group or 0) if key is None else ("key", key)
        self.table[name] = max(self.table.get(name, -math.inf), at)
        self.table.move_to_end(name)
        while self.table and (
            len(self.table) > PURGES_MOST or now - next(iter(self.table.values())) > self.done
        ):
            at = self.table.popitem(last=False)[1]
            if now - at <= self.done:
                self.all_purged = max(self.all_purged, at)

    def age(self, group: int | None, key: int | None, now: float) -> float | None:
        """Seconds since an object was last purged; None where no older copy lives."""
        purged = self.all_purged
        for name in (("group", group), ("key", key)):
            purged = max(purged, self.table.get(name, -math.inf))
        return now - purged if now - purged <= self.done and purged > -math.inf else None
