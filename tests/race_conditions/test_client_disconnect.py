"""A client that has left: nothing is begun for it any more, nor sent on of what waited."""

from pathlib import Path

from test_interceptor import ask, made

from paddlequay.requests.messages import AttemptResult, FinalAnswer
from paddlequay.routing.interface import Outcome


def test_no_retry_starts_after_the_client_disconnected(tmp_path: Path) -> None:
    exchange, looker, side = made(tmp_path)
    gone: list[bool] = []
    exchange.submit(ask("a"), list[FinalAnswer]().append, lambda: bool(gone))
    attempt = side.started[0]
    assert exchange.attempts.prepare_write(attempt) is not None
    exchange.attempts.mark_written(attempt)
    gone.append(True)
    exchange.attempts.end(
        attempt, AttemptResult(Outcome.MISS)
    )  # asks for the next step, in the turn in which the client leaves
    assert len(side.started) == 1 and not exchange.pending
    assert looker.heard[-1] == ("a", "over")


def test_a_request_that_waits_for_its_connection_is_dropped_after_a_disconnect(tmp_path: Path) -> None:
    exchange, _, side = made(tmp_path)
    gone: list[bool] = []
    exchange.submit(ask("a"), list[FinalAnswer]().append, lambda: bool(gone))
    gone.append(True)
    assert exchange.attempts.prepare_write(side.started[0]) is None
    assert (
        not exchange.pending and not exchange.intake.open_ids and exchange.counters.counts["withdrawn"] == 1
    )
