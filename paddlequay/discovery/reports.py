"""What sources say of members: reports, the rules by which they count, and the changes that follow."""

import math
from collections import deque
from dataclasses import dataclass, field, replace

from paddlequay.errors import PaddlequayError
from paddlequay.routing.interface import MemberState

Address = tuple[str, int]
ReportKey = tuple[str, str]  # source and id


@dataclass(frozen=True, slots=True)
class ReportedMember:
    """What a source says of one member. `started` is Unix seconds; None where the source does not know."""

    id: str
    address: Address
    kind: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    started: float | None = None
    state: MemberState = MemberState.READY


@dataclass(frozen=True, slots=True)
class SourceRule:
    """How a source counts. Sources are ordered: the first one wins where two say different things."""

    name: str
    adds: bool = True
    retain_for: float = 300.0  # seconds for which its reports hold once it is silent
    silent_after: float = 10.0  # seconds without a sign of life after which it is silent


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Bounds and times in seconds, shares in 0 to 1."""

    max_members: int = 20_000  # reports of one source
    mass_share: float = 0.3
    mass_window: float = 10.0
    min_mass: int = 3  # fewer members than these are no mass removal
    confirm_after: float = 30.0
    expiry_interval: float = 2.0  # between two members that leave as their source's reports have expired
    max_flaps: int = 3
    flap_window: float = 60.0
    flap_pause: float = 5.0
    max_flap_pause: float = 300.0


@dataclass(slots=True, eq=False)
class SourceReport:
    """One source's report of one id."""

    member: ReportedMember
    source: str
    reported_at: float
    missing_since: float | None = None  # left out by its source, not confirmed yet

    def as_removed(self) -> "SourceReport":
        """The same report, of the member's removal."""
        removed = replace(self.member, state=MemberState.REMOVED)
        return SourceReport(removed, self.source, self.reported_at)


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """What exchange and pool are to know: a member as it is now; `REMOVED` where it left."""

    member: ReportedMember
    rule: str
    reason: str


@dataclass(slots=True)
class SourceState:
    """What is known of one source."""

    rule: SourceRule
    priority: int
    last_heard_at: float = -math.inf
    has_reported: bool = False
    reports: dict[str, SourceReport] = field(default_factory=dict)
    omissions: deque[tuple[float, str]] = field(default_factory=deque)
    rejected_reports: int = 0
    expired_at: float = -math.inf

    def is_live(self, now: float) -> bool:
        """Whether it has given a sign of life within `silent_after` seconds."""
        return now - self.last_heard_at <= self.rule.silent_after

    def record_omissions(self, ids: list[str], limits: MembershipLimits, now: float) -> bool:
        """Record that it leaves these ids out; whether so many within the window that a fault is likelier."""
        omissions = self.omissions
        while omissions and now - omissions[0][0] > limits.mass_window:
            omissions.popleft()
        fresh = [id for id in ids if self.reports[id].missing_since is None]
        missing = len(omissions) + len(fresh)
        total = max(1, len(self.reports) + sum(id not in self.reports for _, id in omissions))
        omissions.extend((now, id) for id in fresh)
        return missing >= limits.min_mass and missing > limits.mass_share * total

    def doubt(self, report: SourceReport, now: float) -> tuple[str, str] | None:
        """The rule by which its doubtful report holds all the same, and why; None for others."""
        if report.missing_since is not None:
            return "mass", f"{report.source} leaves it out since {now - report.missing_since:.0f} s"
        if not self.is_live(now):
            return "kept", f"{report.source} is silent since {now - self.last_heard_at:.0f} s"
        return None


class TooManyMembersError(PaddlequayError, ValueError):
    """More members than are kept; the report is not applied."""
