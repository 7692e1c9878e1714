"""One cache node without sockets: decides what to serve from the cache, which fill to join and when to fill.

The node takes events and returns actions. A driver passes in requests, results of fills, topologies, purges
and the time, and carries out the actions.
"""

from paddlequay.hierarchy.fencing_tokens import FencingTokens
from paddlequay.hierarchy.fill_coordinator import FillCoordinator
from paddlequay.hierarchy.fill_leases import FillLeases
from paddlequay.hierarchy.fill_path import MAX_HOPS, FillPath
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    FillResult,
    NodeLimits,
    ReplyReason,
    ReplyStatus,
)
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node_cache import NodeCache
from paddlequay.hierarchy.source_selection import FillStep, SourceSelector
from paddlequay.hierarchy.topology import Topology
from paddlequay.observability.counters import Counters


class CacheNode:
    """One cache of the hierarchy.

    Args:
        name: The node's name in the topology.
        limits: The node's limits.
        migration_limits: Limits of migration.
        started_at: When the node started, in Unix seconds.
        group: The node's group, until a topology names one.
    """

    def __init__(
        self,
        name: str,
        limits: NodeLimits,
        migration_limits: MigrationLimits,
        started_at: float = 0.0,
        group: str = "",
    ) -> None:
        self.name = name
        self.counters = Counters()
        self.source_selector = SourceSelector(
            name, group, started_at, limits.new_node_s, migration_limits, self.counters
        )
        self.cache = NodeCache(limits.max_cache_bytes, limits.purge_memory_s, self.counters)
        self.fencing_tokens = FencingTokens()
        self.coordinator = FillCoordinator(name, limits, self.cache, self.source_selector, self.counters)

    @property
    def topology(self) -> Topology:
        """The current topology."""
        return self.source_selector.topology

    @property
    def leases(self) -> FillLeases[FillRequest]:
        """The leases of the fills in flight."""
        return self.coordinator.leases

    @property
    def waiting_count(self) -> int:
        """How many requests wait for a fill."""
        return self.coordinator.waiting.count

    def follow(self, topology: Topology, now: float) -> None:
        """Adopts a topology; `now` is in Unix seconds. Fills in flight continue with their sources."""
        self.source_selector.follow(topology, now)

    def purge(self, object_name: str | None, group: int | None, purged_at: float, now: float) -> None:
        """Applies a purge to cached copies and to fills in flight.

        Args:
            object_name: The object that is purged; None for the purge of a group.
            group: The group that is purged, where `object_name` is None.
            purged_at: When the purge was issued, in Unix seconds.
            now: The time in Unix seconds.
        """
        self.cache.purge(object_name, group, purged_at, now)
        self.counters.add("purged_fills", self.leases.purge(object_name, group, purged_at))

    def handle_request(self, request: FillRequest, now: float) -> list[Action]:
        """Handles a request and returns the actions that follow.

        The request gets exactly one reply, either among these actions or among those of a later call.

        Args:
            request: The request.
            now: The time in Unix seconds.
        """
        self.counters.add("asked")
        if self._has_stale_token(request, now):
            self.counters.add("old_terms")
            self.coordinator.reply(request, ReplyStatus.MISS, ReplyReason.STALE_TOKEN)
        elif request.path is not None and self._closes_loop(request.path):
            # Rejecting the request here, where the loop closes, lets the previous node ask its next source at
            # once.
            self.counters.add("loops_found")
            self.coordinator.reply(request, ReplyStatus.MISS, ReplyReason.LOOP)
        else:
            self._accept_claim(request, now)
            self.coordinator.serve(request, now)
        return self.coordinator.take_actions()

    def cancel(self, request: FillRequest) -> None:
        """Closes a request whose requester no longer waits. Its fill continues, to fill the cache."""
        self.coordinator.cancel(request)

    def next_source(self, number: int, next_hop: str = "") -> FillStep | None:
        """Returns the source that a fill asks next; None if no source is left or the fill is unknown.

        Args:
            number: The number of the fill's lease.
            next_hop: The node that the last source waits for, if that source rejected the fill because of a
                possible wait cycle; empty otherwise.
        """
        lease = self.leases.by_number.get(number)
        source = None if lease is None else self.source_selector.next_source(lease, next_hop)
        if lease is None or source is None:
            return None
        return FillStep(source, lease.wait_for(source.kind, source.target))

    def min_generated_at(self, number: int) -> float | None:
        """Returns the earliest Unix second at which the copy for a fill may have been generated.

        Takes account of purges that arrived after the fill began. Returns None if the fill is unknown.
        """
        lease = self.leases.by_number.get(number)
        if lease is None:
            return None
        return max(lease.min_generated_at, self.cache.purges.latest_of_object(lease.key.object_name))

    def on_unreachable(self, number: int, target: str) -> None:
        """Releases the ownership claim of a source that a fill could not reach."""
        lease = self.leases.by_number.get(number)
        if lease is not None:
            self.source_selector.claims.release(lease.key, target)

    def on_fill_ended(self, number: int, result: FillResult, now: float) -> list[Action]:
        """Ends a fill: replies to each waiter, or begins another fill if the copy is too old for that waiter.

        Args:
            number: The number of the fill's lease.
            result: The copy, or the reason why there is none.
            now: The time in Unix seconds.
        """
        self.coordinator.end_fill(number, result, now)
        return self.coordinator.take_actions()

    def expire(self, now: float) -> list[Action]:
        """Replies to the requests whose deadline has passed; `now` is in Unix seconds."""
        self.coordinator.expire(now)
        return self.coordinator.take_actions()

    def _has_stale_token(self, request: FillRequest, now: float) -> bool:
        """Returns whether the request was sent by a channel's former owner."""
        token = request.channel_token
        return token is not None and not self.fencing_tokens.accepts(token.channel, token.token, now)

    def _closes_loop(self, path: FillPath) -> bool:
        return self.name in path.hops or len(path.hops) >= MAX_HOPS

    def _accept_claim(self, request: FillRequest, now: float) -> None:
        """Records the sender's claim to be the object's home, if the request carries one."""
        if request.path is None or request.claim is None:
            return
        claimant = request.path.last_hop
        introduction = self.source_selector.accept_claim(request.key, claimant, request.claim, now)
        if introduction is not None:
            self.coordinator.actions.append(introduction)
