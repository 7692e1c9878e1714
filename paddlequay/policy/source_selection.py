"""Source selection: where an edge fills a miss from."""

from itertools import chain

from paddlequay.placement.homes import placement_key
from paddlequay.policy.availability import is_available
from paddlequay.policy.router_state import RouterState
from paddlequay.policy.sibling_fills import find_sibling
from paddlequay.routing.state import CacheTier, RequestState, Upstream


class FillSourceSelector:
    """Chooses the sources of fills; it writes `link_full` and `only_if_cached` of a request."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def choose_source(self, request: RequestState, edge: Upstream | None, now: float) -> Upstream | None:
        """Returns a sibling that holds the part, else the first available parent, else the origin.

        Args:
            request: The request, with the members that failed it.
            edge: The edge that fills, or None for a request that bypasses the edges.
            now: Seconds of the router's clock.

        Returns:
            The source; None if none is available, or if the zone's link has no capacity
            (`request.link_full`).
        """
        state = self.state
        holders = state.hot_objects.holders(request.part_state, state.members.upstreams, now)
        fills = edge is None or edge.member.name not in holders
        if edge is not None and fills and state.settings.allows_sibling_fills:
            sibling = find_sibling(request, holders, state.members, now)
            if sibling is not None:
                return sibling
        # Without reply details, nothing proves that a presumed copy exists, so it may have to be filled.
        uses_link = fills or not state.settings.detailed_replies
        if uses_link and not state.fill_admission.admits_fill(request, now, cached=edge is not None):
            request.link_full = True
            return None
        objective = state.latency.objective(request)
        request.only_if_cached = fills and state.origin_wait.sheds(objective, request.sampling_draw, now)
        return self._first_available(request, fills, now)

    def _first_available(self, request: RequestState, fills: bool, now: float) -> Upstream | None:
        """Returns the first available parent in hash order, or the origin if no available parent is busy."""
        state = self.state
        parents = state.members.ranked(CacheTier.PARENT, placement_key(request.received.key), now)
        origins = () if request.only_if_cached else state.members.origins
        was_busy = False
        for source in chain(parents, origins):
            if source.member.name in request.failed_members:
                continue
            if not is_available(state, source, request, now):
                continue
            if fills and state.limits.is_busy(source, request, now):
                was_busy = True
                continue
            # The load of a busy parent is shed; forwarded to the origin, it would overload that as well.
            return None if was_busy and source.tier is not CacheTier.PARENT else source
        return None
