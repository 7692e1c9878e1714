"""The experiments `discovery`, `dns-outage` and `members` of `lab run`.

The first two run real routers whose endpoint list and DNS contradict each other, or whose DNS fails.
The third measures the resolver, the answer parser and the membership table at scale, without processes.
"""

import asyncio
import heapq
import random
import time
import tracemalloc
from collections import Counter
from dataclasses import replace
from typing import Any

import dns.name
import dns.rdatatype
import numpy as np

from paddlequay.discovery.answers import DnsQuestion, build_query, parse_answer
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import SourceRule
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import SendQuery
from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.dns import DnsServer
from paddlequay.lab.load import LoadSummary
from paddlequay.lab.zone_cluster import ZoneCluster, ZonePlan
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import ReportedMember

SERVICE = "_box._tcp.plaza.example."
TEXT = """discovery {
  source { type: BULLETIN silent_s: 5 keep_s: 600 }
  source { type: DNS silent_s: 5 keep_s: 600 }
  server: "%s:%d"
  service { name: "_box._tcp.plaza.example" kind: "box" zone: "plaza" }
}
"""
# Time within which a router must have acted on a drain: the longest delay of the endpoint list, and the time
# that the rule on draining members allows.
DRAIN_REACTION_S = 0.39 + 0.5


class DiscoveryRig:
    """A zone cluster without parent tiers, and a DNS zone that publishes its edge caches."""

    def __init__(self, setup: Setup, name: str, dns_on: bool, boxes: int = 6, listed: bool = True) -> None:
        self.zone = DnsServer()
        self.setup, self.name, self.dns_on, self.boxes = setup, name, dns_on, boxes
        self.cluster: ZoneCluster
        self.listed = listed
        self.drained: list[tuple[float, float, str]] = []  # start, end (Unix time), cache name

    async def up(self) -> None:
        """Starts the DNS server and the cluster, and publishes all edge caches in DNS."""
        await self.zone.start()
        text = TEXT % self.zone.address if self.dns_on else ""
        plan = ZonePlan(boxes=self.boxes, tiers=0, regional=0, seed=self.setup.seed, discovery=text)
        plan = replace(plan, listed=self.listed)
        self.cluster = ZoneCluster(plan, self.setup.folder / "runs" / self.name)
        await self.cluster.up()
        self.publish([box.name for box in self.cluster.edge_caches])

    def publish(self, names: list[str], ttl: int = 2) -> None:
        """Publishes exactly the edge caches of these names in DNS, for `ttl` seconds."""
        data = []
        for box in self.cluster.edge_caches:
            if box.name in names:
                self.zone.put(f"{box.name}.plaza.example.", "A", ttl, "127.0.0.1")
                data.append(f"1 1 {box.address[1]} {box.name}.plaza.example.")
        self.zone.put(SERVICE, "SRV", ttl, *data)

    async def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """Publishes a lifecycle state for one edge cache in the endpoint list."""
        entry = self.cluster.listed[name] | {"lifecycle": lifecycle}
        self.cluster.listed[name] = entry
        await self.cluster.endpoint_list.publish(
            roster={"generation": 0, "reset": False, "instances": [entry]}
        )

    async def drain_in_turn(self, every: float) -> None:
        """Drains one edge cache after the other in the endpoint list and puts it back into service.

        Each phase lasts `every` seconds; DNS goes on publishing the cache meanwhile.
        """
        for number in range(1000):
            await asyncio.sleep(every)
            name = self.cluster.edge_caches[number % len(self.cluster.edge_caches)].name
            began = time.time()
            await self.set_lifecycle(name, "terminating")
            await asyncio.sleep(every)
            self.drained.append((began, time.time(), name))
            await self.set_lifecycle(name, "in_service")

    def violations(self) -> int:
        """Counts the requests to a draining cache, or that name it as a source.

        Requests within `DRAIN_REACTION_S` after the start of a drain are allowed.
        """
        count = 0
        for began, ended, name in self.drained:
            for box in self.cluster.edge_caches:
                for at, via in box.requests:
                    count += (name in (box.name, via)) and began + DRAIN_REACTION_S < at < ended
        return count

    async def down(self) -> None:
        """Stops the cluster and the DNS server."""
        await self.cluster.down()
        self.zone.close()


async def run_contradicting_sources(
    setup: Setup, dns_on: bool, seconds: float
) -> tuple[LoadSummary, DiscoveryRig]:
    """Drives load while the endpoint list drains caches and DNS answers change and fail."""
    rig = DiscoveryRig(setup, "both" if dns_on else "list", dns_on)
    await rig.up()
    drain_task = asyncio.ensure_future(rig.drain_in_turn(1.5 if setup.quick else 4.0))

    async def cycle_dns_faults() -> None:
        """Goes through the faults of the DNS server repeatedly, with changing records."""
        names = [box.name for box in rig.cluster.edge_caches]
        for fault in ["", "truncated", "servfail", "spoofed-first", "empty", "garbage", "late"] * 100:
            rig.zone.fault = fault
            rig.publish(names if rig.cluster.rng.random() < 0.5 else names[:-1])
            await asyncio.sleep(1.0 if setup.quick else 3.0)

    fault_task = asyncio.ensure_future(cycle_dns_faults())
    try:
        summary = await rig.cluster.load.run(seconds)
    finally:
        drain_task.cancel()
        fault_task.cancel()
        await rig.down()
    return summary, rig


def row(name: str, summary: LoadSummary, **also: Any) -> dict[str, Any]:
    """Returns a result row with the figures of one run and the further columns `also`."""
    return {
        "run": name,
        "asked": sum(summary.asked.values()),
        "served": summary.verdicts["served"],
        "worth": round(summary.served_share, 4),
        "p99_ms": round(summary.percentile(99), 1),
    } | also


def discovery(setup: Setup) -> Results:
    """Compares the endpoint list alone with list and DNS together, while the list drains caches."""
    results = Results("discovery", x="requests' latency, percentile", y="ms")
    seconds = 10.0 if setup.quick else 120.0
    served_shares = {}
    for dns_on in (False, True):
        name = "list and DNS" if dns_on else "list alone"
        setup.say(f"{name}: {seconds:g} s")
        summary, rig = asyncio.run(run_contradicting_sources(setup, dns_on, seconds))
        served_shares[name] = summary.served_share
        results.rows.append(
            row(
                name,
                summary,
                drains=len(rig.drained),
                violations=rig.violations(),
                dns_asked=rig.zone.asked.total(),
            )
        )
        results.figures[name] = str(results.rows[-1])
        results.lines[name] = [(share, summary.percentile(share)) for share in (50, 75, 90, 95, 99, 99.9)]
        results.claim(f"{name}: asked of a drained box after its time", rig.violations(), "==", 0)
        results.claim(f"{name}: drains played", len(rig.drained), ">=", 2)
    results.claim(
        "worth over that of the list alone",
        served_shares["list and DNS"] / served_shares["list alone"],
        ">=",
        0.98,
    )
    return results


async def outage(setup: Setup, seconds: float, fault: str) -> tuple[LoadSummary, float]:
    """Drives load on routers that learn the caches from DNS only, with or without an outage of DNS.

    In the outage the server shows `fault`, then the zone is empty, then it is back with one more cache.

    Returns:
        The summary, and the seconds until the new cache got its first request: 0 without a fault, infinite if
        it got none.
    """
    rig = DiscoveryRig(setup, f"outage-{fault or 'none'}", True, listed=False)
    await rig.up()
    rig.publish([box.name for box in rig.cluster.edge_caches[:-1]])
    await asyncio.sleep(4.0)
    learned = 0.0
    task = asyncio.ensure_future(rig.cluster.load.run(seconds))
    try:
        if fault:
            before, silent, empty = (1.0, 2.5, 0.7) if setup.quick else (10.0, 60.0, 5.0)
            await asyncio.sleep(before)
            rig.zone.fault = fault
            await asyncio.sleep(silent)
            rig.zone.fault = "empty"
            await asyncio.sleep(empty)
            rig.zone.fault = ""
            rig.publish([box.name for box in rig.cluster.edge_caches])
            began, last = time.time(), rig.cluster.edge_caches[-1]
            last.requests.clear()  # drops the requests from before the outage
            while not last.requests and not task.done():
                await asyncio.sleep(0.05)
            learned = last.requests[0][0] - began if last.requests else float("inf")
        summary = await task
    finally:
        await rig.down()
    return summary, learned


def dns_outage(setup: Setup) -> Results:
    """Compares runs with an outage of DNS with a run without one."""
    results = Results("dns-outage", x="requests' latency, percentile", y="ms")
    served_shares = {}
    for fault in ("", "silent") if setup.quick else ("", "silent", "servfail"):
        name = f"outage, {fault}" if fault else "no outage"
        seconds = (14.0 if fault else 5.0) if setup.quick else 120.0
        setup.say(f"{name}: {seconds:g} s")
        summary, learned = asyncio.run(outage(setup, seconds, fault))
        served_shares[name] = summary.served_share
        results.rows.append(row(name, summary, learned_s=round(learned, 2)))
        results.figures[name] = str(results.rows[-1])
        results.lines[name] = [(share, summary.percentile(share)) for share in (50, 75, 90, 95, 99, 99.9)]
        if fault:
            results.claim(f"{name}: seconds until a new box is used after it", learned, "<=", 45.0)
            ratio = served_shares[name] / served_shares["no outage"]
            results.claim(f"{name}: worth over that of no outage", ratio, ">=", 0.98)
    return results


def queries_per_second(routers: int, seed: int, seconds: int, out: tuple[int, int]) -> Counter[int]:
    """Counts the DNS queries in each second of a simulated fleet whose resolvers all start at once.

    The server does not answer from second `out[0]` to second `out[1]`.
    """
    server = DnsServer()
    server.put("a.plaza.example.", "A", 5, "127.0.0.1")
    where = ("127.0.0.1", 53)
    fleet = [Resolver([where], random.Random(seed * 100_000 + number)) for number in range(routers)]
    events: list[tuple[float, int, int, bytes, int]] = []
    counts: Counter[int] = Counter()
    serial = 0

    def perform(number: int, actions: list[Any], now: float) -> None:
        """Answers the queries of a resolver, and schedules its next timer."""
        nonlocal serial
        for action in actions:
            if isinstance(action, SendQuery):
                counts[int(now)] += 1
                if not out[0] <= now < out[1]:
                    serial += 1
                    ((_, wire),) = server.answers(action.data, False)
                    heapq.heappush(events, (now + 0.005, serial, number, wire, action.number))
        serial += 1
        heapq.heappush(events, (max(now + 0.001, fleet[number].next_tick_at()), serial, number, b"", 0))

    for number, resolver in enumerate(fleet):
        perform(number, resolver.subscribe(dns.name.from_text("a.plaza.example."), dns.rdatatype.A, 0.0), 0.0)
    while events and events[0][0] < seconds:
        now, _, number, wire, lookup = heapq.heappop(events)
        resolver = fleet[number]
        if wire:
            perform(number, resolver.received(lookup, wire, where, now), now)
        elif now >= resolver.next_tick_at():
            perform(number, resolver.tick(now), now)
    return counts


def parse_corrupted_answers(seed: int, count: int) -> tuple[Counter[str], float]:
    """Parses DNS answers that are corrupted, cut off or random.

    Returns:
        The number of answers by result, and the peak memory use in MB.
    """
    rng = random.Random(seed)
    server = DnsServer()
    server.put("a.plaza.example.", "A", 60, *(f"127.0.0.{n}" for n in range(20)))
    question = DnsQuestion(dns.name.from_text("a.plaza.example."), dns.rdatatype.A, 4711, ("127.0.0.1", 53))
    ((_, good),) = server.answers(build_query(question, True), False)
    outcomes: Counter[str] = Counter()
    tracemalloc.start()
    for _ in range(count):
        wire = bytearray(good if rng.random() < 0.8 else good[:2] + rng.randbytes(rng.randrange(1, 600)))
        for _ in range(rng.randrange(1, 9)):
            wire[rng.randrange(2, len(wire))] = rng.randrange(256)
        if rng.random() < 0.3:
            del wire[rng.randrange(len(wire)) :]
        try:
            outcomes[parse_answer(question, bytes(wire), question.server).kind.value] += 1
        except Exception as error:
            outcomes[f"raised {type(error).__name__}"] += 1
    peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    return outcomes, peak_mb


def members(setup: Setup) -> Results:
    """Measures a fleet's DNS queries over time, and the cost of a membership change at three sizes."""
    results = Results("members", x="seconds", y="questions a second")
    routers = 200 if setup.quick else 1000
    counts = queries_per_second(routers, setup.seed, 120, (60, 80))
    results.lines["questions"] = [(float(at), float(counts[at])) for at in range(120)]
    results.rows += [{"second": at, "questions": counts[at]} for at in range(120)]
    for name, begin, end in (("after the start", 10, 60), ("after the outage", 95, 120)):
        span = [counts[at] for at in range(begin, end)]
        results.claim(f"most over mean, {name}", max(span) / float(np.mean(span)), "<=", 1.5)
    results.figures["first second, all at once"] = counts[0]
    results.figures["most in the outage"] = max(counts[at] for at in range(61, 80))
    costs = {}
    for size in (100, 2000, 20_000):
        membership = Membership((SourceRule("list"), SourceRule("dns")))
        boxes = [
            ReportedMember(f"b{n}", (f"10.0.{n // 250}.{n % 250}", 9), state=MemberState.READY)
            for n in range(size)
        ]
        membership.report("list", boxes, True, 0.0)
        times = []
        for turn in range(300):
            some = [
                replace(box, state=(MemberState.READY, MemberState.DRAINING)[turn % 2]) for box in boxes[:10]
            ]
            began = time.perf_counter()
            membership.report("list", some, False, 1.0 + turn)
            times.append((time.perf_counter() - began) * 1e6)
        costs[size] = float(np.median(times))
        results.rows.append({"members": size, "us_for_ten": round(costs[size], 1)})
    outcomes, peak_mb = parse_corrupted_answers(setup.seed, 3000 if setup.quick else 50_000)
    results.figures["spoilt answers, by what they came to"] = dict(outcomes)
    results.claim(
        "spoilt answers that raised",
        sum(n for outcome, n in outcomes.items() if outcome.startswith("raised")),
        "==",
        0,
    )
    results.claim("most memory for them, MB", peak_mb, "<=", 8.0)
    results.figures["us for a change of ten"] = ", ".join(f"{n}: {cost:.0f}" for n, cost in costs.items())
    results.claim("a change of ten at 20,000 over 100", costs[20_000] / costs[100], "<=", 2.0)
    return results
