"""Clients: open-loop arrivals, Zipf popularity and the brief's mix, over MessagePack-RPC to the routers.

Arrivals do not wait for answers, so that a slow service is not spared by its own slowness. Each answer's
bytes are compared with what the store would give.
"""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from paddlequay.lab.cache_servers import body_of
from paddlequay.protocol import msgpack


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of requests: its share, aim and deadline in seconds, worth, and how it is asked for."""

    name: str
    share: float
    aim: float
    deadline: float
    worth: float
    parts: int = 1
    fresh: float = 0.0
    charge: bool = False


KINDS = (
    Kind("lane-video", 0.54, 0.6, 6.0, 2.0, parts=12),
    Kind("plate-photo", 0.429, 0.25, 2.5, 1.0, fresh=8.0),
    Kind("toll-charge", 0.031, 0.7, 3.0, 3.0, charge=True),
)


@dataclass(slots=True)
class Tally:
    """What came of the requests, by class and in all."""

    asked: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    worth_asked: float = 0.0
    worth_served: float = 0.0
    spoilt: int = 0
    stale: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    @property
    def served_share(self) -> float:
        """Returns the served share of all requests, by priority weight."""
        return self.worth_served / self.worth_asked if self.worth_asked else 0.0

    def percentile(self, share: float) -> float:
        """Latency in milliseconds of what was served."""
        return float(self.latency.get_value_at_percentile(share)) / 1000.0


class Connection:
    """One client connection to a router."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.writer: asyncio.StreamWriter | None = None
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.number = 0
        self.lock = asyncio.Lock()
        self.task: asyncio.Task[None] | None = None
        self.answered: set[int] = set()
        self.twice = 0  # answers to what had one already

    async def ask(self, method: str, fields: dict[str, str], body: bytes, longest: float) -> Any:
        """The answer's error and result; OSError and TimeoutError where none comes."""
        async with self.lock:
            if self.writer is None or self.writer.is_closing():
                reader, self.writer = await asyncio.open_connection(*self.address)
                self.number = 0
                self.answered.clear()
                self.task = asyncio.ensure_future(self.read(reader, self.writer))
        self.number += 1
        number = self.number
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        self.writer.write(msgpack.pack([0, number, method, [fields, body]]))
        try:
            return await asyncio.wait_for(future, longest)
        finally:
            self.waiting.pop(number, None)

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                buffer += data
                while buffer:
                    try:
                        value, at = msgpack.unpack(buffer, 0, 1 << 21)
                    except msgpack.IncompleteMessageError:
                        break
                    del buffer[:at]
                    self.twice += value[1] in self.answered
                    self.answered.add(value[1])
                    future = self.waiting.get(value[1])
                    if future is not None and not future.done():
                        future.set_result(value[2:])
        except OSError:
            pass
        writer.close()
        for future in list(self.waiting.values()):
            if not future.done():
                future.set_exception(ConnectionResetError())


class Load:
    """Arrivals at `rate` a second for as long as `run` is awaited, the same ones for a seed."""

    def __init__(
        self, routers: list[tuple[str, int]], rate: float, seed: int, objects: int = 400, zipf: float = 0.9
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.rate = rate
        self.routers = routers
        ranks = np.arange(1, objects + 1, dtype=float) ** -zipf
        self.popularity = ranks / ranks.sum()
        self.names = [f"{value:016x}" for value in self.rng.integers(1, 1 << 62, objects)]
        self.shares = np.array([kind.share for kind in KINDS]) / sum(kind.share for kind in KINDS)
        self.pools = [[Connection(address) for _ in range(4)] for address in routers]
        self.serial = 0
        self.tally = Tally()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sizes: dict[str, int] = {}
        self.video = self.names[: objects // 4]

    def size(self, name: str) -> int:
        """Bytes of a part: log-normal, the same for a name."""
        if name not in self.sizes:
            spread = np.random.default_rng(int(name, 16))
            self.sizes[name] = int(min(120_000, spread.lognormal(8.0, 0.9)))
        return self.sizes[name]

    async def run(self, seconds: float) -> Tally:
        """Ask for so long, and wait for what is open; the tally of these."""
        self.tally = tally = Tally()
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + float(self.rng.exponential(1.0 / self.rate))) < end:
            pause = due - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            task = asyncio.ensure_future(self.one(tally))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=7.0)
        return tally

    async def one(self, tally: Tally) -> None:
        kind = KINDS[int(self.rng.choice(len(KINDS), p=self.shares))]
        place = int(self.rng.choice(len(self.names), p=self.popularity))
        name = self.video[place % len(self.video)] if kind.parts > 1 else self.names[place]
        part = str(int(self.rng.integers(kind.parts)))
        self.serial += 1
        fields = {
            "call": f"{self.serial:016x}",
            "ttl": str(int(kind.deadline * 1000)),
            "row": name,
            "slice": part,
            "set": str(int(name[-2:], 16)),
        }
        pool = self.pools[int(self.rng.integers(len(self.pools)))]
        connection = min(pool, key=lambda each: len(each.waiting))
        tally.asked[kind.name] += 1
        tally.worth_asked += kind.worth
        began = time.monotonic()
        try:
            body = b"charge" if kind.charge else b""
            error, result = await connection.ask(kind.name, fields, body, kind.deadline)
        except (OSError, TimeoutError) as problem:
            tally.verdicts[type(problem).__name__] += 1
            return
        took = time.monotonic() - began
        if error is not None:
            tally.verdicts[str(error[0])] += 1
            return
        tally.verdicts["served"] += 1
        tally.latency.record_value(max(1, int(took * 1e6)))
        if not kind.charge and bytes(result[0]) != body_of(name, part, self.size(name)):
            tally.spoilt += 1
        tally.worth_served += kind.worth if took <= kind.aim else 0.1 * kind.worth
