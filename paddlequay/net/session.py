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

from paddlequay.net.client_messages import FieldError, format_answer, parse_request
from paddlequay.net.socket_state import peek_unread
from paddlequay.observability import log
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedMessageError
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer, PendingRequest
from paddlequay.routing.interface import AbandonRequest, Idempotency

if TYPE_CHECKING:
    from paddlequay.net.clients import ClientFront

LOGGER = logging.getLogger(__name__)

MAX_JOINED_BODY = (
    16 * 1024
)  # a body up to this size is copied into one write, as a packet costs more than a copy
# Seconds. A client that has left, or cancelled, is to draw no attempt 0.1 s later: these stay well under.
MAX_READ_AHEAD_S = (
    0.03  # for which calls wait to be made while more is there to be read: a cancel may lie behind
)
RECHECK_AFTER_S = 0.01  # after which a client seen to be there is looked at anew
LINGER_S = 0.3  # what still comes is read for so long where a fault ends a connection
MESSAGES_PER_PAUSE = 16  # messages read in one `client_pause` from who is only turned away


class ClientSession:
    """One client connection and the requests that are open on it.

    All that has come is read before what it asks is made: a cancel, or the client's end of the connection,
    holds for what stands before it. Half a close is taken for a close, as nothing tells them apart.
    """

    __slots__ = (
        "backlog_messages",
        "backlog_since",
        "checked_at",
        "connected_at",
        "consecutive_rejections",
        "ended",
        "front",
        "has_sent_message",
        "idle_queue",
        "is_backpressured",
        "last_taken_at",
        "last_used_at",
        "linger_timer",
        "messages_since_pause",
        "open_requests",
        "parser",
        "partial_reads",
        "partial_since",
        "pending_read",
        "stream",
        "unsent_bytes",
        "waiting_calls",
    )

    def __init__(self, front: "ClientFront", stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.parser = wire.ClientMessageParser(front.limits.max_client_frame)
        self.waiting_calls: dict[
            int, tuple[ClientRequest, float]
        ] = {}  # calls that are not made yet, and when they were read
        self.open_requests: dict[int, PendingRequest | None] = {}
        self.unsent_bytes = 0
        self.last_taken_at = self.last_used_at = self.connected_at = front.now()
        self.has_sent_message = False  # whether a whole message has come
        self.partial_since: float | None = None  # when the last byte came of a message that is not whole
        self.partial_reads = 0  # in which that message has come so far
        self.idle_queue: OrderedDict[ClientSession, None] | None = None  # among whom, while nothing is owed
        self.consecutive_rejections = 0  # refusals and errors since the last other answer
        self.messages_since_pause = 0  # messages since the last pause
        self.is_backpressured = False  # calls wait until the client takes its answers
        self.pending_read: asyncio.Future[bytes] | None = (
            None  # the read under way, or bytes not looked at yet
        )
        self.backlog_since: float | None = None  # since when there was always more to be read,
        self.backlog_messages = 0  # and the messages read since
        self.checked_at = -math.inf  # when the client was there, with nothing unread
        self.ended = False  # it gets no more, and what it says is not looked at
        self.linger_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        limits, reads = self.front.limits, 0
        try:
            while True:
                data = await self.read()
                reads += 1
                if not self.ended:
                    self.feed(data)
                if (
                    self.consecutive_rejections >= limits.max_consecutive_rejections
                    and self.messages_since_pause >= MESSAGES_PER_PAUSE
                ):
                    # Who is only turned away is read more slowly, which costs nobody else.
                    self.messages_since_pause = 0
                    await asyncio.sleep(limits.rejection_pause)
                elif self.backlog_since is not None and (
                    len(data) >= limits.client_read_size or reads % 4 == 0
                ):
                    # A read of what is there does not yield: one client would keep the loop to itself.
                    await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except Exception:
            self.front.counters.add("client_errors")
            LOGGER.exception("client_connection_failed")
        finally:
            self.stream.close()
            if self.linger_timer is not None:
                self.linger_timer.cancel()
            self.front.queued_bytes -= sum(len(ask.body) for ask, _ in self.waiting_calls.values())
            self.waiting_calls.clear()
            self.withdraw_all()

    async def read(self) -> bytes:
        """The next bytes. Once nothing more has come, what was read before is made."""
        limits, stream = self.front.limits, self.stream
        # The rest of a long message comes in few pieces, calls by the chunk: others have their turn.
        chunk = (
            limits.max_client_frame
            if len(self.parser.partial) >= limits.client_read_size
            else limits.client_read_size
        )
        stream.read_chunk_size = chunk
        self.pending_read = coming = asyncio.ensure_future(stream.read_bytes(chunk, partial=True))
        now = self.front.now()
        if not coming.done():
            self.backlog_since, self.backlog_messages, self.checked_at = None, 0, now
            if not self.has_sent_message and not self.partial_reads:
                # Mute only now: who sent with its connect is read first, and is not closed for the next.
                self.update_idle_queue()
            self.submit_waiting()
        else:
            self.backlog_since = now if self.backlog_since is None else self.backlog_since
            if now - self.backlog_since > MAX_READ_AHEAD_S:
                # A flood hides what was taken back: nothing begins for it, nor goes on.
                flood = (
                    self.consecutive_rejections >= limits.max_consecutive_rejections
                    and self.backlog_messages > 2 * limits.client_streams
                )
                self.abandon_all() if flood else self.submit_waiting()
        try:
            return await coming
        finally:
            self.pending_read = None
            del coming  # it keeps its error, which keeps this frame: the cycle collector comes seldom

    def feed(self, data: bytes) -> None:
        self.last_used_at = self.front.now()
        try:
            for message in self.parser.feed(data):
                self.has_sent_message = True
                self.messages_since_pause += 1
                self.backlog_messages += 1
                self.handle_message(message)
        except MalformedMessageError as error:
            # Nothing after it can be told apart: this connection ends, and no other.
            if self.front.counters.add_once("bad_client_bytes"):
                log.event(LOGGER, logging.WARNING, "bad_client_bytes", why=str(error))
            return self.end()
        except Exception:
            self.front.counters.add("client_errors")
            LOGGER.exception("client_message_failed")
            return self.end()
        self.partial_since = self.last_used_at if self.parser.partial else None
        self.partial_reads = self.partial_reads + 1 if self.parser.partial else 0
        self.update_idle_queue()

    @property
    def has_open_requests(self) -> bool:
        return bool(self.open_requests or self.waiting_calls)

    def update_idle_queue(self) -> None:
        """Move to the end of those it waits among, or out of them while something is owed."""
        if self.idle_queue is not None:
            self.idle_queue.pop(self, None)
            self.idle_queue = None
        if self.stream.closed() or (not self.ended and (self.has_open_requests or self.unsent_bytes)):
            return
        if self.ended:
            self.idle_queue = self.front.lingering
        elif self.partial_reads:
            self.idle_queue = (
                self.front.message_progressing if self.partial_reads > 1 else self.front.message_begun
            )
        else:
            self.idle_queue = self.front.idle if self.has_sent_message else self.front.silent
        self.idle_queue[self] = None

    def handle_message(self, message: wire.ClientMessage) -> None:
        match message:
            case wire.ReadinessQuery():
                self.send(wire.readiness_answer(message.number, self.front.accepts_requests()))
            case wire.CallsCancelled():
                for number in message.numbers:
                    self.unqueue(number)
                    item = self.open_requests.pop(number, None)
                    if item is not None:
                        self.front.exchange.withdraw(item)
            case wire.ClientCall():
                self.queue_call(message)

    def queue_call(self, call: wire.ClientCall) -> None:
        """Check a call, and have it wait for what else has come."""
        number, counters = call.number, self.front.counters
        if number in self.open_requests or number in self.waiting_calls:
            raise MalformedMessageError("a message id that is open already")
        counters.add("requests")
        if call.method not in self.front.exchange.router.classes:
            counters.add("unknown_class")
            return self.send_error(number, "unknown class")
        kind = self.front.exchange.router.classes[call.method]
        if kind.idempotency is Idempotency.IDEMPOTENT and self.front.overload.should_shed():
            counters.add("rejected.busy")
            return self.answer(number, self.front.overload_answer)
        try:
            ask = parse_request(call, kind, self.front.limits)
        except FieldError as error:
            counters.add("bad_fields")
            return self.send_error(number, str(error))
        if self.front.rejecting_new:
            return self.reject_waiting(number, "emptying")
        if len(self.open_requests) + len(self.waiting_calls) >= self.front.limits.client_streams:
            return self.reject_waiting(number, "too_many_streams")
        if ask.body and self.front.queued_bytes + len(ask.body) > self.front.max_queued:
            self.submit_waiting()
            if self.front.queued_bytes + len(ask.body) > max(self.front.max_queued, len(ask.body)):
                return self.reject_waiting(number, "too_many_open")
        self.waiting_calls[number] = ask, self.last_used_at
        self.front.queued_bytes += len(ask.body)

    def unqueue(self, number: int) -> tuple[ClientRequest, float] | None:
        waited = self.waiting_calls.pop(number, None)
        if waited is not None:
            self.front.queued_bytes -= len(waited[0].body)
        return waited

    def submit_waiting(self) -> None:
        """Have the exchange take what waits here. Who takes its answers slowly gets no further ones made, as
        closed on it would lose all; what is due by then, or waits where connections are to go, is refused."""
        front, now = self.front, self.front.now()
        for number in list(self.waiting_calls):
            if self.stream.closed():
                return
            self.is_backpressured = self.unsent_bytes > front.limits.max_client_unsent / 2
            ask, came = self.waiting_calls[number]
            left = ask.time_to_live - (now - came)
            if front.rejecting_new or (self.is_backpressured and front.closing_when_quiet):
                self.reject_waiting(number, "emptying")
            elif not self.is_backpressured:
                self.unqueue(number)
                ask.time_to_live = max(0.001, left)
                self.submit(number, ask)
            elif left <= front.limits.answer_margin + front.limits.sweep_interval:
                self.reject_waiting(number, "not_taken")

    def submit(self, number: int, ask: ClientRequest) -> None:
        # The answer may come before `ask` returns: then the place is gone again and stays so.
        self.open_requests[number] = None
        item = self.front.exchange.submit(
            ask, partial(self.answer, number), partial(self.is_disconnected, number)
        )
        if number in self.open_requests:
            self.open_requests[number] = item

    def is_disconnected(self, number: int) -> bool:
        """Whether the client has closed its connection or taken this request back, also where that is unread.

        One call of the system where nothing is unread, and none where that was seen `LOOK_AGAIN` ago.
        """
        if self.stream.closed():
            return True
        now = self.front.now()
        if now - self.checked_at < RECHECK_AFTER_S:
            return False
        came = self.unread_bytes()
        if came is None:
            self.stream.close()
            return True
        if not came:
            self.checked_at = now
            return False
        return wire.CANCEL in came and number in self.parser.cancelled_in(came)

    def unread_bytes(self) -> bytes | None:
        """What has come and was not looked at, or the first of it; None where the client has gone."""
        came, coming = (
            peek_unread(self.stream.socket, 2 * self.front.limits.client_read_size),
            self.pending_read,
        )
        if came is None or coming is None or not coming.done() or coming.cancelled() or coming.exception():
            return came
        return coming.result() + came

    def withdraw_all(self) -> None:
        for item in list(self.open_requests.values()):
            if item is not None:
                self.front.exchange.withdraw(item)
        self.open_requests.clear()

    def abandon_all(self) -> None:
        """Give all that is owed its final answer now."""
        for number in list(self.waiting_calls):
            self.reject_waiting(number, "given_up")
        for item in list(self.open_requests.values()):
            if item is not None:
                self.front.counters.add("abandoned")
                self.front.exchange.deliver(AbandonRequest(item.serial))
        self.withdraw_all()

    def reject_waiting(self, number: int, cause: str) -> None:
        """Turn away what was not handed to the exchange."""
        self.unqueue(number)
        self.front.counters.add(f"rejected.{cause}")
        self.answer(number, self.front.draining_answer)

    def send_error(self, number: int, why: str) -> None:
        """An error for what cannot be used."""
        self.consecutive_rejections += 1
        self.send(wire.error_answer(number, wire.FAILED, {"why": why}))

    def answer(self, number: int, reply: FinalAnswer) -> None:
        self.open_requests.pop(number, None)
        self.consecutive_rejections = (
            0
            if reply.status in (AnswerStatus.SERVED, AnswerStatus.NOT_MODIFIED)
            else self.consecutive_rejections + 1
        )
        self.send(*format_answer(number, reply))

    def send(self, *pieces: bytes | bytearray | memoryview) -> None:
        """Write without waiting: a slow reader must not hold up others, so its backlog is bounded instead."""
        if self.stream.closed():
            return
        size = sum(map(len, pieces))
        limits = self.front.limits
        self.last_used_at = self.front.now()
        if not self.unsent_bytes:
            self.last_taken_at = self.last_used_at
        if self.unsent_bytes + size > limits.max_client_unsent:
            self.front.counters.add("slow_readers")
            return self.stream.close()
        if self.front.unsent_bytes + size > self.front.max_unsent:
            # Whoever takes least of what is held for it, not whoever is answered next.
            self.front.counters.add("slow_readers")
            slowest = max(self.front.sessions, key=lambda session: session.unsent_bytes)
            slowest.stream.close()
            if slowest is self:
                return
        self.unsent_bytes += size
        self.front.unsent_bytes += size
        if size <= MAX_JOINED_BODY:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                done = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self.front.unsent_bytes -= size
            self.unsent_bytes -= size
            return
        self.front.counters.add("answer_bytes", size)
        if done.done():  # taken at once, as nearly always
            self.on_sent(size)
        else:
            done.add_done_callback(lambda _: self.on_sent(size))

    def on_sent(self, size: int) -> None:
        self.unsent_bytes -= size
        self.front.unsent_bytes -= size
        self.last_taken_at = self.front.now()
        if self.ended:
            return self.shut_down_write()
        if self.is_backpressured and self.unsent_bytes <= self.front.limits.max_client_unsent / 2:
            self.is_backpressured = False
            asyncio.get_running_loop().call_soon(self.submit_waiting)
        if not self.unsent_bytes and not self.has_open_requests:
            self.update_idle_queue()
        if self.front.closing_when_quiet:
            self.close_if_quiet()

    def at_rest(self) -> bool:
        """Nothing owed, nothing on its way out, nothing that came unread: asked in the turn of a close."""
        # While a read is under way, it has brought nothing and the stream holds nothing.
        if self.has_open_requests or self.unsent_bytes or self.ended or not self.stream.reading():
            return False
        return not peek_unread(self.stream.socket, 1)

    def close_at_rest(self) -> bool:
        """The one way of closing where nothing is wrong. Half a message is not a request taken."""
        if not self.at_rest():
            return False
        self.stream.close()
        return True

    def close_without_message(self) -> bool:
        """Close at rest, or where no whole message has ever come, nor lies unread: thousands that send a byte
        each would push out who asks."""
        if self.has_sent_message or self.stream.closed() or self.parser.completes(self.unread_bytes() or b""):
            return self.close_at_rest()
        self.stream.close()
        return True

    def close_lingering(self) -> bool:
        """Close before the time for what still comes is over."""
        self.stream.close()
        return True

    def close_if_quiet(self) -> bool:
        """Close at a moment that costs nobody a request; who has just connected is about to ask."""
        late_comer = (
            not self.has_sent_message
            and self.front.now() - self.connected_at < self.front.limits.new_connection_age
        )
        if late_comer or self.parser.partial or not self.close_at_rest():
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
        self.abandon_all()
        self.ended = True
        self.linger_timer = asyncio.get_running_loop().call_later(LINGER_S, self.stream.close)
        self.update_idle_queue()
        self.shut_down_write()

    def shut_down_write(self) -> None:
        """Tell the client that nothing follows what it has got."""
        if not self.unsent_bytes and not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)
