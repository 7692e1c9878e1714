"""What fails while one thing is carried out is its own: the others go on, and each request has its answer."""

from pathlib import Path

import pytest
from rig_retries import FEE, PAGE, Rig, entry

from paddlequay.requests.messages import (
    AnswerStatus,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    UpstreamAttempt,
)
from paddlequay.routing.interface import Action, Event, MembersChanged, MemberState, Outcome


class NobodyExpectsError(Exception):
    """What nobody expects."""


def test_a_failed_start_ends_only_its_attempt_as_not_sent(tmp_path: Path) -> None:
    """No descriptor for a connection: nothing was written, so even a fee may go on elsewhere."""
    rig = Rig(tmp_path, (FEE,), direct=True)
    start, failed = rig.side.start, list[UpstreamAttempt]()

    def fails_once(attempt: UpstreamAttempt) -> None:
        if not failed:
            failed.append(attempt)
            raise OSError(24, "Too many open files")
        start(attempt)

    rig.side.start = fails_once  # type: ignore[method-assign]
    rig.ask("fee")
    assert failed[0].ended and rig.counters.counts["ended.not_sent"] == 1
    (again,) = rig.side.waiting
    assert rig.side.write(again) is again and not rig.replies["a"]


def test_an_attempt_that_failed_after_its_write_may_have_run(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (FEE,), direct=True)
    start = rig.side.start

    def writes_and_fails(attempt: UpstreamAttempt) -> None:
        start(attempt)
        rig.side.write(attempt)
        raise NobodyExpectsError

    rig.side.start = writes_and_fails  # type: ignore[method-assign]
    rig.ask("fee")
    assert len(rig.side.writes) == 1 and not rig.side.out, "given up"
    assert [reply.status for reply in rig.replies["a"]] == [AnswerStatus.FAILED] and not rig.exchange.pending


def test_one_action_that_fails_loses_no_other_of_the_same_event(tmp_path: Path) -> None:
    """A member leaves: what waits at it is recalled, each request for itself."""
    rig = Rig(tmp_path, (PAGE,))
    for number in range(4):
        rig.ask("page", f"a{number}", key=7)
    (target,) = {attempt.fetch.target for attempt in rig.side.waiting}
    waiting, abandon = rig.side.waiting[:], rig.side.abandon

    def fails_first(attempt: UpstreamAttempt) -> bool:
        if attempt is waiting[0]:
            raise NobodyExpectsError
        return abandon(attempt)

    rig.side.abandon = fails_first  # type: ignore[method-assign]
    rig.exchange.update_members((entry(target, "here", 0, state=MemberState.REMOVED),), False)
    assert all(attempt.ended for attempt in waiting)
    assert {attempt.id for attempt in rig.side.waiting if not attempt.ended} == {"a0", "a1", "a2", "a3"}


def test_a_failed_answer_callback_affects_no_other_request(tmp_path: Path) -> None:
    """The end of its attempt is told to the decisions all the same: what it held there comes free."""
    rig = Rig(tmp_path, (PAGE,))

    def broken(reply: FinalAnswer) -> None:
        raise NobodyExpectsError

    rig.exchange.submit(ClientRequest("a", "page", 2.0, "07", 7, 0, None), broken)
    first = rig.side.write()
    assert first is not None
    rig.exchange.attempts.end(first, AttemptResult(Outcome.SERVED, b"x"))
    servers = rig.exchange.router.state.members.upstreams.values()
    assert not rig.exchange.pending and not rig.exchange.router.requests
    assert all(server.in_flight == 0.0 for server in servers)
    rig.ask("page", "b")
    assert rig.side.write() is not None


@pytest.mark.parametrize("event", ["request", "end"])
def test_a_failed_decision_answers_its_request_and_cancels_its_attempts(
    tmp_path: Path, event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, (PAGE,))
    rig.ask("page", "other")
    handle = rig.exchange.router.handle

    def fails(told: Event, now: float) -> list[Action]:
        said = handle(told, now)
        if type(told).__name__ == {"request": "Request", "end": "AttemptEnded"}[event]:
            raise NobodyExpectsError
        return said

    if event == "end":
        rig.ask("page", "a")
    monkeypatch.setattr(rig.exchange.router, "handle", fails)
    if event == "end":
        (attempt,) = [each for each in rig.side.waiting if each.id == "a"]
        rig.side.end(attempt, Outcome.CONNECT_FAILED)
    else:
        rig.ask("page", "a")
    assert [reply.status for reply in rig.replies["a"]] == [AnswerStatus.FAILED]
    assert [each.id for each in rig.side.waiting] == ["other"] and not rig.replies["other"]
    assert len(rig.exchange.router.requests) == 1


def test_a_failed_membership_decision_leaves_open_requests_to_their_timeouts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, (PAGE, FEE))
    rig.ask("page", "a")
    rig.ask("fee", "b")
    handle = rig.exchange.router.handle

    def fails(told: Event, now: float) -> list[Action]:
        if isinstance(told, MembersChanged):
            raise NobodyExpectsError
        return handle(told, now)

    monkeypatch.setattr(rig.exchange.router, "handle", fails)
    for name in list(rig.exchange.members):
        rig.exchange.update_members((entry(name, "here", 0, state=MemberState.REMOVED),), False)
    while rig.side.waiting:
        assert rig.side.write() is None, "the list in force binds, whatever became of the decision"
    rig.clock.move(2.1)
    assert not rig.side.writes and not rig.exchange.pending
    assert len(rig.replies["a"]) == len(rig.replies["b"]) == 1
