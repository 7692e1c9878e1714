"""What the peer of a connection has received of what was written, and the close that waits for that."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.net.socket_state import acknowledged_bytes, unacknowledged_bytes

DROPPED_READ_SIZE = 64 * 1024


class Delivery:
    """The bytes of one connection that its peer has acknowledged or not.

    Args:
        stream: The connection.
        now: The clock, in monotonic seconds.

    Attributes:
        is_shut_down: Whether the sending side of the connection is closed.
        progressed_at: When a check last found that the peer had received more, in monotonic seconds.
        acknowledged: The bytes that the peer had acknowledged then.
    """

    __slots__ = ("acknowledged", "is_shut_down", "now", "progressed_at", "stream")

    def __init__(self, stream: IOStream, now: Callable[[], float]) -> None:
        self.stream = stream
        self.now = now
        self.is_shut_down = False
        self.progressed_at = now()
        self.acknowledged = 0

    @property
    def unacknowledged_bytes(self) -> int:
        """Returns the bytes that the kernel has accepted and the peer has not acknowledged."""
        if self.stream.closed():
            return 0
        unacknowledged = unacknowledged_bytes(self.stream.socket)
        if self.is_shut_down and unacknowledged:
            unacknowledged -= 1  # the kernel counts the end of the sending side as one byte
        return unacknowledged

    def shut_down(self) -> None:
        """Closes the sending side of the connection; the kernel sends all that it has accepted."""
        self.is_shut_down = True
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)

    def restart(self) -> None:
        """Counts the time without progress from now on; called when bytes are written after a rest."""
        self.progressed_at = self.now()

    def seconds_without_progress(self) -> float:
        """Returns how long ago the peer last received something, by repeated checks."""
        now = self.now()
        acknowledged = 0 if self.stream.closed() else acknowledged_bytes(self.stream.socket)
        if acknowledged != self.acknowledged:
            self.acknowledged = acknowledged
            self.progressed_at = now
        return now - self.progressed_at


async def close_when_delivered(stream: IOStream, linger_s: float, stall_timeout_s: float) -> None:
    """Ends the sending side once all is written, and closes the connection once its peer has received it.

    Meanwhile it reads and drops what the peer still sends, because a close with bytes unread or
    unacknowledged can reset the connection and lose what was written. The peer may close first.

    Args:
        stream: The connection; nothing else reads from it or writes to it.
        linger_s: The seconds between the receipt of the last byte and the close.
        stall_timeout_s: The connection is closed once its peer has received nothing for so many seconds.
    """
    delivery = Delivery(stream, asyncio.get_running_loop().time)
    work = asyncio.ensure_future(_send_and_drop(stream, delivery))
    delivered = False
    try:
        while delivery.seconds_without_progress() <= stall_timeout_s:
            await asyncio.wait((work,), timeout=linger_s)
            if work.done() or delivered:
                return
            delivered = delivery.is_shut_down and not delivery.unacknowledged_bytes
    finally:
        work.cancel()
        stream.close()


async def _send_and_drop(stream: IOStream, delivery: Delivery) -> None:
    """Waits until all is written, ends the sending side, and reads until the peer closes."""
    with contextlib.suppress(StreamClosedError):
        await stream.write(b"")  # completes with the writes before it
        delivery.shut_down()
        while True:
            await stream.read_bytes(DROPPED_READ_SIZE, partial=True)
            await asyncio.sleep(0)
