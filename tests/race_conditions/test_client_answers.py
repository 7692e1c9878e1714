"""One client's messages and answers where two of them cross: one answer each, nothing counted for good."""

import asyncio
import socket
from dataclasses import replace
from pathlib import Path

import pytest
from rig_clients import Rig, answers, arrived, call, cancel, out, play, reset, turns, until

from paddlequay.protocol import msgpack
from paddlequay.requests.messages import AttemptResult
from paddlequay.routing.interface import Outcome


@pytest.mark.parametrize("large", [1, 2**31, 2**32 - 1, 2**32, 2**64 - 1])
def test_a_reused_id_gets_only_its_own_answer(tmp_path: Path, large: int) -> None:
    """Cancelled and asked anew while the answer to the first is on its way; the largest ids too."""

    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(call(large, id=1))
        await until(lambda: len(rig.side.started) == 1, "it is sent on")
        out(rig, rig.side.started[0])
        client.sendall(cancel(large) + call(large, id=2))
        await until(lambda: len(rig.side.started) == 2, "the second one is sent on")
        out(rig, rig.side.started[1])
        rig.exchange.attempts.end(rig.side.started[0], AttemptResult(Outcome.SERVED, b"first"))
        assert session.writer.unsent_bytes == 0 and large in session.open_requests
        rig.exchange.attempts.end(rig.side.started[1], AttemptResult(Outcome.SERVED, b"second"))
        rig.exchange.attempts.end(rig.side.started[1], AttemptResult(Outcome.SERVED, b"again"))
        client.sendall(cancel(large) + call(large, id=3))  # for an answered id, which is free again
        await until(lambda: len(rig.side.started) == 3, "the third one is sent on")
        rig.serve(rig.side.started[2], b"third")
        client.sendall(msgpack.pack([0, 7, "alive", [{}]]))
        found = await answers(client, 3)
        assert [answer[3][0] for answer in found] == [b"second", b"third", True]

    play(tmp_path, scene)


def test_a_cancel_and_the_answer_in_one_turn_leave_one_answer_or_none(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(call(1) + call(2))
        await until(lambda: len(rig.side.started) == 2, "both are sent on")
        for attempt in list(rig.side.started):
            out(rig, attempt)
        client.sendall(cancel(1))
        arrived(session.stream.socket)
        rig.exchange.attempts.end(
            rig.side.started[0], AttemptResult(Outcome.SERVED, b"one")
        )  # first the answer
        await turns()
        client.sendall(cancel(2))
        await until(lambda: not session.open_requests, "the cancel is read")  # first the cancel
        rig.exchange.attempts.end(rig.side.started[1], AttemptResult(Outcome.SERVED, b"two"))
        client.sendall(msgpack.pack([0, 7, "alive", [{}]]))
        assert [answer[3][0] for answer in await answers(client, 2)] == [b"one", True]

    play(tmp_path, scene)


def test_an_incomplete_request_at_the_end_is_not_a_request(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        for cut in (1, 5, len(call(2)) - 1):
            client, session = await rig.client()
            client.sendall(call(2)[:cut])
            arrived(session.stream.socket, cut)
            reset(client) if cut == 5 else client.close()
            await until(lambda: not rig.front.sessions, "its session ends")
        assert not rig.side.started and rig.counters.counts["requests"] == 0

    play(tmp_path, scene)


def test_a_message_sent_a_byte_at_a_time_is_read_without_delaying_others(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        slow, session = await rig.client()
        slow.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        usual, _ = await rig.client()
        message = call(1)
        for at in range(len(message)):
            slow.sendall(message[at : at + 1])
            arrived(session.stream.socket)
            await turns(3)
            if at == len(message) // 2:
                usual.sendall(call(2))
                await until(lambda: rig.side.started, "the other one is sent on")
        await until(lambda: len(rig.side.started) == 2, "the slow one is sent on")
        assert rig.asked == [f"{2:016x}", f"{1:016x}"]

    play(tmp_path, scene)


@pytest.mark.parametrize("how", ["close", "reset", "too much", "others need it", "router"])
def test_unsent_bytes_are_released_however_a_connection_ends(tmp_path: Path, how: str) -> None:
    """`play` looks at the end that nothing is counted any more."""

    async def scene(rig: Rig) -> None:
        client, session = await rig.client()
        client.sendall(b"".join(map(call, range(1, 9))))
        await until(lambda: len(rig.side.started) == 8, "all are sent on")
        for attempt in rig.side.started[:2]:
            rig.serve(attempt, bytes(4_000_000))
        assert session.writer.unsent_bytes > 0 and rig.front.unsent_bytes == session.writer.unsent_bytes
        match how:
            case "close":
                client.close()
            case "reset":
                reset(client)
            case "too much":
                for attempt in rig.side.started[2:]:
                    rig.serve(attempt, bytes(4_000_000))
                found = await answers(client, 8)
                assert sorted(answer[1] for answer in found) == list(range(1, 9))
                assert {answer[2][0] for answer in found if answer[2]} == {"TryLater"}
                session.stream.close()
            case "others need it":
                other, _ = await rig.client()
                other.sendall(call(9))
                await until(lambda: len(rig.side.started) == 9, "it is sent on")
                rig.shares.memory_share = 1e-9
                rig.serve(rig.side.started[8])
                rig.shares.memory_share = 1.0
                assert (await answers(other, 1))[0][2][0] == "TryLater"
                assert [answer[1] for answer in await answers(client, 2)] == [1, 2]
                session.stream.close()
            case "router":
                session.end()
                rig.front.limits = replace(rig.limits, client_stall_timeout=0.1)
                for _ in range(4):  # the kernel's buffers fill before the client stalls
                    rig.front.sweep()
                    await asyncio.sleep(0.15)
        await until(lambda: session not in rig.front.sessions, "its session ends")
        await turns()
        assert rig.front.unsent_bytes == 0

    play(tmp_path, scene)


def test_an_internal_error_ends_one_session_and_answers_its_open_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene(rig: Rig) -> None:
        client, _ = await rig.client()
        other, _ = await rig.client()
        client.sendall(call(1))
        other.sendall(call(2))
        await until(lambda: len(rig.side.started) == 2, "both are sent on")
        monkeypatch.setattr(rig.front.overload, "should_shed", lambda: 1 / 0)
        client.sendall(call(3))
        found = await answers(client)
        monkeypatch.undo()
        assert [answer[1] for answer in found] == [1] and rig.counters.counts["client_errors"] == 1
        await until(lambda: len(rig.front.tasks) == 1, "its task ends")
        rig.serve(next(each for each in rig.side.started if each.id == f"{2:016x}"))
        assert (await answers(other, 1))[0][3][0] == b"x"

    play(tmp_path, scene)
