"""Owns one client connection: its requests, the single answer to each, and the close of the connection."""

import asyncio
from collections import OrderedDict
from functools import partial

from tornado.iostream import IOStream

from paddlequay.net.clients.answer_writer import AnswerWriter
from paddlequay.net.clients.client_input import ClientInput
from paddlequay.net.clients.client_messages import FieldError, format_answer, parse_request
from paddlequay.net.clients.idle_sessions import IdleSession
from paddlequay.net.clients.lingering_close import LingeringClose
from paddlequay.net.clients.open_requests import OpenRequests
from paddlequay.net.clients.session_front import ClientSessionFront
from paddlequay.net.clients.waiting_calls import WaitingCalls
from paddlequay.net.socket_state import is_hung_up
from paddlequay.net.stream_errors import release_error_frames
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedMessageError
from paddlequay.requests.messages import AnswerStatus, Buffer, ClientRequest, FinalAnswer
from paddlequay.routing.interface import Idempotency

MIN_TIME_TO_LIVE_S = 0.001
BACKPRESSURE_RATIO = 0.5  # calls of a client wait while more than this part of its limit is unsent
MAX_ANSWER_HEAD = 64  # bytes of a served answer around its body, at most


class ClientSession:
    """One client connection and its open requests; `SessionReader` reads its messages.

    Attributes:
        has_sent_message: Whether the client has sent a complete message.
        idle_queue: The queue of `IdleSessions` that contains this session; None while an answer is
            pending or unsent.
        consecutive_rejections: The number of rejections and errors since the last served answer.
        is_backpressured: Whether calls wait, or some of them waited, because the client reads its answers
            slowly; until no call waits.
        ended: Whether this side has ended the connection: nothing more is written and no message handled.
    """

    __slots__ = (
        "connected_at", "consecutive_rejections", "ended", "front", "has_sent_message", "idle_queue", "input",
        "is_backpressured", "last_used_at", "lingering_close", "open_requests", "stream",
        "waiting_calls", "writer",
    )  # fmt: skip

    def __init__(self, front: ClientSessionFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.input = ClientInput(stream, front.limits, front.now)
        self.writer = AnswerWriter(front, stream)
        self.waiting_calls = WaitingCalls(front)
        self.open_requests = OpenRequests(front.exchange)
        self.connected_at = front.now()
        self.last_used_at = self.connected_at
        self.has_sent_message = False
        self.idle_queue: OrderedDict[IdleSession, None] | None = None
        self.consecutive_rejections = 0
        self.is_backpressured = False
        self.ended = False
        self.lingering_close: LingeringClose | None = None

    @property
    def is_only_rejected(self) -> bool:
        """Returns whether the last `max_consecutive_rejections` or more answers were rejections or errors."""
        return self.consecutive_rejections >= self.front.limits.max_consecutive_rejections

    @property
    def has_open_requests(self) -> bool:
        """Returns whether a request or call of this connection has no answer yet."""
        return bool(self.open_requests or self.waiting_calls)

    def update_idle_queue(self) -> None:
        """Moves the session to the end of the idle queue for its state; removes it if it is in use."""
        if self.idle_queue is not None:
            self.idle_queue.pop(self, None)
            self.idle_queue = None
        is_busy = self.has_open_requests or self.writer.unsent_bytes
        if self.stream.closed() or (not self.ended and is_busy):
            return
        queues = self.front.idle_sessions
        self.idle_queue = queues.queue_for(self.ended, self.input.partial_reads, self.has_sent_message)
        self.idle_queue[self] = None

    def cancel(self, number: int) -> None:
        """Cancels a call that the client no longer waits for."""
        self.waiting_calls.remove(number)
        self.open_requests.cancel(number)

    def queue_call(self, call: wire.ClientCall) -> None:
        """Checks a call and queues it until all received bytes are read; answers an invalid call at once.

        Raises:
            MalformedMessageError: Another call or request of this connection has the same number.
        """
        number = call.number
        counters = self.front.counters
        if number in self.open_requests or number in self.waiting_calls:
            raise MalformedMessageError(f"message id {number} is already in use by an open request")
        counters.add("requests")
        request_class = self.front.exchange.router.classes.get(call.method)
        if request_class is None:
            counters.add("unknown_class")
            self.send_error(number, "unknown class")
            return
        if request_class.idempotency is Idempotency.IDEMPOTENT and self.front.overload.should_shed():
            counters.add("rejected.busy")
            self.answer(number, self.front.overload_answer)
            return
        try:
            request = parse_request(call, request_class, self.front.limits)
        except FieldError as error:
            counters.add("bad_fields")
            self.send_error(number, str(error))
            return
        cause = self.rejection_cause(request)
        if cause is not None:
            self.reject_waiting(number, cause)
            return
        self.waiting_calls.add(number, request, self.last_used_at)

    def rejection_cause(self, request: ClientRequest) -> str | None:
        """Returns the counter suffix of the cause for which a call must be rejected; None to queue it.

        If the bodies of waiting calls leave no capacity for this one, submits the waiting calls first.
        """
        front = self.front
        if front.rejects_new_calls:
            return "emptying"
        if len(self.open_requests) + len(self.waiting_calls) >= front.limits.client_streams:
            return "too_many_streams"
        size = len(request.body)
        if size and front.queued_bytes + size > front.max_queued:
            self.submit_waiting()
            if front.queued_bytes + size > max(front.max_queued, size):
                return "too_many_open"
        return None

    def submit_waiting(self) -> None:
        """Submits the waiting calls to the exchange, unless the client does not read its answers.

        No further answers are produced for a slow reader, because there may be no memory for them. Its calls
        are rejected when their deadline is near or the connection is about to close.
        """
        now = self.front.now()
        for number in list(self.waiting_calls):
            if self.stream.closed():
                return
            self.submit_or_reject(number, now)
        if not self.waiting_calls:
            self.is_backpressured = False

    def submit_or_reject(self, number: int, now: float) -> None:
        """Submits or rejects a waiting call, or lets it wait until the client has read more answers."""
        front = self.front
        must_wait = self.must_wait()
        self.is_backpressured = self.is_backpressured or must_wait
        call = self.waiting_calls[number]
        time_left = call.request.time_to_live - (now - call.read_at)
        if front.rejects_new_calls or (must_wait and front.closing_when_quiet):
            self.reject_waiting(number, "emptying")
        elif not must_wait:
            self.waiting_calls.remove(number)
            call.request.time_to_live = max(MIN_TIME_TO_LIVE_S, time_left)
            send_answer = partial(self.answer_request, number, call.request.class_name)
            is_disconnected = partial(self.input.is_disconnected, number)
            self.open_requests.submit(number, call.request, send_answer, is_disconnected)
        elif time_left <= front.limits.answer_margin + front.limits.sweep_interval:
            self.reject_waiting(number, "not_taken")

    def must_wait(self) -> bool:
        """Returns whether calls must wait until the client has read more answers.

        The answers of open requests are still to come. While the client reads slowly, each of them is counted
        as one of the largest objects; a client without any unsent or expected answer may always go on.
        """
        unsent = self.writer.unsent_bytes
        if not unsent and not self.is_backpressured:
            return False
        max_unsent = self.writer.max_unsent
        largest = self.front.limits.max_object_size
        expected = (len(self.open_requests) + 1) * largest
        return unsent > BACKPRESSURE_RATIO * max_unsent or unsent + expected > max(max_unsent, largest)

    def abandon_all(self) -> None:
        """Rejects the waiting calls and abandons the open requests, so that all answers are sent now."""
        for number in list(self.waiting_calls):
            self.reject_waiting(number, "given_up")
        self.open_requests.abandon_all()

    def reject_waiting(self, number: int, cause: str) -> None:
        """Rejects a call that was not submitted to the exchange."""
        self.waiting_calls.remove(number)
        self.front.counters.add(f"rejected.{cause}")
        self.answer(number, self.front.draining_answer)

    def send_error(self, number: int, reason: str) -> None:
        """Answers an invalid call with an error."""
        self.consecutive_rejections += 1
        self.send(wire.error_answer(number, wire.FAILED, {"why": reason}))

    def answer_request(self, number: int, class_name: str, answer: FinalAnswer) -> None:
        """Sends the final answer of the exchange to a call, without its body if there is no memory for it.

        A rejection promises that the request had no effect, so one that is not idempotent fails instead.
        """
        size = len(answer.body) + MAX_ANSWER_HEAD
        if answer.status is AnswerStatus.SERVED and not self.writer.has_capacity(size):
            self.front.counters.add("unread_answers")
            request_class = self.front.exchange.router.classes[class_name]
            is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
            answer = self.front.draining_answer if is_idempotent else FinalAnswer(AnswerStatus.FAILED)
        self.answer(number, answer)

    def answer(self, number: int, answer: FinalAnswer) -> None:
        """Sends the final answer to a call."""
        self.open_requests.remove(number)
        served = answer.status in (AnswerStatus.SERVED, AnswerStatus.NOT_MODIFIED)
        self.consecutive_rejections = 0 if served else self.consecutive_rejections + 1
        self.send(*format_answer(number, answer))

    def send(self, *pieces: Buffer) -> None:
        """Writes a message without waiting for the client to read it."""
        self.last_used_at = self.front.now()
        self.writer.write(pieces, self.on_written)

    def on_written(self) -> None:
        """Submits waiting calls or closes the connection; called once the kernel has accepted an answer."""
        if self.ended:
            self.writer.shut_down()
            return
        if self.is_backpressured and not self.must_wait():
            asyncio.get_running_loop().call_soon(self.submit_waiting)
        if not self.writer.unsent_bytes and not self.has_open_requests:
            self.update_idle_queue()
        if self.front.closing_when_quiet:
            self.close_if_quiet()

    def has_nothing_pending(self) -> bool:
        """Returns whether no answer is pending or unsent and no received byte is unread.

        Checks the socket as well, so that a request counts that arrives in this iteration of the event loop.
        """
        is_busy = self.has_open_requests or self.writer.unsent_bytes or self.ended
        return not is_busy and self.input.has_nothing_unread()

    def at_rest(self) -> bool:
        """Returns whether nothing is pending and the client's system has received all answers."""
        return self.has_nothing_pending() and not self.writer.undelivered_bytes

    def close_at_rest(self) -> bool:
        """Closes the connection if it is at rest, and returns whether it was; drops an incomplete message."""
        if not self.at_rest():
            return False
        self.close_stream()
        return True

    def end_at_rest(self) -> bool:
        """Ends the connection if it is at rest, and returns whether it was; drops an incomplete message."""
        if not self.at_rest():
            return False
        self.end()
        return True

    def close_without_message(self) -> bool:
        """Closes the connection if it is at rest or never had a complete message; returns whether it closed.

        If a partial message protected a connection, clients that send one byte could displace clients with
        requests.
        """
        if self.has_sent_message or self.stream.closed() or self.input.completes_message():
            return self.close_at_rest()
        self.close_stream()
        return True

    def close_lingering(self) -> bool:
        """Closes a lingering connection early, unless the client has not received all answers."""
        if self.writer.undelivered_bytes:
            return False
        self.close_stream()
        return True

    def close_if_quiet(self) -> bool:
        """Ends the connection if nothing is pending and it is not new; returns whether it ended.

        The first request on a new connection is probably on its way. A client that still receives answers
        would notice the end only after them, and send requests until then, so its connection stays in use.
        """
        age = self.front.now() - self.connected_at
        is_new = not self.has_sent_message and age < self.front.limits.new_connection_age
        if is_new or self.input.parser.partial or not self.has_nothing_pending():
            return False
        if not self.writer.is_client_up_to_date():
            return False
        self.end()
        self.front.counters.add("closed_quiet_clients")
        return True

    def end_if_up_to_date(self) -> bool:
        """Answers all requests now and ends the connection, unless its client still receives answers.

        Such a connection stays in use and ends once its client is up to date, so that requests which the
        client sends until it sees the end are rejected and not lost.

        Returns:
            Whether the connection was ended.
        """
        if self.writer.is_client_up_to_date():
            self.end()
            return True
        self.abandon_all()
        return False

    def end(self) -> None:
        """Ends the connection: no request is handled any more, and nothing is sent after the answers.

        Open requests are answered, then nothing more is written. The connection closes when the client closes
        it, or some time after it has received all answers.
        """
        if self.ended or self.stream.closed():
            return
        self.abandon_all()
        self.ended = True
        self.drop_partial_message()
        self.update_idle_queue()
        self.writer.shut_down()
        self.lingering_close = LingeringClose(self.writer, self.close_stream)

    def has_hung_up(self) -> bool:
        """Returns whether the client has closed the connection, or it is broken."""
        return self.stream.closed() or is_hung_up(self.stream.socket)

    def drop_partial_message(self) -> None:
        """Frees the memory of an incomplete message, which will not be completed."""
        self.input.parser.partial = b""
        self.front.input_quota.release(self)

    def close_stream(self) -> None:
        """Closes the connection; counts it if the client has not received all answers written to it."""
        if self.writer.undelivered_bytes:
            self.front.counters.add("closed_undelivered")
        self.stream.close()

    def close(self) -> None:
        """Closes the connection at once and withdraws its requests."""
        self.close_stream()
        release_error_frames(self.stream)
        self.drop_partial_message()
        if self.lingering_close is not None:
            self.lingering_close.cancel()
            self.lingering_close = None
        self.waiting_calls.clear()
        self.open_requests.withdraw_all()
