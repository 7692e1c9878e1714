"""Real routers agree on placement tables while rules change one router at a time and during a partition."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from paddlequay.lab.fleet_rig import FleetRig, FleetSnapshot, watch
from paddlequay.lab.zone_cluster import ZonePlan

FIRST_RULES = "otherwise: 256 shards by object and part; 1 copy.\n"
SECOND_RULES = "move at most 100 shards per second.\notherwise: 256 shards by object; 2 copies.\n"


def placement_pages(moment: FleetSnapshot) -> dict[int, dict[str, Any]]:
    return {router: page["placement"] for router, page in moment.pages.items() if "placement" in page}


class RulesFleet:
    def __init__(self, folder: Path) -> None:
        (folder / "placement.rules").write_text(FIRST_RULES)
        self.rules_file = folder / "placement.rules"
        plan = ZonePlan(routers=3, boxes=4, tiers=0, regional=0, rate=40.0, seed=3)
        self.rig = FleetRig(plan, folder, '  rules: "placement.rules"\n  bounds { epoch_s: 2.5 }\n', 3)
        self.moments: list[FleetSnapshot] = []

    async def wait_until(
        self, check: Callable[[dict[int, dict[str, Any]]], bool], expectation: str
    ) -> dict[str, Any]:
        """Returns the first router's placement page once a check succeeds on the pages of all routers."""
        for _ in range(300):
            placements = placement_pages(self.moments[-1]) if self.moments else {}
            if len(placements) == 3 and check(placements):
                return placements[0]
            await asyncio.sleep(0.05)
        raise AssertionError(f"not within 15 s: {expectation}: {placement_pages(self.moments[-1])}")

    def reload_rules(self, *numbers: int) -> None:
        for number in numbers:
            self.rig.process(number).send_signal(signal.SIGHUP)


def all_agree(placements: dict[int, dict[str, Any]]) -> bool:
    """Returns whether all routers use one epoch and one table."""
    return len({(page["epoch"], page["table"]) for page in placements.values()}) == 1 and bool(
        placements[0]["epoch"]
    )


def test_routers_agree_on_rules_that_change_one_router_at_a_time_and_during_a_partition(
    tmp_path: Path,
) -> None:
    fleet = RulesFleet(tmp_path)

    async def script() -> None:
        first = await fleet.wait_until(all_agree, "one epoch at the start")
        fleet.rules_file.write_text(SECOND_RULES)
        fleet.reload_rules(0)
        await asyncio.sleep(0.6)
        # Only one of three routers has the new rules, so the majority's table stays in use.
        assert {page["table"] for page in placement_pages(fleet.moments[-1]).values()} == {first["table"]}
        fleet.rig.links.part([0, 1])
        fleet.reload_rules(1, 2)
        await fleet.wait_until(
            lambda placements: placements[0]["table"] == placements[1]["table"] != first["table"],
            "the new table at two routers",
        )
        # The isolated router uses its epoch until it expires, and then places objects as without rules.
        await fleet.wait_until(
            lambda placements: placements[2]["epoch"] is None, "the fallback where it is cut off"
        )
        fleet.rig.links.heal()
        second = await fleet.wait_until(all_agree, "one epoch after the heal")
        fleet.rules_file.write_text(FIRST_RULES)
        fleet.reload_rules(0, 1, 2)
        last = await fleet.wait_until(
            lambda placements: all_agree(placements) and placements[0]["table"] != second["table"],
            "the first file again",
        )
        assert last["table"] == first["table"] and last["epoch"] != first["epoch"]

    async def run() -> None:
        tasks: list[asyncio.Future[Any]] = []
        try:
            await fleet.rig.up()
            tasks = [asyncio.ensure_future(watch(fleet.rig, 0.05, fleet.moments))]
            load = asyncio.ensure_future(fleet.rig.load.run(60.0))
            await script()
            load.cancel()
            summary = fleet.rig.load.summary
            assert summary.wrong_body_count == 0 and summary.verdicts["Failed"] == 0
        finally:
            for task in tasks:
                task.cancel()
            await fleet.rig.down()

    asyncio.run(run())
    tables_by_epoch: dict[int, set[str]] = {}
    for moment in fleet.moments:
        for page in placement_pages(moment).values():
            if page["epoch"] is not None and page["table"] is not None:
                tables_by_epoch.setdefault(page["epoch"], set()).add(page["table"])
    assert all(len(tables) == 1 for tables in tables_by_epoch.values()), tables_by_epoch
    for number in range(3):
        epochs = [
            placement_pages(moment)[number]["epoch"]
            for moment in fleet.moments
            if number in placement_pages(moment)
        ]
        in_use = [epoch for epoch in epochs if epoch is not None]
        assert in_use == sorted(in_use)
