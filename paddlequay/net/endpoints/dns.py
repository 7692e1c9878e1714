"""Carries out the resolver's actions: each query over UDP from a socket of its own, or over TCP."""

import asyncio
import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.discovery.answers import MAX_ANSWER
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetKnown, ResolverAction, SendQuery
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

LENGTH_PREFIX = struct.Struct("!H")
MAX_DATAGRAMS = 64  # for one query: forged ones must not occupy the resolver without end
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 1.0


class QueryProtocol(asyncio.DatagramProtocol):
    """The socket of one query, connected to its server, so that the kernel drops other senders' datagrams."""

    def __init__(self, driver: "ResolverDriver", send: SendQuery) -> None:
        self.driver = driver
        self.send = send
        self.transport: asyncio.DatagramTransport | None = None
        self.datagrams_read = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the query."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.transport.sendto(self.send.data)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the resolver, which judges whether it is the answer."""
        self.datagrams_read += 1
        driver = self.driver
        if self.datagrams_read <= MAX_DATAGRAMS:
            driver.execute(driver.resolver.received(self.send.number, data, self.send.server, driver.now()))
        if self.send.number not in driver.resolver.lookups:
            self.close()

    def error_received(self, exc: Exception) -> None:
        """Reports to the resolver that the server is unreachable."""
        self.close()
        why = type(exc).__name__
        self.driver.execute(self.driver.resolver.failed(self.send.number, why, self.driver.now()))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
        self.driver.sockets.pop(self.send.number, None)


class ResolverDriver:
    """Runs the sockets and the clock of a resolver.

    Args:
        resolver: Decides what is queried and when.
        counters: The counters of the program.
        now: Returns the time of the resolver's clock, in seconds.
        on_known: Receives each announced record set.

    Attributes:
        sockets: The open UDP sockets, by the number of their query.
        wake_up: Set when the time of the next tick may have changed.
    """

    def __init__(
        self,
        resolver: Resolver,
        counters: Counters,
        now: Callable[[], float],
        on_known: Callable[[RecordSetKnown], None],
    ) -> None:
        self.resolver = resolver
        self.counters = counters
        self.now = now
        self.on_known = on_known
        self.sockets: dict[int, QueryProtocol] = {}
        self.background = TaskSupervisor(counters)
        self.wake_up = asyncio.Event()

    def execute(self, actions: list[ResolverAction]) -> None:
        """Carries out the resolver's actions."""
        for action in list(actions):
            if isinstance(action, SendQuery):
                work = self.query_by_tcp(action) if action.tcp else self.query_by_udp(action)
                self.background.spawn("resolver_question", work)
            else:
                self.on_known(action)
        self.wake_up.set()

    async def query_by_udp(self, send: SendQuery) -> None:
        """Sends one query over UDP, from a socket of its own."""
        loop = asyncio.get_running_loop()
        try:
            _, protocol = await loop.create_datagram_endpoint(
                lambda: QueryProtocol(self, send), remote_addr=send.server
            )
            self.sockets[send.number] = protocol
        except OSError as error:
            self.execute(self.resolver.failed(send.number, type(error).__name__, self.now()))

    async def query_by_tcp(self, send: SendQuery) -> None:
        """Sends one query on a TCP connection of its own; RFC 7766 allows more, but few are needed."""
        family = socket.AF_INET6 if ":" in send.server[0] else socket.AF_INET
        stream: IOStream | None = None
        try:
            # Without a free descriptor, the query fails like any other.
            stream = IOStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=2 * MAX_ANSWER)
            async with asyncio.timeout(send.timeout):
                await stream.connect(send.server)
                await stream.write(LENGTH_PREFIX.pack(len(send.data)) + send.data)
                (length,) = LENGTH_PREFIX.unpack(await stream.read_bytes(LENGTH_PREFIX.size))
                data = await stream.read_bytes(length)
        except (TimeoutError, OSError, StreamClosedError) as error:
            why = f"TCP {type(error).__name__}"
            self.execute(self.resolver.failed(send.number, why, self.now()))
            return
        finally:
            if stream is not None:
                stream.close()
        self.execute(self.resolver.received(send.number, data, send.server, self.now()))

    async def run(self) -> None:
        """Ticks the resolver whenever it is due, until cancelled."""
        while True:
            self.wake_up.clear()
            pause = self.resolver.next_due() - self.now()
            if pause > 0:
                with contextlib.suppress(TimeoutError):
                    timeout = min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause))
                    await asyncio.wait_for(self.wake_up.wait(), timeout)
            try:
                self.execute(self.resolver.tick(self.now()))
            except Exception:  # the edge of one tick: its error must not end the resolver's task
                if self.counters.add_once("resolver_errors"):
                    LOGGER.exception("resolver_failed")
            for number in [each for each in self.sockets if each not in self.resolver.lookups]:
                self.sockets[number].close()
            await asyncio.sleep(MIN_PAUSE_S)

    def print(self) -> None:
        """Logs the resolver's counts, and the health of each server."""
        log.event(LOGGER, logging.INFO, "resolver", **dict(sorted(self.resolver.counts.items())))
        for (host, port), health in self.resolver.servers.health.items():
            counts = {key.replace(" ", "_").lower(): count for key, count in health.counts.items()}
            log.event(
                LOGGER,
                logging.INFO,
                "dns_server",
                server=f"{host}:{port}",
                took=health.smoothed_latency,
                failures=health.failures,
                **counts,
            )

    def close(self) -> None:
        """Closes all sockets and cancels all queries."""
        for protocol in list(self.sockets.values()):
            protocol.close()
        for task in self.background.tasks:
            task.cancel()
