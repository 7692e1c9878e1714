"""The task of one client connection: reads messages and passes them to the session until it closes."""

import asyncio
import logging

from tornado.iostream import StreamClosedError

from paddlequay.net.clients.client_input import MAX_BUSY_S
from paddlequay.net.clients.session import ClientSession
from paddlequay.observability import log
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedMessageError

LOGGER = logging.getLogger(__name__)

MESSAGES_PER_PAUSE = 16  # read between pauses from a client that gets only rejections
PAUSE_RATIO = 2.0  # seconds of pause for each second spent
MAX_READS_PER_ITERATION = 4  # reads without waiting, before the event loop serves other connections


class SessionReader:
    """Reads for one session, and closes it at the end of the connection.

    The reader submits requests only once it has read all received bytes, or after `MAX_BACKLOG_S`. So a
    cancel or a close that the client has sent after a request prevents attempts for that request. A
    half-close counts as a close, because the two cannot be told apart. The session does not refer to its
    reader, because a connection in a reference cycle is freed late.

    Attributes:
        messages_since_pause: The number of messages read since the last pause for rejections only.
        busy_s: The seconds spent on messages since the last pause, or since a read had to wait for bytes.
    """

    def __init__(self, session: ClientSession) -> None:
        self.session = session
        self.input = session.input
        self.front = session.front
        self.limits = session.front.limits
        self.messages_since_pause = 0
        self.busy_s = 0.0

    async def run(self) -> None:
        """Reads and handles messages until the connection closes."""
        try:
            await self.read_messages()
        except StreamClosedError:
            pass
        except Exception:  # error boundary of one connection: no other one is affected
            self.front.counters.add("client_errors")
            LOGGER.exception("client_connection_failed")
        finally:
            self.session.close()

    async def read_messages(self) -> None:
        """Reads while the connection is open; yields to other connections in between."""
        limits = self.limits
        reads = 0
        while True:
            data = await self.read()
            reads += 1
            started_at = self.front.now()
            if not self.session.ended:
                self.handle(data)
            busy_s = self.front.now() - started_at
            self.busy_s += busy_s
            self.input.adapt_read_size(busy_s)
            size = len(data)
            del data  # not kept while the next read waits
            await self.reserve_memory()
            if self.session.is_only_rejected and self.messages_since_pause >= MESSAGES_PER_PAUSE:
                # Backpressure for a client that gets only rejections.
                self.messages_since_pause = 0
                await asyncio.sleep(limits.rejection_pause)
            elif self.session.ended:
                await asyncio.sleep(limits.rejection_pause)
            elif self.busy_s >= MAX_BUSY_S:
                # A client that always has more to read gets a part of the time; the others get the rest.
                pause_s = self.busy_s * PAUSE_RATIO
                self.busy_s = 0.0
                await asyncio.sleep(pause_s)
            elif self.input.backlog_since is not None:
                # A read that need not wait does not yield, so one client could occupy the event loop.
                if size >= self.input.read_size or reads % MAX_READS_PER_ITERATION == 0:
                    await asyncio.sleep(0)

    async def reserve_memory(self) -> None:
        """Waits until there is memory for the rest of a long message that is incomplete."""
        quota = self.front.input_quota
        if self.session.stream.closed():
            return  # the next reads return what was received before
        if len(self.input.parser.partial) < self.limits.client_read_size:
            quota.release(self.session)
        elif not quota.reserve(self.session):
            self.front.counters.add("input_waits")
            self.session.submit_waiting()
            await quota.wait(self.session)

    async def read(self) -> bytes:
        """Returns the next bytes; submits the waiting calls once all received bytes are read."""
        session = self.session
        reading = self.input.start_read()
        if not reading.done():
            self.busy_s = 0.0
            if not session.has_sent_message and not self.input.partial_reads:
                # Only now does the connection count as idle: bytes sent with its connect are read first.
                session.update_idle_queue()
            session.submit_waiting()
        elif self.input.is_backlogged():
            self.handle_backlog()
        try:
            return await reading
        finally:
            self.input.pending_read = None
            del reading  # breaks a reference cycle: the error of the read refers to this frame

    def handle_backlog(self) -> None:
        """Submits the waiting calls although more bytes can be read, because they have waited long enough."""
        session = self.session
        # A flood of messages may hide cancels, so all calls and requests of the flooding client are ended.
        if session.is_only_rejected and self.input.backlog_messages > 2 * self.limits.client_streams:
            session.abandon_all()
        else:
            session.submit_waiting()

    def handle(self, data: bytes) -> None:
        """Handles the messages that these bytes complete."""
        session = self.session
        session.last_used_at = self.front.now()
        try:
            for message in self.input.parser.feed(data):
                session.has_sent_message = True
                self.input.backlog_messages += 1
                self.messages_since_pause += 1
                self.handle_message(message)
        except MalformedMessageError as error:
            # The start of the next message is unknown, so the connection ends.
            if self.front.counters.add_once("bad_client_bytes"):
                log.event(LOGGER, logging.WARNING, "bad_client_bytes", why=str(error))
            session.end()
            return
        except Exception:  # error boundary of one connection: no other one is affected
            self.front.counters.add("client_errors")
            LOGGER.exception("client_message_failed")
            session.end()
            return
        self.input.note_partial_message(session.last_used_at)
        session.update_idle_queue()

    def handle_message(self, message: wire.ClientMessage) -> None:
        """Handles one complete message; raises `MalformedMessageError`."""
        session = self.session
        match message:
            case wire.ReadinessQuery():
                session.send(wire.readiness_answer(message.number, self.front.accepts_requests()))
            case wire.CallsCancelled():
                for number in message.numbers:
                    session.cancel(number)
            case wire.ClientCall():
                session.queue_call(message)
