"""The commands `paddlequay discovery`: look up a service as the router does, and explain a member."""

import asyncio
import sys
import urllib.error
import urllib.parse
import urllib.request

import click

from paddlequay.config.values import Address

MAX_PORT = 65_535
CONSOLE_TIMEOUT_S = 5


@click.group()
def discovery() -> None:
    """Show where a router's members come from."""


def parse_address(text: str) -> Address:
    """Returns host and port of `host:port`; raises `click.BadParameter`."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise click.BadParameter(f"expected host:port, got {text!r}")
    return host, int(port)


@discovery.command()
@click.argument("name")
@click.option("--server", "servers", multiple=True, required=True, help="host:port of a DNS server")
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(0.1, 60))
def resolve(name: str, servers: tuple[str, ...], seconds: float) -> None:
    """Look up the SRV service NAME and its targets; exit 1 if that yields no members."""
    import dns.exception

    from paddlequay.cli.lookups import ServiceLookup

    try:
        lookup = ServiceLookup(name, map(parse_address, servers))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise click.BadParameter(f"{name[:80]!r}: {type(error).__name__}") from None
    asyncio.run(lookup.run(seconds))
    members = lookup.members()
    for line in lookup.describe():
        click.echo(line)
    for member in members:
        click.echo(f"{member.id} {member.address[0]}:{member.address[1]} weight {member.weight:g}")
    sys.exit(0 if members else 1)


@discovery.command()
@click.argument("id")
@click.option("--console", required=True, help="host:port of a router's console")
def explain(id: str, console: str) -> None:
    """Print what each source reports about member ID, and which rule decides."""
    host, port = parse_address(console)
    url = f"http://{host}:{port}/-/members/{urllib.parse.quote(id, safe='')}"
    try:
        with urllib.request.urlopen(url, timeout=CONSOLE_TIMEOUT_S) as answer:
            click.echo(answer.read().decode(), nl=False)
    except urllib.error.HTTPError as error:
        click.echo(f"paddlequay: {console}: {error.code} {error.read().decode().strip()}", err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"paddlequay: {console}: {error}", err=True)
        sys.exit(2)
