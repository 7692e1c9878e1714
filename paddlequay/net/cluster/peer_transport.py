"""The socket between routers: datagrams in and out, and one timer.

A peer is known by the address that its datagrams come from, which is its entry in the list of peers; the
address that this router listens at need not be its own entry. No network error ends the transport: errors of
sending and reading are counted, and a lost socket is opened again.
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
MIN_TIMER_S = 0.001  # between two calls of the timer
MAX_TIMER_S = 60.0
FAILURE_TIMER_S = 0.1  # after a call that raised
LOG_INTERVAL_S = 60.0  # between two lines of a kind


class DatagramHandler(Protocol):
    """The receiver of the datagrams. Called one at a time; its messages are sent after each call."""

    def handle_datagram(self, sender: Peer, header: Header, messages: tuple[PeerMessage, ...]) -> None:
        """Handles an accepted datagram."""

    def tick(self) -> None:
        """Handles the passing of time, called once `due` has come."""

    def due(self) -> float:
        """Returns when `tick` next has work, by the transport's clock."""
        ...


def normalize_address(address: Sequence[object]) -> Address:
    """Returns host and port as the kernel gives them, however the host's number was written."""
    host = str(address[0])
    # A host name stays as it is. The kernel gives none, so its datagrams are rejected by their sender.
    with contextlib.suppress(ValueError):
        host = str(ipaddress.ip_address(host))
    return host, cast(int, address[1])


class SocketEvents(asyncio.DatagramProtocol):
    """The events of one socket."""

    def __init__(self, transport: "PeerTransport") -> None:
        self.owner = transport
        self.is_full = False  # the kernel accepts no more, and asyncio buffers 64 KiB: about 4 s

    def pause_writing(self) -> None:
        """Notes that the buffer is full."""
        self.is_full = True

    def resume_writing(self) -> None:
        """Notes that the buffer has room again."""
        self.is_full = False

    def datagram_received(self, data: bytes, addr: tuple[object, ...]) -> None:
        """Passes a datagram on."""
        self.owner.receive(data, normalize_address(addr))

    def error_received(self, exc: Exception) -> None:
        """Reports an error of an earlier send."""
        self.owner.report_problem("errors", error=type(exc).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        """Has the socket opened again, unless it was closed on purpose."""
        self.owner.handle_lost_socket(self, exc)


class PeerTransport:
    """Sends and receives one router's datagrams. Raises `ValueError` where two peers share an address."""

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
                f"{wire.fleet.size} routers at {len(self.numbers)} addresses, {len(peers)} listed"
            )
        self.wire = wire
        self.outbox = outbox
        self.counters = counters
        self.handler = handler
        self.clock = clock
        self.logged_at: dict[str, float] = {}  # by kind of line, which are few
        self.transport: asyncio.DatagramTransport | None = None
        self.socket_events: SocketEvents | None = None
        self.reopening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    # --- socket ---

    async def start(self) -> None:
        """Opens the socket. Raises `OSError` where the address is not available."""
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
        """Opens a new socket where the present one has ended and was not closed."""
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

    # --- receiving ---

    def receive(self, data: bytes, address: Address) -> None:
        """Handles a datagram from the socket, and sends what follows from it."""
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
        except Exception:  # the edge of a datagram: the next one may be in order
            self._log_failure()

    def _report_rejected(self, reason: RejectReason, address: Address, length: int) -> None:
        host, port = address
        fields = {"from": f"{host}:{port}", "length": length}
        self.report_problem(reason.value, level=logging.INFO, **fields)

    # --- timer ---

    def _on_timer(self) -> None:
        self.timer = None
        min_wait_s = MIN_TIMER_S
        try:
            if self.handler.due() <= self.clock():
                self.handler.tick()
        except Exception:  # the edge of a timer: the next tick may be in order
            self._log_failure()
            min_wait_s = FAILURE_TIMER_S
        self.flush(min_wait_s)

    def flush(self, min_wait_s: float = MIN_TIMER_S) -> None:
        """Sends what may be sent, and sets the timer for what is next."""
        for datagram in self.outbox.take(self.clock()):
            self._send(datagram)
        due = min(self.handler.due(), self.outbox.due())
        self._set_timer(due, min_wait_s)

    def _set_timer(self, due: float, min_wait_s: float) -> None:
        wait_s = min(MAX_TIMER_S, max(min_wait_s, due - self.clock()))
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            if due != NEVER and self.timer.when() <= loop.time() + wait_s:
                return  # set anew at each of many events, it would never be due
            self.timer.cancel()
            self.timer = None
        if not self.closed and due != NEVER:
            self.timer = loop.call_later(wait_s, self._on_timer)

    def wake(self, due: float) -> None:
        """Sends what may be sent where `due` is earlier than the timer."""
        if self.timer is None or due < self.timer.when():
            self.flush()

    # --- sending ---

    def send_messages(self, actions: Sequence[SendMessage]) -> None:
        """Sends messages as soon as the limit on bytes allows."""
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
        """Sends a datagram. One that cannot be sent is lost, like one that the network loses."""
        if self.transport is None or self.socket_events is None or self.socket_events.is_full:
            self.counters.add("peers.unsent")
            return
        try:
            self.transport.sendto(data, address)
        except (OSError, ValueError) as error:
            self.report_problem("errors", error=type(error).__name__)
            return
        self.counters.add("peers.sent")

    # --- reporting ---

    def _log_failure(self) -> None:
        if self.counters.add_once("peers.failures"):
            LOGGER.exception("peers_failed")

    def report_problem(self, kind: str, level: int = logging.WARNING, **fields: object) -> None:
        """Counts a problem, and logs at most one line of a kind a minute."""
        name = f"peers.{kind}"
        self.counters.add(name)
        now = self.clock()
        if now - self.logged_at.get(name, -math.inf) >= LOG_INTERVAL_S:
            self.logged_at[name] = now
            log.event(LOGGER, level, f"peers_{kind}", count=self.counters.counts[name], **fields)
