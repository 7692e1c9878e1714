"""What looks on at the exchange: may refuse a request or a write, and hears each end exactly once."""

from collections.abc import Callable
from pathlib import Path

from paddlequay.requests.messages import Ask, Attempt, End, Open, Reply, Timer, Verdict
from paddlequay.config.loader import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Effect, Member, Note, Outcome, RequestClass, Settings
from paddlequay.lifecycle.operator_state import Operation
from paddlequay.policy import Router
from paddlequay.requests.quotas import Shares

KINDS = (
    RequestClass("video", aim=0.5, deadline=2.0, effect=Effect.SAFE),
    RequestClass("charge", aim=0.5, deadline=2.0, effect=Effect.UNSAFE, uncacheable=True),
)
MEMBERS = (Member("box", "here", "box"), Member("aimag", "hub", "parent"), Member("store", "hub", "origin"))


class NoTimer:
    def cancel(self) -> None: ...


class Clock:
    def monotonic(self) -> float:
        return 10.0

    def unix(self) -> float:
        return 1000.0

    def later(self, delay: float, call: Callable[[], None]) -> Timer:
        return NoTimer()


class Looker:
    """Says what it is set to, and keeps what it heard."""

    def __init__(self) -> None:
        self.wait: float | None = None
        self.note: Note | None = None
        self.heard: list[tuple[str, str]] = []

    def asked(self, item: Open, left: float) -> float | None:
        return self.wait

    def writing(self, attempt: Attempt, left: float) -> Note | None:
        return self.note

    def ended(self, attempt: Attempt, end: End) -> None:
        self.heard.append((attempt.fetch.target, end.outcome.value))

    def over(self, item: Open) -> None:
        self.heard.append((item.ask.id, "over"))


class Side:
    """The caches' side: what was to be started."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)


def made(tmp_path: Path) -> tuple[Exchange, Looker, Side]:
    settings = Settings(zone="here", classes=KINDS, parent_kind="parent", origin_kind="origin", direct=True)
    limits = Limits()
    exchange = Exchange(
        Router(settings, 1), Operation(tmp_path / "orders"), Shares(limits), limits, Clock(), Counters()
    )
    looker, side = Looker(), Side()
    exchange.watch, exchange.caches = looker, side
    exchange.list_changed(MEMBERS, full=True)
    return exchange, looker, side


def ask(id: str, kind: str = "video") -> Ask:
    return Ask(id, kind, 2.0, "0000000000000007", 7, 0, None)


def test_a_request_over_a_limit_of_the_fleet_is_refused_at_once_with_a_time_and_never_taken_in(
    tmp_path: Path,
) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[Reply] = []
    looker.wait = 0.4
    assert exchange.ask(ask("a", "charge"), replies.append) is None
    assert [(reply.verdict, reply.retry_in) for reply in replies] == [(Verdict.REFUSED, 0.4)]
    assert not exchange.open and not exchange.ids and not side.started and not looker.heard
    assert exchange.counters.counts["refused.fleet_limit"] == 1


def test_a_write_over_a_limit_counts_as_refused_and_the_request_goes_another_way(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[Reply] = []
    exchange.ask(ask("a"), replies.append)
    looker.note = Note.SOURCE_REFUSED
    assert exchange.order(side.started[0]) is None
    looker.note = None
    assert looker.heard == [("box", "refused")]
    assert len(side.started) == 2 and exchange.order(side.started[1]) is not None


def test_each_end_is_heard_once_and_the_requests_own_end_too(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    replies: list[Reply] = []
    exchange.ask(ask("a"), replies.append)
    attempt = side.started[0]
    assert exchange.order(attempt) is not None
    exchange.written(attempt)
    exchange.end(attempt, End(Outcome.SERVED, b"x"))
    exchange.end(attempt, End(Outcome.SERVED, b"x"))
    assert [reply.verdict for reply in replies] == [Verdict.SERVED]
    assert looker.heard == [("box", "served"), ("a", "over")]


def test_a_client_that_leaves_gives_back_what_its_attempts_were_lent(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    item = exchange.ask(ask("a"), lambda _: None)
    assert item is not None and exchange.order(side.started[0]) is not None
    exchange.withdraw(item)
    assert looker.heard == [("a", "over")]
