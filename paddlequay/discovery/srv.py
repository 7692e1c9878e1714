"""Maps SRV records to members (RFC 2782).

A service is a name such as `_cache._tcp.zone.example`. The priorities of its records are fallback tiers, the
weights are shares of the load, and the target `.` means that the service is not offered. The address records
of the targets are looked up as well, each set with its own lifetime, and the TXT records if the settings say
so. The id of a member stays the same when its address changes.
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
from paddlequay.discovery.resolver_types import RecordSetUpdate, RecordType
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import Address, ReportedMember

MAX_TARGETS = 2000  # of one service
ADDRESS_TYPES = (dns.rdatatype.A, dns.rdatatype.AAAA)
MIN_WEIGHT_RATIO = 0.01  # of the mean weight, for a weight of 0 (RFC 2782)
MAX_ID_NAME_CHARS = 56  # of a target's name in its member id
MAX_CELL_DIGITS = 6
MAX_START_TIME_DIGITS = 11
TXT_FIELD = re.compile(r"(zone|cell|kind|started)=([A-Za-z0-9_.-]{1,64})")


@dataclass(frozen=True, slots=True)
class Service:
    """The settings of one service.

    Attributes:
        name: The name of the SRV records.
        kind: The kind of its members, unless a target's name or TXT records give another.
        zone: The zone of its members, unless a target's name or TXT records give another.
        naming: A pattern for the names of targets, whose named groups give zone, cell and kind, such as
            `(?P<zone>[a-z]+)-box-.*`.
        txt: Whether the TXT records of targets are looked up, which give attributes as well.
        family: The addresses that are looked up: `v4`, `v6` or `both` (IPv4 is preferred).
    """

    name: Name
    kind: str
    zone: str | None = None
    naming: re.Pattern[str] | None = None
    txt: bool = False
    family: str = "v4"


@dataclass(frozen=True, slots=True)
class TierLimits:
    """When to fall back to a tier of lower preference, and when to return.

    Attributes:
        fall_below: The share of resolved targets below which the tier in use is left.
        return_above: The share of resolved targets from which a better tier may be used again.
        return_after: For how many seconds the better tier must keep that share.
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
    """The targets of one SRV priority."""

    priority: int
    targets: list[Target] = field(default_factory=list)

    @property
    def resolved_share(self) -> float:
        """The share of targets that have an address, from 0 to 1."""
        return sum(target.address is not None for target in self.targets) / max(1, len(self.targets))


def member_id(name: Name, port: int) -> str:
    """Returns the member id of a target."""
    text = name.to_text(omit_final_dot=True).lower()
    return f"{re.sub(r'[^a-z0-9-]', '_', text)[:MAX_ID_NAME_CHARS]}_{port}"


class ServiceWatch:
    """Follows one service: determines which record sets it needs, and derives its members from them.

    `MAX_TARGETS` bounds its memory. The set of required names changes only with the SRV records.

    Attributes:
        srv: The last announced state of the SRV records.
        record_sets: The last announced state of the record sets of targets.
        tiers: The targets by priority, the best first.
        chosen_addresses: The address of each member id; it is retained while it is among the answers.
        active_tier: The index of the tier in use.
        recovered_since: Since when a better tier has enough resolved targets, in seconds; None if none has.
        ignored_target_count: The number of targets beyond `MAX_TARGETS`, which are ignored.
        not_offered: Whether the SRV records say that the service does not exist.
    """

    def __init__(self, service: Service, limits: TierLimits | None = None) -> None:
        self.service = service
        self.limits = limits or TierLimits()
        self.srv: RecordSetUpdate | None = None
        self.record_sets: dict[tuple[Name, RecordType], RecordSetUpdate] = {}
        self.tiers: list[Tier] = []
        self.chosen_addresses: dict[str, Address] = {}
        self.active_tier = 0
        self.recovered_since: float | None = None
        self.ignored_target_count = 0
        self.not_offered = False

    def required_names(self) -> set[tuple[Name, RecordType]]:
        """Returns the record sets that the service needs now."""
        required: set[tuple[Name, RecordType]] = {(self.service.name.canonicalize(), dns.rdatatype.SRV)}
        record_types: list[RecordType] = []
        if self.service.family in ("v4", "both"):
            record_types.append(dns.rdatatype.A)
        if self.service.family in ("v6", "both"):
            record_types.append(dns.rdatatype.AAAA)
        if self.service.txt:
            record_types.append(dns.rdatatype.TXT)
        for tier in self.tiers:
            for target in tier.targets:
                required.update((target.srv.target.canonicalize(), kind) for kind in record_types)
        return required

    def update(self, record_set: RecordSetUpdate) -> bool:
        """Applies an announced record set; returns whether the service uses it."""
        key = (record_set.name, record_set.type)
        if key == (self.service.name.canonicalize(), dns.rdatatype.SRV):
            if record_set.records is None and self.srv is not None and record_set.until <= self.srv.until:
                return False
            self.srv = record_set
            self.build_tiers(record_set)
            return True
        if key not in self.required_names():
            return False
        self.record_sets[key] = record_set
        return True

    def build_tiers(self, record_set: RecordSetUpdate) -> None:
        """Groups the targets of the SRV records by priority."""
        records = [record.data for record in record_set.records or () if isinstance(record.data, SRV)]
        # A single record with the target `.` means that the service does not exist (RFC 2782).
        self.not_offered = len(records) == 1 and records[0].target == dns.name.root
        records = [srv for srv in records if srv.target != dns.name.root and srv.port]
        self.ignored_target_count = max(0, len(records) - MAX_TARGETS)
        records.sort(key=lambda srv: (srv.priority, srv.target, srv.port))
        by_priority: dict[int, Tier] = {}
        seen_targets: set[tuple[Name, int]] = set()
        for srv in records[:MAX_TARGETS]:
            if (srv.target, srv.port) not in seen_targets:
                seen_targets.add((srv.target, srv.port))
                by_priority.setdefault(srv.priority, Tier(srv.priority)).targets.append(Target(srv))
        self.tiers = list(by_priority.values())
        if self.active_tier >= len(self.tiers):
            self.active_tier = max(0, len(self.tiers) - 1)
        names = {target.srv.target.canonicalize() for tier in self.tiers for target in tier.targets}
        self.record_sets = {key: value for key, value in self.record_sets.items() if key[0] in names}

    def members(self, now: float) -> list[ReportedMember]:
        """Returns the members of the tier in use."""
        for tier in self.tiers:
            for target in tier.targets:
                target.address = self.address(target.srv)
        self.choose_tier(now)
        if not self.tiers:
            return []
        tier = self.tiers[self.active_tier]
        total_weight = sum(target.srv.weight for target in tier.targets)
        mean_weight = total_weight / len(tier.targets)
        members = []
        for target in tier.targets:
            if target.address is None:
                continue
            # Relative to the mean, so that one service does not outweigh the members of other sources.
            weight = max(MIN_WEIGHT_RATIO, target.srv.weight / mean_weight) if total_weight else 1.0
            members.append(self.member(target, target.address, weight))
        ids = {member.id for member in members}
        self.chosen_addresses = {id: at for id, at in self.chosen_addresses.items() if id in ids}
        return members

    def address(self, srv: SRV) -> Address | None:
        """Returns the address of a target: the previous one while it is still resolved, else the lowest."""
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
        for kind in ADDRESS_TYPES:
            record_set = self.record_sets.get((name, kind))
            records = record_set.records if record_set is not None else None
            hosts = sorted(each.data.address for each in records or () if isinstance(each.data, A | AAAA))
            if hosts:
                return hosts
        return []

    def choose_tier(self, now: float) -> None:
        """Chooses the tier in use: falls back at once, returns after `return_after` seconds of recovery."""
        better = self.recovered_tier()
        if better is None:
            self.recovered_since = None
        elif self.recovered_since is None:
            self.recovered_since = now
        elif now - self.recovered_since >= self.limits.return_after:
            self.active_tier = better
            self.recovered_since = None
        while (fallback := self.fallback_tier()) is not None:
            self.active_tier = fallback
            self.recovered_since = None

    def recovered_tier(self) -> int | None:
        """Returns the index of the best recovered tier above the one in use; None if there is none."""
        for index, tier in enumerate(self.tiers[: self.active_tier]):
            if tier.resolved_share >= self.limits.return_above:
                return index
        return None

    def fallback_tier(self) -> int | None:
        """Returns the index of the tier to fall back to; None if the one in use suffices or is better."""
        if self.active_tier + 1 >= len(self.tiers):
            return None
        share = self.tiers[self.active_tier].resolved_share
        if share >= self.limits.fall_below:
            return None
        for index in range(self.active_tier + 1, len(self.tiers)):
            next_share = self.tiers[index].resolved_share
            if next_share > 0:
                return index if next_share >= share else None
        return None

    def member(self, target: Target, address: Address, weight: float) -> ReportedMember:
        """Returns a target as a member, with the attributes from its name and TXT records."""
        attributes: dict[str, str] = {}
        text = target.srv.target.to_text(omit_final_dot=True).lower()
        if self.service.naming is not None:
            match = self.service.naming.match(text)
            if match is not None:
                attributes.update({name: value for name, value in match.groupdict().items() if value})
        record_set = self.record_sets.get((target.srv.target.canonicalize(), dns.rdatatype.TXT))
        if record_set is not None:
            attributes.update(txt_fields(record_set))
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


def txt_fields(record_set: RecordSetUpdate) -> Iterable[tuple[str, str]]:
    """Yields the name and value of each known `name=value` token of TXT records; ignores other tokens."""
    for record in record_set.records or ():
        if isinstance(record.data, TXT):
            for piece in record.data.strings:
                for token in piece.decode("ascii", "replace").split():
                    match = TXT_FIELD.fullmatch(token)
                    if match is not None:
                        yield match[1], match[2]
