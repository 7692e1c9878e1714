"""The network front of a tier: connections, replies, and the state shown to operators and peers."""

import socket
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.hierarchy.fill_path import Keyring
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    PeerIntroduction,
    Reply,
    ReplyReason,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.node import CacheNode
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.hierarchy.fill_driver import FillDriver
from paddlequay.net.hierarchy.load_meter import LoadMeter
from paddlequay.net.hierarchy.tier_session import TierRequester, TierSession
from paddlequay.net.listener import Acceptor
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability.counters import Counters
from paddlequay.protocol.cache_server import CacheRequest
from paddlequay.protocol.caches import Buffer
from paddlequay.protocol.fill_messages import RequestDecoder, reply_fields
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import RequestClass

LISTEN_BACKLOG_SIZE = 1024


class TierFront:
    """Accepts connections to a node, replies to their requests and carries out the node's actions."""

    shutting_down = False
    replaced = False  # the console reads this of every front; a tier has no hot restart

    def __init__(
        self,
        node: CacheNode,
        classes: Mapping[str, RequestClass],
        exchange: Exchange,
        pool: ConnectionPool,
        keyring: Keyring,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.node = node
        self.classes = classes
        self.exchange = exchange
        self.limits = limits
        self.counters = counters
        self.fill_driver = FillDriver(node, exchange, pool, keyring, counters, self.execute)
        self.decoder = RequestDecoder(classes, keyring, limits.max_part)
        self.load_meter = LoadMeter()
        self.sessions: OrderedDict[TierSession, None] = OrderedDict()  # oldest first
        self.background = TaskSupervisor(counters)
        self.address = ("", 0)
        self.waiting_for = "the feed"  # what the node needs before it is ready; empty once it is ready
        self.acceptor: Acceptor | None = None

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.exchange.scheduler.monotonic()

    def unix(self) -> float:
        """Returns the Unix time in seconds."""
        return self.exchange.scheduler.unix()

    def change_keys(self, keyring: Keyring) -> None:
        """Replaces the keys that sign and verify paths."""
        self.fill_driver.keyring = keyring
        self.decoder = RequestDecoder(self.classes, keyring, self.limits.max_part)

    def listen(self, listener: socket.socket) -> None:
        """Starts to accept connections on a bound socket."""
        listener.listen(LISTEN_BACKLOG_SIZE)
        self.address = listener.getsockname()[:2]
        self.fill_driver.own_address = self.address
        self.acceptor = Acceptor(listener, self._on_accept, lambda: self.limits.accepts_per_iteration)

    def sweep(self) -> None:
        """Closes sessions that are stalled, or without requests: idle for long, or while draining."""
        now = self.monotonic()
        for session in list(self.sessions):
            quiet_s = now - session.last_read_at
            is_idle = session.is_idle
            is_inside_message = session.parser.is_inside_message
            has_stalled = is_idle and is_inside_message and quiet_s > self.limits.client_stall_timeout
            if has_stalled or (is_idle and quiet_s > 2 * self.limits.cache_idle_timeout):
                self.counters.add("stalled_askers" if has_stalled else "closed_idle_askers")
                session.close()
            elif session.has_stalled(self.limits.client_stall_timeout):
                self.counters.add("slow_readers")
                session.close()
            elif self._is_draining and session.is_at_rest:
                session.close()

    def on_session_closed(self, session: TierSession) -> None:
        """Removes a closed session."""
        self.sessions.pop(session, None)

    def decode(self, message: CacheRequest, requester: TierRequester) -> FillRequest:
        """Returns the fill request of a message; raises `RequestFieldError` or `FillPathError`."""
        return self.decoder.decode(message, requester, self.unix())

    def handle_request(self, request: FillRequest) -> None:
        """Passes a request to the node and carries out the actions that follow."""
        self.execute(self.node.handle_request(request, self.unix()))

    def cancel(self, request: FillRequest) -> None:
        """Tells the node that a requester no longer waits."""
        self.node.cancel(request)

    def execute(self, actions: Iterable[Action]) -> None:
        """Carries out actions of the node."""
        for action in actions:
            match action:
                case Reply():
                    self._send_reply(action)
                case StartFill():
                    self.fill_driver.start(action)
                case PeerIntroduction():
                    self.fill_driver.introduce(action)

    def closed_reason(self) -> str:
        """Returns why the node should get no new requests; empty if it may get them."""
        if self.shutting_down:
            return "this process is ending"
        if self.exchange.operator_state.draining:
            return f"draining: {self.open_summary}"
        return f"starting: waits for {self.waiting_for}" if self.waiting_for else ""

    @property
    def open_summary(self) -> str:
        """The numbers of open connections and requests, as text for operators."""
        return f"{len(self.sessions)} connections, {self.node.waiting_count} requests open"

    def is_delivering(self, max_stall_s: float) -> bool:
        """Returns whether any requester still receives answers, some of them within `max_stall_s`."""
        return any(session.is_receiving(max_stall_s) for session in self.sessions)

    def load_report(self) -> str:
        """Returns the load report of the node."""
        return self.load_meter.report(self.node.waiting_count, self.fill_driver.in_flight)

    def on_heartbeat(self, busy_ratio: float) -> None:
        """Times out requests and updates the load report; `busy_ratio` is the use of the cores, 0 to 1."""
        self.load_meter.on_heartbeat(busy_ratio)
        self.execute(self.node.expire(self.unix()))

    @property
    def _is_draining(self) -> bool:
        return self.exchange.operator_state.draining or self.shutting_down

    def _on_accept(self, connection: socket.socket) -> None:
        """Starts a session; at the limit closes an idle one for it, or the new connection if none is idle."""
        if len(self.sessions) >= self.limits.client_connections:
            idle_session = next((session for session in self.sessions if session.is_at_rest), None)
            if idle_session is None:
                self.counters.add("turned_away")
                connection.close()
                return
            self.counters.add("closed_idle_askers")
            idle_session.close()
        session = TierSession(self, IOStream(connection))
        self.sessions[session] = None
        self.background.spawn("tier_session", session.run())

    def _send_reply(self, reply: Reply) -> None:
        """Writes a reply to its requester; a refresh by the node itself has none."""
        requester = reply.request.requester
        if not isinstance(requester, TierRequester):
            return
        session = requester.session
        session.requests.pop(requester.id, None)
        self.load_meter.record_reply(reply.reason is ReplyReason.CACHED)
        body = reply_body(reply)
        if body and not session.has_capacity(len(body)):
            self.counters.add("unread_answers")
            reply = Reply(reply.request, ReplyStatus.REJECTED, ReplyReason.FILL_REJECTED)
            body = b""
        fields = reply_fields(reply, self.load_report())
        session.write(requester.id, reply.status.value, fields, body)


def reply_body(reply: Reply) -> Buffer:
    """Returns the body of a reply; empty for all but a served copy."""
    return reply.copy.body if reply.copy is not None and reply.status is ReplyStatus.HIT else b""
