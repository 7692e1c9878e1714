"""One client connection: messages in, one answer each, and what of them is not sent yet."""

import asyncio
import contextlib
import logging
import math
import socket
from collections import OrderedDict
from functools import partial
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.net.client_words import FieldError, read_ask, write_reply
from paddlequay.net.unread import unread
from paddlequay.observability import log
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedError
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer, PendingRequest
from paddlequay.routing.interface import AbandonRequest, Idempotency

if TYPE_CHECKING:
    from paddlequay.net.clients import ClientFront

LOGGER = logging.getLogger(__name__)

JOINED_MOST = 16 * 1024  # a body up to this size is copied into one write, as a packet costs more than a copy
# Seconds. A client that has left, or cancelled, is to draw no attempt 0.1 s later: these stay well under.
READ_AHEAD = 0.03  # for which calls wait to be made while more is there to be read: a cancel may lie behind
LOOK_AGAIN = 0.01  # after which a client seen to be there is looked at anew
LINGER = 0.3  # what still comes is read for so long where a fault ends a connection
PACE = 16  # messages read in one `client_pause` from who is only turned away


class Session:
    """One client connection and the requests that are open on it.

    All that has come is read before what it asks is made: a cancel, or the client's end of the connection,
    holds for what stands before it. Half a close is taken for a close, as nothing tells them apart.
    """

    __slots__ = (
        *("ahead", "began", "behind", "coming", "ended", "front", "half", "held", "lingering", "looked"),
        *("moved", "open", "paced", "pieces", "queue", "reader", "spoken", "stream"),
        *("turned", "unsent", "used", "waits"),
    )

    def __init__(self, front: "ClientFront", stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.reader = wire.Reader(front.limits.max_client_frame)
        self.queue: dict[
            int, tuple[ClientRequest, float]
        ] = {}  # calls that are not made yet, and when they were read
        self.open: dict[int, PendingRequest | None] = {}
        self.unsent = 0
        self.moved = self.used = self.began = front.now()
        self.spoken = False  # whether a whole message has come
        self.half: float | None = None  # when the last byte came of a message that is not whole
        self.pieces = 0  # in which that message has come so far
        self.waits: OrderedDict[Session, None] | None = None  # among whom, while nothing is owed
        self.turned = 0  # refusals and errors since the last other answer
        self.paced = 0  # messages since the last pause
        self.held = False  # calls wait until the client takes its answers
        self.coming: asyncio.Future[bytes] | None = None  # the read under way, or bytes not looked at yet
        self.behind: float | None = None  # since when there was always more to be read,
        self.ahead = 0  # and the messages read since
        self.looked = -math.inf  # when the client was there, with nothing unread
        self.ended = False  # it gets no more, and what it says is not looked at
        self.lingering: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        limits, reads = self.front.limits, 0
        try:
            while True:
                data = await self.read()
                reads += 1
                if not self.ended:
                    self.feed(data)
                if self.turned >= limits.max_consecutive_rejections and self.paced >= PACE:
                    # Who is only turned away is read more slowly, which costs nobody else.
                    self.paced = 0
                    await asyncio.sleep(limits.rejection_pause)
                elif self.behind is not None and (len(data) >= limits.client_read_size or reads % 4 == 0):
                    # A read of what is there does not yield: one client would keep the loop to itself.
                    await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except Exception:
            self.front.counters.add("client_errors")
            LOGGER.exception("client_connection_failed")
        finally:
            self.stream.close()
            if self.lingering is not None:
                self.lingering.cancel()
            self.front.queued_bytes -= sum(len(ask.body) for ask, _ in self.queue.values())
            self.queue.clear()
            self.withdraw()

    async def read(self) -> bytes:
        """The next bytes. Once nothing more has come, what was read before is made."""
        limits, stream = self.front.limits, self.stream
        # The rest of a long message comes in few pieces, calls by the chunk: others have their turn.
        chunk = (
            limits.max_client_frame
            if len(self.reader.rest) >= limits.client_read_size
            else limits.client_read_size
        )
        stream.read_chunk_size = chunk
        self.coming = coming = asyncio.ensure_future(stream.read_bytes(chunk, partial=True))
        now = self.front.now()
        if not coming.done():
            self.behind, self.ahead, self.looked = None, 0, now
            if not self.spoken and not self.pieces:
                # Mute only now: who sent with its connect is read first, and is not closed for the next.
                self.place()
            self.make()
        else:
            self.behind = now if self.behind is None else self.behind
            if now - self.behind > READ_AHEAD:
                # A flood hides what was taken back: nothing begins for it, nor goes on.
                flood = (
                    self.turned >= limits.max_consecutive_rejections
                    and self.ahead > 2 * limits.client_streams
                )
                self.give_up() if flood else self.make()
        try:
            return await coming
        finally:
            self.coming = None
            del coming  # it keeps its error, which keeps this frame: the cycle collector comes seldom

    def feed(self, data: bytes) -> None:
        self.used = self.front.now()
        try:
            for message in self.reader.feed(data):
                self.spoken = True
                self.paced += 1
                self.ahead += 1
                self.take(message)
        except MalformedError as error:
            # Nothing after it can be told apart: this connection ends, and no other.
            if self.front.counters.add_once("bad_client_bytes"):
                log.event(LOGGER, logging.WARNING, "bad_client_bytes", why=str(error))
            return self.end()
        except Exception:
            self.front.counters.add("client_errors")
            LOGGER.exception("client_message_failed")
            return self.end()
        self.half = self.used if self.reader.rest else None
        self.pieces = self.pieces + 1 if self.reader.rest else 0
        self.place()

    @property
    def owed(self) -> bool:
        return bool(self.open or self.queue)

    def place(self) -> None:
        """Move to the end of those it waits among, or out of them while something is owed."""
        if self.waits is not None:
            self.waits.pop(self, None)
            self.waits = None
        if self.stream.closed() or (not self.ended and (self.owed or self.unsent)):
            return
        if self.ended:
            self.waits = self.front.half_closed
        elif self.pieces:
            self.waits = self.front.message_progressing if self.pieces > 1 else self.front.message_begun
        else:
            self.waits = self.front.idle if self.spoken else self.front.silent
        self.waits[self] = None

    def take(self, message: wire.Message) -> None:
        match message:
            case wire.Alive():
                self.send(wire.alive_answer(message.number, self.front.accepts_requests()))
            case wire.Withdrawn():
                for number in message.numbers:
                    self.unqueue(number)
                    item = self.open.pop(number, None)
                    if item is not None:
                        self.front.exchange.withdraw(item)
            case wire.Call():
                self.call(message)

    def call(self, call: wire.Call) -> None:
        """Check a call, and have it wait for what else has come."""
        number, counters = call.number, self.front.counters
        if number in self.open or number in self.queue:
            raise MalformedError("a message id that is open already")
        counters.add("requests")
        if call.method not in self.front.exchange.router.classes:
            counters.add("unknown_class")
            return self.reject(number, "unknown class")
        kind = self.front.exchange.router.classes[call.method]
        if kind.idempotency is Idempotency.IDEMPOTENT and self.front.overload.should_shed():
            counters.add("rejected.busy")
            return self.answer(number, self.front.overload_answer)
        try:
            ask = read_ask(call, kind, self.front.limits)
        except FieldError as error:
            counters.add("bad_fields")
            return self.reject(number, str(error))
        if self.front.rejecting_new:
            return self.refuse(number, "emptying")
        if len(self.open) + len(self.queue) >= self.front.limits.client_streams:
            return self.refuse(number, "too_many_streams")
        if ask.body and self.front.queued_bytes + len(ask.body) > self.front.max_queued:
            self.make()
            if self.front.queued_bytes + len(ask.body) > max(self.front.max_queued, len(ask.body)):
                return self.refuse(number, "too_many_open")
        self.queue[number] = ask, self.used
        self.front.queued_bytes += len(ask.body)

    def unqueue(self, number: int) -> tuple[ClientRequest, float] | None:
        waited = self.queue.pop(number, None)
        if waited is not None:
            self.front.queued_bytes -= len(waited[0].body)
        return waited

    def make(self) -> None:
        """Have the exchange take what waits here. Who takes its answers slowly gets no further ones made, as
        closed on it would lose all; what is due by then, or waits where connections are to go, is refused."""
        front, now = self.front, self.front.now()
        for number in list(self.queue):
            if self.stream.closed():
                return
            self.held = self.unsent > front.limits.max_client_unsent / 2
            ask, came = self.queue[number]
            left = ask.time_to_live - (now - came)
            if front.rejecting_new or (self.held and front.closing_when_quiet):
                self.refuse(number, "emptying")
            elif not self.held:
                self.unqueue(number)
                ask.time_to_live = max(0.001, left)
                self.begin(number, ask)
            elif left <= front.limits.answer_margin + front.limits.sweep_interval:
                self.refuse(number, "not_taken")

    def begin(self, number: int, ask: ClientRequest) -> None:
        # The answer may come before `ask` returns: then the place is gone again and stays so.
        self.open[number] = None
        item = self.front.exchange.submit(ask, partial(self.answer, number), partial(self.gone, number))
        if number in self.open:
            self.open[number] = item

    def gone(self, number: int) -> bool:
        """Whether the client has closed its connection or taken this request back, also where that is unread.

        One call of the system where nothing is unread, and none where that was seen `LOOK_AGAIN` ago.
        """
        if self.stream.closed():
            return True
        now = self.front.now()
        if now - self.looked < LOOK_AGAIN:
            return False
        came = self.unread()
        if came is None:
            self.stream.close()
            return True
        if not came:
            self.looked = now
            return False
        return wire.CANCEL in came and number in self.reader.withdrawn(came)

    def unread(self) -> bytes | None:
        """What has come and was not looked at, or the first of it; None where the client has gone."""
        came, coming = unread(self.stream.socket, 2 * self.front.limits.client_read_size), self.coming
        if came is None or coming is None or not coming.done() or coming.cancelled() or coming.exception():
            return came
        return coming.result() + came

    def withdraw(self) -> None:
        for item in list(self.open.values()):
            if item is not None:
                self.front.exchange.withdraw(item)
        self.open.clear()

    def give_up(self) -> None:
        """Give all that is owed its final answer now."""
        for number in list(self.queue):
            self.refuse(number, "given_up")
        for item in list(self.open.values()):
            if item is not None:
                self.front.counters.add("abandoned")
                self.front.exchange.deliver(AbandonRequest(item.serial))
        self.withdraw()

    def refuse(self, number: int, cause: str) -> None:
        """Turn away what was not handed to the exchange."""
        self.unqueue(number)
        self.front.counters.add(f"rejected.{cause}")
        self.answer(number, self.front.draining_answer)

    def reject(self, number: int, why: str) -> None:
        """An error for what cannot be used."""
        self.turned += 1
        self.send(wire.error_answer(number, wire.FAILED, {"why": why}))

    def answer(self, number: int, reply: FinalAnswer) -> None:
        self.open.pop(number, None)
        self.turned = (
            0 if reply.status in (AnswerStatus.SERVED, AnswerStatus.NOT_MODIFIED) else self.turned + 1
        )
        self.send(*write_reply(number, reply))

    def send(self, *pieces: bytes | bytearray | memoryview) -> None:
        """Write without waiting: a slow reader must not hold up others, so its backlog is bounded instead."""
        if self.stream.closed():
            return
        size = sum(map(len, pieces))
        limits = self.front.limits
        self.used = self.front.now()
        if not self.unsent:
            self.moved = self.used
        if self.unsent + size > limits.max_client_unsent:
            self.front.counters.add("slow_readers")
            return self.stream.close()
        if self.front.unsent_bytes + size > self.front.max_unsent:
            # Whoever takes least of what is held for it, not whoever is answered next.
            self.front.counters.add("slow_readers")
            slowest = max(self.front.sessions, key=lambda session: session.unsent)
            slowest.stream.close()
            if slowest is self:
                return
        self.unsent += size
        self.front.unsent_bytes += size
        if size <= JOINED_MOST:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                done = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self.front.unsent_bytes -= size
            self.unsent -= size
            return
        self.front.counters.add("answer_bytes", size)
        if done.done():  # taken at once, as nearly always
            self.sent(size)
        else:
            done.add_done_callback(lambda _: self.sent(size))

    def sent(self, size: int) -> None:
        self.unsent -= size
        self.front.unsent_bytes -= size
        self.moved = self.front.now()
        if self.ended:
            return self.shut()
        if self.held and self.unsent <= self.front.limits.max_client_unsent / 2:
            self.held = False
            asyncio.get_running_loop().call_soon(self.make)
        if not self.unsent and not self.owed:
            self.place()
        if self.front.closing_when_quiet:
            self.close_if_quiet()

    def at_rest(self) -> bool:
        """Nothing owed, nothing on its way out, nothing that came unread: asked in the turn of a close."""
        # While a read is under way, it has brought nothing and the stream holds nothing.
        if self.owed or self.unsent or self.ended or not self.stream.reading():
            return False
        return not unread(self.stream.socket, 1)

    def close_at_rest(self) -> bool:
        """The one way of closing where nothing is wrong. Half a message is not a request taken."""
        if not self.at_rest():
            return False
        self.stream.close()
        return True

    def close_unspoken(self) -> bool:
        """Close at rest, or where no whole message has ever come, nor lies unread: thousands that send a byte
        each would push out who asks."""
        if self.spoken or self.stream.closed() or self.reader.completes(self.unread() or b""):
            return self.close_at_rest()
        self.stream.close()
        return True

    def close_parting(self) -> bool:
        """Close before the time for what still comes is over."""
        self.stream.close()
        return True

    def close_if_quiet(self) -> bool:
        """Close at a moment that costs nobody a request; who has just connected is about to ask."""
        late_comer = not self.spoken and self.front.now() - self.began < self.front.limits.new_connection_age
        if late_comer or self.reader.rest or not self.close_at_rest():
            return False
        self.front.counters.add("closed_quiet_clients")
        return True

    def end(self) -> None:
        """End a connection at a fault, or at the last moment.

        What is owed is answered, nothing more is written; it closes once the client has, or after `LINGER`:
        a close over unread bytes would reset it, and what was just written would be lost with it.
        """
        if self.ended or self.stream.closed():
            return
        self.give_up()
        self.ended = True
        self.lingering = asyncio.get_running_loop().call_later(LINGER, self.stream.close)
        self.place()
        self.shut()

    def shut(self) -> None:
        """Tell the client that nothing follows what it has got."""
        if not self.unsent and not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)
