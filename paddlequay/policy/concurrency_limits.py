"""Concurrency limits: whether a member may be sent another request, by the work in flight there.

A limit bounds the work in flight of all routers that send to the member. Its unit is a request of mean work.
Each router compares its own work in flight with its share: the limit divided by the number of routers that
share it. Limits grow slowly while answers are in time, and are cut when many are late.
"""

import math
from collections.abc import Iterable, Mapping

from paddlequay.policy.fill_admission import LinkLoad
from paddlequay.policy.load_shedding import MAX_REPORT_AGE_S, ZoneLoad
from paddlequay.routing.interface import LoadReport, RoutingSettings
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

MIN_LIMIT_REQUESTS = 2.0
MAX_LIMIT_REQUESTS = 1000.0
# An edge's first load report shows its capacity within a second; parents send routers no reports.
INITIAL_LIMIT_REQUESTS = {CacheTier.EDGE: 10.0, CacheTier.PARENT: 30.0, CacheTier.ORIGIN: 30.0}
MIN_REQUESTS_PER_TRANSFER = 1.5  # for each transfer that fits: objectives allow twice the sending time
FILL_RATIO = 0.33  # assumed share of the requests at edges that cause a fill
# Growth of a parent's limit until its first cut; only growth finds the capacity of a parent.
DISCOVERY_GROWTH_PER_S = 0.2
LIMIT_GROWTH_PER_S = 0.05
MAX_GROWTH_S = 1.0  # longest time since the previous answer for which a limit grows
LIMIT_CUT_FACTOR = 0.8
LIMIT_CUT_INTERVAL_S = 0.5  # least time between two cuts, so that one overload causes one cut
# A member with a utilization below this has spare capacity; an edge only if the load of its zone's link is
# below SPARE_LINK_RATIO as well.
SPARE_UTILIZATION_RATIO = 0.4
SPARE_LINK_RATIO = 0.8
SPARE_CAPACITY_FACTOR = 1.25  # limit over the work in flight at a report of spare capacity, as that work fits
LATE_DECAY_S = 1.0  # time constant of `late_ratio`, the same for routers with many answers and with few
MAX_LATE_RATIO = 0.15  # share of late answers that is no overload, but due to the largest objects
# How far a router may exceed its share, in standard deviations of a Poisson count whose mean is the share.
SHARE_TOLERANCE_STDDEVS = 1.5


def limit_for_size(transfer_capacity: float) -> float:
    """Returns the limit in mean requests of a member, from the transfers that its outgoing link carries."""
    return min(MAX_LIMIT_REQUESTS, max(MIN_LIMIT_REQUESTS, MIN_REQUESTS_PER_TRANSFER * transfer_capacity))


class ConcurrencyLimits:
    """Counts the work in flight at members and adjusts their limits.

    The state of a member is in its `Upstream`.

    Attributes:
        sharing_routers: The number of routers that share the limit of each member of a tier. An estimate need
            not be a whole number, and is below 1 if one router fully loads several members.
    """

    def __init__(self, settings: RoutingSettings, zone_load: ZoneLoad, zone_link: LinkLoad) -> None:
        self.settings = settings
        self.zone_load = zone_load
        self.zone_link = zone_link
        self.sharing_routers: dict[CacheTier, float] = {}

    def set_sharing_routers(
        self, edges: int, parents: int, origins: int, sender_count: int | None = None
    ) -> None:
        """Sets how many routers share the limit of a member, for each tier.

        All routers of a zone share its edges. Parents and origins are shared by the senders if their number
        is known. Otherwise all routers share a parent if weights give its capacity; if they do not, and for
        origins, the number is estimated from fills.

        Args:
            edges: Ready edges of all zones.
            parents: Ready parents.
            origins: Ready origins.
            sender_count: The number of routers or nodes that send to parents and origins, if known.
        """
        all_routers = self.settings.router_count if self.settings.weights_give_capacity else None
        self.sharing_routers[CacheTier.EDGE] = self.settings.zone_router_count or 1
        self.sharing_routers[CacheTier.PARENT] = (
            sender_count or all_routers or self._estimate_sharing_routers(edges, parents)
        )
        self.sharing_routers[CacheTier.ORIGIN] = sender_count or self._estimate_sharing_routers(
            edges, origins
        )

    def _estimate_sharing_routers(self, edges: int, sources: int) -> float:
        """Returns the number of routers whose fills together are a full load for one parent or origin.

        Each router is assumed to send an equal part of the requests that load all edges fully, and to spread
        the fills among them evenly over the sources.

        Args:
            edges: Ready edges of all zones.
            sources: Ready members of the tier that the fills are sent to.
        """
        router_count = self.settings.router_count or 1
        fill_load_per_router = FILL_RATIO * max(1, edges) / router_count  # in full loads of one member
        return max(1, sources) / fill_load_per_router

    def is_busy(self, upstream: Upstream, request: RequestState, now: float) -> bool:
        """Whether the limit of a member leaves no capacity for a request.

        Large requests reach the limit first. While an overloaded member has nothing in flight, a request that
        alone exceeds this router's bound, `max_in_flight`, is admitted with the probability
        `max_in_flight / cost`, by its sampling draw.

        Args:
            upstream: The member.
            request: The request, with its cost in mean requests.
            now: Seconds of the router's clock.
        """
        if not self.is_overloaded(upstream, now) and self.has_presumed_capacity(upstream, now):
            return False
        router_share = upstream.concurrency_limit / self.sharing_routers[upstream.tier]
        max_in_flight = router_share + SHARE_TOLERANCE_STDDEVS * math.sqrt(router_share)
        if request.cost * request.sampling_draw > max_in_flight:
            return True
        return upstream.in_flight > 0 and upstream.in_flight + request.cost > max_in_flight

    def is_overloaded(self, upstream: Upstream, now: float) -> bool:
        """Whether many answers of a member are late; False if a fresh load report decides instead."""
        if upstream.late_ratio <= MAX_LATE_RATIO:
            return False
        return not self.zone_load.has_fresh_report(upstream.member.name, now)

    def has_presumed_capacity(self, upstream: Upstream, now: float) -> bool:
        """Whether a member recently reported spare capacity, or this router has nothing in flight there."""
        return now - upstream.spare_capacity_at < MAX_REPORT_AGE_S or upstream.in_flight == 0

    def acquire(self, attempt: AttemptState, cost: float) -> None:
        """Counts an attempt of `cost` mean requests as in flight."""
        self._add_in_flight(attempt, cost, 1)

    def release(self, attempt: AttemptState, cost: float) -> None:
        """Removes an ended attempt of `cost` mean requests from what is in flight."""
        self._add_in_flight(attempt, -cost, -1)

    def _add_in_flight(self, attempt: AttemptState, cost: float, count: int) -> None:
        """Adds `cost` mean requests and `count` attempts at the target and at the source of a fill."""
        attempt.target.in_flight = max(0.0, attempt.target.in_flight + cost)
        if not attempt.fills:
            return
        attempt.source.in_flight = max(0.0, attempt.source.in_flight + cost)
        if attempt.source.tier is not CacheTier.EDGE:
            self.zone_link.add_fills(count)

    def record_report(self, upstream: Upstream, report: LoadReport, now: float) -> None:
        """Raises a member's limit above its work in flight if it reports spare capacity."""
        if report.utilization is None:
            return
        if not self._shows_spare_capacity(upstream, report.utilization, report.link_multiple or 0.0):
            upstream.spare_capacity_at = -math.inf
            return
        upstream.spare_capacity_at = now
        in_flight = upstream.in_flight * self.sharing_routers[upstream.tier]
        grown = max(upstream.concurrency_limit, SPARE_CAPACITY_FACTOR * in_flight)
        upstream.concurrency_limit = min(MAX_LIMIT_REQUESTS, grown)

    def _shows_spare_capacity(self, upstream: Upstream, utilization: float, link_multiple: float) -> bool:
        """Whether a member's outgoing link has spare capacity, and for an edge the zone's link as well."""
        spare_link = upstream.tier is not CacheTier.EDGE or link_multiple < SPARE_LINK_RATIO
        return utilization < SPARE_UTILIZATION_RATIO and spare_link

    def record_answer(self, upstream: Upstream, late: bool, now: float) -> None:
        """Cuts the limit of a member while many of its answers are late; otherwise lets it grow.

        Args:
            upstream: The member that answered, or that an answer waited for.
            late: Whether the answer came after its latency objective, or not at all.
            now: Seconds of the router's clock.
        """
        elapsed = now - upstream.late_ratio_at
        upstream.late_ratio_at = now
        upstream.late_ratio += (late - upstream.late_ratio) * (1.0 - math.exp(-elapsed / LATE_DECAY_S))
        in_flight = upstream.in_flight * self.sharing_routers[upstream.tier]
        if upstream.late_ratio <= MAX_LATE_RATIO:
            if in_flight > upstream.concurrency_limit / 2:
                self._grow(upstream, elapsed)
        elif late and now - upstream.limit_cut_at >= LIMIT_CUT_INTERVAL_S:
            upstream.limit_cut_at = now
            self._cut(upstream, in_flight)

    @staticmethod
    def _cut(upstream: Upstream, in_flight: float) -> None:
        """Cuts a limit below the work in flight, but not below the limit for the member's size."""
        cut = min(upstream.concurrency_limit, in_flight + 1.0) * LIMIT_CUT_FACTOR
        upstream.concurrency_limit = max(limit_for_size(upstream.transfer_capacity or 0.0), cut)

    @staticmethod
    def _grow(upstream: Upstream, elapsed: float) -> None:
        """Lets a limit grow for the seconds since the last answer, a parent's faster until its first cut."""
        never_cut = upstream.limit_cut_at == -math.inf
        discovering = never_cut and upstream.tier is not CacheTier.EDGE and not upstream.transfer_capacity
        growth = DISCOVERY_GROWTH_PER_S if discovering else LIMIT_GROWTH_PER_S
        grown = upstream.concurrency_limit * math.exp(growth * min(elapsed, MAX_GROWTH_S))
        upstream.concurrency_limit = min(MAX_LIMIT_REQUESTS, grown)

    def inherit_state(self, upstreams: Iterable[Upstream], state: Mapping[str, float]) -> None:
        """Takes over the limits that a predecessor exported, if they are above the present ones.

        A lower limit, which the predecessor had cut, would recover more slowly than a new limit grows.
        """
        for upstream in upstreams:
            inherited = state.get(f"limit {upstream.member.name}", 0.0)
            limit = max(upstream.concurrency_limit, inherited)
            upstream.concurrency_limit = min(MAX_LIMIT_REQUESTS, limit)
