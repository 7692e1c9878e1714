"""Real routers follow placement tables by epochs while rules change one router at a time, and partitions."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from paddlequay.lab.fleet_rig import FleetRig, Moment, watch
from paddlequay.lab.zone_cluster import ZonePlan

FIRST = "otherwise: 256 shards by object and part; 1 copy.\n"
SECOND = "move at most 100 shards per second.\notherwise: 256 shards by object; 2 copies.\n"


def placed(moment: Moment) -> dict[int, dict[str, Any]]:
    return {router: page["placement"] for router, page in moment.pages.items() if "placement" in page}


class World:
    def __init__(self, folder: Path) -> None:
        (folder / "placement.rules").write_text(FIRST)
        self.file = folder / "placement.rules"
        plan = ZonePlan(routers=3, boxes=4, tiers=0, regional=0, rate=40.0, seed=3)
        self.rig = FleetRig(plan, folder, '  rules: "placement.rules"\n  bounds { epoch_s: 2.5 }\n', 3)
        self.moments: list[Moment] = []

    async def until(
        self, check: Callable[[dict[int, dict[str, Any]]], bool], expectation: str
    ) -> dict[str, Any]:
        """Returns the page of the first router once a check holds for the pages of all."""
        for _ in range(300):
            now = placed(self.moments[-1]) if self.moments else {}
            if len(now) == 3 and check(now):
                return now[0]
            await asyncio.sleep(0.05)
        raise AssertionError(f"not within 15 s: {expectation}: {placed(self.moments[-1])}")

    def hup(self, *numbers: int) -> None:
        for number in numbers:
            self.rig.process(number).send_signal(signal.SIGHUP)


def alike(now: dict[int, dict[str, Any]]) -> bool:
    """All follow one epoch and one table."""
    return len({(page["epoch"], page["table"]) for page in now.values()}) == 1 and bool(now[0]["epoch"])


def test_routers_agree_on_rules_that_change_one_router_at_a_time_and_during_a_partition(
    tmp_path: Path,
) -> None:
    world = World(tmp_path)

    async def script() -> None:
        first = await world.until(alike, "one epoch at the start")
        world.file.write_text(SECOND)
        world.hup(0)
        await asyncio.sleep(0.6)
        # One of three has the new file: the majority's table stays in use.
        assert {page["table"] for page in placed(world.moments[-1]).values()} == {first["table"]}
        world.rig.links.part([0, 1])
        world.hup(1, 2)
        await world.until(
            lambda now: now[0]["table"] == now[1]["table"] != first["table"], "the new table at two"
        )
        # The isolated router uses its epoch for its validity, and then places objects as without rules.
        await world.until(lambda now: now[2]["epoch"] is None, "the fallback where it is cut off")
        world.rig.links.heal()
        second = await world.until(alike, "one epoch after the heal")
        world.file.write_text(FIRST)
        world.hup(0, 1, 2)
        last = await world.until(
            lambda now: alike(now) and now[0]["table"] != second["table"], "the first file again"
        )
        assert last["table"] == first["table"] and last["epoch"] != first["epoch"]

    async def run() -> None:
        tasks: list[asyncio.Future[Any]] = []
        try:
            await world.rig.up()
            tasks = [asyncio.ensure_future(watch(world.rig, 0.05, world.moments))]
            load = asyncio.ensure_future(world.rig.load.run(60.0))
            await script()
            load.cancel()
            tally = world.rig.load.tally
            assert tally.spoilt == 0 and tally.verdicts["Failed"] == 0
        finally:
            for task in tasks:
                task.cancel()
            await world.rig.down()

    asyncio.run(run())
    under: dict[int, set[str]] = {}
    for moment in world.moments:
        for page in placed(moment).values():
            if page["epoch"] is not None and page["table"] is not None:
                under.setdefault(page["epoch"], set()).add(page["table"])
    assert all(len(tables) == 1 for tables in under.values()), under
    for number in range(3):
        epochs = [placed(moment)[number]["epoch"] for moment in world.moments if number in placed(moment)]
        in_use = [epoch for epoch in epochs if epoch is not None]
        assert in_use == sorted(in_use)
