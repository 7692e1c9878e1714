"""The messages between a front, the exchange and the upstreams: requests in no protocol's terms.

Records and protocols alone; `exchange.py` owns the requests, `attempts.py` the attempts.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from paddlequay.routing.interface import NO_LOAD_REPORT, Fetch, LoadReport, Member, Outcome, ReplyDetail

Buffer = bytes | bytearray | memoryview


class AnswerStatus(Enum):
    """What a final answer says."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is current
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CopyStamp:
    """Which copy an answer carries: its tag, the Unix second at which the origin issued it, its group."""

    tag: str
    issued_at: float
    group: int | None = None


@dataclass(slots=True)
class ClientRequest:
    """A client's request in no protocol's terms.

    `time_to_live` is in seconds; `object_name` is the object as it is forwarded, `key` its number.
    """

    id: str
    class_name: str
    time_to_live: float
    object_name: str
    key: int
    part: int | None
    group: int | None
    body: Buffer = b""
    known_tag: str | None = None
    retry: bool = False
    idempotency_key: str | None = None  # by which caches drop repeats; forwarded as it is
    tenant: str | None = None  # where the front gives it
    fill: int | None = None  # a fill of a node in the hierarchy: its number,
    extra_fields: Callable[[str], Mapping[str, str]] | None = None  # and what it says to a target beside


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request; `retry_after` is in seconds."""

    status: AnswerStatus
    body: Buffer = b""
    retry_after: float | None = None
    stamp: "CopyStamp | None" = None  # of the copy that was served
    detail: ReplyDetail | None = None  # of the last attempt, where none was served
    served_by: str = ""  # the member whose answer was served


@dataclass(slots=True)
class UpstreamRequest:
    """What an attempt says to its target, as it stands at the moment of writing.

    `time_left` and `max_age` are in seconds; `retention` is the rank at which the target keeps the copy.
    """

    id: str
    class_name: str
    object_name: str
    part: int | None
    body: Buffer
    known_tag: str | None
    idempotency_key: str | None
    time_left: float
    source: str | None
    retention: int
    max_age: float | None
    coalesce: bool
    only_if_cached: bool
    refresh: bool
    extra_fields: Mapping[str, str]


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, and what its answer said; `source_wait` is in seconds."""

    outcome: Outcome
    body: Buffer = b""
    not_modified: bool = False
    detail: ReplyDetail | None = None
    source_wait: float | None = None
    load_report: LoadReport = NO_LOAD_REPORT
    unresponsive: bool = False
    stamp: CopyStamp | None = None
    loop_hint: str = ""


NO_FIELDS: Mapping[str, str] = {}


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel it; one that has fired is no error."""
        ...


class Scheduler(Protocol):
    """Clocks and timers, in seconds: `monotonic` for durations, `unix` for the times of purges and starts."""

    def monotonic(self) -> float:
        """A clock that never goes back."""
        ...

    def unix(self) -> float:
        """Unix time."""
        ...

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call back after `delay` seconds."""
        ...


class AttemptCarrier(Protocol):
    """What carries an attempt, such as a connection."""

    @property
    def has_unread(self) -> bool:
        """Whether something has come that was not read yet."""
        ...

    def abandon(self, attempt: "UpstreamAttempt") -> bool:
        """Drop an attempt; whether nothing came on the carrier since it was written."""
        ...


class UpstreamPool(Protocol):
    """Carries attempts to caches; it sets itself or a part of it as their carrier."""

    def start(self, attempt: "UpstreamAttempt") -> None:
        """Write an attempt as soon as a connection takes it; may raise."""
        ...


class RequestInterceptor(Protocol):
    """Sees each request and attempt, and may reject it: what the fleet has decided together.

    Each call returns at once. Where there is none the exchange goes its ordinary way.
    """

    def admit(self, item: "PendingRequest", left: float) -> float | None:
        """A request with `left` seconds comes: None, or the seconds after which the client may retry."""
        ...

    def before_write(self, attempt: "UpstreamAttempt", left: float) -> ReplyDetail | None:
        """An attempt is about to be written: None, or the detail under which it is rejected."""
        ...

    def attempt_ended(self, attempt: "UpstreamAttempt", end: "AttemptResult") -> None:
        """An attempt has ended, written or not."""
        ...

    def request_ended(self, item: "PendingRequest") -> None:
        """A request that was admitted has its final answer, or its client has left."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt: waiting to be written, in flight, or ended. Times are monotonic seconds."""

    pending: "PendingRequest"
    number: int
    fetch: Fetch
    started_at: float
    expires_at: float
    timer: Timer | None = None
    carrier: AttemptCarrier | None = None
    written_at: float | None = None
    ended: bool = False
    never_resend: bool = False  # what may have been executed is never sent again
    chosen_members: tuple[Member | None, ...] = ()  # target and source as listed when they were chosen

    @property
    def id(self) -> str:
        """The id of its request, as the client gave it."""
        return self.pending.request.id


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed its final answer. Times are monotonic seconds."""

    serial: str
    request: ClientRequest
    send_answer: Callable[[FinalAnswer], None]
    received_at: float
    deadline: float
    client_disconnected: Callable[[], bool] | None = None  # whether its client has left, read or not
    deadline_timer: Timer | None = None
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    last_detail: ReplyDetail | None = None
