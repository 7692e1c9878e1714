"""The memory of incomplete messages over all client connections."""

import asyncio
import socket
from pathlib import Path

import pytest
from rig_clients import Rig, answers, call, play, until

from paddlequay.net.clients.session import ClientSession

BODY = bytes(40_000)
FRAME = 64 * 1024
TWO_MESSAGES = {"max_input_bytes": 2 * FRAME}


async def half_sent(rig: Rig, number: int) -> tuple[socket.socket, ClientSession, bytes]:
    """Returns a client that has sent half of a request, and the other half."""
    client, session = await rig.client()
    message = call(number, method="charge", body=BODY)
    client.sendall(message[:20_000])
    return client, session, message[20_000:]


def held(rig: Rig) -> int:
    """Returns the bytes of incomplete messages of all connections."""
    return sum(len(session.input.parser.partial) for session in rig.front.sessions)


def test_incomplete_messages_of_many_clients_stay_within_one_limit(tmp_path: Path) -> None:
    # Guards against: a limit for each connection only, which hundreds of clients that write slowly multiply.
    async def scene(rig: Rig) -> None:
        clients = [await half_sent(rig, number) for number in range(1, 13)]
        quota = rig.front.input_quota
        await until(lambda: len(quota.waiting) == 10, "ten wait")
        unreserved = 10 * (rig.limits.client_read_size + 20_000 // 2)
        assert held(rig) <= 2 * FRAME + unreserved
        for client, _, rest in clients:
            client.sendall(rest)
        await until(lambda: len(rig.side.started) == 12, "all are sent on")
        assert not quota.waiting and not quota.reserved_at and held(rig) == 0

    play(tmp_path, scene, **TWO_MESSAGES)


def test_a_client_that_stops_inside_a_message_gives_way_to_those_that_wait(tmp_path: Path) -> None:
    # Guards against: memory held for good by clients that stop half way.
    async def scene(rig: Rig) -> None:
        stopped = [await half_sent(rig, number) for number in (1, 2)]
        await until(lambda: len(rig.front.input_quota.reserved_at) == 2, "both have the memory")
        client, _, rest = await half_sent(rig, 3)
        client.sendall(rest)
        await until(lambda: rig.front.input_quota.waiting, "the third waits")
        await asyncio.sleep(0.15)
        rig.front.sweep()
        await until(lambda: rig.side.started, "the third is sent on")
        assert [await answers(each) for each, _, _ in stopped] == [[], []]
        rig.serve(rig.side.started[0])
        assert (await answers(client, 1))[0][3][0] == b"x"

    play(tmp_path, scene, client_silence_timeout=0.1, **TWO_MESSAGES)


def test_a_message_that_takes_too_long_gives_way_to_those_that_wait(tmp_path: Path) -> None:
    # Guards against: memory held for good by clients that send a byte now and then.
    async def scene(rig: Rig) -> None:
        slow = [await half_sent(rig, number) for number in (1, 2)]
        await until(lambda: len(rig.front.input_quota.reserved_at) == 2, "both have the memory")
        client, _, rest = await half_sent(rig, 3)
        client.sendall(rest)
        while not rig.side.started:
            for each, session, _ in slow:
                if not session.ended:
                    each.sendall(b"\0")
            await asyncio.sleep(0.05)
            rig.front.sweep()
        assert rig.counters.counts["slow_writers"] >= 1

    play(tmp_path, scene, client_message_timeout=0.3, **TWO_MESSAGES)


def test_requests_before_a_long_message_do_not_wait_for_its_memory(tmp_path: Path) -> None:
    # Guards against: complete requests held back with the incomplete one behind them.
    async def scene(rig: Rig) -> None:
        for number in (1, 2):
            await half_sent(rig, number)
        await until(lambda: len(rig.front.input_quota.reserved_at) == 2, "both have the memory")
        client, _ = await rig.client()
        client.sendall(call(3) + call(4, method="charge", body=BODY)[:20_000])
        await until(lambda: rig.asked == [f"{3:016x}"], "the complete one is sent on")
        assert len(rig.front.input_quota.waiting) == 1

    play(tmp_path, scene, **TWO_MESSAGES)


@pytest.mark.parametrize("way", ["its client", "this side"])
def test_a_connection_that_waits_for_memory_ends_when_it_is_closed(tmp_path: Path, way: str) -> None:
    # Guards against: a connection that waits for memory for ever, as nothing is read from it.
    async def scene(rig: Rig) -> None:
        for number in (1, 2):
            await half_sent(rig, number)
        await until(lambda: len(rig.front.input_quota.reserved_at) == 2, "both have the memory")
        client, session, _ = await half_sent(rig, 3)
        await until(lambda: rig.front.input_quota.waiting, "the third waits")
        if way == "its client":
            client.close()
            rig.front.sweep()
        else:
            session.close()
        await until(lambda: session not in rig.front.sessions, "it has ended")
        assert not rig.front.input_quota.waiting

    play(tmp_path, scene, **TWO_MESSAGES)
