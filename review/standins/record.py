"""The record of a case, and what its parts share."""

import contextlib
import os
import socket
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent

HOST = "127.0.0.1"
# Below the ports that the kernel gives to connections, and begun elsewhere in each process.
PORTS = iter(range(10_000 + os.getpid() * 97 % 18_000, 32_000))
CANNOT_RUN = 2
BROKEN = 1
HELD = 0
READY_TIMEOUT_S = 10.0
POLL_S = 0.02


class CannotRunError(Exception):
    """The case could not be set up, so that it says nothing about the program."""


class Record:
    """Writes to `record.txt` what is sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.time()

    def line(self, who: str, text: str) -> None:
        """Adds one line."""
        self.file.write(f"{time.time() - self.started_at:8.3f} {who}: {text}\n")
        self.file.flush()


def free_port() -> int:
    """Returns a port on loopback that no socket listens on; the kernel gives such ports to no connection."""
    for port in PORTS:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise CannotRunError("no free port")
