"""One connection to a cache, parent or the origin: what waits for it and what is in flight, until its end."""

import asyncio
import logging
import math
import socket
from collections import OrderedDict, deque
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.upstreams.cache_messages import parse_result, request_fields
from paddlequay.observability.counters import Counters
from paddlequay.policy.failure_detector import LatencyDistribution
from paddlequay.protocol import caches as wire
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome

LOGGER = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The pool: what all connections share."""

    exchange: Exchange
    limits: Limits
    counters: Counters
    latencies: LatencyDistribution

    def now(self) -> float:
        """Monotonic seconds."""
        ...


class ConnectedInstance(Protocol):
    """The instance of a member that a connection leads to."""

    name: str
    address: Address
    removed: bool

    def forget(self, connection: "UpstreamConnection") -> None:
        """Use a connection no more."""
        ...

    def start(self, attempt: UpstreamAttempt) -> None:
        """Have an attempt wait for a connection."""
        ...

    def record_latency(self, attempt: UpstreamAttempt, latency: float) -> None:
        """An attempt was answered after so many seconds."""
        ...

    def is_unresponsive(self, attempts: list[UpstreamAttempt], now: float) -> bool:
        """Whether so long a wait under these attempts is no chance."""
        ...


class UpstreamConnection:
    """One connection to an instance, with the attempts that wait for it and those in flight on it.

    `ConnectionReader` connects it and reads for it.

    Raises OSError where the system gives no socket for it.
    """

    def __init__(self, pool: ConnectionOwner, instance: ConnectedInstance) -> None:
        self.pool, self.instance, self.limits = pool, instance, pool.limits
        family = socket.AF_INET6 if ":" in instance.address[0] else socket.AF_INET
        self.stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        self.parser = wire.CacheAnswerParser(self.limits.max_cache_line, self.limits.max_object_size)
        self.waiting: deque[UpstreamAttempt] = deque()
        self.in_flight: dict[str, UpstreamAttempt] = {}
        self.written_ids: OrderedDict[str, None] = (
            OrderedDict()
        )  # ids, the latest `max_remembered_ids` of them
        self.is_up = False
        self.unresponsive = False
        self.only_never_resend = False  # all that went out on it must not be executed twice
        self.last_received_at = self.last_used_at = pool.now()
        self.last_read_at = -math.inf  # the last byte; accepting a connection is none
        self.unexpected_answers = 0  # since the last other one
        self.answer_began_at = -math.inf  # the first byte of the answer that is coming
        self.pending_read: asyncio.Future[bytes] | None = None  # the read under way

    def accepts(self, attempt: UpstreamAttempt) -> bool:
        """Whether it answers and has capacity for an attempt.

        An id that was written here never comes again on this connection: an answer to the first attempt may
        be on its way, late or for the second time, and nothing would tell it from the second's.
        """
        if attempt.never_resend and self.is_up and self.idle_time() > self.limits.max_reuse_idle:
            return False  # a peer may be closing it just now: a reset, and the attempt may have been executed
        if self.load >= self.limits.cache_streams or self.unresponsive or self.stream.closed():
            return False
        return attempt.id not in self.written_ids and all(other.id != attempt.id for other in self.waiting)

    def idle_time(self) -> float:
        """Seconds since something was written or answered here."""
        return self.pool.now() - self.last_used_at

    @property
    def load(self) -> int:
        """Attempts that wait for it or are in flight on it."""
        return len(self.in_flight) + len(self.waiting)

    def handle_data(self, data: bytes) -> None:
        """Handle the answers that are complete with these bytes; raises `CacheProtocolError`."""
        self.last_received_at = self.last_read_at = self.pool.now()
        self.unresponsive = False
        if not self.parser.has_begun:
            self.answer_began_at = self.last_received_at
        for answer in self.parser.feed(data):
            self.answer_began_at = self.last_received_at
            self.handle_answer(answer)

    def finish(self) -> None:
        """The connection is over: what is in flight may have been executed, what waits has not."""
        self.stream.close()
        self.instance.forget(self)
        out, self.in_flight = list(self.in_flight.values()), {}
        waiting = self.take_waiting()
        for attempt in out:
            self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.RESET))
        # That an instance is over, as the list says, is no failure of the one of its name now.
        unwritten = Outcome.NOT_SENT if self.instance.removed else Outcome.CONNECT_FAILED
        for attempt in waiting:
            self.pool.exchange.attempts.end(attempt, AttemptResult(unwritten))

    def take_waiting(self) -> list[UpstreamAttempt]:
        """The attempts that wait, which do so here no more."""
        waiting = list(self.waiting)
        self.waiting.clear()
        return waiting

    def peek_byte(self) -> bytes | None:
        """The next byte in the socket, b"" at its end, None where nothing has come."""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that were not read yet, as after a late turn of the loop."""
        if self.stream.closed() or self.pending_read is None:
            return False
        return self.pending_read.done() or bool(self.peek_byte())

    def write_waiting(self) -> None:
        """Write what waits, one at a time and only while the socket takes it, so that checks are fresh."""
        while self.is_up and self.waiting and not self.stream.closed() and not self.stream.writing():
            if self.instance.removed:
                # Its name may be back on the list, and would pass there, as another instance.
                for attempt in self.take_waiting():
                    self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
                return
            if (self.waiting[0].never_resend or not self.in_flight) and self.peek_byte() == b"":
                return self.close_after_peer()
            attempt = self.waiting.popleft()
            order = self.pool.exchange.attempts.prepare_write(attempt)
            if order is None:
                continue
            line = wire.request_line(order.id, request_fields(order), len(order.body))
            try:
                self.send(b"".join((line, order.body, b"\r\n")))
            except StreamClosedError:
                self.waiting.appendleft(attempt)  # never written, and ends so
                return
            self.in_flight[attempt.id] = attempt
            self.only_never_resend = attempt.never_resend and (self.only_never_resend or not self.written_ids)
            self.written_ids[attempt.id] = None
            if len(self.written_ids) > self.limits.max_remembered_ids:
                self.written_ids.popitem(last=False)
            self.last_used_at = self.pool.now()
            self.pool.exchange.attempts.mark_written(attempt)

    def close_after_peer(self) -> None:
        """A peer's close has come that was not read yet: what waits was never written and goes elsewhere.

        Only where the connection has carried something: a peer that closes each new one would be tried
        without end.
        """
        self.pool.counters.add("closed_by_cache")
        self.stream.close()
        if self.written_ids:
            self.instance.forget(self)
            for attempt in self.take_waiting():
                self.instance.start(attempt)

    def send(self, data: bytes) -> None:
        """Write to an open connection; what waits goes on as soon as the socket has taken all of it."""
        done = self.stream.write(data)
        if self.stream.writing():
            done.add_done_callback(lambda _: self.write_waiting())

    def handle_answer(self, answer: wire.CacheAnswer) -> None:
        """One complete answer; raises `CacheProtocolError` for what cannot be read."""
        attempt = self.in_flight.get(answer.id)
        self.last_used_at = self.pool.now()
        if attempt is not None:
            # Parsed before it is taken off: what cannot be read ends the connection and all in flight on it,
            # this attempt too, which else would have waited for its time-out.
            end = parse_result(answer)
            known = attempt.pending.request.known_tag
            if end.not_modified and (known is None or answer.fields.get("tag") != known):
                raise wire.CacheProtocolError("VALID that does not name the copy that was asked about")
            del self.in_flight[answer.id]
            self.unexpected_answers = 0
            if attempt.written_at is not None:
                self.instance.record_latency(attempt, self.last_used_at - attempt.written_at)
            self.pool.counters.add("received_bytes", len(answer.body))
            self.pool.exchange.attempts.end(attempt, end)
        else:
            # Abandoned, answered before, or never requested: complete and well-formed, it harms nothing else.
            # Taken as a corrupt connection, one such answer ended all good ones that were on their way.
            self.pool.counters.add("unexpected_answers")
            self.unexpected_answers += 1
            if self.unexpected_answers > self.limits.max_remembered_ids:
                raise wire.CacheProtocolError("answers without end that nobody asked for")

    def abandon(self, attempt: UpstreamAttempt) -> bool:
        """Give an attempt up; whether nothing at all came since it was written."""
        quiet = attempt.written_at is not None and self.last_received_at <= attempt.written_at
        if self.in_flight.get(attempt.id) is attempt:
            del self.in_flight[attempt.id]
            # A machine that vanished leaves its connections open and sends nothing on them: one that has
            # brought no byte since this attempt was written takes nothing new until it does.
            # Where its client gave less time than an answer may take, a time-out says nothing of the machine.
            now, class_name = self.pool.now(), attempt.pending.request.class_name
            kind = self.pool.exchange.router.classes.get(class_name)
            had_time = kind is None or attempt.expires_at - attempt.started_at >= kind.latency_objective
            in_vain = now >= attempt.expires_at and had_time
            if in_vain and quiet:
                self.unresponsive = True
            elif in_vain and attempt.written_at is not None:
                # At least so long: leaving out what was abandoned would make all waits look short in a jam.
                self.pool.latencies.record(class_name, now - attempt.written_at)
            # Whether or not the settings let the decisions cancel: until the cache knows, what is over here
            # is in flight there, and the next attempt would be a second copy beside it.
            if not self.stream.closed():
                self.send(wire.cancel_line(attempt.id))
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
        return quiet

    @property
    def is_idle(self) -> bool:
        """Whether it is up and carries nothing."""
        return self.is_up and not self.in_flight and not self.waiting
