"""The state of members, objects and requests that decisions rest on: records, which decide nothing.

Each field is written by one module of `paddlequay/policy/` or `paddlequay/routing/`, named beside it.
"""

import math
from dataclasses import dataclass, field
from enum import Enum

from paddlequay.routing.interface import Member, MemberState, Request, RequestClass, RetryBound


class CacheTier(Enum):
    """Where a member stands between clients and the origin."""

    EDGE = 0
    PARENT = 1
    ORIGIN = 2


@dataclass(slots=True)
class TokenBucket:
    """Work that may be sent to one member that warms up; `updated_at` is None while it is warm."""

    tokens: float = 0.0
    updated_at: float | None = None

    def take(self, work: float) -> None:
        """Work goes to the member; a negative amount comes back, as it was not done."""
        if self.updated_at is not None:
            self.tokens -= work


@dataclass(slots=True)
class Upstream:
    """What the router knows of one member of its list. Times are seconds of its clock."""

    # policy/member_directory.py
    member: Member
    tier: CacheTier
    listed_at: float
    presumed_restart_at: float | None = None  # taken to have restarted then, before the list says so
    # policy/outlier_ejection.py
    failures: int = 0
    last_failure_at: float = -math.inf
    ejected: bool = False
    last_success_at: float = -math.inf
    probe_at: float = 0.0
    probe_request: str | None = None
    transfer_capacity: float | None = None  # transfers at full rate that its outgoing link bears, if known
    # policy/concurrency_limits.py: work in flight there, and its limit, in mean requests
    concurrency_limit: float = 0.0
    in_flight: float = 0.0
    late_share: float = 0.0
    late_share_at: float = -math.inf
    limit_cut_at: float = -math.inf
    spare_capacity_at: float = -math.inf
    # policy/slow_start.py, by whoever sends
    slow_start_bucket: TokenBucket = field(default_factory=TokenBucket)

    @property
    def ready(self) -> bool:
        """Whether the list says so; draining counts at once."""
        return self.member.state in (None, MemberState.READY)

    @property
    def started(self) -> float | None:
        """Its last start, as listed or as presumed."""
        return self.member.started if self.presumed_restart_at is None else self.presumed_restart_at


@dataclass(slots=True)
class ObjectState:
    """How often one part of an object was read, and who holds it (policy/hot_objects.py)."""

    read_at: float
    read_count: float = 0.0
    holders: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptState:
    """One attempt that is in flight, or was (policy/attempts.py)."""

    target: Upstream
    source: Upstream
    sent_at: float
    fills: bool
    retry_bound: RetryBound | None = None  # what binds retries while this may have been executed
    ended: bool = False


@dataclass(slots=True)
class RequestState:
    """A request that is owed its final answer; `work` is in seconds, `cost` in mean requests."""

    # policy/router.py, with `settle`
    received: Request
    request_class: RequestClass
    deadline: float
    work: float
    cost: float
    sampling_draw: float
    object_state: ObjectState
    is_hot: bool
    streaming: bool = False
    # policy/attempts.py
    attempts: list[AttemptState] = field(default_factory=list)
    possibly_executed: AttemptState | None = None
    # policy/attempt_results.py
    failed_members: list[str] = field(default_factory=list)
    error_count: int = 0
    connection_lost: bool = False
    source_missed: bool = False  # no source has it, or none can reach it
    # policy/attempts.py
    retry_budget_spent: bool = False
    # policy/route_selection.py
    link_full: bool = False
    only_if_cached: bool = False

    @property
    def cacheable(self) -> bool:
        """Whether a cache may keep and serve the answer."""
        return not (self.request_class.uncacheable or self.received.write)

    def settle(self, number: int) -> AttemptState | None:
        """The attempt of that number, ended from now on; None if it had, or never began."""
        if number >= len(self.attempts) or self.attempts[number].ended:
            return None
        self.attempts[number].ended = True
        return self.attempts[number]

    def in_dedup_scope(self, server: Upstream) -> bool:
        """Whether the member drops a repeat of what may have been executed, as the class says."""
        return self.retry_bound is None or self.retry_bound.covers(server.member)

    @property
    def retry_bound(self) -> RetryBound | None:
        """What binds a retry; None while none may have been executed, and where retries are free."""
        return None if self.possibly_executed is None else self.possibly_executed.retry_bound

    @property
    def unanswered_attempt(self) -> AttemptState | None:
        """The attempt in flight, while nothing of its answer has come."""
        last = self.attempts[-1] if self.attempts and not self.streaming else None
        return None if last is None or last.ended else last

    @property
    def fill_blocked(self) -> bool:
        """Whether no source is tried again; what its home has cached may still do."""
        return self.source_missed or self.retry_budget_spent or self.link_full
