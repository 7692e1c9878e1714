"""The clients' door: who is taken in, who makes room, and how it empties; a connection is `session.py`."""

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Callable

from tornado.iostream import IOStream

from paddlequay.asks import Reply, Verdict
from paddlequay.config import Limits
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.load import OwnLoad
from paddlequay.net import door
from paddlequay.net.session import Session
from paddlequay.operation import DRAIN, Operation
from paddlequay.shares import Shares


class Front:
    """The clients' door and their connections. Another front beside it would speak to the same exchange."""

    def __init__(
        self,
        exchange: Exchange,
        operation: Operation,
        shares: Shares,
        limits: Limits,
        counters: Counters,
        load: OwnLoad,
    ) -> None:
        self.operation = operation
        operation.changed.append(self.ordered)
        self.exchange, self.shares, self.limits, self.counters = exchange, shares, limits, counters
        self.sessions: set[Session] = set()
        # Who waits with nothing owed, the longest first: before the first byte, with one piece of a message,
        # with several, and after a whole one.
        self.mute: OrderedDict[Session, None] = OrderedDict()
        self.begun: OrderedDict[Session, None] = OrderedDict()
        self.moving: OrderedDict[Session, None] = OrderedDict()
        self.idle: OrderedDict[Session, None] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()
        self.load = load
        self.too_busy = Reply(Verdict.REFUSED, retry_in=limits.shed_pushback)
        self.unsent = 0
        self.listener: socket.socket | None = None
        self.stop_listening: Callable[[], None] | None = None
        self.ending = False  # SIGTERM has come
        self.replaced = False  # and a newer process takes clients
        self.closing = False  # late comers after SIGTERM have been served
        self.giving_way = False  # a newer process takes what is new, or the end has come
        self.hurrying = False  # and it is near
        self.drained_at: float | None = None  # when operators had the router emptied
        self.shedding = False  # connections close at their next quiet moment
        self.turning_away = False  # and those that never have one are given one
        self.elsewhere = Reply(Verdict.REFUSED, retry_in=limits.busy_pushback)

    def now(self) -> float:
        return self.exchange.scheduler.monotonic()

    @property
    def most_unsent(self) -> float:
        return self.limits.all_unsent * self.shares.part

    def takes(self) -> bool:
        """What the platform is told that asks at the clients' address, where two processes are one router."""
        return not self.operation.draining and (not self.ending or self.replaced)

    def ordered(self, name: str) -> None:
        """Operators have the router emptied, or put back to work: then all is as before, at once."""
        if name == DRAIN and self.operation.draining:
            self.drained_at = self.now()
        elif name == DRAIN:
            self.drained_at = None
            self.empty()

    @property
    def left(self) -> str:
        return f"{len(self.sessions)} connections, {len(self.exchange.open)} requests open"

    def empty(self) -> None:
        """At each beat: close what is quiet where connections are to go, and go on with a drain.

        Late comers are served first, then connections close as they fall quiet. The rest gets nothing new
        done, which makes it quiet, and at last what is open is given up: no client is left without a word.
        """
        self.shedding, self.turning_away = self.giving_way, self.hurrying
        if self.drained_at is not None:
            since, limits = self.now() - self.drained_at, self.limits
            self.shedding = self.shedding or since >= limits.drain_accept
            self.turning_away = self.turning_away or since >= limits.drain_refuse
            if since >= limits.drain_surrender:
                self.exchange.surrender()
            if since >= limits.drain_close:
                for session in list(self.sessions):
                    self.counters.add("closed_by_drain")
                    session.stream.close()
        if self.shedding:
            for session in list(self.sessions):
                session.close_if_quiet()

    def closed_for(self) -> str:
        """Why this process takes no clients; empty while it does."""
        if self.ending:
            return "this process is ending"
        if self.operation.draining:
            return f"draining: {self.left}"
        return "" if self.listener is not None else "starting: bulletin and connections are not there yet"

    def listen(self, listener: socket.socket) -> None:
        listener.listen(door.BACKLOG)
        self.listener = listener
        self.stop_listening = door.on_connection(listener, self.accepted, self.limits.accepts)

    def close_door(self) -> None:
        """Take in all that waits to be accepted, then close: what is left in the queue would be reset."""
        if self.listener is None or self.stop_listening is None:
            return
        self.stop_listening()
        try:
            while True:
                self.accepted(self.listener.accept()[0])
        except OSError:
            pass
        self.listener.close()
        self.listener = self.stop_listening = None

    def accepted(self, connection: socket.socket) -> None:
        limits = self.limits
        if len(self.sessions) >= self.shares.clients and not self.make_room():
            self.counters.add("turned_away_connections")
            return connection.close()
        self.counters.add("client_connections")
        connection.setblocking(False)
        stream = IOStream(
            connection, max_buffer_size=2 * limits.client_frame, read_chunk_size=limits.client_chunk
        )
        stream.set_nodelay(True)
        session = Session(self, stream)
        self.sessions.add(session)
        task = asyncio.ensure_future(self.serve(session))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, session: Session) -> None:
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
            if session.waits is not None:
                session.waits.pop(session, None)

    def make_room(self) -> bool:
        """Close one connection on which nothing is owed, with no search among them all.

        First who has sent no byte, then who has stopped inside a message: thousands that connect and say
        nothing would else push out who asks. Then the one idle for longest: its client sends again what
        crosses the close. Who goes on with a message makes room only where there is nobody else.
        """
        limits, now = self.limits, self.now()
        order = (
            (self.mute, 0.0),
            (self.begun, 0.0),
            (self.moving, limits.moving),
            (self.idle, 0.0),
            (self.moving, 0.0),
        )
        for waiting, least in order:
            longest = next(iter(waiting), None)
            if longest is not None and now - longest.used >= least:
                del waiting[longest]
                longest.stream.close()
                self.sessions.discard(longest)
                self.counters.add("closed_idle_clients" if waiting is self.idle else "closed_silent_clients")
                return True
        return False

    def sweep(self) -> None:
        """Close the connections whose client has long taken nothing, sent nothing whole or asked nothing."""
        now, limits = self.now(), self.limits
        for session in list(self.sessions):
            since = session.half
            if since is None and not session.spoken:
                since = session.began
            if session.unsent and now - session.moved > limits.client_stall:
                self.counters.add("slow_readers")
            elif since is not None and not session.open and now - since > limits.client_silent:
                self.counters.add("silent_clients")
            elif not session.open and not session.unsent and now - session.used > limits.client_idle:
                self.counters.add("closed_idle_clients")
            else:
                continue
            session.stream.close()
