"""Source selection: which edge a request goes to, and from whom that fills what it lacks."""

from collections.abc import Iterator
from itertools import chain, islice

from paddlequay.placement.homes import digest, place
from paddlequay.policy.fill_admission import cost_per_weight
from paddlequay.policy.hot_objects import SPREAD_READS
from paddlequay.policy.router_state import RouterState
from paddlequay.routing.interface import RejectCause
from paddlequay.routing.state import CacheTier, RequestState, Upstream

EDGE, PARENT = CacheTier.EDGE, CacheTier.PARENT
Route = tuple[Upstream, Upstream]  # target and source; the same one twice reads only what it has cached


class SourceSelector:
    """Reads the state of the parts; its own are `link_full` and `only_if_cached` of a request."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def next_route(self, request: RequestState, now: float) -> Route | RejectCause:
        """Where the next attempt goes, or why it goes nowhere."""
        if request.cacheable:
            return self.cacheable_route(request, now)
        return self.uncacheable_route(request, now) or "no_source"

    def uncacheable_route(self, request: RequestState, now: float) -> Route | None:
        """Straight to the origin, or by an edge with the origin, then a parent, as source."""
        origins, failed = self.state.members.origins, request.failed_members
        if self.state.settings.bypass_allowed:
            for origin in origins:
                if origin.member.name not in failed and request.in_dedup_scope(origin):
                    return origin, origin
        if request.fill_blocked:
            return None
        edge = self.pick_edge(request, now)[0]
        sources = [*origins, *self.ranked(PARENT, digest(request.received.id), now)]
        # One that is ejected comes last: charges fell to a parent that had failed all fills for seconds.
        for source in sorted(sources, key=lambda source: source.ejected):
            if edge is not None and source.member.name not in failed:
                return edge, source
        return (edge, edge) if edge is not None and not origins else None

    def cacheable_route(self, request: RequestState, now: float) -> Route | RejectCause:
        """The ladder: sibling, hashed parent, next parent, origin; then a stale copy; then past the edges.

        What is merely busy sheds its load: forwarded, it would reach the parents and the origin as client
        traffic and as second fills, and jam them as well, but for what the link is known to have room for.
        """
        state = self.state
        edge, edge_busy = self.pick_edge(request, now)
        cause: RejectCause = "edge_busy" if edge_busy else "no_edge" if edge is None else "no_source"
        shut = edge_busy and not state.zone_link.has_spare_capacity(request.sampling_draw)
        if edge is None and (shut or not state.settings.bypass_allowed):
            return cause
        source = None if request.fill_blocked else self.pick_source(request, edge, now)
        cause = "link_full" if request.link_full else cause
        if edge is None:
            behind = next(iter(state.members.origins), source)
            usable = source is not None and request.in_dedup_scope(source)
            return cause if source is None or behind is None or not usable else (source, behind)
        if source is not None:
            return edge, source
        tried = any(attempt.target is attempt.source for attempt in request.attempts)
        if request.link_full and state.members.capacity_share(edge, now) < 1.0:
            # A cached read takes of what a cold member bears as much as a fill, and an empty one has nothing.
            tried = tried or not state.zone_load.likely_holds(edge.member.name, request.sampling_draw, now)
        return cause if tried else (edge, edge)

    def shed_cost(self, request: RequestState) -> float:
        """The bytes of a request's class for its weight, beside the class kept that has most, in (0, 1]."""
        sheds = self.state.zone_load.is_contended or self.state.zone_link.transfer_capacity
        if not (request.cacheable and sheds):
            return 1.0  # nothing is shed by it, and there may be no class that is kept
        return cost_per_weight(request.request_class, self.state.settings.classes, self.state.latency.work)

    def admits_fill(self, request: RequestState, now: float, kept: bool = True) -> bool:
        """Whether it may fill through the zone's link, by load reports and by the fills in flight."""
        draw, cost = request.sampling_draw, self.shed_cost(request)
        reported = self.state.zone_load.admits_fill(draw, now, cost, kept)
        return reported and self.state.zone_link.admits_fill(draw, cost, kept)

    def ranked(self, tier: CacheTier, key: int, now: float) -> Iterator[Upstream]:
        """The homes of a key in order, by size where weights mean that, and by what a cold member can give.

        The scaled share moves objects to a newcomer once each as it warms, the same ones at every router;
        rejecting what is too much for it would fill the same objects in two places.
        """
        members, zone_load = self.state.members, self.state.zone_load

        def capacity(upstream: Upstream) -> float:
            return members.capacity_share(upstream, now)

        def balanced(upstream: Upstream) -> float:
            return members.capacity_share(upstream, now) * zone_load.weight_share(upstream.member.name)

        by_report = tier is EDGE and zone_load.is_contended
        return members.homes[tier].order(key, balanced if by_report else capacity)

    def pick_edge(self, request: RequestState, now: float) -> tuple[Upstream | None, bool]:
        """The hash of object and part, over two above a rate, the next where it fails; and was one busy?"""
        state, failed = self.state, request.failed_members
        ranked = self.ranked(EDGE, state.members.homes[EDGE].key(request.received), now)
        fit = (edge for edge in ranked if request.in_dedup_scope(edge) and edge.member.name not in failed)
        spread = request.object_state.read_count > SPREAD_READS
        first = sorted(islice(fit, 2), key=lambda edge: edge.in_flight) if spread else []
        busy = None
        for edge in chain(first, fit):
            if self.is_open(edge, request, now):
                if not state.limits.is_busy(edge, request, now):
                    return edge, busy is not None
                busy = busy or edge
                if not self.admits_fill(request, now):
                    break  # the next one would have to fill it through a link that is full
        draw = request.sampling_draw
        if busy is not None and state.zone_load.has_capacity(busy.member.name, draw, now):
            return busy, False
        return None, busy is not None

    def pick_source(self, request: RequestState, edge: Upstream | None, now: float) -> Upstream | None:
        """A sibling seen holding the part, the parents in hash order, the origin."""
        state, members = self.state, self.state.members
        holders = state.hot_objects.holders(request.object_state, members.upstreams, now)
        fills = edge is None or edge.member.name not in holders
        by_sibling = edge is not None and fills and state.settings.sibling_fills in ("any", "location")
        if by_sibling and (sibling := self.pick_sibling(request, holders, now)) is not None:
            return sibling
        # Where no detail tells, nothing proves what is cached: at a full link its home is tried first.
        through_link = fills or not state.settings.detailed_replies
        if through_link and not self.admits_fill(request, now, kept=edge is not None):
            request.link_full = True  # what the home has cached may still do
            return None
        objective, shed = state.latency.objective(request), False
        request.only_if_cached = fills and state.origin_wait.sheds(objective, request.sampling_draw, now)
        parents = self.ranked(PARENT, place(request.received.key), now)
        for source in chain(parents, () if request.only_if_cached else members.origins):
            if source.member.name in request.failed_members or not self.is_open(source, request, now):
                continue
            if not fills or not state.limits.is_busy(source, request, now):
                return source if source.tier is PARENT or not shed else None
            shed = True
        return None

    def pick_sibling(self, request: RequestState, holders: list[str], now: float) -> Upstream | None:
        """The first holder that is ready, not ejected and warm, and has not failed this request."""
        members = self.state.members
        for sibling in [members.upstreams[name] for name in holders if name not in request.failed_members]:
            if sibling.ready and not sibling.ejected and members.capacity_share(sibling, now) >= 1.0:
                return sibling
        return None

    def is_open(self, upstream: Upstream, request: RequestState, now: float) -> bool:
        """Whether a member may be used now: not ejected (or due its probe), not too cold for more."""
        if not self.state.outliers.is_usable(upstream, now):
            return False
        work = self.state.latency.work[request.request_class.name]
        limiter, bucket = self.state.members.slow_start[upstream.tier], upstream.slow_start_bucket
        return limiter.admits(bucket, upstream.started, work, request.sampling_draw, now)
