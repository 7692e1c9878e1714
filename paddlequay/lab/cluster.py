"""`lab run cluster`: real routers that share limits, leases and words, with faults between and on them.

One script of faults a run, drawn from the seed: partitions, one-way links, loss with reordering, stops,
kills, restarts, a parent that dies. Charges beyond their limit come all the time. What is claimed is audited
from the store's records, the clients' answers and the consoles (`cluster_audit`).
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from paddlequay.lab import cluster_audit as audit
from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.fleet_rig import FleetRig, Moment, watch
from paddlequay.lab.load import Connection
from paddlequay.lab.zone_cluster import ZonePlan

RATE, BURST, FLOOR = 30.0, 6.0, 0.25
RULES = (
    f'  limit {{ name: "charges" by: CLASS match: "toll-charge" rate: {RATE:g} burst: {BURST:g} '
    f"floor: {FLOOR:g} }}\n"
)
LEASE = "limit/charges"
TELL_S = 0.15  # from a leave to the arrival at most: it is written within 0.1 s, and arrives in some ms
TTL_MS = 2500


@dataclass(slots=True)
class Charges:
    """Charges at a rate, to routers by weight; each id is sent once and its answers are kept."""

    addresses: Sequence[tuple[str, int]]
    rate: float
    seed: int
    weights: list[float] = field(default_factory=list)
    asked: dict[str, tuple[float, int]] = field(default_factory=dict)
    answers: list[audit.Answered] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    pools: list[list[Connection]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.weights = self.weights or [1.0] * len(self.addresses)
        self.pools = [[Connection(address) for _ in range(2)] for address in self.addresses]

    @property
    def twice(self) -> int:
        """Answers that came for what had one already."""
        return sum(connection.twice for pool in self.pools for connection in pool)

    async def run(self) -> None:
        """Until cancelled; what is open then is awaited by `rest`."""
        drawn = random.Random(self.seed)
        pools = self.pools
        due = time.monotonic()
        while True:
            due += drawn.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            router = drawn.choices(range(len(pools)), self.weights)[0]
            id = f"{0xC << 60 | len(self.asked):016x}"
            self.asked[id] = time.time(), router
            task = asyncio.ensure_future(self.one(id, drawn.choice(pools[router])))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def one(self, id: str, connection: Connection) -> None:
        asked = time.time()
        told = {"call": id, "ttl": str(TTL_MS), "row": id, "slice": "0", "set": "0"}
        try:
            error, _ = await connection.ask("toll-charge", told, b"charge", 2 * TTL_MS / 1000)
        except (OSError, TimeoutError):
            return
        said = "served" if error is None else str(error[0])
        self.answers.append(audit.Answered(asked, time.time(), id, said))

    async def rest(self) -> None:
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=2 * TTL_MS / 1000 + 1)


class Script:
    """Faults one after the other, drawn from a seed; each is ended before the next begins."""

    def __init__(self, rig: FleetRig, charges: Charges, seed: int) -> None:
        self.rig, self.charges, self.random = rig, charges, random.Random(seed)
        self.size = len(rig.places)
        # Routers that were killed or stopped, by when: what they held then may have no answer.
        self.excused: dict[int, list[list[float]]] = {}
        self.played: list[str] = []

    def draw(self) -> Sequence[Callable[[], Awaitable[None]]]:
        """All faults, in an order of the seed's."""
        faults = [
            self.partition_in_two,
            self.singles,
            self.one_way_to_holder,
            self.lossy,
            self.stop_holder,
            self.kill_holder,
            self.half_restart,
        ]
        self.random.shuffle(faults)
        return faults

    def excuse(self, *routers: int) -> None:
        """From what was asked last before now on, until `back`."""
        for router in routers:
            self.excused.setdefault(router, []).append([time.time() - TTL_MS / 1000, float("inf")])

    def back(self, *routers: int) -> None:
        for router in routers:
            self.excused[router][-1][1] = time.time()

    def excuses(self, router: int, asked: float) -> bool:
        return any(begin <= asked <= end for begin, end in self.excused.get(router, ()))

    async def holder(self) -> int | None:
        pages = await self.rig.pages_of()
        held = [n for n, page in pages.items() if page.get("leases", {}).get(LEASE, {}).get("term")]
        return held[0] if held else None

    async def shift(self, to: Sequence[int]) -> None:
        """All demand goes to some routers from now on."""
        self.charges.weights[:] = [1.0 if n in to else 0.02 for n in range(self.size)]

    async def partition_in_two(self) -> None:
        numbers = list(range(self.size))
        self.random.shuffle(numbers)
        half = self.size // 2
        self.rig.links.part(numbers[:half], numbers[half:])
        self.rig.note("partition", *numbers[:half])
        await self.shift(numbers[:half])
        await asyncio.sleep(2.5)
        await self.shift(numbers[half:])
        await asyncio.sleep(1.0)
        self.rig.links.heal()
        self.rig.note("heal")

    async def singles(self) -> None:
        self.rig.links.part()
        self.rig.note("singles")
        await asyncio.sleep(2.5)
        self.rig.links.heal()
        self.rig.note("heal")

    async def one_way_to_holder(self) -> None:
        holder = await self.holder()
        if holder is None:
            return
        others = [n for n in range(self.size) if n != holder]
        self.rig.links.set([(n, holder) for n in others], cut=True)
        self.rig.note("one_way", holder)
        await asyncio.sleep(2.5)
        self.rig.links.heal()
        self.rig.note("heal")

    async def lossy(self) -> None:
        ways = [(a, b) for a in range(self.size) for b in range(self.size) if a != b]
        self.rig.links.set(ways, drop=0.3, jitter=0.08, repeat=0.1)
        self.rig.note("lossy")
        await self.shift([self.random.randrange(self.size)])
        await asyncio.sleep(3.0)
        self.rig.links.heal()
        self.rig.note("heal")

    async def stop_holder(self) -> None:
        """Stopped for longer than its lease in the middle of what it does, and on again."""
        holder = await self.holder()
        if holder is None:
            return
        await self.shift([holder])
        await asyncio.sleep(0.5)
        self.excuse(holder)
        self.rig.stop(holder)
        await asyncio.sleep(2.5)
        self.rig.go_on(holder)
        self.back(holder)

    async def kill_holder(self) -> None:
        holder = await self.holder()
        if holder is None:
            return
        self.excuse(holder)
        await self.rig.kill_router(holder)
        await self.shift([n for n in range(self.size) if n != holder][:2])
        await asyncio.sleep(2.5)
        await self.rig.restart(holder)
        self.back(holder)

    async def half_restart(self) -> None:
        half = self.random.sample(range(self.size), self.size // 2)
        self.excuse(*half)
        await self.rig.kill_router(*half)
        await self.rig.restart(*half)
        self.back(*half)

    async def run(self, pause: float) -> None:
        for fault in self.draw():
            for _ in range(50):
                if await self.holder() is not None:
                    break  # who holds it is whom some faults are for
                await asyncio.sleep(0.1)
            else:
                continue
            await fault()
            self.played.append(fault.__name__)
            await self.shift(range(self.size))
            await asyncio.sleep(pause)


@dataclass(slots=True)
class Found:
    """What a run has left for the auditor."""

    rig: FleetRig
    charges: Charges
    moments: list[Moment]
    script: Script
    dead_parent: dict[str, float]
    began: float
    ended: float


async def dead_parent(rig: FleetRig, name: str, longest: float) -> dict[str, float]:
    """Kill a parent, and see when routers' own consoles have the fleet's word, in seconds."""
    await rig.kill(name)
    killed, known = time.time(), dict[int, float]()
    while time.time() - killed < longest and len(known) < len(rig.places):
        for number, page in (await rig.pages_of()).items():
            if name in page.get("words", {}):
                known.setdefault(number, time.time() - killed)
        await asyncio.sleep(0.02)
    await rig.revive(name)
    when = sorted(known.values())
    wanted = max(1, round(0.95 * len(rig.places)))
    return {
        "told": float(len(when)),
        "first": when[0] if when else longest,
        "most": when[wanted - 1] if len(when) >= wanted else longest,
    }


async def play(setup: Setup, routers: int, pause: float, load: float) -> Found:
    """One run of the whole script."""
    plan = ZonePlan(routers=routers, boxes=4, tiers=2, regional=1, rate=load, seed=setup.seed)
    rig = FleetRig(plan, setup.folder / "plaza", RULES, setup.seed)
    charges = Charges(rig.load.routers, 2.0 * RATE, setup.seed)
    script = Script(rig, charges, setup.seed)
    moments: list[Moment] = []
    tasks: list[asyncio.Task[Any]] = []
    try:
        await rig.up()
        began = time.time()
        setup.say(f"{routers} routers are up; faults in the order of seed {setup.seed}")
        tasks = [asyncio.ensure_future(each) for each in (charges.run(), watch(rig, 0.1, moments))]
        background = asyncio.ensure_future(rig.load.run(3600.0))
        await asyncio.sleep(2.0)
        tier = next(name for name in rig.tiers if name.startswith("aimag"))
        parent = await dead_parent(rig, tier, 8.0)
        await script.run(pause)
        await asyncio.sleep(1.0)
        ended = time.time()
        for task in (*tasks, background):
            if task.done():
                task.result()  # it is to charge, and to look, to the end: its error is the run's
            task.cancel()
        await charges.rest()
    finally:
        for task in tasks:
            task.cancel()
        await rig.down()
    return Found(rig, charges, moments, script, parent, began, ended)


def results_of(found: Found) -> Results:
    """The claims."""
    results = Results("cluster")
    seen = audit.looks(found.moments, LEASE)
    asked = found.charges.asked.items()
    excused = [id for id, (at, router) in asked if found.script.excuses(router, at)]
    wrong = audit.answers_wrong(found.charges.asked, found.charges.answers, excused)
    served = sum(answer.said == "served" for answer in found.charges.answers)
    store = found.rig.origin
    results.claim("strict limit over", audit.over(store.charged_at, RATE, BURST, TELL_S), "==", 0)
    results.claim("two holders seen at once", audit.two_holders(seen), "==", 0)
    results.claim("terms that went back", audit.terms_back(seen), "==", 0)
    results.claim("charges run twice", len(audit.ran_twice(store.charges)), "==", 0)
    results.claim("charges without their one answer", len(wrong), "==", 0)
    results.claim("second answers", found.charges.twice, "==", 0)
    results.claim("faults played", len(found.script.played), "==", 7)
    results.claim("word of a dead parent at 95% of the routers, s", found.dead_parent["most"], "<=", 1.0)
    gap = audit.longest_without(seen, found.began, found.ended)
    spent = found.ended - found.began
    # Floors alone let a quarter through, and only where demand is: with nothing to see, nothing is proven.
    results.claim("of the limit let through", len(store.charged_at) / (RATE * spent), ">=", FLOOR)
    pairs = len(found.rig.places) * (len(found.rig.places) - 1)
    results.figures = {
        "seconds": round(spent, 1),
        "charges asked": len(found.charges.asked),
        "served": served,
        "used of the limit": round(len(store.charged_at) / (RATE * spent), 3),
        "longest without a holder, s": round(gap, 2),
        "first word of the dead parent, s": round(found.dead_parent["first"], 2),
        "datagrams lost": found.rig.links.lost,
        "bytes a second, router to router": round(sum(found.rig.links.bytes.values()) / spent / pairs, 1),
    }
    results.rows = [
        {"at_s": round(did.at - found.began, 2), "what": did.what, "whom": " ".join(map(str, did.whom))}
        for did in found.rig.did
    ]
    return results


def run(setup: Setup) -> Results:
    routers, pause, load = (5, 0.8, 60.0) if setup.quick else (9, 3.0, 120.0)
    return results_of(asyncio.run(play(setup, routers, pause, load)))
