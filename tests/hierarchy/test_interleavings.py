"""Several simulated nodes: difficult cases one by one, and searches through delivery orders."""

import random

import pytest
from rig_node import topology, topology_with_single_home

from paddlequay.hierarchy.copy_cache import PartKey
from paddlequay.hierarchy.fill_requests import ReplyStatus
from paddlequay.lab.hierarchy_search import random_run, small_runs
from paddlequay.lab.hierarchy_simulation import Guard, HierarchySimulation


def deliver_all(simulation: HierarchySimulation, rng: random.Random | None = None) -> None:
    """Deliver all pending messages, in the order in which they were sent or in a random order."""
    while simulation.pending:
        simulation.deliver(rng.randrange(len(simulation.pending)) if rng is not None else 0)


def test_wait_cycle_of_three_nodes_with_different_topologies_is_served_with_one_fill() -> None:
    """Each node considers the next one the home: a asks b, b asks c and c asks a, all at once."""
    names = ("a", "b", "c")
    for seed in range(200):
        rng = random.Random(seed)
        simulation = HierarchySimulation()
        for name, home in zip(names, ("b", "c", "a"), strict=True):
            simulation.add(name, topology_with_single_home(1 + names.index(name), home, *names))
        for name in names:
            simulation.request(name, "x")
        deliver_all(simulation, rng)
        assert not simulation.unanswered
        assert len(simulation.replies) == 3 and len(simulation.origin.fills) == 1
        assert all(reply.status is ReplyStatus.HIT for reply in simulation.replies)
        assert simulation.count("rings_refused") + simulation.count("loops_cut")


def test_node_that_restarts_empty_gets_copies_from_other_nodes_without_new_fills() -> None:
    names = ("a", "b", "c", "d")
    simulation = HierarchySimulation()
    for name in names:
        simulation.add(name, topology(1, *names))
    objects = [f"{number:016x}" for number in range(60)]

    def request_all(node_names: tuple[str, ...]) -> None:
        for object_name in objects:
            for name in node_names:
                simulation.request(name, object_name)
        deliver_all(simulation)

    request_all(("b", "c", "d"))
    assert len(simulation.origin.fills) == 60
    cached_at_a = [
        object_name
        for object_name in objects
        if simulation.nodes["a"].cache.copies.peek(PartKey(object_name, 0)) is not None
    ]
    assert len(cached_at_a) > 5
    simulation.kill("a")
    request_all(("b", "c"))  # served from their caches
    assert len(simulation.origin.fills) == 60 and not simulation.unanswered
    simulation.restart("a")
    request_all(names)
    assert len(simulation.origin.fills) == 60 and not simulation.unanswered
    copies = simulation.nodes["a"].cache.copies
    assert all(copies.peek(PartKey(object_name, 0)) for object_name in objects)


def test_a_purge_during_a_migration_lets_neither_home_serve_the_old_copy() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        simulation = HierarchySimulation()
        for name in ("a", "b"):
            simulation.add(name, topology_with_single_home(1, "a", "a", "b"))
        simulation.request("a", "x")
        deliver_all(simulation)
        for name in rng.sample(("a", "b"), 2):
            simulation.follow(name, topology_with_single_home(2, "b", "a", "b"))
            simulation.request("b", "x")
            for _ in range(rng.randrange(4)):
                if simulation.pending:
                    simulation.deliver(rng.randrange(len(simulation.pending)))
            if name == "a":
                simulation.purge("x")
                for receiver in rng.sample(("a", "b"), 2):
                    simulation.receive_purge(receiver, "x")
            simulation.request("a", "x")
        deliver_all(simulation, rng)
        assert not simulation.stale_replies and not simulation.unanswered
        assert len(simulation.origin.fills) <= 2


def test_no_delivery_order_in_small_hierarchies_leads_to_a_wait_cycle_or_a_second_fill() -> None:
    count = 0
    for result in small_runs(max_runs=4000):
        assert not result.violations
        count += 1
    assert count == 4000


@pytest.mark.parametrize(("max_deaths", "may_remove"), [(0, False), (2, False), (2, True)])
def test_random_interleavings_answer_all_requests_without_copies_from_before_a_purge(
    max_deaths: int, may_remove: bool
) -> None:
    for seed in range(700):
        violations = random_run(seed, max_deaths=max_deaths, may_remove=may_remove).violations
        if max_deaths:
            violations = tuple(each for each in violations if not each.startswith("second"))
        assert not violations, (seed, violations)


@pytest.mark.parametrize(
    ("guard", "violation"),
    [
        (Guard.WAIT_DIE, "never answered"),
        (Guard.CLAIMS, "second fill"),
        (Guard.LOOKUPS, "second fill"),
        (Guard.NOTED_PURGES, "before a purge"),
    ],
)
def test_search_finds_the_violation_that_a_disabled_guard_would_have_prevented(
    guard: Guard, violation: str
) -> None:
    results = (random_run(seed, disabled_guards=(guard,)) for seed in range(400))
    assert any(violation in each for result in results for each in result.violations)
