"""The commands `paddlequay lab`: run a small zone, and run experiments with assertions."""

import asyncio
import sys
import tempfile
from pathlib import Path

import click


@click.group()
def lab() -> None:
    """Run trials on this machine; all traffic stays on the loopback interface."""


@lab.command()
@click.option(
    "--seconds", default=8.0, show_default=True, type=click.FloatRange(1, 600), help="duration of the traffic"
)
@click.option("--rate", default=150.0, show_default=True, type=click.FloatRange(1, 2000), help="requests/s")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 1 << 31))
def up(seconds: float, rate: float, seed: int) -> None:
    """Start a small zone, drive requests through it, change its topology once, and print a table."""
    from paddlequay.lab.up import drive

    with tempfile.TemporaryDirectory(prefix="paddlequay-") as folder:
        table, succeeded = asyncio.run(drive(seconds, rate, seed, Path(folder), click.echo))
    click.echo(table)
    sys.exit(0 if succeeded else 1)


EXPERIMENTS = (
    "cluster",
    "cluster-model",
    "discovery",
    "dns-outage",
    "fleet",
    "hierarchy",
    "homes",
    "members",
    "model",
    "placement",
    "tables",
)


@lab.command("run")
@click.argument("name", type=click.Choice(EXPERIMENTS))
@click.option("--quick", is_flag=True, help="take at most 40 seconds")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 1 << 31))
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="folder for the results")
@click.option(
    "--base",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="root of a git worktree with an earlier version to compare with",
)
def run_experiment(name: str, quick: bool, seed: int, out: Path | None, base: Path | None) -> None:
    """Run experiment NAME; exit 0 if all its assertions hold, else 1."""
    from paddlequay.lab import (
        cluster,
        cluster_model,
        fleet,
        hierarchy_experiment,
        hierarchy_search_experiment,
        homes,
        placement,
        sources,
        tables,
    )
    from paddlequay.lab.claims import Setup

    folder = out or Path(tempfile.mkdtemp(prefix=f"paddlequay-{name}-"))
    setup = Setup(quick, seed, folder, click.echo)
    experiments = {
        "cluster": cluster.run,
        "cluster-model": cluster_model.run,
        "discovery": sources.discovery,
        "dns-outage": sources.dns_outage,
        "fleet": fleet.run,
        "hierarchy": hierarchy_experiment.run,
        "members": sources.members,
        "model": hierarchy_search_experiment.run,
        "placement": placement.run,
        "tables": tables.run,
    }
    results = homes.run(setup, base) if name == "homes" else experiments[name](setup)
    click.echo(results.text())
    try:
        results.write(folder)
    except OSError as error:
        click.echo(f"paddlequay: {folder}: {error.strerror}", err=True)
        sys.exit(2)
    click.echo(f"written to {folder}")
    sys.exit(0 if results.kept else 1)
