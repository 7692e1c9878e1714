"""The clients' door: who is taken in, who makes room, and how it empties; a connection is `session.py`."""

import asyncio
import socket
from collections import OrderedDict
from itertools import islice

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import DRAIN, OperatorState
from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.listener import BACKLOG, Acceptor
from paddlequay.net.session import ClientSession
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AnswerStatus, FinalAnswer
from paddlequay.requests.quotas import ProcessQuotas

MAX_CANDIDATES = 8  # asked for room in each state: thousands of connections are not searched for one


class ClientFront:
    """The clients' door and their connections. Another front beside it would speak to the same exchange."""

    def __init__(
        self,
        exchange: Exchange,
        operation: OperatorState,
        shares: ProcessQuotas,
        limits: Limits,
        counters: Counters,
        load: OverloadGuard,
    ) -> None:
        self.operator_state = operation
        operation.on_change.append(self.override_changed)
        self.exchange, self.quotas, self.limits, self.counters = exchange, shares, limits, counters
        self.sessions: set[ClientSession] = set()
        # Who waits with nothing owed, the longest first: before the first byte, with one piece of a message,
        # with several, after a whole one, and at its end.
        self.lingering: OrderedDict[ClientSession, None] = OrderedDict()
        self.silent: OrderedDict[ClientSession, None] = OrderedDict()
        self.message_begun: OrderedDict[ClientSession, None] = OrderedDict()
        self.message_progressing: OrderedDict[ClientSession, None] = OrderedDict()
        self.idle: OrderedDict[ClientSession, None] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()
        self.overload = load
        self.overload_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.shed_retry_after)
        self.unsent_bytes = 0
        self.queued_bytes = 0  # bytes of bodies of calls that are read and not made yet
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.shutting_down = False  # SIGTERM has come
        self.replaced = False  # and a newer process takes clients
        self.refusing_new = False  # late comers after SIGTERM have been served
        self.handing_over = False  # a newer process takes what is new, or the end has come
        self.near_end = False  # and it is near
        self.drained_at: float | None = None  # when operators had the router emptied
        self.closing_when_quiet = False  # connections close at their next quiet moment
        self.rejecting_new = False  # and those that never have one are given one
        self.draining_answer = FinalAnswer(AnswerStatus.REJECTED, retry_after=limits.busy_retry_after)

    def now(self) -> float:
        return self.exchange.scheduler.monotonic()

    @property
    def max_unsent(self) -> float:
        return self.limits.max_unsent * self.quotas.memory_share

    @property
    def max_queued(self) -> float:
        """A bound of its own beside that of the exchange, for who is held back or read ahead."""
        return self.limits.max_body_bytes * self.quotas.memory_share / 2

    def accepts_requests(self) -> bool:
        """What the platform is told that asks at the clients' address, where two processes are one router."""
        return not self.operator_state.draining and (not self.shutting_down or self.replaced)

    def override_changed(self, name: str) -> None:
        """Operators have the router emptied, or put back to work: then all is as before, at once."""
        if name == DRAIN and self.operator_state.draining:
            self.drained_at = self.now()
        elif name == DRAIN:
            self.drained_at = None
            self.close_quiet_connections()

    @property
    def open_summary(self) -> str:
        return f"{len(self.sessions)} connections, {len(self.exchange.pending)} requests open"

    def close_quiet_connections(self) -> None:
        """At each beat: close what is quiet where connections are to go, and go on with a drain.

        Late comers are served first, then connections close as they fall quiet. The rest gets nothing new
        done, which makes it quiet, and at last what is open is given up: no client is left without a word.
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
        """End all connections that are left, each with its answers; they close within `session.LINGER`."""
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
        listener.listen(BACKLOG)
        self.listener = listener
        self.acceptor = Acceptor(listener, self.on_accept, self.accept_capacity)

    def stop_accepting(self, last: bool) -> bool:
        """Take in all that waits to be accepted, then close: what is left in the queue would be reset.

        Where no descriptor is left, connections at rest give theirs. False while some still wait: who was
        taken in is read first and may be at rest a turn later. `last` closes all the same.
        """
        if self.listener is None:
            return True
        if self.acceptor is not None:
            self.acceptor.stop()
            self.acceptor = None
        while True:
            try:
                taken = self.listener.accept()[0]
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError:
                if not self.close_one_idle():
                    if not last:
                        return False
                    break
            else:
                self.on_accept(taken)
        self.listener.close()
        self.listener = None
        return True

    def accept_capacity(self) -> int:
        """How many connections may be taken in this turn: where there is no room, one that is made."""
        free = self.quotas.client_connections - len(self.sessions)
        return min(self.limits.accepts_per_turn, free) if free > 0 else int(self.close_one_idle())

    def on_accept(self, connection: socket.socket) -> None:
        limits = self.limits
        if len(self.sessions) >= self.quotas.client_connections and not self.close_one_idle():
            self.counters.add("turned_away_connections")
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
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
            if session.idle_queue is not None:
                session.idle_queue.pop(session, None)

    def close_one_idle(self) -> bool:
        """Close one connection on which nothing is owed, with no search among them all.

        First who has sent no byte, then who has stopped inside a message: thousands that connect and say
        nothing would else push out who asks. Then the one idle for longest: its client sends again what
        crosses the close. Who goes on with a message makes room only where there is nobody else.
        """
        now = self.now()
        order = (
            (self.silent, 0.0, ClientSession.close_without_message),
            (self.message_begun, 0.0, ClientSession.close_without_message),
            (self.lingering, 0.0, ClientSession.close_lingering),
            (self.message_progressing, self.limits.recent_progress, ClientSession.close_at_rest),
            (self.idle, 0.0, ClientSession.close_at_rest),
            (self.message_progressing, 0.0, ClientSession.close_at_rest),
        )
        for waiting, least, close in order:
            # Whose request has come and is not read yet is passed over; a few are asked, not all.
            for longest in list(islice(waiting, MAX_CANDIDATES)):
                if now - longest.last_used_at < least:
                    break
                if close(longest):
                    del waiting[longest]
                    self.sessions.discard(longest)
                    idle = waiting is self.idle
                    self.counters.add("closed_idle_clients" if idle else "closed_silent_clients")
                    return True
        return False

    def sweep(self) -> None:
        """Close the connections whose client has long taken nothing, sent nothing whole or asked nothing.

        What has come since and is unread is looked at first: such a connection is left for the next time.
        """
        now, limits = self.now(), self.limits
        for session in list(self.sessions):
            if session.is_backpressured:
                session.submit_waiting()
            since = session.partial_since
            if since is None and not session.has_sent_message:
                since = session.connected_at
            if session.unsent_bytes and now - session.last_taken_at > limits.client_stall_timeout:
                self.counters.add("slow_readers")
                session.stream.close()
            elif since is not None and now - since > limits.client_silence_timeout:
                if session.at_rest():
                    self.counters.add("silent_clients")
                    session.end()  # the rest of its message may come yet
            elif now - session.last_used_at > limits.client_idle_timeout and session.close_at_rest():
                self.counters.add("closed_idle_clients")
