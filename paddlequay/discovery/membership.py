"""Merges the reports of several sources, which may disagree, fall silent or flap, into one membership.

Each source reports members: an id at an address, and its state. All reports on one address concern one
member, whatever ids they use, so that a drain under the id of the endpoint list holds against a record
under the id of DNS. The rules, in their order (`MembershipRule`):

1. `DRAIN`: a drain or a removal reported by any source holds at once, until the same source revokes it.
2. `AUTHORITY`: a member is added only on the report of a source that may add.
3. `RETENTION`: reports of a silent source hold for `retain_for` seconds; then its members leave one by one.
4. `MASS_REMOVAL`: if complete reports omit more than `mass_share` of a source's members within `mass_window`
   seconds, these members stay until they have been omitted for `confirm_after` seconds, because an
   empty answer is likelier a fault of the source than the loss of a fleet. A reported drain or removal
   is no omission.
5. `FLAPPING`: a member that was added and removed `max_flaps` times within `flap_window` seconds is added
   again only after a pause, which doubles each time.
6. `ADDRESS`: if sources place one id at two addresses, the first source in order counts.

The cost of a change is that of the addresses it touches; only `snapshot` walks through all members.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from paddlequay.discovery.address_rules import explain_absence, explain_presence, find_drain
from paddlequay.discovery.address_timers import AddressTimers
from paddlequay.discovery.flapping import FlapGuard
from paddlequay.discovery.report_index import ReportIndex
from paddlequay.discovery.reports import (
    Address,
    MembershipChange,
    MembershipLimits,
    ReportedMember,
    SourceReport,
    SourceRule,
    SourceState,
    TooManyMembersError,
)
from paddlequay.discovery.snapshot import members_from_data, members_to_data
from paddlequay.discovery.start_times import StartTimes
from paddlequay.routing.interface import MemberState

JUST_SILENT_S = 0.001  # past `silent_after`, so that a recovered source counts as silent at once

Touched = dict[Address, None]  # addresses to decide anew, in the order of the changes


class Membership:
    """The current members by address, with the rule that decided about each of them."""

    def __init__(self, rules: Iterable[SourceRule], limits: MembershipLimits | None = None) -> None:
        self.limits = limits or MembershipLimits()
        self.sources = {rule.name: SourceState(rule, place) for place, rule in enumerate(rules)}
        self.index = ReportIndex(self.sources)
        self.members: dict[Address, MembershipChange] = {}  # as announced last; never a removed one
        self.address_by_id: dict[str, Address] = {}  # of the members
        self.flaps = FlapGuard(self.limits)
        self.start_times = StartTimes(self.limits)
        self.timers = AddressTimers()

    # --- reports of sources ---

    def report(
        self, source: str, members: Iterable[ReportedMember], full: bool, now: float
    ) -> list[MembershipChange]:
        """Applies a report of a source.

        Args:
            source: The name of the source.
            members: The members that the source reports.
            full: Whether these are all members of the source, or changes only.
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
        return self.settle(touched, now)

    def alive(self, source: str, now: float) -> list[MembershipChange]:
        """Records a heartbeat of a source: its reports hold."""
        self.sources[source].last_heard_at = now
        return self.tick(now)

    def apply_report(self, source: SourceState, member: ReportedMember, now: float, touched: Touched) -> None:
        """Applies what a source reports of one member, and adds the addresses to decide anew to `touched`."""
        name = source.rule.name
        known = source.reports.get(member.id)
        # A report on an id may bind at the addresses where other sources place that id.
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(member.id, ())))
        if member.state is MemberState.REMOVED:
            # A removal is remembered at the address that the source reported last.
            last = known.member if known is not None else member
            if known is not None:
                self.drop(known, source, touched)
            self.index.record_removal(SourceReport(last, name, now).as_removed())
            touched[last.address] = None
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
        """Takes a report off its address, which may unblock the same id at another address."""
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(report.member.id, ())))
        self.index.detach(report)
        touched[report.member.address] = None

    def handle_omissions(self, ids: list[str], source: SourceState, now: float, touched: Touched) -> None:
        """Drops the reports on members that a complete report omits, or retains them in a mass removal."""
        is_mass = source.record_omissions(ids, self.limits, now)
        for id in ids:
            report = source.reports[id]
            if report.missing_since is None:
                report.missing_since = now
            # A member retained in an earlier mass removal stays retained in the reports that follow.
            was_retained = report.missing_since < now
            retained = is_mass or was_retained
            # A later report confirms the omission once `confirm_after` has passed.
            is_confirmed = now - report.missing_since >= self.limits.confirm_after
            if not retained or is_confirmed:
                self.drop(report, source, touched)
            else:
                self.timers.schedule(report.missing_since + self.limits.confirm_after, report.member.address)
                touched[report.member.address] = None

    def drop(self, report: SourceReport, source: SourceState, touched: Touched) -> None:
        """Drops a report. A draining member that its source no longer names counts as removed."""
        del source.reports[report.member.id]
        self.detach(report, touched)
        if report.member.state is MemberState.DRAINING:
            self.index.record_removal(report.as_removed())

    # --- decisions ---

    def tick(self, now: float) -> list[MembershipChange]:
        """Applies what the passing of time changes: expired reports, ended pauses and confirmed omissions."""
        touched: Touched = dict.fromkeys(self.timers.due(now))
        for source in self.sources.values():
            rule = source.rule
            expires_at = source.last_heard_at + rule.silent_after + rule.retain_for
            is_expired = now > expires_at and now - source.expired_at >= self.limits.expiry_interval
            if source.reports and is_expired:
                # One by one, so that members known to this source alone do not leave all at once.
                source.expired_at = now
                self.drop(source.reports[next(iter(source.reports))], source, touched)
        return self.settle(touched, now)

    def settle(self, touched: Touched, now: float) -> list[MembershipChange]:
        """Decides anew about each touched address; returns the removals, then the other changes."""
        after = {address: self.decide(address, now) for address in touched}
        removed: dict[str, MembershipChange] = {}
        for address, change in after.items():
            before = self.members.get(address)
            if before is not None and (change is None or change.member.id != before.member.id):
                del self.members[address], self.address_by_id[before.member.id]
                # A member that another one replaces is removed by the rule of the new one.
                cause = change or explain_absence(self.index, self.flaps, address, now)
                gone = replace(before.member, state=MemberState.REMOVED)
                removed[before.member.id] = MembershipChange(gone, cause.rule, cause.reason)
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
        """Returns the member that stands at an address, and why; None if there is none."""
        reports = self.index.reports_at(address)
        adding = [report for report in reports if self.sources[report.source].rule.adds]
        if not adding or self.index.is_shadowed(adding[0]):
            return None
        if next(self.index.removals_at(address, reports), None) is not None:
            return None
        if address not in self.members and self.is_paused(address, now):
            return None
        first = adding[0]
        drain = find_drain(self.index, address, reports)
        state = MemberState.READY if drain is None else MemberState.DRAINING
        explanation = drain or explain_presence(self.sources[first.source], first, now)
        announced = self.members.get(address)
        last = None if announced is None else announced.member
        started = self.start_times.start_time(first, address, last, now)
        member = replace(first.member, state=state, started=started)
        if announced is not None and announced.member == member:
            return replace(announced, rule=explanation.rule, reason=explanation.reason)
        return MembershipChange(member, explanation.rule, explanation.reason)

    def is_paused(self, address: Address, now: float) -> bool:
        """Returns whether an address is kept out for flapping, and schedules a new decision for its end."""
        paused_until = self.flaps.paused_until(address, now)
        if paused_until is None:
            return False
        self.timers.schedule(paused_until, address)
        return True

    # --- the saved members ---

    def snapshot(self) -> dict[str, Any]:
        """Returns all members in their stored form."""
        return members_to_data(change.member for change in self.members.values())

    def recover(self, data: Any, source: str, now: float) -> list[MembershipChange]:
        """Starts with the members of an earlier run, as reports of `source`, which counts as silent.

        Returns the changes. Raises ValueError if the data cannot be read; nothing is changed then.
        """
        members = members_from_data(data)
        self.start_times.recovered = {member.id: member for member in members}
        changes = self.report(source, members, True, now)
        silent_since = now - self.sources[source].rule.silent_after - JUST_SILENT_S
        self.sources[source].last_heard_at = silent_since
        self.settle(dict.fromkeys(self.members), now)  # the rule becomes RETENTION; no member leaves
        return changes
