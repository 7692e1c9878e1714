"""What has ended is freed at once: the cycle collector comes seldom, and till then it takes up memory."""

import asyncio
import gc
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
import rig_caches
import rig_clients

from paddlequay.net.clients.session import ClientSession
from paddlequay.net.upstreams.connection import UpstreamConnection

COUNT = 20
RESETS = 6  # so few that the cache is not ejected


@pytest.fixture(autouse=True)
def nothing_collected() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def alive(kind: type) -> int:
    return sum(isinstance(each, kind) for each in gc.get_objects())


def reset(rig: rig_clients.Rig) -> Callable[[], Coroutine[Any, Any, None]]:
    async def end() -> None:
        rig_clients.reset((await rig.client())[0])

    return end


def closed(rig: rig_clients.Rig) -> Callable[[], Coroutine[Any, Any, None]]:
    async def end() -> None:
        (await rig.client())[0].close()

    return end


def closed_with_answers_to_come(rig: rig_clients.Rig) -> Callable[[], Coroutine[Any, Any, None]]:
    """The first answer makes the client's system reset the connection; the write of the next one fails."""

    async def end() -> None:
        client = (await rig.client())[0]
        client.sendall(b"".join(rig_clients.call(number, method="nosuch") for number in range(1, 30)))
        client.close()

    return end


@pytest.mark.parametrize("way", [closed, reset, closed_with_answers_to_come])
def test_an_ended_client_connection_is_freed_without_the_cycle_collector(tmp_path: Path, way: Any) -> None:
    async def scene(rig: rig_clients.Rig) -> None:
        end = way(rig)
        for _ in range(COUNT):
            await end()
        await rig_clients.until(lambda: not rig.front.tasks, "all have ended")
        await rig_clients.turns()
        assert alive(ClientSession) < COUNT / 2

    rig_clients.play(tmp_path, scene)


def test_a_cache_connection_whose_write_fails_is_freed_without_the_cycle_collector(tmp_path: Path) -> None:
    # Guards against: a connection kept, with the messages being handled, by the error of its failed write.
    async def scene(rig: rig_caches.Rig) -> None:
        for number in range(RESETS):
            rig.ask(f"{number}a")
            connection = await rig.asked("box", f"{number}a")
            rig_clients.reset(connection)
            rig.ask(f"{number}b")  # written on the same connection, as the loop has not noticed its end
            await asyncio.sleep(0.01)
        for pending in list(rig.exchange.pending.values()):
            rig.exchange.withdraw(pending)
        await asyncio.sleep(0.01)
        assert (
            sum(each.stream.closed() for each in gc.get_objects() if isinstance(each, UpstreamConnection))
            == 0
        )

    rig_caches.play(tmp_path, scene)


def test_an_ended_cache_connection_is_freed_without_the_cycle_collector(tmp_path: Path) -> None:
    async def scene(rig: rig_caches.Rig) -> None:
        for number in range(COUNT):
            rig.ask(str(number))
            connection = await rig.asked("box", str(number))
            connection.sendall(f"{number} HIT - 1\r\nx\r\n".encode())
            await rig.until(lambda: len(rig.replies) > number, "answered")  # noqa: B023 (awaited here)
            connection.close()
            await rig.until(lambda: not rig.pool.tasks, "ended")
        await asyncio.sleep(0)
        assert alive(UpstreamConnection) < COUNT / 2

    rig_caches.play(tmp_path, scene)
