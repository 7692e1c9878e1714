"""The command line `python -m paddlequay COMMAND`.

Exit codes: 0 for success, 1 if a lookup finds no members or an assertion of an experiment fails, 2 for
errors.
"""

import asyncio
import gc
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn

import click

from paddlequay.cli.discovery import discovery
from paddlequay.cli.lab import lab
from paddlequay.errors import ConfigError


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli() -> None:
    """Run the edge router's tools. Without a command, the router itself runs, configured by environment."""


def exit_with_error(error: Exception) -> NoReturn:
    """Prints an error as one line and exits with code 2."""
    click.echo(f"paddlequay: {error}", err=True)
    sys.exit(2)


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check a settings file, or placement rules (FILE.rules); an error names file, line and field."""
    try:
        for line in check_lines(file):
            click.echo(line)
    except ConfigError as error:
        exit_with_error(error)


def check_lines(file: Path) -> Iterator[str]:
    """Yields the lines that describe a valid file; raises `ConfigError` if it is invalid."""
    from paddlequay.placement.checks import check_rules
    from paddlequay.schema.cluster import read_cluster
    from paddlequay.schema.discovery import read_discovery
    from paddlequay.schema.text_settings import parse_settings
    from paddlequay.schema.tier import read_tier

    if file.suffix == ".rules":
        yield check_rules(file)
        return
    message, _ = parse_settings(file)
    match message.WhichOneof("role"):
        case "discovery":
            sources = ", ".join(rule.name for rule in read_discovery(file).rules)
            yield f"{file}: discovery from {sources}: can be used"
        case "cluster":
            settings = read_cluster(file)
            if settings.placement_rules is not None:
                yield check_rules(settings.placement_rules)
            limits = ", ".join(limit.name for limit in settings.limits) or "none"
            summary = f"{len(settings.acceptors)} acceptors, limits {limits}"
            yield f"{file}: cluster {settings.name}: {summary}: can be used"
        case _:
            tier_settings = read_tier(file)
            yield f"{file}: tier {tier_settings.name} of {tier_settings.group}: can be used"


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
def tier(file: Path) -> None:
    """Run a tier node of the hierarchy with the settings in FILE."""
    from paddlequay.cli import logs
    from paddlequay.programs import tier as program

    logs.set_up()
    gc.set_threshold(20_000, 20, 50)
    try:
        asyncio.run(program.serve(file))
    except ConfigError as error:
        exit_with_error(error)


cli.add_command(lab)
cli.add_command(discovery)


def run() -> int:
    """Runs the command line; returns the exit code."""
    result = cli.main(prog_name="paddlequay", standalone_mode=False)
    return result if isinstance(result, int) else 0


def main() -> int:
    """Runs the command line and prints usage errors; returns the exit code."""
    try:
        return run()
    except click.ClickException as error:
        error.show()
        return 2
    except click.Abort:
        return 1
