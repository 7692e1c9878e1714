"""What comes on one client connection: read in pieces, parsed, and looked at before it is read."""

import asyncio
import math
from collections.abc import Callable

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.net.socket_state import peek_unread
from paddlequay.protocol import clients as wire

# Seconds. A client that has left, or cancelled, is to cause no attempt 0.1 s later: these stay well under.
MAX_READ_AHEAD_S = 0.03  # for which calls wait while more is there to be read: a cancel may follow them
RECHECK_AFTER_S = 0.01  # after which a client seen to be connected is checked anew


class ClientInput:
    """The reading side of one connection. Times are in monotonic seconds, as `now` tells them."""

    __slots__ = (
        "backlog_messages", "backlog_since", "checked_at", "limits", "now", "parser", "partial_reads",
        "partial_since", "pending_read", "stream",
    )  # fmt: skip

    def __init__(self, stream: IOStream, limits: Limits, now: Callable[[], float]) -> None:
        self.stream, self.limits, self.now = stream, limits, now
        self.parser = wire.ClientMessageParser(limits.max_client_frame)
        self.partial_since: float | None = None  # when the last byte came of an incomplete message
        self.partial_reads = 0  # in which that message has come so far
        self.pending_read: asyncio.Future[bytes] | None = None  # under way, or with bytes not handled yet
        self.backlog_since: float | None = None  # since when there was always more to be read,
        self.backlog_messages = 0  # and the messages read since
        self.checked_at = -math.inf  # when the client was connected, with nothing unread

    def start_read(self) -> asyncio.Future[bytes]:
        """Begin the next read; it is done at once where something is there.

        The rest of a long message comes in few pieces, calls by the chunk: other connections have their turn.
        """
        limits, stream = self.limits, self.stream
        long_message = len(self.parser.partial) >= limits.client_read_size
        chunk = limits.max_client_frame if long_message else limits.client_read_size
        stream.read_chunk_size = chunk
        self.pending_read = reading = asyncio.ensure_future(stream.read_bytes(chunk, partial=True))
        now = self.now()
        if not reading.done():
            self.backlog_since, self.backlog_messages, self.checked_at = None, 0, now
        elif self.backlog_since is None:
            self.backlog_since = now
        return reading

    def has_read_ahead(self) -> bool:
        """Whether there was always more to be read for longer than calls may wait for it."""
        return self.backlog_since is not None and self.now() - self.backlog_since > MAX_READ_AHEAD_S

    def note_partial_message(self, now: float) -> None:
        """Bytes were handled at this time: whether an incomplete message is left, and for how many reads."""
        self.partial_since = now if self.parser.partial else None
        self.partial_reads = self.partial_reads + 1 if self.parser.partial else 0

    def is_disconnected(self, number: int) -> bool:
        """Whether the client has closed its connection or cancelled this request, read or not.

        One system call where nothing is unread, and none where that was seen `RECHECK_AFTER_S` ago.
        """
        if self.stream.closed():
            return True
        now = self.now()
        if now - self.checked_at < RECHECK_AFTER_S:
            return False
        unread = self.unread_bytes()
        if unread is None:
            self.stream.close()
            return True
        if not unread:
            self.checked_at = now
            return False
        return wire.CANCEL in unread and number in self.parser.cancelled_in(unread)

    def unread_bytes(self) -> bytes | None:
        """What has come and was not handled, or the first of it; None where the client has gone."""
        unread = peek_unread(self.stream.socket, 2 * self.limits.client_read_size)
        reading = self.pending_read
        if unread is None or reading is None or not reading.done():
            return unread
        return unread if reading.cancelled() or reading.exception() else reading.result() + unread

    def completes_message(self) -> bool:
        """Whether what is unread completes a message."""
        return self.parser.completes(self.unread_bytes() or b"")

    def is_quiet(self) -> bool:
        """Whether nothing is unread; holds for the turn of the loop in which it is called."""
        # While a read is under way, it has brought nothing and the stream holds nothing.
        return self.stream.reading() and not peek_unread(self.stream.socket, 1)
