"""Why nothing stands at an address: the rule that decides it, and what operators read."""

from paddlequay.discovery.flapping import FlapGuard
from paddlequay.discovery.report_index import ReportIndex
from paddlequay.discovery.reports import Address


def reason_for_absence(index: ReportIndex, flaps: FlapGuard, address: Address, now: float) -> tuple[str, str]:
    """The rule by which nothing stands at an address, and why."""
    reports = index.reports_at(address)
    for removal in index.removals_at(address, reports):
        return "drain", f"{removal.source} has ended {removal.member.id}"
    paused_until = flaps.paused_until(address, now)
    if reports and paused_until is not None:
        return "flapping", f"kept out for {paused_until - now:.0f} s more"
    if any(index.is_shadowed(report) for report in reports):
        return "address", "an earlier source places the same id elsewhere"
    if reports:
        return "authority", "only sources that may not add name it"
    return "authority", "no source names it"
