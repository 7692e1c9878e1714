"""What binds a repeat is looked at when it is written: the window's end, and the group as listed then."""

from pathlib import Path

import pytest
from rig_retries import FEE, PAGE, Rig, entry, keyed

from paddlequay.requests.messages import AnswerStatus, UpstreamAttempt
from paddlequay.routing.interface import Member, MemberState, Outcome


def lost(rig: Rig, kind: str = "hold") -> UpstreamAttempt:
    """A first attempt written and lost with its connection, and the repeat that waits for one."""
    rig.ask(kind)
    first = rig.side.write()
    assert first is not None
    rig.side.end(first, Outcome.RESET)
    (again,) = rig.side.waiting
    return again


@pytest.mark.parametrize(
    ("group", "verdict"), [("all", AnswerStatus.REJECTED), ("zone", AnswerStatus.FAILED)]
)
def test_a_retry_connected_after_its_window_is_not_written(
    tmp_path: Path, group: str, verdict: AnswerStatus
) -> None:
    rig = Rig(tmp_path, (keyed(group, 0.3),))
    lost(rig)
    rig.clock.move(0.35)
    assert rig.side.write() is None and len(rig.side.writes) == 1
    assert [reply.status for reply in rig.replies["a"]] == [verdict], "answered at once"
    assert not rig.exchange.pending and not rig.side.waiting


def test_a_retry_connected_inside_its_window_is_written(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (keyed("all", 0.3),))
    lost(rig)
    rig.clock.move(0.15)
    assert rig.side.write() is not None


def test_the_window_is_counted_from_the_earliest_of_several_that_may_have_run(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (keyed("all", 0.5),))
    lost(rig)
    rig.clock.move(0.3)
    second = rig.side.write()
    assert second is not None
    rig.side.end(second, Outcome.ERROR)
    rig.clock.move(0.15)  # 0.15 s after the second, 0.45 s after the first
    assert rig.side.write() is None
    assert [reply.status for reply in rig.replies["a"]] == [AnswerStatus.REJECTED]


def test_an_attempt_that_did_not_run_opens_no_window(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (keyed("all", 0.3),))
    rig.ask("hold")
    rig.side.end(rig.side.waiting[0], Outcome.CONNECT_FAILED)
    rig.clock.move(0.4)
    assert rig.side.write() is not None


@pytest.mark.parametrize(
    ("group", "moved"), [("zone", {"zone": "there"}), ("cell", {"cell": 9}), ("cell", {"cell": None})]
)
def test_a_retry_is_not_written_to_a_member_that_left_the_group(
    tmp_path: Path, group: str, moved: dict[str, object]
) -> None:
    rig = Rig(tmp_path, (keyed(group, 1.0),))
    again = lost(rig)
    name = again.fetch.target
    now: dict[str, object] = {"zone": "here", "cell": rig.exchange.members[name].cell} | moved
    rig.exchange.update_members((entry(name, **now),), False)  # type: ignore[arg-type]
    assert rig.side.write(again) is None
    assert all(write.attempt.fetch.target != name for write in rig.side.writes)


def test_the_group_is_that_in_which_the_first_attempt_ran(tmp_path: Path) -> None:
    """The first one's own entry has moved since: its new neighbours have not seen the key."""
    rig = Rig(tmp_path, (keyed("zone", 1.0),))
    rig.ask("hold")
    first = rig.side.write()
    assert first is not None
    rig.exchange.update_members((entry(first.fetch.target, "there", 0),), False)
    rig.side.end(first, Outcome.RESET)
    (again,) = rig.side.waiting
    assert rig.exchange.members[again.fetch.target].zone == "here"
    assert rig.side.write() is again


def test_members_without_a_location_belong_to_no_group(tmp_path: Path) -> None:
    members = (Member("box-0", None, "box"), Member("box-1", None, "box"), entry("o", "hub", None, "origin"))
    for group in ("zone", "cell", None):
        rig = Rig(tmp_path, (keyed(group, 1.0),), members=members)
        rig.ask("hold")
        first = rig.side.write()
        assert first is not None
        rig.side.end(first, Outcome.RESET)
        assert not rig.side.waiting and [reply.status for reply in rig.replies["a"]] == [AnswerStatus.FAILED]


@pytest.mark.parametrize("kind", ["fee", "hold", "page"])
@pytest.mark.parametrize("part", ["target", "source"])
def test_a_member_restarted_since_selection_is_neither_target_nor_source(
    tmp_path: Path, kind: str, part: str
) -> None:
    rig = Rig(tmp_path, (keyed("all"), FEE, PAGE))
    rig.ask(kind)
    (waits,) = rig.side.waiting
    name = getattr(waits.fetch, part)
    old = rig.exchange.members[name]
    rig.exchange.update_members(
        (entry(name, old.zone, old.cell, old.kind or "", started=1_000_011.0),), False
    )
    assert waits.ended or rig.side.write(waits) is None  # where repeats are free it has been recalled already
    assert not rig.side.writes
    assert rig.side.waiting or rig.replies["a"], "goes on elsewhere, or is answered at once"


def test_a_non_idempotent_request_is_not_retried_after_a_member_restart(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (FEE,), direct=True)
    rig.ask("fee")
    first = rig.side.write()
    assert first is not None
    rig.exchange.update_members((entry("origin-0", "hub", None, "origin", started=1_000_011.0),), False)
    rig.side.end(first, Outcome.RESET)
    assert not rig.side.waiting and [reply.status for reply in rig.replies["a"]] == [AnswerStatus.FAILED]


def test_a_drain_and_a_return_during_a_wait_is_the_same_incarnation(tmp_path: Path) -> None:
    rig = Rig(tmp_path, (FEE,), direct=True)
    rig.ask("fee")
    for state in (MemberState.DRAINING, MemberState.READY):
        rig.exchange.update_members((entry("origin-0", "hub", None, "origin", state=state),), False)
    assert rig.side.write() is not None


def test_nothing_is_written_to_a_cache_that_changed_zones_since_selection(
    tmp_path: Path,
) -> None:
    rig = Rig(tmp_path, (keyed("all"), FEE, PAGE))
    for kind in ("hold", "fee", "page"):
        rig.ask(kind, kind)
        waits = rig.side.waiting[-1]
        rig.exchange.update_members((entry(waits.fetch.target, "there", 0),), False)
        assert waits.ended or rig.side.write(waits) is None
    assert not rig.side.writes
