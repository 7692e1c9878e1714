"""`python -m paddlequay COMMAND`. Exit 0: done; 1: a claim or a check did not hold; 2: bad use."""

import asyncio
import gc
import sys
from pathlib import Path

import click

from paddlequay.cli.discovery import discovery
from paddlequay.cli.lab import lab
from paddlequay.errors import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli() -> None:
    """The edge router and what stands round it. Without a command: the router of the deploy file."""


def refuse(error: Exception) -> None:
    """Bad use: one line, exit 2."""
    click.echo(f"paddlequay: {error}", err=True)
    sys.exit(2)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a settings file, or placement rules (FILE.rules); an error names file, line and field."""
    from paddlequay.schema.cluster import read_cluster
    from paddlequay.schema.read import parsed, read_settings
    from paddlequay.schema.sources import read_discovery

    try:
        if file.suffix == ".rules":
            return click.echo(check_rules_of(file))
        role = parsed(file)[0].WhichOneof("role")
        if role == "discovery":
            sources = ", ".join(rule.name for rule in read_discovery(file).rules)
            return click.echo(f"{file}: discovery from {sources}: can be used")
        if role == "cluster":
            cluster = read_cluster(file)
            limits = ", ".join(limit.name for limit in cluster.limits) or "none"
            told = f"{len(cluster.acceptors)} acceptors, limits {limits}"
            if cluster.placement_rules is not None:
                click.echo(check_rules_of(cluster.placement_rules))
            return click.echo(f"{file}: cluster {cluster.name}: {told}: can be used")
        settings = read_settings(file)
    except ConfigError as error:
        return refuse(error)
    click.echo(f"{file}: tier {settings.name} of {settings.group}: can be used")


def check_rules_of(path: Path) -> str:
    from paddlequay.placement.checks import check_rules

    return check_rules(path)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
def tier(file: Path) -> None:
    """Run a node in the middle of the hierarchy with the settings in FILE."""
    from paddlequay.cli import logs
    from paddlequay.programs import tier as program

    logs.set_up()
    gc.set_threshold(20_000, 20, 50)
    try:
        asyncio.run(program.serve(file))
    except ConfigError as error:
        refuse(error)


cli.add_command(lab)
cli.add_command(discovery)


def run() -> int:
    """The command line of `python -m paddlequay`."""
    result = cli.main(prog_name="paddlequay", standalone_mode=False)
    return result if isinstance(result, int) else 0


def main() -> int:
    try:
        return run()
    except click.ClickException as error:
        error.show()
        return 2
    except click.Abort:
        return 1
