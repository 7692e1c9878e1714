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
    """The status of a final answer to a client."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the copy that the client holds is current
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CopyStamp:
    """Identifies the copy in an answer: its tag, when the origin generated it (Unix seconds), its group."""

    tag: str
    generated_at: float
    group: int | None = None


@dataclass(slots=True)
class ClientRequest:
    """A client's request, independent of its protocol.

    `time_to_live` is in seconds. `object_name` is the object's name as forwarded to caches, `key` the same as
    a number.
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
    idempotency_key: str | None = None  # lets caches drop duplicates; forwarded unchanged
    tenant: str | None = None  # None if the front does not identify tenants
    fill: int | None = None  # the number of the fill, if a node of the hierarchy requests it
    extra_fields: Callable[[str], Mapping[str, str]] | None = None  # further fields of a fill, by target name


@dataclass(slots=True)
class FinalAnswer:
    """The one final answer to a request; `retry_after` is in seconds."""

    status: AnswerStatus
    body: Buffer = b""
    retry_after: float | None = None
    stamp: "CopyStamp | None" = None  # identifies the copy that was served
    detail: ReplyDetail | None = None  # from the attempt that ended last
    served_by: str = ""  # the name of the member that served the request


@dataclass(slots=True)
class UpstreamRequest:
    """The request that an attempt sends to its target, as determined immediately before the write.

    `time_left` and `max_age` are in seconds; `retention` is the rank with which the target stores the copy.
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
    """How an attempt ended, with the contents of its answer if there was one.

    `source_wait` (in seconds), `unresponsive` and `loop_hint` are described in `AttemptEnded`.
    """

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
        """Cancels the timer; does nothing if it has fired."""
        ...


class Scheduler(Protocol):
    """Clocks and timers in seconds: `monotonic` for durations, `unix` for times of purges and restarts."""

    def monotonic(self) -> float:
        """Returns the time of a clock that never goes back."""
        ...

    def unix(self) -> float:
        """Returns the Unix time."""
        ...

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Calls `callback` after `delay` seconds."""
        ...


class AttemptCarrier(Protocol):
    """Carries attempts to a target; implemented by a connection."""

    @property
    def has_unread(self) -> bool:
        """Returns whether received bytes have not been handled yet."""
        ...

    def abandon(self, attempt: "UpstreamAttempt") -> bool:
        """Drops an attempt; returns whether the carrier received nothing after the attempt was written."""
        ...


class UpstreamPool(Protocol):
    """Sends attempts to caches, and sets the carrier of each attempt."""

    def start(self, attempt: "UpstreamAttempt") -> None:
        """Writes an attempt as soon as a connection can take it; may raise any error."""
        ...


class RequestInterceptor(Protocol):
    """Observes requests and attempts, and may reject them under the limits of the fleet. No method blocks."""

    def admit(self, pending: "PendingRequest", time_left: float) -> float | None:
        """Returns None to admit a request with `time_left` seconds left, else the Retry-After in seconds."""
        ...

    def before_write(self, attempt: "UpstreamAttempt", time_left: float) -> ReplyDetail | None:
        """Returns None to let an attempt be written, else the detail of its rejection."""
        ...

    def attempt_ended(self, attempt: "UpstreamAttempt", result: "AttemptResult") -> None:
        """Records the end of an attempt, whether it was written or not."""
        ...

    def request_ended(self, pending: "PendingRequest") -> None:
        """Records the end of an admitted request, by its final answer or because its client disconnected."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt, which is waiting to be written, in flight or ended. Times are monotonic seconds."""

    pending: "PendingRequest"
    number: int
    fetch: Fetch
    started_at: float
    expires_at: float
    timer: Timer | None = None
    carrier: AttemptCarrier | None = None
    written_at: float | None = None
    ended: bool = False
    never_resend: bool = False  # not idempotent: must not be resent if it may have been executed
    chosen_members: tuple[Member | None, ...] = ()  # target and source, as listed when they were chosen

    @property
    def id(self) -> str:
        """Returns the id that the client gave to the request."""
        return self.pending.request.id


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet. Times are monotonic seconds."""

    serial: str
    request: ClientRequest
    send_answer: Callable[[FinalAnswer], None]
    received_at: float
    deadline: float
    client_disconnected: Callable[[], bool] | None = None  # also detects a close not read from the socket yet
    deadline_timer: Timer | None = None
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    last_detail: ReplyDetail | None = None
