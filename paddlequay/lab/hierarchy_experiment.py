"""`lab run hierarchy`: routers and tiers on loopback while the topology changes; the origin counts fills."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from paddlequay.lab.claims import Results, Setup
from paddlequay.lab.load import LoadSummary
from paddlequay.lab.zone_cluster import RepeatedStep, ZoneCluster, ZonePlan

PURGE_INTERVAL_S = 1.0
PURGED_OBJECTS_COUNT = 20
# Ratio of a warm tier's capacity to its mean load in the plain run; the specification gives 1.1 to 1.6.
CAPACITY_FACTOR = 1.35
COLD_SHARE = 0.062  # share of its full capacity that a tier has when it starts
WARM_AFTER_S = 20
WINDOW_S = 2.0
COUNTERS = (
    "node.loops_found",
    "node.loops_cut",
    "node.rings_refused",
    "node.claims_believed",
    "node.detours",
    "node.late",
    "bad_trails",
)


@dataclass(frozen=True, slots=True)
class RunPlan:
    """One run of the experiment; intervals in seconds, 0 for never."""

    name: str
    change_interval_s: float = 0.0
    death_interval_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunRecord:
    """The results of one run: the load summary, the zone and the counters of each tier."""

    summary: LoadSummary
    cluster: ZoneCluster
    counters: dict[str, dict[str, int]]


async def drive(setup: Setup, plan: RunPlan, seconds: float, down_s: float) -> RunRecord:
    """Drives a zone for some seconds; a killed tier is started again after `down_s`."""
    folder = setup.folder / "runs" / plan.name.replace(" ", "-")
    cluster = ZoneCluster(ZonePlan(seed=setup.seed), folder)
    await cluster.up()
    victims = [name for name in cluster.tiers if name.startswith("aimag")]
    death_count = 0

    async def purge() -> None:
        await cluster.purge(cluster.load.video[int(cluster.rng.integers(PURGED_OBJECTS_COUNT))])

    async def change() -> None:
        await cluster.change(cluster.random_change())

    async def kill_and_revive() -> None:
        nonlocal death_count
        victim = victims[death_count % len(victims)]
        death_count += 1
        await cluster.kill(victim)
        await asyncio.sleep(down_s)
        await cluster.revive(victim)

    steps = [RepeatedStep(PURGE_INTERVAL_S, purge)]
    if plan.change_interval_s:
        steps.append(RepeatedStep(plan.change_interval_s, change))
    if plan.death_interval_s:
        steps.append(RepeatedStep(plan.death_interval_s, kill_and_revive))
    running = [asyncio.ensure_future(step.run()) for step in steps]
    try:
        summary = await cluster.load.run(seconds)
    finally:
        for task in running:
            task.cancel()
        await cluster.down()
    counters = {name: exit_counters(folder / f"{name}.log") for name in cluster.tiers}
    return RunRecord(summary, cluster, counters)


def exit_counters(path: Path) -> dict[str, int]:
    """Returns the counters that a tier logged at its exit, summed over all its runs."""
    counters: dict[str, int] = {}
    for line in path.read_text().splitlines():
        if "event=counters" in line and "why=exit" in line:
            for pair in line.split():
                key, _, value = pair.partition("=")
                if value.isdigit():
                    counters[key] = counters.get(key, 0) + int(value)
    return counters


def report(results: Results, name: str, record: RunRecord) -> None:
    """Adds a run's row, figures and line of fills to the results."""
    summary = record.summary
    cluster = record.cluster
    origin = cluster.origin
    row: dict[str, Any] = {
        "run": name,
        "asked": sum(summary.asked.values()),
        "served": summary.verdicts["served"],
        "worth": round(summary.served_share, 4),
        "p50_ms": round(summary.percentile(50), 1),
        "p99_ms": round(summary.percentile(99), 1),
        "spoilt": summary.wrong_body_count,
        "store_fills": len(origin.fills),
        "second_fills": len(cluster.second_fills()),
        "versions": cluster.topology.version,
        "charges_twice": sum(count > 1 for count in origin.charges.values()),
    }
    for counter in COUNTERS:
        total = sum(counts.get(counter, 0) for counts in record.counters.values())
        row[counter.removeprefix("node.")] = total
    results.rows.append(row)
    results.figures[name] = ", ".join(f"{key} {value}" for key, value in row.items() if key != "run")
    started_at = origin.fills[0].at if origin.fills else time.time()
    fills: dict[int, int] = {}
    for fill in origin.fills:
        second = int(fill.at - started_at)
        fills[second] = fills.get(second, 0) + 1
    results.lines[name] = [(float(second), float(count)) for second, count in sorted(fills.items())]


def cold_peak(plain: ZoneCluster, with_deaths: ZoneCluster) -> float:
    """Returns the greatest ratio of the fills from a cold tier within 2 s to its capacity at that time."""
    fills = [
        (at, source)
        for edge_cache in plain.edge_caches
        for at, source in edge_cache.fill_sources
        if source.startswith("aimag")
    ]
    span_s = max(1.0, fills[-1][0] - fills[0][0]) if fills else 1.0
    mean_load = len(fills) / plain.plan.tiers / span_s * WINDOW_S
    capacity = CAPACITY_FACTOR * max(1.0, mean_load)
    peak = 0.0
    for started_at, name in with_deaths.revived:
        for age_s in range(WARM_AFTER_S):
            share = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (age_s + 1) / WARM_AFTER_S)
            window_start = started_at + age_s
            fill_count = sum(
                source == name and window_start <= at < window_start + WINDOW_S
                for edge_cache in with_deaths.edge_caches
                for at, source in edge_cache.fill_sources
            )
            peak = max(peak, fill_count / (share * capacity))
    return peak


def run(setup: Setup) -> Results:
    """Carries out the runs, one after another, and returns their figures and assertions."""
    results = Results("hierarchy", x="seconds", y="fills a second at the store")
    seconds = 6.0 if setup.quick else 120.0
    down_s = 1.0 if setup.quick else 4.0
    plans = (
        RunPlan("plain"),
        RunPlan("every 10 s", 2.0 if setup.quick else 10.0),
        RunPlan("every second", 0.5 if setup.quick else 1.0),
        RunPlan("deaths", *((2.0, 1.5) if setup.quick else (10.0, 10.0))),
    )
    records: dict[str, RunRecord] = {}
    for plan in plans:
        setup.say(f"{plan.name}: {seconds:g} s")
        records[plan.name] = asyncio.run(drive(setup, plan, seconds, down_s))
        report(results, plan.name, records[plan.name])
    add_assertions(results, records)
    return results


def add_assertions(results: Results, records: dict[str, RunRecord]) -> None:
    """Adds the assertions on all runs to the results."""
    plain_share = records["plain"].summary.served_share
    for row in results.rows:
        name = row["run"]
        has_deaths = name == "deaths"
        if name != "plain":
            over_plain = row["worth"] / plain_share
            results.claim(f"{name}: worth over that of the plain run", over_plain, ">=", 0.97)
        if not has_deaths:
            results.claim(f"{name}: second fills of an object and purge", row["second_fills"], "==", 0)
        spoilt = row["spoilt"] + row["charges_twice"]
        results.claim(f"{name}: spoilt answers, charges run twice", spoilt, "==", 0)
        max_late = 20 if has_deaths else 0
        results.claim(f"{name}: left waiting at a tier until too late", row["late"], "<=", max_late)
    peak = cold_peak(records["plain"].cluster, records["deaths"].cluster)
    results.claim("deaths: most asked of a cold tier over what it can do", peak, "<=", 2.0)
    stopped = sum(row["loops_found"] + row["loops_cut"] + row["rings_refused"] for row in results.rows)
    results.claim("loops and rings found and stopped", stopped, ">=", 1)
