"""Topology deltas as JSON, in the format that the feed and the saved file share."""

import math
from collections.abc import Mapping
from typing import Any

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.hierarchy.topology import DEFAULT_GROUP, NODE_NAME, NodeSpec, TopologyDelta, TopologyLimits
from paddlequay.routing.interface import MemberState

STATE_OF_WIRE_NAME = {"in_service": MemberState.READY, "terminating": MemberState.DRAINING}
WIRE_NAME_OF_STATE = {state: wire_name for wire_name, state in STATE_OF_WIRE_NAME.items()}
VERSION_LIMIT = 1 << 62
PORT_LIMIT = 1 << 16


def decode_delta(item: Any, limits: TopologyLimits) -> TopologyDelta:
    """Returns the delta that a JSON value encodes.

    Raises:
        TopologyError: The value is not a valid delta; the error names the node and the field.
    """
    if not isinstance(item, dict):
        raise TopologyError("expected an object", "shape", str(item))
    version = _typed(item, "version", int, "shape")
    base = None if item.get("base") is None else _typed(item, "base", int, "shape")
    if not 0 < version < VERSION_LIMIT or (base is not None and not 0 <= base < version):
        raise TopologyError(f"version {version} is not valid for base version {base}", "shape")
    changed = item.get("put", [])
    removed = item.get("drop", [])
    if not isinstance(changed, list) or not isinstance(removed, list):
        raise TopologyError("put, drop: expected lists", "shape")
    if len(changed) > limits.nodes or len(removed) > limits.nodes:
        raise TopologyError(f"more than {limits.nodes} nodes", "shape")
    nodes = tuple(_decode_node(each, limits) for each in changed)
    if len({node.name for node in nodes}) < len(nodes):
        raise TopologyError("put: a node is named twice", "shape")
    names = tuple(dict.fromkeys(_name(each, "shape: drop") for each in removed))
    return TopologyDelta(version, base, nodes, names)


def encode_delta(delta: TopologyDelta) -> dict[str, Any]:
    """Returns a delta as a JSON value."""
    data: dict[str, Any] = {"version": delta.version, "put": list(map(_encode_node, delta.changed))}
    if delta.base_version is not None:
        data |= {"base": delta.base_version, "drop": list(delta.removed)}
    return data


def _decode_node(item: Any, limits: TopologyLimits) -> NodeSpec:
    if not isinstance(item, dict):
        raise TopologyError("expected an object", "node", str(item))
    name = _name(item.get("id"), "node: id")
    where = f"node {name}"
    parents = item.get("parents", [])
    address = _address(item.get("at", ""), f"{where}: at")
    if not isinstance(parents, list) or len(parents) > limits.parents:
        raise TopologyError(f"expected a list of at most {limits.parents}", f"{where}: parents")
    state = item.get("state", "in_service")
    if state not in STATE_OF_WIRE_NAME:
        raise TopologyError(f"expected one of {', '.join(STATE_OF_WIRE_NAME)}", f"{where}: state", str(state))
    return NodeSpec(
        name=name,
        address=address,
        group=_name(item.get("group", DEFAULT_GROUP), f"{where}: group"),
        parents=tuple(dict.fromkeys(_name(parent, f"{where}: parents") for parent in parents)),
        is_origin=_typed({"store": False} | item, "store", bool, where),
        state=STATE_OF_WIRE_NAME[state],
        weight=_number(item, "weight", 1.0, where),
        started_at=_number(item, "started_ms", 0.0, where) / 1000.0,
    )


def _encode_node(node: NodeSpec) -> dict[str, Any]:
    address = f"{node.address[0]}:{node.address[1]}"
    data: dict[str, Any] = {"id": node.name, "at": address, "group": node.group}
    if node.is_origin:
        data["store"] = True
    else:
        data["parents"] = list(node.parents)
    if node.state is not MemberState.READY:
        data["state"] = WIRE_NAME_OF_STATE[node.state]
    if node.weight != 1.0:
        data["weight"] = node.weight
    if node.started_at:
        data["started_ms"] = round(node.started_at * 1000)
    return data


def _typed(item: Mapping[str, Any], name: str, kind: type, where: str) -> Any:
    """Returns a field of the given type; a bool does not count as an int."""
    value = item.get(name)
    if not isinstance(value, kind) or isinstance(value, bool) is not (kind is bool):
        raise TopologyError(f"expected {kind.__name__}", f"{where}: {name}", str(value))
    return value


def _name(value: Any, where: str) -> str:
    if not isinstance(value, str) or not NODE_NAME.fullmatch(value):
        raise TopologyError("expected 1 to 64 letters, digits, - and _", where, str(value))
    return value


def _number(item: Mapping[str, Any], name: str, default: float, where: str) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise TopologyError("expected a number from 0 up", f"{where}: {name}", str(value))
    return float(value)


def _address(value: Any, where: str) -> tuple[str, int]:
    host, colon, port = str(value).rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port) < PORT_LIMIT
    if not (colon and host and is_port):
        raise TopologyError("expected host:port", where, str(value))
    return host, int(port)
