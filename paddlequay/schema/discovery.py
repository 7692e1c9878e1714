"""Reads the settings of discovery: the member sources by precedence, and how far each one is trusted."""

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
from paddlequay.schema.text_settings import FieldChecker, parse_role

MAX_SERVICES = 64
MAX_SERVERS = 8
MAX_NAMING_CHARS = 200
MIN_SERVICE_LABELS = 3  # _service._proto.zone
SOURCES = {schema.Source.BULLETIN: "list", schema.Source.DNS: "dns", schema.Source.KEPT: "kept"}
ADDRESS_FAMILIES = ("", "v4", "v6", "both")
NAMING_GROUPS = {"zone", "cell", "kind"}


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """The settings of discovery; members are saved in `folder`, or not at all if it is None."""

    rules: tuple[SourceRule, ...]
    servers: tuple[Address, ...]
    services: tuple[Service, ...]
    folder: Path | None
    limits: MembershipLimits


def read_discovery(path: Path) -> DiscoverySettings:
    """Returns the settings in a file; raises `ConfigError` with file, line and field."""
    message, checker = parse_role(path, "discovery")
    discovery = message.discovery
    rules = read_sources(discovery, checker)
    check_sources(discovery, rules, checker)
    servers = tuple(read_server(text, checker) for text in discovery.server)
    services = tuple(
        read_service(service, f"discovery.service[{index}]", checker)
        for index, service in enumerate(discovery.service)
    )
    return DiscoverySettings(
        rules=rules,
        servers=servers,
        services=services,
        folder=path.parent / discovery.folder if discovery.folder else None,
        limits=read_mass_removal(discovery.mass_removal, checker),
    )


def read_sources(discovery: schema.Discovery, checker: FieldChecker) -> tuple[SourceRule, ...]:
    """Returns the rules of the sources; each type may occur once."""
    rules: list[SourceRule] = []
    for index, source in enumerate(discovery.source):
        where = f"discovery.source[{index}]"
        name = SOURCES[source.type]
        if name in {rule.name for rule in rules}:
            raise checker.error(f"{where}.type", "this type of source is listed more than once")
        retain_for = checker.positive(source.keep_s, f"{where}.keep_s", 300.0)
        silent_after = checker.positive(source.silent_s, f"{where}.silent_s", 10.0)
        rules.append(SourceRule(name, not source.only_drains, retain_for, silent_after))
    return tuple(rules)


def check_sources(discovery: schema.Discovery, rules: tuple[SourceRule, ...], checker: FieldChecker) -> None:
    """Checks that each source has the settings it needs, and that no settings lack their source."""
    names = {rule.name for rule in rules}
    if not any(rule.may_add and rule.name != "kept" for rule in rules):
        raise checker.error("discovery.source", "expected at least one source besides KEPT that adds members")
    uses_dns = "dns" in names
    if uses_dns != bool(discovery.service) or uses_dns != bool(discovery.server):
        why = "a source of type DNS, services and servers are only allowed together"
        raise checker.error("discovery.service", why)
    if ("kept" in names) != bool(discovery.folder):
        why = "a source of type KEPT and a folder are only allowed together"
        raise checker.error("discovery.folder", why)
    if len(discovery.service) > MAX_SERVICES or len(discovery.server) > MAX_SERVERS:
        raise checker.error(
            "discovery", f"expected at most {MAX_SERVICES} services and {MAX_SERVERS} servers"
        )


def read_server(text: str, checker: FieldChecker) -> Address:
    """Returns the address of a DNS server."""
    try:
        return address(text, "server")
    except ConfigError as error:
        raise checker.error("discovery.server", str(error).split(": ", 1)[-1], text) from None


def read_mass_removal(message: schema.MassRemoval, checker: FieldChecker) -> MembershipLimits:
    """Returns the membership limits; only those for mass removals can be configured."""
    return MembershipLimits(
        mass_share=checker.positive(message.share, "discovery.mass_removal.share", 0.3, 1.0),
        mass_window=checker.positive(message.window_s, "discovery.mass_removal.window_s", 10.0),
        confirm_after=checker.positive(message.confirm_s, "discovery.mass_removal.confirm_s", 30.0),
    )


def read_service(message: schema.Service, where: str, checker: FieldChecker) -> Service:
    """Returns one SRV service."""
    try:
        name = dns.name.from_text(message.name)
    except (dns.exception.DNSException, UnicodeError) as error:
        why = f"invalid DNS name: {type(error).__name__}"
        raise checker.error(f"{where}.name", why, message.name) from None
    if len(name.labels) < MIN_SERVICE_LABELS:
        why = f"expected _service._proto.zone, got {message.name!r}"
        raise checker.error(f"{where}.name", why, message.name)
    if not message.kind:
        raise checker.error(f"{where}.kind", "is missing")
    if message.family not in ADDRESS_FAMILIES:
        why = f"expected v4, v6 or both, got {message.family!r}"
        raise checker.error(f"{where}.family", why, message.family)
    naming = read_naming(message.naming, f"{where}.naming", checker) if message.naming else None
    return Service(name, message.kind, message.zone or None, naming, message.txt, message.family or "v4")


def read_naming(pattern: str, field: str, checker: FieldChecker) -> re.Pattern[str]:
    """Returns the pattern that extracts zone, cell and kind from the names of targets."""
    try:
        naming = re.compile(pattern)
    except re.error as error:
        raise checker.error(field, f"{error}", pattern) from None
    if len(pattern) > MAX_NAMING_CHARS or not set(naming.groupindex) <= NAMING_GROUPS:
        raise checker.error(
            field,
            f"expected at most {MAX_NAMING_CHARS} characters, and only groups named zone, cell, kind",
            pattern,
        )
    return naming
