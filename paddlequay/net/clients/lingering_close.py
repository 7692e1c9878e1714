"""Closes a connection that this side has ended, once its client has received all answers."""

import asyncio
from collections.abc import Callable

from paddlequay.net.clients.answer_writer import AnswerWriter

LINGER_S = 0.3  # between the receipt of the last answer and the close, unless the client closes first


class LingeringClose:
    """The time between the end of the sending side and the close of the connection.

    Meanwhile the session reads and drops what the client still sends. If this side closed the connection with
    bytes unread or answers unacknowledged, the kernel would reset it and drop the answers. A client that
    receives nothing any more is closed by the stall time-out.

    Args:
        writer: The writer of the connection, which knows what the client has received.
        close: Closes the connection.
    """

    __slots__ = ("close", "delivered", "timer", "writer")

    def __init__(self, writer: AnswerWriter, close: Callable[[], None]) -> None:
        self.writer = writer
        self.close = close
        self.delivered = False
        self.timer: asyncio.TimerHandle | None = None
        self._wait()

    def _wait(self) -> None:
        self.delivered = not self.writer.undelivered_bytes
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self._continue)

    def _continue(self) -> None:
        """Closes the connection if all was received `LINGER_S` ago; waits on otherwise."""
        if self.delivered:
            self.close()
        else:
            self._wait()

    def cancel(self) -> None:
        """Ends the wait; called once the connection is closed."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
