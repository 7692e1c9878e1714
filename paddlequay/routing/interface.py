"""The project's own interface: what a router is told (settings, events) and what it asks for (actions).

Times are seconds; `now` is any clock that does not go back. `None` always means "not told", never a default:
what to do without a value is for `paddlequay.policy` to decide.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Idempotency(Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class MemberState(Enum):
    """A member's place in its life, as the list tells it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    MISS = "miss"


class ReplyDetail(Enum):
    """What an answer tells of the copy or of the fill that failed."""

    HIT = 1
    FILLED = 2
    FILLED_FROM_ORIGIN = 3
    COALESCED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    FILL_LIMIT = 9
    ORIGIN_FAILED = 10
    FILL_LOOP = 11  # the target stands in the way of the fill itself
    STALE_TERM = 12  # a channel's later owner was seen: the one that asked for this is followed


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests; `fresh` 0 means that a copy is good until purged."""

    name: str
    latency_objective: float
    deadline: float
    idempotency: Idempotency
    priority_weight: float | None = None
    objective_per_work: float | None = None
    dedup_scope: str | None = None
    dedup_window: float | None = None
    freshness_lifetime: float | None = None
    stale_if_error: float | None = None
    uncacheable: bool | None = None


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A cold start: at `start` of full capacity, all of it after `warm_after`; falls at `multiple` of it."""

    initial_share: float | None = None
    duration: float | None = None
    overload_multiple: float | None = None
    overload_window: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """What a router is told when it starts."""

    zone: str
    classes: tuple[RequestClass, ...]
    router_count: int | None = None
    zone_router_count: int | None = None
    parent_kind: str | None = None
    origin_kind: str | None = None
    sibling_fills: str | None = None
    bypass_allowed: bool | None = None
    coalesces_fills: bool | None = None
    detailed_replies: bool | None = None
    flow_kb_per_s: float | None = None
    link_kb_per_s: float | None = None  # the link into the router's zone
    weights: str | None = None
    parallel_attempts: bool | None = None
    can_cancel: bool | None = None
    max_attempts: int | None = None
    max_retry_after: float | None = None
    must_subscribe: bool | None = None
    subscribe_within: float | None = None
    edge_slow_start: SlowStart = SlowStart()
    parent_slow_start: SlowStart = SlowStart()
    purge_completion: float | None = None

    @property
    def weights_give_capacity(self) -> bool:
        """Whether weights tell members' ways out, in transfers at `flow_kb_per_s`."""
        return self.weights in ("nominal", "rough") and bool(self.flow_kb_per_s)


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list: an edge cache, a parent or the origin."""

    name: str
    zone: str | None = None
    kind: str | None = None
    cell: int | None = None
    state: MemberState | None = None
    weight: float | None = None
    started: float | None = None


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """News of the list: all of it, changes only, or (`failed`) that it could not be had."""

    members: tuple[Member, ...]
    full: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the router owes it one final answer within `left`."""

    id: str
    class_name: str
    time_left: float
    key: int | None = None
    part: int | None = None
    group: int | None = None
    size_kb: float | None = None
    tenant: str | None = None
    retry: bool | None = None
    write: bool | None = None
    fill: int | None = None  # of a node in the hierarchy: the number of its fill


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of a streamed request has begun; the client owns the attempt from here on."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt's end; `final` when the client has its answer."""

    request: str
    attempt: int
    target: str
    outcome: Outcome
    latency: float
    final: bool = False
    detail: ReplyDetail | None = None
    source_wait: float | None = None
    load_report: tuple[tuple[str, float], ...] = ()
    unresponsive: bool = False  # no byte came on its connection since it was written
    loop_hint: str = ""  # with `LOOPED`: whom the target waits for


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left; nothing is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The router is being emptied and has no more time for this request: its final answer is due now."""

    request: str


@dataclass(frozen=True, slots=True)
class StateInherited:
    """What an older process of the same router had learned, as `Router.knowledge` gave it."""

    state: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class OutlierReported:
    """Several routers have lately found a member failing or silent: a hint, fresh when it is handed in."""

    member: str


@dataclass(frozen=True, slots=True)
class CopyReported:
    """A member was told to hold a part of an object: a hint, fresh when it is handed in."""

    key: int | None
    part: int | None
    member: str


@dataclass(frozen=True, slots=True)
class Purged:
    """An object, or without `key` a whole group, was purged `age` seconds ago."""

    age: float
    group: int | None = None
    key: int | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set is due."""

    token: str


Event = (
    MembersChanged
    | Request
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | AbandonRequest
    | StateInherited
    | OutlierReported
    | CopyReported
    | Purged
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class RetryBound:
    """What binds further attempts at a request of which one, at the member `ran`, may have run.

    They are written before `until`, in seconds of the decisions' clock (-inf: never), and at members that
    drop repeats of it: those of the `group`, "all", or of the zone or cell in which `ran` stood then.
    """

    until: float
    scope: str | None
    first_member: Member

    def covers(self, member: Member) -> bool:
        """Whether a member is of the group; one whose place is not told is of no group."""
        if self.scope == "zone":
            return member.zone is not None and member.zone == self.first_member.zone
        if self.scope == "cell":
            return member.cell is not None and member.cell == self.first_member.cell
        return self.scope == "all"


@dataclass(frozen=True, slots=True)
class Fetch:
    """An attempt at `target`; a miss is filled from `source` (the target itself: not at all)."""

    request: str
    target: str
    source: str
    retention: int
    timeout: float | None = None
    max_age: float | None = None
    coalesce: bool = False
    only_if_cached: bool = False
    refresh: bool = False
    retry_bound: RetryBound | None = None  # where an earlier attempt may have run and repeats are not free


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


# Why the decisions turned a request away: repeats used up, all edges busy, no edge or source open,
# no room for its fill in the plaza's link, surrender.
RejectCause = Literal["retries_exhausted", "edge_busy", "no_edge", "no_source", "link_full", "abandoned"]


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, a repeat is harmless, best after `retry_in`."""

    request: str
    retry_after: float | None = None
    cause: RejectCause = "no_source"  # for counts only


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerDue` in `delay` seconds."""

    delay: float
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the list and for changes to it."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = Fetch | Cancel | Reject | Fail | SetTimer | Subscribe | LogMessage
