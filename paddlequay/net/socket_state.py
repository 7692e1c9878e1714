"""What has come on a connection and is not read yet, looked at without reading it."""

import select
import socket

END_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def peek_unread(connection: socket.socket, most: int) -> bytes | None:
    """The first `max_size` unread bytes; None once the other end has closed, or the connection broke.

    One system call where there are none. Bytes hide an end behind them: where there are some, a second call
    checks for it. Where the system does not say, the end shows once they are read.
    """
    try:
        came = connection.recv(most, socket.MSG_PEEK)
    except BlockingIOError:
        return b""
    except OSError:
        return None
    return came if came and not is_hung_up(connection) else None


def is_hung_up(connection: socket.socket) -> bool:
    """Whether the other end has closed, or the connection broke."""
    look = select.poll()
    try:
        look.register(connection, END_EVENTS)
        return any(events & END_EVENTS for _, events in look.poll(0))
    except OSError:
        return False
