"""The resolver's driver: UDP from a socket of its own for each query, TCP where that is requested."""

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
MAX_DATAGRAMS = 64  # datagrams read for one question: forged ones must not hold it up for ever
MIN_PAUSE_S = 0.01


class QueryProtocol(asyncio.DatagramProtocol):
    """One query's socket, connected to its server: the kernel passes on what comes from there only."""

    def __init__(self, driver: "ResolverDriver", send: SendQuery) -> None:
        self.driver, self.send = driver, send
        self.transport: asyncio.DatagramTransport | None = None
        self.datagrams_read = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the query."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.transport.sendto(self.send.data)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """A datagram came; it may be no answer."""
        self.datagrams_read += 1
        driver = self.driver
        if self.datagrams_read <= MAX_DATAGRAMS:
            driver.execute(driver.resolver.received(self.send.number, data, self.send.server, driver.now()))
        if self.send.number not in driver.resolver.lookups:
            self.close()

    def error_received(self, exc: Exception) -> None:
        """The server cannot be reached."""
        self.close()
        why = type(exc).__name__
        self.driver.execute(self.driver.resolver.failed(self.send.number, why, self.driver.now()))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
        self.driver.sockets.pop(self.send.number, None)


class ResolverDriver:
    """The resolver's sockets and its clock; `on_known` gets what it announces."""

    def __init__(
        self,
        resolver: Resolver,
        counters: Counters,
        now: Callable[[], float],
        on_known: Callable[[RecordSetKnown], None],
    ) -> None:
        self.resolver, self.counters, self.now, self.on_known = resolver, counters, now, on_known
        self.sockets: dict[int, QueryProtocol] = {}
        self.background = TaskSupervisor(counters)
        self.wake_up = asyncio.Event()

    def execute(self, actions: list[ResolverAction]) -> None:
        """Carry out the resolver's actions."""
        for action in list(actions):
            if isinstance(action, SendQuery):
                work = self.query_by_tcp(action) if action.tcp else self.query_by_udp(action)
                self.background.spawn("resolver_question", work)
            else:
                self.on_known(action)
        self.wake_up.set()

    async def query_by_udp(self, send: SendQuery) -> None:
        """One query from a socket of its own."""
        loop = asyncio.get_running_loop()
        try:
            _, protocol = await loop.create_datagram_endpoint(
                lambda: QueryProtocol(self, send), remote_addr=send.server
            )
            self.sockets[send.number] = protocol
        except OSError as error:
            self.execute(self.resolver.failed(send.number, type(error).__name__, self.now()))

    async def query_by_tcp(self, send: SendQuery) -> None:
        """One query on one connection (RFC 7766 allows more; truncated answers are rare)."""
        family = socket.AF_INET6 if ":" in send.server[0] else socket.AF_INET
        stream: IOStream | None = None
        try:
            # Where no descriptor is left, that ends this question's turn like any other failure.
            stream = IOStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=2 * MAX_ANSWER)
            async with asyncio.timeout(send.timeout):
                await stream.connect(send.server)
                await stream.write(LENGTH_PREFIX.pack(len(send.data)) + send.data)
                (length,) = LENGTH_PREFIX.unpack(await stream.read_bytes(LENGTH_PREFIX.size))
                data = await stream.read_bytes(length)
        except (TimeoutError, OSError, StreamClosedError) as error:
            why = f"TCP {type(error).__name__}"
            return self.execute(self.resolver.failed(send.number, why, self.now()))
        finally:
            if stream is not None:
                stream.close()
        self.execute(self.resolver.received(send.number, data, send.server, self.now()))

    async def run(self) -> None:
        """The clock, for as long as the program runs."""
        while True:
            self.wake_up.clear()
            pause = self.resolver.next_due() - self.now()
            if pause > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake_up.wait(), min(1.0, max(MIN_PAUSE_S, pause)))
            try:
                self.execute(self.resolver.tick(self.now()))
            except Exception:
                if self.counters.add_once("resolver_errors"):
                    LOGGER.exception("resolver_failed")
            for number in [n for n in self.sockets if n not in self.resolver.lookups]:
                self.sockets[number].close()
            await asyncio.sleep(MIN_PAUSE_S)

    def print(self) -> None:
        """The resolver's counts and each server's health, as one log line each."""
        log.event(LOGGER, logging.INFO, "resolver", **dict(sorted(self.resolver.counts.items())))
        for (host, port), health in self.resolver.servers.health.items():
            log.event(
                LOGGER,
                logging.INFO,
                "dns_server",
                server=f"{host}:{port}",
                took=health.smoothed_latency,
                failures=health.failures,
                **{key.replace(" ", "_").lower(): count for key, count in health.counts.items()},
            )

    def close(self) -> None:
        """Close all sockets."""
        for each in list(self.sockets.values()):
            each.close()
        for task in self.background.tasks:
            task.cancel()
