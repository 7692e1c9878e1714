"""`paddlequay discovery`: look a service up as the router would, and ask a router why a box is a member."""

import asyncio
import random
import sys
import time
import urllib.error
import urllib.parse
import urllib.request

import click


@click.group()
def discovery() -> None:
    """Where a router's members come from."""


def server_of(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
        raise click.BadParameter(f"expected host:port, got {text!r}")
    return host, int(port)


@discovery.command()
@click.argument("name")
@click.option("--server", "servers", multiple=True, required=True, help="host:port of a DNS server")
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(0.1, 60))
def resolve(name: str, servers: tuple[str, ...], seconds: float) -> None:
    """Look up the SRV service NAME and its targets; exit 1 where that comes to nothing."""
    import dns.exception
    import dns.name

    from paddlequay.discovery.resolver import Resolver
    from paddlequay.discovery.resolver_types import RecordSetKnown, RecordType
    from paddlequay.discovery.srv import Service, ServiceWatch
    from paddlequay.net.endpoints.dns import ResolverDriver
    from paddlequay.observability.counters import Counters

    try:
        service = ServiceWatch(Service(dns.name.from_text(name), "box"))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise click.BadParameter(f"{name[:80]!r}: {type(error).__name__}") from None
    resolver = Resolver(map(server_of, servers), random.SystemRandom())
    found: list[RecordSetKnown] = []

    async def look() -> None:
        driver = ResolverDriver(resolver, Counters(), time.monotonic, found.append)
        running = asyncio.ensure_future(driver.run())
        wanted: set[tuple[dns.name.Name, RecordType]] = set()
        end = time.monotonic() + seconds
        heard = 0
        while time.monotonic() < end:
            for key in service.required_names() - wanted:
                wanted.add(key)
                driver.execute(resolver.subscribe(*key, time.monotonic()))
            for known in found[heard:]:
                service.update(known)
            heard = len(found)
            if wanted == service.required_names() and {(known.name, known.type) for known in found} >= wanted:
                break
            await asyncio.sleep(0.01)
        running.cancel()
        driver.close()

    asyncio.run(look())
    now = time.monotonic()
    for known in found:
        left = (
            f"{max(0.0, known.until - now):.0f} s"
            if known.records is not None
            else f"nothing: {known.reason}"
        )
        click.echo(f"{known.name} {known.type.name} {left}")
        for record in known.records or ():
            click.echo(f"    {record.data}")
    boxes = service.members(now)
    if service.not_offered:
        click.echo("the service is not offered here")
    for box in boxes:
        click.echo(f"{box.id} {box.address[0]}:{box.address[1]} weight {box.weight:g}")
    sys.exit(0 if boxes else 1)


@discovery.command()
@click.argument("id")
@click.option("--console", required=True, help="host:port of a router's console")
def explain(id: str, console: str) -> None:
    """Which source said what of member ID, and which rule won."""
    host, port = server_of(console)
    url = f"http://{host}:{port}/-/members/{urllib.parse.quote(id, safe='')}"
    try:
        with urllib.request.urlopen(url, timeout=5) as answer:
            click.echo(answer.read().decode(), nl=False)
    except urllib.error.HTTPError as error:
        click.echo(f"paddlequay: {console}: {error.code} {error.read().decode().strip()}", err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"paddlequay: {console}: {error}", err=True)
        sys.exit(2)
