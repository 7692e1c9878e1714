"""Router and exchange as the program wires them, on a clock and a caches' side that a test drives by hand."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import (
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    Timer,
    UpstreamAttempt,
    UpstreamRequest,
)
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import (
    Idempotency,
    Member,
    MemberState,
    Outcome,
    RequestClass,
    RoutingSettings,
)

DEADLINE = 2.0


@dataclass(eq=False)
class Due:
    """A timer."""

    at: float
    call: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


class Clock:
    """Time that stands still until it is moved; what is due runs on the way, in order."""

    def __init__(self) -> None:
        self.now = 10.0
        self.timers: list[Due] = []

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return 1_000_000.0 + self.now

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        self.timers.append(Due(self.now + max(0.0, delay), call))
        return self.timers[-1]

    def move(self, seconds: float) -> None:
        end = self.now + seconds
        while due := [timer for timer in self.timers if timer.at <= end and not timer.cancelled]:
            first = min(due, key=lambda timer: timer.at)
            self.timers.remove(first)
            self.now = max(self.now, first.at)
            first.call()
        self.timers = [timer for timer in self.timers if not timer.cancelled]
        self.now = end


@dataclass(frozen=True)
class Write:
    """One attempt as it was written."""

    attempt: UpstreamAttempt
    order: UpstreamRequest
    at: float


class Side:
    """Attempts wait until a test lets them be written, as while a connection comes up."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.exchange: Exchange | None = None
        self.waiting: list[UpstreamAttempt] = []
        self.out: list[UpstreamAttempt] = []
        self.writes: list[Write] = []
        self.has_unread = False

    def start(self, attempt: UpstreamAttempt) -> None:
        attempt.carrier = self
        self.waiting.append(attempt)

    def abandon(self, attempt: UpstreamAttempt) -> bool:
        for held in (self.waiting, self.out):
            if attempt in held:
                held.remove(attempt)
        return False

    def write(self, attempt: UpstreamAttempt | None = None) -> UpstreamAttempt | None:
        """The connection is up for one that waits; gives it where it was written."""
        assert self.exchange is not None
        attempt = self.waiting[0] if attempt is None else attempt
        self.waiting.remove(attempt)
        order = self.exchange.attempts.prepare_write(attempt)
        if order is None:
            return None
        self.out.append(attempt)
        self.exchange.attempts.mark_written(attempt)
        self.writes.append(Write(attempt, order, self.clock.now))
        return attempt

    def end(self, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        assert self.exchange is not None
        for held in (self.waiting, self.out):
            if attempt in held:
                held.remove(attempt)
        self.exchange.attempts.end(attempt, AttemptResult(outcome))


def entry(name: str, zone: str | None, cell: int | None, kind: str = "box", **also: object) -> Member:
    return Member(name, zone, kind, cell, **({"state": MemberState.READY} | also))  # type: ignore[arg-type]


MEMBERS = (
    *(entry(f"box-{n}", "here", n // 2) for n in range(4)),
    entry("parent-0", "hub", None, "parent"),
    entry("origin-0", "hub", None, "origin"),
)


@dataclass
class Rig:
    """One router. `direct` false: writes go by a cache, as only there a group has several members."""

    folder: Path
    kinds: tuple[RequestClass, ...]
    direct: bool = False
    can_cancel: bool | None = True
    parallel: bool | None = True
    max_attempts: int | None = 6
    members: tuple[Member, ...] = MEMBERS
    clock: Clock = field(default_factory=Clock)
    replies: dict[str, list[FinalAnswer]] = field(default_factory=dict)
    replied: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings = RoutingSettings(
            zone="here",
            classes=self.kinds,
            parent_kind="parent",
            origin_kind="origin",
            bypass_allowed=self.direct,
            can_cancel=self.can_cancel,
            parallel_attempts=self.parallel,
            max_attempts=self.max_attempts,
            max_retry_after=1.0,
            detailed_replies=True,
        )
        limits = Limits()
        self.counters = Counters()
        self.side = Side(self.clock)
        self.operation = OperatorState(self.folder / "orders")
        self.exchange = Exchange(
            Router(settings, 1), self.operation, ProcessQuotas(limits), limits, self.clock, self.counters
        )
        self.exchange.attempts.upstreams = self.side
        self.side.exchange = self.exchange
        self.exchange.update_members(self.members, full=True)

    def ask(self, kind: str, id: str = "a", key: int = 7, gone: Callable[[], bool] | None = None) -> None:
        self.replies[id] = []
        ask = ClientRequest(id, kind, DEADLINE, f"{key:016x}", key, 0, key % 2)

        def reply(given: FinalAnswer) -> None:
            self.replies[id].append(given)
            self.replied[id] = self.clock.now

        self.exchange.submit(ask, reply, gone)


def keyed(group: str | None, window: float | None = 0.3) -> RequestClass:
    return RequestClass(
        "hold", 0.5, DEADLINE, Idempotency.IDEMPOTENCY_KEY, None, None, group, window, uncacheable=True
    )


PAGE = RequestClass("page", 0.5, DEADLINE, Idempotency.IDEMPOTENT)
FEE = RequestClass("fee", 0.5, DEADLINE, Idempotency.NON_IDEMPOTENT, uncacheable=True)
