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
    """A topology of one tier under the origin."""
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


def home_of_all(version: int, home: str, *names: str) -> Topology:
    """A topology by which one node is the home of every object."""
    return topology(version, *names, **{home: 1e9})


def node_alone(**limits: Any) -> CacheNode:
    """A node under the origin, with no other in its tier."""
    node = CacheNode("a", NodeLimits(**limits), MigrationLimits())
    node.follow(first_topology(("a",)), 100.0)
    return node


def fill_request(requester: str = "t", object_name: str = "x", **also: Any) -> FillRequest:
    min_generated_at = also.pop("min_generated_at", 0.0)
    deadline = also.pop("deadline", 200.0)
    return FillRequest(requester, object_name, 0, "video", min_generated_at, deadline, **also)


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
    """The fill that a request begins; nothing else follows from the request."""
    (action,) = node.handle_request(request, now)
    assert isinstance(action, StartFill)
    return action
