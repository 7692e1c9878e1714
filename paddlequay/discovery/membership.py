"""One membership from sources that may disagree, fall silent, lose half of a fleet, or flap.

Each source reports members: an id at an address, and its state. Reports on one address are on one member,
whatever ids they use, so that a drain under the list's id holds against a record under DNS's. The rules, in
their order:

1. `drain`: a drain or a removal that any source reports holds at once, until that same source says otherwise.
2. `authority`: a member is taken in only on the report of a source that may add.
3. `kept`: a source that has fallen silent keeps its reports for `retain_for` seconds; then its members leave
   one by one.
4. `mass`: where a source's report leaves out more than `mass_share` of its members within `mass_window`
   seconds, they stay until it has left them out for `confirm_after` seconds, as an empty answer is likelier a
   fault than a fleet that vanished. A drain or a removal that is reported is no omission.
5. `flapping`: a member that has come and gone `max_flaps` times within `flap_window` is taken in again only
   after a pause, twice as long each time.
6. `address`: where sources place one id at two addresses, the first source in order counts.

A change costs what it touches: nothing here walks through all members but `snapshot`.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from paddlequay.discovery.absence import reason_for_absence
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

JUST_SILENT_S = 0.001

Touched = dict[Address, None]  # addresses to decide anew, in the order in which they were touched


class Membership:
    """The members that hold now, and why."""

    def __init__(self, rules: Iterable[SourceRule], limits: MembershipLimits | None = None) -> None:
        self.limits = limits or MembershipLimits()
        self.sources = {rule.name: SourceState(rule, place) for place, rule in enumerate(rules)}
        self.index = ReportIndex(self.sources)
        self.members: dict[Address, MembershipChange] = {}  # what was announced last; never a removed one
        self.address_by_id: dict[str, Address] = {}  # of the members
        self.flaps = FlapGuard(self.limits)
        self.start_times = StartTimes(self.limits)
        self.timers = AddressTimers()

    # --- what sources say ---

    def report(
        self, source: str, members: Iterable[ReportedMember], full: bool, now: float
    ) -> list[MembershipChange]:
        """A report of a source: changes, or (`full`) all it knows.

        Raises `TooManyMembersError`, which leaves everything as it was.
        """
        self.start_times.note_report(now)
        state = self.sources[source]
        members = tuple(members)
        ids = {member.id for member in members}
        new = sum(id not in state.reports for id in ids)
        if (len(ids) if full else len(state.reports) + new) > self.limits.max_members:
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
        """A sign of life without a report: what the source said holds."""
        self.sources[source].last_heard_at = now
        return self.tick(now)

    def apply_report(self, source: SourceState, member: ReportedMember, now: float, touched: Touched) -> None:
        """What a source says of one member."""
        name = source.rule.name
        known = source.reports.get(member.id)
        # What one source says of an id may bind where others place it.
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(member.id, ())))
        if member.state is MemberState.REMOVED:
            # A removal is remembered at the address that the source gave before, or gives with it.
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
        """A report no longer stands at its address. Elsewhere the same id may have waited for that."""
        touched.update(dict.fromkeys(self.index.addresses_by_id.get(report.member.id, ())))
        self.index.detach(report)
        touched[report.member.address] = None

    def handle_omissions(self, ids: list[str], source: SourceState, now: float, touched: Touched) -> None:
        """Members that a full report does not repeat: removed, or retained where too many are."""
        is_mass = source.record_omissions(ids, self.limits, now)
        for id in ids:
            report = source.reports[id]
            if report.missing_since is None:
                report.missing_since = now
            retained = is_mass or report.missing_since < now
            # A later report that leaves it out as well confirms it, once enough time has passed.
            if not retained or now - report.missing_since >= self.limits.confirm_after:
                self.drop(report, source, touched)
            else:
                self.timers.schedule(report.missing_since + self.limits.confirm_after, report.member.address)
                touched[report.member.address] = None

    def drop(self, report: SourceReport, source: SourceState, touched: Touched) -> None:
        """A report is over. A drain that its source no longer names was no return: the member is removed."""
        del source.reports[report.member.id]
        self.detach(report, touched)
        if report.member.state is MemberState.DRAINING:
            self.index.record_removal(report.as_removed())

    # --- what holds ---

    def tick(self, now: float) -> list[MembershipChange]:
        """What time alone changes: reports that expire, pauses that end, what is confirmed."""
        touched: Touched = dict.fromkeys(self.timers.due(now))
        for source in self.sources.values():
            rule = source.rule
            expires_at = source.last_heard_at + rule.silent_after + rule.retain_for
            due = now > expires_at and now - source.expired_at >= self.limits.expiry_interval
            if source.reports and due:
                # One by one: members that only this source knew leave slowly, elsewhere at other moments.
                source.expired_at = now
                self.drop(source.reports[next(iter(source.reports))], source, touched)
        return self.settle(touched, now)

    def settle(self, touched: Touched, now: float) -> list[MembershipChange]:
        """Decide anew for each address that was touched. Removals are announced before additions."""
        after = {address: self.decide(address, now) for address in touched}
        removed: dict[str, MembershipChange] = {}
        for address, change in after.items():
            before = self.members.get(address)
            if before is not None and (change is None or change.member.id != before.member.id):
                del self.members[address], self.address_by_id[before.member.id]
                removed[before.member.id] = self.removal_of(before, change, address, now)
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
                removed.pop(change.member.id, None)  # it has moved, and is announced at its new address only
                added.append(change)
        return [*removed.values(), *added]

    def removal_of(
        self, before: MembershipChange, change: MembershipChange | None, address: Address, now: float
    ) -> MembershipChange:
        """The removal of a member, and why: by what stands there now, or as nothing does."""
        if change is None:
            rule, reason = reason_for_absence(self.index, self.flaps, address, now)
        else:
            rule, reason = change.rule, change.reason
        return MembershipChange(replace(before.member, state=MemberState.REMOVED), rule, reason)

    def decide(self, address: Address, now: float) -> MembershipChange | None:
        """What holds for an address now; None where nothing stands there."""
        reports = self.index.reports_at(address)
        adding = [report for report in reports if self.sources[report.source].rule.adds]
        if not adding or self.index.is_shadowed(adding[0]):
            return None
        first = adding[0]
        state, rule, reason = MemberState.READY, "authority", f"{first.source} says so"
        for report in self.index.reports_about(address, reports):
            if report.member.state is MemberState.DRAINING:
                state, rule = MemberState.DRAINING, "drain"
                reason = f"{report.source} drains {report.member.id}"
        if next(self.index.removals_at(address, reports), None) is not None:
            return None
        if address not in self.members and self.is_paused(address, now):
            return None
        if rule == "authority":
            rule, reason = self.sources[first.source].doubt(first, now) or (rule, reason)
        announced = self.members.get(address)
        last = None if announced is None else announced.member
        started = self.start_times.start_time(first, address, last, now)
        member = replace(first.member, state=state, started=started)
        if announced is not None and announced.member == member:
            return replace(announced, rule=rule, reason=reason)
        return MembershipChange(member, rule, reason)

    def is_paused(self, address: Address, now: float) -> bool:
        """Whether an address is kept out for flapping; if so, it is decided anew once that is over."""
        paused_until = self.flaps.paused_until(address, now)
        if paused_until is None:
            return False
        self.timers.schedule(paused_until, address)
        return True

    # --- saved over a restart ---

    def snapshot(self) -> dict[str, Any]:
        """The members, as they are saved."""
        return members_to_data(change.member for change in self.members.values())

    def recover(self, data: Any, source: str, now: float) -> list[MembershipChange]:
        """Begin with the members of an earlier run, as reports of `source`, which is silent already.

        Raises ValueError where the data cannot be read; then nothing is taken.
        """
        members = members_from_data(data)
        self.start_times.recovered = {member.id: member for member in members}
        changes = self.report(source, members, True, now)
        silent_since = now - self.sources[source].rule.silent_after - JUST_SILENT_S
        self.sources[source].last_heard_at = silent_since
        self.settle(dict.fromkeys(self.members), now)  # by another rule now: nobody leaves for it
        return changes
