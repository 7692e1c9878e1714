"""One client connection: messages in, one answer each, and what of them is not sent yet."""

import asyncio
import logging
import socket
from collections import OrderedDict
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from paddlequay import log
from paddlequay.asks import Open, Reply, Verdict
from paddlequay.interface import Effect
from paddlequay.net.client_words import FieldError, read_ask
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedError

if TYPE_CHECKING:
    from paddlequay.net.clients import Front

LOGGER = logging.getLogger(__name__)

JOINED_MOST = 16 * 1024  # a body up to this size is copied into one write, as a packet costs more than a copy


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
