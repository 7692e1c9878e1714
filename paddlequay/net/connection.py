"""One connection to a cache, parent or the origin: what waits for it and what is out on it, until its end."""

import asyncio
import logging
import math
import socket
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.net.cache_words import order_fields, read_end
from paddlequay.observability import log
from paddlequay.protocol import caches as wire
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome

if TYPE_CHECKING:
    from paddlequay.net.caches import Instance, Pool

LOGGER = logging.getLogger(__name__)


class Connection:
    """One connection to an instance, with the attempts that wait for it and those that are out on it.

    Raises OSError where the system gives no socket for it.
    """

    def __init__(self, pool: "Pool", instance: "Instance") -> None:
        self.pool, self.instance, self.limits = pool, instance, pool.limits
        family = socket.AF_INET6 if ":" in instance.address[0] else socket.AF_INET
        self.stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        self.reader = wire.Reader(self.limits.max_cache_line, self.limits.max_object_size)
        self.waiting: deque[UpstreamAttempt] = deque()
        self.out: dict[str, UpstreamAttempt] = {}
        self.written: OrderedDict[str, None] = OrderedDict()  # ids, the latest `cache_ids` of them
        self.up = False
        self.silent = False
        self.once = False  # all that went out on it must not run twice
        self.heard = self.used = pool.now()
        self.read_at = -math.inf  # the last byte, which an accepted connection is not
        self.unasked = 0  # answers that nobody waited for, since the last other one
        self.answer_began = -math.inf  # the first byte of the answer that is coming
        self.coming: asyncio.Future[bytes] | None = None  # the read that is under way

    def takes(self, attempt: UpstreamAttempt) -> bool:
        """Room for it, on a connection that answers.

        An id that was written here never comes again on this connection: an answer to the first attempt may
        be on its way, late or for the second time, and nothing would tell it from the second's.
        """
        if attempt.never_resend and self.up and self.pool.now() - self.used > self.limits.max_reuse_idle:
            return False  # a peer may be closing an idle one just now: that is a reset, and may have run
        if self.load >= self.limits.cache_streams or self.silent or self.stream.closed():
            return False
        return attempt.id not in self.written and all(other.id != attempt.id for other in self.waiting)

    @property
    def load(self) -> int:
        return len(self.out) + len(self.waiting)

    async def run(self) -> None:
        """Connect, then read until the end."""
        try:
            await asyncio.wait_for(self.stream.connect(self.instance.address), self.limits.connect_timeout)
        except (TimeoutError, StreamClosedError, OSError) as error:
            self.pool.counters.add("connect_failed")
            log.event(LOGGER, logging.INFO, "connect_failed", to=self.instance.name, why=type(error).__name__)
            return self.lost()
        try:
            self.stream.set_nodelay(True)
            self.pool.counters.add("connected")
            self.up = True
            self.heard = self.used = self.pool.now()
            self.write_waiting()
            await self.read()
        except StreamClosedError:
            pass
        except wire.MalformedError as error:
            if self.pool.counters.add_once("bad_cache_lines"):
                log.event(LOGGER, logging.WARNING, "bad_cache_line", at=self.instance.name, why=str(error))
        except Exception:
            self.pool.counters.add("cache_errors")
            LOGGER.exception("cache_connection_failed")
        self.lost()

    async def read(self) -> None:
        reads = 0
        while True:
            self.coming = asyncio.ensure_future(self.stream.read_bytes(self.limits.read_size, partial=True))
            try:
                data = await self.coming
            except BaseException:
                self.coming = None  # it keeps the error, which keeps the frames that lead here
                raise
            self.heard = self.read_at = self.pool.now()
            self.silent = False
            if not self.reader.begun:
                self.answer_began = self.heard
            for answer in self.reader.feed(data):
                self.answer_began = self.heard
                self.answered(answer)
            reads += 1
            if len(data) == self.limits.read_size or reads % 4 == 0:
                await asyncio.sleep(0)  # a read of what is there does not yield: others have a turn

    def lost(self) -> None:
        """The connection is over: what is out may have run, what waits has not."""
        self.stream.close()
        self.instance.forget(self)
        out, self.out = list(self.out.values()), {}
        waiting = self.take_waiting()
        for attempt in out:
            self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.RESET))
        # That a run is over, as the list tells, is no failure of whoever bears its name now.
        unwritten = Outcome.NOT_SENT if self.instance.gone else Outcome.CONNECT_FAILED
        for attempt in waiting:
            self.pool.exchange.attempts.end(attempt, AttemptResult(unwritten))

    def take_waiting(self) -> list[UpstreamAttempt]:
        waiting = list(self.waiting)
        self.waiting.clear()
        return waiting

    def peek(self) -> bytes | None:
        """The next byte that lies in the socket, b"" where its end does, None where nothing has come."""
        try:
            return self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that were not looked at yet, as after a late turn of the loop."""
        if self.stream.closed() or self.coming is None:
            return False
        return self.coming.done() or bool(self.peek())

    def write_waiting(self) -> None:
        """Write what waits, one at a time and only while the socket takes it, so that checks are fresh."""
        while self.up and self.waiting and not self.stream.closed() and not self.stream.writing():
            if self.instance.gone:
                # Its name may be back on the list, and would pass there, as another run at another address.
                for attempt in self.take_waiting():
                    self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
                return
            if (self.waiting[0].never_resend or not self.out) and self.peek() == b"":
                return self.ended_by_peer()
            attempt = self.waiting.popleft()
            order = self.pool.exchange.attempts.prepare_write(attempt)
            if order is None:
                continue
            line = wire.ask(order.id, order_fields(order), len(order.body))
            try:
                self.send(b"".join((line, order.body, b"\r\n")))
            except StreamClosedError:
                self.waiting.appendleft(attempt)  # never written, and ends so
                return
            self.out[attempt.id] = attempt
            self.once = attempt.never_resend and (self.once or not self.written)
            self.written[attempt.id] = None
            if len(self.written) > self.limits.max_remembered_ids:
                self.written.popitem(last=False)
            self.used = self.pool.now()
            self.pool.exchange.attempts.mark_written(attempt)

    def ended_by_peer(self) -> None:
        """A peer's close has come that was not read yet: what waits was never written and goes elsewhere.

        Only where the connection has carried something: a peer that closes each new one would be asked
        without end.
        """
        self.pool.counters.add("closed_by_cache")
        self.stream.close()
        if self.written:
            self.instance.forget(self)
            for attempt in self.take_waiting():
                self.instance.start(attempt)

    def send(self, data: bytes) -> None:
        """Write to an open connection; what waits goes on as soon as the socket has taken all of it."""
        done = self.stream.write(data)
        if self.stream.writing():
            done.add_done_callback(lambda _: self.write_waiting())

    def answered(self, answer: wire.Answer) -> None:
        attempt = self.out.get(answer.id)
        self.used = self.pool.now()
        if attempt is not None:
            # Read before it is taken off: what cannot be read ends the connection and all that is out on it,
            # this attempt too, which else would have waited for its time-out.
            end = read_end(answer)
            known = attempt.pending.request.known_tag
            if end.not_modified and (known is None or answer.fields.get("tag") != known):
                raise wire.MalformedError("VALID that does not name the copy that was asked about")
            del self.out[answer.id]
            self.unasked = 0
            if attempt.written_at is not None:
                self.instance.answer_took(attempt, self.used - attempt.written_at)
            self.pool.counters.add("received_bytes", len(answer.body))
            self.pool.exchange.attempts.end(attempt, end)
        else:
            # Given up, answered before, or never asked: whole and well-formed, it harms nothing else. Taken
            # as a spoilt connection, one such answer ended all good ones that were on their way.
            self.pool.counters.add("answers_not_asked")
            self.unasked += 1
            if self.unasked > self.limits.max_remembered_ids:
                raise wire.MalformedError("answers without end that nobody asked for")

    def abandon(self, attempt: UpstreamAttempt) -> bool:
        """Give an attempt up; and has nothing at all come since it was written?"""
        quiet = attempt.written_at is not None and self.heard <= attempt.written_at
        if self.out.get(attempt.id) is attempt:
            del self.out[attempt.id]
            # A machine that vanished leaves its connections open and says nothing on them: one that has
            # brought no byte since this attempt was written takes nothing new until it does.
            # Where its client gave less time than an answer may take, its time-out is no word on the machine.
            now, kind = (
                self.pool.now(),
                self.pool.exchange.router.classes.get(attempt.pending.request.class_name),
            )
            in_vain = now >= attempt.expires_at
            in_vain = in_vain and (
                kind is None or attempt.expires_at - attempt.started_at >= kind.latency_objective
            )
            if in_vain and quiet:
                self.silent = True
            elif in_vain and attempt.written_at is not None:
                # At least so long: leaving out what was given up would make all waits look short in a jam.
                self.pool.waits.record(attempt.pending.request.class_name, now - attempt.written_at)
            # Whether or not the settings let the decisions cancel: until it is told, what is over here is out
            # there, and the next attempt would be a second copy beside it.
            if not self.stream.closed():
                self.send(wire.quit_(attempt.id))
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
        return quiet

    def unheard(self, heard: float) -> list[UpstreamAttempt]:
        """What is out and was written after the byte heard last."""
        return [
            each for each in self.out.values() if each.written_at is not None and each.written_at >= heard
        ]

    def dead(self, now: float) -> bool:
        """Whether what is out tells of silence: several written since the last byte, and long ago.

        Left to their time-outs, they were blamed on the sources of their fills, whose limits were cut for it.
        """
        if now - self.heard <= self.limits.silence_check_after:
            return False
        since = self.unheard(self.heard)
        return len(since) >= self.limits.connection_unanswered and self.instance.silence_of(since, now)

    def stalled(self, now: float) -> bool:
        """Whether the answer that is coming has stopped, or comes too slowly to be waited for.

        All that is out behind it waits for its rest. At twice the pace so far, as an honest one may begin
        slowly, that has to come while its own request may wait, or within `cache_silence` where nobody waits
        for it. Else a byte now and then holds a connection with thirty requests on it until their time-outs.
        """
        took = now - self.answer_began
        if not self.reader.begun or took <= self.limits.cache_stall_timeout:
            return False
        if now - self.heard > self.limits.cache_stall_timeout:
            return True
        share = self.reader.share
        rest = took / share - took if share else math.inf
        attempt = self.out.get(self.reader.answering or "")
        left = 0.0 if attempt is None else attempt.expires_at - now
        return rest > 2 * max(left, self.limits.silence_check_after)

    @property
    def idle(self) -> bool:
        return self.up and not self.out and not self.waiting
