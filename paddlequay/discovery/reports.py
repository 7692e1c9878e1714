"""Types of the membership: reports of sources, settings of sources, limits, and changes of members."""

import math
from collections import deque
from dataclasses import dataclass, field, replace
from enum import StrEnum

from paddlequay.errors import PaddlequayError
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import ReportedMember

ReportKey = tuple[str, str]  # source and id


class MembershipRule(StrEnum):
    """The rule that decided on an address; the values are shown to operators."""

    DRAIN = "drain"
    AUTHORITY = "authority"
    RETENTION = "kept"  # the reports of a silent source stay valid for `retain_for`
    MASS_REMOVAL = "mass"
    FLAPPING = "flapping"
    ADDRESS = "address"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why an address has a member or none: the rule that decided, and the reason as text for operators."""

    rule: MembershipRule
    reason: str


@dataclass(frozen=True, slots=True)
class SourceRule:
    """The settings of one source. Sources are ordered by priority: the first wins a contradiction."""

    name: str
    may_add: bool = True
    retain_for: float = 300.0  # seconds for which the reports of a silent source stay valid
    silent_after: float = 10.0  # seconds without a heartbeat after which the source is silent


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Limits of the membership: times are seconds, shares are fractions from 0 to 1."""

    max_members: int = 20_000  # of one source
    mass_share: float = 0.3  # share of a source's members beyond which omissions are a mass removal
    mass_window: float = 10.0  # over which omissions are counted together
    min_mass: int = 3  # omitting fewer members is never a mass removal
    confirm_after: float = 30.0  # after which an omission in a mass removal takes effect
    expiry_interval: float = 2.0  # between two expiries of reports of the same silent source
    max_flaps: int = 3  # additions with their removals in `flap_window`; more start a pause
    flap_window: float = 60.0
    flap_pause: float = 5.0  # first pause of a flapping member; doubles each time
    max_flap_pause: float = 300.0


@dataclass(slots=True, eq=False)
class SourceReport:
    """The report of one source on one id; `reported_at` and `missing_since` are seconds of one clock."""

    member: ReportedMember
    source: str
    reported_at: float
    missing_since: float | None = None  # when its source began to omit it; not confirmed yet

    def as_removed(self) -> "SourceReport":
        """Returns a report of the member's removal, by the same source at the same time."""
        removed = replace(self.member, state=MemberState.REMOVED)
        return SourceReport(removed, self.source, self.reported_at)


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A member as it is now (`REMOVED` if it left), with the rule and the reason of the change."""

    member: ReportedMember
    rule: MembershipRule
    reason: str


@dataclass(slots=True)
class SourceState:
    """The reports of one source, and when it was last heard."""

    rule: SourceRule
    priority: int
    last_heard_at: float = -math.inf
    has_reported: bool = False
    reports: dict[str, SourceReport] = field(default_factory=dict)
    omissions: deque[tuple[float, str]] = field(default_factory=deque)
    rejected_reports: int = 0
    expired_at: float = -math.inf

    def is_live(self, now: float) -> bool:
        """Returns whether the source has reported or sent a heartbeat within `silent_after` seconds."""
        return now - self.last_heard_at <= self.rule.silent_after

    def record_omissions(self, ids: list[str], limits: MembershipLimits, now: float) -> bool:
        """Records the ids that a full report omits.

        Returns:
            Whether the omissions within `mass_window` are a mass removal: so many members that a fault of
            the source is more likely than their removal.
        """
        omissions = self.omissions
        while omissions and now - omissions[0][0] > limits.mass_window:
            omissions.popleft()
        newly_omitted = [id for id in ids if self.reports[id].missing_since is None]
        missing_count = len(omissions) + len(newly_omitted)
        removed_count = sum(id not in self.reports for _, id in omissions)
        total_count = max(1, len(self.reports) + removed_count)
        omissions.extend((now, id) for id in newly_omitted)
        return missing_count >= limits.min_mass and missing_count > limits.mass_share * total_count

    def explain_retention(self, report: SourceReport, now: float) -> Explanation | None:
        """Returns the rule by which an omitted or outdated report is still valid; None for a current one."""
        if report.missing_since is not None:
            reason = f"{report.source} leaves it out since {now - report.missing_since:.0f} s"
            return Explanation(MembershipRule.MASS_REMOVAL, reason)
        if not self.is_live(now):
            reason = f"{report.source} is silent since {now - self.last_heard_at:.0f} s"
            return Explanation(MembershipRule.RETENTION, reason)
        return None


class TooManyMembersError(PaddlequayError, ValueError):
    """A source reports more than `max_members` members; the report is not applied."""
