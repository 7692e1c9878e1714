"""Short runs of the fleet model with many faults or one, and checks that its auditor finds violations."""

from functools import cache

import pytest

from paddlequay.cluster import elections, fleet_limits, granter
from paddlequay.cluster.bids import Bid
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.types import PeerState
from paddlequay.lab.cluster_model import measure_demand_shift, measure_detection, measure_steady_state
from paddlequay.lab.cluster_model_auditor import Auditor
from paddlequay.lab.cluster_model_runs import DayResult, make_fleet, run_day, run_gray_failure


@cache
def quick_day(seed: int) -> DayResult:
    return run_day(seed, size=6, seconds=22.0)


def test_a_simulated_day_is_determined_by_its_seed() -> None:
    again = run_day(1, size=6, seconds=22.0)
    assert again == quick_day(1)
    assert again.digest != quick_day(2).digest


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_simulated_day_of_faults_violates_no_guarantee(seed: int) -> None:
    result = quick_day(seed)
    assert not result.violations
    assert sum(result.faults.values()) > 3 and result.admitted_count > 300


class ElectionsWithoutExpiry(elections.Elections):
    """Elections whose holder considers its lease held after it has expired."""

    def is_held(self, bid: Bid, now: float) -> bool:
        return bid.held_until > 0 and bid.phase.value == "holding"


class LeasesWithoutExpiry(Leases):
    elections_class = ElectionsWithoutExpiry


class GranterWithoutWait(granter.Granter):
    """A granter that, as a new holder, does not wait for its predecessor's grants to expire."""

    def wait_after_acquisition(self, limit: FleetLimit) -> float:
        return 0.0

    def outstanding_for(self, grant_validity_s: float) -> float:
        return 0.0


class LimitsWithoutWait(fleet_limits.FleetLimits):
    granter_class = GranterWithoutWait


def test_the_auditor_detects_two_holders(monkeypatch: pytest.MonkeyPatch) -> None:
    def stall_holder() -> Auditor:
        auditor = make_fleet(1, 5, demand_ratio=0.0, attempts_per_s=0.0)
        simulation = auditor.simulation
        simulation.run(6.0)
        holder = next(iter(auditor.acquisitions.values()))[-1].router
        simulation.stall(simulation.routers[holder], 4.0)
        simulation.run(12.0)
        return auditor

    correct = stall_holder()
    assert not correct.double_holders and sum(map(len, correct.acquisitions.values())) > 2
    monkeypatch.setattr("paddlequay.cluster.node.Leases", LeasesWithoutExpiry)
    assert stall_holder().double_holders


def test_the_auditor_detects_an_exceeded_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    def shift_demand() -> float:
        auditor = make_fleet(1, 5, demand_ratio=0.0, attempts_per_s=0.0, burst=1.0, max_clock_drift=0.0)
        for router in auditor.simulation.routers:
            auditor.simulation.schedule(5.0, auditor.workload.set_demand, router, 300.0)
        auditor.simulation.run(9.0)
        return auditor.workload.max_limit_ratio

    assert 0.3 < shift_demand() <= 1.0
    monkeypatch.setattr("paddlequay.cluster.node.FleetLimits", LimitsWithoutWait)
    assert shift_demand() > 1.0


def test_forty_routers_in_steady_state_keep_their_lease_and_use_most_of_the_limit() -> None:
    """Too frequent quota requests would use up the holder's byte limit on grants and cost it the lease."""
    row = measure_steady_state(1, 40, 2.0, seconds=4.0)
    assert row["broken"] == 0 and row["used"] > 0.9
    assert row["pair_bytes_s"] < 64 and row["bytes_over_bound"] <= 0


def test_a_dead_router_is_detected_and_a_dead_parent_gets_a_verdict() -> None:
    row = measure_detection(1, 12)
    assert row["broken"] == row["false_words"] == 0
    assert row["dead_95_s"] < 8.0 and row["word_95_s"] < 1.0


def test_quotas_follow_demand_and_a_killed_holder_is_replaced() -> None:
    row = measure_demand_shift(1)
    assert row["broken"] == 0
    assert row["unused"] <= 0.05 and row["taken_s"] <= 2.5


@pytest.mark.parametrize(
    ("name", "declared_dead_count", "detects_itself"),
    [
        ("clock 2% fast", 0, False),
        ("five times late", 0, False),
        ("hears nobody", 0, True),
        ("is not heard", 11, True),
    ],
)
def test_a_gray_failure_of_one_router_harms_no_other(
    name: str, declared_dead_count: int, detects_itself: bool
) -> None:
    row = run_gray_failure(name, 1)
    assert row["dead_by"] == declared_dead_count and row["others_dead"] == 0
    assert (row["knows_itself_s"] is not None) is detects_itself
    assert row["two_holders"] == row["terms_back"] == 0 and row["most_of_limit"] <= 1


def test_foreign_datagrams_are_rejected_and_have_no_effect() -> None:
    auditor = make_fleet(1, 5, demand_ratio=0.0, attempts_per_s=0.0)
    simulation = auditor.simulation
    for router in simulation.routers:
        simulation.inject_foreign(router, 200.0, 5.0)
    simulation.run(5.0)
    assert simulation.rejected["foreign"] > 1000 and not auditor.wrong_deaths
    for router in simulation.routers:
        assert isinstance(router.node, ClusterNode)
        assert all(router.node.liveness.state_of(peer) is PeerState.ALIVE for peer in range(5))
