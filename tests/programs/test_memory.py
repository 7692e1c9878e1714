"""The memory of the program with hundreds of clients at once: its peak is within the deployment's limit."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable

import pytest
from harness import Platform, platform

from paddlequay.protocol import msgpack

CLIENTS = 300
MEMORY_MB = 64
DESCRIPTORS = 1024
SECONDS = 6.0
LARGEST_BODY = 48_000
LARGEST_OBJECT = 240_000
NUMBERS = itertools.count(1)


def request(number: int, body: bytes = b"", more: dict[str, str] | None = None) -> bytes:
    """A request that is not idempotent, with an id and an object of its own."""
    name = f"{next(NUMBERS):016x}"
    fields = {"call": name, "ttl": "3000", "row": name, "slice": "0", "set": "1"}
    return msgpack.pack([0, number, "charge", [fields | (more or {}), body]])


async def send(connection: socket.socket, data: bytes, piece: int, pause_s: float) -> None:
    """Sends data in pieces with pauses."""
    loop = asyncio.get_running_loop()
    for at in range(0, len(data), piece):
        await loop.sock_sendall(connection, data[at : at + piece])
        await asyncio.sleep(pause_s)


async def whole_bodies(connection: socket.socket) -> None:
    """Sends 32 requests with the largest body at full speed, and closes with the answers unread."""
    for number in range(1, 33):
        await asyncio.get_running_loop().sock_sendall(connection, request(number, bytes(LARGEST_BODY)))
    await asyncio.sleep(1.0)


async def bodies_of_objects(connection: socket.socket) -> None:
    """Sends a body as long as the largest object, slowly."""
    await send(connection, request(1, bytes(LARGEST_OBJECT)), 4000, 0.05)


async def half_requests(connection: socket.socket) -> None:
    """Sends nearly all of a large request, slowly, and stops."""
    await send(connection, request(1, bytes(LARGEST_BODY))[:-100], 4000, 0.1)
    await asyncio.sleep(2.0)


async def many_fields(connection: socket.socket) -> None:
    """Sends thousands of fields with names and values of one byte, slowly."""
    names = {chr(0x100 + number): "" for number in range(5000)}
    await send(connection, request(1, more=names), 1000, 0.05)


async def crowd(p: Platform, use: Callable[[socket.socket], Awaitable[None]]) -> None:
    """Lets all clients connect again and again for some seconds."""

    async def client() -> None:
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.closing(socket.socket()) as connection, contextlib.suppress(OSError):
                connection.setblocking(False)
                await loop.sock_connect(connection, p.address)
                await use(connection)
            await asyncio.sleep(0.1)

    clients = [asyncio.ensure_future(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(SECONDS)
    for each in clients:
        each.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def peak_memory_mb(p: Platform) -> float:
    """Returns the largest resident memory of the process so far."""
    with open(f"/proc/{p.process.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM"))


@pytest.mark.parametrize("use", [whole_bodies, bodies_of_objects, half_requests, many_fields])
def test_hundreds_of_clients_that_send_large_requests_stay_within_the_memory_limit(
    use: Callable[[socket.socket], Awaitable[None]],
) -> None:
    # Guards against: messages that only the garbage collector frees, and incomplete ones of all connections.
    with platform(limits={"sockets": DESCRIPTORS, "memory_mb": MEMORY_MB}) as p:
        p.publish({"no": 1})
        p.client().socket.close()
        asyncio.run(crowd(p, use))
        assert p.process.poll() is None
        assert peak_memory_mb(p) < MEMORY_MB
