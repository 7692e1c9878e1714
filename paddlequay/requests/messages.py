"""The terms in which a front, the exchange and the caches' side speak of requests: in no protocol's.

Records and protocols alone; who owns and changes them is `exchange.py`.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from paddlequay.routing.interface import Fetch, Member, Outcome, ReplyDetail

Buffer = bytes | bytearray | memoryview


class AnswerStatus(Enum):
    """What a final answer says."""

    SERVED = "served"
    NOT_MODIFIED = "not_modified"  # the client's own copy is the one
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CopyStamp:
    """Which copy an answer carries: its tag, the Unix second at which the origin gave it out, its group."""

    tag: str
    issued_at: float
    group: int | None = None


@dataclass(slots=True)
class ClientRequest:
    """A client's request in no protocol's terms; `name` is the object as passed on, `key` its number."""

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
    idempotency_key: str | None = None  # by which caches tell repeats of a keyed request; passed on as it is
    tenant: str | None = None  # where the front tells it
    fill: int | None = None  # a fill of a node in the hierarchy: its number,
    extra_fields: Callable[[str], Mapping[str, str]] | None = (
        None  # and what it tells a target beside the order
    )


@dataclass(slots=True)
class FinalAnswer:
    """The final answer."""

    status: AnswerStatus
    body: Buffer = b""
    retry_after: float | None = None
    stamp: "CopyStamp | None" = None  # of the copy that was served
    detail: ReplyDetail | None = None  # of the last attempt, where none was served
    served_by: str = ""  # whose answer was served


@dataclass(slots=True)
class UpstreamRequest:
    """What an attempt tells its target, as it stands at the moment of writing."""

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
    """How an attempt ended."""

    outcome: Outcome
    body: Buffer = b""
    not_modified: bool = False
    detail: ReplyDetail | None = None
    source_wait: float | None = None
    load_report: tuple[tuple[str, float], ...] = ()
    unresponsive: bool = False
    stamp: CopyStamp | None = None
    loop_hint: str = ""


NO_FIELDS: Mapping[str, str] = {}


class Timer(Protocol):
    """A timer that can be taken back."""

    def cancel(self) -> None: ...


class Scheduler(Protocol):
    """The clocks and timers: `monotonic` for durations, `unix` for the times of the rules."""

    def monotonic(self) -> float: ...
    def unix(self) -> float: ...
    def call_later(self, delay: float, call: Callable[[], None]) -> Timer: ...


class AttemptCarrier(Protocol):
    """What has taken charge of an attempt, such as a connection; says whether it was silent since."""

    @property
    def has_unread(self) -> bool:
        """Whether something has come that was not looked at yet."""
        ...

    def abandon(self, attempt: "UpstreamAttempt") -> bool: ...


class UpstreamPool(Protocol):
    """The side that carries attempts to caches; it names itself or a part of it as their carrier."""

    def start(self, attempt: "UpstreamAttempt") -> None: ...


class RequestInterceptor(Protocol):
    """What looks on and may say no: what the fleet has decided together. Each call answers at once.

    Where it is absent the exchange goes its ordinary way.
    """

    def admit(self, item: "PendingRequest", left: float) -> float | None:
        """A request is about to be taken in: None, or the seconds for which the client is to stay away."""
        ...

    def before_write(self, attempt: "UpstreamAttempt", left: float) -> ReplyDetail | None:
        """An attempt is about to be written: None, or the note under which it counts as refused."""
        ...

    def attempt_ended(self, attempt: "UpstreamAttempt", end: "AttemptResult") -> None:
        """An attempt has ended, written or not."""
        ...

    def request_ended(self, item: "PendingRequest") -> None:
        """A request that was taken in has its final answer, or its client has left."""
        ...


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt: waiting to be written, out, or over."""

    pending: "PendingRequest"
    number: int
    fetch: Fetch
    started_at: float
    expires_at: float
    timer: Timer | None = None
    carrier: AttemptCarrier | None = None
    written_at: float | None = None
    ended: bool = False
    never_resend: bool = False  # what may have run is never sent again
    chosen_members: tuple[Member | None, ...] = ()  # target and source as listed when they were chosen

    @property
    def id(self) -> str:
        return self.pending.request.id


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed its final answer."""

    serial: str
    request: ClientRequest
    send_answer: Callable[[FinalAnswer], None]
    received_at: float
    deadline: float
    client_disconnected: Callable[[], bool] | None = (
        None  # whether its client has left, of which nobody may have told yet
    )
    deadline_timer: Timer | None = None
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    last_detail: ReplyDetail | None = None
