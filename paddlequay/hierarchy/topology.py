"""The topology of the hierarchy: a versioned graph of the caches and the nodes that they may fill from.

Each node belongs to a group, whose members share the homes of objects, and lists its parents. Origins
(`store` in settings and on the wire) hold all objects and end every path. A topology is immutable: a delta
produces the next one, or is rejected with a reason in one line.
"""

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.routing.interface import MemberState

NODE_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_-]{0,63}")
DEFAULT_GROUP = "caches"
MAX_SHOWN_CYCLE_NODES = 8


@dataclass(frozen=True, slots=True)
class TopologyLimits:
    """Limits of topologies from a feed or a file.

    Attributes:
        nodes: Nodes of a topology.
        parents: Parents of one node.
        depth: Steps from a node up to an origin.
        pending_deltas: Deltas that wait for their base version.
        pending_nodes: Nodes in all pending deltas together.
    """

    nodes: int = 20_000
    parents: int = 64
    depth: int = 6
    pending_deltas: int = 64
    pending_nodes: int = 20_000


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """A cache or an origin, as the topology lists it.

    `started_at` is in Unix seconds; 0 means that the node started long ago.
    """

    name: str
    address: tuple[str, int]
    group: str = DEFAULT_GROUP
    parents: tuple[str, ...] = ()
    is_origin: bool = False
    state: MemberState = MemberState.READY
    weight: float = 1.0
    started_at: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new requests."""
        return self.state is MemberState.READY


@dataclass(frozen=True, slots=True)
class TopologyDelta:
    """A change from `base_version` to `version`.

    If `base_version` is None the delta is full: `changed` lists all nodes of the new version.
    """

    version: int
    base_version: int | None
    changed: tuple[NodeSpec, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Topology:
    """One version of the graph; version 0 is empty and stands for an unknown topology."""

    version: int = 0
    nodes: Mapping[str, NodeSpec] = field(default_factory=lambda: MappingProxyType({}))

    def caches_of_group(self, group: str) -> Iterator[NodeSpec]:
        """Yields the caches of a group, in the order in which the topology lists them."""
        return (node for node in self.nodes.values() if node.group == group and not node.is_origin)

    def origins(self) -> Iterator[NodeSpec]:
        """Yields the origins, in the order in which the topology lists them."""
        return (node for node in self.nodes.values() if node.is_origin)

    def parent_caches(self, name: str) -> Iterator[NodeSpec]:
        """Yields the parents of a node that are caches, without origins."""
        node = self.nodes.get(name)
        for parent in node.parents if node is not None else ():
            if not self.nodes[parent].is_origin:
                yield self.nodes[parent]


def full_delta(topology: Topology) -> TopologyDelta:
    """Returns a full delta, which produces the topology whatever the previous one is."""
    return TopologyDelta(topology.version, None, tuple(topology.nodes.values()))


def delta_between(old: Topology, new: Topology) -> TopologyDelta:
    """Returns the delta that leads from one topology to a later one."""
    changed = tuple(node for name, node in new.nodes.items() if old.nodes.get(name) != node)
    removed = tuple(name for name in old.nodes if name not in new.nodes)
    return TopologyDelta(new.version, old.version, changed, removed)


def apply_delta(topology: Topology, delta: TopologyDelta, limits: TopologyLimits) -> Topology:
    """Returns the topology after a delta; the old topology is not changed.

    Raises:
        TopologyError: The resulting topology would be invalid or exceed a limit.
    """
    where = f"version {delta.version}"
    is_full = delta.base_version is None
    nodes = {} if is_full else dict(topology.nodes)
    for name in delta.removed:
        if nodes.pop(name, None) is None:
            raise TopologyError(f"drops node {name}, which the topology does not list", where)
    nodes.update((node.name, node) for node in delta.changed)
    if len(nodes) > limits.nodes:
        raise TopologyError(f"has {len(nodes)} nodes, more than {limits.nodes}", where)
    if not any(node.is_origin for node in nodes.values()):
        raise TopologyError("has no store", where)
    # A node that the delta does not list is still valid, unless one of its parents has been removed.
    must_check_all = is_full or bool(delta.removed)
    checked = list(nodes.values()) if must_check_all else [nodes[node.name] for node in delta.changed]
    for node in checked:
        _check_parents(node, nodes, where, limits)
    _check_depth(nodes, [node.name for node in checked], where, limits.depth)
    return Topology(delta.version, MappingProxyType(nodes))


def _check_parents(node: NodeSpec, nodes: Mapping[str, NodeSpec], where: str, limits: TopologyLimits) -> None:
    """Raises `TopologyError` if an origin has parents, or a cache has none, too many or invalid ones."""
    if node.is_origin and node.parents:
        raise TopologyError(f"store {node.name} has parents", where)
    if not node.is_origin and not node.parents:
        raise TopologyError(f"{node.name} has no parent", where)
    if len(node.parents) > limits.parents:
        raise TopologyError(f"{node.name} has {len(node.parents)} parents, more than {limits.parents}", where)
    for parent in node.parents:
        if parent == node.name:
            raise TopologyError(f"{node.name} is its own parent", where)
        if parent not in nodes:
            raise TopologyError(f"{node.name} has parent {parent}, which the topology does not list", where)


def _check_depth(nodes: Mapping[str, NodeSpec], start: Iterable[str], where: str, max_depth: int) -> None:
    """Raises `TopologyError` if a path up from `start` has a cycle or more than `max_depth` steps.

    Only paths from `start` are visited, as any cycle that a delta closes contains a node that it lists. The
    search uses its own stack, because the graph may be deeper than the interpreter's recursion limit. The
    depth of nodes below a changed node is checked only if the delta lists them; fills from the others are
    still bounded by `MAX_HOPS` of the fill path.
    """
    depth: dict[str, int] = {}
    for first in start:
        if first in depth:
            continue
        path = [first]
        on_path = {first}
        unvisited = [iter(nodes[first].parents)]  # for each node on the path: its parents not yet visited
        while path:
            parent = next(unvisited[-1], None)
            if parent is None:
                name = path.pop()
                on_path.discard(name)
                unvisited.pop()
                depth[name] = 1 + max((depth[each] for each in nodes[name].parents), default=-1)
                if depth[name] > max_depth:
                    raise TopologyError(
                        f"{name} is {depth[name]} steps below a store, more than {max_depth}", where
                    )
            elif parent in on_path:
                cycle = [*path[path.index(parent) :], parent]
                raise TopologyError(
                    f"parents form a cycle: {' > '.join(cycle[:MAX_SHOWN_CYCLE_NODES])}", where
                )
            elif parent not in depth:
                path.append(parent)
                on_path.add(parent)
                unvisited.append(iter(nodes[parent].parents))
