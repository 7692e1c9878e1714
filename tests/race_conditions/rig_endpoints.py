"""A bulletin inside the test's own loop, and a follower of it whose events are recorded."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

from paddlequay.config.limits import Limits
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import EndpointList

WAIT = 5.0
Play = Callable[["Told"], Awaitable[None]]


class Told:
    """One connection from the follower, as the bulletin sees it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, after: int) -> None:
        self.reader, self.writer, self.after = reader, writer, after

    def tell(self, *lines: Any) -> None:
        """In one write."""
        told = [line if isinstance(line, bytes) else json.dumps(line).encode() for line in lines]
        self.writer.write(b"".join(line + b"\n" for line in told))

    async def ended(self) -> None:
        async with asyncio.timeout(WAIT):
            with contextlib.suppress(ConnectionResetError):
                assert await self.reader.read() == b""


class Bulletin:
    """Plays the next script with each connection, and the last one with all further ones."""

    def __init__(self, *plays: Play) -> None:
        self.plays = list(plays)
        self.came: list[Told] = []
        self.tasks: list[asyncio.Task[Any]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.append(cast(asyncio.Task[Any], asyncio.current_task()))
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            word, number = (await reader.readuntil(b"\n")).split()
            assert word == b"after"
            told = Told(reader, writer, int(number))
            self.came.append(told)
            await self.plays[min(len(self.came), len(self.plays)) - 1](told)

    async def __aenter__(self) -> "Bulletin":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = cast(tuple[str, int], self.server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *why: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for told in self.came:
            told.writer.close()


class Recorder(EndpointWatch):
    """Follows, and records what it takes: (number) of lists, and of purges."""

    def __init__(
        self, address: tuple[str, int], on_roster: Callable[[EndpointList], None] | None = None
    ) -> None:
        self.had: list[int] = []
        self.counts = Counters()
        super().__init__(address, cast(Any, self), cast(Any, self), Limits(), self.counts)
        self.then = on_roster or (lambda _: None)
        self.on_endpoint_list = self.roster

    def roster(self, roster: EndpointList) -> None:
        self.then(roster)
        self.had.append(roster.number)

    def record_purge(self, key: int | None, group: int | None, issued: float) -> None:
        self.had.append(self.last_number + 1)

    async def __aenter__(self) -> "Recorder":
        self.task = asyncio.ensure_future(self.follow())
        return self

    async def __aexit__(self, *why: object) -> None:
        assert not self.task.done(), "the follower's task has died"
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await asyncio.sleep(0.01)

    async def has(self, *numbers: int) -> None:
        await until(lambda: self.had == list(numbers), f"has {numbers}", lambda: str(self.had))


async def until(check: Callable[[], Any], what: str, said: Callable[[], str] = str) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + WAIT
    while not check():
        assert loop.time() < end, f"not within {WAIT} s: {what}; {said()}"
        await asyncio.sleep(0.002)


def entry(name: str, **also: Any) -> dict[str, Any]:
    return {
        "instanceId": name,
        "hostPort": "10.0.0.1:6565",
        "zone": "here",
        "machineType": "box",
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1,
        "startedAtMs": 0,
    } | also


def roster(number: int, *entries: Any) -> dict[str, Any]:
    return {"no": number, "roster": {"reset": False, "instances": list(entries) or [entry("box-1")]}}


def recall(number: int) -> dict[str, Any]:
    return {"no": number, "recall": {"lot": 1, "issued": 1}}


def play(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work

    asyncio.run(bounded())


async def silent(told: Told) -> None:
    await asyncio.sleep(60)
