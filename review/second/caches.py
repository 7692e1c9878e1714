"""A cache, a parent or the origin, which answers the lines of the caches' protocol."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from second.record import Record

Answer = tuple[str, dict[str, str], bytes]


@dataclass
class Ask:
    """One request as it came; `at` is the Unix time at which its line was read."""

    server: str
    id: str
    fields: dict[str, str]
    body: bytes
    at: float

    @property
    def part(self) -> tuple[str, str]:
        """Returns the object and the part."""
        return self.fields["path"], self.fields.get("blk", "")


class CacheServer:
    """Listens at a port of its own and has `answer` answer each request; None: no answer."""

    def __init__(self, name: str, record: Record, answer: Callable[[Ask], Awaitable[Answer | None]]) -> None:
        self.name = name
        self.record = record
        self.answer = answer
        self.asks: list[Ask] = []
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Ends as a process does: nothing listens any more, and all connections close."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads the requests of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).decode():
                words = line.split()
                if words[0] == "ASK":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                    ask = Ask(self.name, words[1], fields, body, time.time())
                    self.asks.append(ask)
                    self.record.say("asked", at=self.name, id=ask.id, fields=words[2])
                    task = asyncio.ensure_future(self.reply(ask, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} PONG - 0\r\n\r\n".encode())
                else:
                    self.record.say("quit", at=self.name, id=words[1])
        self.writers.discard(writer)
        writer.close()

    async def reply(self, ask: Ask, writer: asyncio.StreamWriter) -> None:
        """Answers one request."""
        answer = await self.answer(ask)
        if answer is None or writer.is_closing():
            return
        word, fields, body = answer
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        self.record.say("gave", at=self.name, id=ask.id, word=word, fields=text, size=len(body))
        with contextlib.suppress(OSError):
            writer.write(f"{ask.id} {word} {text} {len(body)}\r\n".encode() + body + b"\r\n")
            await writer.drain()


@dataclass
class Copy:
    """What the origin gave out; `minted` is a Unix time in milliseconds."""

    minted: int
    tag: str
    body: bytes

    def hit(self, detail: str) -> Answer:
        """Returns the answer that serves this copy."""
        return "HIT", {"tag": self.tag, "minted": str(self.minted), "detail": detail}, self.body


def new_copy(path: str, part: str, size: int = 2000) -> Copy:
    """Returns a copy that the origin gives out now; its body begins with its time."""
    minted = int(time.time() * 1000)
    text = f"{minted} {path} {part} ".encode()
    return Copy(minted, f"{minted:016x}", text + b"." * (size - len(text)))


def minted_of(body: bytes) -> int:
    """Returns the time of the copy that a body is of, in Unix milliseconds."""
    return int(body.split(b" ", 1)[0])
