"""Explains to operators what each source reports about a member, and which rule decided on it."""

from typing import Any

from paddlequay.discovery.address_rules import explain_absence
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import MembershipChange, SourceReport, SourceState
from paddlequay.routing.membership_state import Address

MAX_SHOWN_MEMBERS = 2000  # members on one page of the console


def explain(membership: Membership, id: str, now: float) -> list[str]:
    """Returns one line for each report on an id or at one of its addresses, and one for each address."""
    index = membership.index
    addresses = set(index.addresses_by_id.get(id, ()))
    if id in membership.address_by_id:
        addresses.add(membership.address_by_id[id])
    removals = (report for (_, name), report in index.removals.items() if name == id)
    addresses.update(report.member.address for report in removals)
    lines: list[str] = []
    for address in sorted(addresses):
        lines += explain_address(membership, address, now)
    return lines or [f"{id}: no source has named it"]


def explain_address(membership: Membership, address: Address, now: float) -> list[str]:
    """Returns one line for each report at an address, and one for the member there or its absence."""
    where = f"{address[0]}:{address[1]}"
    index = membership.index
    reports = index.reports_at(address)
    lines = [f"{where} {explain_report(membership, report, now)}" for report in reports]
    for removal in index.removals_at(address, reports):
        age = now - removal.reported_at
        lines.append(f"{where} {removal.source}: {removal.member.id} ended {age:.0f} s ago")
    change = membership.decide(address, now)
    if change is None:
        absence = explain_absence(index, membership.flaps, address, now)
        return [*lines, f"{where} is not a member by {absence.rule}: {absence.reason}"]
    state = change.member.state.value
    return [*lines, f"{where} is {change.member.id} {state} by {change.rule}: {change.reason}"]


def explain_report(membership: Membership, report: SourceReport, now: float) -> str:
    """Returns a line on one report: its source, whether the source is live, the state and the age."""
    live = "live" if membership.sources[report.source].is_live(now) else "silent"
    missing = "" if report.missing_since is None else f", left out for {now - report.missing_since:.0f} s"
    member = report.member
    age = now - report.reported_at
    return f"{report.source} ({live}): {member.id} {member.state.value}, told {age:.0f} s ago{missing}"


def membership_page(membership: Membership, now: float) -> dict[str, Any]:
    """Returns the console's page with all sources and the first `MAX_SHOWN_MEMBERS` members."""
    changes = list(membership.members.values())
    return {
        "sources": {name: source_page(source, now) for name, source in membership.sources.items()},
        "count": len(changes),
        "members": [member_page(change) for change in changes[:MAX_SHOWN_MEMBERS]],
    }


def source_page(source: SourceState, now: float) -> dict[str, Any]:
    """Returns the entry of one source on the console's page."""
    return {
        "live": source.is_live(now),
        "words": len(source.reports),
        "heard_s_ago": round(now - source.last_heard_at, 1) if source.has_reported else None,
        "left_out": sum(report.missing_since is not None for report in source.reports.values()),
        "refused": source.rejected_reports,
    }


def member_page(change: MembershipChange) -> dict[str, Any]:
    """Returns the entry of one member on the console's page."""
    return {
        "id": change.member.id,
        "at": f"{change.member.address[0]}:{change.member.address[1]}",
        "state": change.member.state.value,
        "rule": change.rule,
        "why": change.reason,
    }
