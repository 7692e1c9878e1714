"""Executes the actions of the resolver: sends each query over UDP or TCP from a socket of its own."""

import asyncio
import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.discovery.answers import MAX_ANSWER_BYTES
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetUpdate, ResolverAction, SendQuery
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

LENGTH_PREFIX = struct.Struct("!H")
MAX_DATAGRAMS_PER_QUERY = 64  # further datagrams are ignored, as forged ones must not occupy the resolver
MIN_TICK_INTERVAL_S = 0.01
MAX_TICK_INTERVAL_S = 1.0


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
        """Passes a datagram to the resolver, which checks whether it is the answer."""
        self.datagrams_read += 1
        driver = self.driver
        if self.datagrams_read <= MAX_DATAGRAMS_PER_QUERY:
            driver.execute(driver.resolver.received(self.send.number, data, self.send.server, driver.now()))
        if self.send.number not in driver.resolver.pending_queries:
            self.close()

    def error_received(self, exc: Exception) -> None:
        """Reports a socket error, such as an unreachable server, to the resolver."""
        self.close()
        why = type(exc).__name__
        self.driver.execute(self.driver.resolver.failed(self.send.number, why, self.driver.now()))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()
        self.driver.sockets.pop(self.send.number, None)


class ResolverDriver:
    """Sends the queries of a resolver, passes it the answers, and calls its `tick` when it is due.

    Args:
        resolver: Decides which queries to send and when.
        counters: The counters of the program.
        now: Returns the time of the resolver's clock, in seconds.
        on_record_set: Called with each announced record set.

    Attributes:
        sockets: The open UDP sockets, by the number of their query.
        wake_up: Set when the time of the next `tick` may have changed.
    """

    def __init__(
        self,
        resolver: Resolver,
        counters: Counters,
        now: Callable[[], float],
        on_record_set: Callable[[RecordSetUpdate], None],
    ) -> None:
        self.resolver = resolver
        self.counters = counters
        self.now = now
        self.on_record_set = on_record_set
        self.sockets: dict[int, QueryProtocol] = {}
        self.background = TaskSupervisor(counters)
        self.wake_up = asyncio.Event()

    def execute(self, actions: list[ResolverAction]) -> None:
        """Executes the actions of the resolver."""
        for action in list(actions):
            if isinstance(action, SendQuery):
                work = self.query_by_tcp(action) if action.tcp else self.query_by_udp(action)
                self.background.spawn("resolver_question", work)
            else:
                self.on_record_set(action)
        self.wake_up.set()

    async def query_by_udp(self, send: SendQuery) -> None:
        """Sends one query over UDP from a socket of its own."""
        loop = asyncio.get_running_loop()
        try:
            _, protocol = await loop.create_datagram_endpoint(
                lambda: QueryProtocol(self, send), remote_addr=send.server
            )
            self.sockets[send.number] = protocol
        except OSError as error:
            self.execute(self.resolver.failed(send.number, type(error).__name__, self.now()))

    async def query_by_tcp(self, send: SendQuery) -> None:
        """Sends one query over a TCP connection of its own.

        RFC 7766 allows several queries on one connection, but few queries need TCP.
        """
        family = socket.AF_INET6 if ":" in send.server[0] else socket.AF_INET
        stream: IOStream | None = None
        try:
            # If no file descriptor is free, the query fails as for any other error.
            stream = IOStream(socket.socket(family, socket.SOCK_STREAM), max_buffer_size=2 * MAX_ANSWER_BYTES)
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
        """Calls `tick` of the resolver whenever it is due, until cancelled."""
        while True:
            self.wake_up.clear()
            pause = self.resolver.next_tick_at() - self.now()
            if pause > 0:
                with contextlib.suppress(TimeoutError):
                    timeout = min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, pause))
                    await asyncio.wait_for(self.wake_up.wait(), timeout)
            try:
                self.execute(self.resolver.tick(self.now()))
            except Exception:  # an error of one tick must not end the resolver's task
                if self.counters.add_once("resolver_errors"):
                    LOGGER.exception("resolver_failed")
            for number in [each for each in self.sockets if each not in self.resolver.pending_queries]:
                self.sockets[number].close()
            await asyncio.sleep(MIN_TICK_INTERVAL_S)

    def print(self) -> None:
        """Logs the counts of the resolver and the health of each server."""
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
