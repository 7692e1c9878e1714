"""What the tests of the program's end share: short deadlines, and a client that never falls quiet."""

import contextlib
import copy
import itertools
import select
import socket
import threading
import time
from typing import Any

from harness import SETTINGS, Client, Platform, told, until

from paddlequay.protocol import msgpack


def short(deadline: float) -> dict[str, Any]:
    """The rig's settings with this deadline for every class: SIGKILL comes 0.7 s after it."""
    made = copy.deepcopy(SETTINGS)
    for each in made["classes"]:
        each |= {"deadline": deadline, "aim": deadline / 2, "window": deadline}
    return made


def call(number: int, ttl: int = 800) -> bytes:
    """A request for an object of its own."""
    fields = {"call": f"{number:016x}", "ttl": str(ttl), "row": f"{number:016x}", "slice": "0", "set": "17"}
    return msgpack.pack([0, number, "video", [fields, b""]])


def rows(p: Platform) -> set[int]:
    """The objects that the box has been asked for by now."""
    asked = [words for _, words in list(p.box.lines.queue) if words[0] == "ASK"]
    return {int(told(words)["path"], 16) for words in asked}


NUMBERS = itertools.count(1 << 40)


def asked(p: Platform, client: Client, **fields: str) -> tuple[socket.socket, list[str]]:
    """Have the box asked for this client. On a slow machine the router takes its late beats for a full core,
    and asks to come back."""
    for _ in range(50):
        name = f"{next(NUMBERS):016x}"
        client.ask("video", b"", call=name, row=name, **fields)
        until(lambda: client.answered() or not p.box.lines.empty(), "an answer, or a cache is asked")
        if not p.box.lines.empty():
            connection, words = p.box.line()
            assert words[0] == "ASK" and words[1] == name
            return connection, words
        assert client.answer()[2][0] == "TryLater"
        time.sleep(0.05)
    raise AssertionError("always too busy")


def reply(connection: socket.socket, words: list[str], body: bytes) -> None:
    """What the box says to what it was asked."""
    connection.sendall(f"{words[1]} HIT - {len(body)}\r\n".encode() + body + b"\r\n")


def served(p: Platform, client: Client) -> None:
    """A request of this client is served."""
    reply(*asked(p, client), b"served")
    assert client.answer()[3][0] == b"served"


class Restless:
    """A connection with half a message at all times, that sends whole ones until the router ends it.

    One thread looks for the router's end just before each request: only the last one can have crossed it.
    """

    PACE = 0.02

    def __init__(self, client: Client, first: int) -> None:
        self.socket, self.first = client.socket, first
        self.sent: list[int] = []
        self.answers: list[int] = []
        self.reset = False
        self.buffer = b""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        number, half = self.first, b""
        try:
            while not self.ended(self.PACE) and not self.ended(0):
                whole, after = call(number), call(number + 1)[:9]
                self.socket.sendall(whole[len(half) :] + after)
                self.sent.append(number)
                number, half = number + 1, after
        except OSError:
            self.reset = True
        self.socket.close()

    def ended(self, wait: float) -> bool:
        """Read for so long; whether the router has shut its side."""
        until = time.monotonic() + wait
        while select.select([self.socket], [], [], max(0.0, until - time.monotonic()))[0]:
            data = self.socket.recv(65536)
            if not data:
                return True
            self.buffer += data
            with contextlib.suppress(msgpack.IncompleteMessageError):
                while self.buffer:
                    value, at = msgpack.unpack(self.buffer, 0, 1 << 20)
                    self.buffer = self.buffer[at:]
                    self.answers.append(value[1])
        return False

    def join(self) -> None:
        self.thread.join(10)
        assert not self.thread.is_alive()
