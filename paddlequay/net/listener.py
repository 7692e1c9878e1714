"""The listening socket, and how it passes from one process to the next without a loss.

Predecessor and successor both listen on the address (SO_REUSEPORT), and the kernel deals connections out
among them. What it deals to a listener that then closes is reset, even if that one accepts until its queue is
empty. So the successor has all new connections steered to itself from the moment it listens.
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
FULL_PAUSE_S = 0.05  # as long as a heartbeat: short for who waits, and next to no work
LOG_INTERVAL_S = 5.0  # faults at one listener are logged at most this often
RETURN_INSTRUCTION = struct.Struct("HBBI")  # of a classic socket filter: code, two jumps, constant
FILTER_PROGRAM = struct.Struct("HP")  # how many instructions, and where
SO_ATTACH_REUSEPORT_CBPF = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
NEWEST = 1  # the place among two listeners of the one that came later


def bind(address: Address) -> socket.socket:
    """A socket that is bound to the address, beside another process that may be, and does not listen yet.

    Raises OSError where the address cannot be had.
    """
    host, port = address
    family, *_, where = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)[0]
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(where)
    except OSError:
        bound.close()
        raise
    return bound


class Acceptor:
    """Accepts the connections of one listener, from its making until `stop`.

    At most `capacity()` in one turn of the loop: all that wait at once would be descriptors beyond the limit,
    and what the earliest of them sent would be read after the last has come. Where there is capacity for
    none, or the system gives no descriptor, the listener is left alone for `FULL_PAUSE_S`: it stays readable,
    and the loop would do nothing else. What waits keeps its place.
    """

    def __init__(
        self,
        listener: socket.socket,
        on_accept: Callable[[socket.socket], None],
        capacity: Callable[[], int],
    ) -> None:
        self.listener = listener
        self.on_accept = on_accept
        self.capacity = capacity
        self.loop = IOLoop.current()
        self.resume_timer: object | None = None
        self.logged_at = -LOG_INTERVAL_S
        self.start()

    def start(self) -> None:
        """Wait for connections, for the first time or after a pause."""
        self.resume_timer = None
        self.loop.add_handler(self.listener, self.accept, IOLoop.READ)

    def stop(self) -> None:
        """Accept no more; the listener itself stays open."""
        if self.resume_timer is None:
            self.loop.remove_handler(self.listener)
        else:
            self.loop.remove_timeout(self.resume_timer)
            self.resume_timer = None

    def accept(self, listener: socket.socket, events: int) -> None:
        """Connections wait: accept as many as there is capacity for."""
        capacity = self.capacity()
        if capacity < 1:
            return self.pause("no room")
        for _ in range(capacity):
            try:
                connection = self.listener.accept()[0]
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                return self.pause(errno.errorcode.get(error.errno or 0, str(error)))
            try:
                self.on_accept(connection)
            except Exception:  # one connection's fault harms no other
                connection.close()
                if self.may_log():
                    LOGGER.exception("connection_not_taken")

    def pause(self, why: str) -> None:
        """Leave the listener alone for a while."""
        self.loop.remove_handler(self.listener)
        self.resume_timer = self.loop.call_later(FULL_PAUSE_S, self.start)
        if self.may_log():
            log.event(LOGGER, logging.WARNING, "accept_paused", why=why)

    def may_log(self) -> bool:
        """Whether a fault may be logged now; if so, the next one after `LOG_INTERVAL_S`."""
        if self.loop.time() - self.logged_at < LOG_INTERVAL_S:
            return False
        self.logged_at = self.loop.time()
        return True


def accept_backlog(
    listener: socket.socket, on_accept: Callable[[socket.socket], None], free_descriptor: Callable[[], bool]
) -> bool:
    """Accept all connections that wait now; False where some are left, as no descriptor could be freed."""
    while True:
        try:
            accepted = listener.accept()[0]
        except BlockingIOError:
            return True
        except ConnectionAbortedError:
            continue
        except OSError:
            if not free_descriptor():
                return False
        else:
            on_accept(accepted)


def steer_to_newest(listener: socket.socket) -> None:
    """Have the newer of two listeners take all new connections.

    The filter belongs to both together. Where it names a place that is not taken, as once the older listener
    has closed, the kernel deals out as without it.
    """
    code = ctypes.create_string_buffer(RETURN_INSTRUCTION.pack(0x06, 0, 0, NEWEST))
    program = FILTER_PROGRAM.pack(1, ctypes.addressof(code))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        log.event(LOGGER, logging.WARNING, "connections_not_steered", why=str(error))
