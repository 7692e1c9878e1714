"""The clients' front: which connections are accepted, which are closed for others, and how it drains."""

import asyncio
import socket

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import DRAIN, OperatorState
from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.clients.answer_writer import AnswerWriter
from paddlequay.net.clients.idle_sessions import IdleSessions
from paddlequay.net.clients.session import ClientSession
from paddlequay.net.clients.session_reader import SessionReader
from paddlequay.net.listener import BACKLOG, Acceptor, accept_backlog
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AnswerStatus, FinalAnswer
from paddlequay.requests.quotas import ProcessQuotas


class ClientFront:
    """The clients' listener and their connections. Another front beside it would use the same exchange."""

    def __init__(
        self,
        exchange: Exchange,
        operator_state: OperatorState,
        quotas: ProcessQuotas,
        limits: Limits,
        counters: Counters,
        overload: OverloadGuard,
    ) -> None:
        self.operator_state = operator_state
        operator_state.on_change.append(self.override_changed)
        self.exchange, self.quotas, self.limits, self.counters = exchange, quotas, limits, counters
        self.sessions: set[ClientSession] = set()
        self.idle_sessions = IdleSessions()
        self.tasks: set[asyncio.Task[None]] = set()
        self.overload = overload
        self.overload_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.shed_retry_after)
        self.unsent_bytes = 0
        self.queued_bytes = 0  # of the bodies of calls that are read and not submitted yet
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.shutting_down = False  # SIGTERM has come
        self.replaced = False  # and a successor takes clients
        self.refusing_new = False  # late connections after SIGTERM have been served
        self.handing_over = False  # a successor takes what is new, or the end has come
        self.near_end = False  # and it is less than a second away
        self.drained_at: float | None = None  # when operators had the router drained
        self.closing_when_quiet = False  # connections close at their next quiet moment
        self.rejecting_new = False  # and those that never have one are given one
        self.draining_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.busy_retry_after)

    def now(self) -> float:
        """Monotonic seconds."""
        return self.exchange.scheduler.monotonic()

    @property
    def max_unsent(self) -> float:
        """Bytes of answers that clients may leave untaken, over all connections."""
        return self.limits.max_unsent * self.quotas.memory_share

    @property
    def writers(self) -> list[AnswerWriter]:
        """The writers of all connections."""
        return [session.writer for session in self.sessions]

    @property
    def max_queued(self) -> float:
        """Bytes of bodies that may wait before the exchange, which has a bound of its own."""
        return self.limits.max_body_bytes * self.quotas.memory_share / 2

    def accepts_requests(self) -> bool:
        """Whether this router is ready, as its clients are told; two processes count as one router."""
        return not self.operator_state.draining and (not self.shutting_down or self.replaced)

    def override_changed(self, name: str) -> None:
        """Operators have the router drained, or resumed: then all is as before, at once."""
        if name == DRAIN and self.operator_state.draining:
            self.drained_at = self.now()
        elif name == DRAIN:
            self.drained_at = None
            self.close_quiet_connections()

    @property
    def open_summary(self) -> str:
        """What is open, for operators."""
        return f"{len(self.sessions)} connections, {len(self.exchange.pending)} requests open"

    def close_quiet_connections(self) -> None:
        """At each heartbeat: close what is quiet where connections are to go, and go on with a drain.

        Late connections are served first, then connections close as they fall quiet. The rest gets nothing
        new done, which makes it quiet, and at last what is pending is abandoned: no client is left without an
        answer.
        """
        self.closing_when_quiet, self.rejecting_new = self.handing_over, self.near_end
        if self.drained_at is not None:
            since, limits = self.now() - self.drained_at, self.limits
            self.closing_when_quiet = self.closing_when_quiet or since >= limits.drain_accept_time
            self.rejecting_new = self.rejecting_new or since >= limits.drain_reject_after
            if since >= limits.drain_abandon_after:
                self.exchange.abandon_all()
        if self.closing_when_quiet:
            for session in list(self.sessions):
                if session.is_backpressured:
                    session.submit_waiting()
                session.close_if_quiet()
        if self.drained_at is not None and self.now() - self.drained_at >= self.limits.drain_close_after:
            self.shut_down_sessions("closed_by_drain")

    def shut_down_sessions(self, cause: str) -> None:
        """End all connections that are left, each with its answers; they close within `LINGER_S`."""
        for session in list(self.sessions):
            if not session.ended and not session.stream.closed():
                self.counters.add(cause)
                session.end()

    def closed_reason(self) -> str:
        """Why this process takes no clients; empty while it does."""
        if self.shutting_down:
            return "this process is ending"
        if self.operator_state.draining:
            return f"draining: {self.open_summary}"
        return "" if self.listener is not None else "starting: bulletin and connections are not there yet"

    def listen(self, listener: socket.socket) -> None:
        """Accept clients on a bound socket from now on."""
        listener.listen(BACKLOG)
        self.listener = listener
        self.acceptor = Acceptor(listener, self.on_accept, self.accept_capacity)

    def stop_accepting(self, last: bool) -> bool:
        """Accept all that waits, then close the listener: what is left in its queue would be reset.

        Where no descriptor is left, connections at rest give theirs. False while some still wait: a
        connection just accepted is read first and may be at rest a turn later. `last` closes all the same.
        """
        if self.listener is None:
            return True
        if self.acceptor is not None:
            self.acceptor.stop()
            self.acceptor = None
        if not accept_backlog(self.listener, self.on_accept, self.close_one_idle) and not last:
            return False
        self.listener.close()
        self.listener = None
        return True

    def accept_capacity(self) -> int:
        """How many connections may be accepted in this turn; one is closed for another where none may."""
        free = self.quotas.client_connections - len(self.sessions)
        return min(self.limits.accepts_per_turn, free) if free > 0 else int(self.close_one_idle())

    def on_accept(self, connection: socket.socket) -> None:
        """A connection was accepted: it is served, or closed where there is no capacity."""
        limits = self.limits
        if len(self.sessions) >= self.quotas.client_connections and not self.close_one_idle():
            self.counters.add("rejected_connections")
            return connection.close()
        self.counters.add("client_connections")
        connection.setblocking(False)
        stream = IOStream(
            connection, max_buffer_size=2 * limits.max_client_frame, read_chunk_size=limits.client_read_size
        )
        stream.set_nodelay(True)
        session = ClientSession(self, stream)
        self.sessions.add(session)
        task = asyncio.ensure_future(self.serve(session))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, session: ClientSession) -> None:
        """Serve one connection until its end."""
        try:
            await SessionReader(session).run()
        finally:
            self.sessions.discard(session)
            if session.idle_queue is not None:
                session.idle_queue.pop(session, None)

    def close_one_idle(self) -> bool:
        """Close one connection on which nothing is owed, if there is one."""
        closed = self.idle_sessions.close_one(self.now(), self.limits.recent_progress)
        if closed is None:
            return False
        if isinstance(closed.session, ClientSession):
            self.sessions.discard(closed.session)
        self.counters.add("closed_idle_clients" if closed.had_message else "closed_silent_clients")
        return True

    def sweep(self) -> None:
        """Close connections whose client has long taken nothing, completed no message or requested nothing.

        What has come since and is unread is handled first: such a connection is left for the next time.
        """
        now, limits = self.now(), self.limits
        for session in list(self.sessions):
            if session.is_backpressured:
                session.submit_waiting()
            since = session.input.partial_since
            if since is None and not session.has_sent_message:
                since = session.connected_at
            if (
                session.writer.unsent_bytes
                and now - session.writer.last_taken_at > limits.client_stall_timeout
            ):
                self.counters.add("slow_readers")
                session.stream.close()
            elif since is not None and now - since > limits.client_silence_timeout:
                if session.at_rest():
                    self.counters.add("silent_clients")
                    session.end()  # the rest of its message may come yet
            elif now - session.last_used_at > limits.client_idle_timeout and session.close_at_rest():
                self.counters.add("closed_idle_clients")
