"""Bounded histories of reads and of purges: they count and forget, and decide nothing."""

import math
from collections import OrderedDict
from collections.abc import Hashable

from paddlequay.routing.state import ObjectState

MAX_OBJECTS, MAX_OBJECT_AGE_S = 20000, 30.0  # older reads weigh nothing: objects are new all day long
MAX_PURGES = 5000
MAX_HOLDERS = 3


class ReadHistory:
    """How often parts of objects were read, decaying over `decay_time` seconds, and who holds them.

    Bounded by `MAX_OBJECTS` parts, `MAX_OBJECT_AGE_S` of age and `MAX_HOLDERS` holders of each.
    """

    def __init__(self, decay_time: float) -> None:
        self.decay_time = decay_time
        self.objects: OrderedDict[Hashable, ObjectState] = OrderedDict()

    def record_read(self, place: Hashable, now: float) -> tuple[ObjectState, float, float]:
        """Count a read: the part, its earlier reads, and the seconds since the last of them."""
        part = self.object_at(place, now)
        earlier_reads, since = part.read_count, now - part.read_at
        part.read_count = 1.0 + earlier_reads * math.exp(-since / self.decay_time)
        part.read_at = now
        return part, earlier_reads, since

    def object_at(self, place: Hashable, now: float) -> ObjectState:
        """The state of the part at a place, a new one where there is none."""
        part = self.objects.get(place)
        if part is None:
            part = self.objects[place] = ObjectState(now)
            oldest = now - MAX_OBJECT_AGE_S
            while len(self.objects) > MAX_OBJECTS or next(iter(self.objects.values())).read_at < oldest:
                self.objects.popitem(last=False)
        self.objects.move_to_end(place)
        return part

    def report_holder(self, place: Hashable, name: str, now: float) -> None:
        """A cache is reported to hold a part, which is no read of it."""
        self.add_holder(self.object_at(place, now), name, now)

    def add_holder(self, part: ObjectState, name: str, now: float) -> None:
        """A part was requested from a cache, which has it from then on."""
        part.holders.pop(name, None)
        part.holders[name] = now
        if len(part.holders) > MAX_HOLDERS:
            del part.holders[next(iter(part.holders))]

    def drop_holder(self, part: ObjectState, name: str) -> None:
        """A cache was seen to lack a part; unknown names are no error."""
        part.holders.pop(name, None)


class LowestWindowMean:
    """The lowest mean of `window` values in a row, by name; bounded by the names."""

    def __init__(self, window: int) -> None:
        self.window = window
        self.sums: dict[str, tuple[int, float]] = {}

    def update(self, name: str, value: float, lowest: float) -> float:
        """Another value: the lesser of `lowest` and the mean of the window, where that is full."""
        count, total = self.sums.pop(name, (0, 0.0))
        if count + 1 >= self.window:
            return min(lowest, (total + value) / (count + 1))
        self.sums[name] = (count + 1, total + value)
        return lowest


class PurgeHistory:
    """When objects and groups were purged, for the seconds in which older copies may live.

    Where `completion_time` is not given a purge binds for good, which costs refetches and breaks no rule.
    """

    def __init__(self, completion_time: float | None) -> None:
        self.completion_time = math.inf if completion_time is None else completion_time
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
