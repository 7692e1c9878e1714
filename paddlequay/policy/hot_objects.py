"""Hot objects: which parts of objects are read again, and which caches probably hold them.

Two edges share a part that is read often, a fill names a holder of the part as its source, and copies of
parts that are read again are retained longest.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import NamedTuple

from paddlequay.routing.state import PartState, Upstream

PartKey = tuple[int | None, int | None]  # the number of an object, and the number of a part of it

HOT_WINDOW_S = 10.0  # longest time between two reads of a hot part; also how long a holder is remembered
HOT_READS_COUNT = 1.0  # least decayed count of earlier reads that makes a part hot
SPREAD_READS_COUNT = 40.0  # decayed count of reads above which two edges share a part
MAX_PARTS = 20000
MAX_PART_AGE_S = 30.0  # longest time since the last read for which a part is remembered
MAX_HOLDERS = 3


class PartRead(NamedTuple):
    """A read of one part of an object, with the reads before it.

    Attributes:
        part_state: The state of the part, this read included.
        earlier_reads: The count of reads before this one, as of the latest of them; it decays exponentially
            with the time constant `HOT_WINDOW_S`.
        since_last: Seconds from the latest earlier read to this one.
    """

    part_state: PartState
    earlier_reads: float
    since_last: float

    @property
    def is_hot(self) -> bool:
        """Whether the part was read before within the window."""
        return self.earlier_reads >= HOT_READS_COUNT and self.since_last < HOT_WINDOW_S


class HotObjects:
    """Counts the reads of each part of an object and remembers its holders.

    Bounded by `MAX_PARTS` parts, `MAX_PART_AGE_S` of age and `MAX_HOLDERS` holders of each.
    """

    def __init__(self) -> None:
        self.parts: OrderedDict[PartKey, PartState] = OrderedDict()

    def record_read(self, key: PartKey, now: float) -> PartRead:
        """Counts a read of a part."""
        part = self.part_state(key, now)
        earlier_reads = part.read_count
        since_last = now - part.read_at
        part.read_count = 1.0 + earlier_reads * math.exp(-since_last / HOT_WINDOW_S)
        part.read_at = now
        return PartRead(part, earlier_reads, since_last)

    def part_state(self, key: PartKey, now: float) -> PartState:
        """Returns the state of a part, a new one if there is none."""
        part = self.parts.get(key)
        if part is None:
            part = PartState(now)
            self.parts[key] = part
            oldest = now - MAX_PART_AGE_S
            while len(self.parts) > MAX_PARTS or next(iter(self.parts.values())).read_at < oldest:
                self.parts.popitem(last=False)
        self.parts.move_to_end(key)
        return part

    def report_holder(self, key: PartKey, name: str, now: float) -> None:
        """Records that a cache is reported to hold a part, which does not count as a read."""
        self.add_holder(self.part_state(key, now), name, now)

    def add_holder(self, part: PartState, name: str, now: float) -> None:
        """Records that a part is requested from a cache, which is presumed to hold it from then on."""
        part.holders.pop(name, None)
        part.holders[name] = now
        if len(part.holders) > MAX_HOLDERS:
            del part.holders[next(iter(part.holders))]

    def drop_holder(self, part: PartState, name: str) -> None:
        """Records that a cache lacks a part; ignores unknown names."""
        part.holders.pop(name, None)

    def holders(self, part: PartState, upstreams: Mapping[str, Upstream], now: float) -> list[str]:
        """Returns the caches that probably hold a part: recorded within the window, not restarted since."""
        recent = [(name, at) for name, at in part.holders.items() if now - at < HOT_WINDOW_S]
        return [name for name, at in recent if name in upstreams and upstreams[name].listed_at <= at]

    def is_spread(self, part: PartState) -> bool:
        """Whether a part is read so often that two edges share it."""
        return part.read_count > SPREAD_READS_COUNT
