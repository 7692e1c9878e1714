"""Hot objects and retention: which parts of objects are read again, and who is taken to hold them."""

from collections.abc import Mapping

from paddlequay.routing.history import ReadHistory
from paddlequay.routing.interface import Request
from paddlequay.routing.state import ObjectState, RequestState, Upstream

HOT_WINDOW_S = 10.0  # reads within this make an object hot; also how long an edge is taken to hold a copy
HOT_READS = 1.0  # earlier reads needed: the second read within the window is the first sign of reuse
SPREAD_READS = 40.0  # reads within the window past which one cache alone would feel the object
RETENTION_HOT, RETENTION_LOW = 3, 1  # pass-through is 0


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
