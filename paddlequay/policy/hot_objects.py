"""Hot objects and retention: which parts of objects are read again, and who is taken to hold them."""

import math
from collections import OrderedDict
from collections.abc import Hashable, Mapping

from paddlequay.routing.interface import Request
from paddlequay.routing.state import ObjectState, RequestState, Upstream

HOT_WINDOW_S = 10.0  # reads within this make an object hot; also how long an edge is taken to hold a copy
HOT_READS = 1.0  # earlier reads needed: the second read within the window is the first sign of reuse
SPREAD_READS = 40.0  # reads within the window past which one cache alone would feel the object
RETENTION_HOT, RETENTION_LOW = 3, 1  # pass-through is 0


MAX_OBJECTS, MAX_OBJECT_AGE_S = 20000, 30.0
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


class HotObjects(ReadHistory):
    """What the history of reads means for where a copy is looked for, and how long it is retained."""

    def __init__(self) -> None:
        super().__init__(HOT_WINDOW_S)

    def record_request(self, request: Request, now: float) -> tuple[ObjectState, bool]:
        """Count a read in the bounded table; True when the part is hot."""
        part, earlier_reads, since = self.record_read((request.key, request.part), now)
        return part, earlier_reads >= HOT_READS and since < HOT_WINDOW_S

    def retention(self, request: RequestState) -> int:
        """The retention rank at which a cache keeps the copy, 0 to 3."""
        return (RETENTION_HOT if request.is_hot else RETENTION_LOW) if request.cacheable else 0

    def holders(self, part: ObjectState, upstreams: Mapping[str, Upstream], now: float) -> list[str]:
        """Who is taken to hold a part: lately seen so, and neither gone nor restarted since."""
        lately = [(name, at) for name, at in part.holders.items() if now - at < HOT_WINDOW_S]
        return [name for name, at in lately if name in upstreams and upstreams[name].listed_at <= at]
