"""Live channels of real routers: one owner prefetches, the others use its hints, and owners are replaced."""

import asyncio
import itertools
import time
from collections import Counter
from pathlib import Path
from typing import Any

from paddlequay.lab.cache_servers import body_of
from paddlequay.lab.fleet_rig import FleetRig, FleetSnapshot, watch
from paddlequay.lab.load import Connection
from paddlequay.lab.zone_cluster import ZonePlan

CHANNEL_SETTINGS = '  channels { class: "lane-video" bundles: 4 live_s: 3 }\n'
NAME = "00000000000000c5"
PART_INTERVAL_S = 0.15  # between two parts; the reads of one part are spread over it


class Readers:
    """Clients of all routers that read one live object, part by part, until cancelled."""

    def __init__(self, rig: FleetRig) -> None:
        self.rig = rig
        self.connections = [Connection(address) for address in rig.load.routers]
        self.skipped_routers: set[int] = set()  # routers without readers
        self.part = 0
        self.serial = 0
        self.outcomes: Counter[str] = Counter()
        self.corrupt = 0

    async def read(self, router: int, part: int) -> None:
        await asyncio.sleep(0.3 * PART_INTERVAL_S * router)
        self.serial += 1
        fields = {"call": f"{self.serial:016x}", "ttl": "3000", "row": NAME, "slice": str(part), "set": "197"}
        try:
            error, result = await self.connections[router].ask("lane-video", fields, b"", 4.0)
        except (OSError, TimeoutError) as failure:
            self.outcomes[type(failure).__name__] += 1
            return
        self.outcomes["served" if error is None else str(error[0])] += 1
        if error is None:
            self.corrupt += bytes(result[0]) != body_of(NAME, str(part), self.rig.load.size(NAME))

    async def run(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while True:
            self.part += 1
            for router in range(len(self.connections)):
                if router not in self.skipped_routers:
                    task = asyncio.ensure_future(self.read(router, self.part))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            await asyncio.sleep(PART_INTERVAL_S)


def owners(moment: FleetSnapshot) -> dict[int, int]:
    """Returns the routers whose consoles show that they own the bundle, with their terms."""
    found = {}
    for router, page in moment.pages.items():
        terms = [each["term"] for each in page.get("channels", {}).values() if each["term"]]
        if terms:
            found[router] = max(terms)
    return found


async def until_owned(moments: list[FleetSnapshot], excluded: set[int], timeout_s: float) -> int:
    """Waits until a router outside `excluded` owns the bundle, as seen from now on, and returns it."""
    started_at = time.time()
    while time.time() - started_at < timeout_s:
        for moment in moments[::-1]:
            if moment.at <= started_at:
                break
            known = [router for router in owners(moment) if router not in excluded]
            if known:
                return known[0]
        await asyncio.sleep(0.05)
    raise AssertionError(f"no router owns the channel within {timeout_s} s")


def counter_sum(moment: FleetSnapshot, name: str) -> int:
    return sum(page["counts"].get(name, 0) for page in moment.pages.values())


def test_owner_prefetches_alone_and_is_replaced_after_a_drain_a_kill_and_a_stop(tmp_path: Path) -> None:
    moments: list[FleetSnapshot] = []
    rig = FleetRig(
        ZonePlan(routers=4, boxes=2, tiers=1, regional=0, rate=20.0, seed=5), tmp_path, CHANNEL_SETTINGS, 5
    )
    readers = Readers(rig)

    async def script() -> None:
        first = await until_owned(moments, set(), 6.0)
        await asyncio.sleep(1.5)
        assert counter_sum(moments[-1], "channels.hints") > 0
        # Planned handoff: SIGTERM drains the owner; its clients go to the other routers.
        readers.skipped_routers.add(first)
        rig.process(first).terminate()
        second = await until_owned(moments, {first}, 3.0)
        await rig.process(first).wait()
        await rig.restart(first)
        readers.skipped_routers.clear()
        # Killed owner: after a lease and an election another router owns the bundle.
        readers.skipped_routers.add(second)
        await rig.kill_router(second)
        third = await until_owned(moments, {second}, 1.5 + 1.0 + 1.5)
        await rig.restart(second)
        readers.skipped_routers.clear()
        # Stopped owner: it continues after its lease has expired, with an old term.
        readers.skipped_routers.add(third)
        rig.stop(third)
        await until_owned(moments, {third}, 1.5 + 1.0 + 1.5)
        rig.resume(third)
        await asyncio.sleep(1.0)

    async def run() -> None:
        tasks: list[asyncio.Future[Any]] = []
        try:
            await rig.up()
            tasks = [asyncio.ensure_future(each) for each in (readers.run(), watch(rig, 0.05, moments))]
            await script()
        finally:
            for task in tasks:
                task.cancel()
            await rig.down()

    asyncio.run(run())
    assert readers.corrupt == 0
    # No request waits for an owner: only requests at a router that went down may fail.
    assert readers.outcomes["served"] > 0.95 * sum(readers.outcomes.values()), readers.outcomes
    observations = sorted((page["at"], router, owners(moment).get(router))
                   for moment in moments for router, page in moment.pages.items())  # fmt: skip
    terms: dict[int, list[float]] = {}
    for at, _, term in observations:
        if term is not None:
            terms.setdefault(term, []).append(at)
    # Two owners, each with its own term, overlap at most for the bound of a planned handoff.
    ordered = sorted(terms.items())
    for (_, before), (_, after) in itertools.pairwise(ordered):
        assert before[-1] - after[0] <= 0.5, ordered
    fills = Counter(fill.part for fill in rig.origin.fills if fill.name == NAME)
    assert sum(fills.values()) <= 1.2 * len(fills), fills
