"""Merges the reports of several sources into one membership; sources may disagree, fall silent or flap.

Each source reports members: an id, its address and its state. All reports on one address concern one member,
whatever ids they use, so that a drain under the id of the endpoint list also applies to the member that DNS
lists under another id. The rules, in order of precedence (`MembershipRule`):

1. `DRAIN`: a drain or removal that any source reports applies at once, until the same source revokes it.
2. `AUTHORITY`: a member is added only on the report of a source that may add.
3. `RETENTION`: reports of a silent source stay valid for `retain_for` seconds; then they expire one by one.
4. `MASS_REMOVAL`: if complete reports omit more than `mass_share` of a source's members within `mass_window`
   seconds, these members stay until they have been omitted for `confirm_after` seconds, because an empty
   report is more likely a fault of the source than the loss of a fleet. A reported drain or removal is not
   an omission.
5. `FLAPPING`: a member that was added and removed more than `max_flaps` times within `flap_window` seconds
   is added again only after a pause, which doubles each time.
6. `ADDRESS`: if two sources report one id at different addresses, the source of higher priority applies.

The cost of a change depends on the addresses that it affects; only `snapshot` iterates over all members.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from paddlequay.discovery.address_rules import explain_absence, explain_presence, find_drain
from paddlequay.discovery.address_timers import AddressTimers
from paddlequay.discovery.flapping import FlapGuard
from paddlequay.discovery.report_index import ReportIndex
from paddlequay.discovery.reports import (
    MembershipChange,
    MembershipLimits,
    SourceReport,
    SourceRule,
    SourceState,
    TooManyMembersError,
)
from paddlequay.discovery.snapshot import members_from_data, members_to_data
from paddlequay.discovery.start_times import StartTimes
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import Address, ReportedMember

# Added to `silent_after`, so that the source of saved members counts as silent at once.
SILENCE_MARGIN_S = 0.001

Touched = dict[Address, None]  # addresses to evaluate again, in the order of the changes


class Membership:
    """The current members by address, each with the rule that decided on it."""

    def __init__(self, rules: Iterable[SourceRule], limits: MembershipLimits | None = None) -> None:
        self.limits = limits or MembershipLimits()
        self.sources = {rule.name: SourceState(rule, priority) for priority, rule in enumerate(rules)}
        self.index = ReportIndex(self.sources)
        self.members: dict[Address, MembershipChange] = {}  # as last announced; removed members are deleted
        self.address_by_id: dict[str, Address] = {}  # of the current members
        self.flaps = FlapGuard(self.limits)
        self.start_times = StartTimes(self.limits)
        self.timers = AddressTimers()

    def report(
        self, source: str, members: Iterable[ReportedMember], full: bool, now: float
    ) -> list[MembershipChange]:
        """Applies a report of a source.

        Args:
            source: The name of the source.
            members: The members that the source reports.
            full: Whether `members` are all members of the source, rather than changes only.
            now: The time in seconds of the membership's clock.

        Returns:
            The changes of the membership that follow.

        Raises:
            TooManyMembersError: The source would have more than `max_members` members; nothing is changed.
        """
        self.start_times.note_report(now)
        state = self.sources[source]
        members = tuple(members)
        ids = {member.id for member in members}
        new_count = sum(id not in state.reports for id in ids)
        member_count = len(ids) if full else len(state.reports) + new_count
        if member_count > self.limits.max_members:
            state.rejected_reports += 1
            raise TooManyMembersError(f"{source}: more than {self.limits.max_members} members")
        state.last_heard_at = now
        touched: Touched = {}
        for member in members:
            self.apply_report(state, member, now, touched)
        if full:
            self.handle_omissions([id for id in state.reports if id not in ids], state, now, touched)
        state.has_reported = True
        return self.update_members(touched, now)

    def record_heartbeat(self, source: str, now: float) -> list[MembershipChange]:
        """Records a heartbeat of a source, which keeps its reports valid."""
        self.sources[source].last_heard_at = now
        return self.tick(now)

    def apply_report(self, source: SourceState, member: ReportedMember, now: float, touched: Touched) -> None:
        """Applies a report on one member, and adds the affected addresses to `touched`."""
        name = source.rule.name
        known = source.reports.get(member.id)
        # A report on an id may also affect the addresses at which other sources report that id.
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(member.id, ())))
        if member.state is MemberState.REMOVED:
            # A removal is recorded at the address that the source reported last.
            earlier = known or self.index.last_report_of((name, member.id))
            last_reported = member if earlier is None else earlier.member
            if known is not None:
                self.drop(known, source, touched)
            self.index.record_removal(SourceReport(last_reported, name, now).as_removed())
            touched[last_reported.address] = None
            return
        removal = self.index.removals.get((name, member.id))
        if removal is not None:
            touched[removal.member.address] = None
            self.index.forget_removal((name, member.id))
        if known is not None and known.member == member and known.missing_since is None:
            known.reported_at = now
            return
        if known is not None:
            self.detach(known, touched)
        report = source.reports[member.id] = SourceReport(member, name, now)
        self.index.attach(report)
        touched[member.address] = None

    def detach(self, report: SourceReport, touched: Touched) -> None:
        """Removes a report from its address; the same id may then become a member at another address."""
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(report.member.id, ())))
        self.index.detach(report)
        touched[report.member.address] = None

    def handle_omissions(self, ids: list[str], source: SourceState, now: float, touched: Touched) -> None:
        """Drops the reports on members that a full report omits, or retains them in a mass removal."""
        is_mass = source.record_omissions(ids, self.limits, now)
        for id in ids:
            report = source.reports[id]
            if report.missing_since is None:
                report.missing_since = now
            # A member that an earlier mass removal retained stays retained in later reports.
            was_retained = report.missing_since < now
            retained = is_mass or was_retained
            # A report confirms the omission if it comes at least `confirm_after` seconds later.
            is_confirmed = now - report.missing_since >= self.limits.confirm_after
            if not retained or is_confirmed:
                self.drop(report, source, touched)
            else:
                self.timers.schedule(report.missing_since + self.limits.confirm_after, report.member.address)
                touched[report.member.address] = None

    def drop(self, report: SourceReport, source: SourceState, touched: Touched) -> None:
        """Drops a report. A draining member that its source no longer reports counts as removed."""
        del source.reports[report.member.id]
        self.detach(report, touched)
        self.index.remember_dropped(report)
        if report.member.state is MemberState.DRAINING:
            self.index.record_removal(report.as_removed())

    def tick(self, now: float) -> list[MembershipChange]:
        """Applies the changes due by now: expired reports, and timers of pauses and omissions."""
        touched: Touched = dict.fromkeys(self.timers.due(now))
        for source in self.sources.values():
            rule = source.rule
            expires_at = source.last_heard_at + rule.silent_after + rule.retain_for
            is_expired = now > expires_at and now - source.expired_at >= self.limits.expiry_interval
            if source.reports and is_expired:
                # One report per interval, so that members known only to this source do not leave all at once.
                source.expired_at = now
                self.drop(source.reports[next(iter(source.reports))], source, touched)
        return self.update_members(touched, now)

    def update_members(self, touched: Touched, now: float) -> list[MembershipChange]:
        """Evaluates each affected address again; returns the removals, then the other changes."""
        after = {address: self.decide(address, now) for address in touched}
        removed: dict[str, MembershipChange] = {}
        for address, change in after.items():
            before = self.members.get(address)
            if before is not None and (change is None or change.member.id != before.member.id):
                del self.members[address], self.address_by_id[before.member.id]
                # A member that another member replaces is removed by the rule that added the new one.
                cause = change or explain_absence(self.index, self.flaps, address, now)
                removed_member = replace(before.member, state=MemberState.REMOVED)
                removed[before.member.id] = MembershipChange(removed_member, cause.rule, cause.reason)
                self.flaps.record(address, now)
        added = []
        for address, change in after.items():
            if change is None or self.address_by_id.get(change.member.id, address) != address:
                continue
            before = self.members.get(address)
            self.address_by_id[change.member.id] = address
            self.members[address] = change
            if before is None:
                self.flaps.record(address, now)
            if before is None or before.member != change.member:
                removed.pop(change.member.id, None)  # a moved member is announced at its new address only
                added.append(change)
        return [*removed.values(), *added]

    def decide(self, address: Address, now: float) -> MembershipChange | None:
        """Returns the member that the rules give an address, and the rule; None if they give none."""
        reports = self.index.reports_at(address)
        adding_reports = [report for report in reports if self.sources[report.source].rule.may_add]
        if not adding_reports or self.index.is_shadowed(adding_reports[0]):
            return None
        if next(self.index.removals_at(address, reports), None) is not None:
            return None
        if address not in self.members and self.is_paused(address, now):
            return None
        authoritative = adding_reports[0]
        drain = find_drain(self.index, address, reports)
        state = MemberState.READY if drain is None else MemberState.DRAINING
        explanation = drain or explain_presence(self.sources[authoritative.source], authoritative, now)
        announced = self.members.get(address)
        last_announced = None if announced is None else announced.member
        started = self.start_times.start_time(authoritative, address, last_announced, now)
        member = replace(authoritative.member, state=state, started=started)
        if announced is not None and announced.member == member:
            return replace(announced, rule=explanation.rule, reason=explanation.reason)
        return MembershipChange(member, explanation.rule, explanation.reason)

    def is_paused(self, address: Address, now: float) -> bool:
        """Returns whether an address is paused for flapping; if so, schedules its evaluation at the end."""
        paused_until = self.flaps.paused_until(address, now)
        if paused_until is None:
            return False
        self.timers.schedule(paused_until, address)
        return True

    def snapshot(self) -> dict[str, Any]:
        """Returns all members in their stored form."""
        return members_to_data(change.member for change in self.members.values())

    def recover(self, data: Any, source: str, now: float) -> list[MembershipChange]:
        """Restores the saved members of an earlier run as reports of `source`, which counts as silent.

        Returns:
            The changes of the membership that follow.

        Raises:
            ValueError: The data cannot be read; nothing is changed.
        """
        members = members_from_data(data)
        self.start_times.recovered = {member.id: member for member in members}
        changes = self.report(source, members, True, now)
        silent_since = now - self.sources[source].rule.silent_after - SILENCE_MARGIN_S
        self.sources[source].last_heard_at = silent_since
        # Sets the rule of the members to `RETENTION`; no member leaves.
        self.update_members(dict.fromkeys(self.members), now)
        return changes
