"""`lab run cluster`: real routers that share limits, leases and verdicts, under faults.

Each run applies one sequence of faults, drawn from the seed: partitions, one-way links, loss with reordering,
stopped, killed and restarted routers, a dead parent. Charges exceed their limit all the time. The claims are
audited from the origin's records, the clients' answers and the status pages (`cluster_audit`).
"""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from paddlequay.lab import cluster_audit as audit
from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.fleet_rig import FleetRig, FleetSnapshot, watch
from paddlequay.lab.load import Connection
from paddlequay.lab.zone_cluster import ZonePlan

LIMIT_PER_S = 30.0
BURST = 6.0
FLOOR_RATIO = 0.25
CLUSTER_RULES = (
    f'  limit {{ name: "charges" by: CLASS match: "toll-charge" rate: {LIMIT_PER_S:g} burst: {BURST:g} '
    f"floor: {FLOOR_RATIO:g} }}\n"
)
LEASE = "limit/charges"
MAX_ARRIVAL_DELAY_S = 0.15  # after the admission: written within 0.1 s, arrived some ms later
TIME_TO_LIVE_MS = 2500
CONNECTIONS_PER_ROUTER = 2
FAULT_S = 2.5  # of a partition, a stop or a kill
LOSSY_S = 3.0
VERDICT_TIMEOUT_S = 8.0


class ChargeLoad:
    """Sends charges at a rate, to routers by weight; each id is sent once and its answers are kept."""

    def __init__(self, addresses: Sequence[tuple[str, int]], rate_per_s: float, seed: int) -> None:
        self._rate_per_s = rate_per_s
        self._seed = seed
        self._tasks: set[asyncio.Task[None]] = set()
        self._pools = [[Connection(address) for _ in range(CONNECTIONS_PER_ROUTER)] for address in addresses]
        self.weights = [1.0] * len(addresses)
        self.requests: dict[str, tuple[float, int]] = {}  # Unix time and router, by id
        self.answers: list[audit.ClientAnswer] = []

    @property
    def repeated_answer_count(self) -> int:
        """Returns how many answers came to a request that had one already."""
        return sum(connection.duplicate_answers for pool in self._pools for connection in pool)

    async def run(self) -> None:
        """Sends charges until cancelled; `drain` awaits those that are pending then."""
        rng = random.Random(self._seed)
        due = time.monotonic()
        while True:
            due += rng.expovariate(self._rate_per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            router = rng.choices(range(len(self._pools)), self.weights)[0]
            request_id = f"{0xC << 60 | len(self.requests):016x}"
            self.requests[request_id] = time.time(), router
            connection = rng.choice(self._pools[router])
            task = asyncio.ensure_future(self._send(request_id, connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, request_id: str, connection: Connection) -> None:
        requested_at = time.time()
        fields = {
            "call": request_id,
            "ttl": str(TIME_TO_LIVE_MS),
            "row": request_id,
            "slice": "0",
            "set": "0",
        }
        try:
            error, _ = await connection.ask("toll-charge", fields, b"charge", 2 * TIME_TO_LIVE_MS / 1000)
        except (OSError, TimeoutError):
            return
        status = "served" if error is None else str(error[0])
        self.answers.append(audit.ClientAnswer(requested_at, time.time(), request_id, status))

    async def drain(self) -> None:
        """Waits for the answers that are pending."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * TIME_TO_LIVE_MS / 1000 + 1)


@dataclass(slots=True)
class Outage:
    """A time in which a router was killed or stopped, in Unix seconds."""

    begin: float
    end: float = math.inf


class FaultScript:
    """Applies faults one after the other, in an order drawn from a seed; each ends before the next begins."""

    def __init__(self, rig: FleetRig, charges: ChargeLoad, seed: int) -> None:
        self.rig = rig
        self.charges = charges
        self.rng = random.Random(seed)
        self.size = len(rig.slots)
        # The times at which routers were killed or stopped: requests in flight then may have no answer.
        self._outages: dict[int, list[Outage]] = {}
        self.applied: list[str] = []

    def shuffled_faults(self) -> Sequence[Callable[[], Awaitable[None]]]:
        """Returns all faults, in the seed's order."""
        faults = [
            self.partition_in_two,
            self.isolate_all,
            self.cut_links_to_holder,
            self.lose_datagrams,
            self.stop_holder,
            self.kill_holder,
            self.restart_half,
        ]
        self.rng.shuffle(faults)
        return faults

    def begin_outage(self, *routers: int) -> None:
        """Excuses requests without an answer, from those still pending now until `end_outage`."""
        for router in routers:
            outage = Outage(time.time() - TIME_TO_LIVE_MS / 1000)
            self._outages.setdefault(router, []).append(outage)

    def end_outage(self, *routers: int) -> None:
        """Ends what `begin_outage` has begun."""
        for router in routers:
            self._outages[router][-1].end = time.time()

    def is_excused(self, router: int, requested_at: float) -> bool:
        """Returns whether a request to a router may have no answer."""
        outages = self._outages.get(router, ())
        return any(outage.begin <= requested_at <= outage.end for outage in outages)

    async def find_holder(self) -> int | None:
        """Returns the router whose status page shows that it holds the limit's lease."""
        pages = await self.rig.pages_of()
        for number, page in pages.items():
            if page.get("leases", {}).get(LEASE, {}).get("term"):
                return number
        return None

    def shift_demand(self, to: Sequence[int]) -> None:
        """Sends almost all charges to some routers from now on."""
        weights = [1.0 if number in to else 0.02 for number in range(self.size)]
        self.charges.weights[:] = weights

    async def partition_in_two(self) -> None:
        """Partitions the network, and moves the demand to one side after the other."""
        numbers = list(range(self.size))
        self.rng.shuffle(numbers)
        half = self.size // 2
        self.rig.links.part(numbers[:half], numbers[half:])
        self.rig.note("partition", *numbers[:half])
        self.shift_demand(numbers[:half])
        await asyncio.sleep(FAULT_S)
        self.shift_demand(numbers[half:])
        await asyncio.sleep(1.0)
        self.rig.links.heal()
        self.rig.note("heal")

    async def isolate_all(self) -> None:
        """Isolates each router."""
        self.rig.links.part()
        self.rig.note("singles")
        await asyncio.sleep(FAULT_S)
        self.rig.links.heal()
        self.rig.note("heal")

    async def cut_links_to_holder(self) -> None:
        """Cuts the links to the holder of the lease, whose own datagrams still arrive."""
        holder = await self.find_holder()
        if holder is None:
            return
        others = [n for n in range(self.size) if n != holder]
        self.rig.links.set([(n, holder) for n in others], cut=True)
        self.rig.note("one_way", holder)
        await asyncio.sleep(FAULT_S)
        self.rig.links.heal()
        self.rig.note("heal")

    async def lose_datagrams(self) -> None:
        """Loses, delays and repeats datagrams on all links."""
        links = [(a, b) for a in range(self.size) for b in range(self.size) if a != b]
        self.rig.links.set(links, drop=0.3, jitter=0.08, repeat=0.1)
        self.rig.note("lossy")
        self.shift_demand([self.rng.randrange(self.size)])
        await asyncio.sleep(LOSSY_S)
        self.rig.links.heal()
        self.rig.note("heal")

    async def stop_holder(self) -> None:
        """Stops the holder for longer than its lease, under load."""
        holder = await self.find_holder()
        if holder is None:
            return
        self.shift_demand([holder])
        await asyncio.sleep(0.5)
        self.begin_outage(holder)
        self.rig.stop(holder)
        await asyncio.sleep(FAULT_S)
        self.rig.resume(holder)
        self.end_outage(holder)

    async def kill_holder(self) -> None:
        """Kills the holder, and starts it again after another could take over."""
        holder = await self.find_holder()
        if holder is None:
            return
        self.begin_outage(holder)
        await self.rig.kill_router(holder)
        self.shift_demand([n for n in range(self.size) if n != holder][:2])
        await asyncio.sleep(FAULT_S)
        await self.rig.restart(holder)
        self.end_outage(holder)

    async def restart_half(self) -> None:
        """Kills half of the routers and starts them again at once."""
        half = self.rng.sample(range(self.size), self.size // 2)
        self.begin_outage(*half)
        await self.rig.kill_router(*half)
        await self.rig.restart(*half)
        self.end_outage(*half)

    async def run(self, pause_s: float) -> None:
        """Applies all faults, with a pause after each."""
        for fault in self.shuffled_faults():
            if not await self._wait_for_holder():
                continue
            await fault()
            self.applied.append(fault.__name__)
            self.shift_demand(range(self.size))
            await asyncio.sleep(pause_s)

    async def _wait_for_holder(self) -> bool:
        """Returns whether a router holds the lease within some seconds; some faults are for the holder."""
        for _ in range(50):
            if await self.find_holder() is not None:
                return True
            await asyncio.sleep(0.1)
        return False


@dataclass(frozen=True, slots=True)
class VerdictTimes:
    """Until when routers had the verdict on a dead parent, in seconds after its death."""

    router_count: int
    first_s: float
    p95_s: float  # until 95 % of the routers had it


@dataclass(slots=True)
class RunRecord:
    """What a run leaves for the auditor. Times are Unix seconds."""

    rig: FleetRig
    charges: ChargeLoad
    moments: list[FleetSnapshot]
    script: FaultScript
    verdict_times: VerdictTimes
    began: float
    ended: float


async def kill_parent(rig: FleetRig, name: str, timeout_s: float) -> VerdictTimes:
    """Kills a parent, and returns when the routers' own status pages show the verdict on it."""
    await rig.kill(name)
    killed = time.time()
    known_after: dict[int, float] = {}
    while time.time() - killed < timeout_s and len(known_after) < len(rig.slots):
        for number, page in (await rig.pages_of()).items():
            if name in page.get("words", {}):
                known_after.setdefault(number, time.time() - killed)
        await asyncio.sleep(0.02)
    await rig.revive(name)
    times = sorted(known_after.values())
    needed = max(1, round(0.95 * len(rig.slots)))
    first_s = times[0] if times else timeout_s
    p95_s = times[needed - 1] if len(times) >= needed else timeout_s
    return VerdictTimes(len(times), first_s, p95_s)


async def run_script(setup: Setup, routers: int, pause_s: float, load_per_s: float) -> RunRecord:
    """Runs the whole script on real routers."""
    plan = ZonePlan(routers=routers, boxes=4, tiers=2, regional=1, rate=load_per_s, seed=setup.seed)
    rig = FleetRig(plan, setup.folder / "plaza", CLUSTER_RULES, setup.seed)
    charges = ChargeLoad(rig.load.routers, 2.0 * LIMIT_PER_S, setup.seed)
    script = FaultScript(rig, charges, setup.seed)
    moments: list[FleetSnapshot] = []
    tasks: list[asyncio.Task[Any]] = []
    try:
        await rig.up()
        began = time.time()
        setup.say(f"{routers} routers are up; faults in the order of seed {setup.seed}")
        tasks = [asyncio.ensure_future(each) for each in (charges.run(), watch(rig, 0.1, moments))]
        background = asyncio.ensure_future(rig.load.run(3600.0))
        await asyncio.sleep(2.0)
        tier = next(name for name in rig.tiers if name.startswith("aimag"))
        verdict_times = await kill_parent(rig, tier, VERDICT_TIMEOUT_S)
        await script.run(pause_s)
        await asyncio.sleep(1.0)
        ended = time.time()
        for task in (*tasks, background):
            if task.done():
                task.result()  # it runs until the end, so its error is the run's
            task.cancel()
        await charges.drain()
    finally:
        for task in tasks:
            task.cancel()
        await rig.down()
    return RunRecord(rig, charges, moments, script, verdict_times, began, ended)


def results_of(record: RunRecord) -> Results:
    """Returns the claims and figures of a run."""
    results = Results("cluster")
    observations = audit.observe_lease(record.moments, LEASE)
    claim_guarantees(results, record, observations)
    origin = record.rig.origin
    seconds = record.ended - record.began
    used_ratio = len(origin.charged_at) / (LIMIT_PER_S * seconds)
    # Floors alone admit a quarter, and only where there is demand: without requests nothing is proven.
    results.claim("of the limit let through", used_ratio, ">=", FLOOR_RATIO)
    pairs = len(record.rig.slots) * (len(record.rig.slots) - 1)
    gap_s = audit.longest_without_holder(observations, record.began, record.ended)
    pair_bytes_per_s = sum(record.rig.links.bytes.values()) / seconds / pairs
    results.figures = {
        "seconds": round(seconds, 1),
        "charges asked": len(record.charges.requests),
        "served": sum(answer.status == "served" for answer in record.charges.answers),
        "used of the limit": round(used_ratio, 3),
        "longest without a holder, s": round(gap_s, 2),
        "first word of the dead parent, s": round(record.verdict_times.first_s, 2),
        "datagrams lost": record.rig.links.lost,
        "bytes a second, router to router": round(pair_bytes_per_s, 1),
    }
    results.rows = [
        {
            "at_s": round(fault.at - record.began, 2),
            "what": fault.action,
            "whom": " ".join(map(str, fault.routers)),
        }
        for fault in record.rig.fault_actions
    ]
    return results


def claim_guarantees(
    results: Results, record: RunRecord, observations: Sequence[audit.LeaseObservation]
) -> None:
    """States the claims on what must hold under every fault."""
    requests = record.charges.requests
    excused = [
        request_id
        for request_id, (requested_at, router) in requests.items()
        if record.script.is_excused(router, requested_at)
    ]
    wrong = audit.find_wrong_answers(requests, record.charges.answers, excused)
    origin = record.rig.origin
    excess = audit.max_excess(origin.charged_at, LIMIT_PER_S, BURST, MAX_ARRIVAL_DELAY_S)
    results.claim("strict limit over", excess, "==", 0)
    results.claim("two holders seen at once", audit.count_double_holders(observations), "==", 0)
    results.claim("terms that went back", audit.count_decreasing_terms(observations), "==", 0)
    results.claim("charges run twice", len(audit.find_repeated(origin.charges)), "==", 0)
    results.claim("charges without their one answer", len(wrong), "==", 0)
    results.claim("second answers", record.charges.repeated_answer_count, "==", 0)
    results.claim("faults played", len(record.script.applied), "==", 7)
    p95_s = record.verdict_times.p95_s
    results.claim("word of a dead parent at 95% of the routers, s", p95_s, "<=", 1.0)


def run(setup: Setup) -> Results:
    """Runs the experiment; a quick one has fewer routers and shorter pauses."""
    routers, pause_s, load_per_s = (5, 0.8, 60.0) if setup.quick else (9, 3.0, 120.0)
    return results_of(asyncio.run(run_script(setup, routers, pause_s, load_per_s)))
