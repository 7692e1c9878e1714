"""The messages between a front, the exchange and the upstreams, independent of any protocol.

This module holds records and interfaces; `exchange.py` owns the requests, `attempts.py` the attempts.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from paddlequay.routing.interface import NO_LOAD_REPORT, Fetch, LoadReport, Member, Outcome, ReplyDetail

Buffer = bytes | bytearray | memoryview


class AnswerStatus(Enum):
    """The status of a final answer."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is current
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CopyStamp:
    """The copy that an answer carries: its tag, when the origin generated it (Unix s), and its group."""

    tag: str
    generated_at: float
    group: int | None = None


@dataclass(slots=True)
class ClientRequest:
    """A client's request, independent of its protocol.

    `time_to_live` is in seconds. `object_name` is the object's name as it is forwarded, `key` its number.
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
    idempotency_key: str | None = None  # by which caches drop duplicates; forwarded unchanged
    tenant: str | None = None  # None if the front does not identify tenants
    fill: int | None = None  # the number of the fill, for requests of a node in the hierarchy
    extra_fields: Callable[[str], Mapping[str, str]] | None = None  # further fields of a fill, by target


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request; `retry_after` is in seconds."""

    status: AnswerStatus
    body: Buffer = b""
    retry_after: float | None = None
    stamp: "CopyStamp | None" = None  # of the copy that was served
    detail: ReplyDetail | None = None  # of the last attempt, if none was served
    served_by: str = ""  # the name of the member that served it


@dataclass(slots=True)
class UpstreamRequest:
    """The request of an attempt to its target, as of the moment of writing.

    `time_left` and `max_age` are in seconds; `retention` is the rank at which the target stores the copy.
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
    """How an attempt ended, with the contents of its answer; `source_wait` is in seconds."""

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
        """Cancels the timer; no error if it has fired."""
        ...


class Scheduler(Protocol):
    """Clocks and timers in seconds: `monotonic` for durations, `unix` for times of purges and of starts."""

    def monotonic(self) -> float:
        """Returns the time of a clock that never goes back."""
        ...

    def unix(self) -> float:
        """Returns the Unix time."""
        ...

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Calls back after `delay` seconds."""
        ...


class AttemptCarrier(Protocol):
    """Carries an attempt to its target, as a connection does."""

    @property
    def has_unread(self) -> bool:
        """Returns whether bytes were received that have not been read yet."""
        ...

    def abandon(self, attempt: "UpstreamAttempt") -> bool:
        """Drops an attempt; returns whether nothing was received on the carrier since the write."""
        ...


class UpstreamPool(Protocol):
    """Carries attempts to caches, and sets the carrier of each attempt."""

    def start(self, attempt: "UpstreamAttempt") -> None:
        """Writes an attempt as soon as a connection accepts it; may raise."""
        ...


class RequestInterceptor(Protocol):
    """Observes each request and attempt, and may reject it by the limits of the fleet. No call blocks."""

    def admit(self, pending: "PendingRequest", time_left: float) -> float | None:
        """Returns None to admit a request with `time_left` seconds left, else a Retry-After (s)."""
        ...

    def before_write(self, attempt: "UpstreamAttempt", time_left: float) -> ReplyDetail | None:
        """Returns None to let an attempt be written, else the detail of its rejection."""
        ...

    def attempt_ended(self, attempt: "UpstreamAttempt", result: "AttemptResult") -> None:
        """Notes the end of an attempt, whether it was written or not."""
        ...

    def request_ended(self, pending: "PendingRequest") -> None:
        """Notes the end of an admitted request, by its final answer or by its client's disconnect."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt, which waits to be written, is in flight or has ended. Times are monotonic seconds."""

    pending: "PendingRequest"
    number: int
    fetch: Fetch
    started_at: float
    expires_at: float
    timer: Timer | None = None
    carrier: AttemptCarrier | None = None
    written_at: float | None = None
    ended: bool = False
    never_resend: bool = False  # if it may have been executed, as its class is not idempotent
    chosen_members: tuple[Member | None, ...] = ()  # target and source as listed when chosen

    @property
    def id(self) -> str:
        """Returns the id of its request, as the client gave it."""
        return self.pending.request.id


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without its final answer yet. Times are monotonic seconds."""

    serial: str
    request: ClientRequest
    send_answer: Callable[[FinalAnswer], None]
    received_at: float
    deadline: float
    client_disconnected: Callable[[], bool] | None = None  # checks the socket, even if nothing was read
    deadline_timer: Timer | None = None
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    last_detail: ReplyDetail | None = None
