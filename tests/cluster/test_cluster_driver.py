"""Several real processes of the router share limits, leases and verdicts, under faults.

Admitted requests are counted at the origin, answers at the clients, holders by the status pages.
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
from paddlequay.lab.fleet_rig import FleetRig, Moment, watch
from paddlequay.lab.zone_cluster import ZonePlan
from paddlequay.net.cluster.event_log import EVENT_NAMES

Scenario = Callable[["ClusterRig"], Awaitable[None]]


class ClusterRig:
    """Real routers, charges at twice their limit, and their status pages over time."""

    def __init__(self, folder: Path, routers: int, tiers: int, seed: int) -> None:
        plan = ZonePlan(routers=routers, boxes=2, tiers=tiers, regional=min(1, tiers), rate=30.0, seed=seed)
        self.rig = FleetRig(plan, folder, CLUSTER_RULES, seed)
        self.charges = ChargeLoad(self.rig.load.routers, 2 * LIMIT_PER_S, seed)
        self.script = FaultScript(self.rig, self.charges, seed)
        self.moments: list[Moment] = []

    def observations(self) -> list[audit.LeaseObservation]:
        return audit.observe_lease(self.moments, LEASE)

    async def until(self, condition: Callable[[], bool], name: str, timeout_s: float = 12.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"not within {timeout_s} s: {name}")

    async def until_lease_is_used(self) -> None:
        """Waits until the lease is held and its grants are used, for far more than floors admit."""
        begun = time.time()
        await self.until(
            lambda: any(seen.term and seen.at > begun for seen in self.observations()),
            "a holder of the lease",
        )
        ran = self.rig.origin.charged_at
        await self.until(
            lambda: sum(at > time.time() - 1.0 for at in ran) > 0.6 * LIMIT_PER_S, "grants that are used"
        )


def run_scenario(
    folder: Path, scenario: Scenario, routers: int = 5, tiers: int = 0, seed: int = 1
) -> ClusterRig:
    """Runs a scenario and audits the guarantees that hold under every fault."""
    cluster = ClusterRig(folder, routers, tiers, seed)

    async def run() -> None:
        tasks: list[asyncio.Task[None]] = []
        try:
            await cluster.rig.up()
            looking = watch(cluster.rig, 0.1, cluster.moments)
            tasks = [asyncio.ensure_future(each) for each in (cluster.charges.run(), looking)]
            await cluster.until_lease_is_used()
            await scenario(cluster)
            for task in tasks:
                assert not task.done()  # it has run until the end
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


def test_a_limit_holds_through_partitions_and_their_end(
    tmp_path: Path,
) -> None:
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
    killed = next(did.at for did in cluster.rig.did if did.what == "kill")
    after = [seen for seen in cluster.observations() if seen.term and seen.at > killed]
    assert len({seen.router for seen in after}) >= 1
    # The lease has to expire, an election follows; the pages are read 0.1 s apart.
    assert after[0].at - killed < 1.5 + 1.0 + 0.5


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


def test_all_routers_have_the_verdict_on_a_dead_parent_within_a_second_and_an_isolated_one_convinces_nobody(
    tmp_path: Path,
) -> None:
    found: list[VerdictTimes] = []

    async def scenario(cluster: ClusterRig) -> None:
        background = asyncio.ensure_future(cluster.rig.load.run(60.0))
        await asyncio.sleep(1.0)
        # One router alone reaches no cache and no parent.
        cluster.script.begin_outage(4)
        await cluster.rig.kill_router(4)
        cluster.rig.blind.add(4)
        await cluster.rig.restart(4)
        await asyncio.sleep(2.0)
        pages = await cluster.rig.pages_of()
        assert {n: page["words"] for n, page in pages.items() if n != 4} == {n: {} for n in range(4)}
        cluster.rig.blind.clear()
        await cluster.rig.kill_router(4)
        await cluster.rig.restart(4)
        await asyncio.sleep(0.5)
        tier = next(name for name in cluster.rig.tiers if name.startswith("aimag"))
        found.append(await kill_parent(cluster.rig, tier, 8.0))
        background.cancel()

    run_scenario(tmp_path, scenario, tiers=2, seed=6)
    (times,) = found
    assert times.router_count == 5 and times.p95_s <= 1.5, (
        times
    )  # the objective is 1 s; a busy machine is slower


def test_malformed_datagrams_have_no_effect_and_isolated_routers_go_on_serving(tmp_path: Path) -> None:
    async def scenario(cluster: ClusterRig) -> None:
        drawn = random.Random(7)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        cluster.rig.links.part()
        tally = asyncio.ensure_future(cluster.rig.load.run(2.5))
        for _ in range(150):
            for number in range(5):
                junk = drawn.randbytes(drawn.choice([0, 1, 30, 200, 255, 256]))
                stranger.sendto(junk, cluster.rig.links.homes[number])
                cluster.rig.links.arrive((number + 1) % 5, number, junk)  # from a peer's own address
            await asyncio.sleep(0.01)
        stranger.close()
        served = await tally
        # Isolated routers serve what falls under no limit as routers that share nothing.
        others = sum(served.asked.values()) - served.asked["toll-charge"]
        assert served.verdicts["served"] >= 0.98 * others, served.verdicts
        cluster.rig.links.heal()
        await cluster.until_lease_is_used()

    cluster = run_scenario(tmp_path, scenario, seed=8)
    assert cluster.charges.answers


def test_unusable_peers_are_reported_in_one_line(tmp_path: Path) -> None:
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


def test_every_local_event_has_a_log_name_of_its_own() -> None:
    assert set(EVENT_NAMES) == set(get_args(LocalEvent))
    assert len(set(EVENT_NAMES.values())) == len(EVENT_NAMES)
