"""The state of members, objects and requests that several rules of `paddlequay.policy` share.

The comment above a group of fields names the module that writes them; all other modules only read them.
"""

import math
from dataclasses import dataclass, field
from enum import IntEnum

from paddlequay.routing.interface import Member, MemberState, Request, RequestClass, RetryBound


class CacheTier(IntEnum):
    """The place of a member between clients and the origin.

    It is an integer enum, because members are looked up by tier for each request and plain enums hash slowly.
    """

    EDGE = 0
    PARENT = 1
    ORIGIN = 2


@dataclass(slots=True)
class TokenBucket:
    """Work that may be sent to one member in slow start; `updated_at` is None while there is no limit."""

    tokens: float = 0.0
    updated_at: float | None = None

    def disable(self) -> None:
        """Removes the limit, as the member has warmed up."""
        self.updated_at = None

    def take(self, work: float) -> None:
        """Takes the tokens for work sent to the member; negative `work` puts back those for work not done."""
        if self.updated_at is not None:
            self.tokens -= work


@dataclass(slots=True)
class Upstream:
    """What the router knows about one member of the endpoint list. Times are seconds of its clock."""

    # policy/member_directory.py
    member: Member
    tier: CacheTier
    listed_at: float
    presumed_restart_at: float | None = None  # when a restart was detected that the list does not report yet
    transfer_capacity: float | None = None  # transfers at full rate that its outgoing link carries, if known
    # policy/outlier_ejection.py
    failures: int = 0
    last_failure_at: float = -math.inf
    ejected: bool = False
    last_success_at: float = -math.inf
    probe_at: float = 0.0
    probe_request: str | None = None
    # policy/concurrency_limits.py, in mean requests
    concurrency_limit: float = 0.0
    in_flight: float = 0.0
    late_ratio: float = 0.0
    late_ratio_at: float = -math.inf
    limit_cut_at: float = -math.inf
    spare_capacity_at: float = -math.inf
    # policy/slow_start.py
    slow_start_bucket: TokenBucket = field(default_factory=TokenBucket)

    @property
    def ready(self) -> bool:
        """Whether the endpoint list reports the member as ready; a draining member is not ready."""
        return self.member.state in (None, MemberState.READY)

    @property
    def started(self) -> float | None:
        """The time of the presumed restart, else of the start in the endpoint list; None if unknown."""
        return self.member.started if self.presumed_restart_at is None else self.presumed_restart_at


@dataclass(slots=True)
class PartState:
    """How often one part of an object was read, and which caches hold it (`policy/hot_objects.py`)."""

    read_at: float
    read_count: float = 0.0
    holders: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptState:
    """One attempt, in flight or ended (`policy/attempts.py`)."""

    target: Upstream
    source: Upstream
    sent_at: float
    fills: bool  # whether the target is presumed to lack the part and to fill it from the source
    retry_bound: RetryBound | None = None  # binds retries while this attempt may have been executed
    ended: bool = False


@dataclass(slots=True)
class RequestState:
    """A request without a final answer; `work` is in seconds, `cost` in mean requests."""

    # policy/router.py
    received: Request
    request_class: RequestClass
    deadline: float
    work: float
    cost: float
    sampling_draw: float
    part_state: PartState
    is_hot: bool
    streaming: bool = False
    # policy/attempts.py
    attempts: list[AttemptState] = field(default_factory=list)
    possibly_executed: AttemptState | None = None
    # policy/attempt_results.py
    failed_members: list[str] = field(default_factory=list)
    error_count: int = 0
    connection_lost: bool = False
    source_missed: bool = False  # no source has the object, or none can reach the origin
    # policy/retry_rules.py
    retry_budget_exhausted: bool = False
    # policy/source_selection.py
    link_full: bool = False
    only_if_cached: bool = False

    @property
    def cacheable(self) -> bool:
        """Whether a cache may store and serve the answer."""
        return not (self.request_class.uncacheable or self.received.write)

    def end_attempt(self, number: int) -> AttemptState | None:
        """Marks an attempt as ended and returns it; None if it has ended before or was never sent."""
        if number >= len(self.attempts) or self.attempts[number].ended:
            return None
        self.attempts[number].ended = True
        return self.attempts[number]

    def in_dedup_scope(self, upstream: Upstream) -> bool:
        """Whether a member would drop this request if it repeats an attempt that was executed."""
        return self.retry_bound is None or self.retry_bound.covers(upstream.member)

    @property
    def retry_bound(self) -> RetryBound | None:
        """The bound on retries; None if no attempt can have been executed, or retries are not bounded."""
        return None if self.possibly_executed is None else self.possibly_executed.retry_bound

    @property
    def unanswered_attempt(self) -> AttemptState | None:
        """The attempt in flight, until its answer begins."""
        if self.streaming or not self.attempts:
            return None
        last = self.attempts[-1]
        return None if last.ended else last

    @property
    def fill_blocked(self) -> bool:
        """Whether no fill may be requested; an edge may still serve what it has cached."""
        return self.source_missed or self.retry_budget_exhausted or self.link_full
