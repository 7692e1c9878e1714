"""Clients that read slowly: their requests keep their answers, and their unsent answers a limit."""

import asyncio
import contextlib
import random
import socket
from pathlib import Path
from typing import Any

import pytest
from rig_clients import Rig, answers, call, play, turns, until

from paddlequay.net.clients.answer_writer import MAX_EXCESS_BYTES
from paddlequay.net.clients.session import ClientSession
from paddlequay.protocol import msgpack
from paddlequay.requests.messages import AnswerStatus, FinalAnswer

LARGE = bytes(240_000)  # the largest object
KERNEL_BUFFER = 16_384  # so that nearly all answers stay in the process
LIMITS = {"max_client_unsent": 1_000_000, "max_unsent": 2_000_000}
TRY_LATER = "TryLater"


async def slow_reader(rig: Rig, ids: range, method: str = "video") -> tuple[socket.socket, ClientSession]:
    """Returns a client that has sent requests and reads nothing, once all of them are sent to caches."""
    before = len(rig.side.started)
    client, session = await rig.client(buffer=KERNEL_BUFFER)
    client.sendall(b"".join(call(number, method=method) for number in ids))
    await until(lambda: len(rig.side.started) == before + len(ids), "all are sent to caches")
    return client, session


def serve_all(rig: Rig, body: bytes = LARGE) -> None:
    """Serves each attempt that has not ended."""
    for attempt in rig.side.started:
        if not attempt.ended:
            rig.serve(attempt, body)


def outcomes(found: list[Any]) -> dict[int, str]:
    """Returns the outcome of each answer by message number; fails if a request has two answers."""
    by_number = {number: "served" if error is None else error[0] for _, number, error, _ in found}
    assert len(by_number) == len(found)
    return by_number


def read_some(client: socket.socket, size: int) -> bytes:
    """Returns up to `size` of the bytes that have arrived."""
    data = b""
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while len(data) < size and (more := client.recv(size - len(data))):
            data += more
    client.setblocking(True)
    return data


def messages(data: bytes | bytearray) -> list[Any]:
    """Returns the complete messages at the beginning of the data."""
    found, text, at = [], bytes(data), 0
    with contextlib.suppress(msgpack.IncompleteMessageError):
        while at < len(text):
            value, at = msgpack.unpack(text, at, 1 << 22)
            found.append(value)
    return found


@pytest.mark.parametrize(("clients", "requests"), [(4, 6), (1, 8)], ids=["of all clients", "of one client"])
def test_no_connection_is_closed_when_unsent_answers_reach_a_limit(
    tmp_path: Path, clients: int, requests: int
) -> None:
    # Guards against: requests lost with the connection of the slowest reader, which freed memory for others.
    async def scene(rig: Rig) -> None:
        readers = []
        for at in range(clients):
            readers.append(await slow_reader(rig, range(1 + at * requests, 1 + (at + 1) * requests)))
            serve_all(rig)
        assert rig.front.unsent_bytes <= 2_000_000 + clients * MAX_EXCESS_BYTES
        for client, session in readers:
            assert not session.stream.closed()
            assert session.writer.unsent_bytes <= 1_000_000 + MAX_EXCESS_BYTES
            found = outcomes(await answers(client, requests))
            assert len(found) == requests and set(found.values()) == {"served", TRY_LATER}
        assert rig.counters.counts["unread_answers"] > 0 and rig.counters.counts["slow_readers"] == 0

    play(tmp_path, scene, **LIMITS)


def test_a_request_that_is_not_idempotent_fails_when_its_answer_cannot_be_kept(tmp_path: Path) -> None:
    # Guards against: a rejection, which promises no effect, for a request that a server has executed.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, range(1, 6))
        serve_all(rig)
        client.sendall(call(9, method="charge"))
        await until(lambda: 9 in session.waiting_calls, "it is read, and waits")
        session.waiting_calls.remove(9)
        session.answer_request(9, "charge", FinalAnswer(AnswerStatus.SERVED, LARGE))
        found = outcomes(await answers(client, 6))
        assert found[9] not in ("served", TRY_LATER)

    play(tmp_path, scene, **LIMITS)


def test_slow_readers_leave_memory_for_the_answers_of_other_clients(tmp_path: Path) -> None:
    # Guards against: a few slow readers that use up all memory for answers.
    async def scene(rig: Rig) -> None:
        for at in range(5):
            await slow_reader(rig, range(1 + 4 * at, 5 + 4 * at))
            serve_all(rig)
        other, _ = await slow_reader(rig, range(90, 91))
        serve_all(rig)
        assert outcomes(await answers(other, 1)) == {90: "served"}

    play(tmp_path, scene, max_client_unsent=1_000_000, max_unsent=4_000_000)


def test_waiting_calls_are_submitted_in_numbers_whose_answers_fit(tmp_path: Path) -> None:
    # Guards against: all waiting calls sent to caches at once, whose answers then cannot be kept.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, range(1, 4))
        serve_all(rig)
        client.sendall(b"".join(map(call, range(10, 22))))
        await until(lambda: len(session.waiting_calls) == 12, "they are read, and wait")
        reading = asyncio.ensure_future(answers(client, 15))
        while not reading.done():
            await until(lambda: session.open_requests or reading.done(), "some are sent to caches")
            assert len(session.open_requests) * len(LARGE) + session.writer.unsent_bytes <= 1_000_000
            serve_all(rig)
        assert set(outcomes(reading.result()).values()) == {"served"}
        assert not session.is_backpressured

    play(tmp_path, scene, **LIMITS)


def test_a_client_that_leaves_more_answers_unread_than_it_may_have_requests_open_is_closed(
    tmp_path: Path,
) -> None:
    # Guards against: rejections and errors without a limit for a client that reads none of them.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, range(1, 9))
        serve_all(rig)
        for number in range(100, 20_000):
            session.send_error(number, "unknown class")
            assert session.writer.unsent_bytes <= 1_000_000 + MAX_EXCESS_BYTES
        assert session.stream.closed() and rig.counters.counts["slow_readers.excess"] == 1
        client.close()

    play(tmp_path, scene, **LIMITS)


@pytest.mark.parametrize("seed", range(6))
def test_each_request_of_clients_that_read_at_any_pace_has_one_answer(tmp_path: Path, seed: int) -> None:
    # Guards against: an answer lost or sent twice as calls wait, answers are replaced and bytes are read.
    generator = random.Random(seed)

    async def scene(rig: Rig) -> None:
        clients = [await rig.client(buffer=KERNEL_BUFFER) for _ in range(6)]
        received = [bytearray() for _ in clients]
        numbers: list[list[int]] = [[] for _ in clients]
        for step in range(600):
            at = generator.randrange(len(clients))
            client, session = clients[at]
            match generator.randrange(4):
                case 0 if len(session.open_requests) + len(session.waiting_calls) < 20:
                    number = len(numbers[at]) + 1
                    numbers[at].append(number)
                    client.sendall(call(number, id=1 + 1000 * at + number))
                case 1 | 2:
                    serve_all(rig, bytes(generator.choice((1, 40_000, 240_000))))
                case _:
                    received[at] += read_some(client, generator.randrange(300_000))
            if step % 5 == 0:
                await turns()
            assert rig.front.unsent_bytes <= 2_000_000 + len(clients) * MAX_EXCESS_BYTES
        assert not any(session.stream.closed() for _, session in clients)
        for at, (client, _) in enumerate(clients):
            while len(outcomes(messages(received[at]))) < len(numbers[at]):
                serve_all(rig)
                await turns()
                received[at] += read_some(client, 1 << 20)
            assert sorted(outcomes(messages(received[at]))) == numbers[at]
        assert rig.counters.counts["slow_readers"] == 0

    play(tmp_path, scene, **LIMITS)


def test_a_connection_that_has_ended_is_not_closed_for_others_with_answers_unsent(tmp_path: Path) -> None:
    # Guards against: answers lost because a new connection needed the descriptor of one that lingers.
    async def scene(rig: Rig) -> None:
        client, session = await slow_reader(rig, range(1, 4))
        serve_all(rig)
        session.end()
        assert session.writer.unsent_bytes and session in rig.front.idle_sessions.lingering
        rig.front.on_accept(rig.connect()[1])
        assert not session.stream.closed() and rig.counters.counts["rejected_connections"] == 1
        assert set(outcomes(await answers(client, 3)).values()) == {"served"}

    play(tmp_path, scene, client_connections=1, **LIMITS)
