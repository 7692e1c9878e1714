"""The front for clients: accepts connections, closes idle ones to accept others, and drains them all."""

import asyncio
import socket

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import DRAIN, OperatorState
from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.clients.idle_sessions import IdleSessions
from paddlequay.net.clients.input_quota import InputQuota
from paddlequay.net.clients.session import ClientSession
from paddlequay.net.clients.session_reader import SessionReader
from paddlequay.net.clients.session_timeouts import close_if_timed_out
from paddlequay.net.listener import BACKLOG, Acceptor, accept_backlog
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AnswerStatus, FinalAnswer
from paddlequay.requests.quotas import ProcessQuotas


def open_stream(connection: socket.socket, limits: Limits) -> IOStream:
    """Returns the stream of an accepted connection."""
    connection.setblocking(False)
    stream = IOStream(
        connection, max_buffer_size=2 * limits.max_client_frame, read_chunk_size=limits.client_read_size
    )
    stream.set_nodelay(True)
    return stream


class ClientFront:
    """Owns the listener of clients and their connections.

    Attributes:
        unsent_bytes: Bytes of answers that the kernel has not accepted yet, over all connections.
        queued_bytes: Bytes of the bodies of calls that are read but not submitted, over all connections.
        shutting_down: Whether SIGTERM was received.
        replaced: Whether a successor process accepts the clients.
        served_late_connections: Whether the connections that still arrived after SIGTERM have been served.
        handing_over: Whether connections are to close because a successor process accepts new ones, or
            because the shutdown has served the late connections.
        near_end: Whether the process exits in less than a second.
        drained_at: When operators started a drain, in monotonic seconds.
        closing_when_quiet: Whether each connection closes as soon as it is at rest.
        rejects_new_calls: Whether new calls are rejected, so that every connection comes to rest.
    """

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
        self.exchange = exchange
        self.quotas = quotas
        self.limits = limits
        self.counters = counters
        self.sessions: set[ClientSession] = set()
        self.idle_sessions = IdleSessions()
        self.input_quota = InputQuota(limits, quotas, self.now)
        self.tasks: set[asyncio.Task[None]] = set()
        self.overload = overload
        self.overload_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.shed_retry_after)
        self.unsent_bytes = 0
        self.queued_bytes = 0
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.shutting_down = False
        self.replaced = False
        self.served_late_connections = False
        self.handing_over = False
        self.near_end = False
        self.drained_at: float | None = None
        self.closing_when_quiet = False
        self.rejects_new_calls = False
        self.draining_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.busy_retry_after)

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.exchange.scheduler.monotonic()

    @property
    def max_unsent(self) -> float:
        """Returns the limit on `unsent_bytes`."""
        return self.limits.max_unsent * self.quotas.memory_share

    @property
    def max_queued(self) -> float:
        """Returns the limit on `queued_bytes`; the exchange itself limits the bodies of pending requests."""
        return self.limits.max_body_bytes * self.quotas.memory_share / 2

    def accepts_requests(self) -> bool:
        """Returns whether clients are told that the router is ready.

        The two processes of a hot restart count as one router, so a process that shuts down remains ready
        once a successor has replaced it.
        """
        return not self.operator_state.draining and (not self.shutting_down or self.replaced)

    def override_changed(self, name: str) -> None:
        """Starts a drain by operators, or resumes normal service at once."""
        if name == DRAIN and self.operator_state.draining:
            self.drained_at = self.now()
        elif name == DRAIN:
            self.drained_at = None
            self.close_quiet_connections()

    @property
    def open_summary(self) -> str:
        """Returns the numbers of connections and pending requests, for operators."""
        return f"{len(self.sessions)} connections, {len(self.exchange.pending)} requests open"

    def close_quiet_connections(self) -> None:
        """Continues a drain or shutdown: closes connections at rest; called at each heartbeat.

        New connections are served for a while; then each connection closes once it is at rest. Later, new
        calls on the remaining connections are rejected, and finally their pending requests are ended with an
        answer.
        """
        self.closing_when_quiet = self.handing_over
        self.rejects_new_calls = self.near_end
        if self.drained_at is not None:
            self.continue_drain(self.now() - self.drained_at)
        if self.closing_when_quiet:
            for session in list(self.sessions):
                if session.is_backpressured:
                    session.submit_waiting()
                session.close_if_quiet()
        if self.drained_at is not None and self.now() - self.drained_at >= self.limits.drain_close_after:
            self.shut_down_sessions("closed_by_drain")

    def continue_drain(self, elapsed: float) -> None:
        """Performs the steps of a drain that are due `elapsed` seconds after its start."""
        limits = self.limits
        self.closing_when_quiet = self.closing_when_quiet or elapsed >= limits.drain_accept_time
        self.rejects_new_calls = self.rejects_new_calls or elapsed >= limits.drain_reject_after
        if elapsed >= limits.drain_abandon_after:
            self.exchange.abandon_all()

    def shut_down_sessions(self, cause: str) -> None:
        """Ends the remaining connections whose clients are up to date, and counts them under `cause`."""
        for session in list(self.sessions):
            is_open = not session.ended and not session.stream.closed()
            if is_open and session.end_if_up_to_date():
                self.counters.add(cause)

    def closed_reason(self) -> str:
        """Returns why this process accepts no clients; an empty string if it accepts them."""
        if self.shutting_down:
            return "this process is ending"
        if self.operator_state.draining:
            return f"draining: {self.open_summary}"
        return "" if self.listener is not None else "starting: bulletin and connections are not there yet"

    def listen(self, listener: socket.socket) -> None:
        """Starts accepting clients on a bound socket."""
        listener.listen(BACKLOG)
        self.listener = listener
        self.acceptor = Acceptor(listener, self.on_accept, self.accept_capacity)

    def stop_accepting(self, force: bool) -> bool:
        """Accepts all connections in the listener's queue, then closes the listener.

        The close of the listener would reset the connections left in its queue. If no descriptor is free
        for one of them, a connection at rest is closed.

        Args:
            force: Whether to close the listener even if connections still wait in its queue.

        Returns:
            Whether the listener is closed. If not, call again in a later iteration of the event loop:
            connections accepted just now have been read by then, and those at rest may be closed.
        """
        if self.listener is None:
            return True
        if self.acceptor is not None:
            self.acceptor.stop()
            self.acceptor = None
        if not accept_backlog(self.listener, self.on_accept, self.close_one_idle) and not force:
            return False
        self.listener.close()
        self.listener = None
        return True

    def accept_capacity(self) -> int:
        """Returns how many connections may be accepted now; closes an idle one if the quota is exhausted."""
        free = self.quotas.client_connections - len(self.sessions)
        if free > 0:
            return min(self.limits.accepts_per_iteration, free)
        return int(self.close_one_idle())

    def on_accept(self, connection: socket.socket) -> None:
        """Serves an accepted connection; closes it if the quota is exhausted and no other one is idle."""
        if len(self.sessions) >= self.quotas.client_connections and not self.close_one_idle():
            self.counters.add("rejected_connections")
            connection.close()
            return
        self.counters.add("client_connections")
        session = ClientSession(self, open_stream(connection, self.limits))
        self.sessions.add(session)
        task = asyncio.ensure_future(self.serve(session))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, session: ClientSession) -> None:
        """Serves one connection until it closes."""
        try:
            await SessionReader(session).run()
        finally:
            self.sessions.discard(session)
            if session.idle_queue is not None:
                session.idle_queue.pop(session, None)

    def close_one_idle(self) -> bool:
        """Closes one idle connection, and returns whether there was one."""
        closed = self.idle_sessions.close_one(self.now(), self.limits.recent_progress_window)
        if closed is None:
            return False
        if isinstance(closed.session, ClientSession):
            self.sessions.discard(closed.session)
        self.counters.add("closed_idle_clients" if closed.had_message else "closed_silent_clients")
        return True

    def sweep(self) -> None:
        """Closes connections whose client has not read, completed a message or sent a request for too long.

        A connection with unread bytes is left for the next sweep.
        """
        now = self.now()
        for session in list(self.sessions):
            if session.is_backpressured:
                session.submit_waiting()
            close_if_timed_out(session, now)
        self.input_quota.close_disconnected()
