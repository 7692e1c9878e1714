"""Source fallback: a node's fills go from source to source under the rules of `policy.Router`.

The node names the sources of a fill and their order. Whether a source may be used now is decided by the same
rules as in a router: failures, probes, concurrency limits, slow start, time-outs and purges. A node therefore
runs its fills through the same exchange and needs no health rules of its own.
"""

from collections.abc import Iterator

from paddlequay.hierarchy.fill_leases import FillSource
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.topology import Topology
from paddlequay.policy import Router
from paddlequay.policy.availability import is_available
from paddlequay.routing.interface import (
    AttemptEnded,
    Fail,
    Fetch,
    Member,
    MembersChanged,
    Outcome,
    RejectCause,
    RoutingSettings,
)
from paddlequay.routing.state import AttemptState, RequestState, Upstream

CACHE_KIND = "node"
ORIGIN_KIND = "store"
# Requests in flight at one member, from all nodes of a group. A node serves hundreds at once from memory.
INITIAL_CONCURRENCY_LIMIT = 200.0
FILL_RETENTION = 1
MIN_AGE_S = 0.001
UNREACHABLE_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


def possible_sources(topology: Topology, own_name: str, group: str) -> Iterator[str]:
    """Yields the names of the nodes that a node may ever ask.

    These are the other nodes of its group, the nodes in the groups of the group's parents, and the origins.
    """
    parents = {parent for node in topology.caches_of_group(group) for parent in node.parents}
    groups = {group} | {topology.nodes[name].group for name in parents}
    for name, node in topology.nodes.items():
        if name != own_name and (node.is_origin or node.group in groups):
            yield name


def member_of(topology: Topology, name: str) -> Member:
    """Returns a node of the topology as a member for the routing policy."""
    node = topology.nodes[name]
    return Member(
        name=name,
        kind=ORIGIN_KIND if node.is_origin else CACHE_KIND,
        state=node.state,
        weight=node.weight,
        started=node.started_at,
    )


class FallbackRouter(Router):
    """A `policy.Router` that sends to the sources named by a node instead of the routes of a two-tier cache.

    Args:
        settings: The settings of the policy.
        seed: The seed of its random draws.
        node: Names the sources of fills.
    """

    def __init__(self, settings: RoutingSettings, seed: int, node: CacheNode) -> None:
        super().__init__(settings, seed)
        self.node = node
        self.next_hops: dict[str, str] = {}  # by request id: the node that the last source waits for

    def on_members(self, event: MembersChanged) -> None:
        """Updates the members; new ones get `INITIAL_CONCURRENCY_LIMIT`."""
        upstreams = self.state.members.upstreams
        known = set(upstreams)
        super().on_members(event)
        new = [upstream for name, upstream in upstreams.items() if name not in known]
        # The format in which a process passes its limits to its successor in a hot restart.
        limits = {f"limit {upstream.member.name}": INITIAL_CONCURRENCY_LIMIT for upstream in new}
        self.state.limits.inherit_state(new, limits)

    def update_sharing_routers(self) -> None:
        """Divides the concurrency limits among all nodes of the group, as they send to the same members."""
        group_size = len(self.node.source_selector.migration.weights)
        # The numbers of edges, parents and origins are not used when `sender_count` is given.
        self.state.limits.set_sharing_routers(1, 1, 1, sender_count=max(1, group_size))

    def advance(self, request: RequestState) -> None:
        """Sends the next attempt of a fill, or fails the fill.

        A busy source that could fill the object itself is not skipped but ends the fill, since the next
        source could begin a second fill of the same object.
        """
        number = request.received.fill
        has_retries = not request.attempts or self.state.retries.may_retry(request, self.now)
        if number is None or not has_retries:
            self.give_up(request, RejectCause.RETRIES_EXHAUSTED)
            return
        next_hop = self.next_hops.pop(request.received.id, "")
        while (step := self.node.next_source(number, next_hop)) is not None:
            next_hop = ""
            upstream = self._usable_upstream(step.source, request)
            if upstream is None:
                continue
            if not self.state.limits.is_busy(upstream, request, self.now):
                self._send(request, upstream, step.source)
                return
            if not step.source.only_if_cached:
                self.give_up(request, RejectCause.EDGE_BUSY)
                return
        self.actions.append(Fail(request.received.id))
        self.close(request.received.id)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Reports an unreachable source to the node, then handles the end of the attempt."""
        request = self.requests.get(event.request)
        if request is not None and request.received.fill is not None:
            if event.outcome in UNREACHABLE_OUTCOMES:
                self.node.on_unreachable(request.received.fill, event.target)
            if event.loop_hint:
                self.next_hops[event.request] = event.loop_hint
        super().on_attempt_ended(event)

    def close(self, request_id: str) -> None:
        """Ends a request."""
        self.next_hops.pop(request_id, None)
        super().close(request_id)

    def _usable_upstream(self, source: FillSource, request: RequestState) -> Upstream | None:
        """Returns the upstream of a source; None unless it is listed, ready and available."""
        upstream = self.state.members.upstreams.get(source.target)
        if upstream is None or not upstream.ready:
            return None
        return upstream if is_available(self.state, upstream, request, self.now) else None

    def _send(self, request: RequestState, upstream: Upstream, source: FillSource) -> None:
        """Sends one attempt to a source."""
        self.attempts.register(request, AttemptState(upstream, upstream, self.now, False))
        fetch = Fetch(
            request=request.received.id,
            target=source.target,
            source=self._fetch_source(source),
            retention=FILL_RETENTION,
            timeout=self.state.timeouts.attempt_timeout(request, self.now),
            max_age=self._max_age(request),
            coalesce=True,
            only_if_cached=source.only_if_cached,
        )
        self.actions.append(fetch)

    def _fetch_source(self, source: FillSource) -> str:
        """Returns the node that the target may fill from.

        This is an origin, which allows the target to fill. It is the target itself if the target may only
        return a cached copy, is an origin, or no origin is known.
        """
        origins = self.state.members.origins
        if source.only_if_cached or source.is_origin or not origins:
            return source.target
        return origins[0].member.name

    def _max_age(self, request: RequestState) -> float | None:
        """Returns the maximum age of the copy in seconds; None if any copy will do.

        It takes account of purges that arrived since the fill began.
        """
        min_generated_at = self.node.min_generated_at(request.received.fill or 0)
        if min_generated_at is None or min_generated_at <= 0:
            return None
        return max(MIN_AGE_S, self.now - min_generated_at)
