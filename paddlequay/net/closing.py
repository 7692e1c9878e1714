"""How a connection ends in order: our side first, then what still comes is read to its end and passed over.

A close over bytes that were not read makes the system reset the connection: the peer then loses what it had
not read yet, and what the system still held back for it. Nothing read here is looked at, or sent on.
"""

import asyncio
import socket
from collections import OrderedDict

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

LINGER = 0.1  # seconds to the peer's end: a round trip, and the time in which a busy peer looks
LINGER_MOST = 64  # connections at once; each is a descriptor
CHUNK = 64 * 1024
READS_MOST = 256  # of one connection, so that a peer that sends without end is no work without end


def quiet(stream: IOStream) -> bool:
    """Whether a read waits and nothing has come for it, be it unread or read by the stream already."""
    if stream.closed() or not stream.reading():
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False


class Closing:
    """Connections that are shut and not closed yet, the longest first. Bounded in number, time and reads."""

    def __init__(self) -> None:
        self.open: OrderedDict[socket.socket, int] = OrderedDict()  # and how often each was read

    def close(self, stream: IOStream) -> None:
        """Close a stream for its owner; its connection ends with the peer's end, after `LINGER` at most.

        What the stream has not written yet is not written any more.
        """
        if stream.closed():
            return
        # Taken out of the stream, whose close would close it as well.
        IOLoop.current().remove_handler(stream.socket.fileno())
        taken = stream.socket
        held = socket.socket(taken.family, taken.type, taken.proto, fileno=taken.detach())
        stream.close()
        try:
            held.setblocking(False)
            held.shutdown(socket.SHUT_WR)
        except OSError:
            return held.close()  # the peer has gone
        while len(self.open) >= LINGER_MOST:
            self.end(next(iter(self.open)))
        self.open[held] = 0
        loop = asyncio.get_running_loop()
        loop.add_reader(held, self.read, held)
        loop.call_later(LINGER, self.end, held)

    def read(self, held: socket.socket) -> None:
        try:
            data = held.recv(CHUNK)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        self.open[held] += 1
        if not data or self.open[held] >= READS_MOST:
            self.end(held)

    def end(self, held: socket.socket) -> None:
        if self.open.pop(held, None) is not None:
            asyncio.get_running_loop().remove_reader(held)
            held.close()

    async def finished(self, by: float) -> None:
        """Wait until all have ended, at most until this time of the loop; then all are closed."""
        now = asyncio.get_running_loop().time
        while self.open and now() < by:
            await asyncio.sleep(0.005)
        for held in list(self.open):
            self.end(held)
