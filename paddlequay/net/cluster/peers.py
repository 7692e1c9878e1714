"""The socket between routers: datagrams in and out, and one timer.

A peer is known by the address that its datagrams come from, which is its entry in the list of peers; where
this router itself listens need not be its own entry. Nothing that the network does ends the driver: what a
send or a read fails with is counted, and a socket that is lost is opened anew.
"""

import asyncio
import contextlib
import ipaddress
import logging
import math
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.outbox import Outbox, Packet
from paddlequay.cluster.types import NEVER, Peer, SendMessage
from paddlequay.cluster.wire import Head, Refusal, Wire
from paddlequay.config.values import Address
from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

REOPEN_PAUSE = 0.5  # seconds between tries to open a socket
LEAST_PAUSE = 0.001  # seconds between two calls of the timer
LONGEST_PAUSE = 60.0
LOG_PAUSE = 60.0  # seconds between two lines of a kind
FAILURE_PAUSE = 0.1  # and after one that raised


class Owner(Protocol):
    """Who the datagrams are for. Called one at a time; what is told meanwhile goes out after the call."""

    def handle_message(self, sender: Peer, head: Head, messages: tuple[PeerMessage, ...]) -> None: ...

    def tick(self) -> None:
        """Its `due` has come."""

    def due(self) -> float: ...


def normal(address: Sequence[object]) -> Address:
    """Host and port as the kernel gives them, whatever way the host's number was written."""
    host = str(address[0])
    # A name is left as it is; the kernel gives none, so its datagrams would come from a stranger.
    with contextlib.suppress(ValueError):
        host = str(ipaddress.ip_address(host))
    return host, cast(int, address[1])


class Datagrams(asyncio.DatagramProtocol):
    """One socket's events, for as long as it is the driver's."""

    def __init__(self, driver: "Peers") -> None:
        self.driver = driver
        self.full = False  # the kernel takes nothing, and the transport holds 64 KiB for it: about 4 s

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False

    def datagram_received(self, data: bytes, addr: tuple[object, ...]) -> None:
        self.driver.received(data, normal(addr))

    def error_received(self, exc: Exception) -> None:
        self.driver.trouble("errors", error=type(exc).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        self.driver.lost(self, exc)


class Peers:
    """Carries one router's datagrams. Raises `ValueError` for a list in which two peers share an address."""

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        to_all: Address | None,
        wire: Wire,
        outbox: Outbox,
        counters: Counters,
        owner: Owner,
        now: Callable[[], float],
    ) -> None:
        self.listen, self.to_all = listen, to_all
        self.addresses = [normal(address) for address in peers]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        if len(self.numbers) != len(peers) or len(peers) != wire.fleet.size:
            raise ValueError(
                f"{wire.fleet.size} routers at {len(self.numbers)} addresses, {len(peers)} listed"
            )
        self.wire, self.outbox, self.counters, self.owner, self.now = wire, outbox, counters, owner, now
        self.logged: dict[str, float] = {}  # by kind of line, which are few
        self.transport: asyncio.DatagramTransport | None = None
        self.protocol: Datagrams | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def start(self) -> None:
        """Raises `OSError` where the address cannot be had at the start."""
        await self.open()
        self.flush()

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        protocol = Datagrams(self)
        transport, _ = await loop.create_datagram_endpoint(lambda: protocol, local_addr=self.listen)
        self.transport, self.protocol = transport, protocol
        if self.closed:
            transport.close()

    def close(self) -> None:
        self.closed = True
        if self.opening is not None:
            self.opening.cancel()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def lost(self, protocol: Datagrams, why: Exception | None) -> None:
        """A socket has ended: if it is the driver's and not by its wish, the next one."""
        if self.closed or protocol is not self.protocol:
            return
        self.transport = self.protocol = None
        self.trouble("lost", error=type(why).__name__)
        self.opening = asyncio.ensure_future(self.reopen())

    async def reopen(self) -> None:
        while not self.closed:
            try:
                await self.open()
            except OSError as error:
                self.trouble("open_errors", error=type(error).__name__)
                await asyncio.sleep(REOPEN_PAUSE)
            else:
                self.counters.add("peers.opened")
                return

    def tell(self, tells: Sequence[SendMessage]) -> None:
        """Let notes go out as soon as they may."""
        now = self.now()
        for tell in tells:
            self.outbox.put(tell, now)
        self.flush()

    def received(self, data: bytes, address: Address) -> None:
        self.counters.add("peers.received")
        source = self.numbers.get(address)
        told = self.wire.read(data, source)
        if isinstance(told, Refusal):
            fields = {"from": f"{address[0]}:{address[1]}", "length": len(data)}
            return self.trouble(told.value, level=logging.INFO, **fields)
        if told.skipped:
            self.counters.add("peers.skipped", told.skipped)
        try:
            self.owner.handle_message(told.head.sender, told.head, told.messages)
        except Exception:  # the next datagram may be in order
            self.failed()
        self.flush()

    def failed(self) -> None:
        if self.counters.add_once("peers.failures"):
            LOGGER.exception("peers_failed")

    def woken(self) -> None:
        self.timer = None
        pause = LEAST_PAUSE
        try:
            if self.owner.due() <= self.now():
                self.owner.tick()
        except Exception:
            self.failed()
            pause = FAILURE_PAUSE
        self.flush(pause)

    def flush(self, least: float = LEAST_PAUSE) -> None:
        """Send what may go, and set the timer for what is next."""
        for packet in self.outbox.take(self.now()):
            self.send(packet)
        due = min(self.owner.due(), self.outbox.due())
        pause = min(LONGEST_PAUSE, max(least, due - self.now()))
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            if due != NEVER and self.timer.when() <= loop.time() + pause:
                return  # set anew at each of many events, it would never be due
            self.timer.cancel()
            self.timer = None
        if not self.closed and due != NEVER:
            self.timer = loop.call_later(pause, self.woken)

    def send(self, packet: Packet) -> None:
        if packet.to is not None:
            return self.send_to(packet.data, self.addresses[packet.to])
        if self.to_all is not None:
            return self.send_to(packet.data, self.to_all)
        for number, address in enumerate(self.addresses):
            if number != self.wire.fleet.me:
                self.send_to(packet.data, address)

    def send_to(self, data: bytes, address: Address) -> None:
        """A datagram that cannot go is lost, like one that is lost on its way."""
        if self.transport is None or self.protocol is None or self.protocol.full:
            return self.counters.add("peers.unsent")
        try:
            self.transport.sendto(data, address)
        except (OSError, ValueError) as error:
            return self.trouble("errors", error=type(error).__name__)
        self.counters.add("peers.sent")

    def print(self) -> None:
        """What the outbox has sent and dropped, as one log line."""
        log.event(LOGGER, logging.INFO, "outbox", **dict(sorted(self.outbox.counts.items())))

    def trouble(self, kind: str, level: int = logging.WARNING, **fields: object) -> None:
        """Count, and log at most one line of a kind a minute."""
        name = f"peers.{kind}"
        self.counters.add(name)
        now = self.now()
        if now - self.logged.get(name, -math.inf) >= LOG_PAUSE:
            self.logged[name] = now
            log.event(LOGGER, level, f"peers_{kind}", count=self.counters.counts[name], **fields)
