"""A simulation of cache nodes without sockets or clocks: a message arrives when the caller delivers it.

It serves the search through interleavings of topologies, deaths, purges and fills, and simulations of many
nodes. The nodes are the real `hierarchy.node.CacheNode`; the network, the origin and the source fallback are
simulated.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum
from typing import Any

from paddlequay.hierarchy.copy_cache import CachedCopy
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    FillResult,
    NodeLimits,
    OwnershipClaim,
    PeerIntroduction,
    Reply,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.source_selection import FillStep
from paddlequay.hierarchy.topology import Topology
from paddlequay.lab.simulated_origin import SimulatedOrigin

ORIGIN = "store"
EDGE_CACHE = "box"
UNBOUNDED = 1e9
DELIVERY_STEP_S = 1e-6
PURGE_STEP_S = 0.001


class Guard(Enum):
    """A guard of the node that a search may disable, to show that it finds the fault that follows."""

    WAIT_DIE = "rings"
    CLAIMS = "claims"
    LOOKUPS = "looks"
    NOTED_PURGES = "purged fills"


@dataclass(slots=True, eq=False)
class FillInFlight:
    """A fill on its way from source to source; `incarnation` is that of its node when it began."""

    node: str
    incarnation: int
    order: StartFill


@dataclass(frozen=True, slots=True)
class EdgeRequester:
    """An edge cache that asks a node, which had received purges of the object up to `purged_at`."""

    node: str
    purged_at: float


@dataclass(frozen=True, slots=True)
class FillRequester:
    """A fill that asks a node as its source."""

    fill: FillInFlight
    target: str


@dataclass(slots=True, eq=False)
class Message:
    """Something that happens when it is delivered; `at` is its time in simulations."""

    description: str
    deliver: Callable[[], None]
    at: float = 0.0


class HierarchySimulation:
    """Nodes, an origin, and messages between them that wait to be delivered.

    Args:
        limits: Bounds of the nodes.
        migration_limits: Bounds of their migration.
        disabled_guards: Guards that all nodes do without.
    """

    def __init__(
        self,
        limits: NodeLimits | None = None,
        migration_limits: MigrationLimits | None = None,
        disabled_guards: Collection[Guard] = (),
    ) -> None:
        self.limits = limits or NodeLimits(max_fill_s=UNBOUNDED, purge_memory_s=UNBOUNDED)
        self.migration_limits = migration_limits or MigrationLimits(
            earlier_home_s=UNBOUNDED, claim_s=UNBOUNDED, lookups_per_s=UNBOUNDED, lookup_burst=UNBOUNDED
        )
        self.disabled_guards = disabled_guards
        self.nodes: dict[str, CacheNode] = {}
        self.incarnations: Counter[str] = Counter()
        self.dead: set[str] = set()
        self.pending: list[Message] = []
        self.now = 1000.0
        self.origin = SimulatedOrigin()
        self.fills = SimulatedFills(self)
        self.replies: list[Reply] = []
        self.received_purges: dict[str, dict[str, float]] = defaultdict(dict)  # by node and object
        self.unanswered = 0
        self.stale_replies: list[str] = []
        self.delay: Callable[[str, str], float] = lambda *_: 0.0

    def add(self, name: str, topology: Topology, started_at: float = 0.0) -> CacheNode:
        """Starts a node that knows a topology."""
        own = topology.nodes.get(name)
        group = own.group if own is not None else "aimag"
        node = CacheNode(name, self.limits, self.migration_limits, started_at, group)
        self.nodes[name] = node
        for guard in self.disabled_guards:
            _disable(guard, node)
        node.follow(topology, self.now)
        return node

    def follow(self, name: str, topology: Topology) -> None:
        """Hands a topology to a living node, unless it knows that one or a later one."""
        if name not in self.dead and self.nodes[name].topology.version < topology.version:
            self.nodes[name].follow(topology, self.now)

    def purge(self, object_name: str) -> float:
        """Issues a purge, which nodes learn of by `receive_purge`; returns its time."""
        self.now += PURGE_STEP_S
        purged_at = self.now
        self.origin.purge(object_name, purged_at)
        self.now += PURGE_STEP_S
        return purged_at

    def receive_purge(self, name: str, object_name: str) -> None:
        """Hands the latest purge of an object to a living node."""
        if name not in self.dead and object_name in self.origin.purged_at:
            purged_at = self.origin.purged_at[object_name]
            self.received_purges[name][object_name] = purged_at
            self.nodes[name].purge(object_name, None, purged_at, self.now)

    def kill(self, name: str) -> None:
        """Stops a node: its requesters learn of it at once, and its cached copies are gone."""
        self.dead.add(name)
        self.incarnations[name] += 1
        for lease in self.nodes[name].leases.in_flight():
            for request in lease.waiters:
                if not request.is_closed:
                    self._on_reply(name, Reply(request, ReplyStatus.MISS), is_unreachable=True)
        for message in [each for each in self.pending if each.description.startswith(f"to {name} ")]:
            self.pending.remove(message)
            self.send(f"refused {message.description}", message.deliver)

    def restart(self, name: str) -> None:
        """Starts a dead node again, empty, with the topology and earlier homes that it had saved."""
        self.dead.discard(name)
        old = self.nodes[name]
        self.add(name, old.topology, started_at=self.now)
        migration = self.nodes[name].source_selector.migration
        migration.earlier_groups = old.source_selector.migration.earlier_groups
        for object_name, purged_at in self.received_purges[name].items():
            self.nodes[name].purge(object_name, None, purged_at, self.now)

    def send(self, description: str, deliver: Callable[[], None], delay: float = 0.0) -> None:
        """Adds a message to those that wait to be delivered."""
        self.pending.append(Message(description, deliver, self.now + delay))

    def deliver(self, index: int) -> str:
        """Delivers one of the pending messages; returns its description."""
        message = self.pending.pop(index)
        self.now += DELIVERY_STEP_S
        message.deliver()
        return message.description

    def request(self, name: str, object_name: str, part: int | None = 0) -> None:
        """Sends an edge cache's request to a node."""
        self.unanswered += 1

        def arrive() -> None:
            requester = EdgeRequester(name, self.received_purges[name].get(object_name, 0.0))
            deadline = self.now + UNBOUNDED
            request = FillRequest(requester, object_name, part, "video", 0.0, deadline)
            if name in self.dead:
                self.unanswered -= 1
            else:
                self.execute(name, self.nodes[name].handle_request(request, self.now))

        self.send(f"to {name} box {object_name}", arrive, self.delay(EDGE_CACHE, name))

    def count(self, counter: str) -> int:
        """Returns the sum of a counter over all nodes."""
        return sum(node.counters.counts[counter] for node in self.nodes.values())

    def execute(self, name: str, actions: list[Action]) -> None:
        """Carries out the actions of a node."""
        for action in actions:
            match action:
                case StartFill():
                    self.fills.ask_next(FillInFlight(name, self.incarnations[name], action))
                case Reply():
                    self._on_reply(name, action)
                case PeerIntroduction():
                    pass  # every node is reachable here

    def _on_reply(self, name: str, reply: Reply, is_unreachable: bool = False) -> None:
        match reply.request.requester:
            case EdgeRequester(node=node, purged_at=purged_at):
                self.unanswered -= 1
                self.replies.append(reply)
                if reply.copy is not None and reply.copy.generated_at < purged_at:
                    self.stale_replies.append(f"{node} {reply.request.object_name}")
            case FillRequester(fill=fill, target=target):
                has_copy = reply.status in (ReplyStatus.HIT, ReplyStatus.NOT_MODIFIED)
                copy = reply.copy if has_copy else None
                reason = "unreached" if is_unreachable else reply.reason or ""
                self.send(
                    f"to {fill.node} answer {reply.status.value} {reason}",
                    lambda: self.fills.on_reply(fill, target, copy, reply.next_hop, is_unreachable),
                    self.delay(name, fill.node),
                )


class SimulatedFills:
    """Carries fills from source to source, in place of the exchange and the network."""

    def __init__(self, simulation: HierarchySimulation) -> None:
        self.simulation = simulation

    def on_reply(
        self,
        fill: FillInFlight,
        target: str,
        copy: CachedCopy | None,
        next_hop: str = "",
        is_unreachable: bool = False,
    ) -> None:
        """A source's reply arrives at the node that fills."""
        order = fill.order
        if target == ORIGIN and copy is not None:
            self.simulation.origin.on_arrived(order.key, fill.node, int(copy.tag))
        if fill.node in self.simulation.dead or self.simulation.incarnations[fill.node] != fill.incarnation:
            return
        node = self.simulation.nodes[fill.node]
        if is_unreachable:
            node.on_unreachable(order.number, target)
        if copy is None or copy.generated_at < order.min_generated_at:
            self.ask_next(fill, next_hop)
            return
        own_copy = CachedCopy(copy.body, copy.tag, copy.generated_at, copy.group, 1)
        result = FillResult(own_copy, from_origin=target == ORIGIN)
        self.simulation.execute(fill.node, node.on_fill_ended(order.number, result, self.simulation.now))

    def ask_next(self, fill: FillInFlight, next_hop: str = "") -> None:
        """Asks the next source of a fill, or ends the fill where none is left."""
        node = self.simulation.nodes[fill.node]
        order = fill.order
        step = node.next_source(order.number, next_hop)
        if step is None:
            self.simulation.execute(
                fill.node, node.on_fill_ended(order.number, FillResult(), self.simulation.now)
            )
            return
        kind = "look" if step.source.only_if_cached else "fill"
        target = step.source.target
        self.simulation.send(
            f"to {target} {kind} {order.key.object_name} from {fill.node}",
            lambda: self._on_asked(fill, step),
            self.simulation.delay(fill.node, target),
        )

    def _on_asked(self, fill: FillInFlight, step: FillStep) -> None:
        """A fill's request arrives at its source."""
        order = fill.order
        target = step.source.target
        if step.source.is_origin:
            self._give_from_origin(fill)
            return
        if target in self.simulation.dead:
            self.simulation.send(
                f"to {fill.node} unreached {target}",
                lambda: self.on_reply(fill, target, None, is_unreachable=True),
                self.simulation.delay(target, fill.node),
            )
            return
        is_lookup = step.source.only_if_cached
        claim = OwnershipClaim(order.topology_version, ("127.0.0.1", 1)) if is_lookup else None
        request = FillRequest(
            requester=FillRequester(fill, target),
            object_name=order.key.object_name,
            part=order.key.part,
            class_name=order.class_name,
            min_generated_at=order.min_generated_at,
            deadline=self.simulation.now + UNBOUNDED,
            may_fill=not is_lookup,
            path=step.path,
            claim=claim,
        )
        self.simulation.execute(
            target, self.simulation.nodes[target].handle_request(request, self.simulation.now)
        )

    def _give_from_origin(self, fill: FillInFlight) -> None:
        """The origin gives out a copy as it is now."""
        key = fill.order.key
        self.simulation.origin.give(key, fill.node, self._living_holders(fill))
        copy = CachedCopy(b"x", str(self.simulation.origin.epochs[key.object_name]), self.simulation.now)
        self.simulation.send(
            f"to {fill.node} answer of the store",
            lambda: self.on_reply(fill, ORIGIN, copy),
            self.simulation.delay(ORIGIN, fill.node),
        )

    def _living_holders(self, fill: FillInFlight) -> tuple[str, ...]:
        """Returns the nodes that hold a fill's object, or are sent it, and that the filling node may ask."""
        key = fill.order.key
        purged_at = self.simulation.origin.purged_at.get(key.object_name, 0.0)
        known = self.simulation.nodes[fill.node].topology.nodes
        holders = []
        for name, node in self.simulation.nodes.items():
            listed = known.get(name)
            if name in self.simulation.dead or name == fill.node or listed is None or not listed.is_ready:
                continue
            copy = node.cache.copies.peek(key)
            is_cached = copy is not None and copy.generated_at >= purged_at
            if is_cached or self.simulation.origin.is_sending(key, name):
                holders.append(name)
        return tuple(holders)


def _disable(guard: Guard, node: CacheNode) -> None:
    """Takes a guard out of a node."""
    leases: Any = node.leases
    selector: Any = node.source_selector
    match guard:
        case Guard.WAIT_DIE:
            decide = leases.decide
            leases.decide = lambda key, path, only_if_cached=False: decide(key, None)
        case Guard.CLAIMS:
            selector.claims.accept = lambda *_: False
        case Guard.LOOKUPS:
            selector.migration.earlier_homes = lambda *_: []
        case Guard.NOTED_PURGES:
            leases.purge = lambda *_: 0
