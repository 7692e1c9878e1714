"""What looks on at the exchange: may refuse a request or a write, and hears each end exactly once."""

from collections.abc import Callable
from pathlib import Path

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import (
    AnswerStatus,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    PendingRequest,
    Timer,
    UpstreamAttempt,
)
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import (
    Idempotency,
    Member,
    Outcome,
    ReplyDetail,
    RequestClass,
    RoutingSettings,
)

KINDS = (
    RequestClass("video", latency_objective=0.5, deadline=2.0, idempotency=Idempotency.IDEMPOTENT),
    RequestClass(
        "charge",
        latency_objective=0.5,
        deadline=2.0,
        idempotency=Idempotency.NON_IDEMPOTENT,
        uncacheable=True,
    ),
)
MEMBERS = (Member("box", "here", "box"), Member("aimag", "hub", "parent"), Member("store", "hub", "origin"))


class NoTimer:
    def cancel(self) -> None: ...


class Clock:
    def monotonic(self) -> float:
        return 10.0

    def unix(self) -> float:
        return 1000.0

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        return NoTimer()


class Looker:
    """Says what it is set to, and keeps what it heard."""

    def __init__(self) -> None:
        self.wait: float | None = None
        self.note: ReplyDetail | None = None
        self.heard: list[tuple[str, str]] = []

    def admit(self, item: PendingRequest, left: float) -> float | None:
        return self.wait

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        return self.note

    def attempt_ended(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        self.heard.append((attempt.fetch.target, end.outcome.value))

    def request_ended(self, item: PendingRequest) -> None:
        self.heard.append((item.request.id, "over"))


class Side:
    """The caches' side: what was to be started."""

    def __init__(self) -> None:
        self.started: list[UpstreamAttempt] = []

    def start(self, attempt: UpstreamAttempt) -> None:
        self.started.append(attempt)


def made(tmp_path: Path) -> tuple[Exchange, Looker, Side]:
    settings = RoutingSettings(
        zone="here", classes=KINDS, parent_kind="parent", origin_kind="origin", bypass_allowed=True
    )
    limits = Limits()
    exchange = Exchange(
        Router(settings, 1),
        OperatorState(tmp_path / "orders"),
        ProcessQuotas(limits),
        limits,
        Clock(),
        Counters(),
    )
    looker, side = Looker(), Side()
    exchange.attempts.interceptor, exchange.attempts.upstreams = looker, side
    exchange.update_members(MEMBERS, full=True)
    return exchange, looker, side


def ask(id: str, kind: str = "video") -> ClientRequest:
    return ClientRequest(id, kind, 2.0, "0000000000000007", 7, 0, None)


def test_a_request_over_a_fleet_limit_is_rejected_at_once_with_a_retry_after(
    tmp_path: Path,
) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[FinalAnswer] = []
    looker.wait = 0.4
    assert exchange.submit(ask("a", "charge"), replies.append) is None
    assert [(reply.status, reply.retry_after) for reply in replies] == [(AnswerStatus.REJECTED, 0.4)]
    assert not exchange.pending and not exchange.intake.open_ids and not side.started and not looker.heard
    assert exchange.counters.counts["rejected.fleet_limit"] == 1


def test_an_attempt_over_a_limit_counts_as_rejected_and_the_request_is_retried_elsewhere(
    tmp_path: Path,
) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[FinalAnswer] = []
    exchange.submit(ask("a"), replies.append)
    looker.note = ReplyDetail.SOURCE_REJECTED
    assert exchange.attempts.prepare_write(side.started[0]) is None
    looker.note = None
    assert looker.heard == [("box", "rejected")]
    assert len(side.started) == 2 and exchange.attempts.prepare_write(side.started[1]) is not None


def test_interceptors_see_each_attempt_end_and_request_end_once(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[FinalAnswer] = []
    exchange.submit(ask("a"), replies.append)
    attempt = side.started[0]
    assert exchange.attempts.prepare_write(attempt) is not None
    exchange.attempts.mark_written(attempt)
    exchange.attempts.end(attempt, AttemptResult(Outcome.SERVED, b"x"))
    exchange.attempts.end(attempt, AttemptResult(Outcome.SERVED, b"x"))
    assert [reply.status for reply in replies] == [AnswerStatus.SERVED]
    assert looker.heard == [("box", "served"), ("a", "over")]


def test_a_disconnected_client_returns_the_permits_of_its_attempts(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    item = exchange.submit(ask("a"), lambda _: None)
    assert item is not None and exchange.attempts.prepare_write(side.started[0]) is not None
    exchange.withdraw(item)
    assert looker.heard == [("a", "over")]
