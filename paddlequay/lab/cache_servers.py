"""Stand-ins on loopback: plaza boxes, the store, and one server for bulletin and feed, in the platform's
protocol.

They live in the experiment's process. What they were asked is kept, so that an experiment audits by their
records.
"""

import asyncio
import contextlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from paddlequay.hierarchy.copy_cache import CachedCopy, CopyCache, PartKey
from paddlequay.hierarchy.purge_history import PurgeHistory
from paddlequay.protocol import cache_server as serving
from paddlequay.protocol import caches

Reply = tuple[str, dict[str, str], bytes]
LINE, BODY = 8192, 1024 * 1024


def forget(tasks: dict[str, asyncio.Task[None]], id: str, _: object) -> None:
    tasks.pop(id, None)


class Server:
    """Serves the caches' protocol; `answer` gives word, fields and body. Close ends its connections too."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connection, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def answer(self, asked: serving.CacheRequest) -> Reply:
        raise NotImplementedError

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        lines = serving.CacheRequestParser(LINE, BODY)
        open_: dict[str, asyncio.Task[None]] = {}
        try:
            while data := await reader.read(65536):
                for line in lines.feed(data):
                    if isinstance(line, serving.CacheRequest):
                        task = asyncio.ensure_future(self.one(line, writer))
                        open_[line.id] = task
                        task.add_done_callback(partial(forget, open_, line.id))
                    elif isinstance(line, serving.CancelRequest):
                        if line.id in open_:
                            open_[line.id].cancel()
                    else:
                        writer.write(b"".join(serving.encode_answer(line.tag, "PONG", {})))
        except (OSError, caches.CacheProtocolError, asyncio.CancelledError):
            pass
        finally:
            for task in list(open_.values()):
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def one(self, asked: serving.CacheRequest, writer: asyncio.StreamWriter) -> None:
        word, fields, body = await self.answer(asked)
        if not writer.is_closing():
            writer.write(b"".join(serving.encode_answer(asked.id, word, fields, body)))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Link:
    """One connection to a server of the caches' protocol, made when it is first used and after it broke."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None
        self.waiting: dict[str, asyncio.Future[caches.CacheAnswer]] = {}
        self.lock = asyncio.Lock()
        self.task: asyncio.Task[None] | None = None

    async def ask(self, id: str, fields: Mapping[str, str], longest: float) -> caches.CacheAnswer:
        """Raises OSError or TimeoutError."""
        async with self.lock:
            if self.writer is None:
                reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 1.0)
                self.task = asyncio.ensure_future(self.read(reader))
        future: asyncio.Future[caches.CacheAnswer] = asyncio.get_running_loop().create_future()
        self.waiting[id] = future
        if self.writer is None:
            raise ConnectionResetError
        self.writer.write(caches.request_line(id, fields, 0) + b"\r\n")
        try:
            return await asyncio.wait_for(future, longest)
        finally:
            self.waiting.pop(id, None)

    async def read(self, reader: asyncio.StreamReader) -> None:
        lines = caches.CacheAnswerParser(LINE, BODY)
        try:
            while data := await reader.read(65536):
                for answer in lines.feed(data):
                    future = self.waiting.get(answer.id)
                    if future is not None and not future.done():
                        future.set_result(answer)
        except (OSError, caches.CacheProtocolError):
            pass
        self.close()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError())


@dataclass(frozen=True, slots=True)
class Given:
    """One fill that the store gave out. `epoch` counts the purges that it knew of."""

    at: float
    name: str
    part: str
    class_name: str
    epoch: int


class Store(Server):
    """Holds everything; slows down when crowded; runs charges, and counts each."""

    def __init__(self, delay: float = 0.03, size: Callable[[str], int] = lambda _: 2000) -> None:
        super().__init__()
        self.delay, self.size = delay, size
        self.inflight = 0
        self.given: list[Given] = []
        self.charges: Counter[str] = Counter()
        self.ran: list[float] = []  # when charges came, Unix seconds
        self.purged: dict[str, tuple[int, float]] = {}  # purges of an object, and the latest, Unix seconds
        self.factor = 1.0

    def purge(self, name: str) -> float:
        issued = time.time()
        self.purged[name] = (self.purged.get(name, (0, 0.0))[0] + 1, issued)
        return issued

    async def answer(self, asked: serving.CacheRequest) -> Reply:
        name, part = asked.fields.get("path", ""), asked.fields.get("blk", "")
        if asked.fields.get("queue") == "toll-charge":
            self.charges[asked.id] += 1
            self.ran.append(time.time())
            await asyncio.sleep(self.delay)
            return "HIT", {"detail": "HIT"}, b"charged"
        self.inflight += 1
        epoch = self.purged.get(name, (0, 0.0))[0]
        minted = time.time()
        self.given.append(Given(minted, name, part, asked.fields.get("queue", ""), epoch))
        try:
            await asyncio.sleep(self.delay * self.factor * (1 + self.inflight / 200))
        finally:
            self.inflight -= 1
        fields = {"tag": f"{epoch}", "minted": str(int(minted * 1000) + 1), "detail": "HIT"}
        fields["lot"] = str(int(name[-2:], 16))
        return "HIT", fields, body_of(name, part, self.size(name))


def body_of(name: str, part: str, size: int) -> bytes:
    """The bytes of a part: whoever serves it can be checked."""
    word = f"{name}.{part} ".encode()
    return (word * (size // len(word) + 1))[:size]


@dataclass(slots=True, eq=False)
class Box(Server):
    """A plaza box: copies in memory, fills by way of the source that the router names, joins."""

    name: str
    where: Callable[[str], tuple[str, int] | None]
    store: str
    fresh: Mapping[str, float]
    copies: CopyCache = field(default_factory=lambda: CopyCache(16 * 1024 * 1024))
    purges: PurgeHistory = field(default_factory=lambda: PurgeHistory(8.0))
    links: dict[tuple[str, int], Link] = field(default_factory=dict)
    fills: dict[PartKey, asyncio.Task[Reply]] = field(default_factory=dict)
    asked: list[tuple[float, str]] = field(default_factory=list)  # when, and the source that was named
    filled: list[tuple[float, str]] = field(default_factory=list)  # when, and from whom

    def __post_init__(self) -> None:
        Server.__init__(self)

    def purge(self, name: str, issued: float) -> None:
        self.purges.add(name, None, issued, time.time())
        self.copies.purge(name, None, issued)

    async def answer(self, asked: serving.CacheRequest) -> Reply:
        fields = asked.fields
        self.asked.append((time.time(), fields.get("via", "")))
        place = PartKey(fields["path"], int(fields["blk"]) if fields.get("blk") else None)
        fresh = int(fields.get("fresh", 0)) / 1000.0 or self.fresh.get(fields.get("queue", ""), 0.0)
        floor = max(time.time() - fresh if fresh else 0.0, self.purges.latest_of_object(place.object_name))
        copy = self.copies.get(place)
        if copy is not None and copy.minted_at >= floor:
            return self.hit(copy, "HIT")
        source = fields.get("via")
        if source is None:
            return "NONE", {"detail": "UP_MISS"}, b""
        task = self.fills.get(place)
        joined = task is not None
        if task is None:
            task = self.fills[place] = asyncio.ensure_future(self.fill(asked, place, source, floor))
            task.add_done_callback(lambda _: self.fills.pop(place, None))
        word, told, body = await asyncio.shield(task)
        if word == "HIT" and int(told["minted"]) / 1000.0 < floor:
            return "NONE", {"detail": "UP_MISS"}, b""
        return word, told | {"detail": "COLLAPSED"} if joined and word == "HIT" else told, body

    def hit(self, copy: CachedCopy, detail: str) -> Reply:
        fields = {"tag": copy.tag, "minted": str(round(copy.minted_at * 1000)), "detail": detail}
        fields["use"] = f"inflight:{len(self.fills)};util:0.10;x0:0.50;x1:0.10"
        return "HIT", fields, bytes(copy.body)

    async def fill(self, asked: serving.CacheRequest, place: PartKey, source: str, floor: float) -> Reply:
        began = time.time()
        address = self.where(source)
        if address is None:
            return "NONE", {"detail": "UP_DOWN"}, b""
        self.filled.append((began, source))
        link = self.links.setdefault(address, Link(address))
        told = {
            name: asked.fields[name] for name in ("queue", "path", "blk", "budget") if name in asked.fields
        }
        if source != self.store:
            told["via"] = self.store
        if "held" in asked.fields.get("opts", ""):
            told["opts"] = "held"
        if floor:
            told["fresh"] = str(max(1, int((began - floor) * 1000)))
        try:
            answer = await link.ask(f"{self.name}.{asked.id}", told, 3.0)
        except (OSError, TimeoutError):
            return "FAULT", {"detail": "UP_DOWN"}, b""
        if answer.status != "HIT":
            detail = {"SHED": "UP_BUSY", "NONE": "UP_MISS"}.get(answer.status, "ORIGIN_ERR")
            return "SHED" if answer.status == "SHED" else "NONE", {"detail": detail}, b""
        minted = int(answer.fields["minted"]) / 1000.0
        copy = CachedCopy(
            bytes(answer.body), answer.fields["tag"], minted, retention=int(asked.fields.get("tier", 1))
        )
        if minted >= self.purges.latest_of_object(place.object_name):
            self.copies.put(place, copy)
        word, fields, body = self.hit(copy, "MISS_ORIGIN" if source == self.store else "MISS")
        return word, fields | {"lag": f"{(time.time() - began) * 1000:.1f}"}, body


class News:
    """Numbered lines of JSON to whoever writes `after N`: the bulletin of routers, or the feed of tiers.

    Each connection gets what is new after a delay of its own, so that nodes act on different versions.
    """

    def __init__(self, delay: Callable[[], float] = lambda: 0.0) -> None:
        self.events: list[dict[str, Any]] = []
        self.delay = delay
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ("127.0.0.1", 0)
        self.more = asyncio.Condition()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.connection, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def tell(self, **event: Any) -> None:
        async with self.more:
            self.events.append({"no": len(self.events) + 1, **event})
            self.more.notify_all()

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            words = (await reader.readline()).split()
            last = int(words[1])
            beat = time.monotonic()
            while not writer.is_closing():
                while last < len(self.events):
                    await asyncio.sleep(self.delay())
                    writer.write(json.dumps(self.events[last]).encode() + b"\n")
                    last += 1
                if time.monotonic() - beat > 0.9:
                    beat = time.monotonic()
                    writer.write(json.dumps({"no": last}).encode() + b"\n")
                await writer.drain()
                async with self.more:
                    if last >= len(self.events):
                        await _within(self.more.wait(), 0.3)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


async def _within(what: Awaitable[Any], longest: float) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(what, longest)
