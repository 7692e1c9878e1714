"""Live channels of real routers: one owner fills ahead, the others ask its box, and owners come and go."""

import asyncio
import itertools
import time
from collections import Counter
from pathlib import Path
from typing import Any

from paddlequay.lab.cache_servers import body_of
from paddlequay.lab.fleet_rig import FleetRig, Moment, watch
from paddlequay.lab.load import Connection
from paddlequay.lab.zone_cluster import ZonePlan

RULES = '  channels { class: "lane-video" bundles: 4 live_s: 3 }\n'
NAME = "00000000000000c5"
EVERY = 0.15  # seconds between two parts, and over which those who follow ask for one


class Follower:
    """Clients of all routers that follow one live object, part by part, until told to end."""

    def __init__(self, rig: FleetRig) -> None:
        self.rig = rig
        self.connections = [Connection(address) for address in rig.load.routers]
        self.down: set[int] = set()  # routers that nobody asks
        self.part = 0
        self.number = 0
        self.said: Counter[str] = Counter()
        self.spoilt = 0

    async def one(self, router: int, part: int) -> None:
        await asyncio.sleep(0.3 * EVERY * router)
        self.number += 1
        told = {"call": f"{self.number:016x}", "ttl": "3000", "row": NAME, "slice": str(part), "set": "197"}
        try:
            error, result = await self.connections[router].ask("lane-video", told, b"", 4.0)
        except (OSError, TimeoutError) as problem:
            self.said[type(problem).__name__] += 1
            return
        self.said["served" if error is None else str(error[0])] += 1
        if error is None:
            self.spoilt += bytes(result[0]) != body_of(NAME, str(part), self.rig.load.size(NAME))

    async def run(self) -> None:
        tasks: set[asyncio.Task[None]] = set()
        while True:
            self.part += 1
            for router in range(len(self.connections)):
                if router not in self.down:
                    task = asyncio.ensure_future(self.one(router, self.part))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
            await asyncio.sleep(EVERY)


def owners(moment: Moment) -> dict[int, int]:
    """Routers that say that they own the bundle, and their terms."""
    found = {}
    for router, page in moment.pages.items():
        terms = [each["term"] for each in page.get("channels", {}).values() if each["term"]]
        if terms:
            found[router] = max(terms)
    return found


async def until_owned(moments: list[Moment], but: set[int], longest: float) -> int:
    """The router that owns it next, seen after now."""
    begun = time.time()
    while time.time() - begun < longest:
        for moment in moments[::-1]:
            if moment.at <= begun:
                break
            known = [router for router in owners(moment) if router not in but]
            if known:
                return known[0]
        await asyncio.sleep(0.05)
    raise AssertionError(f"nobody owns the channel within {longest} s")


def counts(moment: Moment, name: str) -> int:
    return sum(page["counts"].get(name, 0) for page in moment.pages.values())


def test_one_owner_fills_ahead_and_a_drain_a_kill_and_a_stop_hand_it_on(tmp_path: Path) -> None:
    moments: list[Moment] = []
    rig = FleetRig(ZonePlan(routers=4, boxes=2, tiers=1, regional=0, rate=20.0, seed=5), tmp_path, RULES, 5)
    follower = Follower(rig)

    async def script() -> None:
        first = await until_owned(moments, set(), 6.0)
        await asyncio.sleep(1.5)
        assert counts(moments[-1], "channels.hints") > 0
        # Planned: SIGTERM, the owner is drained; those who follow go to the others.
        follower.down.add(first)
        rig.process(first).terminate()
        second = await until_owned(moments, {first}, 3.0)
        await rig.process(first).wait()
        await rig.restart(first)
        follower.down.clear()
        # Killed: a lease and an election later another owns it.
        follower.down.add(second)
        await rig.kill_router(second)
        third = await until_owned(moments, {second}, 1.5 + 1.0 + 1.5)
        await rig.restart(second)
        follower.down.clear()
        # Stopped for longer than its lease, and on again with an old term.
        follower.down.add(third)
        rig.stop(third)
        await until_owned(moments, {third}, 1.5 + 1.0 + 1.5)
        rig.go_on(third)
        await asyncio.sleep(1.0)

    async def run() -> None:
        tasks: list[asyncio.Future[Any]] = []
        try:
            await rig.up()
            tasks = [asyncio.ensure_future(each) for each in (follower.run(), watch(rig, 0.05, moments))]
            await script()
        finally:
            for task in tasks:
                task.cancel()
            await rig.down()

    asyncio.run(run())
    assert follower.spoilt == 0
    # Nobody waits for an owner: what is not served is what a router that went down still had.
    assert follower.said["served"] > 0.95 * sum(follower.said.values()), follower.said
    looks = sorted((page["at"], router, owners(moment).get(router))
                   for moment in moments for router, page in moment.pages.items())  # fmt: skip
    terms: dict[int, list[float]] = {}
    for at, _, term in looks:
        if term is not None:
            terms.setdefault(term, []).append(at)
    # Two owners at once, each by its own term, for the bound of a planned handoff at most.
    ordered = sorted(terms.items())
    for (_, before), (_, after) in itertools.pairwise(ordered):
        assert before[-1] - after[0] <= 0.5, ordered
    fills = Counter(given.part for given in rig.store.given if given.name == NAME)
    assert sum(fills.values()) <= 1.2 * len(fills), fills
