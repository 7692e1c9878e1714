"""What the bulletin may write at the wrong moment: half of it, twice, out of order, spoilt, or nothing."""

import asyncio
import itertools
import time
from collections.abc import Coroutine
from typing import Any

import pytest
from rig_list import Bulletin, Recorder, Told, entry, recall, roster, until
from test_standing import full_listener

from paddlequay.net import lines
from paddlequay.protocol.bulletin import Heartbeat, Reader, Roster, Unusable, read_news


def play(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work

    asyncio.run(bounded())


async def silent(told: Told) -> None:
    await asyncio.sleep(60)


# --- what is read ---

DEEP = b'{"no":2,"roster":' + b"[" * 200_000 + b"]" * 200_000 + b"}"
NUMBERLESS: list[bytes] = [
    b"garbage",
    b"\xff\xfe\x00",
    DEEP,
    b"1" * 5000,
    b"-1",
    b"true",
    b"null",
    b"NaN",
    b"2.5",
    b"[]",
    b'{"no":true}',
    b'{"no":"2","roster":{"instances":[]}}',
    b'{"no":1e999}',
    b'{"no":18446744073709551616}',
    b'{"roster":{"instances":[]}}',
]
NUMBERED: list[bytes] = [
    b'{"no":2,"roster":{"generation":"x","reset":false,"instances":null}}',
    b'{"no":2,"roster":null}',
    b'{"no":2,"roster":7}',
    b'{"no":2,"hello":{}}',
    b'{"no":2,"recall":{}}',
    b'{"no":2,"recall":{"lot":1,"item":"7f","issued":1}}',
    b'{"no":2,"recall":{"lot":true,"issued":1}}',
    b'{"no":2,"recall":{"item":"-7","issued":1}}',
    b'{"no":2,"recall":{"lot":1,"issued":NaN}}',
    b'{"no":2,"recall":{"lot":1,"issued":1e999}}',
    b'{"no":2,"recall":{"lot":1,"issued":1' + b"0" * 400 + b"}}",
]


@pytest.mark.parametrize("line", NUMBERLESS + NUMBERED, ids=lambda line: line[:24].decode("latin-1"))
def test_a_line_that_cannot_be_used_is_said_so_and_those_behind_it_come(line: bytes) -> None:
    first, second = Reader(1 << 20).feed(line + b'\n{"no":3}\n')
    assert isinstance(first, Unusable) and first.number == (2 if line in NUMBERED else None)
    assert len(first.why) <= 200 and second == Heartbeat(3)


def test_a_line_that_is_too_long_is_passed_over_to_its_end_and_is_not_kept() -> None:
    reader = Reader(1000)
    assert not list(reader.feed(b"x" * 900)) and not list(reader.feed(b"x" * 900))
    assert not reader.buffer
    assert not list(reader.feed(b"x" * 900))
    (long, beat) = reader.feed(b'x\n{"no":3}\n')
    assert isinstance(long, Unusable) and beat == Heartbeat(3)


ENTRIES: list[tuple[Any, bool]] = [  # an entry that cannot be used, and whether it drains all the same
    (entry("bad", lifecycle="terminating", hostPort=None), True),
    ({"instanceId": "bad", "lifecycle": "terminating"}, True),
    (entry("bad", lifecycle="terminating", weight="heavy"), True),
    (entry("bad", lifecycle="resting"), True),
    (entry("bad", lifecycle=["in_service"]), True),
    (entry("bad", hostPort="nowhere"), False),
    (entry("bad", hostPort="a.name:80"), False),
    (entry("bad", hostPort="10.0.0.1:0"), False),
    (entry("bad", hostPort="10.0.0.1:1" + "0" * 5000), False),
    (entry("bad", weight=-1), False),
    (entry("bad", weight=float("nan")), False),
    (entry("bad", startedAtMs=10**400), False),
    (entry("bad", startedAtMs=float("inf")), False),
    (entry("bad", zone=["here"]), False),
    (entry("bad", cell="2"), False),
    (entry("b a d"), False),
    (entry("b,ad"), False),
    (entry(""), False),
    ({"lifecycle": "terminating"}, False),
    (None, False),
    ([], False),
]


@pytest.mark.parametrize(("bad", "drains"), ENTRIES)
def test_an_entry_that_cannot_be_used_does_not_take_the_others_with_it(bad: Any, drains: bool) -> None:
    news = read_news(roster(2, entry("box-1"), bad, entry("box-2", lifecycle="terminated", hostPort=None)))
    assert isinstance(news, Roster) and news.unusable == 1 and news.why
    assert [one.member.name for one in news.listed] == ["box-1", "box-2"]
    assert news.drained == (("bad",) if drains else ())


def test_of_an_id_that_an_event_names_twice_the_last_word_holds() -> None:
    drain, use = entry("a", lifecycle="terminating"), entry("a", weight=3)
    for words, state in (([drain, use], "ready"), ([use, drain], "draining")):
        news = read_news(roster(2, *words))
        assert isinstance(news, Roster) and [
            one.member.state.value for one in news.listed if one.member.state
        ] == [state]
    news = read_news(roster(2, use, {"instanceId": "a", "lifecycle": "terminating"}))
    assert isinstance(news, Roster) and (news.listed, news.drained) == ((), ("a",))
    news = read_news(roster(2, {"instanceId": "a", "lifecycle": "terminating"}, use))
    assert isinstance(news, Roster) and len(news.listed) == 1 and news.drained == ()


# --- what is followed ---


def test_events_in_pieces_twice_and_from_before_are_had_once_each() -> None:
    async def pieces(told: Told) -> None:
        whole = (
            b"".join(
                line + b"\n"
                for line in (b'{"no":0}', b'{"no":1,"roster":{"instances":[]}}', b'{"no":2,"recall":')
            )[:-1]
            + b'{"lot":1,"issued":1}}\n'
        )
        for at in range(len(whole)):
            told.writer.write(whole[at : at + 1])
            await told.writer.drain()
            await asyncio.sleep(0)
        told.tell(recall(2), roster(1), recall(2), {"no": 1}, 2, recall(3), recall(3), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(pieces) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2, 3)
            await follower.current.wait()
            assert len(bulletin.came) == 1 and follower.last == 3

    play(work())


def test_an_event_that_breaks_off_is_asked_for_anew() -> None:
    async def half(told: Told) -> None:
        told.tell(roster(1))
        told.writer.write(b'{"no":2,"roster":{"instances":[')
        await told.writer.drain()
        told.writer.close()

    async def rest(told: Told) -> None:
        told.tell(roster(2))
        await silent(told)

    async def work() -> None:
        async with Bulletin(half, rest) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2)
            assert [told.after for told in bulletin.came] == [0, 1]

    play(work())


def test_a_number_that_is_skipped_is_asked_for_before_what_stands_behind_it_is_taken() -> None:
    async def skipping(told: Told) -> None:
        told.tell(roster(1), roster(3), {"no": 3})
        await silent(told)

    async def whole(told: Told) -> None:
        told.tell(roster(2), roster(3), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(skipping, whole) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2, 3)
            assert [told.after for told in bulletin.came] == [0, 1]

    play(work())


def test_numbers_that_every_connection_skips_do_not_exist_and_are_not_asked_for_again() -> None:
    async def skipping(told: Told) -> None:
        told.tell(*(roster(number) for number in (2, 4, 6, 8) if number > told.after), {"no": 8})
        await silent(told)

    async def work() -> None:
        async with Bulletin(skipping) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(2, 4, 6, 8)
            await follower.current.wait()
            assert len(bulletin.came) == lines.TRIES + 1

    play(work())


@pytest.mark.parametrize("line", [b"garbage", DEEP, b'{"no":"2"}'], ids=["garbage", "deep", "text"])
def test_what_stands_behind_a_spoilt_line_that_comes_each_time_is_had(line: bytes) -> None:
    async def spoilt(told: Told) -> None:
        told.tell(*([roster(1)] if not told.after else []), line, roster(2), {"no": 2})
        await silent(told)

    async def work() -> None:
        began = time.monotonic()
        async with Bulletin(spoilt) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2)
            assert len(bulletin.came) == lines.TRIES + 1 and follower.stuck == 0
            assert time.monotonic() - began >= 0.9 * sum(lines.PAUSE * 2**n for n in range(lines.TRIES))
            assert follower.counts.counts["bad_bulletin_lines"] == lines.TRIES

    play(work())


@pytest.mark.parametrize("line", [NUMBERED[0], NUMBERED[3]], ids=["list", "kind"])
def test_an_event_that_says_nothing_here_is_passed_over_and_the_connection_stays(line: bytes) -> None:
    async def strange(told: Told) -> None:
        told.tell(roster(1), line, roster(3), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(strange) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 3)
            assert len(bulletin.came) == 1 and follower.counts.counts["bulletin_unusable"] == 1

    play(work())


def test_an_event_that_fails_once_is_had_the_next_time() -> None:
    """It was counted as had before it was in force, and never asked for again."""
    failures = [2, 3]

    def fail(news: Roster) -> None:
        if news.number in failures:
            failures.remove(news.number)
            raise RuntimeError("fails once")

    async def all_of_it(told: Told) -> None:
        told.tell(*(roster(number) for number in (1, 2, 3, 4) if number > told.after), {"no": 4})
        await silent(told)

    async def work() -> None:
        async with Bulletin(all_of_it) as bulletin, Recorder(bulletin.address, fail) as follower:
            await follower.has(1, 2, 3, 4)
            assert [told.after for told in bulletin.came] == [0, 1, 2]
            assert follower.counts.counts["bulletin_errors"] == 2

    play(work())


def test_an_event_that_fails_each_time_is_passed_over_after_growing_pauses() -> None:
    at: list[float] = []

    def fail(news: Roster) -> None:
        if news.number == 2:
            at.append(time.monotonic())
            raise RuntimeError("fails always")

    async def all_of_it(told: Told) -> None:
        told.tell(*(roster(number) for number in (1, 2, 3) if number > told.after), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(all_of_it) as bulletin, Recorder(bulletin.address, fail) as follower:
            await follower.has(1, 3)
            pauses = [later - sooner for sooner, later in itertools.pairwise(at)]
            assert len(pauses) == lines.TRIES
            assert all(pause >= 0.9 * lines.PAUSE * 2**n for n, pause in enumerate(pauses))
            assert len(bulletin.came) == lines.TRIES + 1  # the last connection goes on
            assert follower.counts.counts["bulletin_passed_over"] == 1

    play(work())


def test_a_failing_sign_of_life_ends_no_task_and_loses_no_event() -> None:
    async def beats(told: Told) -> None:
        told.tell(*(roster(number) for number in (1, 2) if number > told.after), {"no": 2})
        if told.after == 2:
            told.tell(roster(3))
        await silent(told)

    async def work() -> None:
        async with Bulletin(beats) as bulletin:
            follower = Recorder(bulletin.address)
            failing = [True]

            def alive() -> None:
                if failing.pop() if failing else False:
                    raise RuntimeError("fails once")

            follower.on_alive = alive
            async with follower:
                await follower.has(1, 2, 3)

    play(work())


def test_many_events_in_one_read_leave_the_loop_its_turns() -> None:
    count = 200

    def slow(news: Roster) -> None:
        end = time.perf_counter() + 0.002
        while time.perf_counter() < end:
            pass

    async def flood(told: Told) -> None:
        told.tell(*({"no": n, "roster": {"instances": []}} for n in range(1, count + 1)))
        await silent(told)

    async def work() -> None:
        turns: list[int] = []
        async with Bulletin(flood) as bulletin, Recorder(bulletin.address, slow) as follower:
            while len(follower.had) < count:
                if not turns or turns[-1] != len(follower.had):
                    turns.append(len(follower.had))
                await asyncio.sleep(0)
            longest = max(later - sooner for sooner, later in itertools.pairwise(turns))
            assert longest <= 2 * lines.TURN / 0.002 + 1, longest

    play(work())


# --- moved to another address (SIGHUP) ---


def test_moved_between_two_events_of_one_read_nothing_more_of_the_old_one_is_taken() -> None:
    async def old(told: Told) -> None:
        told.tell(roster(1), roster(2), roster(3))
        await told.ended()

    async def new(told: Told) -> None:
        told.tell(roster(3, entry("other")), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(old) as first, Bulletin(new) as second:
            names: list[tuple[str, ...]] = []

            def move(news: Roster) -> None:
                names.append(tuple(one.member.name for one in news.listed))
                if news.number == 2:
                    follower.move(second.address)

            follower = Recorder(first.address, move)
            async with follower:
                await follower.has(1, 2, 3)
                assert names[-1] == ("other",) and [told.after for told in second.came] == [2]
                assert len(first.came) == 1 and not follower.counts.counts["bulletin_lost"]

    play(work())


def test_moved_while_an_event_waits_for_the_next_turn_it_is_not_taken_from_the_old_one() -> None:
    async def old(told: Told) -> None:
        told.tell(*(roster(number) for number in range(1, 10)))
        await told.ended()

    async def new(told: Told) -> None:
        told.tell(roster(told.after + 1), {"no": told.after + 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(old) as first, Bulletin(new) as second:

            def slow(news: Roster) -> None:
                if news.number == 3:
                    asyncio.get_running_loop().call_soon(follower.move, second.address)
                    end = time.perf_counter() + 2 * lines.TURN
                    while time.perf_counter() < end:
                        pass

            follower = Recorder(first.address, slow)
            async with follower:
                await follower.has(1, 2, 3, 4)
                assert [told.after for told in second.came] == [3]

    play(work())


@pytest.mark.parametrize("moment", ["connect", "after", "pause"])
def test_moved_while_a_connection_is_made_the_new_one_is_asked_at_once(moment: str) -> None:
    async def new(told: Told) -> None:
        told.tell(roster(1), {"no": 1})
        await silent(told)

    async def drop(told: Told) -> None:
        told.writer.close()

    async def work() -> None:
        async with Bulletin(silent if moment == "after" else drop) as first, Bulletin(new) as second:
            follower = Recorder(listener.getsockname() if moment == "connect" else first.address)
            async with follower:
                if moment == "connect":
                    await until(lambda: follower.watches, "a watch is begun")
                else:
                    await until(lambda: first.came, "asked")
                if moment == "pause":
                    await until(lambda: not follower.watches, "the connection is over")
                began = time.monotonic()
                follower.move(second.address)
                await follower.has(1)
                assert time.monotonic() - began < lines.SUSPECT / 2
                assert [told.after for told in second.came] == [0] and len(follower.watches) == 1

    with full_listener() as listener:
        play(work())


def test_moved_to_the_address_that_is_followed_the_connection_stays() -> None:
    async def one(told: Told) -> None:
        told.tell(roster(1), {"no": 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(one) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1)
            follower.move(bulletin.address)
            bulletin.came[0].tell(roster(2))
            await follower.has(1, 2)
            assert len(bulletin.came) == 1

    play(work())


# --- silence ---


def test_bytes_that_make_no_line_do_not_keep_a_watch_and_the_one_that_tells_is_kept_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Any byte put the silence off: half a line at a time, a dead watch lived for ever."""
    monkeypatch.setattr(lines, "SUSPECT", 0.4)

    async def drip(told: Told) -> None:
        told.tell(roster(1))
        told.writer.write(b'{"no":2,"x":"')
        while True:
            told.writer.write(b"x")
            await asyncio.sleep(0.01)

    async def work() -> None:
        async with Bulletin(drip, silent, whole) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2)
            assert len(follower.watches) == 1
            await bulletin.came[1].ended()  # given up for the one that told
            assert [told.after for told in bulletin.came] == [0, 1, 1]

    async def whole(told: Told) -> None:
        told.tell(roster(2), {"no": 2})
        while True:
            await asyncio.sleep(0.05)
            told.tell({"no": 2})

    play(work())


def test_a_watch_that_was_only_late_is_kept_and_at_most_three_are_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lines, "SUSPECT", 0.4)

    async def moving(told: Told) -> None:
        """The list comes slowly, one piece of its line at a time: it is not given up for silent ones."""
        line = roster(1)
        text = str(line).replace("'", '"').replace("False", "false").encode()
        for at in range(0, len(text), 8):
            told.writer.write(text[at : at + 8])
            await asyncio.sleep(0.07)
        told.writer.write(b"\n")
        await silent(told)

    async def work() -> None:
        async with bulletin, Recorder(bulletin.address) as follower:
            most = 0
            while follower.had != [1]:
                most = max(most, len(follower.watches))
                await asyncio.sleep(0.005)
            assert most == lines.WATCHES and len(bulletin.came) >= lines.WATCHES
            assert bulletin.came[0].after == 0 and follower.watches[0].dropped is False

    bulletin = Bulletin(moving, silent)
    play(work())


def test_refused_and_dropped_connections_are_tried_again_after_a_pause_each() -> None:
    async def drop(told: Told) -> None:
        told.writer.close()

    async def work() -> None:
        async with Bulletin(drop) as bulletin, Recorder(bulletin.address) as follower:
            await until(lambda: len(bulletin.came) >= 4, "asked again")
            began, came = time.monotonic(), len(bulletin.came)
            await asyncio.sleep(3 * lines.PAUSE)
            passed = time.monotonic() - began
            assert len(bulletin.came) - came <= passed / lines.PAUSE + 1
            assert follower.counts.counts["bulletin_lost"] >= 3

    play(work())


def test_a_follower_that_was_ended_follows_again_where_it_stopped() -> None:
    """Its reserved socket was closed and kept: begun again it failed at once with the first watch."""

    async def one(told: Told) -> None:
        told.tell(roster(told.after + 1), {"no": told.after + 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(one) as bulletin:
            follower = Recorder(bulletin.address)
            async with follower:
                await follower.has(1)
            assert follower.spare is None and not follower.watches
            began = time.monotonic()
            async with follower:
                await follower.has(1, 2)
            assert time.monotonic() - began < lines.SUSPECT / 2
            assert not follower.counts.counts["bulletin_errors"]

    play(work())
