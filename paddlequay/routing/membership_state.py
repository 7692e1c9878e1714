"""What the sources of a membership have reported, as one process hands it over to another.

The records are facts only: reports and removals, omissions that are not confirmed yet, pauses of flapping
addresses and start times. Which members are in service follows from them by the rules of the membership.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.routing.interface import MemberState

Address = tuple[str, int]

LIST_SOURCE = "list"  # the name of the endpoint list among the sources


@dataclass(frozen=True, slots=True)
class ReportedMember:
    """One member as a source reports it.

    `started` is the start time in Unix seconds; None if the source does not know it.
    """

    id: str
    address: Address
    kind: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    started: float | None = None
    state: MemberState = MemberState.READY


@dataclass(frozen=True, slots=True)
class ReportRecord:
    """The last report of a source on a member; the state `REMOVED` stands for a removal.

    Attributes:
        source: The name of the source.
        member: The member as the source reported it last.
        reported_at: When it was reported, in Unix seconds.
        missing_since: Since when complete reports omit it, in Unix seconds; None if they do not.
    """

    source: str
    member: ReportedMember
    reported_at: float
    missing_since: float | None = None

    @property
    def is_withdrawal(self) -> bool:
        """Whether the source has drained or removed the member."""
        return self.member.state is not MemberState.READY


@dataclass(frozen=True, slots=True)
class FlapRecord:
    """The recent additions and removals of an address, and its pause; all times are Unix seconds.

    Attributes:
        address: Host and port.
        pause: The duration of the last pause in seconds.
        paused_until: When the last pause ends; 0 if there was none.
        changed_at: When the address had a member added or removed.
        has_member: Whether the address has a member now; a pause does not concern a present member.
    """

    address: Address
    pause: float
    paused_until: float
    changed_at: tuple[float, ...]
    has_member: bool


@dataclass(frozen=True, slots=True)
class StartRecord:
    """The start time that was assumed for a member whose sources report none, in Unix seconds."""

    id: str
    address: Address
    started: float


@dataclass(frozen=True, slots=True)
class MembershipState:
    """What the sources of a membership have reported.

    Attributes:
        last_heard_at: When each source was last heard, in Unix seconds, for each source that has reported.
            Without an entry, the reports of a source are withdrawals only and not all that it has reported.
        reports: The last reports, removals among them.
        flaps: The addresses that have changed recently.
        starts: The assumed start times.
        first_report_at: When any source reported first, in Unix seconds; None if none did.
    """

    last_heard_at: tuple[tuple[str, float], ...] = ()
    reports: tuple[ReportRecord, ...] = ()
    flaps: tuple[FlapRecord, ...] = ()
    starts: tuple[StartRecord, ...] = ()
    first_report_at: float | None = None

    @property
    def record_count(self) -> int:
        """The number of records of all kinds."""
        return len(self.last_heard_at) + len(self.reports) + len(self.flaps) + len(self.starts)


def join_states(parts: Iterable[MembershipState]) -> MembershipState:
    """Returns the state of which these are the parts."""
    parts = tuple(parts)
    first_reports = [part.first_report_at for part in parts if part.first_report_at is not None]
    return MembershipState(
        tuple(each for part in parts for each in part.last_heard_at),
        tuple(each for part in parts for each in part.reports),
        tuple(each for part in parts for each in part.flaps),
        tuple(each for part in parts for each in part.starts),
        min(first_reports, default=None),
    )
