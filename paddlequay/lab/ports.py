"""Free ports on loopback for the processes of experiments and tests."""

import contextlib
import itertools
import os
import socket

# Below the ports that the kernel gives to connections, and begun elsewhere in each process. A port that the
# kernel names as free may be taken by the time that a process started for it listens there.
FIRST_PORT = 10_000
LAST_PORT = 32_000
# Keeps processes with neighbouring ids more than a thousand ports apart: a stride of the golden ratio of all.
PROCESS_STRIDE = 13_597

PORTS = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(os.getpid() * PROCESS_STRIDE % (LAST_PORT - FIRST_PORT)):
    next(PORTS)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port on loopback that no socket listens on."""
    for port in PORTS:
        with socket.socket(socket.AF_INET, kind) as free, contextlib.suppress(OSError):
            free.bind(("127.0.0.1", port))
            return port
    raise AssertionError
