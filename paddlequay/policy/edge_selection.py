"""Edge selection: which edge a request is sent to."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain, islice

from paddlequay.policy.availability import is_available
from paddlequay.policy.router_state import RouterState
from paddlequay.routing.state import CacheTier, RequestState, Upstream

SPREAD_EDGES_COUNT = 2  # edges that share a frequently read part


@dataclass(slots=True)
class EdgeChoice:
    """The edge for a request, if any.

    Attributes:
        edge: The edge; None if no edge can take the request.
        was_busy: Whether an edge preferred to `edge` was busy; without an `edge`, whether any was.
    """

    edge: Upstream | None
    was_busy: bool


class EdgeSelector:
    """Chooses edges; it reads the state of the router and has none of its own."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def choose_edge(self, request: RequestState, now: float) -> EdgeChoice:
        """Returns the first edge in hash order that is available and not busy.

        While the zone's link has no capacity for the request, the search ends at the first busy edge, as the
        next one would have to fill the object through the link. If the search finds no edge that is not busy,
        the first busy one is used, provided that its own load report shows capacity.

        Args:
            request: The request, with the edges that failed it.
            now: Seconds of the router's clock.
        """
        busy_edge: Upstream | None = None
        for edge in self.candidates(request, now):
            if not is_available(self.state, edge, request, now):
                continue
            if not self.state.limits.is_busy(edge, request, now):
                return EdgeChoice(edge, busy_edge is not None)
            if busy_edge is None:
                busy_edge = edge
            if not self.state.fill_admission.admits_fill(request, now):
                break
        if busy_edge is None:
            return EdgeChoice(None, False)
        if self.state.zone_load.has_capacity(busy_edge.member.name, request.sampling_draw, now):
            return EdgeChoice(busy_edge, False)
        return EdgeChoice(None, True)

    def candidates(self, request: RequestState, now: float) -> Iterator[Upstream]:
        """Returns the edges that the request may be sent to, in hash order.

        For a frequently read part, the first `SPREAD_EDGES_COUNT` edges are ordered by their work in flight.
        """
        members = self.state.members
        key = members.homes[CacheTier.EDGE].lookup_key(request.received)
        allowed = (
            edge
            for edge in members.ranked(CacheTier.EDGE, key, now)
            if request.in_dedup_scope(edge) and edge.member.name not in request.failed_members
        )
        if not self.state.hot_objects.is_spread(request.part_state):
            return allowed
        preferred = sorted(islice(allowed, SPREAD_EDGES_COUNT), key=lambda edge: edge.in_flight)
        return chain(preferred, allowed)
