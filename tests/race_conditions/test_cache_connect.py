"""What happens to a member, or to what waits for it, while a connection to it is coming up.

`under_way` leaves each connect at the point at which the kernel has it up and the router does not know yet.
"""

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest
from rig_caches import Peer, Rig, came, play

from paddlequay.requests.messages import UpstreamAttempt
from paddlequay.routing.interface import MemberState


async def under_way(rig: Rig, name: str = "box") -> None:
    await asyncio.sleep(0)
    assert not rig.only(name).is_up and rig.peers[name].accept() is not None


def test_a_connection_made_after_its_only_attempt_ended_is_counted_and_closed(
    tmp_path: Path,
) -> None:
    async def scene(rig: Rig) -> None:
        item = rig.ask("1")
        assert item is not None
        await under_way(rig)
        rig.exchange.withdraw(item)
        connection = rig.only()
        await rig.until(lambda: connection.is_up, "the connection is up")
        assert connection.is_idle and rig.pool.connections() == [connection]
        await rig.served("box", "2")
        assert rig.only() is connection and rig.counters.counts["sent"] == 1
        connection.last_used_at -= rig.limits.cache_idle_timeout + 1.0
        rig.pool.sweep()
        await rig.until(lambda: not rig.pool.connections(), "it is closed as idle")

    play(tmp_path, scene)


@pytest.mark.parametrize("kind", ["video", "charge"])
def test_attempts_that_waited_are_not_written_to_the_old_address_of_a_moved_member(
    tmp_path: Path, kind: str
) -> None:
    """The exchange asks by name whether a member may be sent to: the new run would vouch for the old one."""

    async def scene(rig: Rig) -> None:
        name = "store" if kind == "charge" else "box"
        old, new = rig.peers[name], Peer()
        rig.ask("1", kind)
        await under_way(rig, name)
        waiting = rig.only(name)
        rig.change(*(each for each in rig.listed.values() if each.member.name != name), full=True)
        rig.peers[name] = new
        rig.change(rig.entry(name))
        await rig.until(lambda: waiting.stream.closed() or waiting.is_idle, "nothing waits there any more")
        assert rig.counters.counts["ended.not_sent"] == 1 and not rig.counters.counts.get(
            "ended.connect_failed"
        )
        assert came(old.connections[0]) == b""
        await rig.served(name, "2", kind)
        assert came(old.connections[0]) == b""
        old.close()

    play(tmp_path, scene)


def test_attempts_that_waited_for_a_restarted_member_count_as_not_sent(tmp_path: Path) -> None:
    """Its older run's end is no failure of the newer one's."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        await under_way(rig)
        rig.change(rig.entry("box", started=5.0))
        await rig.until(
            lambda: not rig.pool.removed_instances or not rig.pool.removed_instances[0].connections,
            "it has ended",
        )
        assert rig.counters.counts["ended.not_sent"] == 1 and not rig.counters.counts.get(
            "ended.connect_failed"
        )
        assert came(rig.peers["box"].connections[0]) == b""

    play(tmp_path, scene)


def test_attempts_that_wait_for_a_draining_member_are_not_written(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1")
        await under_way(rig)
        rig.change(rig.entry("box", state=MemberState.DRAINING))
        await rig.asked("aimag", "1")
        assert rig.counters.counts["ended.not_sent"] == 1
        assert came(rig.peers["box"].connections[0]) == b""

    play(tmp_path, scene)


def test_an_attempt_started_while_the_queue_is_written_is_sent_exactly_once(tmp_path: Path) -> None:
    """The source drains: `order` ends each attempt, and the next one begins inside the loop that writes."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        rig.ask("2")
        await under_way(rig)
        rig.change(rig.entry("aimag", state=MemberState.DRAINING))
        connection = await rig.asked("store", "1")
        assert await rig.asked("store", "2") is connection
        for id in ("1", "2"):
            connection.sendall(f"{id} HIT - 1\r\n{id}\r\n".encode())
        await rig.until(lambda: len(rig.replies) == 2, "both answers")
        assert [bytes(reply.body) for reply in rig.replies] == [b"1", b"2"]
        assert rig.counters.counts["ended.not_sent"] == 2 and rig.counters.counts["sent"] == 2
        assert came(rig.peers["box"].connections[0]) == b""

    play(tmp_path, scene)


def test_an_error_as_a_connection_comes_up_ends_that_connection_and_no_more(
    tmp_path: Path, caplog: Any
) -> None:
    """It ended the task alone: the connection stood, was never read, and took the next requests."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        rig.ask("2")
        await under_way(rig)
        order, failed = rig.exchange.attempts.prepare_write, list[UpstreamAttempt]()

        def fails_once(attempt: UpstreamAttempt) -> Any:
            if failed:
                return order(attempt)
            failed.append(attempt)
            raise RuntimeError("forced")

        rig.exchange.attempts.prepare_write = fails_once  # type: ignore[method-assign]
        await rig.until(lambda: rig.counters.counts.get("cache_errors") == 1, "the error is counted")
        await rig.asked("aimag", "2")  # proved idle, on its way round
        assert not rig.pool.instances["box"].connections

    play(tmp_path, scene)


def test_connections_to_caches_disable_nagles_algorithm(tmp_path: Path) -> None:
    async def scene(rig: Rig) -> None:
        rig.ask("1")
        await under_way(rig)
        held_back: list[int] = []
        written = rig.exchange.attempts.mark_written

        def noted(attempt: UpstreamAttempt) -> None:
            held_back.append(rig.only().stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            written(attempt)

        rig.exchange.attempts.mark_written = noted  # type: ignore[method-assign]
        await rig.asked("box", "1")
        assert len(held_back) == 1 and held_back[0]

    play(tmp_path, scene)


def test_connections_closed_by_the_shutdown_start_no_attempt(tmp_path: Path) -> None:
    """The loop cancels their tasks: what was out is the client's to repeat, and no attempt follows."""

    async def scene(rig: Rig) -> None:
        rig.ask("1")
        rig.ask("2", "charge")
        await rig.asked("box", "1")
        await rig.asked("store", "2")
        tasks = list(rig.pool.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert all(task.cancelled() for task in tasks) and not rig.replies
        assert rig.counters.counts["sent"] == 2 and not rig.counters.counts.get("ended.reset")
        assert rig.peers["aimag"].accept() is None

    play(tmp_path, scene)
