"""Some clients read slowly: the router closes their connections with requests on them that were read and run.

16 clients ask for a large part 7 times a second, at most 24 open at a time, and read 1 MB a second: 24 parts
in 5.8 s, of the 6 s that they wait. 30 others read a photo at a time. Caches answer all within 20 ms.
"""

import asyncio
import contextlib
import json
import random
import signal
import socket
import time
from collections import Counter
from pathlib import Path

from standins.caches import Ask, Box, Origin, Reply
from standins.clients import Client, read_fields
from standins.events import EventStream, listed
from standins.messagepack import Unpacker, pack
from standins.programs import router_place, run_case, wait_until_ready
from standins.record import HOST, CannotRunError, Record
from standins.zone import HUB, ZONE, settings

MEMORY_MB = 64  # the pages: 32 to 192 MB
DESCRIPTORS = 672  # the pages: 256 to 1,024
PART_BYTES = 240_000  # the pages: at most 240,000
OPEN_REQUESTS = 24  # the pages: up to 32 on one connection
SLOW_CLIENTS = 16
OTHER_CLIENTS = 30
SLOW_BYTES_PER_S = 1_000_000  # the pages: at most 1 MB a second is read by some clients
RECEIVE_BUFFER = 64 * 1024  # of a slow client's socket
READ_SIZE = 64 * 1024
DEADLINE_S = 6.0
PHOTO_DEADLINE_S = 2.5
LOAD_S = 14.0
REQUEST_PAUSE_S = 0.14
PARTS = 40


class LargeOrigin(Origin):
    """A store whose video parts are large."""

    async def answer(self, ask: Ask) -> Reply:
        """Gives out a part of `PART_BYTES`."""
        reply = await super().answer(ask)
        if ask.fields.get("queue") != "lane-video":
            return reply
        return Reply(reply.word, reply.fields, (reply.body + b" " * PART_BYTES)[:PART_BYTES])


class VideoClient:
    """A client that keeps requests for video parts open on one connection, and reads at a pace.

    Attributes:
        open: When each open request was sent, by message number.
        lost: The requests that were open and still waited for when the router ended the connection.
    """

    def __init__(self, record: Record, name: str, bytes_per_s: float) -> None:
        self.record = record
        self.name = name
        self.bytes_per_s = bytes_per_s
        self.open: dict[int, float] = {}
        self.calls: dict[int, str] = {}
        self.lost: list[str] = []
        self.answers: Counter[str] = Counter()
        self.number = 0
        self.unpacker = Unpacker()
        self.random = random.Random(name)

    async def run(self, port: int, until: float) -> None:
        """Sends and reads until a time, then reads the answers that are left."""
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            await loop.sock_connect(connection, (HOST, port))
            sending = asyncio.ensure_future(self.send(connection, until))
            while not sending.done() or self.open:
                if not self.open:
                    await asyncio.sleep(0.02)
                elif not await self.read(connection):
                    break
            sending.cancel()
            await asyncio.wait([sending])

    async def send(self, connection: socket.socket, until: float) -> None:
        """Sends a request at each pause, if fewer than `OPEN_REQUESTS` are open."""
        await asyncio.sleep(self.random.random() * REQUEST_PAUSE_S)
        with contextlib.suppress(OSError):
            while time.time() < until:
                if len(self.open) < OPEN_REQUESTS:
                    await asyncio.get_running_loop().sock_sendall(connection, self.request())
                await asyncio.sleep(REQUEST_PAUSE_S)

    def request(self) -> bytes:
        """Returns the next request."""
        self.number += 1
        call = f"{self.random.getrandbits(64):016x}"
        row = f"{0x4A0000 + self.random.randrange(PARTS):016x}"
        self.open[self.number] = time.time()
        self.calls[self.number] = call
        self.record.line(self.name, f"sends lane-video {call} row={row}")
        return pack([0, self.number, "lane-video", [read_fields(call, row, DEADLINE_S), b""]])

    async def read(self, connection: socket.socket) -> bool:
        """Reads once, at the client's pace; returns False at the end of the connection."""
        loop = asyncio.get_running_loop()
        began_at = time.monotonic()
        try:
            data = await asyncio.wait_for(loop.sock_recv(connection, READ_SIZE), DEADLINE_S + 1)
        except (OSError, TimeoutError):
            data = b""
        if not data:
            self.note_end()
            return False
        for message in self.unpacker.values(data):
            kind = "served" if message[2] is None else message[2][0]
            self.answers[kind] += 1
            self.record.line(self.name, f"{kind} {self.calls[message[1]]}")
            del self.open[message[1]]
        pause_s = len(data) / self.bytes_per_s - (time.monotonic() - began_at)
        await asyncio.sleep(max(0.0, pause_s))
        return True

    def note_end(self) -> None:
        """Records which requests were lost: all that still waited, but one whose answer may have begun."""
        now = time.time()
        waiting = [self.calls[number] for number, sent_at in self.open.items() if now - sent_at < DEADLINE_S]
        begun = 1 if self.unpacker.data else 0
        self.lost = waiting[begun:]
        self.record.line(self.name, f"the connection has ended, {len(waiting)} requests still waited")


async def read_photos(record: Record, name: str, port: int, until: float) -> Counter[str]:
    """Reads a photo at a time, as the other clients do; returns how many answers of each kind came."""
    client = Client(record, name)
    await client.connect(port)
    generator = random.Random(name)
    answers: Counter[str] = Counter()
    while time.time() < until and not client.closed:
        call, row = f"{generator.getrandbits(64):016x}", f"{0x4B0000 + generator.randrange(100):016x}"
        outcome = await client.ask("plate-photo", read_fields(call, row, PHOTO_DEADLINE_S), b"", 3.1)
        answers[outcome.kind] += 1
        await asyncio.sleep(0.4)
    client.close()
    return answers


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Returns whether no request was lost that its client still waited for."""
    origin, discovery = LargeOrigin(record), EventStream(record, "bulletin")
    boxes = [Box(record, f"box-{number}", {"store-1": origin.port}) for number in range(4)]
    for server in (origin, *boxes, discovery):
        await server.start()
    entries = [listed("store-1", origin.port, "origin", HUB)]
    entries += [listed(box.name, box.port, "small-box", ZONE) for box in boxes]
    discovery.publish(roster={"generation": 1, "reset": False, "instances": entries})
    place = router_place(record, folder, discovery, settings())
    data = json.loads(place.config.read_text())
    data["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    place.config.write_text(json.dumps(data))
    router, console = await place.start("router")
    try:
        await wait_until_ready(console)
        until = time.time() + LOAD_S
        pace = SLOW_BYTES_PER_S if trouble else 1000.0 * SLOW_BYTES_PER_S
        slow = [VideoClient(record, f"video-{number}", pace) for number in range(SLOW_CLIENTS)]
        others = [
            read_photos(record, f"photo-{number}", place.port, until) for number in range(OTHER_CLIENTS)
        ]
        results = await asyncio.gather(*(client.run(place.port, until) for client in slow), *others)
        photos = sum((result for result in results if result is not None), Counter())
        lost = [call for client in slow for call in client.lost]
        run = {line for line in lost if any(call_was_answered(box, line) for box in boxes)}
        answers = sum((client.answers for client in slow), Counter())
        if not answers["served"] or not photos["served"]:
            raise CannotRunError("nothing was served")
        record.line("check", f"video {dict(answers)}, photos {dict(photos)}")
        record.line("check", f"{len(lost)} requests lost, {len(run)} of them answered by a box")
        router.send(signal.SIGTERM)
        await router.wait(6)
        return not lost
    finally:
        await router.kill()


def call_was_answered(box: Box, call: str) -> bool:
    """Returns whether a box has answered a request."""
    return call in box.answered


run_case(case, __file__)
