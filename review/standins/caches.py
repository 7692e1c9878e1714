"""The head office store and plaza boxes, which serve the caches' protocol."""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from standins.record import HOST, Record, free_port


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of a cache: its word, its fields and its body."""

    word: str
    fields: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to a cache."""

    id: str
    fields: Mapping[str, str]
    body: bytes


class CacheServer:
    """Serves the caches' protocol; `answer` gives the reply to each request, which `QUIT` or a close ends."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.answered: set[str] = set()  # ids of requests

    async def start(self) -> None:
        """Listens from now on."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """Closes the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def answer(self, ask: Ask) -> Reply:
        """Returns the reply to a request."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        self.writers.add(writer)
        try:
            while words := (await reader.readline()).decode().split():
                if words[0] == "ASK":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    pairs = [] if words[2] == "-" else words[2].split(",")
                    ask = Ask(words[1], dict(pair.split("=", 1) for pair in pairs), body)
                    self.record.line(self.name, f"ASK {ask.id} {words[2]}")
                    tasks[ask.id] = asyncio.ensure_future(self._reply(ask, writer))
                elif words[0] == "QUIT" and words[1] in tasks:
                    self.record.line(self.name, f"QUIT {words[1]}")
                    tasks.pop(words[1]).cancel()
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} PONG - 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.writers.discard(writer)
            writer.close()

    async def _reply(self, ask: Ask, writer: asyncio.StreamWriter) -> None:
        reply = await self.answer(ask)
        fields = ",".join(f"{name}={value}" for name, value in reply.fields.items()) or "-"
        self.record.line(self.name, f"{ask.id} {reply.word} {fields}")
        self.answered.add(ask.id)
        if not writer.is_closing():
            writer.write(
                f"{ask.id} {reply.word} {fields} {len(reply.body)}\r\n".encode() + reply.body + b"\r\n"
            )


class Origin(CacheServer):
    """The head office store: holds every object, knows each purge at once, and runs and counts charges.

    Attributes:
        delay_s: How long an answer takes, by class; `default_delay_s` for any other class.
        version: How often each object was purged; the tag of a copy names it.
        runs: How often each charge was run, by the id of its request.
    """

    def __init__(self, record: Record, name: str = "store-1") -> None:
        super().__init__(record, name)
        self.default_delay_s = 0.02
        self.delay_s: dict[str, float] = {}
        self.version: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()

    async def answer(self, ask: Ask) -> Reply:
        """Runs a charge, or gives an object out."""
        queue = ask.fields.get("queue", "")
        delay_s = self.delay_s.get(queue, self.default_delay_s)
        if queue == "toll-charge":
            self.runs[ask.id] += 1
            await asyncio.sleep(delay_s)
            return Reply("HIT", {"detail": "HIT"}, b"charged")
        name = ask.fields.get("path", "")
        version = self.version[name]
        minted = int(time.time() * 1000)
        await asyncio.sleep(delay_s)
        return Reply(
            "HIT",
            {"tag": tag_of(name, version), "minted": str(minted), "detail": "HIT"},
            body_of(name, version),
        )

    def purge(self, name: str) -> int:
        """Purges an object; returns the Unix millisecond of the purge."""
        self.version[name] += 1
        return int(time.time() * 1000)


def tag_of(name: str, version: int) -> str:
    """Returns the tag of a copy: 16 hex digits, other ones after each purge."""
    return f"{(int(name, 16) * 1_000_003 + version) & (1 << 64) - 1:016x}"


def body_of(name: str, version: int) -> bytes:
    """Returns the bytes of an object, which tell how often it had been purged."""
    return f"{name} v{version}".encode()


class Box(CacheServer):
    """A plaza box: keeps copies, fills from the source that the router names, drops purged copies late.

    Attributes:
        sources: The port of each source by its id.
        fresh_s: The fresh time of each class; 0: until a purge.
        cleared_after_s: How long after a purge it drops older copies by itself; the pages allow 6 s.
    """

    def __init__(self, record: Record, name: str, sources: Mapping[str, int]) -> None:
        super().__init__(record, name)
        self.sources = sources
        self.fresh_s = {"plate-photo": 8.0}
        self.cleared_after_s = 5.5
        self.copies: dict[tuple[str, str], tuple[str, int, bytes]] = {}

    def purge(self, name: str, issued_ms: int) -> None:
        """Drops the copies of an object that are older than a purge, once `cleared_after_s` has passed."""

        def drop() -> None:
            for key, (_, minted, _) in list(self.copies.items()):
                if key[0] == name and minted < issued_ms:
                    self.record.line(self.name, f"drops {name}, minted {minted}")
                    del self.copies[key]

        delay_s = issued_ms / 1000 + self.cleared_after_s - time.time()
        asyncio.get_running_loop().call_later(max(0.0, delay_s), drop)

    async def answer(self, ask: Ask) -> Reply:
        """Serves a copy that is young enough, else fills."""
        key = (ask.fields.get("path", ""), ask.fields.get("blk", ""))
        now_ms = time.time() * 1000
        max_age_ms = float(ask.fields.get("fresh", 0)) or 1000 * self.fresh_s.get(
            ask.fields.get("queue", ""), 0.0
        )
        oldest_ms = now_ms - max_age_ms if max_age_ms else 0.0
        copy = self.copies.get(key)
        if copy is not None and copy[1] >= oldest_ms:
            return self._copy_reply(ask, copy, "HIT")
        source = ask.fields.get("via")
        if source is None or source not in self.sources:
            return Reply("NONE", {"detail": "UP_MISS"})
        try:
            copy = await self._fetch(ask, source, oldest_ms)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return Reply("NONE", {"detail": "UP_DOWN"})
        if copy is None or copy[1] < oldest_ms:
            return Reply("NONE", {"detail": "UP_MISS"})
        if int(ask.fields.get("tier", 0)):
            self.copies[key] = copy
        return self._copy_reply(ask, copy, "MISS")

    def _copy_reply(self, ask: Ask, copy: tuple[str, int, bytes], detail: str) -> Reply:
        tag, minted, body = copy
        fields = {"tag": tag, "minted": str(minted), "detail": detail}
        if ask.fields.get("known") == tag:
            return Reply("VALID", fields)
        return Reply("HIT", fields, body)

    async def _fetch(self, ask: Ask, source: str, oldest_ms: float) -> tuple[str, int, bytes] | None:
        fields = {name: ask.fields[name] for name in ("queue", "path", "blk", "budget") if name in ask.fields}
        if oldest_ms:
            fields["fresh"] = str(max(1, int(time.time() * 1000 - oldest_ms)))
        if source != "store-1":
            fields["via"] = "store-1"
        line = ",".join(f"{name}={value}" for name, value in fields.items())
        reader, writer = await asyncio.open_connection(HOST, self.sources[source])
        try:
            writer.write(f"ASK {self.name}.{ask.id} {line} 0\r\n\r\n".encode())
            words = (await reader.readline()).decode().split()
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
        finally:
            writer.close()
        if words[1] != "HIT":
            return None
        told = dict(pair.split("=", 1) for pair in words[2].split(","))
        return told["tag"], int(told["minted"]), body
