"""Indexes the reports and removals of all sources by id and by address.

The cost of a call depends on the entries that it affects; no call iterates over all reports.
"""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

from paddlequay.discovery.reports import ReportKey, SourceReport, SourceState
from paddlequay.routing.membership_state import Address

MAX_REMOVALS = 20_000  # of all sources; the oldest are dropped
MAX_DROPPED = 20_000  # the same for reports that are remembered for their address


class ReportIndex:
    """The reports and removals of all sources.

    Removals are bounded by `MAX_REMOVALS`; the membership bounds the reports.

    Attributes:
        dropped: The last reports on members that their source does not report any more. If it removes such a
            member later, the removal concerns the address that it reported.
    """

    def __init__(self, sources: Mapping[str, SourceState]) -> None:
        self.sources = sources
        self.reports_by_address: dict[Address, dict[ReportKey, SourceReport]] = {}
        self.addresses_by_id: dict[str, set[Address]] = {}  # all addresses at which any source reports the id
        self.removals: OrderedDict[ReportKey, SourceReport] = OrderedDict()
        self.dropped: OrderedDict[ReportKey, SourceReport] = OrderedDict()
        self.removals_by_address: dict[Address, dict[ReportKey, SourceReport]] = {}

    def attach(self, report: SourceReport) -> None:
        """Adds a report at its address."""
        member = report.member
        self.reports_by_address.setdefault(member.address, {})[report.source, member.id] = report
        self.addresses_by_id.setdefault(member.id, set()).add(member.address)

    def detach(self, report: SourceReport) -> None:
        """Removes a report from its address."""
        address = report.member.address
        id = report.member.id
        reports_here = self.reports_by_address.get(address, {})
        reports_here.pop((report.source, id), None)
        if not reports_here:
            self.reports_by_address.pop(address, None)
        if any(other == id for _, other in reports_here):
            return
        addresses = self.addresses_by_id.get(id)
        if addresses is not None:
            addresses.discard(address)
            if not addresses:
                del self.addresses_by_id[id]

    def record_removal(self, report: SourceReport) -> None:
        """Records that a source has removed a member; drops the oldest removals beyond `MAX_REMOVALS`."""
        key = (report.source, report.member.id)
        self.forget_removal(key)
        self.removals[key] = report
        self.removals_by_address.setdefault(report.member.address, {})[key] = report
        while len(self.removals) > MAX_REMOVALS:
            self.forget_removal(next(iter(self.removals)))

    def forget_removal(self, key: ReportKey) -> None:
        """Drops a removal; ignores an unknown one."""
        report = self.removals.pop(key, None)
        if report is not None:
            removals_here = self.removals_by_address[report.member.address]
            del removals_here[key]
            if not removals_here:
                del self.removals_by_address[report.member.address]

    def remember_dropped(self, report: SourceReport) -> None:
        """Remembers the last report on a member that its source does not report any more."""
        key = (report.source, report.member.id)
        self.dropped[key] = report
        self.dropped.move_to_end(key)
        while len(self.dropped) > MAX_DROPPED:
            self.dropped.popitem(last=False)

    def last_report_of(self, key: ReportKey) -> SourceReport | None:
        """Returns the last report on a member that its source has removed or does not report any more."""
        return self.removals.get(key) or self.dropped.get(key)

    def reports_at(self, address: Address) -> list[SourceReport]:
        """Returns the reports at an address, ordered by the priority of their sources."""
        reports = self.reports_by_address.get(address, {}).values()
        return sorted(reports, key=lambda report: (self.sources[report.source].priority, report.member.id))

    def reports_about(self, address: Address, reports: list[SourceReport]) -> Iterator[SourceReport]:
        """Yields the reports at an address, then all reports on the same ids at other addresses."""
        yield from reports
        for id in {report.member.id for report in reports}:
            for source in self.sources.values():
                other = source.reports.get(id)
                if other is not None and other.member.address != address:
                    yield other

    def removals_at(self, address: Address, reports: list[SourceReport]) -> Iterator[SourceReport]:
        """Yields the removals that apply to an address: those at the address or of the ids reported there.

        Removals by a source that itself reports a member at the address are left out, as that report revokes
        them.
        """
        reporting_sources = {report.source for report in reports}
        applicable = dict(self.removals_by_address.get(address, {}))
        for id in {report.member.id for report in reports}:
            for name in self.sources:
                removal = self.removals.get((name, id))
                if removal is not None:
                    applicable[name, id] = removal
        for (source, _), removal in applicable.items():
            if source not in reporting_sources:
                yield removal

    def is_shadowed(self, report: SourceReport) -> bool:
        """Returns whether a source of higher priority that may add members has the id at another address."""
        own_priority = self.sources[report.source].priority
        for address in self.addresses_by_id.get(report.member.id, ()):
            if address == report.member.address:
                continue
            for source, id in self.reports_by_address.get(address, {}):
                state = self.sources[source]
                if id == report.member.id and state.rule.may_add and state.priority < own_priority:
                    return True
        return False
