"""Reads the state of a connected socket without consuming its bytes."""

import array
import fcntl
import select
import socket
import struct
import termios

TCP_INFO = getattr(socket, "TCP_INFO", 11)
BYTES_ACKED = struct.Struct("=Q")
BYTES_ACKED_OFFSET = 120  # of `tcpi_bytes_acked` in `struct tcp_info` (linux/tcp.h)
END_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def peek_unread(connection: socket.socket, max_size: int) -> bytes | None:
    """Returns up to `max_size` unread bytes; None once the peer has closed or the connection is broken.

    Costs one system call if nothing is unread. Unread bytes hide a close of the peer, so if there are some,
    another system call checks for it. Where the system does not report it, the close is noticed once the
    bytes are read.
    """
    try:
        unread = connection.recv(max_size, socket.MSG_PEEK)
    except BlockingIOError:
        return b""
    except OSError:
        return None
    return unread if unread and not is_hung_up(connection) else None


def peek_byte(connection: socket.socket) -> bytes | None:
    """Returns the next unread byte; empty bytes at the end of the stream, None if nothing is unread."""
    try:
        return connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_hung_up(connection: socket.socket) -> bool:
    """Returns whether the peer has closed or the connection is broken."""
    poll = select.poll()
    try:
        poll.register(connection, END_EVENTS)
        return any(events & END_EVENTS for _, events in poll.poll(0))
    except OSError:
        return False


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Returns how many sent bytes the peer has not acknowledged; 0 if the system does not report it.

    A close while bytes are unacknowledged may lose them: if the peer sends anything afterwards, the kernel
    resets the connection and drops its send queue.
    """
    size = array.array("i", [0])
    try:
        fcntl.ioctl(connection, termios.TIOCOUTQ, size)
    except OSError:
        return 0
    return size[0]


def acknowledged_bytes(connection: socket.socket) -> int:
    """Returns how many bytes the peer has acknowledged so far; 0 if the system does not report it."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, TCP_INFO, BYTES_ACKED_OFFSET + BYTES_ACKED.size)
        return int(BYTES_ACKED.unpack_from(info, BYTES_ACKED_OFFSET)[0])
    except (OSError, struct.error):
        return 0
