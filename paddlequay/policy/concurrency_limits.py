"""Concurrency at members: what is in flight there, and what they are estimated to bear.

A limit counts work in mean requests over all routers that send to a member; `contending_routers` turns one
router's own share into that sum. A limit grows slowly, and is cut where many answers are late.
"""

import math
from collections.abc import Iterable, Mapping

from paddlequay.policy.fill_admission import LinkLoad
from paddlequay.policy.load_shedding import MAX_REPORT_AGE_S, ZoneLoad
from paddlequay.routing.interface import RoutingSettings
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

MIN_LIMIT, MAX_LIMIT = 2.0, 1000.0  # in flight at a member from all routers, in mean requests
# What an edge can bear, its first report tells within a second; parents report to no router.
INITIAL_LIMIT = {CacheTier.EDGE: 10.0, CacheTier.PARENT: 30.0, CacheTier.ORIGIN: 30.0}
MIN_LIMIT_PER_TRANSFER = 1.5  # of the transfers that fit: objectives allow twice the sending time
FILL_SHARE = 0.33  # of the work at edges that is filled, where replies carry no detail; for parents too
DISCOVERY_GROWTH = 0.2  # growth a second of a parent's limit until its first jam: nothing else finds it
LIMIT_GROWTH = 0.05  # growth a second later on
LIMIT_CUT, LIMIT_CUT_INTERVAL_S = 0.8, 0.5  # cut at most twice a second, once for each jam
SPARE_CPU_USE, SPARE_LINK_MULTIPLE = 0.4, 0.8  # a member that reports less than these has spare capacity
SPARE_CAPACITY_GROWTH = 1.25  # what was in flight at a report of spare capacity, and this much more, fits
LATE_DECAY_S = 1.0  # by time, not by answers: a router that sends once a second must see a jam as well
SHARE_TOLERANCE = 1.5  # roots of its share that a router may be above it: few requests come unevenly
MAX_LATE_SHARE = 0.15  # of answers past the objective: less is the tail of sizes, not a jam


class ConcurrencyLimits:
    """Work in flight at members, their limits, and how many routers' worth of sending meets at each."""

    def __init__(self, settings: RoutingSettings, zone_load: ZoneLoad, zone_link: LinkLoad) -> None:
        self.settings, self.zone_load, self.zone_link = settings, zone_load, zone_link
        self.contending_routers: dict[CacheTier, float] = {}

    def set_contention(self, edges: int, parents: int, origins: int, requesters: int | None = None) -> None:
        """Share limits among all routers, by how many edges fill from how many.

        `requesters`: how many send to parents and origin, where that is known; it counts instead.
        """
        fills = FILL_SHARE * max(1, edges) / (self.settings.router_count or 1)
        sized = self.settings.weights_give_capacity and self.settings.router_count
        self.contending_routers[CacheTier.EDGE] = self.settings.zone_router_count or 1
        self.contending_routers[CacheTier.PARENT] = requesters or sized or max(1, parents) / fills
        self.contending_routers[CacheTier.ORIGIN] = requesters or max(1, origins) / fills

    def acquire(self, attempt: AttemptState, cost: float) -> None:
        """Count an attempt of `cost` mean requests that goes out; a negative cost takes it back."""
        attempt.target.in_flight = max(0.0, attempt.target.in_flight + cost)
        if not attempt.fills:
            return
        attempt.source.in_flight = max(0.0, attempt.source.in_flight + cost)
        by_link = attempt.source.tier is not CacheTier.EDGE
        self.zone_link.fills_in_flight += int(math.copysign(by_link, cost))

    def release(self, attempt: AttemptState, cost: float) -> None:
        """An attempt has ended: what it took is free."""
        self.acquire(attempt, -cost)

    def report(self, upstream: Upstream, load: Mapping[str, float], now: float) -> None:
        """A member's load report: where it shows spare capacity, no estimate may say that it is full."""
        if "cpu" not in load:
            return
        spare_link = upstream.tier is not CacheTier.EDGE or load.get("x1", 0.0) < SPARE_LINK_MULTIPLE
        if not (load["cpu"] < SPARE_CPU_USE and spare_link):
            upstream.spare_capacity_at = -math.inf
            return
        upstream.spare_capacity_at = now
        in_flight = upstream.in_flight * self.contending_routers[upstream.tier]
        grown = max(upstream.concurrency_limit, SPARE_CAPACITY_GROWTH * in_flight)
        upstream.concurrency_limit = min(MAX_LIMIT, grown)

    def record_answer(self, upstream: Upstream, late: bool, now: float) -> None:
        """Lower a member's limit while many of its answers are late, once for each jam; else let it grow."""
        since, upstream.late_share_at = now - upstream.late_share_at, now
        upstream.late_share += (late - upstream.late_share) * (1.0 - math.exp(-since / LATE_DECAY_S))
        in_flight = upstream.in_flight * self.contending_routers[upstream.tier]
        if upstream.late_share <= MAX_LATE_SHARE:
            if in_flight > upstream.concurrency_limit / 2:
                self.grow(upstream, since)
        elif late and now - upstream.limit_cut_at >= LIMIT_CUT_INTERVAL_S:
            upstream.limit_cut_at = now
            by_size = MIN_LIMIT_PER_TRANSFER * (upstream.transfer_capacity or 0.0)
            lowest = min(MAX_LIMIT, max(MIN_LIMIT, by_size))
            cut = min(upstream.concurrency_limit, in_flight + 1.0) * LIMIT_CUT
            upstream.concurrency_limit = max(lowest, cut)

    @staticmethod
    def grow(upstream: Upstream, since: float) -> None:
        """Let a limit grow by the seconds since the last answer, fast until the first jam of a parent."""
        never_cut = upstream.limit_cut_at == -math.inf
        discovering = never_cut and upstream.tier is not CacheTier.EDGE and not upstream.transfer_capacity
        growth = DISCOVERY_GROWTH if discovering else LIMIT_GROWTH
        grown = upstream.concurrency_limit * math.exp(growth * min(since, 1.0))
        upstream.concurrency_limit = min(MAX_LIMIT, grown)

    def inherit_state(self, upstreams: Iterable[Upstream], state: Mapping[str, float]) -> None:
        """Take over a predecessor's limits.

        One that was cut below the initial one is not taken over: it regains slowly, a start finds anew.
        """
        for upstream in upstreams:
            inherited = state.get(f"limit {upstream.member.name}", 0.0)
            upstream.concurrency_limit = min(MAX_LIMIT, max(upstream.concurrency_limit, inherited))

    def is_busy(self, upstream: Upstream, request: RequestState, now: float) -> bool:
        """Whether its limit is reached: large transfers reach it first, and a share under one sheds some."""
        reported = self.zone_load.has_fresh_report(upstream.member.name, now)
        late = upstream.late_share > MAX_LATE_SHARE and not reported
        if not late and (now - upstream.spare_capacity_at < MAX_REPORT_AGE_S or upstream.in_flight == 0):
            return False  # nothing out, no jam: a share under one request would shed by chance, not by load
        share = upstream.concurrency_limit / self.contending_routers[upstream.tier]
        limit = share + SHARE_TOLERANCE * math.sqrt(share)
        if request.cost * request.sampling_draw > limit:
            return True
        return upstream.in_flight > 0 and upstream.in_flight + request.cost > limit
