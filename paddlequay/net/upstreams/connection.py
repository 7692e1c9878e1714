"""One connection to a cache, a parent or the origin.

The connection owns the attempts that wait to be written and those in flight, until each has its result.
"""

import asyncio
import math
import socket
from collections import OrderedDict, deque
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.socket_state import peek_byte
from paddlequay.net.stream_errors import release_error_frames
from paddlequay.net.upstreams.cache_messages import parse_result, request_fields
from paddlequay.observability.counters import Counters
from paddlequay.policy.failure_detector import LatencyDistribution
from paddlequay.protocol import caches as wire
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome, RequestClass


class ConnectionOwner(Protocol):
    """The connection pool, with the state that all connections share."""

    exchange: Exchange
    limits: Limits
    counters: Counters
    latencies: LatencyDistribution

    def now(self) -> float:
        """Returns the time in monotonic seconds."""
        ...


class ConnectedInstance(Protocol):
    """The instance of a member to which a connection leads."""

    name: str
    address: Address
    removed: bool

    def forget(self, connection: "UpstreamConnection") -> None:
        """Removes a connection, so that no more attempts are assigned to it."""
        ...

    def start(self, attempt: UpstreamAttempt) -> None:
        """Assigns an attempt to a connection."""
        ...

    def record_latency(self, attempt: UpstreamAttempt, latency: float) -> None:
        """Records the latency of an answered attempt, in seconds."""
        ...

    def is_unresponsive(self, attempts: list[UpstreamAttempt], now: float) -> bool:
        """Returns whether these unanswered attempts have waited too long to be explained by chance."""
        ...


class UpstreamConnection:
    """One connection to an instance. Times are monotonic seconds.

    `ConnectionReader` connects it and reads for it.

    Raises:
        OSError: If the system provides no socket.

    Attributes:
        waiting: The attempts that are not written yet, in the order of writing.
        in_flight: The attempts that are written but not answered, by id.
        written_ids: The ids of the latest `max_remembered_ids` attempts that were written.
        is_up: Whether the connection is established.
        unresponsive: Whether an attempt timed out with nothing received since its write; no attempt is
            assigned then until bytes are received.
        only_never_resend: Whether all attempts written so far belong to classes that are not idempotent.
        last_received_at: When bytes were last received, or the connection was established.
        last_used_at: When an attempt was last written or answered, or the connection was established.
        last_read_at: When bytes were last received; minus infinity before the first ones.
        unexpected_answers: The number of consecutive answers that belong to no attempt in flight.
        answer_began_at: When the first byte of the current, incomplete answer was received.
        pending_read: The read in progress, or a completed one whose bytes are not handled yet.
    """

    def __init__(self, pool: ConnectionOwner, instance: ConnectedInstance) -> None:
        self.pool = pool
        self.instance = instance
        self.limits = pool.limits
        family = socket.AF_INET6 if ":" in instance.address[0] else socket.AF_INET
        self.stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        self.parser = wire.CacheAnswerParser(self.limits.max_cache_line, self.limits.max_object_size)
        self.waiting: deque[UpstreamAttempt] = deque()
        self.in_flight: dict[str, UpstreamAttempt] = {}
        self.written_ids: OrderedDict[str, None] = OrderedDict()
        self.is_up = False
        self.unresponsive = False
        self.only_never_resend = False
        now = pool.now()
        self.last_received_at = now
        self.last_used_at = now
        self.last_read_at = -math.inf
        self.unexpected_answers = 0
        self.answer_began_at = -math.inf
        self.pending_read: asyncio.Future[bytes] | None = None

    def accepts(self, attempt: UpstreamAttempt) -> bool:
        """Returns whether an attempt may be assigned to this connection.

        The connection must be open and responsive and have capacity. An id is never written twice on one
        connection: a late or duplicate answer to the first attempt would be taken for the answer to the
        second.
        """
        if attempt.never_resend and self.is_up and self.idle_time() > self.limits.max_reuse_idle:
            return False  # the peer may be closing it; after a reset, the outcome would be unknown
        if self.load >= self.limits.cache_streams or self.unresponsive or self.stream.closed():
            return False
        return attempt.id not in self.written_ids and all(other.id != attempt.id for other in self.waiting)

    def idle_time(self) -> float:
        """Returns the seconds since an attempt was last written or answered."""
        return self.pool.now() - self.last_used_at

    @property
    def load(self) -> int:
        """The number of attempts that are waiting or in flight."""
        return len(self.in_flight) + len(self.waiting)

    @property
    def is_idle(self) -> bool:
        """Whether the connection is established and carries no attempt."""
        return self.is_up and not self.in_flight and not self.waiting

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are not handled yet, for example because the event loop was delayed."""
        if self.stream.closed() or self.pending_read is None:
            return False
        return self.pending_read.done() or bool(peek_byte(self.stream.socket))

    def handle_data(self, data: bytes) -> None:
        """Handles the answers that these bytes complete. Raises `CacheProtocolError`."""
        now = self.pool.now()
        self.last_received_at = now
        self.last_read_at = now
        self.unresponsive = False
        if not self.parser.has_begun:
            self.answer_began_at = now
        for answer in self.parser.feed(data):
            self.answer_began_at = now
            self.handle_answer(answer)

    def finish(self) -> None:
        """Closes the connection and ends its attempts.

        Those in flight end as reset, because they may have been executed. Those that wait were not sent.
        """
        self.stream.close()
        release_error_frames(self.stream)
        self.instance.forget(self)
        in_flight = list(self.in_flight.values())
        self.in_flight = {}
        waiting = self.take_waiting()
        for attempt in in_flight:
            self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.RESET))
        # The end of a removed instance must not count against a later instance of the same name.
        unwritten = Outcome.NOT_SENT if self.instance.removed else Outcome.CONNECT_FAILED
        for attempt in waiting:
            self.pool.exchange.attempts.end(attempt, AttemptResult(unwritten))

    def take_waiting(self) -> list[UpstreamAttempt]:
        """Removes and returns the attempts that wait."""
        waiting = list(self.waiting)
        self.waiting.clear()
        return waiting

    def write_waiting(self) -> None:
        """Writes waiting attempts while the socket accepts bytes; checks each just before its write."""
        while self.is_up and self.waiting and not self.stream.closed() and not self.stream.writing():
            if self.instance.removed:
                # The name may be listed again for another instance, and the checks would pass.
                for attempt in self.take_waiting():
                    self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
                return
            must_check_peer = self.waiting[0].never_resend or not self.in_flight
            if must_check_peer and peek_byte(self.stream.socket) == b"":
                self.close_after_peer()
                return
            attempt = self.waiting.popleft()
            request = self.pool.exchange.attempts.prepare_write(attempt)
            if request is None:
                continue
            line = wire.request_line(request.id, request_fields(request), len(request.body))
            try:
                self.send(b"".join((line, request.body, b"\r\n")))
            except StreamClosedError:
                self.waiting.appendleft(attempt)  # it was not written, so `finish` must end it as not written
                return
            self.in_flight[attempt.id] = attempt
            self.only_never_resend = attempt.never_resend and (self.only_never_resend or not self.written_ids)
            self.written_ids[attempt.id] = None
            if len(self.written_ids) > self.limits.max_remembered_ids:
                self.written_ids.popitem(last=False)
            self.last_used_at = self.pool.now()
            self.pool.exchange.attempts.mark_written(attempt)

    def close_after_peer(self) -> None:
        """Closes the connection because its peer has closed it, and reassigns the waiting attempts.

        The attempts of a connection that was never used are not reassigned but end in `finish`. Otherwise
        they would be retried without end at a peer that closes each new connection.
        """
        self.pool.counters.add("closed_by_cache")
        self.stream.close()
        if self.written_ids:
            self.instance.forget(self)
            for attempt in self.take_waiting():
                self.instance.start(attempt)

    def send(self, data: bytes) -> None:
        """Writes to the open stream; once the socket has accepted all bytes, writes the waiting attempts."""
        write_future = self.stream.write(data)
        if self.stream.writing():
            write_future.add_done_callback(lambda _: self.write_waiting())

    def handle_answer(self, answer: wire.CacheAnswer) -> None:
        """Ends the attempt of a complete answer. Raises `CacheProtocolError` if the answer is invalid."""
        attempt = self.in_flight.get(answer.id)
        self.last_used_at = self.pool.now()
        if attempt is None:
            self.count_unexpected_answer()
            return
        # Parse before removing the attempt: an invalid answer ends the connection with all attempts in
        # flight, and this one must be among them.
        result = parse_result(answer)
        if result.not_modified:
            check_not_modified(attempt, answer)
        del self.in_flight[answer.id]
        self.unexpected_answers = 0
        if attempt.written_at is not None:
            self.instance.record_latency(attempt, self.last_used_at - attempt.written_at)
        self.pool.counters.add("received_bytes", len(answer.body))
        self.pool.exchange.attempts.end(attempt, result)

    def count_unexpected_answer(self) -> None:
        """Counts and ignores an unexpected answer. Raises `CacheProtocolError` after too many in a row."""
        self.pool.counters.add("unexpected_answers")
        self.unexpected_answers += 1
        if self.unexpected_answers > self.limits.max_remembered_ids:
            raise wire.CacheProtocolError(
                f"{self.unexpected_answers} answers in a row belong to no request in flight"
            )

    def abandon(self, attempt: UpstreamAttempt) -> bool:
        """Drops an attempt; returns whether nothing was received since it was written."""
        is_silent = attempt.written_at is not None and self.last_received_at <= attempt.written_at
        if self.in_flight.get(attempt.id) is attempt:
            del self.in_flight[attempt.id]
            self.record_timeout(attempt, is_silent)
            # Cancel even if the settings do not allow the routing policy to cancel: otherwise the cache would
            # execute this attempt in parallel with the next one.
            if not self.stream.closed():
                self.send(wire.cancel_line(attempt.id))
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
        return is_silent

    def record_timeout(self, attempt: UpstreamAttempt, is_silent: bool) -> None:
        """Records that an abandoned attempt has timed out, if it had enough time.

        If nothing was received since its write, the connection counts as unresponsive; otherwise it is only
        slow, and the time since the write is recorded as a latency.
        """
        now = self.pool.now()
        class_name = attempt.pending.request.class_name
        request_class = self.pool.exchange.router.classes.get(class_name)
        if now < attempt.expires_at or not had_enough_time(attempt, request_class):
            return
        if is_silent:
            self.unresponsive = True
        elif attempt.written_at is not None:
            # Under overload, latencies would look too short if abandoned attempts were not recorded.
            self.pool.latencies.record(class_name, now - attempt.written_at)


def had_enough_time(attempt: UpstreamAttempt, request_class: RequestClass | None) -> bool:
    """Returns whether an attempt's time-out was at least the latency objective of its class."""
    return request_class is None or attempt.expires_at - attempt.started_at >= request_class.latency_objective


def check_not_modified(attempt: UpstreamAttempt, answer: wire.CacheAnswer) -> None:
    """Raises `CacheProtocolError` if a VALID answer does not name the copy that the request named."""
    known_tag = attempt.pending.request.known_tag
    if known_tag is None or answer.fields.get("tag") != known_tag:
        raise wire.CacheProtocolError(f"VALID answer does not carry the tag of the request: {known_tag}")
