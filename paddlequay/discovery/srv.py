"""Maps SRV records to members (RFC 2782).

A service is a name such as `_cache._tcp.zone.example`. Its priorities are fallback tiers, its weights are
shares, and the target `.` means that the service is not offered. The addresses of its targets are looked up,
each with a lifetime of its own, and their TXT records if the settings say so. The ids of the members stay the
same when addresses change.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

import dns.name
import dns.rdatatype
from dns.rdtypes.ANY.TXT import TXT
from dns.rdtypes.IN.A import A
from dns.rdtypes.IN.AAAA import AAAA
from dns.rdtypes.IN.SRV import SRV

from paddlequay.discovery.answers import Name
from paddlequay.discovery.reports import Address, ReportedMember
from paddlequay.discovery.resolver_types import RecordSetKnown, RecordType
from paddlequay.routing.interface import MemberState

MAX_TARGETS = 2000  # of one service
ADDRESS_KINDS = (dns.rdatatype.A, dns.rdatatype.AAAA)
MIN_WEIGHT_RATIO = 0.01  # of the mean weight, for a weight of 0 among others (RFC 2782)
MAX_ID_NAME_CHARS = 56  # of a target's name in its member id
MAX_CELL_DIGITS = 6
MAX_START_TIME_DIGITS = 11
FIELD = re.compile(r"(zone|cell|kind|started)=([A-Za-z0-9_.-]{1,64})")


@dataclass(frozen=True, slots=True)
class Service:
    """One service, and where the attributes of its members come from.

    Attributes:
        name: The name of the SRV records.
        kind: The kind of its members, unless their names or TXT records give it.
        zone: The zone of its members, likewise.
        naming: A pattern of targets' names whose named groups give zone, cell and kind, such as
            `(?P<zone>[a-z]+)-box-.*`.
        txt: Whether the TXT records of targets are looked up for these as well.
        family: The addresses looked up: `v4`, `v6`, or `both` (IPv4 if there is one).
    """

    name: Name
    kind: str
    zone: str | None = None
    naming: re.Pattern[str] | None = None
    txt: bool = False
    family: str = "v4"


@dataclass(frozen=True, slots=True)
class TierLimits:
    """When to fall back to the next priority, and when to return.

    Attributes:
        fall_below: The share of resolved targets below which a tier is left.
        return_above: The share of resolved targets at which a tier is used again.
        return_after: For how many seconds that share must last.
    """

    fall_below: float = 0.5
    return_above: float = 0.75
    return_after: float = 30.0


@dataclass(slots=True)
class Target:
    """The target of one SRV record, and its address if it is known."""

    srv: SRV
    address: Address | None = None


@dataclass(slots=True)
class Tier:
    """The targets of one priority."""

    priority: int
    targets: list[Target] = field(default_factory=list)

    @property
    def resolved_share(self) -> float:
        """The share of its targets that have an address, from 0 to 1."""
        return sum(target.address is not None for target in self.targets) / max(1, len(self.targets))


def member_id(name: Name, port: int) -> str:
    """Returns the id of a target among the members."""
    text = name.to_text(omit_final_dot=True).lower()
    return f"{re.sub(r'[^a-z0-9-]', '_', text)[:MAX_ID_NAME_CHARS]}_{port}"


class ServiceWatch:
    """Follows one service: tells which record sets it needs, and derives its members from them.

    Memory is bounded by `MAX_TARGETS`. The needed record sets change only with the SRV records.

    Attributes:
        srv: What is known of the SRV records.
        sets: What is known of the targets' record sets.
        tiers: The targets by priority, the best first.
        chosen_addresses: The address of each member, kept while it is among the answers.
        active: The index of the tier in use.
        recovered_since: Since when a better tier is resolved well enough, in seconds; None if none is.
        cut: The number of targets beyond `MAX_TARGETS`, which are ignored.
        not_offered: Whether the SRV records say that the service does not exist.
    """

    def __init__(self, service: Service, limits: TierLimits | None = None) -> None:
        self.service = service
        self.limits = limits or TierLimits()
        self.srv: RecordSetKnown | None = None
        self.sets: dict[tuple[Name, RecordType], RecordSetKnown] = {}
        self.tiers: list[Tier] = []
        self.chosen_addresses: dict[str, Address] = {}
        self.active = 0
        self.recovered_since: float | None = None
        self.cut = 0
        self.not_offered = False

    def required_names(self) -> set[tuple[Name, RecordType]]:
        """Returns the record sets that the service needs now."""
        required: set[tuple[Name, RecordType]] = {(self.service.name.canonicalize(), dns.rdatatype.SRV)}
        kinds: list[RecordType] = []
        if self.service.family in ("v4", "both"):
            kinds.append(dns.rdatatype.A)
        if self.service.family in ("v6", "both"):
            kinds.append(dns.rdatatype.AAAA)
        if self.service.txt:
            kinds.append(dns.rdatatype.TXT)
        for tier in self.tiers:
            for target in tier.targets:
                required.update((target.srv.target.canonicalize(), kind) for kind in kinds)
        return required

    def update(self, known: RecordSetKnown) -> bool:
        """Handles a changed record set; returns whether the service uses it."""
        key = (known.name, known.type)
        if key == (self.service.name.canonicalize(), dns.rdatatype.SRV):
            if known.records is None and self.srv is not None and known.until <= self.srv.until:
                return False
            self.srv = known
            self.build_tiers(known)
            return True
        if key not in self.required_names():
            return False
        self.sets[key] = known
        return True

    def build_tiers(self, known: RecordSetKnown) -> None:
        """Groups the targets of the SRV records by priority."""
        records = [record.data for record in known.records or () if isinstance(record.data, SRV)]
        # A single record with the target `.` means that the service does not exist (RFC 2782).
        self.not_offered = len(records) == 1 and records[0].target == dns.name.root
        records = [srv for srv in records if srv.target != dns.name.root and srv.port]
        self.cut = max(0, len(records) - MAX_TARGETS)
        records.sort(key=lambda srv: (srv.priority, srv.target, srv.port))
        by_priority: dict[int, Tier] = {}
        known_names: set[tuple[Name, int]] = set()
        for srv in records[:MAX_TARGETS]:
            if (srv.target, srv.port) not in known_names:
                known_names.add((srv.target, srv.port))
                by_priority.setdefault(srv.priority, Tier(srv.priority)).targets.append(Target(srv))
        self.tiers = list(by_priority.values())
        if self.active >= len(self.tiers):
            self.active = max(0, len(self.tiers) - 1)
        names = {target.srv.target.canonicalize() for tier in self.tiers for target in tier.targets}
        self.sets = {key: value for key, value in self.sets.items() if key[0] in names}

    def members(self, now: float) -> list[ReportedMember]:
        """Returns the members of the tier in use."""
        for tier in self.tiers:
            for target in tier.targets:
                target.address = self.address(target.srv)
        self.choose_tier(now)
        if not self.tiers:
            return []
        tier = self.tiers[self.active]
        total_weight = sum(target.srv.weight for target in tier.targets)
        mean_weight = total_weight / len(tier.targets)
        members = []
        for target in tier.targets:
            if target.address is None:
                continue
            # Relative to the mean: the weights of one service must not outweigh those of another source.
            weight = max(MIN_WEIGHT_RATIO, target.srv.weight / mean_weight) if total_weight else 1.0
            members.append(self.member(target, target.address, weight))
        ids = {member.id for member in members}
        self.chosen_addresses = {id: at for id, at in self.chosen_addresses.items() if id in ids}
        return members

    def address(self, srv: SRV) -> Address | None:
        """Returns the address of a target: the previous one if it is still an answer, else the lowest."""
        id = member_id(srv.target, srv.port)
        hosts = self.resolved_hosts(srv.target.canonicalize())
        if not hosts:
            self.chosen_addresses.pop(id, None)
            return None
        previous = self.chosen_addresses.get(id)
        is_still_resolved = previous is not None and previous[0] in hosts
        chosen = previous if previous is not None and is_still_resolved else (hosts[0], srv.port)
        self.chosen_addresses[id] = chosen
        return chosen

    def resolved_hosts(self, name: Name) -> list[str]:
        """Returns the sorted addresses of a name: IPv4 if there are any, else IPv6."""
        for kind in ADDRESS_KINDS:
            known = self.sets.get((name, kind))
            records = known.records if known is not None else None
            hosts = sorted(each.data.address for each in records or () if isinstance(each.data, A | AAAA))
            if hosts:
                return hosts
        return []

    def choose_tier(self, now: float) -> None:
        """Chooses the tier in use: leaves one at once, and returns only after the recovery has lasted."""
        better = self.recovered_tier()
        if better is None:
            self.recovered_since = None
        elif self.recovered_since is None:
            self.recovered_since = now
        elif now - self.recovered_since >= self.limits.return_after:
            self.active = better
            self.recovered_since = None
        while (worse := self.fallback_tier()) is not None:
            self.active = worse
            self.recovered_since = None

    def recovered_tier(self) -> int | None:
        """Returns the best tier above the one in use with enough resolved targets; None if there is none."""
        for place, tier in enumerate(self.tiers[: self.active]):
            if tier.resolved_share >= self.limits.return_above:
                return place
        return None

    def fallback_tier(self) -> int | None:
        """Returns the tier to fall back to; None if the one in use is better than the next resolved one."""
        if self.active + 1 >= len(self.tiers):
            return None
        share = self.tiers[self.active].resolved_share
        if share >= self.limits.fall_below:
            return None
        for place in range(self.active + 1, len(self.tiers)):
            next_share = self.tiers[place].resolved_share
            if next_share > 0:
                return place if next_share >= share else None
        return None

    def member(self, target: Target, address: Address, weight: float) -> ReportedMember:
        """Returns a target as a member, with the attributes given by its name and TXT records."""
        attributes: dict[str, str] = {}
        text = target.srv.target.to_text(omit_final_dot=True).lower()
        if self.service.naming is not None:
            match = self.service.naming.match(text)
            if match is not None:
                attributes.update({name: value for name, value in match.groupdict().items() if value})
        known = self.sets.get((target.srv.target.canonicalize(), dns.rdatatype.TXT))
        if known is not None:
            attributes.update(txt_fields(known))
        cell = attributes.get("cell", "")
        started = attributes.get("started", "")
        return ReportedMember(
            id=member_id(target.srv.target, target.srv.port),
            address=address,
            kind=attributes.get("kind", self.service.kind),
            zone=attributes.get("zone", self.service.zone),
            cell=int(cell) if cell.isdigit() and len(cell) <= MAX_CELL_DIGITS else None,
            weight=weight,
            started=float(started) if started.isdigit() and len(started) <= MAX_START_TIME_DIGITS else None,
            state=MemberState.READY,
        )


def txt_fields(known: RecordSetKnown) -> Iterable[tuple[str, str]]:
    """Returns the known `name=value` words of TXT records, and ignores all others."""
    for record in known.records or ():
        if isinstance(record.data, TXT):
            for piece in record.data.strings:
                for token in piece.decode("ascii", "replace").split():
                    match = FIELD.fullmatch(token)
                    if match is not None:
                        yield match[1], match[2]
