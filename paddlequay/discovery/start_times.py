"""Estimates the start times of members whose source does not report them, in Unix seconds."""

from paddlequay.discovery.reports import MembershipLimits, SourceReport
from paddlequay.routing.membership_state import Address, ReportedMember


class StartTimes:
    """Assumes that members of the first reports started long ago, and that members added later are new.

    A new member gets slow start.
    """

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.first_report_at: float | None = None
        # The saved members of the last run by id, with their start times.
        self.recovered: dict[str, ReportedMember] = {}

    def note_report(self, now: float) -> None:
        """Records that a source has reported."""
        if self.first_report_at is None:
            self.first_report_at = now

    def start_time(
        self, report: SourceReport, address: Address, announced: ReportedMember | None, now: float
    ) -> float:
        """Returns the start time of a reported member in Unix seconds; 0 means long ago.

        Args:
            report: The report of the source that adds the member.
            address: The address of the member.
            announced: The member that was last announced at that address.
            now: The current time in Unix seconds.
        """
        if report.member.started is not None:
            return report.member.started
        if announced is not None and announced.started is not None:
            return announced.started
        known = self.recovered.get(report.member.id)
        if known is not None and known.address == address and known.started is not None:
            return known.started
        is_first = self.first_report_at is None or now - self.first_report_at <= self.limits.mass_window
        return 0.0 if is_first else now
