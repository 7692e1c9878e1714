"""An answer and its time-out in one turn of the loop: what has come is looked at first."""

from pathlib import Path

import pytest
from rig_retries import FEE, PAGE, Rig

from paddlequay.requests.attempts import UNREAD_GRACE_S
from paddlequay.requests.messages import AnswerStatus, AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome, RequestClass


def at_its_time(rig: Rig, kind: RequestClass) -> UpstreamAttempt:
    """An attempt that is out, at the moment of its time-out, with something unread on its connection."""
    rig.ask(kind.name)
    attempt = rig.side.write()
    assert attempt is not None
    rig.side.has_unread = True
    rig.clock.move(attempt.expires_at - rig.clock.now)
    assert not attempt.ended
    return attempt


@pytest.mark.parametrize("kind", [PAGE, FEE])
def test_an_answer_received_by_its_timeout_counts(tmp_path: Path, kind: RequestClass) -> None:
    rig = Rig(tmp_path, (kind,))
    rig.exchange.attempts.end(at_its_time(rig, kind), AttemptResult(Outcome.SERVED, b"x"))
    assert [reply.status for reply in rig.replies["a"]] == [AnswerStatus.SERVED]
    rig.clock.move(1.0)
    assert len(rig.replies["a"]) == 1 and not rig.exchange.pending


@pytest.mark.parametrize("kind", [PAGE, FEE])
def test_unread_bytes_for_other_requests_postpone_a_timeout_once(tmp_path: Path, kind: RequestClass) -> None:
    rig = Rig(tmp_path, (kind,))
    attempt = at_its_time(rig, kind)
    rig.clock.move(1.5 * UNREAD_GRACE_S)  # there is something unread all the while
    assert attempt.ended and rig.counters.counts["ended.timeout"] == 1
