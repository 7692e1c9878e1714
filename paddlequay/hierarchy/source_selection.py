"""Source selection: which nodes a fill asks, one after another, before it goes to the origin.

This module chooses the candidates and their order. `policy.Router`, behind the exchange, decides whether a
candidate may be used now (health, limits, slow start).

A source rejects a fill if waiting could close a wait cycle, and names its next hop: the node that the source
itself waits for. The rejected fill then proceeds as follows:

1. It asks the next hop as an extra source, then the next hop that this node names, and so on.
2. A next hop whose own fill waits for the origin lets this fill join.
3. If a next hop is this node itself, the wait cycle is real, and the fill continues with its remaining
   sources, the origin last. A source that was asked only for a cached copy is asked once more before that.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from paddlequay.hierarchy.copy_cache import PartKey
from paddlequay.hierarchy.fill_leases import FillLease, FillSource, SourceKind
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.hierarchy.fill_requests import FillRequest, OwnershipClaim, PeerIntroduction
from paddlequay.hierarchy.migration import MigrationLimits, MigrationPlan
from paddlequay.hierarchy.ownership_claims import OwnershipClaims
from paddlequay.hierarchy.topology import NodeSpec, Topology
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import arrival, digest, object_key, placement_key, slot_of

MAX_INTRODUCED_PEERS = 64
MAX_EXTRA_SOURCES = 6  # sources that one fill asks in addition to its list
REPEATED_LOOKUP_COST = MAX_EXTRA_SOURCES // 2  # how many extra sources a repeated look-up at a node counts as
MAX_HOMES_ASKED = 3  # homes that a node asks one after another before it uses parents and origins


@dataclass(frozen=True, slots=True)
class FillStep:
    """The source that a fill asks next, and the path to send with the request."""

    source: FillSource
    path: FillPath


class SourceSelector:
    """Chooses the sources of a node's fills.

    Args:
        own_name: The name of this node.
        group: The node's group, which is used until a topology lists the node.
        started_at: When the node started, in Unix seconds.
        new_node_s: For how many seconds after its start the next homes of its objects may still hold copies.
        limits: Limits of migration.
        counters: The node's counters.
    """

    def __init__(
        self,
        own_name: str,
        group: str,
        started_at: float,
        new_node_s: float,
        limits: MigrationLimits,
        counters: Counters,
    ) -> None:
        self.own_name = own_name
        self.group = group
        self.started_at = started_at
        self.new_node_s = new_node_s
        self.counters = counters
        self.topology = Topology()
        self.migration = MigrationPlan(own_name, limits)
        self.claims = OwnershipClaims(own_name, limits.claim_s)
        # The addresses of claimants that the topology does not list yet, in order of introduction.
        self.introduced_peers: dict[str, tuple[str, int]] = {}
        self.ejected: set[str] = set()  # nodes that operators have ejected

    def follow(self, topology: Topology, now: float) -> None:
        """Adopts a topology; `now` is in Unix seconds. Fills in flight continue with their sources."""
        self.topology = topology
        self.claims.topology_version = topology.version
        self.introduced_peers = {
            name: address for name, address in self.introduced_peers.items() if name not in topology.nodes
        }
        own = topology.nodes.get(self.own_name)
        if own is not None:
            self.group = own.group
        if self.migration.follow(topology, self.group, now):
            self.counters.add("homes_changed")

    def accept_claim(
        self, key: PartKey, claimant: str, claim: OwnershipClaim, now: float
    ) -> PeerIntroduction | None:
        """Records another node's claim to be an object's home, unless a later topology is known.

        Returns:
            An order to introduce the claimant, if the topology does not list it yet. Without the introduction
            this node could not ask the claimant and would fill the object a second time.
        """
        if not self.claims.accept(key, claimant, claim.topology_version, now):
            self.counters.add("claims_old")
            return None
        self.counters.add("claims_believed")
        is_from_later_topology = claim.topology_version > self.topology.version
        if claimant in self.topology.nodes or not is_from_later_topology:
            return None
        is_known = self.introduced_peers.get(claimant) == claim.address
        self.introduced_peers[claimant] = claim.address
        while len(self.introduced_peers) > MAX_INTRODUCED_PEERS:
            del self.introduced_peers[next(iter(self.introduced_peers))]
        return None if is_known else PeerIntroduction(claimant, claim.address)

    def sources(self, request: FillRequest, path: FillPath, now: float) -> list[FillSource]:
        """Returns the nodes that a fill asks one after another, without duplicates.

        The order is: the object's claimant, if there is one; the earlier homes if this node is the home, or
        else the homes; the parents in the order in which they are homes of the object; the origins.

        Args:
            request: The request that begins the fill.
            path: The path of the fill, including this node. Nodes in it wait for this fill and are not asked.
            now: The time in Unix seconds.
        """
        # Routers use the same key, so that they send requests to the node that this one considers the home.
        hash_key = placement_key(object_key(request.object_name))
        sources: dict[str, FillSource] = {}
        claimant = self.claims.claimant(request.key, now)
        if claimant is not None and self.may_ask(claimant, path):
            sources[claimant] = FillSource(claimant)
        if self.migration.homes.first_home(hash_key) == self.own_name:
            for name in self._earlier_homes(hash_key, path, now):
                sources.setdefault(name, FillSource(name, only_if_cached=True))
        else:
            for name in self._homes(hash_key, path):
                sources.setdefault(name, FillSource(name))
        for name in self._parents(hash_key, path):
            sources.setdefault(name, FillSource(name))
        origins = (node for node in self.topology.origins() if node.is_ready)
        for name in _in_home_order(origins, hash_key):
            sources.setdefault(name, FillSource(name, is_origin=True))
        return list(sources.values())

    def may_ask(self, name: str, path: FillPath) -> bool:
        """Returns whether a fill may ask a node: it must be ready, not ejected and not in the fill's path.

        A node in the path waits for this fill, so asking it would close a path loop.
        """
        node = self.topology.nodes.get(name)
        is_ready = node.is_ready if node is not None else name in self.introduced_peers
        if not is_ready or name in self.ejected:
            return False
        if name in path.hops:
            self.counters.add("loops_cut")
            return False
        return True

    def next_source(self, lease: FillLease[FillRequest], next_hop: str) -> FillSource | None:
        """Returns the source that a fill asks next; None if none is left.

        Args:
            lease: The fill's lease.
            next_hop: The node that the last source waits for, if that source rejected the fill because of a
                possible wait cycle; empty otherwise.
        """
        if next_hop:
            source = self._next_hop_source(lease, next_hop)
            if source is not None:
                return source
        if not lease.sources:
            return None
        return self._claimant_before_origin(lease) or lease.sources.popleft()

    def _earlier_homes(self, hash_key: int, path: FillPath, now: float) -> list[str]:
        """Returns the earlier homes, which may hold a copy of an object whose home this node is now."""
        self.claims.forget_expired(now)
        is_new = now - self.started_at < self.new_node_s
        return self.migration.earlier_homes(hash_key, lambda name: self.may_ask(name, path), is_new, now)

    def _homes(self, hash_key: int, path: FillPath) -> Iterator[str]:
        """Yields the homes that precede this node, so that all nodes ask the same next home if one fails."""
        for name in self.migration.homes.first_home_names(hash_key, MAX_HOMES_ASKED):
            if name == self.own_name:
                return
            if self.may_ask(name, path):
                yield name

    def _parents(self, hash_key: int, path: FillPath) -> list[str]:
        parents = self.topology.parent_caches(self.own_name)
        return [name for name in _in_home_order(parents, hash_key) if self.may_ask(name, path)]

    def _next_hop_source(self, lease: FillLease[FillRequest], next_hop: str) -> FillSource | None:
        """Returns the source to ask because of a rejection's next hop; None to continue with the list."""
        if next_hop != self.own_name:
            return self._extra_source(lease, next_hop)
        is_exhausted = lease.extra_source_count >= MAX_EXTRA_SOURCES
        if lease.source_kind is not SourceKind.CACHED_COPY or is_exhausted:
            return None
        # This node and the source looked the object up at each other. The source has meanwhile cached the
        # object or begun to fill it, so it is asked again.
        lease.extra_source_count += REPEATED_LOOKUP_COST
        return FillSource(lease.source, only_if_cached=True)

    def _claimant_before_origin(self, lease: FillLease[FillRequest]) -> FillSource | None:
        """Returns the object's claimant if an origin would be next; the claim may be newer than the fill."""
        if not lease.sources[0].is_origin:
            return None
        # Checked as of the fill's start: a claim that was valid then, or was made later, counts even if it
        # has expired since.
        claimant = self.claims.claimant(lease.key, lease.started_at)
        return self._extra_source(lease, claimant) if claimant is not None else None

    def _extra_source(self, lease: FillLease[FillRequest], name: str) -> FillSource | None:
        """Returns a source outside the list, up to `MAX_EXTRA_SOURCES`; it may have been asked before."""
        is_exhausted = lease.extra_source_count >= MAX_EXTRA_SOURCES
        if name == self.own_name or is_exhausted or not self.may_ask(name, lease.path):
            return None
        lease.extra_source_count += 1
        self.counters.add("detours")
        return FillSource(name)


def _in_home_order(nodes: Iterable[NodeSpec], hash_key: int) -> list[str]:
    """Returns the names of the nodes in the order in which they are homes of an object."""
    slot = slot_of(hash_key)
    weights: Mapping[str, float] = {node.name: node.weight for node in nodes}
    return sorted(weights, key=lambda name: (arrival(digest(name), slot, weights[name]), name))
