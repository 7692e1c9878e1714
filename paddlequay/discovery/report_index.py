"""An index of what sources say: reports and removals by source and id, and by address.

It decides nothing. A call costs what it touches; none walks through all reports.
"""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

from paddlequay.discovery.reports import Address, ReportKey, SourceReport, SourceState

MAX_REMOVALS = 20_000  # the latest are remembered


class ReportIndex:
    """Reports of all sources; removals are bounded by `MAX_REMOVALS`, reports by who adds them."""

    def __init__(self, sources: Mapping[str, SourceState]) -> None:
        self.sources = sources
        self.reports_by_address: dict[Address, dict[ReportKey, SourceReport]] = {}
        self.addresses_by_id: dict[str, set[Address]] = {}  # where an id is placed by any source
        self.removals: OrderedDict[ReportKey, SourceReport] = OrderedDict()
        self.removals_by_address: dict[Address, dict[ReportKey, SourceReport]] = {}

    def attach(self, report: SourceReport) -> None:
        """A report stands at its address from now on."""
        member = report.member
        self.reports_by_address.setdefault(member.address, {})[report.source, member.id] = report
        self.addresses_by_id.setdefault(member.id, set()).add(member.address)

    def detach(self, report: SourceReport) -> None:
        """A report no longer stands at its address."""
        address, id = report.member.address, report.member.id
        here = self.reports_by_address.get(address, {})
        here.pop((report.source, id), None)
        if not here:
            self.reports_by_address.pop(address, None)
        if any(other == id for _, other in here):
            return
        addresses = self.addresses_by_id.get(id)
        if addresses is not None:
            addresses.discard(address)
            if not addresses:
                del self.addresses_by_id[id]

    def record_removal(self, report: SourceReport) -> None:
        """Remember that a source has removed a member."""
        key = (report.source, report.member.id)
        self.forget_removal(key)
        self.removals[key] = report
        self.removals_by_address.setdefault(report.member.address, {})[key] = report
        while len(self.removals) > MAX_REMOVALS:
            self.forget_removal(next(iter(self.removals)))

    def forget_removal(self, key: ReportKey) -> None:
        """A removal holds no more; one that does not is no error."""
        report = self.removals.pop(key, None)
        if report is not None:
            here = self.removals_by_address[report.member.address]
            del here[key]
            if not here:
                del self.removals_by_address[report.member.address]

    def reports_at(self, address: Address) -> list[SourceReport]:
        """Reports at an address, by the priority of their sources."""
        reports = self.reports_by_address.get(address, {}).values()
        return sorted(reports, key=lambda report: (self.sources[report.source].priority, report.member.id))

    def reports_about(self, address: Address, reports: list[SourceReport]) -> Iterator[SourceReport]:
        """Reports at an address, and those of other sources on the same ids wherever they place them."""
        yield from reports
        for id in {report.member.id for report in reports}:
            for source in self.sources.values():
                other = source.reports.get(id)
                if other is not None and other.member.address != address:
                    yield other

    def removals_at(self, address: Address, reports: list[SourceReport]) -> Iterator[SourceReport]:
        """Removals that hold at an address, by address or by id of its reports.

        A source that names another member here has taken its own back.
        """
        naming = {report.source for report in reports}
        found = dict(self.removals_by_address.get(address, {}))
        for id in {report.member.id for report in reports}:
            for name in self.sources:
                removal = self.removals.get((name, id))
                if removal is not None:
                    found[name, id] = removal
        for (source, _), removal in found.items():
            if source not in naming:
                yield removal

    def is_shadowed(self, report: SourceReport) -> bool:
        """Whether a source of higher priority places the same id elsewhere."""
        own = self.sources[report.source].priority
        for address in self.addresses_by_id.get(report.member.id, ()):
            if address == report.member.address:
                continue
            for source, id in self.reports_by_address.get(address, {}):
                state = self.sources[source]
                if id == report.member.id and state.rule.adds and state.priority < own:
                    return True
        return False
