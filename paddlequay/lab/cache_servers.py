"""Simulated caches and origin on loopback, which serve the caches' protocol in the experiment's process.

They record what they are asked, so that an experiment checks its claims by their records.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from paddlequay.hierarchy.copy_cache import CachedCopy, CopyCache, PartKey
from paddlequay.hierarchy.purge_history import PurgeHistory
from paddlequay.protocol import caches
from paddlequay.protocol.cache_server import (
    CacheRequest,
    CacheRequestParser,
    CancelRequest,
    StatusQuery,
    encode_answer,
)

MAX_LINE_BYTES = 8192
MAX_BODY_BYTES = 1024 * 1024
READ_SIZE = 65536
CONNECT_TIMEOUT_S = 1.0
FILL_TIMEOUT_S = 3.0
EDGE_CACHE_BYTES = 16 * 1024 * 1024
EDGE_PURGE_MEMORY_S = 8.0
CHARGE_CLASS = "toll-charge"
ORIGIN_CROWD_COUNT = 200  # requests in flight that double the origin's delay
ANY_ADDRESS = ("127.0.0.1", 0)


class CacheReply(NamedTuple):
    """An answer's status, fields and body."""

    status: str
    fields: dict[str, str]
    body: bytes


class CacheServer:
    """Serves the caches' protocol; a subclass gives the answers."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address: tuple[str, int] = ANY_ADDRESS

    async def start(self) -> None:
        """Listens on a free port from now on."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def answer(self, request: CacheRequest) -> CacheReply:
        """Returns the answer to a request."""
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        parser = CacheRequestParser(MAX_LINE_BYTES, MAX_BODY_BYTES)
        open_requests: dict[str, asyncio.Task[None]] = {}
        try:
            while data := await reader.read(READ_SIZE):
                for message in parser.feed(data):
                    self._handle(message, open_requests, writer)
        except (OSError, caches.CacheProtocolError, asyncio.CancelledError):
            pass
        finally:
            for task in list(open_requests.values()):
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    def _handle(
        self,
        message: CacheRequest | CancelRequest | StatusQuery,
        open_requests: dict[str, asyncio.Task[None]],
        writer: asyncio.StreamWriter,
    ) -> None:
        match message:
            case CacheRequest():
                task = asyncio.ensure_future(self._answer(message, writer))
                open_requests[message.id] = task
                task.add_done_callback(partial(_forget, open_requests, message.id))
            case CancelRequest():
                if message.id in open_requests:
                    open_requests[message.id].cancel()
            case StatusQuery():
                writer.write(b"".join(encode_answer(message.tag, "PONG", {})))

    async def _answer(self, request: CacheRequest, writer: asyncio.StreamWriter) -> None:
        reply = await self.answer(request)
        if not writer.is_closing():
            pieces = encode_answer(request.id, reply.status, reply.fields, reply.body)
            writer.write(b"".join(pieces))


def _forget(tasks: dict[str, asyncio.Task[None]], id: str, _: object) -> None:
    tasks.pop(id, None)


class CacheClient:
    """One connection to a server of the caches' protocol, made at its first use and after it broke."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None
        self.waiting: dict[str, asyncio.Future[caches.CacheAnswer]] = {}
        self.lock = asyncio.Lock()
        self.reading: asyncio.Task[None] | None = None

    async def request(self, id: str, fields: Mapping[str, str], timeout_s: float) -> caches.CacheAnswer:
        """Returns the answer to a request; raises OSError or TimeoutError."""
        async with self.lock:
            if self.writer is None:
                connecting = asyncio.open_connection(*self.address)
                reader, self.writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
                self.reading = asyncio.ensure_future(self._read(reader))
        future: asyncio.Future[caches.CacheAnswer] = asyncio.get_running_loop().create_future()
        self.waiting[id] = future
        if self.writer is None:
            raise ConnectionResetError
        self.writer.write(caches.request_line(id, fields, 0) + b"\r\n")
        try:
            return await asyncio.wait_for(future, timeout_s)
        finally:
            self.waiting.pop(id, None)

    def close(self) -> None:
        """Closes the connection and fails the requests that are open on it."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError())

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = caches.CacheAnswerParser(MAX_LINE_BYTES, MAX_BODY_BYTES)
        try:
            while data := await reader.read(READ_SIZE):
                for answer in parser.feed(data):
                    future = self.waiting.get(answer.id)
                    if future is not None and not future.done():
                        future.set_result(answer)
        except (OSError, caches.CacheProtocolError):
            pass
        self.close()


@dataclass(frozen=True, slots=True)
class RecordedFill:
    """A fill that the origin gave out at a Unix second; `epoch` counts the purges that it knew of."""

    at: float
    name: str
    part: str
    class_name: str
    epoch: int


class OriginServer(CacheServer):
    """Holds every object, slows down when crowded, and runs and counts charges.

    Args:
        delay_s: How long an answer takes while no other request is in flight.
        size: Returns the size of an object's parts in bytes.
    """

    def __init__(self, delay_s: float = 0.03, size: Callable[[str], int] = lambda _: 2000) -> None:
        super().__init__()
        self.delay_s = delay_s
        self.size = size
        self.in_flight = 0
        self.fills: list[RecordedFill] = []
        self.charges: Counter[str] = Counter()
        self.charged_at: list[float] = []  # Unix seconds
        self.epochs: Counter[str] = Counter()  # purges of an object
        self.delay_factor = 1.0

    def purge(self, name: str) -> float:
        """Purges an object; returns the time in Unix seconds."""
        self.epochs[name] += 1
        return time.time()

    async def answer(self, request: CacheRequest) -> CacheReply:
        """Returns an object's part, or runs a charge."""
        class_name = request.fields.get("queue", "")
        if class_name == CHARGE_CLASS:
            return await self._charge(request)
        name = request.fields.get("path", "")
        part = request.fields.get("blk", "")
        self.in_flight += 1
        epoch = self.epochs[name]
        generated_at = time.time()
        self.fills.append(RecordedFill(generated_at, name, part, class_name, epoch))
        try:
            crowding = 1 + self.in_flight / ORIGIN_CROWD_COUNT
            await asyncio.sleep(self.delay_s * self.delay_factor * crowding)
        finally:
            self.in_flight -= 1
        fields = {"tag": f"{epoch}", "minted": str(int(generated_at * 1000) + 1), "detail": "HIT"}
        fields["lot"] = str(int(name[-2:], 16))
        return CacheReply("HIT", fields, body_of(name, part, self.size(name)))

    async def _charge(self, request: CacheRequest) -> CacheReply:
        self.charges[request.id] += 1
        self.charged_at.append(time.time())
        await asyncio.sleep(self.delay_s)
        return CacheReply("HIT", {"detail": "HIT"}, b"charged")


def body_of(name: str, part: str, size: int) -> bytes:
    """Returns the bytes of a part, by which any server's answer can be checked."""
    word = f"{name}.{part} ".encode()
    return (word * (size // len(word) + 1))[:size]


@dataclass(slots=True, eq=False)
class EdgeCacheServer(CacheServer):
    """An edge cache: caches in memory, fills from the source that the router names, and coalesces fills.

    Attributes:
        name: Its name.
        address_of: Returns the address of a source; None for an unknown one.
        origin: The origin's name.
        freshness_s: The freshness lifetime of each class, in seconds; 0 for an unlimited one.
        requests: When each request came (Unix seconds), and the source that it named.
        fill_sources: When each fill began (Unix seconds), and the source that was asked.
    """

    name: str
    address_of: Callable[[str], tuple[str, int] | None]
    origin: str
    freshness_s: Mapping[str, float]
    copies: CopyCache = field(default_factory=lambda: CopyCache(EDGE_CACHE_BYTES))
    purges: PurgeHistory = field(default_factory=lambda: PurgeHistory(EDGE_PURGE_MEMORY_S))
    clients: dict[tuple[str, int], CacheClient] = field(default_factory=dict)
    fills: dict[PartKey, asyncio.Task[CacheReply]] = field(default_factory=dict)
    requests: list[tuple[float, str]] = field(default_factory=list)
    fill_sources: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        CacheServer.__init__(self)

    def purge(self, name: str, purged_at: float) -> None:
        """Applies a purge of an object, issued at a time in Unix seconds."""
        self.purges.add(name, None, purged_at, time.time())
        self.copies.purge(name, None, purged_at)

    async def answer(self, request: CacheRequest) -> CacheReply:
        """Returns a cached copy or that of a fill."""
        fields = request.fields
        self.requests.append((time.time(), fields.get("via", "")))
        key = PartKey(fields["path"], int(fields["blk"]) if fields.get("blk") else None)
        min_generated_at = self._min_generated_at(fields, key)
        copy = self.copies.get(key)
        if copy is not None and copy.generated_at >= min_generated_at:
            return self._reply_with(copy, "HIT")
        source = fields.get("via")
        if source is None:
            return CacheReply("NONE", {"detail": "UP_MISS"}, b"")
        task = self.fills.get(key)
        is_coalesced = task is not None
        if task is None:
            task = asyncio.ensure_future(self._fill(request, key, source, min_generated_at))
            self.fills[key] = task
            task.add_done_callback(lambda _: self.fills.pop(key, None))
        reply = await asyncio.shield(task)
        if reply.status != "HIT":
            return reply
        if int(reply.fields["minted"]) / 1000.0 < min_generated_at:
            return CacheReply("NONE", {"detail": "UP_MISS"}, b"")
        return reply._replace(fields=reply.fields | {"detail": "COLLAPSED"}) if is_coalesced else reply

    def _min_generated_at(self, fields: Mapping[str, str], key: PartKey) -> float:
        """Returns the Unix second before which a copy is too old, by its freshness and by purges."""
        max_age_s = int(fields.get("fresh", 0)) / 1000.0
        max_age_s = max_age_s or self.freshness_s.get(fields.get("queue", ""), 0.0)
        fresh_from = time.time() - max_age_s if max_age_s else 0.0
        return max(fresh_from, self.purges.latest_of_object(key.object_name))

    def _reply_with(self, copy: CachedCopy, detail: str) -> CacheReply:
        fields = {"tag": copy.tag, "minted": str(round(copy.generated_at * 1000)), "detail": detail}
        fields["use"] = f"inflight:{len(self.fills)};util:0.10;x0:0.50;x1:0.10"
        return CacheReply("HIT", fields, bytes(copy.body))

    async def _fill(
        self, request: CacheRequest, key: PartKey, source: str, min_generated_at: float
    ) -> CacheReply:
        started_at = time.time()
        address = self.address_of(source)
        if address is None:
            return CacheReply("NONE", {"detail": "UP_DOWN"}, b"")
        self.fill_sources.append((started_at, source))
        client = self.clients.setdefault(address, CacheClient(address))
        fields = self._fill_fields(request, source, started_at, min_generated_at)
        try:
            answer = await client.request(f"{self.name}.{request.id}", fields, FILL_TIMEOUT_S)
        except (OSError, TimeoutError):
            return CacheReply("FAULT", {"detail": "UP_DOWN"}, b"")
        if answer.status != "HIT":
            return _failed_fill(answer.status)
        generated_at = int(answer.fields["minted"]) / 1000.0
        retention = int(request.fields.get("tier", 1))
        copy = CachedCopy(bytes(answer.body), answer.fields["tag"], generated_at, retention=retention)
        if generated_at >= self.purges.latest_of_object(key.object_name):
            self.copies.put(key, copy)
        reply = self._reply_with(copy, "MISS_ORIGIN" if source == self.origin else "MISS")
        fill_ms = (time.time() - started_at) * 1000
        return reply._replace(fields=reply.fields | {"lag": f"{fill_ms:.1f}"})

    def _fill_fields(
        self, request: CacheRequest, source: str, now: float, min_generated_at: float
    ) -> dict[str, str]:
        """Returns the fields of a fill: those of the request that a source needs, and what it may do."""
        fields = {
            name: request.fields[name]
            for name in ("queue", "path", "blk", "budget")
            if name in request.fields
        }
        if source != self.origin:
            fields["via"] = self.origin
        if "held" in request.fields.get("opts", ""):
            fields["opts"] = "held"
        if min_generated_at:
            fields["fresh"] = str(max(1, int((now - min_generated_at) * 1000)))
        return fields


def _failed_fill(status: str) -> CacheReply:
    """Returns the answer to a request whose fill got a status other than HIT."""
    detail = {"SHED": "UP_BUSY", "NONE": "UP_MISS"}.get(status, "ORIGIN_ERR")
    return CacheReply("SHED" if status == "SHED" else "NONE", {"detail": detail}, b"")
