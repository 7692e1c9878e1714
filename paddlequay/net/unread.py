"""What has come on a connection and is not read yet, looked at without reading it."""

import select
import socket

ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def unread(connection: socket.socket, most: int) -> bytes | None:
    """The first `most` bytes that are not read; None once the other end has closed, or the connection broke.

    One call of the system where there are none. Bytes hide an end behind them: where there are some, a second
    call asks for it. Where that is not told, the end shows once they are read.
    """
    try:
        came = connection.recv(most, socket.MSG_PEEK)
    except BlockingIOError:
        return b""
    except OSError:
        return None
    return came if came and not hung_up(connection) else None


def hung_up(connection: socket.socket) -> bool:
    look = select.poll()
    try:
        look.register(connection, ENDED)
        return any(events & ENDED for _, events in look.poll(0))
    except OSError:
        return False
