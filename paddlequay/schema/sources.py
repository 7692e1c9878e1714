"""The settings of discovery, checked: which sources of members there are, and how each is believed."""

import math
import re
from dataclasses import dataclass
from pathlib import Path

import dns.exception
import dns.name

from paddlequay.config.values import Address, address
from paddlequay.discovery.reports import MembershipLimits, SourceRule
from paddlequay.discovery.srv import Service
from paddlequay.errors import ConfigError
from paddlequay.schema import paddlequay_pb2 as schema
from paddlequay.schema.read import Lines, parsed

SERVICES_MOST = 64
SERVERS_MOST = 8
SOURCES = {schema.Source.BULLETIN: "list", schema.Source.DNS: "dns", schema.Source.KEPT: "kept"}


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """What a router is told of its sources."""

    rules: tuple[SourceRule, ...]
    servers: tuple[Address, ...]
    services: tuple[Service, ...]
    folder: Path | None
    limits: MembershipLimits


def read_discovery(path: Path) -> DiscoverySettings:
    """ConfigError with file, line and field where the settings cannot be used."""
    message, lines = parsed(path)
    if message.WhichOneof("role") != "discovery":
        raise ConfigError(f"{path}: expected discovery {{ ... }}")
    told = message.discovery

    def positive(value: float, field: str, default: float, most: float = math.inf) -> float:
        if value == 0:
            return default
        if not 0 < value <= most or math.isinf(value):
            raise lines.error(field, f"expected a number above 0, got {value:g}", f"{value:g}")
        return value

    rules: list[SourceRule] = []
    for place, source in enumerate(told.source):
        at = f"discovery.source[{place}]"
        name = SOURCES[source.type]
        if name in {rule.name for rule in rules}:
            raise lines.error(f"{at}.type", "stands there twice")
        keep = positive(source.keep_s, f"{at}.keep_s", 300.0)
        silent = positive(source.silent_s, f"{at}.silent_s", 10.0)
        rules.append(SourceRule(name, not source.only_drains, keep, silent))
    names = {rule.name for rule in rules}
    if not any(rule.adds and rule.name != "kept" for rule in rules):
        raise lines.error("discovery.source", "expected one that takes members in")
    if ("dns" in names) != bool(told.service) or ("dns" in names) != bool(told.server):
        raise lines.error("discovery.service", "a source of type DNS needs services and servers, and they it")
    if ("kept" in names) != bool(told.folder):
        raise lines.error("discovery.folder", "a source of type KEPT needs a folder, and a folder needs it")
    if len(told.service) > SERVICES_MOST or len(told.server) > SERVERS_MOST:
        raise lines.error("discovery", f"at most {SERVICES_MOST} services and {SERVERS_MOST} servers")
    servers = []
    for text in told.server:
        try:
            servers.append(address(text, "server"))
        except ConfigError as error:
            raise lines.error("discovery.server", str(error).split(": ", 1)[-1], text) from None
    mass = told.mass_removal
    return DiscoverySettings(
        rules=tuple(rules),
        servers=tuple(servers),
        services=tuple(
            service(each, f"discovery.service[{n}]", lines) for n, each in enumerate(told.service)
        ),
        folder=path.parent / told.folder if told.folder else None,
        limits=MembershipLimits(
            mass_share=positive(mass.share, "discovery.mass_removal.share", 0.3, 1.0),
            mass_window=positive(mass.window_s, "discovery.mass_removal.window_s", 10.0),
            confirm_after=positive(mass.confirm_s, "discovery.mass_removal.confirm_s", 30.0),
        ),
    )


def service(told: schema.Service, at: str, lines: Lines) -> Service:
    try:
        name = dns.name.from_text(told.name)
    except (dns.exception.DNSException, UnicodeError) as error:
        why = f"no name of DNS: {type(error).__name__}"
        raise lines.error(f"{at}.name", why, told.name) from None
    if len(name.labels) < 3:
        raise lines.error(f"{at}.name", f"expected _service._proto.zone, got {told.name!r}", told.name)
    if not told.kind:
        raise lines.error(f"{at}.kind", "is missing")
    if told.family not in ("", "v4", "v6", "both"):
        raise lines.error(f"{at}.family", f"expected v4, v6 or both, got {told.family!r}", told.family)
    naming = None
    if told.naming:
        try:
            naming = re.compile(told.naming)
        except re.error as error:
            raise lines.error(f"{at}.naming", f"{error}", told.naming) from None
        if len(told.naming) > 200 or not set(naming.groupindex) <= {"zone", "cell", "kind"}:
            raise lines.error(f"{at}.naming", "expected groups named zone, cell, kind only", told.naming)
    return Service(name, told.kind, told.zone or None, naming, told.txt, told.family or "v4")
