"""Hotness and ranks: which parts of objects are read again, and who is believed to hold them."""

from collections.abc import Mapping

from paddlequay.routing.interface import Request
from paddlequay.routing.state import Open, Seen, Server
from paddlequay.routing.history import Reads

HOT_WINDOW_S = 10.0  # reads within this make an object hot; also how long an edge is believed to hold a copy
HOT_READS = 1.0  # earlier reads needed: the second read within the window is the first sign of reuse
SPREAD_READS = 40.0  # reads within the window past which one cache alone would feel the object
RANK_TOP, RANK_LOW = 3, 1  # pass-through is 0


class Hotness(Reads):
    """What the table of reads means."""

    def __init__(self) -> None:
        super().__init__(HOT_WINDOW_S)

    def asked(self, request: Request, now: float) -> tuple[Seen, bool]:
        """Count a read in the bounded table; True when the part is hot."""
        seen, before, since = self.read((request.key, request.part), now)
        return seen, before >= HOT_READS and since < HOT_WINDOW_S

    def rank(self, item: Open) -> int:
        return (RANK_TOP if item.hot else RANK_LOW) if item.cacheable else 0

    def held(self, seen: Seen, servers: Mapping[str, Server], now: float) -> list[str]:
        """Who is believed to hold a part: lately seen so, and neither gone nor started anew since."""
        lately = [(name, at) for name, at in seen.holders.items() if now - at < HOT_WINDOW_S]
        return [name for name, at in lately if name in servers and servers[name].since <= at]
