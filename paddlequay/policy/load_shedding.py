"""Load shedding at edges, by the load that the edges of a zone report.

A router alone at an edge knows the edge's load from its own requests in flight. One router of a dozen does
not: its share of the edge's concurrency limit is below one request, so that a rule on its own requests
rejects by chance, or moves an object to the next edge, which fills it a second time through the zone's
link. The load report in every answer covers the requests of all routers and is the same for all of them, so
routers that decide by the report alone agree.

An edge's transfers share its outgoing link, so its load is measured in transfers over the number that fit at
full rate. The load of the zone's incoming link is reported in the same way, as a multiple.
"""

import math
from dataclasses import dataclass

from paddlequay.policy.edge_weights import EdgeWeights
from paddlequay.policy.shedding_span import SheddingSpan
from paddlequay.routing.interface import LoadReport

MIN_CONTENDING_ROUTERS = 3.0  # for each edge; with fewer, a router's own requests show the edge's load
MAX_REPORT_AGE_S = 2.0  # edges report every 240 to 990 ms, and reports arrive late
# While less than this share of an outgoing link is used, open requests wait for fills and not for the link.
BUSY_UTILIZATION_RATIO = 0.6
TRANSFERS_AT_FULL_RATE = 6.0  # assumed to fit an outgoing link, whose size is not reported
EDGE_SPAN = SheddingSpan(2.0, 4.0)  # multiples of the sending time at full rate; objectives allow twice that


@dataclass(slots=True)
class EdgeLoad:
    """The last load report of one edge, and when it was received."""

    active_requests: float = 0.0
    utilization: float = 0.0
    hit_ratio: float = 0.0
    reported_at: float = -math.inf


class ZoneLoad:
    """The last load report of each edge of one zone; bounded, as `forget` is called for edges that leave.

    Args:
        router_count: How many routers send to each edge. Below `MIN_CONTENDING_ROUTERS` no report sheds load.
    """

    def __init__(self, router_count: float = MIN_CONTENDING_ROUTERS) -> None:
        self.router_count = router_count
        self.reports: dict[str, EdgeLoad] = {}
        self.weights = EdgeWeights()
        self.link_multiple = 0.0
        self.link_reported_at = -math.inf

    @property
    def is_contended(self) -> bool:
        """Whether so many routers send to each edge that a router's own requests do not show its load."""
        return self.router_count >= MIN_CONTENDING_ROUTERS

    def record(self, name: str, report: LoadReport, now: float) -> None:
        """Records the load report of an edge; adjusts the edge's weight if routers contend for it."""
        if report.active_requests is not None and report.utilization is not None:
            load = self.reports.setdefault(name, EdgeLoad())
            utilization = min(1.0, max(0.0, report.utilization))  # reports are noisy
            if self.is_contended:
                elapsed = now - load.reported_at
                self.weights.adjust(name, utilization, self._fresh_utilizations(now), elapsed)
            load.active_requests = report.active_requests
            load.utilization = utilization
            load.reported_at = now
            load.hit_ratio = 1.0 if report.hit_ratio is None else report.hit_ratio
        if report.link_multiple is not None:
            self.link_multiple = report.link_multiple
            self.link_reported_at = now

    def _fresh_utilizations(self, now: float) -> list[float]:
        """Returns the utilization of each edge whose report is fresh."""
        return [
            load.utilization for load in self.reports.values() if now - load.reported_at <= MAX_REPORT_AGE_S
        ]

    def forget(self, name: str) -> None:
        """Drops the report of an edge that was removed or has restarted; ignores unknown names."""
        self.reports.pop(name, None)
        self.weights.forget(name)

    def total_utilization(self) -> float:
        """Returns how many outgoing links are in use by all reports; 0 unless routers contend for edges."""
        return sum(load.utilization for load in self.reports.values()) if self.is_contended else 0.0

    def has_fresh_report(self, name: str, now: float) -> bool:
        """Whether routers contend for edges, and the report of this one is at most `MAX_REPORT_AGE_S` old."""
        load = self.reports.get(name)
        return self.is_contended and load is not None and now - load.reported_at <= MAX_REPORT_AGE_S

    def has_fresh_link_report(self, now: float) -> bool:
        """Whether the last report of the zone's link is at most `MAX_REPORT_AGE_S` old."""
        return now - self.link_reported_at <= MAX_REPORT_AGE_S

    def slowness(self, name: str, now: float) -> float:
        """Returns the time of a transfer at an edge over that at full rate; 1 without a fresh report."""
        if not self.has_fresh_report(name, now) or self.reports[name].utilization < BUSY_UTILIZATION_RATIO:
            return 1.0
        return max(1.0, self.reports[name].active_requests / TRANSFERS_AT_FULL_RATE)

    def has_capacity(self, name: str, sampling_draw: float, now: float) -> bool:
        """Whether an edge reports capacity for the request with this sampling draw in [0, 1)."""
        if not self.has_fresh_report(name, now):
            return False
        return not EDGE_SPAN.sheds(self.slowness(name, now), sampling_draw)

    def likely_holds(self, name: str, sampling_draw: float, now: float) -> bool:
        """Whether an edge probably has a copy, by its reported hit ratio; True without a fresh report."""
        return not self.has_fresh_report(name, now) or sampling_draw < self.reports[name].hit_ratio
