"""Names the rule by which an address has a member or has none."""

from paddlequay.discovery.flapping import FlapGuard
from paddlequay.discovery.report_index import ReportIndex
from paddlequay.discovery.reports import Explanation, MembershipRule, SourceReport, SourceState
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import Address


def explain_absence(index: ReportIndex, flaps: FlapGuard, address: Address, now: float) -> Explanation:
    """Returns the rule by which an address has no member, with the reason as text for operators.

    Args:
        index: The reports and removals of all sources.
        flaps: The addresses that may not rejoin yet because they flapped.
        address: Host and port.
        now: The time in seconds of the membership's clock.
    """
    reports = index.reports_at(address)
    removal = next(index.removals_at(address, reports), None)
    if removal is not None:
        reason = f"{removal.source} has ended {removal.member.id}"
        return Explanation(MembershipRule.DRAIN, reason)
    if not reports:
        return Explanation(MembershipRule.AUTHORITY, "no source names it")
    paused_until = flaps.paused_until(address, now)
    if paused_until is not None:
        return Explanation(MembershipRule.FLAPPING, f"kept out for {paused_until - now:.0f} s more")
    if any(index.is_shadowed(report) for report in reports):
        return Explanation(MembershipRule.ADDRESS, "an earlier source places the same id elsewhere")
    return Explanation(MembershipRule.AUTHORITY, "only sources that may not add name it")


def find_drain(index: ReportIndex, address: Address, reports: list[SourceReport]) -> Explanation | None:
    """Returns the explanation of a drain that applies to an address; None if no source drains it."""
    drain = None
    for report in index.reports_about(address, reports):
        if report.member.state is MemberState.DRAINING:
            drain = Explanation(MembershipRule.DRAIN, f"{report.source} drains {report.member.id}")
    return drain


def explain_presence(source: SourceState, report: SourceReport, now: float) -> Explanation:
    """Returns why a source's report adds a member: the source is authoritative, or its report is retained."""
    retained = source.explain_retention(report, now)
    return retained or Explanation(MembershipRule.AUTHORITY, f"{report.source} says so")
