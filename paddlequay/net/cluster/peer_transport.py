"""The UDP socket for datagrams between routers, with the node's timer.

A peer is identified by the address that its datagrams come from, which must be its entry in the list of
peers; the address that this router listens on may differ from its own entry. The transport survives network
errors: errors of sending and receiving are counted, and a socket that was lost is opened again.
"""

import asyncio
import contextlib
import ipaddress
import logging
import math
from collections.abc import Callable, Sequence
from typing import Protocol, cast

from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.outbox import Datagram, Outbox
from paddlequay.cluster.types import NEVER, Peer, SendMessage
from paddlequay.cluster.wire import Header, ReceivedDatagram, RejectReason, Wire
from paddlequay.config.values import Address
from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

REOPEN_INTERVAL_S = 0.5  # between attempts to open a socket
MIN_TIMER_S = 0.001  # the shortest wait between two ticks
MAX_TIMER_S = 60.0
FAILURE_TIMER_S = 0.1  # the shortest wait after a tick that raised an error
LOG_INTERVAL_S = 60.0  # between two log lines of the same kind


class DatagramHandler(Protocol):
    """Handles received datagrams and the timer. The transport sends queued messages after each call."""

    def handle_datagram(self, sender: Peer, header: Header, messages: tuple[PeerMessage, ...]) -> None:
        """Handles an accepted datagram."""

    def tick(self) -> None:
        """Handles timers. Called when the time that `due` returns has come."""

    def due(self) -> float:
        """Returns when `tick` next has work, by the transport's clock."""
        ...


def normalize_address(address: Sequence[object]) -> Address:
    """Returns host and port in the notation of the kernel, whose addresses are compared with the result."""
    host = str(address[0])
    # A host name is left as it is. The kernel reports none, so datagrams of such a peer are rejected.
    with contextlib.suppress(ValueError):
        host = str(ipaddress.ip_address(host))
    return host, cast(int, address[1])


class SocketEvents(asyncio.DatagramProtocol):
    """Receives the events of one socket from asyncio."""

    def __init__(self, transport: "PeerTransport") -> None:
        self.owner = transport
        # True while the kernel accepts no data and asyncio's buffer of 64 KiB (about 4 s of sending) is full.
        self.is_full = False

    def pause_writing(self) -> None:
        """Records that the send buffer is full."""
        self.is_full = True

    def resume_writing(self) -> None:
        """Records that the send buffer has space again."""
        self.is_full = False

    def datagram_received(self, data: bytes, addr: tuple[object, ...]) -> None:
        """Passes a datagram to the transport."""
        self.owner.receive(data, normalize_address(addr))

    def error_received(self, exc: Exception) -> None:
        """Reports an error that an earlier send has caused."""
        self.owner.report_problem("errors", error=type(exc).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        """Lets the transport open the socket again, unless the transport has closed it."""
        self.owner.handle_lost_socket(self, exc)


class PeerTransport:
    """Sends and receives one router's datagrams. Raises `ValueError` if two peers have the same address."""

    def __init__(
        self,
        listen: Address,
        peers: Sequence[Address],
        to_all: Address | None,
        wire: Wire,
        outbox: Outbox,
        counters: Counters,
        handler: DatagramHandler,
        clock: Callable[[], float],
    ) -> None:
        self.listen = listen
        self.to_all = to_all
        self.addresses = [normalize_address(address) for address in peers]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        if len(self.numbers) != len(peers) or len(peers) != wire.fleet.size:
            raise ValueError(
                f"expected a different address for each of {wire.fleet.size} routers, "
                f"got {len(peers)} peers with {len(self.numbers)} addresses"
            )
        self.wire = wire
        self.outbox = outbox
        self.counters = counters
        self.handler = handler
        self.clock = clock
        self.logged_at: dict[str, float] = {}  # by kind of log line, of which there are few
        self.transport: asyncio.DatagramTransport | None = None
        self.socket_events: SocketEvents | None = None
        self.reopening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    async def start(self) -> None:
        """Opens the socket. Raises `OSError` if the address is not available."""
        await self._open()
        self.flush()

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        socket_events = SocketEvents(self)
        transport, _ = await loop.create_datagram_endpoint(lambda: socket_events, local_addr=self.listen)
        self.transport = transport
        self.socket_events = socket_events
        if self.closed:
            transport.close()

    def close(self) -> None:
        """Closes the socket for good."""
        self.closed = True
        if self.reopening is not None:
            self.reopening.cancel()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

    def handle_lost_socket(self, socket_events: SocketEvents, error: Exception | None) -> None:
        """Opens a new socket if the current one was lost and the transport is not closed."""
        if self.closed or socket_events is not self.socket_events:
            return
        self.transport = None
        self.socket_events = None
        self.report_problem("lost", error=type(error).__name__)
        self.reopening = asyncio.ensure_future(self._reopen())

    async def _reopen(self) -> None:
        while not self.closed:
            try:
                await self._open()
            except OSError as error:
                self.report_problem("open_errors", error=type(error).__name__)
                await asyncio.sleep(REOPEN_INTERVAL_S)
            else:
                self.counters.add("peers.opened")
                return

    def receive(self, data: bytes, address: Address) -> None:
        """Handles a datagram from the socket, and sends the messages that follow."""
        self.counters.add("peers.received")
        received = self.wire.read(data, self.numbers.get(address))
        if isinstance(received, RejectReason):
            self._report_rejected(received, address, len(data))
            return
        if received.skipped_count:
            self.counters.add("peers.skipped", received.skipped_count)
        self._handle(received)
        self.flush()

    def _handle(self, received: ReceivedDatagram) -> None:
        try:
            self.handler.handle_datagram(received.header.sender, received.header, received.messages)
        except Exception:  # an error in one datagram must not stop the next ones
            self._log_failure()

    def _report_rejected(self, reason: RejectReason, address: Address, length: int) -> None:
        host, port = address
        fields = {"from": f"{host}:{port}", "length": length}
        self.report_problem(reason.value, level=logging.INFO, **fields)

    def _on_timer(self) -> None:
        self.timer = None
        min_wait_s = MIN_TIMER_S
        try:
            if self.handler.due() <= self.clock():
                self.handler.tick()
        except Exception:  # an error in one tick must not stop the next ones
            self._log_failure()
            min_wait_s = FAILURE_TIMER_S
        self.flush(min_wait_s)

    def flush(self, min_wait_s: float = MIN_TIMER_S) -> None:
        """Sends the datagrams that the byte limit allows, and sets the timer for the next work."""
        for datagram in self.outbox.take(self.clock()):
            self._send(datagram)
        due = min(self.handler.due(), self.outbox.due())
        self._set_timer(due, min_wait_s)

    def _set_timer(self, due: float, min_wait_s: float) -> None:
        wait_s = min(MAX_TIMER_S, max(min_wait_s, due - self.clock()))
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            if due != NEVER and self.timer.when() <= loop.time() + wait_s:
                return  # under frequent events, a timer that each of them resets would never fire
            self.timer.cancel()
            self.timer = None
        if not self.closed and due != NEVER:
            self.timer = loop.call_later(wait_s, self._on_timer)

    def wake(self, due: float) -> None:
        """Calls `flush` if `due` is earlier than the timer."""
        if self.timer is None or due < self.timer.when():
            self.flush()

    def send_messages(self, actions: Sequence[SendMessage]) -> None:
        """Queues messages and sends them as soon as the byte limit allows."""
        now = self.clock()
        for action in actions:
            self.outbox.put(action, now)
        self.flush()

    def _send(self, datagram: Datagram) -> None:
        if datagram.to is not None:
            self.send_to(datagram.data, self.addresses[datagram.to])
        elif self.to_all is not None:
            self.send_to(datagram.data, self.to_all)
        else:
            for number, address in enumerate(self.addresses):
                if number != self.wire.fleet.me:
                    self.send_to(datagram.data, address)

    def send_to(self, data: bytes, address: Address) -> None:
        """Sends a datagram. One that cannot be sent is counted and dropped, as if the network had lost it."""
        if self.transport is None or self.socket_events is None or self.socket_events.is_full:
            self.counters.add("peers.unsent")
            return
        try:
            self.transport.sendto(data, address)
        except (OSError, ValueError) as error:
            self.report_problem("errors", error=type(error).__name__)
            return
        self.counters.add("peers.sent")

    def _log_failure(self) -> None:
        if self.counters.add_once("peers.failures"):
            LOGGER.exception("peers_failed")

    def report_problem(self, kind: str, level: int = logging.WARNING, **fields: object) -> None:
        """Counts a problem, and logs at most one line of each kind per `LOG_INTERVAL_S`."""
        name = f"peers.{kind}"
        self.counters.add(name)
        now = self.clock()
        if now - self.logged_at.get(name, -math.inf) >= LOG_INTERVAL_S:
            self.logged_at[name] = now
            log.event(LOGGER, level, f"peers_{kind}", count=self.counters.counts[name], **fields)
