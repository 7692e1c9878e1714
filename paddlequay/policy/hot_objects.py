"""Hot objects: which parts of objects are read again, and which caches probably hold them.

Two edges share an object that is read often, fills name a holder as their source, and retention follows
reuse.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable, Mapping
from typing import NamedTuple

from paddlequay.routing.state import ObjectState, Upstream

HOT_WINDOW_S = 10.0  # between two reads of a hot part; also how long an edge is believed to hold a copy
HOT_READS_COUNT = 1.0  # earlier reads within the window
SPREAD_READS_COUNT = 40.0  # reads within the window above which two edges share a part
MAX_OBJECTS = 20000
MAX_OBJECT_AGE_S = 30.0  # since the last read
MAX_HOLDERS = 3


class ObjectRead(NamedTuple):
    """A read of one part of an object, with the reads before it.

    Attributes:
        object_state: The state of the part, this read included.
        earlier_reads: Reads before this one, decayed over `HOT_WINDOW_S`.
        since_last: Seconds since the last of them.
    """

    object_state: ObjectState
    earlier_reads: float
    since_last: float

    @property
    def is_hot(self) -> bool:
        """Whether the part was read before within the window."""
        return self.earlier_reads >= HOT_READS_COUNT and self.since_last < HOT_WINDOW_S


class HotObjects:
    """Counts the reads of each part and remembers its holders, in a table keyed by object and part.

    Bounded by `MAX_OBJECTS` parts, `MAX_OBJECT_AGE_S` of age and `MAX_HOLDERS` holders of each.
    """

    def __init__(self) -> None:
        self.objects: OrderedDict[Hashable, ObjectState] = OrderedDict()

    def record_read(self, place: Hashable, now: float) -> ObjectRead:
        """Counts a read of the part at a place, its object and part number."""
        part = self.object_at(place, now)
        earlier_reads = part.read_count
        since_last = now - part.read_at
        part.read_count = 1.0 + earlier_reads * math.exp(-since_last / HOT_WINDOW_S)
        part.read_at = now
        return ObjectRead(part, earlier_reads, since_last)

    def object_at(self, place: Hashable, now: float) -> ObjectState:
        """Returns the state of the part at a place, a new one if there is none."""
        part = self.objects.get(place)
        if part is None:
            part = ObjectState(now)
            self.objects[place] = part
            oldest = now - MAX_OBJECT_AGE_S
            while len(self.objects) > MAX_OBJECTS or next(iter(self.objects.values())).read_at < oldest:
                self.objects.popitem(last=False)
        self.objects.move_to_end(place)
        return part

    def report_holder(self, place: Hashable, name: str, now: float) -> None:
        """Records that a cache is reported to hold a part, which does not count as a read."""
        self.add_holder(self.object_at(place, now), name, now)

    def add_holder(self, part: ObjectState, name: str, now: float) -> None:
        """Records that a part is requested from a cache, which holds it from then on."""
        part.holders.pop(name, None)
        part.holders[name] = now
        if len(part.holders) > MAX_HOLDERS:
            del part.holders[next(iter(part.holders))]

    def drop_holder(self, part: ObjectState, name: str) -> None:
        """Records that a cache lacks a part; ignores unknown names."""
        part.holders.pop(name, None)

    def holders(self, part: ObjectState, upstreams: Mapping[str, Upstream], now: float) -> list[str]:
        """Returns the caches that probably hold a part: recorded lately, and not restarted since."""
        recent = [(name, at) for name, at in part.holders.items() if now - at < HOT_WINDOW_S]
        return [name for name, at in recent if name in upstreams and upstreams[name].listed_at <= at]

    def is_spread(self, part: ObjectState) -> bool:
        """Whether a part is read so often that two edges share it."""
        return part.read_count > SPREAD_READS_COUNT
