"""A cache closes a connection in the moment in which the router would write on it."""

import asyncio
import socket
import struct
from pathlib import Path

import pytest
from rig_caches import Rig, came, play

from paddlequay.requests.messages import AnswerStatus


def reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


@pytest.mark.parametrize("end", [socket.socket.close, reset])
@pytest.mark.parametrize("kind", ["video", "charge", "page"])
def test_no_request_is_written_on_a_connection_already_closed_by_its_peer(
    tmp_path: Path, kind: str, end: type
) -> None:
    """The peer's end lies in the socket unread, as the request comes in the same turn: it was never sent."""

    async def scene(rig: Rig) -> None:
        name = "store" if kind == "charge" else "box"
        first = await rig.served(name, "1", kind)  # younger than `cache_fresh`: charges may use it too
        end(first)
        rig.ask("2", kind)  # before the loop has read the end
        again = await rig.asked(name, "2")
        again.sendall(b"2 HIT - 1\r\nz\r\n")
        await rig.until(lambda: len(rig.replies) == 2, "the second answer")
        assert bytes(rig.replies[1].body) == b"z"
        counts = rig.counters.counts
        # Nor does it cost the request an attempt, or the member a failure.
        assert (
            counts["sent"] == 2 and not counts.get("ended.reset") and not counts.get("ended.connect_failed")
        )

    play(tmp_path, scene)


def test_all_idle_connections_closed_at_once_cost_one_request_nothing(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        for number in range(5):  # four fit one connection
            rig.ask(f"{number}")
        peers = {await rig.asked("box", f"{number}") for number in range(5)}
        assert len(peers) == 2
        ids = [*rig.pool.instances["box"].connections]
        for connection, peer in zip(ids, rig.peers["box"].connections, strict=True):
            for name in connection.in_flight:
                peer.sendall(f"{name} HIT - 1\r\nx\r\n".encode())
        await rig.until(lambda: len(rig.replies) == 5, "all answers")
        for peer in peers:
            peer.close()
        rig.peers["box"].connections.clear()
        rig.ask("9")
        again = await rig.asked("box", "9")
        again.sendall(b"9 HIT - 1\r\nx\r\n")
        await rig.until(lambda: len(rig.replies) == 6, "the answer")
        assert rig.replies[5].status is AnswerStatus.SERVED and rig.counters.counts["sent"] == 6

    play(tmp_path, scene)


def test_retries_are_bounded_where_a_cache_closes_each_new_connection(
    tmp_path: Path,
) -> None:
    """Only a connection that has carried something is replaced for free: else the loop would be endless."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        await asyncio.sleep(0)  # the connect is under way, and up in the kernel, but not seen to be
        first = rig.peers["box"].accept()
        assert first is not None and not rig.only().is_up
        first.close()
        rig.peers["box"].connections.clear()
        await rig.asked("aimag", "1")  # proved idle, and round the only box
        assert rig.counters.counts["ended.connect_failed"] == 1 and rig.counters.counts["sent"] == 1
        assert rig.peers["box"].accept() is None

    play(tmp_path, scene)


@pytest.mark.parametrize("old", [False, True])
def test_non_idempotent_requests_use_fresh_connections_only(tmp_path: Path, old: bool) -> None:
    """Both sides of `cache_fresh`: an end that is still on its way is seen by nobody."""

    async def scene(rig: Rig) -> None:
        first = await rig.served("store", "1", "charge")
        if old:
            rig.only("store").last_used_at -= rig.limits.max_reuse_idle + 0.001
        rig.ask("2", "charge")
        second = await rig.asked("store", "2")
        assert (second is first) is not old

    play(tmp_path, scene)


def test_a_close_that_crosses_a_write_fails_the_request_without_a_retry(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        first = await rig.served("store", "1", "charge")
        rig.ask("2", "charge")  # written: the end comes after it
        reset(first)
        rig.peers["store"].connections.clear()
        await rig.until(lambda: len(rig.replies) == 2, "the answer")
        assert rig.replies[1].status is AnswerStatus.FAILED and rig.counters.counts["sent"] == 2
        assert rig.peers["store"].accept() is None and rig.peers["box"].accept() is None

    play(tmp_path, scene)


def test_a_partly_buffered_write_may_have_run_when_its_connection_is_reset(
    tmp_path: Path,
) -> None:
    async def scene(rig: Rig) -> None:
        first = await rig.served("store", "1", "charge")
        connection = rig.only("store")
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        first.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        waiting = 0
        for number in range(2, 30):  # until the socket takes no more
            rig.ask(f"{number}", "charge", body=b"b" * 48_000)
            waiting = len(connection.waiting)
            if waiting:
                break
        assert connection.stream.writing() and waiting == 1
        sent = rig.counters.counts["sent"]
        reset(first)
        rig.peers["store"].connections.clear()
        await rig.until(lambda: len(rig.replies) >= sent, "the answers")
        assert {reply.status for reply in rig.replies[1:]} == {AnswerStatus.FAILED}
        # What waited behind them was never written, and goes on another way.
        await rig.asked("box", f"{number}")

    play(tmp_path, scene)


def test_queued_requests_follow_a_partly_written_cancel(tmp_path: Path) -> None:
    """The write that `write_waiting` hangs on is done while a QUIT behind it is not: it goes on then too."""

    async def scene(rig: Rig) -> None:
        first = await rig.served("box", "1")
        connection = rig.only()
        stream = connection.stream
        full, write = [True], stream.write_to_fd

        def narrow(data: memoryview) -> int:
            """Takes all but the last two bytes of what is there, and then nothing more."""
            if not full[0]:
                return write(data)
            if len(data) <= 2:
                raise BlockingIOError
            return write(data[:-2])

        stream.write_to_fd = narrow  # type: ignore[method-assign]
        item = rig.ask("2")  # its last bytes are held back
        rig.ask("3")
        assert item is not None and stream.writing() and len(connection.waiting) == 1
        rig.exchange.withdraw(item)  # QUIT, behind it in the buffer

        await rig.until(lambda: len(stream._write_futures) == 1, "the first write is done, the QUIT is not")
        full[0] = False
        await rig.asked("box", "3")
        assert first.fileno() > 0

    play(tmp_path, scene)


def test_an_idle_connection_closed_with_unread_bytes_fails_no_request(tmp_path: Path) -> None:
    """Half a line of a cache lies unread as its idle connection is closed to make room."""

    async def scene(rig: Rig) -> None:
        first = await rig.served("box", "1")
        connection = rig.only()
        connection.last_used_at -= rig.limits.cache_idle_timeout + 1.0
        first.sendall(b"1 HIT tag=")
        rig.pool.sweep()
        assert connection.stream.closed()
        second = await rig.served("box", "2")
        assert second is not first and came(second) == b""
        assert rig.counters.counts.get("ended.reset", 0) == 0 and len(rig.pool.connections()) == 1

    play(tmp_path, scene)
