"""The platform round one real router process: bulletin, caches and client, on ephemeral loopback ports."""

import contextlib
import http.client
import json
import os
import queue
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from paddlequay.lab.ports import free_port
from paddlequay.protocol import msgpack

ROOT = Path(__file__).parent.parent
WAIT = 5.0  # how long anything awaited may take before the test fails
SETTINGS: dict[str, Any] = {
    "locality": "here",
    "localities": ["hub", "here"],
    "kinds": ["box", "parent", "origin"],
    "groupSize": 1,
    "classes": [
        {"name": "video", "aim": 0.6, "deadline": 3, "idempotency": "read_like", "window": 5},
        {"name": "charge", "aim": 0.7, "deadline": 3, "idempotency": "non_idempotent", "window": 5},
    ],
    "limits": {
        "attemptsCap": 6,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfter": 2,
        "dialTimeout": 0.3,
        "streamsPerConn": 32,
        "keepalive": 30,
    },
    "rules": {"coldFrom": 0.2, "cold": 16, "fall": 3, "fallMultiple": 2.5},
    "extra": {
        "parentKind": 1,
        "rootKind": 2,
        "goesThrough": [False, True],
        "peersFill": "location",
        "mergesFills": True,
        "bypassAllowed": True,
        "detail": "all",
        "clearedWithin": 6.0,
    },
}
Words = list[str]


def until(check: Callable[[], Any], what: str) -> Any:
    """Wait for a condition, and give what it found."""
    end = time.monotonic() + WAIT
    while time.monotonic() < end:
        if found := check():
            return found
        time.sleep(0.005)
    raise AssertionError(f"not within {WAIT} s: {what}")


def told(words: Words) -> dict[str, str]:
    """The fields of a request to a cache."""
    return dict(pair.split("=") for pair in words[2].split(","))


class Party:
    """Something that listens; each accepted connection and each line read from one are put into queues."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepted: queue.Queue[socket.socket] = queue.Queue()
        self.lines: queue.Queue[tuple[socket.socket, Words]] = queue.Queue()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection = self.listener.accept()[0]
                self.accepted.put(connection)
                threading.Thread(target=self.read, args=(connection,), daemon=True).start()

    def read(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection.makefile("rb") as file:
            for raw in file:
                words = raw.decode().split()
                if words and words[0] == "ASK":
                    words.append(file.read(int(words[3]) + 2)[:-2].decode("latin-1"))
                self.lines.put((connection, words))

    def line(self) -> tuple[socket.socket, Words]:
        return self.lines.get(timeout=WAIT)

    def answer(self, word: str, fields: str = "-", body: bytes = b"") -> Words:
        """Answer the next line read, and give it."""
        connection, words = self.line()
        connection.sendall(f"{words[1]} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        return words


class Client:
    """One client connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, timeout=WAIT)
        self.buffer = b""
        self.number = 0

    def ask(self, method: str = "video", body: bytes = b"", **fields: str | None) -> int:
        self.number += 1
        told = {"call": f"{self.number:016x}", "ttl": "2000", "row": f"{7:016x}", "slice": "0", "set": "17"}
        kept = {key: value for key, value in (told | fields).items() if value is not None}
        self.socket.sendall(msgpack.pack([0, self.number, method, [kept, body]]))
        return self.number

    def answered(self) -> bool:
        """Whether something has come that was not read yet."""
        readable = select.poll()  # `select` refuses descriptors above 1,023
        readable.register(self.socket, select.POLLIN)
        return bool(self.buffer or readable.poll(0))

    def answer(self) -> Any:
        """The next answer; None when the connection was closed."""
        while True:
            try:
                value, at = msgpack.unpack(self.buffer, 0, 1 << 20)
                self.buffer = self.buffer[at:]
                return value
            except msgpack.IncompleteMessageError:
                data = self.socket.recv(65536)
                if not data:
                    return None
                self.buffer += data


class Platform:
    """One router with two caches, a parent and the origin; `also` changes parts of the configuration."""

    def __init__(self, settings: dict[str, Any] | None = None, **also: Any) -> None:
        self.bulletin, self.box, self.parent, self.origin = Party(), Party(), Party(), Party()
        self.roster = [
            self.entry("box-1", self.box),
            self.entry("parent-1", self.parent, "parent", "hub"),
            self.entry("origin-1", self.origin, "origin", "hub"),
        ]
        self.address = ("127.0.0.1", free_port())
        known = {"no": 1, "items": [{"no": 1, "roster": {"reset": True, "instances": self.roster}}]}
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": "2a",
            "known": known,
            "limits": {"sockets": 60, "memory_mb": 192},
            "bulletin": self.bulletin.address,
            "settings": settings or SETTINGS,
        } | also
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        self.config = file.name
        self.folder = tempfile.TemporaryDirectory()
        self.log: list[str] = []
        self.processes: list[subprocess.Popen[str]] = []
        self.process = self.start()

    def start(self) -> "subprocess.Popen[str]":
        """One more process of the router, with a console of its own; it is `process` from now on."""
        self.console = ("127.0.0.1", free_port())
        told = {"ROUTER_CONFIG": self.config, "TMPDIR": self.folder.name}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "paddlequay"],
            cwd=ROOT,
            env=os.environ | told | {"ROUTER_CONSOLE": "{}:{}".format(*self.console)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes.append(self.process)
        threading.Thread(target=self.read_log, args=(self.process,), daemon=True).start()
        return self.process

    def read_log(self, process: "subprocess.Popen[str]") -> None:
        assert process.stderr is not None
        self.log.extend(iter(process.stderr.readline, ""))

    def call(
        self, path: str, method: str = "POST", console: tuple[str, int] | None = None
    ) -> tuple[int, str]:
        """A call to a console, and its answer's status and text."""
        host, port = console or self.console

        def connect() -> http.client.HTTPConnection | None:
            made = http.client.HTTPConnection(host, port, timeout=WAIT)
            with contextlib.suppress(ConnectionRefusedError):
                made.connect()
                return made
            return None

        connection = until(connect, "the console listens")
        with contextlib.closing(connection):
            connection.request(method, path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()

    def ready(self) -> None:
        until(lambda: self.call("/-/ready", "GET")[0] == 200, "the router is ready")

    @staticmethod
    def entry(name: str, party: Party, kind: str = "box", zone: str = "here", **also: Any) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": party.address,
            "zone": zone,
            "machineType": kind,
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1,
            "startedAtMs": 0,
        } | also

    def client(self) -> Client:
        def connect() -> Client | None:
            assert self.process.poll() is None, self.log
            with contextlib.suppress(ConnectionRefusedError):
                return Client(self.address)
            return None

        found: Client = until(connect, "the router listens")
        return found

    def publish(self, *events: Any) -> socket.socket:
        """Write lines to the router's connection to the bulletin, and give it."""
        connection = self.bulletin.accepted.get(timeout=WAIT)
        assert self.bulletin.line()[1][0] == "after"
        for event in events:
            connection.sendall(json.dumps(event).encode() + b"\n")
        return connection

    def logged(self, text: str) -> str:
        found: str = until(lambda: next((line for line in list(self.log) if text in line), None), text)
        return found

    def counted(self, name: str) -> int:
        """A counter's value now, as the router prints it on request."""
        asked = "event=counters why=signal"  # not the line printed every few seconds, which may be older
        seen = sum(asked in line for line in self.log)
        self.process.send_signal(signal.SIGUSR1)

        def lines() -> list[str]:
            return [line for line in list(self.log) if asked in line][seen:]

        last = until(lines, "counters in the log")[-1]
        return next((int(pair.split("=")[1]) for pair in last.split() if pair.startswith(f"{name}=")), 0)

    def end(self) -> int:
        """SIGTERM, and the exit code."""
        self.process.terminate()
        return self.process.wait(timeout=2 * WAIT)

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(timeout=WAIT)
        for party in (self.bulletin, self.box, self.parent, self.origin):
            party.listener.close()
        os.unlink(self.config)
        self.folder.cleanup()


@contextlib.contextmanager
def platform(**also: Any) -> Iterator[Platform]:
    made = Platform(**also)
    try:
        yield made
    finally:
        made.close()
