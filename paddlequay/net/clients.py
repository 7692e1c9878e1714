"""Clients' connections: requests in, one answer each."""

import asyncio
import logging
import re
import socket
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from paddlequay import log
from paddlequay.asks import Ask, Open, Reply, Verdict
from paddlequay.config import Limits
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.interface import Effect, RequestClass
from paddlequay.load import OwnLoad
from paddlequay.net import door
from paddlequay.operation import DRAIN, Operation
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedError
from paddlequay.shares import Shares

LOGGER = logging.getLogger(__name__)

HEX = re.compile(r"[0-9a-f]{16}")
JOINED_MOST = 16 * 1024  # a body up to this size is copied into one write, as a packet costs more than a copy


class FieldError(ValueError):
    """A field that cannot be used."""


def pick(fields: Mapping[Any, Any], name: str, pattern: re.Pattern[str], needed: bool = True) -> str | None:
    """A field's text, as it is."""
    value = fields.get(name)
    if value is None and not needed:
        return None
    if not isinstance(value, str) or not pattern.fullmatch(value):
        raise FieldError(f"field {name} cannot be used")
    return value


WHOLE = re.compile(r"[0-9]{1,9}")
MARK = re.compile(r"[01]")


def number(fields: Mapping[Any, Any], name: str, most: int, needed: bool = False) -> int | None:
    """A field's whole number, from 0 to `most`."""
    text = pick(fields, name, WHOLE, needed)
    if text is None:
        return None
    if int(text) > most:
        raise FieldError(f"field {name} is out of range")
    return int(text)


def read_ask(call: wire.Call, kind: RequestClass, limits: Limits) -> Ask:
    """A call's fields as a request in the exchange's terms.

    Nothing is passed on that a cache could not use or read: it would answer by an error, or close the
    connection on all that share it.
    """
    fields = call.fields
    if not all(isinstance(name, str) and isinstance(value, str) for name, value in fields.items()):
        raise FieldError("fields are strings")
    if len(call.body) > limits.client_body:
        raise FieldError("the body is longer than allowed")
    name = pick(fields, "row", HEX) or ""
    ttl = number(fields, "ttl", int(1000 * limits.ttl_most * kind.deadline), needed=True)
    if not ttl:
        raise FieldError("field ttl leaves no time")
    return Ask(
        id=pick(fields, "call", HEX) or "",
        class_name=call.method,
        ttl=ttl / 1000.0,
        name=name,
        key=int(name, 16),
        part=number(fields, "slice", limits.part_most),
        group=number(fields, "set", limits.group_most),
        body=call.body,
        known=pick(fields, "seen", HEX, False),
        retry=pick(fields, "rep", MARK, False) == "1",
    )


class Session:
    """One client connection and the requests that are open on it."""

    __slots__ = (
        *("began", "front", "half", "moved", "open", "pieces", "reader", "reading", "spoken", "stream"),
        *("turned", "unsent", "used", "waits"),
    )

    def __init__(self, front: "Front", stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.reader = wire.Reader(front.limits.client_frame)
        self.open: dict[int, Open | None] = {}
        self.unsent = 0
        self.moved = self.used = self.began = front.now()
        self.spoken = False  # whether a whole message has come
        self.half: float | None = None  # when the last byte came of a message that is not whole
        self.pieces = 0  # in which that message has come so far
        self.waits: OrderedDict[Session, None] | None = None  # among whom, while nothing is owed
        self.turned = 0  # refusals and errors since the last other answer
        self.reading = False  # nothing that came is still to be looked at

    async def run(self) -> None:
        counters, reads = self.front.counters, 0
        try:
            while True:
                self.reading = True
                coming = asyncio.ensure_future(
                    self.stream.read_bytes(self.front.limits.client_chunk, partial=True)
                )
                if not reads and not coming.done():
                    # Mute only now: who sent with its connect is read first, and is not closed for the next.
                    self.waits = self.front.mute
                    self.front.mute[self] = None
                data = await coming
                self.reading = False
                self.used = self.front.now()
                for message in self.reader.feed(data):
                    self.spoken = True
                    self.take(message)
                self.half = self.used if self.reader.rest else None
                self.pieces = self.pieces + 1 if self.reader.rest else 0
                self.place()
                while self.unsent > self.front.limits.client_unsent / 2:
                    # Who takes its answers slowly gets no further ones made; closed on, it would lose all.
                    await asyncio.sleep(self.front.limits.client_pause)
                # A read of what is there already does not yield: one client at full speed would keep the loop
                # to itself. One that is only turned away is read more slowly, which costs nobody else.
                reads += 1
                slow = self.turned >= self.front.limits.client_turned
                if slow or len(data) == self.front.limits.client_chunk or reads % 4 == 0:
                    await asyncio.sleep(self.front.limits.client_pause if slow else 0)
        except StreamClosedError:
            pass
        except MalformedError as error:
            # Nothing after it can be told apart: this connection ends, and no other.
            if counters.add_once("bad_client_bytes"):
                log.event(LOGGER, logging.WARNING, "bad_client_bytes", why=str(error))
        except Exception:
            counters.add("client_errors")
            LOGGER.exception("client_connection_failed")
        finally:
            self.stream.close()
            for item in list(self.open.values()):
                if item is not None:
                    self.front.exchange.withdraw(item)
            self.open.clear()

    def place(self) -> None:
        """Move to the end of those it waits among, or out of them while something is owed."""
        if self.waits is not None:
            self.waits.pop(self, None)
            self.waits = None
        if not self.open and not self.unsent and not self.stream.closed():
            if self.pieces:
                self.waits = self.front.moving if self.pieces > 1 else self.front.begun
            else:
                self.waits = self.front.idle
            self.waits[self] = None

    def take(self, message: wire.Message) -> None:
        match message:
            case wire.Alive():
                self.send(wire.alive_answer(message.number, self.front.takes()))
            case wire.Withdrawn():
                for number in message.numbers:
                    item = self.open.pop(number, None)
                    if item is not None:
                        self.front.exchange.withdraw(item)
            case wire.Call():
                self.call(message)

    def call(self, call: wire.Call) -> None:
        number, counters = call.number, self.front.counters
        if number in self.open:
            raise MalformedError("a message id that is open already")
        counters.add("requests")
        if call.method not in self.front.exchange.router.kinds:
            counters.add("unknown_class")
            return self.reject(number, "unknown class")
        kind = self.front.exchange.router.kinds[call.method]
        if kind.effect is Effect.SAFE and self.front.load.sheds():
            counters.add("refused.busy")
            return self.answer(number, self.front.too_busy)
        try:
            ask = read_ask(call, kind, self.front.limits)
        except FieldError as error:
            counters.add("bad_fields")
            return self.reject(number, str(error))
        if self.front.turning_away:
            counters.add("refused.emptying")
            return self.answer(number, self.front.elsewhere)
        if len(self.open) >= self.front.limits.client_streams:
            counters.add("refused.too_many_streams")
            return self.answer(number, Reply(Verdict.REFUSED, retry_in=self.front.limits.busy_pushback))
        # The answer may come before `ask` returns: then the place is gone again and stays so.
        self.open[number] = None
        item = self.front.exchange.ask(ask, lambda reply: self.answer(number, reply))
        if number in self.open:
            self.open[number] = item

    def reject(self, number: int, why: str) -> None:
        """An error for what cannot be used."""
        self.turned += 1
        self.send(wire.error_answer(number, wire.FAILED, {"why": why}))

    def answer(self, number: int, reply: Reply) -> None:
        self.open.pop(number, None)
        self.turned = 0 if reply.verdict in (Verdict.SERVED, Verdict.UNCHANGED) else self.turned + 1
        match reply.verdict:
            case Verdict.SERVED:
                self.send(*wire.served_answer(number, reply.body, {}))
            case Verdict.UNCHANGED:
                self.send(*wire.served_answer(number, b"", {"current": "1"}))
            case Verdict.REFUSED:
                wait = reply.retry_in
                fields = {} if wait is None else {"pushback": str(max(1, round(wait * 1000)))}
                self.send(wire.error_answer(number, wire.REFUSED, fields))
            case Verdict.FAILED:
                self.send(wire.error_answer(number, wire.FAILED, {}))

    def send(self, *pieces: bytes | bytearray | memoryview) -> None:
        """Write without waiting: a slow reader must not hold up others, so its backlog is bounded instead."""
        if self.stream.closed():
            return
        size = sum(map(len, pieces))
        limits = self.front.limits
        self.used = self.front.now()
        if not self.unsent:
            self.moved = self.used
        if self.unsent + size > limits.client_unsent:
            self.front.counters.add("slow_readers")
            return self.stream.close()
        if self.front.unsent + size > self.front.most_unsent:
            # Whoever takes least of what is held for it, not whoever is answered next.
            self.front.counters.add("slow_readers")
            slowest = max(self.front.sessions, key=lambda session: session.unsent)
            slowest.stream.close()
            if slowest is self:
                return
        self.unsent += size
        self.front.unsent += size
        if size <= JOINED_MOST:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                done = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self.front.unsent -= size
            self.unsent -= size
            return
        self.front.counters.add("answer_bytes", size)
        if done.done():  # taken at once, as nearly always
            self.sent(size)
        else:
            done.add_done_callback(lambda _: self.sent(size))

    def sent(self, size: int) -> None:
        self.unsent -= size
        self.front.unsent -= size
        self.moved = self.front.now()
        if not self.unsent and not self.open:
            self.place()
        if self.front.shedding:
            self.close_if_quiet()

    def quiet(self) -> bool:
        """Nothing owed, nothing on its way out, nothing that came unread, nor a part of a message."""
        if self.open or self.unsent or self.reader.rest or not self.reading or self.stream.closed():
            return False
        try:
            return not self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def close_if_quiet(self) -> bool:
        """Close at a moment that costs nobody a request; who has just connected is about to ask."""
        late_comer = not self.spoken and self.front.now() - self.began < self.front.limits.late_comer
        if late_comer or not self.quiet():
            return False
        self.stream.close()
        self.front.counters.add("closed_quiet_clients")
        return True


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
