"""How much room a plaza's caches and the link that they share have left, by their own reports.

A router alone at a cache knows its load from what it has out there itself. One of a dozen does not: its share
of the cache's limit is under one request, and a rule on its own requests turns away by chance, or hands the
object to the next cache, which fills it a second time through the link that is short already
(docs/fleet.md, "The second fill"). Every answer carries the cache's own word on its load, which is the sum
over all routers and the same for all of them: who decides by that alone adds up to one decision.

Two things run out. A cache's way out is divided among its transfers: what counts is how many more there are
than fit at full pace. The link in is told as that multiple. Both are shed over a span, each request by its
own luck, so that routers which heard the same word a moment apart do not all stop, and all begin, together.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_CONTENDING_ROUTERS = (
    3.0  # routers at one cache from which on its word counts, and not what one of them has out
)
MAX_REPORT_AGE_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing
BUSY_USE = 0.6  # use of a way out, a mean over the last report: below it what is held waits for fills
TRANSFERS_AT_FULL_RATE = 6.0  # transfers taken to fit a way out at full pace: nothing tells
EDGE_SPAN = (2.0, 4.0)  # times as long as at full pace: aims allow twice the sending time and a constant
BALANCE_GAIN = 0.5  # a second, of a lean, for a way out that is used wholly where the others are idle
MAX_WEIGHT_BIAS = 0.8  # either way at most: no two kinds of machine are more unlike than by five
# A fill runs at least twice as fast as a transfer to a client: up to twice full the client loses nothing.
# Aims allow twice the sending time and a constant beside: at three times that long a fill is late by itself.
LINK_SPAN = (2.0, 6.0)
BYPASS_SPAN = (0.5, 1.0)  # for what is kept by no cache: only room that fills leave


@dataclass(slots=True)
class LoadReport:
    """What one cache has said of itself: requests it holds, the use of its way out, and when."""

    active_requests: float = 0.0
    utilization: float = 0.0
    hit_share: float = 0.0  # its share of hits lately
    reported_at: float = -math.inf
    weight_bias: float = 0.0  # of objects to it: the logarithm of its weight beside the others


def position_in_span(value: float, span: tuple[float, float]) -> float:
    """How far a value has come through a span: 0 up to its low end, 1 from its high end on."""
    low, high = span
    return min(1.0, max(0.0, (value - low) / (high - low)))


class ZoneLoad:
    """Words of the caches of one plaza; bounded by `forget`, which whoever drops a member calls.

    `routers`: how many meet at each cache. Under `CROWD` nothing here says no: what a router has out tells.
    """

    def __init__(self, routers: float = MIN_CONTENDING_ROUTERS) -> None:
        self.router_count = routers
        self.reports: dict[str, LoadReport] = {}
        self.max_weight_bias = 0.0  # the greatest lean, which shares are measured by
        self.link_multiple = 0.0
        self.link_reported_at = -math.inf

    @property
    def is_contended(self) -> bool:
        """So many routers meet at each cache that what one of them has out tells nothing of its load."""
        return self.router_count >= MIN_CONTENDING_ROUTERS

    def report(self, name: str, load: Mapping[str, float], now: float) -> None:
        """A report came with an answer: `active` requests held, `cpu` use, `x1` the link's load."""
        if "active" in load and "cpu" in load:
            word = self.reports.setdefault(name, LoadReport())
            use = min(1.0, max(0.0, load["cpu"]))  # reports are noisy
            if self.is_contended:
                self.balance(word, use, now)
            word.active_requests, word.utilization, word.reported_at = load["active"], use, now
            word.hit_share = load.get("x0", 1.0)
        if "x1" in load:
            self.link_multiple, self.link_reported_at = load["x1"], now

    def balance(self, word: LoadReport, use: float, now: float) -> None:
        """Lean objects away from a way out that is used more than the others, by the time that has passed.

        Nothing is told of sizes, and equal shares of the objects jam a small machine beside idle large ones.
        All routers integrate the same words, so that they come to about the same weights; where theirs differ
        by a part, so does the home of that part of the objects only (weighted rendezvous).
        """
        uses = [
            each.utilization for each in self.reports.values() if now - each.reported_at <= MAX_REPORT_AGE_S
        ]
        if len(uses) > 1:
            lean = word.weight_bias - BALANCE_GAIN * min(1.0, now - word.reported_at) * (
                use - sum(uses) / len(uses)
            )
            word.weight_bias = max(-MAX_WEIGHT_BIAS, min(MAX_WEIGHT_BIAS, lean))
            self.max_weight_bias = max(each.weight_bias for each in self.reports.values())

    def forget(self, name: str) -> None:
        """A member has gone or started anew; unknown names are no error."""
        if self.reports.pop(name, None) is not None:
            self.max_weight_bias = max((each.weight_bias for each in self.reports.values()), default=0.0)

    def total_utilization(self) -> float:
        """How many ways out are used, by all words; 0 where they do not count."""
        return sum(word.utilization for word in self.reports.values()) if self.is_contended else 0.0

    def has_fresh_report(self, name: str, now: float) -> bool:
        """Whether a cache has given its word lately, and it is what counts."""
        word = self.reports.get(name)
        return self.is_contended and word is not None and now - word.reported_at <= MAX_REPORT_AGE_S

    def weight_share(self, name: str) -> float:
        """The share of objects in (0, 1] that a cache is home of, beside the one with the widest way out."""
        word = self.reports.get(name)
        return 1.0 if word is None else math.exp(word.weight_bias - self.max_weight_bias)

    def slowness(self, name: str, now: float) -> float:
        """Times as long as at full pace that a transfer takes there; 1 where nothing fresh is known."""
        if not self.has_fresh_report(name, now) or self.reports[name].utilization < BUSY_USE:
            return 1.0
        return max(1.0, self.reports[name].active_requests / TRANSFERS_AT_FULL_RATE)

    def is_healthy(self, name: str, now: float) -> bool:
        """Whether a cache's own word and the link's tell that neither makes its answers late."""
        link = now - self.link_reported_at <= MAX_REPORT_AGE_S and self.link_multiple <= LINK_SPAN[0]
        return link and self.has_fresh_report(name, now) and self.slowness(name, now) <= EDGE_SPAN[0]

    def has_capacity(self, name: str, luck: float, now: float) -> bool:
        """Whether a cache by its own word bears a request, with that one's `luck` in [0, 1)."""
        return (
            self.has_fresh_report(name, now) and position_in_span(self.slowness(name, now), EDGE_SPAN) <= luck
        )

    def admits_fill(self, luck: float, now: float, dear: float = 1.0, kept: bool = True) -> bool:
        """Whether a request may draw its bytes through the plaza's link; yes while nothing tells.

        `dear` in (0, 1]: its bytes for its worth, beside the class that has most: at a full link that one is
        shed first. `kept`: a cache keeps the copy. What passes the caches by comes again with the next
        reader, and while it used the link up no cache that had started empty was ever filled.
        """
        fresh = self.is_contended and now - self.link_reported_at <= MAX_REPORT_AGE_S
        return (
            not fresh
            or position_in_span(self.link_multiple * dear, LINK_SPAN if kept else BYPASS_SPAN) <= luck
        )

    def likely_holds(self, name: str, luck: float, now: float) -> bool:
        """Whether a cache is worth a look, by the chance that its own share of hits gives; yes untold."""
        return not self.has_fresh_report(name, now) or luck < self.reports[name].hit_share
