"""Writes answers to a client without waiting, and limits the bytes that slow readers leave unsent."""

import contextlib
import socket
from collections.abc import Callable, Collection
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import Buffer

MAX_JOINED_BYTES = 16 * 1024  # up to this size, an answer is copied into one write: cheaper than more packets


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

    @property
    def writers(self) -> Collection["AnswerWriter"]:
        """Returns the writers of all connections."""
        ...


class AnswerWriter:
    """Writes answers to one connection.

    Attributes:
        unsent_bytes: Bytes of answers that the kernel has not accepted yet.
        last_written_at: When the kernel last accepted an answer completely, or when the first of the unsent
            answers was written, in monotonic seconds.
    """

    __slots__ = ("front", "last_written_at", "stream", "unsent_bytes")

    def __init__(self, front: WriterFront, stream: IOStream) -> None:
        self.front = front
        self.stream = stream
        self.unsent_bytes = 0
        self.last_written_at = front.now()

    def write(self, pieces: tuple[Buffer, ...], on_written: Callable[[], None]) -> None:
        """Writes an answer without waiting for the client to read it.

        Closes this connection if too many of its bytes are unsent, or the one with the most unsent bytes if
        too many bytes of all connections are.

        Args:
            pieces: The answer.
            on_written: Called once the kernel has accepted the whole answer. The writer does not store it:
                it refers to the session, and a connection in a reference cycle is freed late.
        """
        size = sum(map(len, pieces))
        if not self.unsent_bytes:
            self.last_written_at = self.front.now()
        if self.unsent_bytes + size > self.front.limits.max_client_unsent:
            self.front.counters.add("slow_readers")
            self.front.counters.add("slow_readers.client_limit")
            self.stream.close()
            return
        if self.front.unsent_bytes + size > self.front.max_unsent:
            slowest = self.close_slowest()
            if slowest is self:
                return
        self.unsent_bytes += size
        self.front.unsent_bytes += size
        if size <= MAX_JOINED_BYTES:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                write_future = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self.front.unsent_bytes -= size
            self.unsent_bytes -= size
            return
        self.front.counters.add("answer_bytes", size)
        if write_future.done():  # the usual case
            self.note_written(size, on_written)
        else:
            write_future.add_done_callback(lambda _: self.note_written(size, on_written))

    def close_slowest(self) -> "AnswerWriter":
        """Closes the connection with the most unsent bytes, and returns its writer."""
        self.front.counters.add("slow_readers")
        self.front.counters.add("slow_readers.total_limit")
        slowest = max(self.front.writers, key=lambda writer: writer.unsent_bytes)
        slowest.stream.close()
        return slowest

    def note_written(self, size: int, on_written: Callable[[], None]) -> None:
        """Records that the kernel has accepted an answer of `size` bytes."""
        self.unsent_bytes -= size
        self.front.unsent_bytes -= size
        self.last_written_at = self.front.now()
        on_written()

    def shut_down(self) -> None:
        """Closes the sending side of the connection if all answers are sent."""
        if not self.unsent_bytes and not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)
