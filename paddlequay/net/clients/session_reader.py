"""The task of one client connection: it reads messages and hands them to the session until the end."""

import asyncio
import logging

from tornado.iostream import StreamClosedError

from paddlequay.net.clients.session import ClientSession
from paddlequay.observability import log
from paddlequay.protocol import clients as wire
from paddlequay.protocol.msgpack import MalformedMessageError

LOGGER = logging.getLogger(__name__)

MESSAGES_PER_PAUSE = 16  # read in one `rejection_pause` from a client that is only rejected
READS_PER_TURN = 4  # of what is there already, before other connections have their turn


class SessionReader:
    """Reads for one session, and closes it at the end.

    All that has come is read before what it requests is submitted: a cancel, or the client's end of the
    connection, holds for what stands before it. Half a close counts as a close, as nothing tells them apart.
    The session does not refer to it: connections that refer to themselves are freed late.
    """

    def __init__(self, session: ClientSession) -> None:
        self.session, self.input = session, session.input
        self.front, self.limits = session.front, session.front.limits
        self.messages_since_pause = 0

    async def run(self) -> None:
        """Read and handle messages until the end of the connection."""
        try:
            await self.read_messages()
        except StreamClosedError:
            pass
        except Exception:  # this connection ends, and no other
            self.front.counters.add("client_errors")
            LOGGER.exception("client_connection_failed")
        finally:
            self.session.close()

    async def read_messages(self) -> None:
        """Read for as long as the connection is open, and let other connections have their turn."""
        limits, reads = self.limits, 0
        while True:
            data = await self.read()
            reads += 1
            if not self.session.ended:
                self.handle(data)
            if self.session.is_only_rejected and self.messages_since_pause >= MESSAGES_PER_PAUSE:
                # A client that is only rejected is read more slowly, which costs nobody else.
                self.messages_since_pause = 0
                await asyncio.sleep(limits.rejection_pause)
            elif self.input.backlog_since is not None:
                # A read of what is there does not yield: one client would keep the loop to itself.
                if len(data) >= limits.client_read_size or reads % READS_PER_TURN == 0:
                    await asyncio.sleep(0)

    async def read(self) -> bytes:
        """The next bytes. Once nothing more has come, what was read before is submitted."""
        session, reading = self.session, self.input.start_read()
        if not reading.done():
            if not session.has_sent_message and not self.input.partial_reads:
                # Silent only now: what came with the connect is read first, and nobody is closed for it.
                session.update_idle_queue()
            session.submit_waiting()
        elif self.input.has_read_ahead():
            self.handle_backlog()
        try:
            return await reading
        finally:
            self.input.pending_read = None
            del reading  # it keeps its error, which keeps this frame: the cycle collector comes seldom

    def handle_backlog(self) -> None:
        """More is to be read still, but calls have waited for it for long enough."""
        session = self.session
        # A flood hides what was cancelled: nothing begins for it, nor goes on.
        if session.is_only_rejected and self.input.backlog_messages > 2 * self.limits.client_streams:
            session.abandon_all()
        else:
            session.submit_waiting()

    def handle(self, data: bytes) -> None:
        """Handle the messages that are complete with these bytes."""
        session = self.session
        session.last_used_at = self.front.now()
        try:
            for message in self.input.parser.feed(data):
                session.has_sent_message = True
                self.input.backlog_messages += 1
                self.messages_since_pause += 1
                self.handle_message(message)
        except MalformedMessageError as error:
            # Nothing after it can be told apart: this connection ends, and no other.
            if self.front.counters.add_once("bad_client_bytes"):
                log.event(LOGGER, logging.WARNING, "bad_client_bytes", why=str(error))
            return session.end()
        except Exception:  # whatever a message raises ends its own connection alone
            self.front.counters.add("client_errors")
            LOGGER.exception("client_message_failed")
            return session.end()
        self.input.note_partial_message(session.last_used_at)
        session.update_idle_queue()

    def handle_message(self, message: wire.ClientMessage) -> None:
        """One complete message. Raises `MalformedMessageError`."""
        session = self.session
        match message:
            case wire.ReadinessQuery():
                session.send(wire.readiness_answer(message.number, self.front.accepts_requests()))
            case wire.CallsCancelled():
                for number in message.numbers:
                    session.cancel(number)
            case wire.ClientCall():
                session.queue_call(message)
