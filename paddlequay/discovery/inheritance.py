"""Exports what a membership was told, and lets another one take it over.

The other one is that of a successor process, or one with other sources. What a source told stays told: its
drains, removals, omissions under way and pauses continue as if nothing had been replaced.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import replace

from paddlequay.discovery.flapping import FlapHistory
from paddlequay.discovery.membership import Membership, Touched
from paddlequay.discovery.reports import (
    MembershipChange,
    MembershipRule,
    SourceReport,
    SourceState,
)
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import (
    Address,
    FlapRecord,
    MembershipState,
    ReportedMember,
    ReportRecord,
    StartRecord,
)


def inherit_state(
    membership: Membership, state: MembershipState, now: float, later_sources: Collection[str] = ()
) -> list[MembershipChange]:
    """Takes over the state of an earlier membership.

    The reports of a source of both are replaced by those of the earlier membership. If the own reports of a
    source are later, or the state has only withdrawals of it, what they do not contradict is added: removals
    of ids that they do not name, and the time since when an omitted member is omitted.

    Args:
        membership: The membership that takes over.
        state: What the earlier membership was told.
        now: The time in Unix seconds; later times of the state count as now.
        later_sources: The names of the sources whose own reports are later than those of the state.

    Returns:
        The changes of the membership that follow.
    """
    touched: Touched = {}
    membership.start_times.recovered |= {
        start.id: ReportedMember(start.id, start.address, started=start.started) for start in state.starts
    }
    if state.first_report_at is not None:
        membership.start_times.first_report_at = min(state.first_report_at, now)
    replaced = replace_sources(membership, state, now, later_sources, touched)
    for record in state.reports:
        source = membership.sources.get(record.source)
        if source is not None and record.source in replaced:
            add_report(membership, source, record, now, touched)
        elif source is not None:
            add_consistent_part(membership, source, record, now, touched)
    for name in replaced:
        restore_omissions(membership, membership.sources[name], now)
    removed = take_out_paused(membership, state.flaps, now)
    changes = membership.update_members(touched, now)
    restore_histories(membership, state.flaps, now)
    return [*removed, *changes]


def replace_sources(
    membership: Membership,
    state: MembershipState,
    now: float,
    later_sources: Collection[str],
    touched: Touched,
) -> set[str]:
    """Drops the own reports of the sources that the state replaces; returns the names of these sources."""
    replaced = set()
    for name, last_heard_at in state.last_heard_at:
        source = membership.sources.get(name)
        if source is not None and name not in later_sources:
            forget_reports(membership, source, touched)
            source.last_heard_at = min(last_heard_at, now)
            source.has_reported = True
            replaced.add(name)
    return replaced


def forget_reports(membership: Membership, source: SourceState, touched: Touched) -> None:
    """Drops the reports and removals of a source."""
    for report in source.reports.values():
        membership.detach(report, touched)
        membership.index.remember_dropped(report)
    source.reports.clear()
    source.omissions.clear()
    removals = membership.index.removals
    for key in [key for key in removals if key[0] == source.rule.name]:
        touched[removals[key].member.address] = None
        membership.index.forget_removal(key)


def add_report(
    membership: Membership, source: SourceState, record: ReportRecord, now: float, touched: Touched
) -> None:
    """Adds a report or a removal of a source whose own reports were dropped."""
    report = inherited_report(record, now)
    touched[report.member.address] = None
    touched.update(dict.fromkeys(membership.index.addresses_by_id.get(report.member.id, ())))
    if report.member.state is MemberState.REMOVED:
        membership.index.record_removal(report)
        return
    source.reports[report.member.id] = report
    membership.index.attach(report)
    schedule_confirmation(membership, report)


def add_consistent_part(
    membership: Membership, source: SourceState, record: ReportRecord, now: float, touched: Touched
) -> None:
    """Adds the part of an earlier report that the later reports of the same source do not contradict."""
    report = inherited_report(record, now)
    known = source.reports.get(report.member.id)
    if known is None and report.member.state is MemberState.REMOVED:
        if (record.source, report.member.id) not in membership.index.removals:
            membership.index.record_removal(report)
            touched[report.member.address] = None
            touched.update(dict.fromkeys(membership.index.addresses_by_id.get(report.member.id, ())))
    elif known is not None and known.missing_since is not None and report.missing_since is not None:
        known.missing_since = min(known.missing_since, report.missing_since)
        schedule_confirmation(membership, known)


def inherited_report(record: ReportRecord, now: float) -> SourceReport:
    """Returns the report of a record, with no time after now."""
    missing_since = None if record.missing_since is None else min(record.missing_since, now)
    return SourceReport(record.member, record.source, min(record.reported_at, now), missing_since)


def schedule_confirmation(membership: Membership, report: SourceReport) -> None:
    """Schedules the evaluation of an omitted member at the time at which its omission may take effect."""
    if report.missing_since is not None:
        confirmed_at = report.missing_since + membership.limits.confirm_after
        membership.timers.schedule(confirmed_at, report.member.address)


def restore_omissions(membership: Membership, source: SourceState, now: float) -> None:
    """Counts the omissions of the last `mass_window` seconds, so that further ones are counted with them."""
    since = now - membership.limits.mass_window
    omitted = [
        (report.missing_since, id)
        for id, report in source.reports.items()
        if report.missing_since is not None and report.missing_since >= since
    ]
    source.omissions = deque(sorted(omitted))


def take_out_paused(
    membership: Membership, flaps: Iterable[FlapRecord], now: float
) -> list[MembershipChange]:
    """Removes the members at addresses that the earlier membership held back; returns the removals."""
    changes = []
    for record in flaps:
        change = membership.members.get(record.address)
        paused_until = min(record.paused_until, now + membership.limits.max_flap_pause)
        if record.has_member or paused_until <= now:
            continue
        membership.flaps.restore(record.address, FlapHistory(paused_until=paused_until))
        membership.timers.schedule(paused_until, record.address)
        if change is None:
            continue
        del membership.members[record.address], membership.address_by_id[change.member.id]
        removed = replace(change.member, state=MemberState.REMOVED)
        reason = f"kept out for {paused_until - now:.0f} s more"
        changes.append(MembershipChange(removed, MembershipRule.FLAPPING, reason))
    return changes


def restore_histories(membership: Membership, flaps: Iterable[FlapRecord], now: float) -> None:
    """Replaces the histories of additions and removals, so that taking over adds none."""
    for record in flaps:
        history = FlapHistory(
            deque(min(changed_at, now) for changed_at in record.changed_at),
            min(record.pause, membership.limits.max_flap_pause),
            min(record.paused_until, now + membership.limits.max_flap_pause),
        )
        membership.flaps.restore(record.address, history)


def export_state(membership: Membership) -> MembershipState:
    """Returns what a membership was told."""
    sources = membership.sources.values()
    reports = [report for source in sources for report in source.reports.values()]
    removals = membership.index.removals.values()
    return MembershipState(
        tuple((source.rule.name, source.last_heard_at) for source in sources if source.has_reported),
        tuple(record_of(report) for report in (*reports, *removals)),
        tuple(
            flap_record(address, history, address in membership.members)
            for address, history in membership.flaps.histories.items()
        ),
        tuple(assumed_starts(membership, reports)),
        membership.start_times.first_report_at,
    )


def record_of(report: SourceReport) -> ReportRecord:
    """Returns the record of a report."""
    return ReportRecord(report.source, report.member, report.reported_at, report.missing_since)


def flap_record(address: Address, history: FlapHistory, has_member: bool) -> FlapRecord:
    """Returns the record of an address that has changed recently."""
    paused_until = max(0.0, history.paused_until)
    return FlapRecord(address, history.pause, paused_until, tuple(history.changed_at), has_member)


def assumed_starts(membership: Membership, reports: Iterable[SourceReport]) -> Iterable[StartRecord]:
    """Yields the start times of members whose sources report none."""
    for report in reports:
        change = membership.members.get(report.member.address)
        if report.member.started is None and change is not None and change.member.started is not None:
            yield StartRecord(report.member.id, report.member.address, change.member.started)
