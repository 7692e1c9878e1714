"""Answers that lie unread, trickle or never end, in the moment in which their connection is judged."""

import asyncio
import socket
import threading
from pathlib import Path

import pytest
from harness import WAIT, platform, until
from rig_caches import Rig, play

from paddlequay.config.limits import Limits
from paddlequay.requests.messages import AnswerStatus
from paddlequay.routing.interface import Idempotency, RequestClass


def silent_for(rig: Rig, time: float) -> None:
    """The connections to the box, and what is out on them, as if so much time had passed."""
    for connection in rig.pool.instances["box"].connections:
        connection.last_received_at -= time
        connection.last_read_at -= time
        for attempt in connection.in_flight.values():
            attempt.started_at -= time
            attempt.written_at = (attempt.written_at or 0.0) - time


@pytest.mark.parametrize("answered", [True, False])
def test_a_connection_with_unread_answers_does_not_count_as_silent(tmp_path: Path, answered: bool) -> None:
    """The loop was late: what came meanwhile is in the socket, not in the reader."""

    async def scene(rig: Rig) -> None:
        for number in range(4):
            rig.ask(f"{number}", ttl=60.0)
        for number in range(4):
            connection = await rig.asked("box", f"{number}")
        silent_for(rig, 30.0)
        if answered:
            for number in range(4):
                connection.sendall(f"{number} HIT - 1\r\nx\r\n".encode())
        rig.pool.close_unresponsive()  # in the same turn
        if answered:
            await rig.until(lambda: len(rig.replies) == 4, "the answers")
            assert rig.counters.counts.get("unresponsive_connections", 0) == 0
        else:
            assert rig.counters.counts["unresponsive_connections"] == 1

    play(tmp_path, scene)


def test_an_answer_with_unread_bytes_does_not_count_as_stalled(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1")
        connection = await rig.asked("box", "1")
        connection.sendall(b"1 HIT - 4\r\nab")
        await rig.until(lambda: rig.only().parser.has_begun, "half the answer is read")
        silent_for(rig, 10 * rig.limits.cache_stall_timeout)
        connection.sendall(b"cd\r\n")
        rig.pool.close_unresponsive()
        await rig.until(lambda: rig.replies, "the answer")
        assert bytes(rig.replies[0].body) == b"abcd"

    play(tmp_path, scene)


def test_unread_answers_of_the_previous_incarnation_count(tmp_path: Path) -> None:
    """The list tells of a new start while the older run's answer lies unread; then nothing more can come."""

    async def scene(rig: Rig) -> None:
        rig.ask("1", "charge")
        rig.ask("2", "charge")
        await rig.asked("store", "1")
        connection = await rig.asked("store", "2")
        connection.sendall(b"1 HIT - 1\r\nx\r\n")
        rig.change(rig.entry("store", started=5.0))
        await rig.until(lambda: len(rig.replies) == 1, "the answer")
        assert rig.replies[0].status is AnswerStatus.SERVED
        rig.pool.close_unresponsive()
        await rig.until(lambda: len(rig.replies) == 2, "the other one's end")
        assert rig.replies[1].status is AnswerStatus.FAILED

    play(tmp_path, scene)


async def trickle(rig: Rig, peer: socket.socket, pieces: list[bytes], pause: float) -> None:
    """Send pieces until the connection is ended; as in the program, a late beat judges nobody."""
    time = asyncio.get_running_loop().time
    for piece in pieces:
        if rig.counters.counts.get("stalled_answers"):
            return
        peer.sendall(piece)
        began = time()
        await asyncio.sleep(pause)
        if time() - began < pause + rig.limits.max_heartbeat_delay:
            rig.pool.close_unresponsive()


@pytest.mark.parametrize(
    "start", [b"1 HIT - 200000\r\n", b"", b"77 HIT - 200000\r\n"], ids=["body", "line", "nobody's body"]
)
def test_an_endless_answer_is_cut_off_long_before_the_timeouts(tmp_path: Path, start: bytes) -> None:
    """A byte now and then kept its connection, and all that was out on it, until their own time-outs."""

    async def scene(rig: Rig) -> None:
        for number in range(1, 5):
            rig.ask(f"{number}", ttl=20.0)
        began = asyncio.get_running_loop().time()
        await trickle(rig, await rig.asked("box", "1"), [start, *[b"z"] * 400], 0.02)
        assert rig.counters.counts["stalled_answers"] == 1
        assert asyncio.get_running_loop().time() - began < 1.0
        await rig.until(lambda: rig.counters.counts.get("ended.reset") == 4, "all that was out has ended")

    play(
        tmp_path,
        scene,
        kinds=(
            RequestClass("video", latency_objective=5.0, deadline=20.0, idempotency=Idempotency.IDEMPOTENT),
        ),
    )


def test_a_slow_answer_of_the_largest_size_lives_as_long_as_its_request_may(tmp_path: Path) -> None:
    """240,000 bytes at 160,000 a second: the pace of one slow link, and inside the request's time."""

    async def scene(rig: Rig) -> None:
        rig.ask("1", ttl=6.0)
        size, piece = 240_000, 8_000
        pieces = [b"1 HIT - %d\r\n" % size, *[b"z" * piece] * (size // piece), b"\r\n"]
        await trickle(rig, await rig.asked("box", "1"), pieces, piece / 160_000)
        await rig.until(lambda: rig.replies, "the answer")
        assert len(rig.replies[0].body) == size and not rig.counters.counts.get("stalled_answers")

    play(
        tmp_path,
        scene,
        kinds=(
            RequestClass("video", latency_objective=2.0, deadline=6.0, idempotency=Idempotency.IDEMPOTENT),
        ),
    )


def test_the_rest_of_an_abandoned_answer_delays_no_other(tmp_path: Path) -> None:
    """Its client has left: the rest is let come where it comes soon, and else ends with its connection."""

    async def scene(rig: Rig) -> None:
        item = rig.ask("1", ttl=20.0)
        rig.ask("2", ttl=20.0)
        assert item is not None
        connection = await rig.asked("box", "1")
        # A tenth of it in a quarter of a second: the rest would take more than two.
        await trickle(rig, connection, [b"1 HIT - 4000\r\n" + b"z" * 300, *[b"z" * 8] * 13], 0.02)
        assert rig.only().parser.has_begun
        assert not rig.counters.counts.get("stalled_answers")  # it may still come in its request's time
        rig.exchange.withdraw(item)
        rig.pool.close_unresponsive()
        assert rig.counters.counts["stalled_answers"] == 1
        await rig.until(lambda: rig.counters.counts.get("ended.reset") == 1, "what was behind it has ended")

    kinds = (RequestClass("video", latency_objective=5.0, deadline=20.0, idempotency=Idempotency.IDEMPOTENT),)
    play(tmp_path, scene, kinds=kinds, limits=Limits(silence_check_after=0.3))


def test_the_program_routes_around_a_cache_with_an_endless_answer() -> None:
    with platform() as p:
        client = p.client()
        for number in range(3):
            client.ask(row=f"{number:016x}", ttl="3000")
        connection, words = p.box.line()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        over = threading.Event()

        def dribble() -> None:
            try:
                connection.sendall(f"{words[1]} HIT - 100000\r\n".encode())
                while not over.wait(0.02):
                    connection.sendall(b"z")
            except OSError:
                pass

        thread = threading.Thread(target=dribble)
        thread.start()
        try:
            for _ in range(3):
                p.parent.answer("HIT", "-", b"parent's")
            assert {client.answer()[3][0] for _ in range(3)} == {b"parent's"}
            assert p.counted("stalled_answers") == 1 and p.counted("ended.timeout") == 0
        finally:
            over.set()
            thread.join(WAIT)
        until(lambda: p.counted("ended.reset") == 3, "three attempts ended with their connection")
