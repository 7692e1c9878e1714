"""The clients' listening socket, and how it passes from one process to the next without a loss.

Old and new process both listen on the address (SO_REUSEPORT), and the kernel deals connections out among
them. What it deals to a listener that then closes is reset, even if that one accepts until its queue is
empty. So the newer process has all new connections steered to itself from the moment it listens.
"""

import ctypes
import errno
import logging
import socket
import struct
from collections.abc import Callable

from tornado.ioloop import IOLoop

from paddlequay.config.values import Address
from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)

BACKLOG = 1024
FULL_PAUSE = 0.05  # seconds, as long as a beat: short for who waits, and next to no work
FAULTS_TOLD = 5.0  # seconds; faults at one listener are told at most this often
RETURN = struct.Struct("HBBI")  # one instruction of a classic socket filter: code, two jumps, constant
PROGRAM = struct.Struct("HP")  # how many instructions, and where
SO_ATTACH_REUSEPORT_CBPF = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
NEWER = 1  # the place among two listeners of the one that came later


def bound(address: Address) -> socket.socket:
    """A socket that holds the address, beside another process that may hold it, and does not listen yet."""
    host, port = address
    family, *_, where = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)[0]
    held = socket.socket(family, socket.SOCK_STREAM)
    try:
        held.setblocking(False)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        held.bind(where)
    except OSError:
        held.close()
        raise
    return held


def on_connection(
    listener: socket.socket, taken: Callable[[socket.socket], None], most: Callable[[], int]
) -> Callable[[], None]:
    """Accept at most so many in one turn of the loop: all that wait at once would be descriptors beyond the
    limit, and what the earliest of them sent would be read after the last has come. Gives how to stop.

    Where there is room for none, or the system gives no descriptor, the listener is let alone for
    `FULL_PAUSE`: it stays readable, and the loop would do nothing else. What waits keeps its place.
    """
    loop = IOLoop.current()
    resuming: object | None = None
    told_at = -FAULTS_TOLD

    def tells() -> bool:
        nonlocal told_at
        if loop.time() - told_at < FAULTS_TOLD:
            return False
        told_at = loop.time()
        return True

    def accept(fd: socket.socket, events: int) -> None:
        room = most()
        if room < 1:
            return pause("no room")
        for _ in range(room):
            try:
                connection = listener.accept()[0]
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                return pause(errno.errorcode.get(error.errno or 0, str(error)))
            try:
                taken(connection)
            except Exception:
                # One connection's fault harms no other.
                connection.close()
                if tells():
                    LOGGER.exception("connection_not_taken")

    def start() -> None:
        nonlocal resuming
        resuming = None
        loop.add_handler(listener, accept, IOLoop.READ)

    def pause(why: str) -> None:
        nonlocal resuming
        loop.remove_handler(listener)
        resuming = loop.call_later(FULL_PAUSE, start)
        if tells():
            log.event(LOGGER, logging.WARNING, "accept_paused", why=why)

    def stop() -> None:
        nonlocal resuming
        if resuming is None:
            loop.remove_handler(listener)
        else:
            loop.remove_timeout(resuming)
            resuming = None

    start()
    return stop


def steer(listener: socket.socket) -> None:
    """Have the newer of two listeners take all new connections.

    The filter belongs to both together. Where it names a place that is not taken, as once the older listener
    has closed, the kernel deals out as without it.
    """
    code = ctypes.create_string_buffer(RETURN.pack(0x06, 0, 0, NEWER))
    program = PROGRAM.pack(1, ctypes.addressof(code))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        log.event(LOGGER, logging.WARNING, "connections_not_steered", why=str(error))
