"""One client connection: its requests, one answer to each, and how it is closed."""

import asyncio
from collections import OrderedDict
from functools import partial

from tornado.iostream import IOStream

from paddlequay.net.clients.answer_writer import AnswerWriter
from paddlequay.net.clients.client_input import ClientInput
from paddlequay.net.clients.client_messages import FieldError, format_answer, parse_request
from paddlequay.net.clients.idle_sessions import IdleSession
from paddlequay.net.clients.open_requests import OpenRequests
from paddlequay.net.clients.session_front import SessionFront
from paddlequay.net.clients.waiting_calls import WaitingCalls
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedMessageError
from paddlequay.requests.messages import AnswerStatus, Buffer, FinalAnswer
from paddlequay.routing.interface import Idempotency

MIN_TIME_TO_LIVE_S = 0.001
LINGER_S = 0.3  # in seconds: what still comes is read for so long where a fault ends a connection


class ClientSession:
    """One client connection and the requests that are open on it. `SessionReader` reads for it."""

    __slots__ = (
        "connected_at", "consecutive_rejections", "ended", "front", "has_sent_message", "idle_queue", "input",
        "is_backpressured", "last_used_at", "linger_timer", "open_requests", "stream",
        "waiting_calls", "writer",
    )  # fmt: skip

    def __init__(self, front: SessionFront, stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.input = ClientInput(stream, front.limits, front.now)
        self.writer = AnswerWriter(front, stream)
        self.waiting_calls = WaitingCalls(front)
        self.open_requests = OpenRequests(front.exchange)
        self.last_used_at = self.connected_at = front.now()
        self.has_sent_message = False  # whether a complete message has come
        self.idle_queue: OrderedDict[IdleSession, None] | None = None  # its state, while nothing is owed
        self.consecutive_rejections = 0  # rejections and errors since the last other answer
        self.is_backpressured = False  # calls wait until the client takes its answers
        self.ended = False  # it gets no more, and what it sends is not handled
        self.linger_timer: asyncio.TimerHandle | None = None

    @property
    def is_only_rejected(self) -> bool:
        """Whether the client has had nothing but rejections and errors for long."""
        return self.consecutive_rejections >= self.front.limits.max_consecutive_rejections

    @property
    def has_open_requests(self) -> bool:
        """Whether a client is owed an answer here."""
        return bool(self.open_requests or self.waiting_calls)

    def update_idle_queue(self) -> None:
        """Move to the end of those in the same state, or out of them while something is owed."""
        if self.idle_queue is not None:
            self.idle_queue.pop(self, None)
            self.idle_queue = None
        busy = self.has_open_requests or self.writer.unsent_bytes
        if self.stream.closed() or (not self.ended and busy):
            return
        states = self.front.idle_sessions
        self.idle_queue = states.queue_for(self.ended, self.input.partial_reads, self.has_sent_message)
        self.idle_queue[self] = None

    def cancel(self, number: int) -> None:
        """The client waits for a call no longer."""
        self.waiting_calls.remove(number)
        self.open_requests.cancel(number)

    def queue_call(self, call: wire.ClientCall) -> None:
        """Check a call, and have it wait for what else has come. Raises `MalformedMessageError`."""
        number, front, counters = call.number, self.front, self.front.counters
        if number in self.open_requests or number in self.waiting_calls:
            raise MalformedMessageError("a message id that is open already")
        counters.add("requests")
        if call.method not in front.exchange.router.classes:
            counters.add("unknown_class")
            return self.send_error(number, "unknown class")
        kind = front.exchange.router.classes[call.method]
        if kind.idempotency is Idempotency.IDEMPOTENT and front.overload.should_shed():
            counters.add("rejected.busy")
            return self.answer(number, front.overload_answer)
        try:
            request = parse_request(call, kind, front.limits)
        except FieldError as error:
            counters.add("bad_fields")
            return self.send_error(number, str(error))
        if front.rejecting_new:
            return self.reject_waiting(number, "emptying")
        if len(self.open_requests) + len(self.waiting_calls) >= front.limits.client_streams:
            return self.reject_waiting(number, "too_many_streams")
        if request.body and front.queued_bytes + len(request.body) > front.max_queued:
            self.submit_waiting()
            if front.queued_bytes + len(request.body) > max(front.max_queued, len(request.body)):
                return self.reject_waiting(number, "too_many_open")
        self.waiting_calls.add(number, request, self.last_used_at)

    def submit_waiting(self) -> None:
        """Submit the calls that wait here.

        A client that takes its answers slowly gets no further ones begun, as closed on it would lose all;
        what is due by then, or waits where connections are to close, is rejected.
        """
        front, now = self.front, self.front.now()
        for number in list(self.waiting_calls):
            if self.stream.closed():
                return
            self.is_backpressured = self.writer.unsent_bytes > front.limits.max_client_unsent / 2
            call = self.waiting_calls[number]
            left = call.request.time_to_live - (now - call.read_at)
            if front.rejecting_new or (self.is_backpressured and front.closing_when_quiet):
                self.reject_waiting(number, "emptying")
            elif not self.is_backpressured:
                self.waiting_calls.remove(number)
                call.request.time_to_live = max(MIN_TIME_TO_LIVE_S, left)
                answer, gone = partial(self.answer, number), partial(self.input.is_disconnected, number)
                self.open_requests.submit(number, call.request, answer, gone)
            elif left <= front.limits.answer_margin + front.limits.sweep_interval:
                self.reject_waiting(number, "not_taken")

    def abandon_all(self) -> None:
        """Give all that is owed its final answer now."""
        for number in list(self.waiting_calls):
            self.reject_waiting(number, "given_up")
        self.open_requests.abandon_all()

    def reject_waiting(self, number: int, cause: str) -> None:
        """Reject what was not handed to the exchange."""
        self.waiting_calls.remove(number)
        self.front.counters.add(f"rejected.{cause}")
        self.answer(number, self.front.draining_answer)

    def send_error(self, number: int, why: str) -> None:
        """Answer what cannot be used."""
        self.consecutive_rejections += 1
        self.send(wire.error_answer(number, wire.FAILED, {"why": why}))

    def answer(self, number: int, answer: FinalAnswer) -> None:
        """Send the final answer of a call."""
        self.open_requests.remove(number)
        served = answer.status in (AnswerStatus.SERVED, AnswerStatus.NOT_MODIFIED)
        self.consecutive_rejections = 0 if served else self.consecutive_rejections + 1
        self.send(*format_answer(number, answer))

    def send(self, *pieces: Buffer) -> None:
        """Write without waiting."""
        self.last_used_at = self.front.now()
        self.writer.write(pieces, self.on_taken)

    def on_taken(self) -> None:
        """The system has taken an answer whole: go on with what waited for that."""
        if self.ended:
            return self.writer.shut_down()
        unsent = self.writer.unsent_bytes
        if self.is_backpressured and unsent <= self.front.limits.max_client_unsent / 2:
            self.is_backpressured = False
            asyncio.get_running_loop().call_soon(self.submit_waiting)
        if not unsent and not self.has_open_requests:
            self.update_idle_queue()
        if self.front.closing_when_quiet:
            self.close_if_quiet()

    def at_rest(self) -> bool:
        """Whether nothing is owed, unsent or unread; holds for the turn of the loop in which it is called."""
        busy = self.has_open_requests or self.writer.unsent_bytes or self.ended
        return not busy and self.input.is_quiet()

    def close_at_rest(self) -> bool:
        """The one way of closing where nothing is wrong. Half a message is not a request taken."""
        if not self.at_rest():
            return False
        self.stream.close()
        return True

    def close_without_message(self) -> bool:
        """Close at rest, or where no complete message has come, nor is unread.

        Thousands that send a byte each would push out clients with requests.
        """
        if self.has_sent_message or self.stream.closed() or self.input.completes_message():
            return self.close_at_rest()
        self.stream.close()
        return True

    def close_lingering(self) -> bool:
        """Close before the time for what still comes is over."""
        self.stream.close()
        return True

    def close_if_quiet(self) -> bool:
        """Close at a moment that costs nobody a request; a new connection is about to bring one."""
        age = self.front.now() - self.connected_at
        is_new = not self.has_sent_message and age < self.front.limits.new_connection_age
        if is_new or self.input.parser.partial or not self.close_at_rest():
            return False
        self.front.counters.add("closed_quiet_clients")
        return True

    def end(self) -> None:
        """End a connection at a fault, or at the last moment.

        What is owed is answered, nothing more is written; it closes once the client has, or after `LINGER_S`:
        a close over unread bytes would reset it, and what was just written would be lost with it.
        """
        if self.ended or self.stream.closed():
            return
        self.abandon_all()
        self.ended = True
        self.linger_timer = asyncio.get_running_loop().call_later(LINGER_S, self.stream.close)
        self.update_idle_queue()
        self.writer.shut_down()

    def close(self) -> None:
        """Close at once: the client waits for nothing any more."""
        self.stream.close()
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.waiting_calls.clear()
        self.open_requests.withdraw_all()
