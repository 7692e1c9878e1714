"""Load from clients: open-loop arrivals with Zipf popularity, sent to the routers over MessagePack-RPC.

Arrivals do not wait for answers, so that a slow service does not get fewer requests. The body of each answer
is compared with what the origin would return.
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
class LoadClass:
    """A class of requests.

    Attributes:
        name: The class name, which is also the RPC method.
        share: The share of all requests.
        target_s: The latency up to which an answer counts in full.
        deadline_s: The time after which the client gives up.
        weight: The priority weight of a request.
        parts: The number of parts of an object, of which each request asks for one.
        freshness_s: The time in seconds for which a cached copy stays fresh; 0 without a limit.
        charge: Whether the requests are charges, which have an effect at the origin and are not cached.
    """

    name: str
    share: float
    target_s: float
    deadline_s: float
    weight: float
    parts: int = 1
    freshness_s: float = 0.0
    charge: bool = False


LOAD_CLASSES = (
    LoadClass("lane-video", 0.54, 0.6, 6.0, 2.0, parts=12),
    LoadClass("plate-photo", 0.429, 0.25, 2.5, 1.0, freshness_s=8.0),
    LoadClass("toll-charge", 0.031, 0.7, 3.0, 3.0, charge=True),
)


@dataclass(slots=True)
class LoadSummary:
    """The results of the requests of one run.

    Attributes:
        asked: The number of requests by class.
        verdicts: The number of requests by result: `served`, an error code or the name of an exception.
        weight_asked: The sum of the weights of all requests.
        weight_served: The sum of the weights of the served requests; a late answer counts a tenth.
        wrong_body_count: The number of answers whose body was wrong.
        latency: The latency of the served requests in microseconds.
    """

    asked: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    weight_asked: float = 0.0
    weight_served: float = 0.0
    wrong_body_count: int = 0
    stale: int = 0
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    @property
    def served_share(self) -> float:
        """Returns the served share of all requests, by priority weight."""
        return self.weight_served / self.weight_asked if self.weight_asked else 0.0

    def percentile(self, share: float) -> float:
        """Returns a percentile of the latency of the served requests, in milliseconds."""
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
        self.duplicate_answers = 0  # answers to requests that had been answered already

    async def ask(self, method: str, fields: dict[str, str], body: bytes, timeout_s: float) -> Any:
        """Sends a request and returns the error and the result of its answer.

        Raises:
            OSError: The connection could not be opened, or was closed before the answer.
            TimeoutError: No answer came within `timeout_s`.
        """
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
            return await asyncio.wait_for(future, timeout_s)
        finally:
            self.waiting.pop(number, None)

    async def read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Hands each answer to its waiting request until the connection ends, then fails the open ones."""
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
                    self.duplicate_answers += value[1] in self.answered
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
    """Sends requests at `rate` a second while `run` is awaited; the seed determines the sequence."""

    def __init__(
        self, routers: list[tuple[str, int]], rate: float, seed: int, objects: int = 400, zipf: float = 0.9
    ) -> None:
        self.rng = np.random.default_rng(seed)
        self.rate = rate
        self.routers = routers
        ranks = np.arange(1, objects + 1, dtype=float) ** -zipf
        self.popularity = ranks / ranks.sum()
        self.names = [f"{value:016x}" for value in self.rng.integers(1, 1 << 62, objects)]
        self.shares = np.array([kind.share for kind in LOAD_CLASSES]) / sum(
            kind.share for kind in LOAD_CLASSES
        )
        self.pools = [[Connection(address) for _ in range(4)] for address in routers]
        self.serial = 0
        self.summary = LoadSummary()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sizes: dict[str, int] = {}
        self.video = self.names[: objects // 4]

    def size(self, name: str) -> int:
        """Returns the size in bytes of the parts of an object: log-normal, always the same for a name."""
        if name not in self.sizes:
            spread = np.random.default_rng(int(name, 16))
            self.sizes[name] = int(min(120_000, spread.lognormal(8.0, 0.9)))
        return self.sizes[name]

    async def run(self, seconds: float) -> LoadSummary:
        """Sends requests for `seconds`, waits up to 7 s for the open ones and returns the results."""
        self.summary = summary = LoadSummary()
        end = time.monotonic() + seconds
        due = time.monotonic()
        while (due := due + float(self.rng.exponential(1.0 / self.rate))) < end:
            pause = due - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            task = asyncio.ensure_future(self.request(summary))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=7.0)
        return summary

    async def request(self, summary: LoadSummary) -> None:
        """Sends one random request and records its result."""
        kind = LOAD_CLASSES[int(self.rng.choice(len(LOAD_CLASSES), p=self.shares))]
        index = int(self.rng.choice(len(self.names), p=self.popularity))
        name = self.video[index % len(self.video)] if kind.parts > 1 else self.names[index]
        part = str(int(self.rng.integers(kind.parts)))
        self.serial += 1
        fields = {
            "call": f"{self.serial:016x}",
            "ttl": str(int(kind.deadline_s * 1000)),
            "row": name,
            "slice": part,
            "set": str(int(name[-2:], 16)),
        }
        pool = self.pools[int(self.rng.integers(len(self.pools)))]
        connection = min(pool, key=lambda each: len(each.waiting))
        summary.asked[kind.name] += 1
        summary.weight_asked += kind.weight
        began = time.monotonic()
        try:
            body = b"charge" if kind.charge else b""
            error, result = await connection.ask(kind.name, fields, body, kind.deadline_s)
        except (OSError, TimeoutError) as problem:
            summary.verdicts[type(problem).__name__] += 1
            return
        took = time.monotonic() - began
        if error is not None:
            summary.verdicts[str(error[0])] += 1
            return
        summary.verdicts["served"] += 1
        summary.latency.record_value(max(1, int(took * 1e6)))
        if not kind.charge and bytes(result[0]) != body_of(name, part, self.size(name)):
            summary.wrong_body_count += 1
        summary.weight_served += kind.weight if took <= kind.target_s else 0.1 * kind.weight
