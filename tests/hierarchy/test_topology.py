"""Topologies: which deltas are applied, kept pending or rejected, in any order, and their JSON format."""

import json
import random
from typing import Any

import pytest

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.hierarchy.topology import (
    NodeSpec,
    Topology,
    TopologyDelta,
    TopologyLimits,
    apply_delta,
    delta_between,
    full_delta,
)
from paddlequay.hierarchy.topology_json import decode_delta, encode_delta
from paddlequay.hierarchy.topology_tracker import DeltaOutcome, TopologyTracker
from paddlequay.routing.interface import MemberState

LIMITS = TopologyLimits()


def node(name: str, *parents: str, **fields: Any) -> NodeSpec:
    return NodeSpec(name, ("127.0.0.1", 9), parents=parents, is_origin=not parents, **fields)


START = TopologyDelta(1, None, (node("o"), node("r", "o"), node("a", "r", "o"), node("b", "r", "o")))


def tracker_at_start(**limits: int) -> TopologyTracker:
    tracker = TopologyTracker(TopologyLimits(**limits))
    assert tracker.receive(START).outcome is DeltaOutcome.APPLIED
    return tracker


@pytest.mark.parametrize(
    ("delta", "reason"),
    [
        (TopologyDelta(2, 1, (node("r", "a"),)), "a cycle: r > a > r"),
        (TopologyDelta(2, 1, (node("a", "b"), node("b", "a"))), "a cycle: a > b > a"),
        (TopologyDelta(2, 1, (node("r", "a"), node("a", "b"), node("b", "r"))), "a cycle"),
        (TopologyDelta(2, 1, (node("a", "a"),)), "its own parent"),
        (TopologyDelta(2, 1, (node("a", "x"),)), "has parent x, which the topology does not list"),
        (TopologyDelta(2, 1, (), ("r",)), "has parent r, which the topology does not list"),
        (TopologyDelta(2, 1, (), ("x",)), "drops node x, which the topology does not list"),
        (
            TopologyDelta(2, 1, (NodeSpec("o", ("h", 1), parents=("r",), is_origin=True),)),
            "store o has parents",
        ),
        (TopologyDelta(2, 1, (NodeSpec("a", ("h", 1)),)), "a has no parent"),
        (TopologyDelta(2, None, (node("a", "b"), node("b", "a"))), "no store"),
        (TopologyDelta(2, 1, tuple(node(f"n{i}", "o") for i in range(20))), "more than 20"),
        (TopologyDelta(2, 1, (node("c", "a"), node("d", "c"), node("e", "d"))), "steps below a store"),
        (TopologyDelta(2, 1, (node("a", *(f"n{i}" for i in range(5))),)), "5 parents"),
    ],
)
def test_an_invalid_delta_is_rejected_in_one_line_and_changes_nothing(
    delta: TopologyDelta, reason: str
) -> None:
    tracker = tracker_at_start(nodes=20, depth=4, parents=4)
    before = tracker.topology
    result = tracker.receive(delta)
    assert result.outcome is DeltaOutcome.REJECTED
    assert reason in result.reason and "\n" not in result.reason
    assert tracker.topology is before
    on_rejected = TopologyDelta(3, 2, (node("c", "o"),))
    assert tracker.receive(on_rejected).outcome is DeltaOutcome.PENDING
    on_current = TopologyDelta(4, 1, (node("d", "o"),))
    assert tracker.receive(on_current).outcome is DeltaOutcome.APPLIED
    assert set(tracker.topology.nodes) == {"o", "r", "a", "b", "d"} and not tracker.pending


def test_deltas_in_any_order_with_duplicates_lead_to_the_same_topology() -> None:
    deltas = [START]
    topology = apply_delta(Topology(), START, LIMITS)
    for version in range(2, 30):
        changed = (node(f"n{version}", "r", "o"), node("a", "o", weight=float(version)))
        removed = (f"n{version - 3}",) if version > 5 else ()
        deltas.append(TopologyDelta(version, version - 1, changed, removed))
        topology = apply_delta(topology, deltas[-1], LIMITS)
    for seed in range(30):
        rng = random.Random(seed)
        shuffled = deltas + rng.sample(deltas, 10)
        rng.shuffle(shuffled)
        tracker = TopologyTracker(TopologyLimits(pending_deltas=40))
        outcomes = [tracker.receive(delta).outcome for delta in shuffled]
        assert tracker.topology == topology and not tracker.pending
        assert DeltaOutcome.REJECTED not in outcomes


def test_pending_deltas_are_bounded_and_a_full_delta_replaces_them() -> None:
    tracker = tracker_at_start(pending_deltas=4, pending_nodes=10)
    for version in range(10, 30):
        tracker.receive(TopologyDelta(version + 1, version, (node(f"n{version}", "o"),)))
    assert len(tracker.pending) == 4 and min(tracker.pending) == 10
    too_large = TopologyDelta(50, 49, tuple(node(f"m{i}", "o") for i in range(11)))
    assert tracker.receive(too_large).outcome is DeltaOutcome.REJECTED
    full = TopologyDelta(40, None, (node("o"), node("z", "o")))
    assert tracker.receive(full).outcome is DeltaOutcome.APPLIED
    assert set(tracker.topology.nodes) == {"o", "z"} and not tracker.pending
    assert tracker.receive(START).outcome is DeltaOutcome.OUTDATED


def test_ten_thousand_nodes_fit_one_delta_and_a_chain_deeper_than_the_stack_is_rejected() -> None:
    many = tuple(node(f"n{i}", "r", "o", group=f"g{i % 50}") for i in range(10_000))
    tracker = tracker_at_start()
    assert tracker.receive(TopologyDelta(2, 1, many)).outcome is DeltaOutcome.APPLIED
    data = json.loads(json.dumps(encode_delta(full_delta(tracker.topology))))
    assert apply_delta(Topology(), decode_delta(data, LIMITS), LIMITS) == tracker.topology
    chain = tuple(node(f"n{i}", f"n{i + 1}" if i < 9_999 else "o") for i in range(10_000))
    result = tracker.receive(TopologyDelta(3, 2, chain))
    assert result.outcome is DeltaOutcome.REJECTED and "steps below" in result.reason


def test_the_delta_between_two_topologies_leads_from_one_to_the_other() -> None:
    old = apply_delta(Topology(), START, LIMITS)
    draining = node("a", "o", state=MemberState.DRAINING)
    new = apply_delta(old, TopologyDelta(2, 1, (draining,), ("b",)), LIMITS)
    assert apply_delta(old, delta_between(old, new), LIMITS) == new


GOOD = {"id": "a", "at": "127.0.0.1:9", "parents": ["o"]}


@pytest.mark.parametrize(
    ("item", "reason"),
    [
        (None, "expected an object"),
        ({}, "version: expected int"),
        ({"version": True}, "version: expected int"),
        ({"version": 3, "base": 3}, "version 3 is not valid for base version 3"),
        ({"version": 1 << 70}, "is not valid for base version"),
        ({"version": 1, "put": {}}, "expected lists"),
        ({"version": 1, "put": [1]}, "expected an object"),
        ({"version": 1, "put": [GOOD | {"id": "a b"}]}, "id: expected 1 to 64 letters"),
        ({"version": 1, "put": [GOOD | {"id": "a" * 65}]}, "id: expected 1 to 64 letters"),
        ({"version": 1, "put": [GOOD | {"at": "nowhere"}]}, "node a: at: expected host:port"),
        ({"version": 1, "put": [GOOD | {"at": "h:0"}]}, "node a: at: expected host:port"),
        ({"version": 1, "put": [GOOD | {"parents": "o"}]}, "node a: parents: expected a list"),
        ({"version": 1, "put": [GOOD | {"parents": [1]}]}, "node a: parents: expected 1 to 64"),
        ({"version": 1, "put": [GOOD | {"weight": -1}]}, "node a: weight: expected a number from 0 up"),
        ({"version": 1, "put": [GOOD | {"weight": float("nan")}]}, "node a: weight"),
        ({"version": 1, "put": [GOOD | {"state": "gone"}]}, "node a: state: expected one of"),
        ({"version": 1, "put": [GOOD | {"store": 1}]}, "node a: store: expected bool"),
        ({"version": 1, "put": [GOOD, GOOD]}, "a node is named twice"),
        ({"version": 1, "drop": ["a=b"]}, "drop: expected 1 to 64 letters"),
    ],
)
def test_invalid_delta_json_is_rejected_with_the_name_of_the_field(item: Any, reason: str) -> None:
    with pytest.raises(TopologyError, match=r"^[^\n]{1,200}$") as error:
        decode_delta(item, LIMITS)
    assert reason in str(error.value)
