"""Answers that come late, twice, or with a word that their request cannot have."""

from pathlib import Path

import pytest
from rig_caches import Rig, came, play

from paddlequay.requests.messages import AnswerStatus

SEEN = "4be0c1927d55a6f3"


@pytest.mark.parametrize("fields", ["-", "tag=ffffffffffffffff", "detail=HIT,minted=1000", "tag="])
def test_not_modified_is_valid_only_for_a_version_that_the_request_named(tmp_path: Path, fields: str) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1", known_tag=SEEN)
        connection = await rig.asked("box", "1")
        connection.sendall(f"1 VALID {fields} 0\r\n\r\n".encode())
        other = await rig.asked("aimag", "1")  # spoilt, and asked for elsewhere
        assert not rig.replies and rig.counters.counts["bad_cache_lines"] == 1
        other.sendall(f"1 VALID tag={SEEN},minted=1000 0\r\n\r\n".encode())
        await rig.until(lambda: rig.replies, "the answer")
        assert rig.replies[0].status is AnswerStatus.NOT_MODIFIED

    play(tmp_path, scene)


@pytest.mark.parametrize("fields", ["-", "tag=", f"tag={SEEN}"])
def test_not_modified_is_invalid_without_a_version_in_the_request(tmp_path: Path, fields: str) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1")
        connection = await rig.asked("box", "1")
        connection.sendall(f"1 VALID {fields} 0\r\n\r\n".encode())
        await rig.asked("aimag", "1")
        assert rig.counters.counts["bad_cache_lines"] == 1

    play(tmp_path, scene)


@pytest.mark.parametrize("late", ["HIT - 1\r\nz", "LATE - 0\r\n", "FAULT - 0\r\n", "NONE - 0\r\n"])
def test_an_answer_to_an_abandoned_request_is_ignored(tmp_path: Path, late: str) -> None:
    """Also once its id is asked again, which goes on another connection."""

    async def scene(rig: Rig) -> None:
        item = rig.ask("1")
        assert item is not None
        first = await rig.asked("box", "1")
        rig.exchange.withdraw(item)
        rig.peers["box"].seen.clear()
        rig.ask("1")
        rig.ask("2")
        again = await rig.asked("box", "1")
        assert again is not first
        first.sendall(2 * f"1 {late}\r\n".encode())
        await rig.until(lambda: rig.counters.counts.get("unexpected_answers") == 2, "both are passed over")
        assert not rig.replies
        for id in ("1", "2"):
            (await rig.asked("box", id)).sendall(f"{id} HIT - 1\r\n{id}\r\n".encode())
        await rig.until(lambda: len(rig.replies) == 2, "the answers")
        assert sorted(bytes(reply.body) for reply in rig.replies) == [b"1", b"2"]

    play(tmp_path, scene)


def test_a_duplicate_answer_serves_no_other_request_and_closes_nothing(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        connection = await rig.served("box", "1")
        rig.ask("2")
        await rig.asked("box", "2")
        connection.sendall(b"1 HIT - 1\r\nx\r\n2 HIT - 1\r\ny\r\n")
        await rig.until(lambda: len(rig.replies) == 2, "the second request's own answer")
        assert bytes(rig.replies[1].body) == b"y" and rig.counters.counts["unexpected_answers"] == 1

    play(tmp_path, scene)


def test_endless_unsolicited_answers_close_their_connection(tmp_path: Path) -> None:
    """Each is whole and harmless; without end, they keep the core from all others."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        connection = await rig.asked("box", "1")
        most = rig.limits.max_remembered_ids
        connection.sendall(most * b"77 NONE - 0\r\n\r\n" + b"1 HIT - 1\r\nx\r\n")
        await rig.until(lambda: rig.replies, "as many as there may be harm nobody")
        assert bytes(rig.replies[0].body) == b"x"
        connection.sendall(most * b"77 NONE - 0\r\n\r\n")
        await rig.until(lambda: rig.counters.counts["unexpected_answers"] == 2 * most, "counted anew")
        assert len(rig.pool.connections()) == 1
        connection.sendall(b"77 NONE - 0\r\n\r\n")
        await rig.until(lambda: not rig.pool.connections(), "one more in a row ends it")
        assert rig.counters.counts["bad_cache_lines"] == 1

    play(tmp_path, scene)


def test_a_write_refused_as_late_did_not_run_and_is_retried(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1", "charge")
        connection = await rig.asked("store", "1")
        connection.sendall(b"1 LATE - 0\r\n\r\n")
        await rig.asked("box", "1")
        assert rig.counters.counts["ended.not_sent"] == 1

    play(tmp_path, scene)


@pytest.mark.parametrize("allowed", [True, False])
def test_an_attempt_past_its_timeout_is_cancelled_at_its_cache(tmp_path: Path, allowed: bool) -> None:
    """Also where the settings let nothing be cancelled: what is not given up is out, and a second copy."""

    async def scene(rig: Rig) -> None:
        item = rig.ask("1")
        assert item is not None
        connection = await rig.asked("box", "1")
        rig.exchange.withdraw(item)
        rig.ask("2", ttl=0.06)
        await rig.asked("box", "2")
        await rig.until(lambda: rig.replies, "the second one's time is over")
        await rig.until(lambda: b"QUIT 2\r\n" in rig.peers["box"].seen[connection] + came(connection), "told")
        assert b"QUIT 1\r\n" in rig.peers["box"].seen[connection] + came(connection)
        assert not rig.exchange.pending

    play(tmp_path, scene, can_cancel=allowed)
