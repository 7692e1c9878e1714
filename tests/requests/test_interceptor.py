"""An interceptor of the exchange may reject a request or a write, and is told of each end exactly once."""

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

REQUEST_CLASSES = (
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

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        return NoTimer()


class RecordingInterceptor:
    """Answers as it is configured, and records the ends that it is told of."""

    def __init__(self) -> None:
        self.retry_after: float | None = None
        self.write_rejection: ReplyDetail | None = None
        self.ended: list[tuple[str, str]] = []

    def admit(self, pending: PendingRequest, time_left: float) -> float | None:
        return self.retry_after

    def before_write(self, attempt: UpstreamAttempt, time_left: float) -> ReplyDetail | None:
        return self.write_rejection

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        self.ended.append((attempt.fetch.target, result.outcome.value))

    def request_ended(self, pending: PendingRequest) -> None:
        self.ended.append((pending.request.id, "request ended"))


class RecordingUpstreamPool:
    """Records the attempts that it is to start."""

    def __init__(self) -> None:
        self.started: list[UpstreamAttempt] = []

    def start(self, attempt: UpstreamAttempt) -> None:
        self.started.append(attempt)


def create_exchange(tmp_path: Path) -> tuple[Exchange, RecordingInterceptor, RecordingUpstreamPool]:
    settings = RoutingSettings(
        zone="here",
        classes=REQUEST_CLASSES,
        parent_kind="parent",
        origin_kind="origin",
        bypass_allowed=True,
    )
    limits = Limits()
    exchange = Exchange(
        Router(settings, 1),
        OperatorState(tmp_path / "overrides"),
        ProcessQuotas(limits),
        limits,
        Clock(),
        Counters(),
    )
    interceptor, upstreams = RecordingInterceptor(), RecordingUpstreamPool()
    exchange.attempts.interceptor, exchange.attempts.upstreams = interceptor, upstreams
    exchange.update_members(MEMBERS, full=True)
    return exchange, interceptor, upstreams


def client_request(id: str, class_name: str = "video") -> ClientRequest:
    return ClientRequest(id, class_name, 2.0, "0000000000000007", 7, 0, None)


def test_request_over_a_fleet_limit_is_rejected_at_once_with_a_retry_after(
    tmp_path: Path,
) -> None:
    exchange, interceptor, upstreams = create_exchange(tmp_path)
    answers: list[FinalAnswer] = []
    interceptor.retry_after = 0.4
    assert exchange.submit(client_request("a", "charge"), answers.append) is None
    assert [(answer.status, answer.retry_after) for answer in answers] == [(AnswerStatus.REJECTED, 0.4)]
    assert (
        not exchange.pending
        and not exchange.intake.open_ids
        and not upstreams.started
        and not interceptor.ended
    )
    assert exchange.counters.counts["rejected.fleet_limit"] == 1


def test_attempt_over_a_fleet_limit_ends_as_rejected_and_the_request_is_retried_at_another_member(
    tmp_path: Path,
) -> None:
    exchange, interceptor, upstreams = create_exchange(tmp_path)
    answers: list[FinalAnswer] = []
    exchange.submit(client_request("a"), answers.append)
    interceptor.write_rejection = ReplyDetail.SOURCE_REJECTED
    assert exchange.attempts.prepare_write(upstreams.started[0]) is None
    interceptor.write_rejection = None
    assert interceptor.ended == [("box", "rejected")]
    assert len(upstreams.started) == 2 and exchange.attempts.prepare_write(upstreams.started[1]) is not None


def test_interceptor_is_told_once_of_the_end_of_each_attempt_and_request(tmp_path: Path) -> None:
    exchange, interceptor, upstreams = create_exchange(tmp_path)
    answers: list[FinalAnswer] = []
    exchange.submit(client_request("a"), answers.append)
    attempt = upstreams.started[0]
    assert exchange.attempts.prepare_write(attempt) is not None
    exchange.attempts.mark_written(attempt)
    exchange.attempts.end(attempt, AttemptResult(Outcome.SERVED, b"x"))
    exchange.attempts.end(attempt, AttemptResult(Outcome.SERVED, b"x"))
    assert [answer.status for answer in answers] == [AnswerStatus.SERVED]
    assert interceptor.ended == [("box", "served"), ("a", "request ended")]


def test_interceptor_is_told_once_of_a_request_whose_client_has_disconnected(tmp_path: Path) -> None:
    """The interceptor returns the permits of the request's attempts then."""
    exchange, interceptor, upstreams = create_exchange(tmp_path)
    pending = exchange.submit(client_request("a"), lambda _: None)
    assert pending is not None and exchange.attempts.prepare_write(upstreams.started[0]) is not None
    exchange.withdraw(pending)
    assert interceptor.ended == [("a", "request ended")]
