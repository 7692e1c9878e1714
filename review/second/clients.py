"""A client connection, which reads its answers at once or at a pace of its own."""

import asyncio
import contextlib
import secrets
import socket
import time
from dataclasses import dataclass
from typing import Any

from second.messages import IncompleteError, Reader, pack
from second.record import Record

SMALL_BUFFER = 64 * 1024


@dataclass
class Call:
    """One request and its answer. Times are Unix seconds; `answer` is None until it is there whole."""

    number: int
    method: str
    fields: dict[str, str]
    sent_at: float
    answer: Any = None
    answered_at: float = 0.0

    @property
    def outcome(self) -> str:
        """Returns what the answer says: served, current, refused, failed; or none."""
        if self.answer is None:
            return "none"
        error, result = self.answer
        if error is not None:
            return "refused" if error[0] == "TryLater" else "failed"
        return "current" if result[1].get("current") == "1" else "served"

    @property
    def body(self) -> bytes:
        """Returns the body of a served answer."""
        body: bytes = self.answer[1][0]
        return body


class Client:
    """One connection; `bytes_per_s` is how fast it reads, 0 for at once."""

    def __init__(self, record: Record, address: str, bytes_per_s: float = 0.0) -> None:
        self.record = record
        host, port = address.split(":")
        self.address = (host, int(port))
        self.bytes_per_s = bytes_per_s
        self.calls: dict[int, Call] = {}
        self.buffer = b""
        self.received = 0
        self.closed_at = 0.0
        self.socket = socket.socket()
        self.task: asyncio.Task[None] | None = None
        self.waiting: dict[int, asyncio.Event] = {}

    async def connect(self) -> None:
        """Connects, and begins to read."""
        loop = asyncio.get_running_loop()
        if self.bytes_per_s:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.socket.setblocking(False)
        await loop.sock_connect(self.socket, self.address)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())

    async def ask(self, method: str, row: int, part: int = 0, ttl: int = 2000, body: bytes = b"") -> Call:
        """Sends one request."""
        number = len(self.calls) + 1
        fields = {
            "call": secrets.token_hex(8),
            "ttl": str(ttl),
            "row": f"{row:016x}",
            "slice": str(part),
            "set": str(row % 256),
        }
        call = Call(number, method, fields, time.time())
        self.calls[number] = call
        self.waiting[number] = asyncio.Event()
        self.record.say("sent", call=fields["call"], method=method, row=fields["row"], part=part, ttl=ttl)
        await asyncio.get_running_loop().sock_sendall(self.socket, pack([0, number, method, [fields, body]]))
        return call

    async def answered(self, call: Call, within_s: float) -> Call:
        """Waits for the answer to a request, for a time."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.waiting[call.number].wait(), within_s)
        return call

    async def all_answered(self, within_s: float) -> None:
        """Waits until each request is answered or the connection has ended, for a time."""
        end = time.time() + within_s
        while not self.closed_at and time.time() < end:
            if all(call.answer is not None for call in self.calls.values()):
                return
            await asyncio.sleep(0.02)

    async def read(self) -> None:
        """Reads until the other side closes."""
        loop = asyncio.get_running_loop()
        size = 64 * 1024 if not self.bytes_per_s else 8 * 1024
        started_at = time.time()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(self.socket, size):
                self.received += len(data)
                self.buffer += data
                self.take_answers()
                if self.bytes_per_s:
                    await asyncio.sleep(max(0.0, started_at + self.received / self.bytes_per_s - time.time()))
        self.closed_at = time.time()
        self.record.say("closed_by_router", received=self.received)

    def take_answers(self) -> None:
        """Takes whole answers out of the bytes received."""
        while self.buffer:
            reader = Reader(self.buffer)
            try:
                _, number, error, result = reader.value()
            except IncompleteError:
                return
            self.buffer = self.buffer[reader.at :]
            call = self.calls[number]
            if call.answer is not None:
                self.record.say("second_answer", call=call.fields["call"])
                raise AssertionError("two answers")
            call.answer = (error, result)
            call.answered_at = time.time()
            self.waiting[number].set()
            self.record.say("answer", call=call.fields["call"], outcome=call.outcome)

    async def close(self) -> None:
        """Closes the connection."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.wait([self.task])
        self.socket.close()


class Load:
    """Clients that ask for one object after another, a few on each connection, until they are stopped."""

    def __init__(self, record: Record, address: str, clients: int = 2, method: str = "plate-photo") -> None:
        self.record = record
        self.address = address
        self.method = method
        self.stopped = False
        self.outcomes: dict[str, int] = {}
        self.tasks = [asyncio.ensure_future(self.run(number)) for number in range(clients)]

    async def run(self, number: int) -> None:
        """Runs one client after another."""
        row = number * 1_000_000
        while not self.stopped:
            client = Client(self.record, self.address)
            # A router may close a connection with no open request on it; the client then connects anew.
            with contextlib.suppress(OSError):
                await client.connect()
                for _ in range(5):
                    row += 1
                    call = await client.ask(self.method, row=row)
                    await client.answered(call, 2.5)
                    self.outcomes[call.outcome] = self.outcomes.get(call.outcome, 0) + 1
                    await asyncio.sleep(0.02)
            await client.close()
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Waits until all clients have ended, and records what they were answered."""
        self.stopped = True
        await asyncio.gather(*self.tasks)
        self.record.say("result", outcomes=self.outcomes)
        if not self.outcomes.get("served"):
            raise RuntimeError("nothing was served")
