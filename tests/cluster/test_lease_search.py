"""The search through what may happen to leases finds nothing, and finds each guard's fault without it."""

import pytest

from paddlequay.lab.lease_guards import WITHOUT_GUARD
from paddlequay.lab.lease_search import Report, search, small_world

# A seed a little before the first walk, from 1 on, that shows the fault: long searches are the lab's.
SEEN_FROM = {
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
    assert min(report.kinds[kind] for kind in ("restart", "cut", "stop", "release", "duplicate")) > 100


@pytest.mark.parametrize("guard", WITHOUT_GUARD)
def test_random_walks_find_the_fault_of_each_guard_taken_out(guard: str) -> None:
    report = search(20_000, SEEN_FROM.get(guard, 1), guard, depth=0)
    assert report.faults, guard
    assert ("go back" if guard.split()[0] in ("ballot", "clock", "floor") else "two hold") in report.faults[0]


@pytest.mark.parametrize(("guard", "starts_held"), [("majority", False), ("no overwriting of a lock", True)])
def test_small_worlds_find_guards_taken_out_within_their_depth(guard: str, starts_held: bool) -> None:
    report = Report()
    small_world(1, 5, report, starts_held, WITHOUT_GUARD[guard])
    assert "two hold" in report.faults[0]


def test_the_same_seed_gives_the_same_walks() -> None:
    one, two = search(4_000, 5, depth=0), search(4_000, 5, depth=0)
    assert (one.kinds, one.acquisitions, one.max_healing_s) == (
        two.kinds,
        two.acquisitions,
        two.max_healing_s,
    )
