"""Route selection: the target of an attempt and the source that fills what the target lacks."""

from dataclasses import dataclass

from paddlequay.placement.homes import digest
from paddlequay.policy.edge_selection import EdgeChoice, EdgeSelector
from paddlequay.policy.router_state import RouterState
from paddlequay.policy.source_selection import FillSourceSelector
from paddlequay.routing.interface import RejectCause
from paddlequay.routing.state import CacheTier, RequestState, Upstream


@dataclass(slots=True)
class Route:
    """The target and the source of an attempt.

    If both are the same cache, it only reads its copies; if both are the origin, it is asked directly.
    """

    target: Upstream
    source: Upstream


class RouteSelector:
    """Chooses routes; it reads the state of the router and has none of its own."""

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.edges = EdgeSelector(state)
        self.sources = FillSourceSelector(state)

    def next_route(self, request: RequestState, now: float) -> Route | RejectCause:
        """Returns the route of a request's next attempt, or why there is none."""
        if request.cacheable:
            return self.cacheable_route(request, now)
        return self.uncacheable_route(request, now) or RejectCause.NO_SOURCE

    def uncacheable_route(self, request: RequestState, now: float) -> Route | None:
        """Returns the route straight to the origin, else through an edge to the origin or a parent."""
        origin = self._direct_origin(request)
        if origin is not None:
            return Route(origin, origin)
        if request.fill_blocked:
            return None
        edge = self.edges.choose_edge(request, now).edge
        if edge is None:
            return None
        members = self.state.members
        key = digest(request.received.id)
        sources = [*members.origins, *members.ranked(CacheTier.PARENT, key, now)]
        # A request that must not run twice gets no second attempt, so ejected sources come last.
        for source in sorted(sources, key=lambda source: source.ejected):
            if source.member.name not in request.failed_members:
                return Route(edge, source)
        return None if members.origins else Route(edge, edge)

    def _direct_origin(self, request: RequestState) -> Upstream | None:
        """Returns the first origin that may be asked directly, if the settings allow that at all."""
        if not self.state.settings.bypass_allowed:
            return None
        for origin in self.state.members.origins:
            if origin.member.name not in request.failed_members and request.in_dedup_scope(origin):
                return origin
        return None

    def cacheable_route(self, request: RequestState, now: float) -> Route | RejectCause:
        """Returns the route through an edge and its source, else past the edges, else a cached read.

        Requests that busy edges cannot serve are shed, unless the link is known to have capacity for them.
        If they were forwarded, they would reach parents and the origin as client traffic and as second fills,
        and overload them as well.
        """
        choice = self.edges.choose_edge(request, now)
        cause = self._cause_without_source(choice)
        if choice.edge is None and not self._may_bypass_edges(request, choice):
            return cause
        source = None
        if not request.fill_blocked:
            source = self.sources.choose_source(request, choice.edge, now)
        if request.link_full:
            cause = RejectCause.LINK_FULL
        if choice.edge is None:
            return self._bypass_route(request, source) or cause
        if source is not None:
            return Route(choice.edge, source)
        if self._may_read_cached(request, choice.edge, now):
            return Route(choice.edge, choice.edge)
        return cause

    @staticmethod
    def _cause_without_source(choice: EdgeChoice) -> RejectCause:
        """Returns the cause for which a request without a route is rejected."""
        if choice.was_busy:
            return RejectCause.EDGE_BUSY
        return RejectCause.NO_EDGE if choice.edge is None else RejectCause.NO_SOURCE

    def _may_bypass_edges(self, request: RequestState, choice: EdgeChoice) -> bool:
        """Whether a request without an edge may go to a parent directly."""
        if not self.state.settings.bypass_allowed:
            return False
        return not choice.was_busy or self.state.zone_link.has_spare_capacity(request.sampling_draw)

    def _bypass_route(self, request: RequestState, source: Upstream | None) -> Route | None:
        """Returns the route that bypasses the edges: the source is the target, and fills from the origin."""
        if source is None or not request.in_dedup_scope(source):
            return None
        origins = self.state.members.origins
        return Route(source, origins[0] if origins else source)

    def _may_read_cached(self, request: RequestState, edge: Upstream, now: float) -> bool:
        """Whether a request without a source may read the edge's cache, which it may do once."""
        if any(attempt.target is attempt.source for attempt in request.attempts):
            return False
        if request.link_full and self.state.members.capacity_share(edge, now) < 1.0:
            # In slow start, a cached read uses as much of an edge's capacity as a fill, and the edge may not
            # have a copy yet.
            return self.state.zone_load.likely_holds(edge.member.name, request.sampling_draw, now)
        return True
