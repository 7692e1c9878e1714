"""The search for faults of leases finds none, and finds the fault of each guard that is removed."""

import pytest

from paddlequay.lab.lease_guards import WITHOUT_GUARD
from paddlequay.lab.lease_search import Report, search, search_small_world

# By guard: a seed shortly before the first walk that shows its fault, which keeps the search in a test short.
SEARCH_START_SEEDS = {
    "restart stay-out": 250,
    "ballot check in accept": 225,
    "clock in heads": 660,
    "floor after a restart": 258,
    "end of what is held": 405,
    "holds asked at use": 405,
}


def test_walks_and_small_worlds_find_no_two_holders_and_no_decreasing_terms() -> None:
    report = search(40_000, seed=900_000, depth=3)
    assert report.faults == []
    assert report.steps >= 40_000 and report.acquisitions > 250 and report.states > 400
    assert min(report.step_counts[kind] for kind in ("restart", "cut", "stop", "release", "duplicate")) > 100


@pytest.mark.parametrize("guard", WITHOUT_GUARD)
def test_random_walks_find_the_fault_of_each_removed_guard(guard: str) -> None:
    report = search(20_000, SEARCH_START_SEEDS.get(guard, 1), guard, depth=0)
    assert report.faults, guard
    assert (
        "decreased" if guard.split()[0] in ("ballot", "clock", "floor") else "more than one holder"
    ) in report.faults[0]


@pytest.mark.parametrize(("guard", "starts_held"), [("majority", False), ("no overwriting of a lock", True)])
def test_small_worlds_find_the_fault_of_a_removed_guard_within_their_depth(
    guard: str, starts_held: bool
) -> None:
    report = Report()
    search_small_world(1, 5, report, starts_held, WITHOUT_GUARD[guard])
    assert "more than one holder" in report.faults[0]


def test_the_same_seed_gives_the_same_walks() -> None:
    first, second = search(4_000, 5, depth=0), search(4_000, 5, depth=0)
    assert (first.step_counts, first.acquisitions, first.max_healing_s) == (
        second.step_counts,
        second.acquisitions,
        second.max_healing_s,
    )
