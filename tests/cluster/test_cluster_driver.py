"""Several real router processes share limits, leases and verdicts while faults are injected.

Admitted requests are counted at the origin, answers at the clients, and lease holders from the status pages.
"""

import asyncio
import random
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import get_args

import pytest

from paddlequay.cluster.types import LocalEvent
from paddlequay.lab import cluster_audit as audit
from paddlequay.lab.cluster import (
    BURST,
    CLUSTER_RULES,
    LEASE,
    LIMIT_PER_S,
    MAX_ARRIVAL_DELAY_S,
    ChargeLoad,
    FaultScript,
    VerdictTimes,
    kill_parent,
)
from paddlequay.lab.fleet_rig import FleetRig, FleetSnapshot, watch
from paddlequay.lab.zone_cluster import ZonePlan
from paddlequay.net.cluster.event_log import EVENT_NAMES

Scenario = Callable[["ClusterRig"], Awaitable[None]]


class ClusterRig:
    """Real routers, a load of charges at twice their limit, and the routers' status pages over time."""

    def __init__(self, folder: Path, routers: int, tiers: int, seed: int) -> None:
        plan = ZonePlan(routers=routers, boxes=2, tiers=tiers, regional=min(1, tiers), rate=30.0, seed=seed)
        self.rig = FleetRig(plan, folder, CLUSTER_RULES, seed)
        self.charges = ChargeLoad(self.rig.load.routers, 2 * LIMIT_PER_S, seed)
        self.script = FaultScript(self.rig, self.charges, seed)
        self.moments: list[FleetSnapshot] = []

    def observations(self) -> list[audit.LeaseObservation]:
        return audit.observe_lease(self.moments, LEASE)

    async def until(self, condition: Callable[[], bool], name: str, timeout_s: float = 12.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"condition not met within {timeout_s} s: {name}")

    async def until_lease_is_used(self) -> None:
        """Waits until the lease is held and far more charges are admitted than the floors alone allow."""
        started_at = time.time()
        await self.until(
            lambda: any(
                observation.term and observation.at > started_at for observation in self.observations()
            ),
            "a router holds the lease",
        )
        charged_at = self.rig.origin.charged_at
        await self.until(
            lambda: sum(at > time.time() - 1.0 for at in charged_at) > 0.6 * LIMIT_PER_S,
            "granted quotas are used",
        )


def run_scenario(
    folder: Path, scenario: Scenario, routers: int = 5, tiers: int = 0, seed: int = 1
) -> ClusterRig:
    """Runs a scenario and audits the guarantees that must hold under every fault."""
    cluster = ClusterRig(folder, routers, tiers, seed)

    async def run() -> None:
        tasks: list[asyncio.Task[None]] = []
        try:
            await cluster.rig.up()
            watching = watch(cluster.rig, 0.1, cluster.moments)
            tasks = [asyncio.ensure_future(each) for each in (cluster.charges.run(), watching)]
            await cluster.until_lease_is_used()
            await scenario(cluster)
            for task in tasks:
                assert not task.done()  # the task has run until the end of the scenario
                task.cancel()
            await cluster.charges.drain()
        finally:
            for task in tasks:
                task.cancel()
            await cluster.rig.down()

    asyncio.run(run())
    observations = cluster.observations()
    origin = cluster.rig.origin
    assert audit.max_excess(origin.charged_at, LIMIT_PER_S, BURST, MAX_ARRIVAL_DELAY_S) == 0
    assert audit.count_double_holders(observations) == 0
    assert audit.count_decreasing_terms(observations) == 0
    assert audit.find_repeated(origin.charges) == []
    requests = cluster.charges.requests
    excused = [id for id, (at, router) in requests.items() if cluster.script.is_excused(router, at)]
    assert audit.find_wrong_answers(requests, cluster.charges.answers, excused) == []
    assert cluster.charges.repeated_answer_count == 0
    return cluster


def test_a_limit_holds_during_partitions_and_after_they_heal(tmp_path: Path) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        await cluster.script.partition_in_two()
        await cluster.until_lease_is_used()
        await cluster.script.isolate_all()
        cluster.script.shift_demand(range(5))
        await cluster.until_lease_is_used()

    run_scenario(tmp_path, scenario)


def test_another_router_takes_the_lease_of_a_killed_holder_while_demand_shifts(tmp_path: Path) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        holder = await cluster.script.find_holder()
        assert holder is not None
        cluster.script.begin_outage(holder)
        await cluster.rig.kill_router(holder)
        cluster.script.shift_demand([n for n in range(5) if n != holder][:2])
        await cluster.until_lease_is_used()
        await cluster.rig.restart(holder)
        cluster.script.end_outage(holder)
        cluster.script.shift_demand([holder])
        await cluster.until_lease_is_used()

    cluster = run_scenario(tmp_path, scenario, seed=2)
    killed_at = next(
        fault_action.at for fault_action in cluster.rig.fault_actions if fault_action.action == "kill"
    )
    after = [
        observation
        for observation in cluster.observations()
        if observation.term and observation.at > killed_at
    ]
    assert len({observation.router for observation in after}) >= 1
    # The lease has to expire and an election follows; the status pages are read every 0.1 s.
    assert after[0].at - killed_at < 1.5 + 1.0 + 0.5


def test_a_holder_stopped_for_longer_than_its_lease_does_not_act_on_it(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        await cluster.script.stop_holder()
        await cluster.until_lease_is_used()

    run_scenario(tmp_path, scenario, seed=3)


def test_limits_hold_with_a_one_way_link_to_the_holder_and_half_the_routers_restarted(tmp_path: Path) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        await cluster.script.cut_links_to_holder()
        await cluster.until_lease_is_used()
        await cluster.script.restart_half()
        cluster.script.shift_demand(range(5))
        await cluster.until_lease_is_used()

    run_scenario(tmp_path, scenario, seed=4)


def test_limits_hold_with_three_in_ten_datagrams_lost_and_others_repeated_or_reordered(
    tmp_path: Path,
) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        await cluster.script.lose_datagrams()
        cluster.script.shift_demand(range(5))
        await cluster.until_lease_is_used()

    run_scenario(tmp_path, scenario, seed=5)


def test_routers_reach_a_verdict_on_a_dead_parent_and_none_on_an_isolated_routers_evidence(
    tmp_path: Path,
) -> None:
    verdict_times: list[VerdictTimes] = []

    async def scenario(cluster: ClusterRig) -> None:
        background = asyncio.ensure_future(cluster.rig.load.run(60.0))
        await asyncio.sleep(1.0)
        # Only this router reaches no cache and no parent.
        cluster.script.begin_outage(4)
        await cluster.rig.kill_router(4)
        cluster.rig.isolated_from_members.add(4)
        await cluster.rig.restart(4)
        await asyncio.sleep(2.0)
        pages = await cluster.rig.pages_of()
        assert {n: page["words"] for n, page in pages.items() if n != 4} == {n: {} for n in range(4)}
        cluster.rig.isolated_from_members.clear()
        await cluster.rig.kill_router(4)
        await cluster.rig.restart(4)
        await asyncio.sleep(0.5)
        tier = next(name for name in cluster.rig.tiers if name.startswith("aimag"))
        verdict_times.append(await kill_parent(cluster.rig, tier, 8.0))
        background.cancel()

    run_scenario(tmp_path, scenario, tiers=2, seed=6)
    (times,) = verdict_times
    # The objective is 1 s; a busy machine is slower.
    assert times.router_count == 5 and times.p95_s <= 1.5, times


def test_malformed_datagrams_have_no_effect_and_isolated_routers_go_on_serving(tmp_path: Path) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        rng = random.Random(7)
        foreign_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        cluster.rig.links.part()
        load_run = asyncio.ensure_future(cluster.rig.load.run(2.5))
        for _ in range(150):
            for number in range(5):
                payload = rng.randbytes(rng.choice([0, 1, 30, 200, 255, 256]))
                foreign_socket.sendto(payload, cluster.rig.links.router_addresses[number])
                cluster.rig.links.arrive((number + 1) % 5, number, payload)  # from the address of a peer
            await asyncio.sleep(0.01)
        foreign_socket.close()
        load_result = await load_run
        # Requests without a limit are served by isolated routers as by routers without a cluster.
        unlimited_count = sum(load_result.asked.values()) - load_result.asked["toll-charge"]
        assert load_result.verdicts["served"] >= 0.98 * unlimited_count, load_result.verdicts
        cluster.rig.links.heal()
        await cluster.until_lease_is_used()

    cluster = run_scenario(tmp_path, scenario, seed=8)
    assert cluster.charges.answers


def test_fewer_peers_than_the_acceptors_need_is_reported_in_the_log(tmp_path: Path) -> None:
    async def run() -> None:
        rig = FleetRig(ZonePlan(routers=2, boxes=1, tiers=0, regional=0), tmp_path, CLUSTER_RULES)
        with pytest.raises(TimeoutError):
            rig.ready_timeout_s = 1.5
            try:
                await rig.up()
            finally:
                await rig.down()

    asyncio.run(run())
    log = (tmp_path / "router-0.log").read_text()
    assert "acceptors [0, 1, 2]: there are 2 peers" in log


def test_every_local_event_has_a_unique_log_name() -> None:
    assert set(EVENT_NAMES) == set(get_args(LocalEvent))
    assert len(set(EVENT_NAMES.values())) == len(EVENT_NAMES)
