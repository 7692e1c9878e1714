"""Writes answers to a client without waiting, and limits the bytes that slow readers leave unsent."""

import math
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.net.delivery import Delivery
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import Buffer

MAX_JOINED_BYTES = 16 * 1024  # up to this size, an answer is copied into one write: cheaper than more packets
# Rejections and errors are written even if the limits on unsent bytes are reached, up to this many bytes for
# each connection. The protocol's 32 open requests, answered with a rejection each, need less than a tenth.
MAX_EXCESS_BYTES = 32 * 1024
PROMPT_BYTES = 16 * 1024  # undelivered, which even a slow client has read within some 20 ms
SETTLE_S = 0.1  # in which a client reads the answers that only its own system has received


class WriterFront(Protocol):
    """The state that all connections share: the unsent bytes and their limit."""

    limits: Limits
    counters: Counters
    unsent_bytes: int

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        ...

    @property
    def max_unsent(self) -> float:
        """Returns the limit on `unsent_bytes` of all connections."""
        ...


class AnswerWriter:
    """Writes answers to one connection.

    Before it writes a served answer, a caller checks `has_capacity`, and sends a rejection if there is none.
    So a client that reads slowly gets an answer to each request, and its unsent answers have a limit.

    Attributes:
        unsent_bytes: Bytes of answers that the kernel has not accepted yet.
        excess_bytes: The part of `unsent_bytes` that was written beyond the limits.
        last_written_at: When the kernel last accepted an answer completely, or when the first of the unsent
            answers was written, in monotonic seconds.
        delivery: What the client has received.
        behind_at: When a check last found more than `PROMPT_BYTES` undelivered, in monotonic seconds.
    """

    __slots__ = (
        "behind_at", "delivery", "excess_bytes", "front", "last_written_at", "stream", "unsent_bytes",
    )  # fmt: skip

    def __init__(self, front: WriterFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.unsent_bytes = 0
        self.excess_bytes = 0
        self.last_written_at = front.now()
        self.delivery = Delivery(stream, front.now)
        self.behind_at = -math.inf

    @property
    def max_unsent(self) -> float:
        """Returns the limit on the unsent bytes of this connection.

        A connection may hold half of the bytes that the other ones leave (a dynamic threshold, as switches
        use it for a shared buffer). So however many clients read slowly, some bytes stay free for others.
        """
        left_by_others = self.front.max_unsent - self.front.unsent_bytes + self.unsent_bytes
        return min(self.front.limits.max_client_unsent, left_by_others / 2)

    @property
    def undelivered_bytes(self) -> int:
        """Returns the bytes that the client's system has not acknowledged, in the stream or the kernel.

        Answers of which the kernel has accepted a part count twice in that part.
        """
        if self.stream.closed():
            return 0
        return self.unsent_bytes + self.delivery.unacknowledged_bytes

    def is_client_up_to_date(self) -> bool:
        """Returns whether the client would notice the end of the connection almost at once.

        It would not while it still has to read answers, in this or its own system. Called repeatedly, at
        intervals below `SETTLE_S`.
        """
        now = self.front.now()
        if self.undelivered_bytes > PROMPT_BYTES:
            self.behind_at = now
        return now - self.behind_at >= SETTLE_S

    def stalled_s(self) -> float:
        """Returns for how many seconds the client has received nothing of its answers; 0 if it has all.

        Called repeatedly, and exact to the interval between two calls.
        """
        if not self.undelivered_bytes:
            return 0.0
        return min(self.delivery.seconds_without_progress(), self.front.now() - self.last_written_at)

    def is_receiving(self, max_stall_s: float) -> bool:
        """Returns whether answers are undelivered and the client has received some within `max_stall_s`."""
        return bool(self.undelivered_bytes) and self.stalled_s() <= max_stall_s

    def has_capacity(self, size: int) -> bool:
        """Returns whether an answer of `size` bytes can be written within the limits on unsent bytes.

        A connection without unsent bytes may use all that is free, as its client may read at once.
        """
        return self._fits(size) and (not self.unsent_bytes or self.unsent_bytes + size <= self.max_unsent)

    def write(self, pieces: tuple[Buffer, ...], on_written: Callable[[], None]) -> None:
        """Writes an answer without waiting for the client to read it.

        Closes the connection if more than `MAX_EXCESS_BYTES` would be unsent beyond the limits: its client
        has left more answers unread than it may have requests open.

        Args:
            pieces: The answer.
            on_written: Called once the kernel has accepted the whole answer. The writer does not store it:
                it refers to the session, and a connection in a reference cycle is freed late.
        """
        if self.stream.closed():
            return
        size = sum(map(len, pieces))
        excess = 0 if self._fits(size) else size
        if self.excess_bytes + excess > MAX_EXCESS_BYTES:
            self.front.counters.add("slow_readers")
            self.front.counters.add("slow_readers.excess")
            self.stream.close()
            return
        if not self.unsent_bytes:
            self.last_written_at = self.front.now()
        self._add_unsent(size, excess)
        if size <= MAX_JOINED_BYTES:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                write_future = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self._add_unsent(-size, -excess)
            return
        self.front.counters.add("answer_bytes", size)
        if write_future.done():  # the usual case
            self.note_written(size, excess, on_written)
        else:
            write_future.add_done_callback(lambda _: self.note_written(size, excess, on_written))

    def note_written(self, size: int, excess: int, on_written: Callable[[], None]) -> None:
        """Records that the kernel has accepted an answer, `excess` bytes of which were over the limits."""
        self._add_unsent(-size, -excess)
        self.last_written_at = self.front.now()
        on_written()

    def _fits(self, size: int) -> bool:
        """Returns whether `size` more bytes are within the limits of one client and of all clients."""
        fits_client = self.unsent_bytes + size <= self.front.limits.max_client_unsent
        return fits_client and self.front.unsent_bytes + size <= self.front.max_unsent

    def _add_unsent(self, size: int, excess: int) -> None:
        self.unsent_bytes += size
        self.excess_bytes += excess
        self.front.unsent_bytes += size

    def shut_down(self) -> None:
        """Closes the sending side of the connection if all answers are sent."""
        if not self.unsent_bytes and not self.stream.closed():
            self.delivery.shut_down()
