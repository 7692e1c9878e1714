"""Answers that the kernel has taken and the client has not: no close of this side may lose them."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path

import pytest
from rig_clients import Rig, answers, call, play, turns, until

from paddlequay.net.clients.session import ClientSession
from paddlequay.net.socket_state import unacknowledged_bytes

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
