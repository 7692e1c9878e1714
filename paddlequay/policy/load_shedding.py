"""The load of a zone's caches and of the link that they share, by the caches' own reports.

A router alone at a cache knows its load from its own requests in flight. One of a dozen does not: its share
of the cache's limit is under one request, and a rule on its own requests rejects by chance, or hands the
object to the next cache, which fills it a second time through the link that is short already (docs/fleet.md,
"The second fill"). Every answer carries the cache's own load report, which is the sum over all routers and
the same for all of them: decisions that go by it alone add up to one decision.

Two things run out. A cache's outgoing link is divided among its transfers: what counts is how many more there
are than fit at full rate. The zone's incoming link is reported as that multiple. Both are shed over a span,
each request by its own sampling draw, so that routers with the same report do not all stop, and all begin,
together.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

MIN_CONTENDING_ROUTERS = 3.0  # at one cache, from which on its report counts, not a router's own requests
MAX_REPORT_AGE_S = 2.0  # reports are made every 240 to 990 ms and come late; an older one tells nothing
BUSY_USE = 0.6  # of an outgoing link, a mean over the last report: below it open requests wait for fills
TRANSFERS_AT_FULL_RATE = 6.0  # transfers assumed to fit an outgoing link at full rate: unknown
EDGE_SPAN = (2.0, 4.0)  # times as long as at full rate: objectives allow twice the sending time
BALANCE_GAIN = 0.5  # of bias a second, for a link in full use where the others are idle
MAX_WEIGHT_BIAS = 0.8  # either way at most: no two kinds of machine are more unlike than by five
# A fill runs at least twice as fast as a transfer to a client: up to twice full the client loses nothing.
# Objectives allow twice the sending time and a constant: at three times that long a fill is late by itself.
LINK_SPAN = (2.0, 6.0)
BYPASS_SPAN = (0.5, 1.0)  # for what no cache keeps: only capacity that fills leave


@dataclass(slots=True)
class LoadReport:
    """What one cache last reported of itself: open requests, the use of its outgoing link, and when."""

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
    """Load reports of the caches of one zone; bounded by `forget`, which whoever drops a member calls.

    `router_count`: how many meet at each cache. Under `MIN_CONTENDING_ROUTERS` nothing here rejects: what a
    router has in flight itself shows the load.
    """

    def __init__(self, router_count: float = MIN_CONTENDING_ROUTERS) -> None:
        self.router_count = router_count
        self.reports: dict[str, LoadReport] = {}
        self.max_weight_bias = 0.0  # which shares are measured by
        self.link_multiple = 0.0
        self.link_reported_at = -math.inf

    @property
    def is_contended(self) -> bool:
        """Whether so many routers meet at each cache that a router's own requests do not show its load."""
        return self.router_count >= MIN_CONTENDING_ROUTERS

    def report(self, name: str, load: Mapping[str, float], now: float) -> None:
        """A load report came with an answer: `active` open requests, `cpu` use, `x1` the zone link's load."""
        if "active" in load and "cpu" in load:
            report = self.reports.setdefault(name, LoadReport())
            utilization = min(1.0, max(0.0, load["cpu"]))  # reports are noisy
            if self.is_contended:
                self.balance(report, utilization, now)
            report.active_requests, report.utilization, report.reported_at = load["active"], utilization, now
            report.hit_share = load.get("x0", 1.0)
        if "x1" in load:
            self.link_multiple, self.link_reported_at = load["x1"], now

    def balance(self, report: LoadReport, utilization: float, now: float) -> None:
        """Move objects away from a link that is used more than the others, by the time that has passed.

        Sizes are unknown, and equal shares of the objects jam a small machine beside idle large ones. All
        routers integrate the same reports, so that they come to about the same weights; where theirs differ
        by a part, so does the home of that part of the objects only (weighted rendezvous hashing).
        """
        utilizations = [
            each.utilization for each in self.reports.values() if now - each.reported_at <= MAX_REPORT_AGE_S
        ]
        if len(utilizations) > 1:
            bias = report.weight_bias - BALANCE_GAIN * min(1.0, now - report.reported_at) * (
                utilization - sum(utilizations) / len(utilizations)
            )
            report.weight_bias = max(-MAX_WEIGHT_BIAS, min(MAX_WEIGHT_BIAS, bias))
            self.max_weight_bias = max(each.weight_bias for each in self.reports.values())

    def forget(self, name: str) -> None:
        """A member was removed or has restarted; unknown names are no error."""
        if self.reports.pop(name, None) is not None:
            self.max_weight_bias = max((each.weight_bias for each in self.reports.values()), default=0.0)

    def total_utilization(self) -> float:
        """How many outgoing links are in use, by all reports; 0 where they do not count."""
        return sum(report.utilization for report in self.reports.values()) if self.is_contended else 0.0

    def has_fresh_report(self, name: str, now: float) -> bool:
        """Whether a cache has reported within `MAX_REPORT_AGE_S`, and its report is what counts."""
        report = self.reports.get(name)
        return self.is_contended and report is not None and now - report.reported_at <= MAX_REPORT_AGE_S

    def weight_share(self, name: str) -> float:
        """The share of objects in (0, 1] that a cache is home of; 1 for the one with the widest link."""
        report = self.reports.get(name)
        return 1.0 if report is None else math.exp(report.weight_bias - self.max_weight_bias)

    def slowness(self, name: str, now: float) -> float:
        """Times as long as at full rate that a transfer takes there; 1 without a fresh report."""
        if not self.has_fresh_report(name, now) or self.reports[name].utilization < BUSY_USE:
            return 1.0
        return max(1.0, self.reports[name].active_requests / TRANSFERS_AT_FULL_RATE)

    def is_healthy(self, name: str, now: float) -> bool:
        """Whether reports of a cache and of the zone link show that neither makes its answers late."""
        link_healthy = now - self.link_reported_at <= MAX_REPORT_AGE_S and self.link_multiple <= LINK_SPAN[0]
        return link_healthy and self.has_fresh_report(name, now) and self.slowness(name, now) <= EDGE_SPAN[0]

    def has_capacity(self, name: str, sampling_draw: float, now: float) -> bool:
        """Whether a cache by its own report bears a request with this sampling draw in [0, 1)."""
        if not self.has_fresh_report(name, now):
            return False
        return position_in_span(self.slowness(name, now), EDGE_SPAN) <= sampling_draw

    def admits_fill(self, sampling_draw: float, now: float, cost: float = 1.0, kept: bool = True) -> bool:
        """Whether a request may fill through the zone's link; yes without a fresh report.

        `cost` in (0, 1]: its bytes for its priority weight, relative to the class with most: at a full link
        that one is shed first. `kept`: a cache keeps the copy. What bypasses the caches comes again with the
        next reader, and while it used the link up no cache that had started empty was ever filled.
        """
        fresh = self.is_contended and now - self.link_reported_at <= MAX_REPORT_AGE_S
        span = LINK_SPAN if kept else BYPASS_SPAN
        return not fresh or position_in_span(self.link_multiple * cost, span) <= sampling_draw

    def likely_holds(self, name: str, sampling_draw: float, now: float) -> bool:
        """Whether a cache may hold a copy, by the chance of its own hit share; yes without a fresh report."""
        return not self.has_fresh_report(name, now) or sampling_draw < self.reports[name].hit_share
