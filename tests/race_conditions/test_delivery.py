"""The close that waits until the peer has received what was written, as console and tier use it."""

import asyncio
import contextlib
import socket
import time

from rig_clients import until
from tornado.iostream import IOStream

from paddlequay.net.delivery import close_when_delivered

BODY = bytes(3_000_000)
RECEIVE_BUFFER = 16_384


def connect() -> tuple[socket.socket, IOStream]:
    """Returns the peer's socket, which does not block, and the stream of this side."""
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        peer.connect(listener.getsockname())
        peer.setblocking(False)
        accepted = listener.accept()[0]
    accepted.setblocking(False)
    return peer, IOStream(accepted)


def test_a_peer_that_reads_slowly_and_sends_on_receives_everything() -> None:
    # Guards against: a reset by bytes that the peer sends behind its call, which drops the answer.
    async def scene() -> None:
        peer, stream = connect()
        stream.write(BODY)
        closing = asyncio.ensure_future(close_when_delivered(stream, linger_s=0.1, stall_timeout_s=1.0))
        received = 0
        loop = asyncio.get_running_loop()
        while data := await asyncio.wait_for(loop.sock_recv(peer, 1 << 16), 5.0):
            received += len(data)
            with contextlib.suppress(BlockingIOError):
                peer.send(bytes(1000))
            await asyncio.sleep(0.02)
        assert received == len(BODY) and not closing.done()
        started_at = time.monotonic()
        await closing
        assert stream.closed() and time.monotonic() - started_at < 1.0
        peer.close()

    asyncio.run(scene())


def test_a_peer_that_receives_nothing_is_closed_after_the_stall_time_out() -> None:
    # Guards against: a connection that waits for ever for a peer that reads nothing.
    async def scene() -> None:
        peer, stream = connect()
        stream.write(BODY)
        started_at = time.monotonic()
        await close_when_delivered(stream, linger_s=0.05, stall_timeout_s=0.4)
        assert stream.closed() and 0.4 < time.monotonic() - started_at < 3.0
        peer.close()

    asyncio.run(scene())


def test_a_peer_that_closes_first_ends_the_wait() -> None:
    # Guards against: a descriptor held for the whole linger time after the peer has closed.
    async def scene() -> None:
        peer, stream = connect()
        stream.write(b"answer")
        closing = asyncio.ensure_future(close_when_delivered(stream, linger_s=60.0, stall_timeout_s=60.0))
        await asyncio.sleep(0.05)
        assert peer.recv(100) == b"answer"
        peer.close()
        await until(closing.done, "the wait is over")
        assert stream.closed()

    asyncio.run(scene())
