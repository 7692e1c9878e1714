"""The listening socket, and its handover from one process to the next without a lost connection.

Predecessor and successor both listen on the address (SO_REUSEPORT), and the kernel distributes connections
between them. A connection that is assigned to a listener which then closes is reset, even if its process
accepts until the queue is empty. So the successor steers all new connections to itself as soon as it listens.
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
# As long as a heartbeat interval: a short wait for clients, and little work for the event loop.
FULL_PAUSE_S = 0.05
LOG_INTERVAL_S = 5.0  # at least, between two logged faults of one listener
# A classic BPF program of one instruction, which returns the index of the listener that gets a connection
# (linux/filter.h).
BPF_INSTRUCTION = struct.Struct("HBBI")  # code, two jump offsets, constant
BPF_PROGRAM = struct.Struct("HP")  # the number of instructions, and the address of the first
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K
SO_ATTACH_REUSEPORT_CBPF = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
NEWEST_LISTENER_INDEX = 1  # the later of two listeners


def bind(address: Address) -> socket.socket:
    """Returns a socket bound to an address, which another process may bind as well; it does not listen yet.

    Raises:
        OSError: If the address cannot be bound.
    """
    host, port = address
    family, *_, resolved = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)[0]
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(resolved)
    except OSError:
        bound.close()
        raise
    return bound


class Acceptor:
    """Accepts the connections of one listener from its creation until `stop`.

    At most `capacity()` connections are accepted in one iteration of the event loop, to stay within the
    limit on descriptors and to read the accepted connections' requests soon. Without capacity or descriptors,
    accepting pauses for `FULL_PAUSE_S`, because a readable listener would keep the event loop busy; new
    connections wait in the backlog.

    Args:
        listener: The listening socket.
        on_accept: Receives each accepted connection.
        capacity: Returns how many connections may be accepted now.

    Attributes:
        resume_timer: Ends the pause; None while connections are accepted.
        logged_at: When a fault was last logged, by the event loop's clock.
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
        """Starts to accept connections, for the first time or after a pause."""
        self.resume_timer = None
        self.loop.add_handler(self.listener, self.accept, IOLoop.READ)

    def stop(self) -> None:
        """Stops accepting; the listener stays open."""
        if self.resume_timer is None:
            self.loop.remove_handler(self.listener)
        else:
            self.loop.remove_timeout(self.resume_timer)
            self.resume_timer = None

    def accept(self, listener: socket.socket, events: int) -> None:
        """Accepts waiting connections up to the capacity."""
        capacity = self.capacity()
        if capacity < 1:
            self.pause("no capacity")
            return
        for _ in range(capacity):
            try:
                connection = self.listener.accept()[0]
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self.pause(errno.errorcode.get(error.errno or 0, str(error)))
                return
            try:
                self.on_accept(connection)
            except Exception:  # error boundary of one connection: no other one is affected
                connection.close()
                if self.may_log():
                    LOGGER.exception("connection_not_taken")

    def pause(self, why: str) -> None:
        """Stops accepting for `FULL_PAUSE_S`."""
        self.loop.remove_handler(self.listener)
        self.resume_timer = self.loop.call_later(FULL_PAUSE_S, self.start)
        if self.may_log():
            log.event(LOGGER, logging.WARNING, "accept_paused", why=why)

    def may_log(self) -> bool:
        """Returns whether a fault may be logged now; if so, returns False for the next `LOG_INTERVAL_S`."""
        if self.loop.time() - self.logged_at < LOG_INTERVAL_S:
            return False
        self.logged_at = self.loop.time()
        return True


def accept_backlog(
    listener: socket.socket, on_accept: Callable[[socket.socket], None], free_descriptor: Callable[[], bool]
) -> bool:
    """Accepts all waiting connections; returns False if one is left because no descriptor can be freed.

    Args:
        listener: The listening socket.
        on_accept: Receives each accepted connection.
        free_descriptor: Closes another socket to free a descriptor; returns whether that was possible.
    """
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
    """Steers all new connections to the newer of two listeners on one address.

    The BPF program applies to both listeners. Once the older one has closed, the index that it returns is
    invalid, and the kernel distributes connections as if there were no program.
    """
    code = ctypes.create_string_buffer(BPF_INSTRUCTION.pack(BPF_RETURN_CONSTANT, 0, 0, NEWEST_LISTENER_INDEX))
    program = BPF_PROGRAM.pack(1, ctypes.addressof(code))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:
        log.event(LOGGER, logging.WARNING, "connections_not_steered", why=str(error))
