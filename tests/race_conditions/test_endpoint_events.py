"""What the bulletin may write at the wrong moment: half of it, twice, out of order, or what fails."""

import asyncio
import itertools
import time

import pytest
from rig_endpoints import Bulletin, Recorder, Told, play, recall, roster, silent
from test_endpoint_parsing import DEEP, NUMBERED

from paddlequay.net.endpoints import watch_client as lines
from paddlequay.protocol.endpoint_watch import EndpointList


def test_split_duplicate_and_old_events_apply_once_each() -> None:
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
            await follower.is_current.wait()
            assert len(bulletin.came) == 1 and follower.last_number == 3

    play(work())


def test_an_incomplete_event_is_requested_again() -> None:
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


def test_a_skipped_event_is_requested_before_later_ones_apply() -> None:
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


def test_numbers_skipped_on_every_connection_are_not_requested_again() -> None:
    async def skipping(told: Told) -> None:
        told.tell(*(roster(number) for number in (2, 4, 6, 8) if number > told.after), {"no": 8})
        await silent(told)

    async def work() -> None:
        async with Bulletin(skipping) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(2, 4, 6, 8)
            await follower.is_current.wait()
            assert len(bulletin.came) == lines.MAX_ATTEMPTS + 1

    play(work())


@pytest.mark.parametrize("line", [b"garbage", DEEP, b'{"no":"2"}'], ids=["garbage", "deep", "text"])
def test_events_behind_a_permanently_malformed_line_apply(line: bytes) -> None:
    async def spoilt(told: Told) -> None:
        told.tell(*([roster(1)] if not told.after else []), line, roster(2), {"no": 2})
        await silent(told)

    async def work() -> None:
        began = time.monotonic()
        async with Bulletin(spoilt) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 2)
            assert len(bulletin.came) == lines.MAX_ATTEMPTS + 1 and follower.failed_watches == 0
            assert time.monotonic() - began >= 0.9 * sum(
                lines.RETRY_PAUSE_S * 2**n for n in range(lines.MAX_ATTEMPTS)
            )
            assert follower.counts.counts["bad_endpoint_watch_lines"] == lines.MAX_ATTEMPTS

    play(work())


@pytest.mark.parametrize("line", [NUMBERED[0], NUMBERED[3]], ids=["list", "kind"])
def test_an_irrelevant_event_is_ignored_and_the_connection_stays_open(line: bytes) -> None:
    async def strange(told: Told) -> None:
        told.tell(roster(1), line, roster(3), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(strange) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1, 3)
            assert len(bulletin.came) == 1 and follower.counts.counts["endpoint_watch_unusable"] == 1

    play(work())


def test_an_event_that_fails_once_applies_the_next_time() -> None:
    """It was counted as had before it was in force, and never asked for again."""
    failures = [2, 3]

    def fail(news: EndpointList) -> None:
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
            assert follower.counts.counts["endpoint_watch_errors"] == 2

    play(work())


def test_an_event_that_always_fails_is_skipped_after_backoff() -> None:
    at: list[float] = []

    def fail(news: EndpointList) -> None:
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
            assert len(pauses) == lines.MAX_ATTEMPTS
            assert all(pause >= 0.9 * lines.RETRY_PAUSE_S * 2**n for n, pause in enumerate(pauses))
            assert len(bulletin.came) == lines.MAX_ATTEMPTS + 1  # the last connection goes on
            assert follower.counts.counts["endpoint_watch_skipped"] == 1

    play(work())


def test_a_failing_heartbeat_handler_ends_no_task_and_loses_no_event() -> None:
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

            follower.on_heartbeat = alive
            async with follower:
                await follower.has(1, 2, 3)

    play(work())


def test_many_events_in_one_read_leave_the_loop_its_turns() -> None:
    count = 200

    def slow(news: EndpointList) -> None:
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
            assert longest <= 2 * lines.MAX_TIME_SLICE_S / 0.002 + 1, longest

    play(work())
