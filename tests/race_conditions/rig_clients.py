"""The clients' door in this process, on real sockets, with the loop in the test's hands.

While a test does not await, the loop stands still: what clients write meanwhile lies unread in the system, as
it does where the loop is held up. `arrived` waits until it lies there, so that no test depends on a pace.
"""

import asyncio
import contextlib
import select
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from test_interceptor import MEMBERS, REQUEST_CLASSES, RecordingUpstreamPool

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.clients.session import ClientSession
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.protocol import msgpack
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import Outcome, RoutingSettings

WAIT = 5.0
SETTINGS = RoutingSettings(
    zone="here", classes=REQUEST_CLASSES, parent_kind="parent", origin_kind="origin", bypass_allowed=True
)


def call(number: int, id: int = 0, method: str = "video", body: bytes = b"", **also: str) -> bytes:
    fields = {
        "call": f"{id or number:016x}",
        "ttl": "1900",
        "row": f"{number:016x}",
        "slice": "0",
        "set": "1",
    }
    return msgpack.pack([0, number, method, [fields | also, body]])


def cancel(*numbers: int) -> bytes:
    return msgpack.pack([2, "cancelRequest", list(numbers)])


def arrived(taken: socket.socket, least: int = 1) -> None:
    """Wait, with the loop standing still, until so many bytes lie unread (0: until the end does)."""
    until_ = time.monotonic() + WAIT
    while time.monotonic() < until_:
        with contextlib.suppress(BlockingIOError):
            there = taken.recv(1 << 20, socket.MSG_PEEK)
            if len(there) >= least:
                return
        select.select([taken], [], [], 0.01)
    raise AssertionError("nothing arrived")


def ended(taken: socket.socket) -> None:
    """Wait, with the loop standing still, until the client's end of the connection lies there."""
    look = select.poll()
    look.register(taken, select.POLLRDHUP)
    assert look.poll(1000 * WAIT)


async def until(check: Callable[[], Any], what: str) -> Any:
    end = time.monotonic() + WAIT
    while time.monotonic() < end:
        if found := check():
            return found
        await asyncio.sleep(0.002)
    raise AssertionError(f"not within {WAIT} s: {what}")


async def turns(count: int = 10) -> None:
    """Let the loop turn."""
    for _ in range(count):
        await asyncio.sleep(0)


class Rig:
    """A front with its exchange; the caches' side keeps what was started."""

    def __init__(self, folder: Path, **limits: Any) -> None:
        self.limits = replace(Limits(), **limits)
        self.counters = Counters()
        self.shares = ProcessQuotas(self.limits)
        operation = OperatorState(folder / "orders")
        scheduler = LoopScheduler(asyncio.get_running_loop())
        self.exchange = Exchange(
            Router(SETTINGS, 1), operation, self.shares, self.limits, scheduler, self.counters
        )
        self.side = RecordingUpstreamPool()
        self.exchange.attempts.upstreams = self.side
        self.exchange.update_members(MEMBERS, full=True)
        load = OverloadGuard(self.limits, 1)
        self.front = ClientFront(self.exchange, operation, self.shares, self.limits, self.counters, load)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.clients: list[socket.socket] = []

    def connect(self, buffer: int = 0) -> tuple[socket.socket, socket.socket]:
        """A client's connection, and the router's side of it, which is not handed to the front yet.

        `buffer`: the bytes that the system holds for its answers; 0 leaves that to the system.
        """
        client = socket.socket()
        client.settimeout(WAIT)
        if buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        client.connect(self.listener.getsockname())
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.clients.append(client)
        taken = self.listener.accept()[0]
        if buffer:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer)
        return client, taken

    async def client(self, buffer: int = 0) -> tuple[socket.socket, ClientSession]:
        """A client whose session waits for its first byte."""
        client, taken = self.connect(buffer)
        session = self.take(taken)
        await until(lambda: session.stream.reading(), "it reads")
        return client, session

    def take(self, taken: socket.socket) -> ClientSession:
        before = set(self.front.sessions)
        self.front.on_accept(taken)
        (session,) = self.front.sessions - before
        return session

    def serve(self, attempt: UpstreamAttempt, body: bytes = b"x") -> None:
        order = self.exchange.attempts.prepare_write(attempt)
        assert order is not None
        self.exchange.attempts.mark_written(attempt)
        self.exchange.attempts.end(attempt, AttemptResult(Outcome.SERVED, body))

    @property
    def asked(self) -> list[str]:
        """The ids of the attempts begun."""
        return [attempt.id for attempt in self.side.started]

    async def close(self) -> None:
        for session in list(self.front.sessions):
            session.stream.close()
        await until(lambda: not self.front.tasks, "all tasks have ended")
        self.listener.close()
        for client in self.clients:
            client.close()


async def answers(client: socket.socket, count: int = -1) -> list[Any]:
    """So many answers as they come; -1: all until the router's end; None in the list stands for a reset."""
    loop, buffer, found = asyncio.get_running_loop(), b"", list[Any]()
    client.setblocking(False)
    while count < 0 or len(found) < count:
        try:
            data = await asyncio.wait_for(loop.sock_recv(client, 1 << 16), WAIT)
        except ConnectionResetError:
            return [*found, None]
        if not data:
            break
        buffer += data
        with contextlib.suppress(msgpack.IncompleteMessageError):
            while buffer:
                value, at = msgpack.unpack(buffer, 0, 1 << 22)
                buffer = buffer[at:]
                found.append(value)
    return found


def play(folder: Path, scene: Callable[[Rig], Any], **limits: Any) -> None:
    """Play a scene on a loop of its own; it ends with no task, byte or request left over."""

    async def run() -> None:
        rig = Rig(folder, **limits)
        try:
            await scene(rig)
        finally:
            await rig.close()
        front = rig.front
        assert (front.unsent_bytes, front.queued_bytes, len(front.sessions)) == (0, 0, 0)
        idle = front.idle_sessions
        assert not (idle.silent or idle.message_begun or idle.message_progressing or idle.idle)
        assert (
            not rig.exchange.pending
            and not rig.exchange.intake.open_ids
            and rig.exchange.intake.body_bytes == 0
        )

    asyncio.run(run())


def reset(client: socket.socket) -> None:
    """Close so that the connection is reset."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def out(rig: Rig, attempt: UpstreamAttempt) -> None:
    assert rig.exchange.attempts.prepare_write(attempt) is not None
    rig.exchange.attempts.mark_written(attempt)
