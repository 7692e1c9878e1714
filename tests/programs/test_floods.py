"""One client that sends at full speed: other clients are served, and nothing that it names is kept."""

import itertools
import multiprocessing
import socket
import threading
import time
from collections.abc import Callable

import pytest
from harness import Client, Platform, platform

from paddlequay.protocol import msgpack

SECONDS = 5.0
BATCH = 200  # messages
MIN_SERVED_SHARE = 0.9  # of another client's requests, beside the share without the flood
MAX_GROWTH_MB = 10.0
MAX_LOG_LINES = 40
MAX_COUNTER_NAMES = 80
NUMBERS = itertools.count(1 << 40)


def fields(**more: str) -> dict[str, str]:
    name = f"{next(NUMBERS):016x}"
    return {"call": name, "ttl": "2000", "row": name, "slice": "0", "set": "1"} | more


def sound(number: int) -> bytes:
    return msgpack.pack([0, number, "video", [fields(), b""]])


def unsound(number: int) -> bytes:
    return msgpack.pack([0, number, "video", [{"call": "none"}, b""]])


def new_class(number: int) -> bytes:
    return msgpack.pack([0, number, f"class-{number}", [fields(), b""]])


def new_field_names(number: int) -> bytes:
    return msgpack.pack(
        [0, number, "video", [fields(**{f"f{number}-{each}": "x" for each in range(20)}), b""]]
    )


def readiness_query(number: int) -> bytes:
    return msgpack.pack([0, number, "alive", [{}]])


def cancel(number: int) -> bytes:
    return msgpack.pack([2, "cancelRequest", [number]])


def flood(address: tuple[str, int], message: Callable[[int], bytes]) -> None:
    """Sends messages on one connection at full speed and reads what comes, until the process is ended."""
    connection = socket.create_connection(address)
    threading.Thread(target=lambda: [None for _ in iter(lambda: connection.recv(1 << 18), b"")]).start()
    numbers = itertools.count(1)
    while True:
        connection.sendall(b"".join(message(next(numbers)) for _ in range(BATCH)))


def serve_all(p: Platform) -> None:
    """Answers each request that comes to a cache."""

    def serve() -> None:
        while True:
            connection, words = p.box.lines.get()
            if words[0] == "ASK":
                connection.sendall(f"{words[1]} HIT - 5\r\nhello\r\n".encode())

    threading.Thread(target=serve, daemon=True).start()


def served_share(client: Client, seconds: float) -> float:
    """Returns the share of served requests of a client that sends one after the other."""
    served, count, end = 0, 0, time.monotonic() + seconds
    while time.monotonic() < end:
        client.ask("video", b"", **fields())
        answer = client.answer()
        served += answer[2] is None
        count += 1
        time.sleep(0.01)
    return served / count


def memory_mb(p: Platform) -> float:
    with open(f"/proc/{p.process.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))


@pytest.mark.parametrize("message", [sound, unsound, new_class, new_field_names, readiness_query, cancel])
def test_a_client_that_sends_at_full_speed_neither_delays_others_nor_fills_the_memory(
    message: Callable[[int], bytes],
) -> None:
    # Guards against: one connection that takes the whole core, so that requests of others are shed or wait.
    with platform(limits={"sockets": 1024, "memory_mb": 192}) as p:
        p.publish({"no": 1})
        serve_all(p)
        client = p.client()
        usual_share = served_share(client, 1.0)
        before_mb = memory_mb(p)
        sender = multiprocessing.get_context("fork").Process(target=flood, args=(p.address, message))
        sender.start()
        try:
            share = served_share(client, SECONDS)
        finally:
            sender.kill()
            sender.join()
        assert share >= MIN_SERVED_SHARE * usual_share
        assert memory_mb(p) - before_mb < MAX_GROWTH_MB
        p.counted("requests")
        counters = [line for line in p.log if "event=counters" in line][-1]
        assert len(counters.split()) < MAX_COUNTER_NAMES and len(p.log) < MAX_LOG_LINES
