"""The shape of the hierarchy: a versioned graph of who may fill from whom.

Nodes belong to a group, whose members share the homes of objects, and name the parents they fill from; the
stores, which hold everything, end every way. A shape is never changed: a delta gives the next one or is
refused with one line that says why. Deltas may come late, twice or out of order, and may be built on what
was refused.
"""

import math
import re
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Any

from paddlequay.routing.interface import MemberState

NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]{0,63}")
STATES = {"in_service": MemberState.READY, "terminating": MemberState.DRAINING}
STATE_WORDS = {state: word for word, state in STATES.items()}


class TopologyError(ValueError):
    """A shape, or a change to one, that cannot be used; one line that says why."""


@dataclass(frozen=True, slots=True)
class TopologyLimits:
    """Bounds of what a feed or a file may bring."""

    nodes: int = 20_000
    parents: int = 64  # of one node
    depth: int = 6  # steps from a node up to a store
    held: int = 64  # deltas that wait for the one they are built on
    held_nodes: int = 20_000  # nodes in all of these


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """One cache of the hierarchy, or a store. `started` is Unix seconds, 0 where it has always run."""

    name: str
    address: tuple[str, int]
    group: str = "caches"
    parents: tuple[str, ...] = ()
    store: bool = False
    state: MemberState = MemberState.READY
    weight: float = 1.0
    started: float = 0.0

    @property
    def ready(self) -> bool:
        return self.state is MemberState.READY


@dataclass(frozen=True, slots=True)
class Delta:
    """A change: from version `base` (None: whatever it is, all nodes are named) to `version`."""

    version: int
    base: int | None
    put: tuple[NodeSpec, ...] = ()
    drop: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Topology:
    """One version of the graph."""

    version: int = 0
    nodes: Mapping[str, NodeSpec] = field(default_factory=lambda: MappingProxyType({}))

    def group(self, name: str) -> Iterator[NodeSpec]:
        """The members of a group, in the order in which they came."""
        return (node for node in self.nodes.values() if node.group == name and not node.store)

    def stores(self) -> Iterator[NodeSpec]:
        return (node for node in self.nodes.values() if node.store)

    def parents_of(self, name: str) -> Iterator[NodeSpec]:
        """The caches that a node may fill from, the stores left out."""
        node = self.nodes.get(name)
        for parent in node.parents if node is not None else ():
            if not self.nodes[parent].store:
                yield self.nodes[parent]


def next_shape(shape: Topology, delta: Delta, limits: TopologyLimits) -> Topology:
    """The shape after a delta; ShapeError where it may not be, and then the old one stays as it is."""
    nodes = {} if delta.base is None else dict(shape.nodes)
    for name in delta.drop:
        if nodes.pop(name, None) is None:
            raise TopologyError(f"version {delta.version} drops {name}, which is not there")
    for node in delta.put:
        nodes[node.name] = node
    if len(nodes) > limits.nodes:
        raise TopologyError(f"version {delta.version} has {len(nodes)} nodes, more than {limits.nodes}")
    if not any(node.store for node in nodes.values()):
        raise TopologyError(f"version {delta.version} has no store")
    gone = set(delta.drop) if delta.base is not None else set()
    # What is not named again was sound in the shape before, unless a parent of it has gone.
    looked = nodes.values() if gone or delta.base is None else [nodes[node.name] for node in delta.put]
    for node in looked:
        check_node(node, nodes, delta.version, limits)
    check_ways(nodes, [node.name for node in looked], delta.version, limits.depth)
    return Topology(delta.version, MappingProxyType(nodes))


def check_node(node: NodeSpec, nodes: Mapping[str, NodeSpec], version: int, limits: TopologyLimits) -> None:
    if node.store and node.parents:
        raise TopologyError(f"version {version}: store {node.name} has parents")
    if not node.store and not node.parents:
        raise TopologyError(f"version {version}: {node.name} has no parent")
    if len(node.parents) > limits.parents:
        raise TopologyError(f"version {version}: {node.name} has {len(node.parents)} parents")
    for parent in node.parents:
        if parent == node.name:
            raise TopologyError(f"version {version}: {node.name} is its own parent")
        if parent not in nodes:
            raise TopologyError(f"version {version}: {node.name} has parent {parent}, which is not there")


def check_ways(nodes: Mapping[str, NodeSpec], start: Iterable[str], version: int, deepest: int) -> None:
    """No cycle, and no way up longer than `deepest`, on any way up from `start`.

    A cycle that a change closes goes through a node that it names, so that nothing else is walked; a walk
    with a list of its own, as the graph may be deeper than the interpreter's stack. Too deep below a
    changed node is looked for only where the change names what is below it, which costs no rule: hops are
    bounded as well.
    """
    height: dict[str, int] = {}
    for first in start:
        if first in height:
            continue
        way: list[str] = [first]
        on_way = {first}
        ahead = [iter(nodes[first].parents)]
        while way:
            parent = next(ahead[-1], None)
            if parent is None:
                name = way.pop()
                on_way.discard(name)
                ahead.pop()
                height[name] = 1 + max((height[each] for each in nodes[name].parents), default=-1)
                if height[name] > deepest:
                    raise TopologyError(f"version {version}: {name} is {height[name]} steps below a store")
            elif parent in on_way:
                ring = [*way[way.index(parent) :], parent]
                raise TopologyError(f"version {version}: a cycle: {' > '.join(ring[:8])}")
            elif parent not in height:
                way.append(parent)
                on_way.add(parent)
                ahead.append(iter(nodes[parent].parents))


class DeltaOutcome(Enum):
    """What became of a delta."""

    APPLIED = "applied"
    OLD = "old"  # had already, or older than what is had
    HELD = "held"  # waits for the one it is built on
    REFUSED = "refused"


class TopologyTracker:
    """The current shape, and deltas on their way to it.

    Bounds: `held` deltas with `held_nodes` nodes wait; past that the one furthest ahead is dropped, which its
    feed makes good with a whole shape. A refused delta leaves the shape as it was; what is built on it waits
    for a whole shape, or for a delta that is built on what stands.
    """

    def __init__(self, limits: TopologyLimits, shape: Topology | None = None) -> None:
        self.limits = limits
        self.shape = shape or Topology()
        self.held: OrderedDict[int, Delta] = OrderedDict()  # by the version that they are built on
        self.said = ""  # why the last one was refused, dropped or held

    def take(self, delta: Delta) -> DeltaOutcome:
        """Apply a delta, and all held ones that then fit."""
        took = self.step(delta)
        while took is DeltaOutcome.APPLIED and self.held:
            later = self.held.pop(self.shape.version, None)
            if later is None or self.step(later) is not DeltaOutcome.APPLIED:
                break
        for base in [base for base in self.held if self.held[base].version <= self.shape.version]:
            del self.held[base]
        return took

    def step(self, delta: Delta) -> DeltaOutcome:
        if delta.version <= self.shape.version:
            self.said = f"version {delta.version} came after {self.shape.version}"
            return DeltaOutcome.OLD
        if delta.base is not None and delta.base != self.shape.version:
            if delta.base < self.shape.version:
                self.said = f"version {delta.version} is built on {delta.base}, not on {self.shape.version}"
                return DeltaOutcome.REFUSED
            return self.hold(delta)
        try:
            self.shape = next_shape(self.shape, delta, self.limits)
        except TopologyError as error:
            self.said = str(error)
            return DeltaOutcome.REFUSED
        return DeltaOutcome.APPLIED

    def hold(self, delta: Delta) -> DeltaOutcome:
        assert delta.base is not None
        known = self.held.get(delta.base)
        if known is None or known.version < delta.version:
            self.held[delta.base] = delta
        self.said = f"version {delta.version} waits for {delta.base}, {self.shape.version} stands"
        while len(self.held) > self.limits.held or self.nodes_held > self.limits.held_nodes:
            furthest = max(self.held)
            del self.held[furthest]
            if furthest == delta.base:
                self.said = f"version {delta.version} was dropped: too many wait for {self.shape.version}"
                return DeltaOutcome.REFUSED
        return DeltaOutcome.HELD

    @property
    def nodes_held(self) -> int:
        return sum(len(delta.put) for delta in self.held.values())


# --- as JSON, alike in the feed and in the file ---


def need(item: Any, name: str, kind: type, where: str) -> Any:
    value = item.get(name)
    if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
        raise TopologyError(f"{where}: {name}: expected {kind.__name__}, got {str(value)[:60]!r}")
    return value


def read_name(value: Any, where: str) -> str:
    if not isinstance(value, str) or not NAME.fullmatch(value):
        raise TopologyError(f"{where}: expected 1 to 64 letters, digits, - and _, got {str(value)[:70]!r}")
    return value


def read_number(item: Mapping[str, Any], name: str, default: float, where: str) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise TopologyError(f"{where}: {name}: expected a number from 0 up, got {str(value)[:60]!r}")
    return float(value)


def read_node(item: Any, limits: TopologyLimits) -> NodeSpec:
    """A node from JSON; ShapeError with node and field."""
    if not isinstance(item, dict):
        raise TopologyError(f"node: expected an object, got {str(item)[:60]!r}")
    name = read_name(item.get("id"), "node: id")
    where = f"node {name}"
    host, colon, port = str(item.get("at", "")).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise TopologyError(f"{where}: at: expected host:port, got {str(item.get('at'))[:60]!r}")
    parents = item.get("parents", [])
    if not isinstance(parents, list) or len(parents) > limits.parents:
        raise TopologyError(f"{where}: parents: expected a list of at most {limits.parents}")
    state = item.get("state", "in_service")
    if state not in STATES:
        raise TopologyError(f"{where}: state: expected one of {', '.join(STATES)}, got {str(state)[:60]!r}")
    return NodeSpec(
        name=name,
        address=(host, int(port)),
        group=read_name(item.get("group", "caches"), f"{where}: group"),
        parents=tuple(dict.fromkeys(read_name(parent, f"{where}: parents") for parent in parents)),
        store=need({"store": False} | item, "store", bool, where),
        state=STATES[state],
        weight=read_number(item, "weight", 1.0, where),
        started=read_number(item, "started_ms", 0.0, where) / 1000.0,
    )


def read_delta(item: Any, limits: TopologyLimits) -> Delta:
    """A change from JSON; ShapeError with the field."""
    if not isinstance(item, dict):
        raise TopologyError(f"shape: expected an object, got {str(item)[:60]!r}")
    version = need(item, "version", int, "shape")
    base = None if item.get("base") is None else need(item, "base", int, "shape")
    if not 0 < version < 1 << 62 or (base is not None and not 0 <= base < version):
        raise TopologyError(f"shape: version {version} cannot be built on {base}")
    put, drop = item.get("put", []), item.get("drop", [])
    if not isinstance(put, list) or not isinstance(drop, list):
        raise TopologyError("shape: put, drop: expected lists")
    if len(put) > limits.nodes or len(drop) > limits.nodes:
        raise TopologyError(f"shape: more than {limits.nodes} nodes")
    nodes = tuple(read_node(each, limits) for each in put)
    if len({node.name for node in nodes}) < len(nodes):
        raise TopologyError("shape: put: a node is named twice")
    names = tuple(dict.fromkeys(read_name(each, "shape: drop") for each in drop))
    return Delta(version, base, nodes, names)


def node_data(node: NodeSpec) -> dict[str, Any]:
    at = f"{node.address[0]}:{node.address[1]}"
    data: dict[str, Any] = {"id": node.name, "at": at, "group": node.group}
    if node.store:
        data["store"] = True
    else:
        data["parents"] = list(node.parents)
    if node.state is not MemberState.READY:
        data["state"] = STATE_WORDS[node.state]
    if node.weight != 1.0:
        data["weight"] = node.weight
    if node.started:
        data["started_ms"] = round(node.started * 1000)
    return data


def delta_data(delta: Delta) -> dict[str, Any]:
    data: dict[str, Any] = {"version": delta.version, "put": list(map(node_data, delta.put))}
    if delta.base is not None:
        data |= {"base": delta.base, "drop": list(delta.drop)}
    return data


def whole(shape: Topology) -> Delta:
    """A shape as the delta that brings it from nothing."""
    return Delta(shape.version, None, tuple(shape.nodes.values()))


def difference(old: Topology, new: Topology) -> Delta:
    """The delta that leads from one shape to a later one."""
    put = tuple(node for name, node in new.nodes.items() if old.nodes.get(name) != node)
    return Delta(new.version, old.version, put, tuple(name for name in old.nodes if name not in new.nodes))
