"""A client that has left: nothing is begun for it any more, nor sent on of what waited."""

from pathlib import Path

from test_interceptor import client_request, create_exchange

from paddlequay.requests.messages import AttemptResult, FinalAnswer
from paddlequay.routing.interface import Outcome


def test_no_retry_starts_after_the_client_disconnected(tmp_path: Path) -> None:
    exchange, looker, side = create_exchange(tmp_path)
    gone: list[bool] = []
    exchange.submit(client_request("a"), list[FinalAnswer]().append, lambda: bool(gone))
    attempt = side.started[0]
    assert exchange.attempts.prepare_write(attempt) is not None
    exchange.attempts.mark_written(attempt)
    gone.append(True)
    exchange.attempts.end(
        attempt, AttemptResult(Outcome.MISS)
    )  # asks for the next step, in the turn in which the client leaves
    assert len(side.started) == 1 and not exchange.pending
    assert looker.ended[-1] == ("a", "request ended")


def test_a_request_that_waits_for_its_connection_is_dropped_after_a_disconnect(tmp_path: Path) -> None:
    exchange, _, side = create_exchange(tmp_path)
    gone: list[bool] = []
    exchange.submit(client_request("a"), list[FinalAnswer]().append, lambda: bool(gone))
    gone.append(True)
    assert exchange.attempts.prepare_write(side.started[0]) is None
    assert (
        not exchange.pending and not exchange.intake.open_ids and exchange.counters.counts["withdrawn"] == 1
    )
