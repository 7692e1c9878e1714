"""Bounded memories of what was read and of what was purged: they count and forget, and decide nothing."""

import math
from collections import OrderedDict
from collections.abc import Hashable

from paddlequay.routing.state import ObjectState

MAX_OBJECTS, MAX_OBJECT_AGE_S = 20000, 30.0  # older reads weigh nothing: objects are new all day long
MAX_PURGES = 5000
MAX_HOLDERS = 3


class ReadHistory:
    """How often parts of objects were read, fading over `fade` seconds, and who was seen holding them.

    Bounded by `OBJECTS_MOST` parts, `OBJECT_AGE_S` of age and `HOLDERS_MOST` holders of each.
    """

    def __init__(self, fade: float) -> None:
        self.decay_time = fade
        self.objects: OrderedDict[Hashable, ObjectState] = OrderedDict()

    def record_read(self, place: Hashable, now: float) -> tuple[ObjectState, float, float]:
        """Count a read: the record, how many reads it had before, and the seconds since the last of them."""
        seen = self.object_at(place, now)
        before, since = seen.read_count, now - seen.read_at
        seen.read_count = 1.0 + before * math.exp(-since / self.decay_time)
        seen.read_at = now
        return seen, before, since

    def object_at(self, place: Hashable, now: float) -> ObjectState:
        """The record of a place, a new one where there is none."""
        seen = self.objects.get(place)
        if seen is None:
            seen = self.objects[place] = ObjectState(now)
            oldest = now - MAX_OBJECT_AGE_S
            while len(self.objects) > MAX_OBJECTS or next(iter(self.objects.values())).read_at < oldest:
                self.objects.popitem(last=False)
        self.objects.move_to_end(place)
        return seen

    def report_holder(self, place: Hashable, name: str, now: float) -> None:
        """A cache is said to hold a part, which is no read of it."""
        self.add_holder(self.object_at(place, now), name, now)

    def add_holder(self, seen: ObjectState, name: str, now: float) -> None:
        """A part was asked of a cache, which has it from then on."""
        seen.holders.pop(name, None)
        seen.holders[name] = now
        if len(seen.holders) > MAX_HOLDERS:
            del seen.holders[next(iter(seen.holders))]

    def drop_holder(self, seen: ObjectState, name: str) -> None:
        """A cache was seen to lack a part; unknown names are no error."""
        seen.holders.pop(name, None)


class LowestWindowMean:
    """The least mean of `count` values in a row, by name; bounded by the names."""

    def __init__(self, count: int) -> None:
        self.window = count
        self.sums: dict[str, tuple[int, float]] = {}

    def update(self, name: str, value: float, least: float) -> float:
        """Another value: the lesser of `least` and the mean, where that is complete."""
        count, total = self.sums.pop(name, (0, 0.0))
        if count + 1 >= self.window:
            return min(least, (total + value) / (count + 1))
        self.sums[name] = (count + 1, total + value)
        return least


class PurgeHistory:
    """When objects and groups were purged, for as long as older copies may live: `done` seconds.

    Not told how long old copies live, a purge binds for good, which costs refetches and never a rule.
    """

    def __init__(self, done: float | None) -> None:
        self.completion_time = math.inf if done is None else done
        self.purged_at: OrderedDict[tuple[str, int | None], float] = OrderedDict()
        self.all_purged_at = -math.inf

    def add(self, group: int | None, key: int | None, at: float, now: float) -> None:
        """Remember a purge until the copies are cleared; too many fold into one purge of everything."""
        name = ("group", group or 0) if key is None else ("key", key)
        self.purged_at[name] = max(self.purged_at.get(name, -math.inf), at)
        self.purged_at.move_to_end(name)
        while self.purged_at and (
            len(self.purged_at) > MAX_PURGES
            or now - next(iter(self.purged_at.values())) > self.completion_time
        ):
            at = self.purged_at.popitem(last=False)[1]
            if now - at <= self.completion_time:
                self.all_purged_at = max(self.all_purged_at, at)

    def age(self, group: int | None, key: int | None, now: float) -> float | None:
        """Seconds since an object was last purged; None where no older copy lives."""
        purged = self.all_purged_at
        for name in (("group", group), ("key", key)):
            purged = max(purged, self.purged_at.get(name, -math.inf))
        return now - purged if now - purged <= self.completion_time and purged > -math.inf else None
