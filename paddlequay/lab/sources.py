"""`lab run discovery`, `dns-outage`, `members`: real routers with list and DNS at odds, and the parts at
scale."""

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
from paddlequay.discovery.reports import ReportedMember, SourceRule
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import SendQuery
from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.dns import DnsServer
from paddlequay.lab.load import Tally
from paddlequay.lab.zone_cluster import ZoneCluster, ZonePlan
from paddlequay.routing.interface import MemberState

SERVICE = "_box._tcp.plaza.example."
TEXT = """discovery {
  source { type: BULLETIN silent_s: 5 keep_s: 600 }
  source { type: DNS silent_s: 5 keep_s: 600 }
  server: "%s:%d"
  service { name: "_box._tcp.plaza.example" kind: "box" zone: "plaza" }
}
"""
TOLD = 0.39 + 0.5  # the bulletin's own delay at the most, and the rule's time


class Rig:
    """A plaza without tiers, and a zone that publishes its boxes."""

    def __init__(self, setup: Setup, name: str, dns_on: bool, boxes: int = 6, listed: bool = True) -> None:
        self.zone = DnsServer()
        self.setup, self.name, self.dns_on, self.boxes = setup, name, dns_on, boxes
        self.cluster: ZoneCluster
        self.listed = listed
        self.drained: list[tuple[float, float, str]] = []  # from, until, which box

    async def up(self) -> None:
        await self.zone.start()
        text = TEXT % self.zone.address if self.dns_on else ""
        plan = ZonePlan(boxes=self.boxes, tiers=0, regional=0, seed=self.setup.seed, discovery=text)
        plan = replace(plan, listed=self.listed)
        self.cluster = ZoneCluster(plan, self.setup.folder / "runs" / self.name)
        await self.cluster.up()
        self.publish([box.name for box in self.cluster.edge_caches])

    def publish(self, names: list[str], ttl: int = 2) -> None:
        """The zone names exactly these boxes."""
        data = []
        for box in self.cluster.edge_caches:
            if box.name in names:
                self.zone.put(f"{box.name}.plaza.example.", "A", ttl, "127.0.0.1")
                data.append(f"1 1 {box.address[1]} {box.name}.plaza.example.")
        self.zone.put(SERVICE, "SRV", ttl, *data)

    async def state(self, name: str, word: str) -> None:
        entry = self.cluster.listed[name] | {"lifecycle": word}
        self.cluster.listed[name] = entry
        await self.cluster.endpoint_list.publish(
            roster={"generation": 0, "reset": False, "instances": [entry]}
        )

    async def drains(self, every: float) -> None:
        """The list drains one box after the other and takes it back, while DNS goes on naming it."""
        for number in range(1000):
            await asyncio.sleep(every)
            name = self.cluster.edge_caches[number % len(self.cluster.edge_caches)].name
            began = time.time()
            await self.state(name, "terminating")
            await asyncio.sleep(every)
            self.drained.append((began, time.time(), name))
            await self.state(name, "in_service")

    def violations(self) -> int:
        """Requests to a box, or that name it as a source, while the list drains it, from the rule's time
        on."""
        count = 0
        for began, ended, name in self.drained:
            for box in self.cluster.edge_caches:
                for at, via in box.requests:
                    count += (name in (box.name, via)) and began + TOLD < at < ended
        return count

    async def down(self) -> None:
        await self.cluster.down()
        self.zone.close()


async def at_odds(setup: Setup, dns_on: bool, seconds: float) -> tuple[Tally, Rig]:
    rig = Rig(setup, "both" if dns_on else "list", dns_on)
    await rig.up()
    task = asyncio.ensure_future(rig.drains(1.5 if setup.quick else 4.0))

    async def confuse() -> None:
        """DNS changes, truncates, fails, lies and comes back, over and over."""
        names = [box.name for box in rig.cluster.edge_caches]
        for fault in ["", "truncated", "servfail", "spoofed-first", "empty", "garbage", "late"] * 100:
            rig.zone.fault = fault
            rig.publish(names if rig.cluster.rng.random() < 0.5 else names[:-1])
            await asyncio.sleep(1.0 if setup.quick else 3.0)

    confusing = asyncio.ensure_future(confuse())
    try:
        tally = await rig.cluster.load.run(seconds)
    finally:
        task.cancel()
        confusing.cancel()
        await rig.down()
    return tally, rig


def row(name: str, tally: Tally, **also: Any) -> dict[str, Any]:
    return {
        "run": name,
        "asked": sum(tally.asked.values()),
        "served": tally.verdicts["served"],
        "worth": round(tally.served_share, 4),
        "p99_ms": round(tally.percentile(99), 1),
    } | also


def discovery(setup: Setup) -> Results:
    results = Results("discovery", x="requests' latency, percentile", y="ms")
    seconds = 10.0 if setup.quick else 120.0
    worth = {}
    for dns_on in (False, True):
        name = "list and DNS" if dns_on else "list alone"
        setup.say(f"{name}: {seconds:g} s")
        tally, rig = asyncio.run(at_odds(setup, dns_on, seconds))
        worth[name] = tally.served_share
        results.rows.append(
            row(
                name,
                tally,
                drains=len(rig.drained),
                violations=rig.violations(),
                dns_asked=rig.zone.asked.total(),
            )
        )
        results.figures[name] = str(results.rows[-1])
        results.lines[name] = [(share, tally.percentile(share)) for share in (50, 75, 90, 95, 99, 99.9)]
        results.claim(f"{name}: asked of a drained box after its time", rig.violations(), "==", 0)
        results.claim(f"{name}: drains played", len(rig.drained), ">=", 2)
    results.claim(
        "worth over that of the list alone", worth["list and DNS"] / worth["list alone"], ">=", 0.98
    )
    return results


async def outage(setup: Setup, seconds: float, fault: str) -> tuple[Tally, float]:
    """Routers that know boxes by DNS only; its server fails, then the zone is empty, then a new box comes."""
    rig = Rig(setup, f"outage-{fault or 'none'}", True, listed=False)
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
            last.requests.clear()  # from before it was taken off
            while not last.requests and not task.done():
                await asyncio.sleep(0.05)
            learned = last.requests[0][0] - began if last.requests else float("inf")
        tally = await task
    finally:
        await rig.down()
    return tally, learned


def dns_outage(setup: Setup) -> Results:
    results = Results("dns-outage", x="requests' latency, percentile", y="ms")
    worth = {}
    for fault in ("", "silent") if setup.quick else ("", "silent", "servfail"):
        name = f"outage, {fault}" if fault else "no outage"
        seconds = (14.0 if fault else 5.0) if setup.quick else 120.0
        setup.say(f"{name}: {seconds:g} s")
        tally, learned = asyncio.run(outage(setup, seconds, fault))
        worth[name] = tally.served_share
        results.rows.append(row(name, tally, learned_s=round(learned, 2)))
        results.figures[name] = str(results.rows[-1])
        results.lines[name] = [(share, tally.percentile(share)) for share in (50, 75, 90, 95, 99, 99.9)]
        if fault:
            results.claim(f"{name}: seconds until a new box is used after it", learned, "<=", 45.0)
            ratio = worth[name] / worth["no outage"]
            results.claim(f"{name}: worth over that of no outage", ratio, ">=", 0.98)
    return results


def asks_over_time(routers: int, seed: int, seconds: int, out: tuple[int, int]) -> Counter[int]:
    """Questions a second of a fleet that starts in one moment; its server is silent from `out[0]` to
    `out[1]`."""
    server = DnsServer()
    server.put("a.plaza.example.", "A", 5, "127.0.0.1")
    where = ("127.0.0.1", 53)
    fleet = [Resolver([where], random.Random(seed * 100_000 + number)) for number in range(routers)]
    events: list[tuple[float, int, int, bytes, int]] = []
    counts: Counter[int] = Counter()
    serial = 0

    def carry(number: int, actions: list[Any], now: float) -> None:
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
        carry(number, resolver.subscribe(dns.name.from_text("a.plaza.example."), dns.rdatatype.A, 0.0), 0.0)
    while events and events[0][0] < seconds:
        now, _, number, wire, lookup = heapq.heappop(events)
        resolver = fleet[number]
        if wire:
            carry(number, resolver.received(lookup, wire, where, now), now)
        elif now >= resolver.next_tick_at():
            carry(number, resolver.tick(now), now)
    return counts


def fuzzed(seed: int, count: int) -> tuple[Counter[str], float]:
    """Answers with octets changed, cut off and made up: what they came to, and the most memory taken in
    MB."""
    rng = random.Random(seed)
    server = DnsServer()
    server.put("a.plaza.example.", "A", 60, *(f"127.0.0.{n}" for n in range(20)))
    question = DnsQuestion(dns.name.from_text("a.plaza.example."), dns.rdatatype.A, 4711, ("127.0.0.1", 53))
    ((_, good),) = server.answers(build_query(question, True), False)
    came: Counter[str] = Counter()
    tracemalloc.start()
    for _ in range(count):
        wire = bytearray(good if rng.random() < 0.8 else good[:2] + rng.randbytes(rng.randrange(1, 600)))
        for _ in range(rng.randrange(1, 9)):
            wire[rng.randrange(2, len(wire))] = rng.randrange(256)
        if rng.random() < 0.3:
            del wire[rng.randrange(len(wire)) :]
        try:
            came[parse_answer(question, bytes(wire), question.server).kind.value] += 1
        except Exception as error:
            came[f"raised {type(error).__name__}"] += 1
    most = tracemalloc.get_traced_memory()[1] / 1e6
    tracemalloc.stop()
    return came, most


def members(setup: Setup) -> Results:
    """A fleet's questions over time, and what a change of the membership costs at three sizes."""
    results = Results("members", x="seconds", y="questions a second")
    routers = 200 if setup.quick else 1000
    counts = asks_over_time(routers, setup.seed, 120, (60, 80))
    results.lines["questions"] = [(float(at), float(counts[at])) for at in range(120)]
    results.rows += [{"second": at, "questions": counts[at]} for at in range(120)]
    for name, begin, end in (("after the start", 10, 60), ("after the outage", 95, 120)):
        span = [counts[at] for at in range(begin, end)]
        results.claim(f"most over mean, {name}", max(span) / float(np.mean(span)), "<=", 1.5)
    results.figures["first second, all at once"] = counts[0]
    results.figures["most in the outage"] = max(counts[at] for at in range(61, 80))
    costs = {}
    for size in (100, 2000, 20_000):
        made = Membership((SourceRule("list"), SourceRule("dns")))
        boxes = [
            ReportedMember(f"b{n}", (f"10.0.{n // 250}.{n % 250}", 9), state=MemberState.READY)
            for n in range(size)
        ]
        made.report("list", boxes, True, 0.0)
        times = []
        for turn in range(300):
            some = [
                replace(box, state=(MemberState.READY, MemberState.DRAINING)[turn % 2]) for box in boxes[:10]
            ]
            began = time.perf_counter()
            made.report("list", some, False, 1.0 + turn)
            times.append((time.perf_counter() - began) * 1e6)
        costs[size] = float(np.median(times))
        results.rows.append({"members": size, "us_for_ten": round(costs[size], 1)})
    came, most = fuzzed(setup.seed, 3000 if setup.quick else 50_000)
    results.figures["spoilt answers, by what they came to"] = dict(came)
    results.claim(
        "spoilt answers that raised", sum(n for w, n in came.items() if w.startswith("raised")), "==", 0
    )
    results.claim("most memory for them, MB", most, "<=", 8.0)
    results.figures["us for a change of ten"] = ", ".join(f"{n}: {cost:.0f}" for n, cost in costs.items())
    results.claim("a change of ten at 20,000 over 100", costs[20_000] / costs[100], "<=", 2.0)
    return results
