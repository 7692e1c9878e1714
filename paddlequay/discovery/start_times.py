"""When members started, in Unix seconds, where their source does not say."""

from paddlequay.discovery.reports import Address, MembershipLimits, ReportedMember, SourceReport


class StartTimes:
    """One of unknown age that comes later is taken for new: it gets slow start, and is warm a while later.

    What the first reports of all name has been running for as long as anybody knows.
    """

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.first_report_at: float | None = None
        self.recovered: dict[str, ReportedMember] = {}  # from the last run, by id: their age is known

    def note_report(self, now: float) -> None:
        """A source reports, maybe as the first of all."""
        self.first_report_at = now if self.first_report_at is None else self.first_report_at

    def start_time(
        self, report: SourceReport, address: Address, announced: ReportedMember | None, now: float
    ) -> float:
        """The start of a reported member; `announced` is what was announced last at its address."""
        if report.member.started is not None:
            return report.member.started
        if announced is not None and announced.started is not None:
            return announced.started
        known = self.recovered.get(report.member.id)
        if known is not None and known.address == address and known.started is not None:
            return known.started
        is_first = self.first_report_at is None or now - self.first_report_at <= self.limits.mass_window
        return 0.0 if is_first else now
