"""The fleet model in quick forms: days of faults, single failures, and an auditor that sees what broke."""

from functools import cache

import pytest

from paddlequay.cluster import elections, fleet_limits, granter
from paddlequay.cluster.bids import Bid
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.node import Node
from paddlequay.cluster.types import PeerState
from paddlequay.lab.cluster_model import found, moved, steady
from paddlequay.lab.cluster_model_day import Day, day, gray, made
from paddlequay.lab.cluster_model_drive import Auditor


@cache
def story(seed: int) -> Day:
    return day(seed, size=6, seconds=22.0)


def test_a_simulated_day_is_determined_by_its_seed() -> None:
    again = day(1, size=6, seconds=22.0)
    assert again == story(1)
    assert again.digest != story(2).digest


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_simulated_days_of_faults_break_no_guarantee(seed: int) -> None:
    told = story(seed)
    assert not told.broken
    assert sum(told.faults.values()) > 3 and told.admitted > 300


class Endless(elections.Elections):
    """A holder that believes in its lease whatever its clock says."""

    def is_held(self, bid: Bid, now: float) -> bool:
        return bid.held_until > 0 and bid.phase.value == "holding"


class EndlessLeases(Leases):
    elections_kind = Endless


class NoWait(granter.Granter):
    """A new holder grants at once what its predecessor's grants may still hold."""

    def wait_after_acquisition(self, limit: FleetLimit) -> float:
        return 0.0

    def outstanding_for(self, grant_s: float) -> float:
        return 0.0


class Careless(fleet_limits.FleetLimits):
    granter_kind = NoWait


def test_the_auditor_detects_two_holders(monkeypatch: pytest.MonkeyPatch) -> None:
    def stopped() -> Auditor:
        auditor = made(1, 5, load=0.0, attempts=0.0)
        world = auditor.world.run(6.0)
        holder = next(iter(auditor.takes.values()))[-1][1]
        world.stop(world.boxes[holder], 4.0)
        world.run(12.0)
        return auditor

    sound = stopped()
    assert not sound.two_holders and sum(len(takes) for takes in sound.takes.values()) > 2
    monkeypatch.setattr("paddlequay.cluster.node.Leases", EndlessLeases)
    assert stopped().two_holders


def test_the_auditor_detects_an_exceeded_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    def shifted() -> float:
        auditor = made(1, 5, load=0.0, attempts=0.0, burst=1.0, clocks=0.0)
        for box in auditor.world.boxes:
            auditor.world.at(5.0, auditor.charge, box, 300.0)
        auditor.world.run(9.0)
        return auditor.over

    assert 0.3 < shifted() <= 1.0
    monkeypatch.setattr("paddlequay.cluster.node.FleetLimits", Careless)
    assert shifted() > 1.0


def test_forty_routers_in_steady_state_keep_their_lease_and_use_most_of_the_limit() -> None:
    """Needs repeated twenty times a second spent the holder's bytes on grants, and its lease with them."""
    row = steady(1, 40, 2.0, seconds=4.0)
    assert row["broken"] == 0 and row["used"] > 0.9
    assert row["pair_bytes_s"] < 64 and row["bytes_over_bound"] <= 0


def test_a_dead_router_is_detected_and_a_dead_parent_gets_a_verdict() -> None:
    row = found(1, 12)
    assert row["broken"] == row["false_words"] == 0
    assert row["dead_95_s"] < 8.0 and row["word_95_s"] < 1.0


def test_quotas_follow_demand_and_a_killed_holder_is_replaced() -> None:
    row = moved(1)
    assert row["broken"] == 0
    assert row["unused"] <= 0.05 and row["taken_s"] <= 2.5


@pytest.mark.parametrize(
    ("name", "deaths", "knows"),
    [
        ("clock 2% fast", 0, False),
        ("five times late", 0, False),
        ("hears nobody", 0, True),
        ("is not heard", 11, True),
    ],
)
def test_a_gray_failure_of_one_router_harms_no_other(name: str, deaths: int, knows: bool) -> None:
    row = gray(name, 1)
    assert row["dead_by"] == deaths and row["others_dead"] == 0
    assert (row["knows_itself_s"] is not None) is knows
    assert row["two_holders"] == row["terms_back"] == 0 and row["most_of_limit"] <= 1


def test_foreign_datagrams_are_rejected_and_have_no_effect() -> None:
    auditor = made(1, 5, load=0.0, attempts=0.0)
    world = auditor.world
    for box in world.boxes:
        world.noise(box, 200.0, 5.0)
    world.run(5.0)
    assert world.refused["foreign"] > 1000 and not auditor.wrong_deaths
    for box in world.boxes:
        assert isinstance(box.node, Node)
        assert all(box.node.liveness.state_of(peer) is PeerState.ALIVE for peer in range(5))
