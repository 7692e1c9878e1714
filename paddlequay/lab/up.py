"""`lab up`: drives load on one zone, with a topology change and a purge, and prints a table."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from paddlequay.lab.zone_cluster import ZoneCluster, ZonePlan


def table(rows: list[tuple[str, str]]) -> str:
    """Returns names and values as aligned lines."""
    width = max(len(name) for name, _ in rows)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in rows)


async def drive(
    seconds: float, rate: float, seed: int, folder: Path, say: Callable[[str], None]
) -> tuple[str, bool]:
    """Drives load on a zone for some seconds.

    Returns:
        The table, and whether more than 90% of the requests were served, no body was wrong and no charge
        ran twice.
    """
    cluster = ZoneCluster(ZonePlan(rate=rate, seed=seed), folder)
    plan = cluster.plan
    say(f"starting {plan.routers} routers, {plan.boxes} boxes, {plan.tiers + plan.regional} tiers, one store")
    try:
        await cluster.up()
        say(f"driving {rate:g} requests a second for {seconds:g} s, with a change of shape half-way")
        running = asyncio.ensure_future(cluster.load.run(seconds))
        await asyncio.sleep(seconds / 2)
        await cluster.change(cluster.random_change())
        await cluster.purge(cluster.load.video[0])
        summary = await running
        pages = await cluster.pages()
    finally:
        await cluster.down()
    asked = sum(summary.asked.values())
    charges = cluster.origin.charges
    repeated_charges = sum(count > 1 for count in charges.values())
    second_fills = cluster.second_fills()
    rows = [
        ("asked", f"{asked}  ({', '.join(f'{k} {n}' for k, n in sorted(summary.asked.items()))})"),
        ("answers", ", ".join(f"{verdict} {count}" for verdict, count in summary.verdicts.most_common())),
        ("worth served in time", f"{summary.served_share:.3f}"),
        ("latency", f"p50 {summary.percentile(50):.1f} ms, p99 {summary.percentile(99):.1f} ms"),
        ("spoilt answers", str(summary.wrong_body_count)),
        (
            "fills at the store",
            f"{len(cluster.origin.fills)}, second ones of a video part {len(second_fills)}",
        ),
        ("charges", f"{sum(charges.values())} run, {repeated_charges} twice"),
    ]
    for name, page in pages.items():
        shares = ", ".join(f"{share:.2f}" for share in page["home_shares"].values())
        rows.append(
            (
                name,
                f"version {page['version']}, {page['copies']} copies, homes {shares}, "
                f"loops {page['loops_found']}, rings {page['rings_refused']}",
            )
        )
    passed = (
        summary.wrong_body_count == 0 and repeated_charges == 0 and summary.verdicts["served"] > 0.9 * asked
    )
    return table(rows), passed
