"""Builders of nodes, requests, copies and topologies for the tests of the hierarchy."""

from collections.abc import Iterable
from typing import Any

from paddlequay.hierarchy.copy_cache import CachedCopy, PartKey
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    NodeLimits,
    Reply,
    ReplyReason,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.topology import NodeSpec, Topology, TopologyDelta, TopologyLimits, apply_delta
from paddlequay.lab.hierarchy_search import first_topology

PART = PartKey("a", 0)


def cached_copy(
    size: int = 100, generated_at: float = 10.0, retention: int = 1, group: int | None = None
) -> CachedCopy:
    return CachedCopy(bytes(size), "t", generated_at, group, retention)


def topology(version: int, *names: str, **weights: float) -> Topology:
    """A topology of caches whose only parent is the origin, with the given weights."""
    nodes = tuple(
        NodeSpec(
            spec.name,
            spec.address,
            spec.group,
            spec.parents,
            spec.is_origin,
            weight=weights.get(spec.name, 1.0),
        )
        for spec in first_topology(names).nodes.values()
    )
    return apply_delta(Topology(), TopologyDelta(version, None, nodes), TopologyLimits())


def topology_with_single_home(version: int, home: str, *names: str) -> Topology:
    """A topology in which one node is the home of every object."""
    return topology(version, *names, **{home: 1e9})


def single_node(**limits: Any) -> CacheNode:
    """A node that is the only cache under the origin."""
    node = CacheNode("a", NodeLimits(**limits), MigrationLimits())
    node.follow(first_topology(("a",)), 100.0)
    return node


def fill_request(requester: str = "t", object_name: str = "x", **fields: Any) -> FillRequest:
    min_generated_at = fields.pop("min_generated_at", 0.0)
    deadline = fields.pop("deadline", 200.0)
    return FillRequest(requester, object_name, 0, "video", min_generated_at, deadline, **fields)


def replies(actions: Iterable[Action]) -> list[tuple[object, ReplyStatus, ReplyReason | None]]:
    """The requester, status and reason of each reply."""
    return [
        (action.request.requester, action.status, action.reason)
        for action in actions
        if isinstance(action, Reply)
    ]


def fills(actions: Iterable[Action]) -> list[StartFill]:
    return [action for action in actions if isinstance(action, StartFill)]


def begin_fill(node: CacheNode, request: FillRequest, now: float = 100.0) -> StartFill:
    """The fill that a request begins, which must be the only action."""
    (action,) = node.handle_request(request, now)
    assert isinstance(action, StartFill)
    return action
