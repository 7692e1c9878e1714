"""The receiving side of one client connection: reads and parses messages, and peeks at unread bytes."""

import asyncio
import math
from collections.abc import Callable

from tornado.iostream import IOStream

from paddlequay.config.limits import Limits
from paddlequay.net.socket_state import peek_unread
from paddlequay.protocol import clients as wire

# An attempt must not start more than 0.1 s after its client has disconnected or cancelled; both times are
# well below that.
MAX_BACKLOG_S = 0.03  # while more bytes can be read, calls wait up to this long, because a cancel may follow
MAX_BUSY_S = 0.002  # on the messages of one read, before the event loop serves other connections
MIN_READ_SIZE = 256
LONG_MESSAGE_READS = 4  # the rest of a long message is read in chunks so many times as large
RECHECK_AFTER_S = 0.01  # a client found to be connected is not checked again for this long


class ClientInput:
    """Reads from one connection. Times are monotonic seconds, by the clock `now`.

    Attributes:
        partial_since: When the last byte of an incomplete message was received; None without one.
        partial_reads: The number of reads that have returned parts of that message.
        pending_read: The read in progress, or a completed one whose bytes are not handled yet.
        backlog_since: Since when no read has had to wait for bytes; None if the last one had to.
        backlog_messages: The number of messages read since `backlog_since`.
        read_size: The size of the next read, unless it continues a long message.
        checked_at: When the client was last found to be connected, with no byte unread.
    """

    __slots__ = (
        "backlog_messages", "backlog_since", "checked_at", "limits", "now", "parser", "partial_reads",
        "partial_since", "pending_read", "read_size", "stream",
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
        self.read_size = limits.client_read_size

    def start_read(self) -> asyncio.Future[bytes]:
        """Starts the next read, which is done at once if bytes have been received already.

        The rest of a long message is read in larger chunks. Small calls are read in small chunks, so that
        other connections are served in between.
        """
        limits = self.limits
        is_long_message = len(self.parser.partial) >= limits.client_read_size
        chunk_size = limits.client_read_size * LONG_MESSAGE_READS if is_long_message else self.read_size
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

    def adapt_read_size(self, busy_s: float) -> None:
        """Halves or doubles the size of small reads, by the seconds that the last one has taken."""
        if busy_s > MAX_BUSY_S:
            self.read_size = max(MIN_READ_SIZE, self.read_size // 2)
        elif busy_s < MAX_BUSY_S / 4:
            self.read_size = min(self.limits.client_read_size, self.read_size * 2)

    def is_backlogged(self) -> bool:
        """Returns whether no read has had to wait for bytes for longer than `MAX_BACKLOG_S`."""
        return self.backlog_since is not None and self.now() - self.backlog_since > MAX_BACKLOG_S

    def note_partial_message(self, now: float) -> None:
        """Records, after a read, whether it ended with an incomplete message."""
        self.partial_since = now if self.parser.partial else None
        self.partial_reads = self.partial_reads + 1 if self.parser.partial else 0

    def is_disconnected(self, number: int) -> bool:
        """Returns whether the client has closed the connection or cancelled a request.

        A close or cancel counts even if it is still unread. The check costs one system call if nothing is
        unread, and none within `RECHECK_AFTER_S` after such a check.
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
        """Returns the first unhandled bytes received; None if the client has closed the connection."""
        unread = peek_unread(self.stream.socket, 2 * self.limits.client_read_size)
        reading = self.pending_read
        if unread is None or reading is None or not reading.done():
            return unread
        return unread if reading.cancelled() or reading.exception() else reading.result() + unread

    def completes_message(self) -> bool:
        """Returns whether the unread bytes complete a message."""
        return self.parser.completes(self.unread_bytes() or b"")

    def has_nothing_unread(self) -> bool:
        """Returns whether all bytes received until this iteration of the event loop are handled."""
        # While a read is in progress, it has received nothing and the stream's buffer is empty.
        return self.stream.reading() and not peek_unread(self.stream.socket, 1)
