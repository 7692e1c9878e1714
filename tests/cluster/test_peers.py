"""The driver on loopback sockets: who is heard, what is refused, and what it outlives."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing

import pytest

from paddlequay.cluster.messages import OwnerLoad, PeerMessage, Ping
from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.types import NEVER, ClusterBounds, Fleet, Peer, SendMessage, Urgency
from paddlequay.cluster.wire import Codec, Head, Wire
from paddlequay.config.values import Address
from paddlequay.net.cluster.peers import Peers
from paddlequay.observability.counters import Counters

LONGEST = 20.0  # seconds until a condition that does not come is a failure


class Ears:
    """Keeps what it hears; may be set to fail, and to be due."""

    def __init__(self) -> None:
        self.heard: list[tuple[Peer, PeerMessage]] = []
        self.at = NEVER
        self.ticks = 0
        self.fails = False

    def handle_message(self, sender: Peer, head: Head, notes: tuple[PeerMessage, ...]) -> None:
        if self.fails:
            raise RuntimeError("made to fail")
        assert head.sender == sender
        self.heard += [(sender, note) for note in notes]

    def tick(self) -> None:
        self.ticks += 1
        if self.fails:
            raise RuntimeError("made to fail")
        self.at = NEVER

    def due(self) -> float:
        return self.at


class Router(Peers):
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
        self.ears = Ears()
        box = Outbox(wire, 16_000, ClusterBounds(), now())
        super().__init__(listen, peers, to_all, wire, box, Counters(), self.ears, now)

    def say(self, to: Peer | None, note: PeerMessage) -> None:
        self.tell([SendMessage(to, note, Urgency.CHANGE)])

    def count(self, name: str) -> int:
        return self.counters.counts[f"peers.{name}"]


def plain() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.settimeout(LONGEST)
    return made


def addresses(count: int) -> list[Address]:
    sockets = [plain() for _ in range(count)]
    found: list[Address] = [each.getsockname() for each in sockets]
    for each in sockets:
        each.close()
    return found


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LONGEST):
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
async def test_notes_reach_one_and_all() -> None:
    async with routers() as (a, b, c):
        a.say(None, OwnerLoad(1, 2))
        b.say(0, Ping(3, 4))
        await until(lambda: bool(a.ears.heard and b.ears.heard and c.ears.heard))
        assert (a.ears.heard, b.ears.heard, c.ears.heard) == (
            [(1, Ping(3, 4))],
            [(0, OwnerLoad(1, 2))],
            [(0, OwnerLoad(1, 2))],
        )
        assert (a.count("sent"), b.count("sent"), c.count("received")) == (2, 1, 1)


@run
async def test_strangers_and_broken_datagrams_are_counted_and_logged_once_a_kind() -> None:
    async with routers() as (a, b, c):
        with closing(plain()) as stranger:
            right = b.wire.write([b.wire.codec.pack_message(OwnerLoad(1, 2))])
            other = Codec("harbour", 3)
            foreign = other.pack(Head(1, 1, 1, 1, 0), [])
            body = b"\x91\xc3"
            for data in (right, bytes(300), b"", foreign, a.wire.codec.tag(body) + body):
                stranger.sendto(data, a.listen)
            # Router 2 says that it is router 1; then router 1 says it itself.
            c.send_to(right, a.listen)
            await until(lambda: a.count("received") == 6)
            assert not a.ears.heard
            assert a.logged.keys() == {
                f"peers.{kind}" for kind in ("sender", "oversized", "foreign", "malformed")
            }
            first = dict(a.logged)
            assert [a.count(kind) for kind in ("sender", "oversized", "foreign", "malformed")] == [2, 1, 2, 1]
            b.send_to(right, a.listen)
            b.send_to(right, a.listen)
            await until(lambda: a.count("repeated") == 1)
            assert a.ears.heard == [(1, OwnerLoad(1, 2))]
            stranger.sendto(b"", a.listen)
            await until(lambda: a.count("foreign") == 3)
            assert a.logged["peers.foreign"] == first["peers.foreign"]


@run
async def test_listening_elsewhere_than_at_the_own_entry() -> None:
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
        a.say(1, OwnerLoad(1, 1))
        first.sendto(await loop.run_in_executor(None, second.recv, 500), b.listen)
        await until(lambda: b.ears.heard == [(0, OwnerLoad(1, 1))])
        b.say(None, OwnerLoad(2, 2))
        data = await loop.run_in_executor(None, everyone.recv, 500)
        for listen in inner:  # to all is to oneself too
            second.sendto(data, listen)
        await until(lambda: a.ears.heard == [(1, OwnerLoad(2, 2))] and b.count("own") == 1)
        a.close()
        b.close()


@run
async def test_the_timer_is_for_the_owner_and_the_bound_and_waits_after_a_failure() -> None:
    async with routers(2) as (a, b):
        a.outbox.tokens = a.outbox.reserve - 100  # 140 bytes too few, 9 ms of the bound
        a.say(1, OwnerLoad(1, 1))
        assert not a.count("sent")
        await until(lambda: b.ears.heard == [(0, OwnerLoad(1, 1))])
        begun = a.now()
        a.ears.at = begun + 0.05
        a.flush()
        await until(lambda: a.ears.ticks == 1)
        assert a.now() >= begun + 0.05
        a.ears.fails, a.ears.at = True, a.now()
        a.flush()
        b.say(0, OwnerLoad(1, 1))
        begun = a.now()
        await until(lambda: a.count("failures") == a.ears.ticks >= 4)  # one tick was well, one note not
        assert a.now() - begun > 0.15  # not as fast as it can
        a.ears.fails = False
        b.say(0, OwnerLoad(2, 2))
        await until(lambda: a.ears.heard == [(1, OwnerLoad(2, 2))])


@run
async def test_it_outlives_errors_of_the_network() -> None:
    async with routers(2) as (a, b):
        protocol, transport = a.protocol, a.transport
        assert protocol is not None and transport is not None
        protocol.error_received(ConnectionRefusedError())
        a.send_to(b"x" * 70_000, b.listen)  # more than any datagram holds: the kernel refuses it
        a.send_to(b"x", ("127.0.0.1", 0))
        await until(lambda: a.count("errors") == 3)
        protocol.pause_writing()
        a.say(1, OwnerLoad(1, 1))
        assert a.count("unsent") == 1
        protocol.resume_writing()
        transport.abort()  # as the loop does on an error that it knows no better for
        await until(lambda: a.count("opened") == 1)
        b.say(0, OwnerLoad(2, 2))
        a.say(1, OwnerLoad(3, 3))
        await until(lambda: bool(a.ears.heard and b.ears.heard))
        assert b.ears.heard == [(0, OwnerLoad(3, 3))]


def test_events_at_every_turn_of_the_loop_do_not_put_the_timer_off() -> None:
    """A full router's loop has events at each turn; a timer set anew at each of them was never due."""

    async def run() -> None:
        async with routers(2) as (one, _):
            one.ears.at = 0.0  # due, and at each event still so
            left = 2000

            def event() -> None:
                nonlocal left
                one.flush()
                left -= 1
                if left and not one.ears.ticks:
                    asyncio.get_running_loop().call_soon(event)

            asyncio.get_running_loop().call_soon(event)
            await until(lambda: one.ears.ticks > 0 or not left)
            assert left, "two thousand turns, and no tick"

    asyncio.run(run())
