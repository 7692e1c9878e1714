"""The peer transport on loopback sockets: what it accepts and rejects, its timer, and network errors."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing

import pytest

from paddlequay.cluster.messages import OwnerLoad, PeerMessage, Ping
from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.types import NEVER, ClusterBounds, Fleet, Peer, SendMessage, Urgency
from paddlequay.cluster.wire import Codec, Header, Wire
from paddlequay.config.values import Address
from paddlequay.net.cluster.peer_transport import PeerTransport
from paddlequay.observability.counters import Counters

MAX_WAIT_S = 20.0  # until a condition that does not come is a failure


class RecordingHandler:
    """Records the messages that it receives; may be set to fail, and to be due."""

    def __init__(self) -> None:
        self.received: list[tuple[Peer, PeerMessage]] = []
        self.due_at = NEVER
        self.ticks = 0
        self.fails = False

    def handle_datagram(self, sender: Peer, header: Header, messages: tuple[PeerMessage, ...]) -> None:
        if self.fails:
            raise RuntimeError("made to fail")
        assert header.sender == sender
        self.received += [(sender, message) for message in messages]

    def tick(self) -> None:
        self.ticks += 1
        if self.fails:
            raise RuntimeError("made to fail")
        self.due_at = NEVER

    def due(self) -> float:
        return self.due_at


class Router(PeerTransport):
    def __init__(
        self,
        me: Peer,
        listen: Address,
        peers: list[Address],
        to_all: Address | None = None,
        name: str = "quay",
    ) -> None:
        now = asyncio.get_running_loop().time
        wire = Wire(Codec(name, len(peers)), Fleet(me, len(peers)), 1)
        self.recorder = RecordingHandler()
        box = Outbox(wire, 16_000, ClusterBounds(), now())
        super().__init__(listen, peers, to_all, wire, box, Counters(), self.recorder, now)

    def send(self, to: Peer | None, message: PeerMessage) -> None:
        self.send_messages([SendMessage(to, message, Urgency.CHANGE)])

    def count(self, name: str) -> int:
        return self.counters.counts[f"peers.{name}"]


def plain() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.settimeout(MAX_WAIT_S)
    return made


def addresses(count: int) -> list[Address]:
    sockets = [plain() for _ in range(count)]
    found: list[Address] = [each.getsockname() for each in sockets]
    for each in sockets:
        each.close()
    return found


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def routers(count: int = 3) -> AsyncIterator[list[Router]]:
    where = addresses(count)
    made = [Router(number, address, where) for number, address in enumerate(where)]
    for each in made:
        await each.start()
    try:
        yield made
    finally:
        for each in made:
            each.close()


def run(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    def runs() -> None:
        asyncio.run(test())  # type: ignore[arg-type]

    runs.__name__ = test.__name__
    return runs


@run
async def test_messages_reach_one_peer_or_all() -> None:
    async with routers() as (a, b, c):
        a.send(None, OwnerLoad(1, 2))
        b.send(0, Ping(3, 4))
        await until(lambda: bool(a.recorder.received and b.recorder.received and c.recorder.received))
        assert (a.recorder.received, b.recorder.received, c.recorder.received) == (
            [(1, Ping(3, 4))],
            [(0, OwnerLoad(1, 2))],
            [(0, OwnerLoad(1, 2))],
        )
        assert (a.count("sent"), b.count("sent"), c.count("received")) == (2, 1, 1)


@run
async def test_rejected_datagrams_are_counted_and_logged_once_a_kind() -> None:
    async with routers() as (a, b, c):
        with closing(plain()) as stranger:
            right = b.wire.write([b.wire.codec.pack_message(OwnerLoad(1, 2))])
            other = Codec("harbour", 3)
            foreign = other.pack(Header(1, 1, 1, 1, 0), [])
            body = b"\x91\xc3"
            for data in (right, bytes(300), b"", foreign, a.wire.codec.tag(body) + body):
                stranger.sendto(data, a.listen)
            # Router 2 says that it is router 1; then router 1 says it itself.
            c.send_to(right, a.listen)
            await until(lambda: a.count("received") == 6)
            assert not a.recorder.received
            assert a.logged_at.keys() == {
                f"peers.{kind}" for kind in ("sender", "oversized", "foreign", "malformed")
            }
            first = dict(a.logged_at)
            assert [a.count(kind) for kind in ("sender", "oversized", "foreign", "malformed")] == [2, 1, 2, 1]
            b.send_to(right, a.listen)
            b.send_to(right, a.listen)
            await until(lambda: a.count("repeated") == 1)
            assert a.recorder.received == [(1, OwnerLoad(1, 2))]
            stranger.sendto(b"", a.listen)
            await until(lambda: a.count("foreign") == 3)
            assert a.logged_at["peers.foreign"] == first["peers.foreign"]


@run
async def test_a_router_may_listen_at_another_address_than_its_entry() -> None:
    """A link between two routers, as a translation of addresses is: each entry is a socket of it."""
    inner = addresses(2)
    with closing(plain()) as first, closing(plain()) as second, closing(plain()) as everyone:
        outer: list[Address] = [first.getsockname(), second.getsockname()]
        with pytest.raises(ValueError):
            Router(0, inner[0], [outer[0], outer[0]])
        a, b = (Router(number, inner[number], outer, everyone.getsockname()) for number in (0, 1))
        await a.start()
        await b.start()
        loop = asyncio.get_running_loop()
        a.send(1, OwnerLoad(1, 1))
        first.sendto(await loop.run_in_executor(None, second.recv, 500), b.listen)
        await until(lambda: b.recorder.received == [(0, OwnerLoad(1, 1))])
        b.send(None, OwnerLoad(2, 2))
        data = await loop.run_in_executor(None, everyone.recv, 500)
        for listen in inner:  # to all is to oneself too
            second.sendto(data, listen)
        await until(lambda: a.recorder.received == [(1, OwnerLoad(2, 2))] and b.count("own") == 1)
        a.close()
        b.close()


@run
async def test_the_timer_serves_handler_and_byte_limit_and_backs_off_after_a_failure() -> None:
    async with routers(2) as (a, b):
        a.outbox.tokens = a.outbox.reserve_bytes - 100  # 140 bytes too few, 9 ms of the bound
        a.send(1, OwnerLoad(1, 1))
        assert not a.count("sent")
        await until(lambda: b.recorder.received == [(0, OwnerLoad(1, 1))])
        begun = a.clock()
        a.recorder.due_at = begun + 0.05
        a.flush()
        await until(lambda: a.recorder.ticks == 1)
        assert a.clock() >= begun + 0.05
        a.recorder.fails, a.recorder.due_at = True, a.clock()
        a.flush()
        b.send(0, OwnerLoad(1, 1))
        begun = a.clock()
        await until(
            lambda: a.count("failures") == a.recorder.ticks >= 4
        )  # one tick succeeded, one message failed
        assert a.clock() - begun > 0.15  # with a pause after each failure
        a.recorder.fails = False
        b.send(0, OwnerLoad(2, 2))
        await until(lambda: a.recorder.received == [(1, OwnerLoad(2, 2))])


@run
async def test_the_transport_survives_network_errors() -> None:
    async with routers(2) as (a, b):
        protocol, transport = a.socket_events, a.transport
        assert protocol is not None and transport is not None
        protocol.error_received(ConnectionRefusedError())
        a.send_to(b"x" * 70_000, b.listen)  # more than any datagram holds: the kernel refuses it
        a.send_to(b"x", ("127.0.0.1", 0))
        await until(lambda: a.count("errors") == 3)
        protocol.pause_writing()
        a.send(1, OwnerLoad(1, 1))
        assert a.count("unsent") == 1
        protocol.resume_writing()
        transport.abort()  # as the loop does on an error that it knows no better for
        await until(lambda: a.count("opened") == 1)
        b.send(0, OwnerLoad(2, 2))
        a.send(1, OwnerLoad(3, 3))
        await until(lambda: bool(a.recorder.received and b.recorder.received))
        assert b.recorder.received == [(0, OwnerLoad(3, 3))]


def test_continuous_flushes_do_not_postpone_the_timer() -> None:
    """A full router's loop has events at each turn; a timer set anew at each of them was never due."""

    async def run() -> None:
        async with routers(2) as (one, _):
            one.recorder.due_at = 0.0  # due, and at each event still so
            left = 2000

            def event() -> None:
                nonlocal left
                one.flush()
                left -= 1
                if left and not one.recorder.ticks:
                    asyncio.get_running_loop().call_soon(event)

            asyncio.get_running_loop().call_soon(event)
            await until(lambda: one.recorder.ticks > 0 or not left)
            assert left, "two thousand turns, and no tick"

    asyncio.run(run())
