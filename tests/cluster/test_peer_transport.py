"""The peer transport on loopback sockets: accepted and rejected datagrams, its timer, and network errors."""

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

MAX_WAIT_S = 20.0  # a test fails if a condition is not met within this time


class RecordingHandler:
    """Records received messages and ticks. A test sets when it is due, and whether it raises errors."""

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
    """A transport with a recording handler, whose outbox and counters the tests use."""

    def __init__(
        self,
        me: Peer,
        listen: Address,
        peers: list[Address],
        to_all: Address | None = None,
        name: str = "quay",
    ) -> None:
        clock = asyncio.get_running_loop().time
        wire = Wire(Codec(name, len(peers)), Fleet(me, len(peers)), 1)
        self.recorder = RecordingHandler()
        outbox = Outbox(wire, 16_000, ClusterBounds(), clock())
        super().__init__(listen, peers, to_all, wire, outbox, Counters(), self.recorder, clock)

    def send(self, to: Peer | None, message: PeerMessage) -> None:
        self.send_messages([SendMessage(to, message, Urgency.CHANGE)])

    def count(self, name: str) -> int:
        return self.counters.counts[f"peers.{name}"]


def bind_udp_socket() -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    udp_socket.settimeout(MAX_WAIT_S)
    return udp_socket


def free_addresses(count: int) -> list[Address]:
    sockets = [bind_udp_socket() for _ in range(count)]
    addresses: list[Address] = [each.getsockname() for each in sockets]
    for each in sockets:
        each.close()
    return addresses


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(MAX_WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def start_routers(count: int = 3) -> AsyncIterator[list[Router]]:
    addresses = free_addresses(count)
    routers = [Router(number, address, addresses) for number, address in enumerate(addresses)]
    for router in routers:
        await router.start()
    try:
        yield routers
    finally:
        for router in routers:
            router.close()


def run_async(test: Callable[[], Awaitable[None]]) -> Callable[[], None]:
    def run_test() -> None:
        asyncio.run(test())  # type: ignore[arg-type]

    run_test.__name__ = test.__name__
    return run_test


@run_async
async def test_messages_reach_one_peer_or_all() -> None:
    async with start_routers() as (a, b, c):
        a.send(None, OwnerLoad(1, 2))
        b.send(0, Ping(3, 4))
        await until(lambda: bool(a.recorder.received and b.recorder.received and c.recorder.received))
        assert (a.recorder.received, b.recorder.received, c.recorder.received) == (
            [(1, Ping(3, 4))],
            [(0, OwnerLoad(1, 2))],
            [(0, OwnerLoad(1, 2))],
        )
        assert (a.count("sent"), b.count("sent"), c.count("received")) == (2, 1, 1)


@run_async
async def test_rejected_datagrams_are_counted_and_logged_once_a_kind() -> None:
    async with start_routers() as (a, b, c):
        with closing(bind_udp_socket()) as foreign_socket:
            valid = b.wire.write([b.wire.codec.pack_message(OwnerLoad(1, 2))])
            foreign_codec = Codec("harbour", 3)
            foreign = foreign_codec.pack(Header(1, 1, 1, 1, 0), [])
            body = b"\x91\xc3"
            for data in (valid, bytes(300), b"", foreign, a.wire.codec.tag(body) + body):
                foreign_socket.sendto(data, a.listen)
            # Router 2 sends a datagram whose header names router 1; later router 1 sends it itself.
            c.send_to(valid, a.listen)
            await until(lambda: a.count("received") == 6)
            assert not a.recorder.received
            assert a.logged_at.keys() == {
                f"peers.{kind}" for kind in ("sender", "oversized", "foreign", "malformed")
            }
            first = dict(a.logged_at)
            assert [a.count(kind) for kind in ("sender", "oversized", "foreign", "malformed")] == [2, 1, 2, 1]
            b.send_to(valid, a.listen)
            b.send_to(valid, a.listen)
            await until(lambda: a.count("repeated") == 1)
            assert a.recorder.received == [(1, OwnerLoad(1, 2))]
            foreign_socket.sendto(b"", a.listen)
            await until(lambda: a.count("foreign") == 3)
            assert a.logged_at["peers.foreign"] == first["peers.foreign"]


@run_async
async def test_a_router_may_listen_at_another_address_than_its_entry() -> None:
    """The test acts as an address translator between the routers, whose peers are sockets of the test."""
    inner = free_addresses(2)
    with (
        closing(bind_udp_socket()) as first,
        closing(bind_udp_socket()) as second,
        closing(bind_udp_socket()) as all_routers,
    ):
        outer: list[Address] = [first.getsockname(), second.getsockname()]
        with pytest.raises(ValueError):
            Router(0, inner[0], [outer[0], outer[0]])
        a, b = (Router(number, inner[number], outer, all_routers.getsockname()) for number in (0, 1))
        await a.start()
        await b.start()
        loop = asyncio.get_running_loop()
        a.send(1, OwnerLoad(1, 1))
        first.sendto(await loop.run_in_executor(None, second.recv, 500), b.listen)
        await until(lambda: b.recorder.received == [(0, OwnerLoad(1, 1))])
        b.send(None, OwnerLoad(2, 2))
        data = await loop.run_in_executor(None, all_routers.recv, 500)
        for listen in inner:  # a datagram to all also reaches its sender
            second.sendto(data, listen)
        await until(lambda: a.recorder.received == [(1, OwnerLoad(2, 2))] and b.count("own") == 1)
        a.close()
        b.close()


@run_async
async def test_the_timer_serves_handler_and_byte_limit_and_backs_off_after_a_failure() -> None:
    async with start_routers(2) as (a, b):
        a.outbox.tokens = a.outbox.reserve_bytes - 100  # 140 bytes too few, which is 9 ms of sending
        a.send(1, OwnerLoad(1, 1))
        assert not a.count("sent")
        await until(lambda: b.recorder.received == [(0, OwnerLoad(1, 1))])
        started_at = a.clock()
        a.recorder.due_at = started_at + 0.05
        a.flush()
        await until(lambda: a.recorder.ticks == 1)
        assert a.clock() >= started_at + 0.05
        a.recorder.fails, a.recorder.due_at = True, a.clock()
        a.flush()
        b.send(0, OwnerLoad(1, 1))
        started_at = a.clock()
        # One tick has succeeded, and one message has failed.
        await until(lambda: a.count("failures") == a.recorder.ticks >= 4)
        assert a.clock() - started_at > 0.15  # there is a pause after each failure
        a.recorder.fails = False
        b.send(0, OwnerLoad(2, 2))
        await until(lambda: a.recorder.received == [(1, OwnerLoad(2, 2))])


@run_async
async def test_the_transport_survives_network_errors() -> None:
    async with start_routers(2) as (a, b):
        protocol, transport = a.socket_events, a.transport
        assert protocol is not None and transport is not None
        protocol.error_received(ConnectionRefusedError())
        a.send_to(b"x" * 70_000, b.listen)  # longer than any datagram, so the kernel rejects it
        a.send_to(b"x", ("127.0.0.1", 0))
        await until(lambda: a.count("errors") == 3)
        protocol.pause_writing()
        a.send(1, OwnerLoad(1, 1))
        assert a.count("unsent") == 1
        protocol.resume_writing()
        transport.abort()  # as asyncio does on a fatal error of the socket
        await until(lambda: a.count("opened") == 1)
        b.send(0, OwnerLoad(2, 2))
        a.send(1, OwnerLoad(3, 3))
        await until(lambda: bool(a.recorder.received and b.recorder.received))
        assert b.recorder.received == [(0, OwnerLoad(3, 3))]


def test_continuous_flushes_do_not_postpone_the_timer() -> None:
    """Guards against a busy event loop in which each event resets the timer, so that it never fires."""

    async def run() -> None:
        async with start_routers(2) as (one, _):
            one.recorder.due_at = 0.0  # due at once, and still due at each event
            turns_left = 2000

            def flush_repeatedly() -> None:
                nonlocal turns_left
                one.flush()
                turns_left -= 1
                if turns_left and not one.recorder.ticks:
                    asyncio.get_running_loop().call_soon(flush_repeatedly)

            asyncio.get_running_loop().call_soon(flush_repeatedly)
            await until(lambda: one.recorder.ticks > 0 or not turns_left)
            assert turns_left, "no tick within 2000 iterations of the event loop"

    asyncio.run(run())
