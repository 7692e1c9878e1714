"""Answers that the kernel has taken and the client has not: no close of this side may lose them."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from rig_clients import Rig, answers, call, play, turns, until

from paddlequay.net.clients.session import ClientSession
from paddlequay.net.socket_state import unacknowledged_bytes
from paddlequay.protocol import msgpack

LARGE = bytes(240_000)  # the largest object
RECEIVE_BUFFER = 16_384  # so that nearly all answers stay in this side's kernel
LATER = 100.0  # seconds, longer than any time-out of a connection
TIMEOUTS = {"client_idle_timeout": LATER / 2, "client_stall_timeout": 2 * LATER}


async def unread_answer(rig: Rig) -> tuple[socket.socket, ClientSession]:
    """Returns a client that reads nothing of its answer, all of which the kernel of this side has taken."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    client.settimeout(5.0)
    client.connect(rig.listener.getsockname())
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    rig.clients.append(client)
    session = rig.take(rig.listener.accept()[0])
    client.sendall(call(1))
    await until(lambda: rig.side.started, "the request is sent on")
    rig.serve(rig.side.started[0], LARGE)
    await until(lambda: not session.writer.unsent_bytes, "the kernel has taken the answer")
    assert unacknowledged_bytes(session.stream.socket) > len(LARGE) // 2
    return client, session


def hand_over(rig: Rig) -> None:
    """A successor has taken over, as at a hot restart."""
    rig.front.handing_over = True
    rig.front.close_quiet_connections()


def drain(rig: Rig) -> None:
    """A drain by operators reaches the step that closes connections at rest."""
    rig.front.drained_at = rig.front.now() - rig.limits.drain_accept_time
    rig.front.close_quiet_connections()


def sweep(rig: Rig) -> None:
    """The sweep finds the connection unused for longer than the idle time-out."""
    monotonic = rig.front.now
    rig.front.now = lambda: monotonic() + LATER  # type: ignore[method-assign]
    rig.front.sweep()
    rig.front.now = monotonic  # type: ignore[method-assign]


def make_room(rig: Rig) -> None:
    """A new connection needs the descriptor of one without requests."""
    assert not rig.front.close_one_idle()


CLOSES = {"hot restart": hand_over, "drain": drain, "idle time-out": sweep, "room for another": make_room}


@pytest.mark.parametrize("close", CLOSES.values(), ids=CLOSES)
def test_a_connection_stays_open_until_its_client_has_received_all_answers(
    tmp_path: Path, close: Callable[[Rig], None]
) -> None:
    # Guards against: answers dropped with the kernel's send queue, as the next request met a closed socket.
    async def scene(rig: Rig) -> None:
        client, _ = await unread_answer(rig)
        close(rig)
        await turns()
        client.sendall(call(2))
        await until(lambda: len(rig.side.started) == 2, "the next request is served as usual")
        rig.serve(rig.side.started[1], LARGE)
        found = await answers(client, 2)
        assert None not in found and [answer[3][0] for answer in found] == [LARGE, LARGE]
        assert rig.counters.counts["closed_undelivered"] == 0

    play(tmp_path, scene, **TIMEOUTS)


@pytest.mark.parametrize("close", [hand_over, drain, sweep], ids=["hot restart", "drain", "idle time-out"])
def test_a_request_that_crosses_the_close_resets_no_connection(
    tmp_path: Path, close: Callable[[Rig], None]
) -> None:
    # Guards against: a reset by the kernel, as a request arrives on a connection that was just closed.
    async def scene(rig: Rig) -> None:
        client, session = await unread_answer(rig)
        reading = asyncio.ensure_future(answers(client))
        with contextlib.suppress(AssertionError):
            for _ in range(500):
                close(rig)
                await asyncio.sleep(0.01)
                if session.ended or session.stream.closed():
                    break
        client.sendall(call(2))
        assert [answer and answer[1] for answer in await reading] == [1]
        assert not session.stream.closed() or rig.counters.counts["closed_undelivered"] == 0
        with contextlib.suppress(OSError):
            client.shutdown(socket.SHUT_WR)
        assert len(rig.side.started) == 1

    play(tmp_path, scene, **TIMEOUTS)


def test_a_client_that_reads_nothing_stalls_though_the_kernel_has_taken_its_answer(tmp_path: Path) -> None:
    # Guards against: a connection that stays for ever, as its answer is neither received nor unsent.
    async def scene(rig: Rig) -> None:
        _, session = await unread_answer(rig)
        for _ in range(3):
            rig.front.sweep()
            await asyncio.sleep(0.15)
        rig.front.sweep()
        await until(session.stream.closed, "it is closed")
        assert rig.counters.counts["slow_readers.stalled"] == 1

    play(tmp_path, scene, client_stall_timeout=0.3, client_idle_timeout=0.1)


async def slow_reader(rig: Rig, count: int) -> tuple[socket.socket, ClientSession]:
    """Returns a client that has read nothing of so many answers, most of which are still in the process."""
    client, session = await rig.client(buffer=RECEIVE_BUFFER)
    client.sendall(b"".join(map(call, range(1, count + 1))))
    await until(lambda: len(rig.side.started) == count, "all are sent on")
    for attempt in rig.side.started:
        rig.serve(attempt, LARGE)
    assert session.writer.unsent_bytes > (count - 1) * len(LARGE)
    return client, session


async def read_slowly(client: socket.socket, pause_s: float) -> bytes:
    """Returns all bytes up to the end of the connection, read with pauses."""
    loop = asyncio.get_running_loop()
    client.setblocking(False)
    received = b""
    while data := await asyncio.wait_for(loop.sock_recv(client, 1 << 16), 5.0):
        received += data
        await asyncio.sleep(pause_s)
    return received


def parsed(data: bytes) -> dict[int, Any]:
    """Returns the answers by message number; fails if the last one is incomplete."""
    found, at = {}, 0
    while at < len(data):
        value, at = msgpack.unpack(data, at, 1 << 22)
        found[value[1]] = value
    return found


def test_the_end_of_a_drain_cuts_off_no_client_that_still_receives_answers(tmp_path: Path) -> None:
    # Guards against: answers in the process dropped 0.3 s after a drain has ended the connection.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, 6)
        rig.front.drained_at = rig.front.now() - rig.limits.drain_close_after
        rig.front.close_quiet_connections()
        client.sendall(call(7))
        await until(lambda: session.last_used_at and not session.input.parser.partial, "it is read")
        reading = asyncio.ensure_future(read_slowly(client, 0.03))
        while not reading.done():
            rig.front.close_quiet_connections()
            await asyncio.sleep(rig.limits.heartbeat_interval)
        found = parsed(reading.result())
        assert [found[number][2] for number in range(1, 7)] == [None] * 6
        assert found[7][2][0] == "TryLater" and len(rig.side.started) == 6
        assert rig.counters.counts["closed_undelivered"] == 0

    play(tmp_path, scene)


def test_an_error_that_ends_a_connection_cuts_off_no_answer(tmp_path: Path) -> None:
    # Guards against: answers dropped 0.3 s after malformed bytes that came behind the requests.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, 6)
        client.sendall(b"\xc1")
        await until(lambda: session.ended, "the connection is ended")
        assert session.writer.unsent_bytes
        found = parsed(await read_slowly(client, 0.03))
        assert [found[number][2] for number in range(1, 7)] == [None] * 6
        assert rig.counters.counts["closed_undelivered"] == 0

    play(tmp_path, scene)


def test_an_ended_connection_closes_once_its_client_receives_nothing_any_more(tmp_path: Path) -> None:
    # Guards against: a connection that lingers for ever, as its client never receives its answers.
    async def scene(rig: Rig) -> None:
        _, session = await slow_reader(rig, 6)
        session.end()
        for _ in range(8):
            rig.front.sweep()
            await asyncio.sleep(0.1)
        await until(session.stream.closed, "it is closed")
        assert rig.counters.counts["slow_readers.stalled"] == 1

    play(tmp_path, scene, client_stall_timeout=0.4)


def test_an_answer_that_is_read_at_any_pace_does_not_stall(tmp_path: Path) -> None:
    # Guards against: a stall time-out for a client that reads, slowly, an answer of which it gets some bytes.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, 3)
        client.setblocking(False)
        received = b""
        started_at = time.monotonic()
        while time.monotonic() - started_at < 1.0:
            with contextlib.suppress(BlockingIOError):
                received += client.recv(8192)
            rig.front.sweep()
            assert not session.stream.closed()
            await asyncio.sleep(0.05)
        assert len(received) < len(LARGE) and session.writer.unsent_bytes

    play(tmp_path, scene, client_stall_timeout=0.4, client_idle_timeout=0.2)
