"""From SRV records to members (RFC 2782).

Priorities are fall-back tiers, weights are shares, `.` is "not offered". A service is a name such as
`_cache._tcp.zone.example`. Its targets are looked up for their addresses, each with a lifetime of its own,
and for a TXT record where that is set. What comes out is a list of members with ids that stay as they are
when addresses change.
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
LIGHT = 0.01  # of the mean: a weight of 0 among others gets hardly anything (RFC 2782), and is not left out
FIELD = re.compile(r"(zone|cell|kind|started)=([A-Za-z0-9_.-]{1,64})")


@dataclass(frozen=True, slots=True)
class Service:
    """One service to follow, and how its boxes are described.

    `naming`: a pattern over a target's name whose named groups give zone, cell and kind, such as
    `(?P<zone>[a-z]+)-box-.*`. `txt`: whether the target's TXT record is looked up for these as well.
    """

    name: Name
    kind: str
    zone: str | None = None
    naming: re.Pattern[str] | None = None
    txt: bool = False
    family: str = "v4"  # v4, v6, or both: the first that has an address


@dataclass(frozen=True, slots=True)
class TierLimits:
    """When to fall back to the next priority and when to return; shares of a tier's targets, seconds."""

    fall_below: float = 0.5
    return_above: float = 0.75
    return_after: float = 30.0


@dataclass(slots=True)
class Target:
    """One SRV record's target, and where it is found."""

    srv: SRV
    address: Address | None = None


@dataclass(slots=True)
class Tier:
    """The targets of one priority."""

    priority: int
    targets: list[Target] = field(default_factory=list)

    @property
    def resolved_share(self) -> float:
        """The share of its targets that have an address."""
        return sum(target.address is not None for target in self.targets) / max(1, len(self.targets))


def member_id(name: Name, port: int) -> str:
    """The id of a target among members."""
    text = name.to_text(omit_final_dot=True).lower()
    return f"{re.sub(r'[^a-z0-9-]', '_', text)[:56]}_{port}"


class ServiceWatch:
    """One service: which sets it wants looked up, and the boxes that these come to.

    Bounds: `TARGETS_MOST` targets. The sets wanted change only when the SRV set does.
    """

    def __init__(self, service: Service, limits: TierLimits | None = None) -> None:
        self.service = service
        self.limits = limits or TierLimits()
        self.srv: RecordSetKnown | None = None
        self.sets: dict[tuple[Name, RecordType], RecordSetKnown] = {}
        self.tiers: list[Tier] = []
        self.chosen_addresses: dict[
            str, Address
        ] = {}  # the address that each id had, kept while it is among the answers
        self.active = 0
        self.recovered_since: float | None = None
        self.cut = 0  # targets past the bound
        self.not_offered = False

    def required_names(self) -> set[tuple[Name, RecordType]]:
        """The record sets that it needs now."""
        wanted: set[tuple[Name, RecordType]] = {(self.service.name.canonicalize(), dns.rdatatype.SRV)}
        kinds: list[RecordType] = []
        if self.service.family in ("v4", "both"):
            kinds.append(dns.rdatatype.A)
        if self.service.family in ("v6", "both"):
            kinds.append(dns.rdatatype.AAAA)
        if self.service.txt:
            kinds.append(dns.rdatatype.TXT)
        for tier in self.tiers:
            for target in tier.targets:
                wanted.update((target.srv.target.canonicalize(), kind) for kind in kinds)
        return wanted

    def update(self, known: RecordSetKnown) -> bool:
        """A record set has changed; whether it is one of the service's."""
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
        """Targets by priority, from the SRV records."""
        records = [record.data for record in known.records or () if isinstance(record.data, SRV)]
        # One record with the target `.` says that the service is decidedly not there.
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
        """The members that the service gives now, by the tier in use."""
        for tier in self.tiers:
            for target in tier.targets:
                target.address = self.address(target.srv)
        self.choose_tier(now)
        if not self.tiers:
            return []
        tier = self.tiers[self.active]
        total = sum(target.srv.weight for target in tier.targets)
        mean = total / len(tier.targets)
        members = []
        for target in tier.targets:
            if target.address is None:
                continue
            # Shares about 1: weights of one service must not outweigh those of another source.
            weight = 1.0 if not total else max(LIGHT, target.srv.weight / mean)
            members.append(self.member(target, target.address, weight))
        ids = {member.id for member in members}
        self.chosen_addresses = {id: at for id, at in self.chosen_addresses.items() if id in ids}
        return members

    def address(self, srv: SRV) -> Address | None:
        """The address of a target: the one it had if that is still an answer, else the least."""
        name, id = srv.target.canonicalize(), member_id(srv.target, srv.port)
        found: list[str] = []
        for kind in ADDRESS_KINDS:
            known = self.sets.get((name, kind))
            if known is not None and known.records:
                found = sorted(r.data.address for r in known.records if isinstance(r.data, A | AAAA))
                if found:
                    break
        if not found:
            self.chosen_addresses.pop(id, None)
            return None
        before = self.chosen_addresses.get(id)
        chosen = before if before is not None and before[0] in found else (found[0], srv.port)
        self.chosen_addresses[id] = chosen
        return chosen

    def choose_tier(self, now: float) -> None:
        """Choose the priority in use.

        Down as soon as too few targets are found, up only once that has lasted.
        """
        limits = self.limits
        better = next(
            (
                n
                for n, tier in enumerate(self.tiers[: self.active])
                if tier.resolved_share >= limits.return_above
            ),
            None,
        )
        if better is None:
            self.recovered_since = None
        elif self.recovered_since is None:
            self.recovered_since = now
        elif now - self.recovered_since >= limits.return_after:
            self.active, self.recovered_since = better, None
        while (
            self.active + 1 < len(self.tiers) and self.tiers[self.active].resolved_share < limits.fall_below
        ):
            worse = [n for n in range(self.active + 1, len(self.tiers)) if self.tiers[n].resolved_share > 0]
            if not worse or self.tiers[worse[0]].resolved_share < self.tiers[self.active].resolved_share:
                break  # nothing better below: a few of the first are worth more than none of the next
            self.active, self.recovered_since = worse[0], None

    def member(self, target: Target, address: Address, weight: float) -> ReportedMember:
        """A target as a member, with what its name and TXT records say."""
        attributes: dict[str, str] = {}
        text = target.srv.target.to_text(omit_final_dot=True).lower()
        if self.service.naming is not None:
            match = self.service.naming.match(text)
            if match is not None:
                attributes.update({name: value for name, value in match.groupdict().items() if value})
        known = self.sets.get((target.srv.target.canonicalize(), dns.rdatatype.TXT))
        if known is not None:
            attributes.update(txt_fields(known))
        cell, started = attributes.get("cell", ""), attributes.get("started", "")
        return ReportedMember(
            id=member_id(target.srv.target, target.srv.port),
            address=address,
            kind=attributes.get("kind", self.service.kind),
            zone=attributes.get("zone", self.service.zone),
            cell=int(cell) if cell.isdigit() and len(cell) < 7 else None,
            weight=weight,
            started=float(started) if started.isdigit() and len(started) < 12 else None,
            state=MemberState.READY,
        )


def txt_fields(known: RecordSetKnown) -> Iterable[tuple[str, str]]:
    """`name=value` words of TXT records that mean something here; all else in them is ignored."""
    for record in known.records or ():
        if isinstance(record.data, TXT):
            for piece in record.data.strings:
                for token in piece.decode("ascii", "replace").split():
                    match = FIELD.fullmatch(token)
                    if match is not None:
                        yield match[1], match[2]
