"""Clients of a router."""

import asyncio
import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from standins.messagepack import Unpacker, pack
from standins.record import HOST, Record


@dataclass(slots=True)
class Outcome:
    """What became of one request: `kind` is served, refused, failed, closed (no answer) or silent."""

    id: str
    sent_at: float
    ended_at: float
    kind: str
    body: bytes = b""
    fields: Mapping[str, str] = field(default_factory=dict)


class Client:
    """One connection of a client. Raises OSError if it cannot be made."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.number = 0
        self.open: dict[int, asyncio.Future[list[Any] | None]] = {}
        self.reader_task: asyncio.Task[None] | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.closed = False

    async def connect(self, port: int) -> None:
        """Connects to the router."""
        reader, self.writer = await asyncio.open_connection(HOST, port)
        self.reader_task = asyncio.ensure_future(self._read(reader))

    async def ask(self, method: str, fields: dict[str, str], body: bytes, wait_s: float) -> Outcome:
        """Sends a request and waits `wait_s` for its final answer; the time to live stands in `fields`."""
        assert self.writer is not None
        self.number += 1
        number = self.number
        future: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
        self.open[number] = future
        sent_at = time.time()
        self.record.line(
            self.name, f"sends {method} {fields['call']} ttl={fields['ttl']} row={fields['row']}"
        )
        self.writer.write(pack([0, number, method, [fields, body]]))
        if self.closed:
            future.cancel()
        try:
            message = await asyncio.wait_for(future, wait_s)
            outcome = self._outcome(fields["call"], sent_at, message)
        except TimeoutError:
            outcome = Outcome(fields["call"], sent_at, time.time(), "silent")
        except asyncio.CancelledError:
            if not self.closed:
                raise
            outcome = Outcome(fields["call"], sent_at, time.time(), "closed")
        self.open.pop(number, None)
        took = outcome.ended_at - outcome.sent_at
        self.record.line(self.name, f"{outcome.kind} {outcome.id} after {took:.3f} s {outcome.body[:40]!r}")
        return outcome

    async def alive(self, wait_s: float) -> bool:
        """Asks whether the router is ready; False without a yes in `wait_s`."""
        assert self.writer is not None
        self.number += 1
        future: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
        self.open[self.number] = future
        self.writer.write(pack([0, self.number, "alive", [{}]]))
        with contextlib.suppress(TimeoutError, asyncio.CancelledError):
            message = await asyncio.wait_for(future, wait_s)
            return bool(message is not None and message[2] is None and message[3][0])
        return False

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        if self.reader_task is not None:
            self.reader_task.cancel()

    @staticmethod
    def _outcome(call: str, sent_at: float, message: list[Any] | None) -> Outcome:
        now = time.time()
        if message is None:
            return Outcome(call, sent_at, now, "closed")
        _, _, error, result = message
        if error is None:
            return Outcome(call, sent_at, now, "served", result[0], result[1])
        kind = "refused" if error[0] == "TryLater" else "failed"
        return Outcome(call, sent_at, now, kind, b"", error[1])

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = Unpacker()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                for message in unpacker.values(data):
                    future = self.open.get(message[1])
                    if future is not None and not future.done():
                        future.set_result(message)
        self.closed = True
        for future in self.open.values():
            if not future.done():
                future.set_result(None)


def read_fields(call: str, row: str, ttl_s: float, part: int = 0, seen: str = "") -> dict[str, str]:
    """Returns the fields of a client's request."""
    fields = {"call": call, "ttl": str(int(ttl_s * 1000)), "row": row, "slice": str(part), "set": "17"}
    return fields | ({"seen": seen} if seen else {})
