"""The shape of the hierarchy: what a feed may bring, in any order, and what is refused."""

import json
import random
from typing import Any

import pytest

from paddlequay.hierarchy.topology import (
    Delta,
    DeltaOutcome,
    NodeSpec,
    Topology,
    TopologyError,
    TopologyLimits,
    TopologyTracker,
    delta_data,
    difference,
    next_shape,
    read_delta,
    whole,
)
from paddlequay.routing.interface import MemberState

LIMITS = TopologyLimits()


def node(name: str, *parents: str, **also: Any) -> NodeSpec:
    return NodeSpec(name, ("127.0.0.1", 9), parents=parents, store=not parents, **also)


START = Delta(1, None, (node("o"), node("r", "o"), node("a", "r", "o"), node("b", "r", "o")))


def shaper(**limits: int) -> TopologyTracker:
    made = TopologyTracker(TopologyLimits(**limits))
    assert made.take(START) is DeltaOutcome.APPLIED
    return made


@pytest.mark.parametrize(
    ("delta", "said"),
    [
        (Delta(2, 1, (node("r", "a"),)), "a cycle: r > a > r"),
        (Delta(2, 1, (node("a", "b"), node("b", "a"))), "a cycle: a > b > a"),
        (Delta(2, 1, (node("r", "a"), node("a", "b"), node("b", "r"))), "a cycle"),
        (Delta(2, 1, (node("a", "a"),)), "its own parent"),
        (Delta(2, 1, (node("a", "x"),)), "has parent x, which is not there"),
        (Delta(2, 1, (), ("r",)), "has parent r, which is not there"),
        (Delta(2, 1, (), ("x",)), "drops x, which is not there"),
        (Delta(2, 1, (NodeSpec("o", ("h", 1), parents=("r",), store=True),)), "store o has parents"),
        (Delta(2, 1, (NodeSpec("a", ("h", 1)),)), "a has no parent"),
        (Delta(2, None, (node("a", "b"), node("b", "a"))), "no store"),
        (Delta(2, 1, tuple(node(f"n{i}", "o") for i in range(20))), "more than 20"),
        (Delta(2, 1, (node("c", "a"), node("d", "c"), node("e", "d"))), "steps below a store"),
        (Delta(2, 1, (node("a", *(f"n{i}" for i in range(5))),)), "5 parents"),
    ],
)
def test_an_unusable_shape_is_refused_in_one_line_and_leaves_the_old_one(delta: Delta, said: str) -> None:
    made = shaper(nodes=20, depth=4, parents=4)
    before = made.shape
    assert made.take(delta) is DeltaOutcome.REFUSED
    assert said in made.said and "\n" not in made.said and made.shape is before
    assert made.take(Delta(3, 2, (node("c", "o"),))) is DeltaOutcome.HELD  # built on what was refused
    assert made.take(Delta(4, 1, (node("d", "o"),))) is DeltaOutcome.APPLIED
    assert set(made.shape.nodes) == {"o", "r", "a", "b", "d"} and not made.held


def test_deltas_in_any_order_and_twice_end_in_the_same_shape() -> None:
    steps = [START]
    shape = next_shape(Topology(), START, LIMITS)
    for version in range(2, 30):
        put = (node(f"n{version}", "r", "o"), node("a", "o", weight=float(version)))
        steps.append(Delta(version, version - 1, put, (f"n{version - 3}",) if version > 5 else ()))
        shape = next_shape(shape, steps[-1], LIMITS)
    for seed in range(30):
        rng = random.Random(seed)
        mixed = steps + rng.sample(steps, 10)
        rng.shuffle(mixed)
        made = TopologyTracker(TopologyLimits(held=40))
        took = [made.take(delta) for delta in mixed]
        assert made.shape == shape and not made.held
        assert DeltaOutcome.REFUSED not in took


def test_what_waits_is_bounded_and_a_whole_shape_goes_over_all() -> None:
    made = shaper(held=4, held_nodes=10)
    for version in range(10, 30):
        made.take(Delta(version + 1, version, (node(f"n{version}", "o"),)))
    assert len(made.held) == 4 and min(made.held) == 10
    assert made.take(Delta(50, 49, tuple(node(f"m{i}", "o") for i in range(11)))) is DeltaOutcome.REFUSED
    assert made.take(Delta(40, None, (node("o"), node("z", "o")))) is DeltaOutcome.APPLIED
    assert set(made.shape.nodes) == {"o", "z"} and not made.held
    assert made.take(START) is DeltaOutcome.OLD


def test_ten_thousand_nodes_in_one_delta_and_a_chain_deeper_than_the_stack() -> None:
    many = tuple(node(f"n{i}", "r", "o", group=f"g{i % 50}") for i in range(10_000))
    made = shaper()
    assert made.take(Delta(2, 1, many)) is DeltaOutcome.APPLIED
    again = read_delta(json.loads(json.dumps(delta_data(whole(made.shape)))), LIMITS)
    assert next_shape(Topology(), again, LIMITS) == made.shape
    chain = tuple(node(f"n{i}", f"n{i + 1}" if i < 9_999 else "o") for i in range(10_000))
    assert made.take(Delta(3, 2, chain)) is DeltaOutcome.REFUSED and "steps below" in made.said


def test_a_difference_leads_from_one_shape_to_the_other() -> None:
    old = next_shape(Topology(), START, LIMITS)
    new = next_shape(old, Delta(2, 1, (node("a", "o", state=MemberState.DRAINING),), ("b",)), LIMITS)
    assert next_shape(old, difference(old, new), LIMITS) == new


GOOD = {"id": "a", "at": "127.0.0.1:9", "parents": ["o"]}


@pytest.mark.parametrize(
    ("item", "said"),
    [
        (None, "expected an object"),
        ({}, "version: expected int"),
        ({"version": True}, "version: expected int"),
        ({"version": 3, "base": 3}, "cannot be built on 3"),
        ({"version": 1 << 70}, "cannot be built on"),
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
def test_json_that_is_no_shape_is_told_with_its_field(item: Any, said: str) -> None:
    with pytest.raises(TopologyError, match=r"^[^\n]{1,200}$") as error:
        read_delta(item, LIMITS)
    assert said in str(error.value)
