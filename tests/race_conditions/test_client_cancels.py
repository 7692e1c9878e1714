"""Clients that go, cancel, flood or crawl: nothing is begun for who has left, and nobody else waits."""

import asyncio
import contextlib
import signal
import socket
import time
from pathlib import Path

import pytest
from harness import Client, platform
from harness import until as until_
from rig_clients import Rig, answers, arrived, call, cancel, ended, out, play, reset, turns, until

from paddlequay.protocol import msgpack
from paddlequay.requests.messages import AttemptResult
from paddlequay.routing.interface import Outcome

LONG = 0.02  # longer than a client seen to be there is taken to be there still


@pytest.mark.parametrize("end", ["close", "half a close", "reset"])
@pytest.mark.parametrize("many", [25, 120])  # one chunk of what is read at once, and several
def test_a_burst_followed_by_a_disconnect_starts_no_attempt(tmp_path: Path, end: str, many: int) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        taken = session.stream.socket
        data = b"".join(map(call, range(1, many + 1)))
        client.sendall(data)
        if end != "reset":
            arrived(taken, len(data))
        match end:
            case "close":
                client.close()
            case "half a close":
                client.shutdown(socket.SHUT_WR)
            case "reset":
                reset(client)
        ended(taken)
        await until(lambda: not rig.front.sessions, "its session ends")
        assert not rig.side.started

    play(tmp_path, scene)


@pytest.mark.parametrize("many", [8, 31])  # within one chunk of what is read at once, and beyond
def test_a_cancel_later_in_the_same_burst_applies(tmp_path: Path, many: int) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        calls = [call(number, seen="4be0c1927d55a6f3") for number in range(1, many + 1)]
        data = b"".join(calls) + cancel(*range(2, many + 1))
        client.sendall(data)
        arrived(session.stream.socket, len(data))
        await until(lambda: rig.side.started, "the one that was not cancelled is sent on")
        await turns()
        assert rig.asked == [f"{1:016x}"] and not session.waiting_calls
        rig.serve(rig.side.started[0])
        assert [answer[1] for answer in await answers(client, 1)] == [1]

    play(tmp_path, scene)


def test_a_cancel_behind_bodies_of_many_chunks_applies(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await rig.client()
        body = bytes(48_000)
        data = b"".join(call(number, method="charge", body=body) for number in range(1, 9)) + cancel(1, 8)
        # At once: after a pause within the data, the calls read so far would be submitted before the cancel.
        client.sendall(data)
        await until(lambda: len(rig.asked) == 6, "the others are sent on")
        await turns()
        assert rig.asked == [f"{number:016x}" for number in range(2, 8)]

    play(tmp_path, scene)


@pytest.mark.parametrize(
    "how", ["close", "close behind bytes", "reset", "cancel", "cancel read by the stream"]
)
def test_no_retry_starts_for_a_client_that_disconnected_while_the_loop_was_blocked(
    tmp_path: Path, how: str
) -> None:
    """The first attempt's end and the client's word come in one turn, the attempt's end first."""

    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(call(1) + call(2))
        await until(lambda: len(rig.side.started) == 2, "both are sent on")
        for attempt in list(rig.side.started):
            out(rig, attempt)
        taken = session.stream.socket
        match how:
            case "close":
                client.close()
                ended(taken)
            case "close behind bytes":
                client.sendall(call(3))
                client.close()
                ended(taken)
            case "reset":
                reset(client)
                ended(taken)
            case _:
                client.sendall(cancel(1))
                arrived(taken)
                if how == "cancel read by the stream":
                    session.stream._handle_events(taken, session.stream.io_loop.READ)
                    assert not session.stream.reading()
        time.sleep(LONG)  # the loop stands still
        rig.exchange.attempts.end(rig.side.started[0], AttemptResult(Outcome.MISS))
        assert len(rig.side.started) == 2, "no second attempt"
        if how.startswith("cancel"):
            rig.exchange.attempts.end(rig.side.started[1], AttemptResult(Outcome.MISS))
            assert len(rig.side.started) == 3  # the other one goes on
            rig.serve(rig.side.started[2])
            assert [answer[1] for answer in await answers(client, 1)] == [2]
            await until(lambda: not session.open_requests, "the cancel is read")
        else:
            await until(lambda: not rig.front.sessions, "its session ends")
            assert not rig.exchange.pending and len(rig.side.started) == 2

    play(tmp_path, scene)


def test_a_request_that_waits_for_its_connection_is_not_written_after_a_close(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(call(1))
        await until(lambda: rig.side.started, "it waits for its connection")
        client.close()
        ended(session.stream.socket)
        time.sleep(LONG)  # the loop stands still
        assert rig.exchange.attempts.prepare_write(rig.side.started[0]) is None and not rig.exchange.pending

    play(tmp_path, scene)


HELD = {"max_client_unsent": 1_200_000}  # with buffers of the system far under that


async def held_back(rig: Rig) -> tuple[socket.socket, socket.socket]:
    """A client that takes nothing, past half of what may wait for it, with one attempt of its out."""
    client, session = await rig.client(buffer=16_384)
    client.sendall(b"".join(map(call, (1, 2, 3, 4))))
    await until(lambda: len(rig.side.started) == 4, "all are sent on")
    out(rig, rig.side.started[0])
    for attempt in list(rig.side.started[1:]):
        rig.serve(attempt, bytes(240_000))
    assert session.writer.unsent_bytes > rig.limits.max_client_unsent / 2
    client.sendall(b"".join(map(call, (5, 6, 7))))
    await until(lambda: len(session.waiting_calls) == 3, "they are read, and held back")
    assert len(rig.side.started) == 4
    return client, session.stream.socket


def test_a_cancel_applies_during_backpressure(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await held_back(rig)
        client.sendall(cancel(1, 6))
        await until(lambda: len(rig.exchange.pending) == 0, "the cancel is heard")  # while nothing is taken
        assert rig.counters.counts["withdrawn"] == 1
        client.sendall(cancel(9))  # for an id that is not open: passed over
        found = await answers(client, 3)
        assert sorted(answer[1] for answer in found) == [2, 3, 4]
        await until(lambda: len(rig.side.started) == 6, "those held back are made once it has taken them")
        assert rig.asked[4:] == [f"{5:016x}", f"{7:016x}"]

    play(tmp_path, scene, **HELD)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_a_disconnect_is_noticed_during_backpressure(tmp_path: Path, end: str) -> None:
    async def scene(rig: Rig) -> None:
        client, taken = await held_back(rig)
        client.shutdown(socket.SHUT_WR) if end == "close" else reset(client)
        ended(taken)
        await until(lambda: not rig.front.sessions, "its session ends")
        rig.exchange.attempts.end(rig.side.started[0], AttemptResult(Outcome.MISS))
        assert len(rig.side.started) == 4 and not rig.exchange.pending

    play(tmp_path, scene, **HELD)


def test_backpressured_requests_are_rejected_in_time_and_at_once_in_a_drain(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await held_back(rig)
        (session,) = rig.front.sessions
        client.sendall(call(8, ttl="600"))
        await until(lambda: 8 in session.waiting_calls, "it is read, and held back")
        time.sleep(0.35)  # until its time is nearly over; the loop stands still
        rig.front.sweep()
        assert 8 not in session.waiting_calls and len(session.waiting_calls) == 3
        rig.front.handing_over = True
        rig.front.close_quiet_connections()
        assert not session.waiting_calls
        found = {answer[1]: answer[2] for answer in await answers(client, 7)}
        assert {number for number, error in found.items() if error} - {1} == {8, 5, 6, 7}
        assert not {f"{number:016x}" for number in (5, 6, 7, 8)} & set(rig.asked)

    play(tmp_path, scene, **HELD)


def test_backpressured_requests_are_bounded_in_bytes_and_number(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await held_back(rig)
        (session,) = rig.front.sessions
        for number in range(10, 20):
            client.sendall(call(number, method="charge", body=bytes(40_000)))
        await until(lambda: rig.counters.counts["requests"] == 17, "all are read")
        assert rig.front.queued_bytes == 80_000 and rig.counters.counts["rejected.too_many_open"] == 8
        client.sendall(b"".join(map(call, range(20, 60))))
        await until(lambda: rig.counters.counts["requests"] == 57, "all are read")
        assert len(session.waiting_calls) + len(session.open_requests) == rig.limits.client_streams
        assert rig.counters.counts["rejected.too_many_streams"] == 14
        client.close()

    play(tmp_path, scene, max_body_bytes=200_000, **HELD)


def test_a_flood_does_not_delay_a_cancel_for_long(tmp_path: Path) -> None:
    """A cancel may lie behind more than is read in time: what is owed is given up, and nothing goes on."""
    many = 8_000
    junk = b"".join(call(number, method="nosuch") for number in range(2, many)) + cancel(1)

    async def scene(rig: Rig) -> None:
        client, _ = await rig.client()
        client.sendall(call(1))
        await until(lambda: rig.side.started, "it is sent on")
        out(rig, rig.side.started[0])
        sending = asyncio.get_running_loop().run_in_executor(None, client.sendall, junk)
        await until(lambda: not rig.exchange.pending, "it is given up")
        assert rig.counters.counts["requests"] < many / 4  # with most of it unread
        assert rig.counters.counts["abandoned"] == 1
        client.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(OSError):
            await sending

    play(tmp_path, scene)


def test_a_readiness_query_is_answered_during_backpressure(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await held_back(rig)
        client.sendall(call(8) + msgpack.pack([0, 9, "alive", [{}]]) + call(10))
        found = {answer[1]: answer for answer in await answers(client, 4)}
        assert found[9][3][0] is True
        client.close()

    play(tmp_path, scene, **HELD)


def test_the_program_forwards_nothing_of_a_burst_from_a_disconnected_client() -> None:
    with platform() as p:
        p.client()
        p.process.send_signal(signal.SIGSTOP)  # all of it lies there when the loop goes on
        burst = Client(p.address)
        for number in range(1, 121):
            burst.ask(row=f"{number:016x}")
        burst.socket.close()
        usual = Client(p.address)
        usual.ask(call="00000000000000aa", row="00000000000000aa")
        p.process.send_signal(signal.SIGCONT)
        words = p.box.answer("HIT", "-", b"x")
        assert words[1] == "00000000000000aa" and usual.answer()[3][0] == b"x"
        until_(lambda: p.counted("client_connections") == 3, "all were taken in")
        assert p.box.lines.empty() and p.counted("received.video") == 1
