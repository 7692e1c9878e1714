"""A connection that the router closes while bytes come in: no request that lies there is reset."""

import asyncio
import contextlib
import socket
import time
from pathlib import Path

import pytest
from rig_clients import WAIT, Rig, answers, arrived, call, play, turns, until

from paddlequay.lifecycle.operator_state import DRAIN
from paddlequay.net.listener import FULL_PAUSE_S
from paddlequay.protocol import msgpack


async def idle(rig: Rig, number: int = 1) -> tuple[socket.socket, socket.socket]:
    """A client that was answered and asks nothing; its own socket and the router's."""
    client, session = await rig.client()
    client.sendall(msgpack.pack([0, number, "alive", [{}]]))
    assert (await answers(client, 1))[0][3][0] is True
    await until(lambda: session in rig.front.idle_sessions.idle and session.stream.reading(), "it is idle")
    client.settimeout(5.0)
    return client, session.stream.socket


@pytest.mark.parametrize("read", [False, True])
def test_a_connection_with_an_unread_request_is_not_closed_for_another(tmp_path: Path, read: bool) -> None:
    """Unread in the system, or read in this very turn by the stream and not by its session yet."""

    async def scene(rig: Rig) -> None:
        client, taken = await idle(rig)
        other, _ = await idle(rig)
        if read:
            listener = rig.listener
            listener.setblocking(False)
            loop = asyncio.get_running_loop()
            loop.add_reader(listener, lambda: rig.front.on_accept(listener.accept()[0]))
        client.sendall(call(2))
        arrived(taken)
        if read:
            # Both are told by one turn of the loop, the request's bytes first.
            rig.clients.append(socket.create_connection(listener.getsockname()))
        else:
            rig.front.on_accept(rig.connect()[1])
        await until(lambda: rig.side.started, "the request is sent on")
        rig.serve(rig.side.started[0])
        assert (await answers(client, 1))[0][3][0] == b"x"
        assert await answers(other) == [] and rig.counters.counts["closed_idle_clients"] == 1

    play(tmp_path, scene, client_connections=2)


def test_a_later_candidate_is_closed_if_the_first_have_unread_bytes(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        all_ = [await idle(rig) for _ in range(4)]
        for client, taken in all_[:3]:
            client.sendall(call(2))
            arrived(taken)
        rig.front.on_accept(rig.connect()[1])
        assert rig.counters.counts["rejected_connections"] == 0
        assert await answers(all_[3][0]) == []

    play(tmp_path, scene, client_connections=4)


def test_a_new_connection_waits_in_the_backlog_until_another_is_idle(tmp_path: Path) -> None:
    """Taken in to be turned away, its first request was lost with no answer."""

    async def scene(rig: Rig) -> None:
        busy = [await rig.client() for _ in range(2)]
        for number, (client, _) in enumerate(busy):
            client.sendall(call(1, id=number + 1))
        await until(lambda: len(rig.side.started) == 2, "both wait for their answers")
        rig.listener.setblocking(False)
        rig.front.listen(rig.listener)
        late = socket.create_connection(rig.listener.getsockname(), WAIT)
        rig.clients.append(late)
        late.sendall(call(1, id=3))
        await asyncio.sleep(3 * FULL_PAUSE_S)
        assert len(rig.side.started) == 2 and not rig.counters.counts["rejected_connections"]
        rig.serve(rig.side.started[0])
        assert (await answers(busy[0][0], 1))[0][1] == 1
        await until(lambda: len(rig.side.started) == 3, "the late one's request is sent on")
        rig.serve(rig.side.started[2])
        assert (await answers(late, 1))[0][2] is None
        assert rig.front.stop_accepting(force=True)

    play(tmp_path, scene, client_connections=2)


def test_a_connection_with_one_byte_displaces_no_other(tmp_path: Path) -> None:
    """Passed over for a byte that is unread, those that say nothing whole left the idle one to make room."""

    async def scene(rig: Rig) -> None:
        usual, _ = await idle(rig)
        silent = [await rig.client() for _ in range(3)]
        for client, session in silent:
            client.sendall(b"\x94")
            arrived(session.stream.socket)
        for _ in range(3):
            rig.take(rig.connect()[1])
        assert rig.counters.counts["closed_silent_clients"] == 3
        await turns()
        usual.sendall(call(2))
        await until(lambda: rig.side.started, "the request is sent on")

    play(tmp_path, scene, client_connections=4)


@pytest.mark.parametrize("state", ["idle", "mute", "half"])
def test_the_sweep_keeps_a_connection_with_unread_bytes(tmp_path: Path, state: str) -> None:
    async def scene(rig: Rig) -> None:
        if state == "mute":
            client, session = await rig.client()
            taken, rest = session.stream.socket, call(2)
        else:
            client, taken = await idle(rig)
            rest = call(2)
        if state == "half":
            client.sendall(rest[:20])
            await until(lambda: rig.front.idle_sessions.message_begun, "half of it is read")
            rest = rest[20:]
        time.sleep(0.06)  # what the sweep allows; the loop stands still
        client.sendall(rest)
        arrived(taken)
        rig.front.sweep()
        await until(lambda: rig.side.started, "the request is sent on")
        rig.serve(rig.side.started[0])
        assert (await answers(client, 1))[0][3][0] == b"x"

    play(tmp_path, scene, client_idle_timeout=0.05, client_silence_timeout=0.05)


@pytest.mark.parametrize("state", ["idle", "mute", "half"])
def test_the_sweep_closes_long_silent_connections(tmp_path: Path, state: str) -> None:
    async def scene(rig: Rig) -> None:
        client = (await rig.client())[0] if state == "mute" else (await idle(rig))[0]
        if state == "half":
            client.sendall(call(2)[:20])
            await until(lambda: rig.front.idle_sessions.message_begun, "half of it is read")
        time.sleep(0.06)
        rig.front.sweep()
        assert await answers(client) == []

    play(tmp_path, scene, client_idle_timeout=0.05, client_silence_timeout=0.05)


def test_an_answer_just_written_survives_the_error_that_ends_its_connection(tmp_path: Path) -> None:
    """The request before it was withdrawn and got nothing, and the close over what came behind reset all."""

    async def scene(rig: Rig) -> None:
        client, _ = await rig.client()
        client.sendall(call(1))
        await until(lambda: rig.side.started, "the request is sent on")
        with contextlib.suppress(BlockingIOError):
            client.setblocking(False)
            client.sendall(call(2) + b"\xc1" * 200_000)  # more than is read before the fault is seen
        found = await answers(client)
        assert None not in found and sorted(answer[1] for answer in found) == [1, 2]
        assert {answer[2][0] for answer in found} <= {"TryLater", "Aborted"} and len(rig.side.started) == 1
        assert rig.counters.counts["bad_client_bytes"] == 1

    play(tmp_path, scene)


def test_a_lingering_connection_is_closed_within_the_bound(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        began = time.monotonic()
        client.sendall(b"\xc1")
        assert await answers(client) == []
        assert session in rig.front.idle_sessions.lingering
        await until(lambda: not rig.front.sessions, "it is closed")
        assert 0.25 < time.monotonic() - began < 2.0

    play(tmp_path, scene)


def test_lingering_connections_are_closed_for_others_first(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        usual, _ = await idle(rig)
        client, _ = await rig.client()
        client.sendall(b"\xc1")
        await until(lambda: rig.front.idle_sessions.lingering, "it is at its end")
        rig.take(rig.connect()[1])
        assert not rig.front.idle_sessions.lingering and rig.counters.counts["closed_silent_clients"] == 1
        await turns()
        usual.sendall(call(2))
        await until(lambda: rig.side.started, "the request is sent on")

    play(tmp_path, scene, client_connections=2)


def test_the_end_of_a_drain_answers_open_requests_and_resets_no_connection(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(call(1))
        await until(lambda: rig.side.started, "the request is sent on")
        assert rig.exchange.attempts.prepare_write(rig.side.started[0]) is not None
        rig.exchange.attempts.mark_written(rig.side.started[0])
        rig.front.operator_state.set_override(DRAIN, True)
        client.sendall(call(2))
        arrived(session.stream.socket)
        rig.front.drained_at = rig.front.now() - rig.limits.drain_close_after
        rig.front.close_quiet_connections()  # with the second one unread
        found = await answers(client)
        assert [answer[1] for answer in found] == [1] and found[0][2][0] in ("TryLater", "Aborted")
        assert len(rig.side.started) == 1 and rig.counters.counts["closed_by_drain"] == 1

    play(tmp_path, scene)


@pytest.mark.parametrize("first", [False, True])  # what it sends, or of who has connected and asked nothing
@pytest.mark.parametrize("moment", ["unread", "read by the stream"])
def test_a_quiet_connection_is_not_closed_as_its_request_arrives(
    tmp_path: Path, moment: str, first: bool
) -> None:
    async def scene(rig: Rig) -> None:
        if first:
            client, session = await rig.client()
            taken, session.connected_at = (
                session.stream.socket,
                session.connected_at - rig.limits.new_connection_age,
            )
        else:
            client, taken = await idle(rig)
        rig.front.handing_over = True
        client.sendall(call(2))
        arrived(taken)
        if moment == "unread":
            rig.front.close_quiet_connections()
        else:
            # A callback that follows the read in the same turn: the stream has the bytes, its session not.
            (session,) = rig.front.sessions
            session.stream._handle_events(taken, session.stream.io_loop.READ)
            assert not session.stream.reading()
            rig.front.close_quiet_connections()
        await until(lambda: rig.side.started, "the request is sent on")
        rig.serve(rig.side.started[0])
        assert (await answers(client))[0][3][0] == b"x"
        assert rig.counters.counts["closed_quiet_clients"] == 1

    play(tmp_path, scene)


def test_requests_read_while_rejecting_are_rejected_and_not_forwarded(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, taken = await idle(rig)
        client.sendall(call(2))
        arrived(taken)
        rig.front.handing_over = rig.front.near_end = True
        rig.front.close_quiet_connections()
        assert (await answers(client, 1))[0][1:3] == [2, ["TryLater", {"pushback": "200"}]]
        assert not rig.side.started

    play(tmp_path, scene)
