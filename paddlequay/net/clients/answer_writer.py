"""Answers on their way to one client: written without waiting, bounded where it does not take them."""

import contextlib
import socket
from collections.abc import Callable, Collection
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import Buffer

# In bytes: pieces up to this size are copied into one write, as a packet costs more than a copy.
MAX_JOINED_SIZE = 16 * 1024


class WriterFront(Protocol):
    """What all connections share: the bytes that their clients have not taken, and the bound on them."""

    limits: Limits
    counters: Counters
    unsent_bytes: int

    def now(self) -> float:
        """Monotonic seconds."""
        ...

    @property
    def max_unsent(self) -> float:
        """The bound on `unsent_bytes`, over all connections."""
        ...

    @property
    def writers(self) -> Collection["AnswerWriter"]:
        """The writers of all connections."""
        ...


class AnswerWriter:
    """Writes to one connection.

    `unsent_bytes` and `last_taken_at`, in monotonic seconds, show how its client reads.
    """

    __slots__ = ("front", "last_taken_at", "stream", "unsent_bytes")

    def __init__(self, front: WriterFront, stream: IOStream) -> None:
        self.front, self.stream = front, stream
        self.unsent_bytes = 0
        self.last_taken_at = front.now()

    def write(self, pieces: tuple[Buffer, ...], on_taken: Callable[[], None]) -> None:
        """Write without waiting: a slow reader must not hold up others, so its backlog is bounded instead.

        Past a bound the connection of whoever takes least is closed, which may be this one. `on_taken` is
        called once the system has taken all; it is not kept, as a connection that refers to itself is freed
        late.
        """
        size = sum(map(len, pieces))
        if not self.unsent_bytes:
            self.last_taken_at = self.front.now()
        if self.unsent_bytes + size > self.front.limits.max_client_unsent:
            self.front.counters.add("slow_readers")
            return self.stream.close()
        if self.front.unsent_bytes + size > self.front.max_unsent:
            # Whoever takes least of what waits for it, not whoever is answered next.
            self.front.counters.add("slow_readers")
            slowest = max(self.front.writers, key=lambda writer: writer.unsent_bytes)
            slowest.stream.close()
            if slowest is self:
                return
        self.unsent_bytes += size
        self.front.unsent_bytes += size
        if size <= MAX_JOINED_SIZE:
            pieces = (b"".join(pieces),)
        try:
            for piece in pieces:
                done = self.stream.write(memoryview(piece))
        except StreamClosedError:
            self.front.unsent_bytes -= size
            self.unsent_bytes -= size
            return
        self.front.counters.add("answer_bytes", size)
        if done.done():  # taken at once, as nearly always
            self.taken(size, on_taken)
        else:
            done.add_done_callback(lambda _: self.taken(size, on_taken))

    def taken(self, size: int, on_taken: Callable[[], None]) -> None:
        """The system has taken an answer of so many bytes."""
        self.unsent_bytes -= size
        self.front.unsent_bytes -= size
        self.last_taken_at = self.front.now()
        on_taken()

    def shut_down(self) -> None:
        """Tell the client that nothing follows, once it has been sent all of its answers."""
        if not self.unsent_bytes and not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)
