"""A client that has left: nothing is begun for it any more, nor sent on of what waited."""

from pathlib import Path

from test_watch import ask, made

from paddlequay.requests.messages import AttemptResult, FinalAnswer
from paddlequay.routing.interface import Outcome


def test_no_further_attempt_begins_for_a_client_that_left_before_the_first_one_s_end(tmp_path: Path) -> None:
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


def test_what_waited_for_its_connection_is_not_written_once_its_client_has_left(tmp_path: Path) -> None:
    exchange, _, side = made(tmp_path)
    gone: list[bool] = []
    exchange.submit(ask("a"), list[FinalAnswer]().append, lambda: bool(gone))
    gone.append(True)
    assert exchange.attempts.prepare_write(side.started[0]) is None
    assert not exchange.pending and not exchange.open_ids and exchange.counters.counts["withdrawn"] == 1
