"""The reading side of one client connection: reads, parses and peeks at what the client has sent."""

import asyncio
import math
from collections.abc import Callable

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.net.socket_state import peek_unread
from paddlequay.protocol import clients as wire

# No attempt may start 0.1 s after its client disconnected or cancelled; both times stay well below that.
MAX_BACKLOG_S = 0.03  # calls wait for this long while more can be read, as a cancel may follow
RECHECK_AFTER_S = 0.01  # before a client seen to be connected is checked again


class ClientInput:
    """Reads from one connection. Times are monotonic seconds, by the clock `now`.

    Attributes:
        partial_since: When the last byte of an incomplete message was received; None without one.
        partial_reads: The number of reads that brought parts of that message.
        pending_read: The read under way, or one whose bytes are not handled yet.
        backlog_since: Since when there was always more to read; None while there is not.
        backlog_messages: The messages read since then.
        checked_at: When the client was last seen connected, with nothing unread.
    """

    __slots__ = (
        "backlog_messages", "backlog_since", "checked_at", "limits", "now", "parser", "partial_reads",
        "partial_since", "pending_read", "stream",
    )  # fmt: skip

    def __init__(self, stream: IOStream, limits: Limits, now: Callable[[], float]) -> None:
        self.stream = stream
        self.limits = limits
        self.now = now
        self.parser = wire.ClientMessageParser(limits.max_client_frame)
        self.partial_since: float | None = None
        self.partial_reads = 0
        self.pending_read: asyncio.Future[bytes] | None = None
        self.backlog_since: float | None = None
        self.backlog_messages = 0
        self.checked_at = -math.inf

    def start_read(self) -> asyncio.Future[bytes]:
        """Starts the next read; it is done at once if bytes have been received.

        The rest of a long message is read in large chunks; small calls in small ones, so that other
        connections are served in between.
        """
        limits = self.limits
        is_long_message = len(self.parser.partial) >= limits.client_read_size
        chunk_size = limits.max_client_frame if is_long_message else limits.client_read_size
        self.stream.read_chunk_size = chunk_size
        reading = asyncio.ensure_future(self.stream.read_bytes(chunk_size, partial=True))
        self.pending_read = reading
        now = self.now()
        if not reading.done():
            self.backlog_since = None
            self.backlog_messages = 0
            self.checked_at = now
        elif self.backlog_since is None:
            self.backlog_since = now
        return reading

    def is_backlogged(self) -> bool:
        """Returns whether there was always more to read for longer than `MAX_READ_AHEAD_S`."""
        return self.backlog_since is not None and self.now() - self.backlog_since > MAX_BACKLOG_S

    def note_partial_message(self, now: float) -> None:
        """Notes after a read whether it left an incomplete message."""
        self.partial_since = now if self.parser.partial else None
        self.partial_reads = self.partial_reads + 1 if self.parser.partial else 0

    def is_disconnected(self, number: int) -> bool:
        """Returns whether the client has closed the connection or cancelled a request, even if unread.

        Costs one system call if nothing is unread, and none within `RECHECK_AFTER_S` of the last one.
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
        """Returns the first unhandled bytes; None if the client has closed the connection."""
        unread = peek_unread(self.stream.socket, 2 * self.limits.client_read_size)
        reading = self.pending_read
        if unread is None or reading is None or not reading.done():
            return unread
        return unread if reading.cancelled() or reading.exception() else reading.result() + unread

    def completes_message(self) -> bool:
        """Returns whether the unread bytes complete a message."""
        return self.parser.completes(self.unread_bytes() or b"")

    def has_nothing_unread(self) -> bool:
        """Returns whether nothing is unread, as of this iteration of the event loop."""
        # A read that is under way has received nothing, and the stream buffers nothing.
        return self.stream.reading() and not peek_unread(self.stream.socket, 1)
