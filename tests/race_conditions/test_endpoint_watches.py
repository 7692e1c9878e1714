"""The connections to the bulletin: moved to another address at the wrong moment, silent, late or dropped."""

import asyncio
import time

import pytest
from rig_endpoints import Bulletin, Recorder, Told, entry, play, roster, silent, until
from test_drains import full_listener

from paddlequay.net.endpoints import watch_client as lines
from paddlequay.protocol.endpoint_watch import EndpointList

# --- moved to another address (SIGHUP) ---


def test_after_an_address_change_no_further_event_of_the_old_source_applies() -> None:
    async def old(told: Told) -> None:
        told.tell(roster(1), roster(2), roster(3))
        await told.ended()

    async def new(told: Told) -> None:
        told.tell(roster(3, entry("other")), {"no": 3})
        await silent(told)

    async def work() -> None:
        async with Bulletin(old) as first, Bulletin(new) as second:
            names: list[tuple[str, ...]] = []

            def move(news: EndpointList) -> None:
                names.append(tuple(one.member.name for one in news.endpoints))
                if news.number == 2:
                    follower.change_address(second.address)

            follower = Recorder(first.address, move)
            async with follower:
                await follower.has(1, 2, 3)
                assert names[-1] == ("other",) and [told.after for told in second.came] == [2]
                assert len(first.came) == 1 and not follower.counts.counts["endpoint_watch_lost"]

    play(work())


def test_an_event_that_waits_during_an_address_change_does_not_apply() -> None:
    async def old(told: Told) -> None:
        told.tell(*(roster(number) for number in range(1, 10)))
        await told.ended()

    async def new(told: Told) -> None:
        told.tell(roster(told.after + 1), {"no": told.after + 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(old) as first, Bulletin(new) as second:

            def slow(news: EndpointList) -> None:
                if news.number == 3:
                    asyncio.get_running_loop().call_soon(follower.change_address, second.address)
                    end = time.perf_counter() + 2 * lines.MAX_TIME_SLICE_S
                    while time.perf_counter() < end:
                        pass

            follower = Recorder(first.address, slow)
            async with follower:
                await follower.has(1, 2, 3, 4)
                assert [told.after for told in second.came] == [3]

    play(work())


@pytest.mark.parametrize("moment", ["connect", "after", "pause"])
def test_an_address_change_during_a_connect_connects_to_the_new_one_at_once(moment: str) -> None:
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
                follower.change_address(second.address)
                await follower.has(1)
                assert time.monotonic() - began < lines.SUSPECT_AFTER_S / 2
                assert [told.after for told in second.came] == [0] and len(follower.watches) == 1

    with full_listener() as listener:
        play(work())


def test_a_change_to_the_current_address_keeps_the_connection() -> None:
    async def one(told: Told) -> None:
        told.tell(roster(1), {"no": 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(one) as bulletin, Recorder(bulletin.address) as follower:
            await follower.has(1)
            follower.change_address(bulletin.address)
            bulletin.came[0].tell(roster(2))
            await follower.has(1, 2)
            assert len(bulletin.came) == 1

    play(work())


# --- silence ---


def test_a_watch_without_complete_lines_is_replaced_by_one_with_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Any byte put the silence off: half a line at a time, a dead watch lived for ever."""
    monkeypatch.setattr(lines, "SUSPECT_AFTER_S", 0.4)

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
    monkeypatch.setattr(lines, "SUSPECT_AFTER_S", 0.4)

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
            assert most == lines.MAX_WATCHES and len(bulletin.came) >= lines.MAX_WATCHES
            assert bulletin.came[0].after == 0 and follower.watches[0].is_dropped is False

    bulletin = Bulletin(moving, silent)
    play(work())


def test_refused_and_dropped_watches_are_retried_with_backoff() -> None:
    async def drop(told: Told) -> None:
        told.writer.close()

    async def work() -> None:
        async with Bulletin(drop) as bulletin, Recorder(bulletin.address) as follower:
            await until(lambda: len(bulletin.came) >= 4, "asked again")
            began, came = time.monotonic(), len(bulletin.came)
            await asyncio.sleep(3 * lines.RETRY_PAUSE_S)
            passed = time.monotonic() - began
            assert len(bulletin.came) - came <= passed / lines.RETRY_PAUSE_S + 1
            assert follower.counts.counts["endpoint_watch_lost"] >= 3

    play(work())


def test_a_cancelled_watch_resumes_at_its_last_event() -> None:
    """Its reserved socket was closed and kept: begun again it failed at once with the first watch."""

    async def one(told: Told) -> None:
        told.tell(roster(told.after + 1), {"no": told.after + 1})
        await silent(told)

    async def work() -> None:
        async with Bulletin(one) as bulletin:
            follower = Recorder(bulletin.address)
            async with follower:
                await follower.has(1)
            assert follower.spare_socket.socket is None and not follower.watches
            began = time.monotonic()
            async with follower:
                await follower.has(1, 2)
            assert time.monotonic() - began < lines.SUSPECT_AFTER_S / 2
            assert not follower.counts.counts["endpoint_watch_errors"]

    play(work())
