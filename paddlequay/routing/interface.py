"""The decisions' own interface: settings, the events that they get, and the actions that they return.

Times are seconds; `now` is any clock that does not go back. `None` always means "not given", never a default:
what to do without a value is for `paddlequay.policy` to decide.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Idempotency(Enum):
    """What a retry of a request does. The values are those of the programs that exchange them."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class MemberState(Enum):
    """A member's state, as the list gives it. The values stand in saved files, and stay."""

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
    """What an answer says of the copy, or of the fill that failed."""

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
    FILL_LOOP = 11  # the target waits for the fill itself
    STALE_TERM = 12  # a channel has a later owner: the one that requested this is superseded


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. Times are seconds.

    `deadline`: the longest time that a client waits; `latency_objective`: the time within which an answer has
    its full value, `objective_per_work` more for each second of work; `priority_weight`: the value of an
    answer; `dedup_scope` and `dedup_window`: among which caches ("all", "zone", "cell") and for how long a
    repeat under one idempotency key is dropped; `freshness_lifetime`: 0 means that a copy is good until
    purged; `stale_if_error`: how long after that it still may do.
    """

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
    """How a member warms up, in seconds and shares of its full capacity.

    It begins at `initial_share` and has all of it after `duration`. It falls over when it gets more than
    `overload_multiple` of what it can do, over `overload_window`.
    """

    initial_share: float | None = None
    duration: float | None = None
    overload_multiple: float | None = None
    overload_window: float | None = None


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """What the decisions are given at the start.

    Counts are routers of the whole platform and of this zone; rates are kilobytes a second; times are
    seconds.
    """

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
        """Whether weights give members' outgoing capacity, in transfers at `flow_kb_per_s`."""
        return self.weights in ("nominal", "rough") and bool(self.flow_kb_per_s)


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list: an edge cache, a parent or the origin. `started` is in Unix seconds."""

    name: str
    zone: str | None = None
    kind: str | None = None
    cell: int | None = None
    state: MemberState | None = None
    weight: float | None = None
    started: float | None = None


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The list, changes to it, or (`failed`) that it could not be read."""

    members: tuple[Member, ...]
    full: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the router owes it one final answer within `time_left` seconds."""

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
    """The end of one attempt; `final` when the client has its answer.

    `latency` and `source_wait`, the wait for a fill's source, are in seconds.
    """

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
    loop_hint: str = ""  # with `FILL_LOOP`: whom the target waits for


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has left or cancelled; nothing is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The router is being drained and has no more time for this request: its final answer is due now."""

    request: str


@dataclass(frozen=True, slots=True)
class StateInherited:
    """What a predecessor process of the same router had learned, as `Router.export_state` gave it."""

    state: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class OutlierReported:
    """Several routers have lately found a member failing or unresponsive: a hint, fresh when handed in."""

    member: str


@dataclass(frozen=True, slots=True)
class CopyReported:
    """A member is reported to hold a part of an object: a hint, fresh when handed in."""

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
    """What binds retries of a request of which an attempt, at `first_member`, may have been executed.

    They are written before `until`, in seconds of the decisions' clock (-inf: never), and at members that
    drop repeats of it: those of the `scope`, "all", or of the zone or cell in which `first_member` stood
    then.
    """

    until: float
    scope: str | None
    first_member: Member

    def covers(self, member: Member) -> bool:
        """Whether a member is in the scope; one whose place is unknown is in none."""
        if self.scope == "zone":
            return member.zone is not None and member.zone == self.first_member.zone
        if self.scope == "cell":
            return member.cell is not None and member.cell == self.first_member.cell
        return self.scope == "all"


@dataclass(frozen=True, slots=True)
class Fetch:
    """An attempt at `target`; a miss is filled from `source` (the target itself: not at all).

    `retention`: the rank at which the copy is kept, 0 to 3; `timeout` and `max_age`, of the copy, in seconds;
    `coalesce`: join a fill under way; `only_if_cached`: do not go on to the origin; `refresh`: fill again
    before the copy is stale.
    """

    request: str
    target: str
    source: str
    retention: int
    timeout: float | None = None
    max_age: float | None = None
    coalesce: bool = False
    only_if_cached: bool = False
    refresh: bool = False
    retry_bound: RetryBound | None = (
        None  # where an earlier attempt may have been executed and retries are not free
    )


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abandon an attempt."""

    request: str
    attempt: int


# Why the decisions reject a request; `link_full`: the zone's link has no capacity for its fill.
RejectCause = Literal["retries_exhausted", "edge_busy", "no_edge", "no_source", "link_full", "abandoned"]


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, a retry is harmless, best after `retry_after` seconds."""

    request: str
    retry_after: float | None = None
    cause: RejectCause = "no_source"  # for counts only


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` in `delay` seconds."""

    delay: float
    token: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the list and changes to it."""


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators."""

    text: str


Action = Fetch | Cancel | Reject | Fail | SetTimer | Subscribe | LogMessage
