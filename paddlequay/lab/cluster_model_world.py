"""A fleet of real cluster nodes on one simulated clock: machines, processes, links, and what befalls them.

Each router is a `cluster.node.Node` with its wire and outbox, driven as `net/cluster/peers.py` does it: one
datagram at a time, one timer. Datagrams are bytes. True time runs from 0; each machine's clock has a rate
(within the drift) and an offset of its own, and runs on while its process stands still. All chance comes from
one seed.
"""

import hashlib
import heapq
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count

from paddlequay.cluster.node import ClusterEvent, Node
from paddlequay.cluster.outbox import Datagram
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import NEVER, Fleet, Peer
from paddlequay.cluster.wire import VERSION, Codec, Header, RejectReason

UNIX = 1_700_000_000.0  # true time 0; a start's Unix time is true up to `UNIX_OFF`
UNIX_OFF = 0.2  # seconds by which machines' calendars differ
LEAST_PAUSE = 0.001  # seconds between two calls of the timer, as in net/cluster/peers.py
READ_S = 0.0002  # seconds that a process takes for a datagram that waited
BUFFER = 256  # datagrams that a socket holds: a kernel's 208 KiB at some 800 bytes each
SLICE = 0.25  # seconds; a process on a shared core runs for a fifth of each
SHARE = 0.2
ZONES = ("east", "west", "south")


@dataclass(frozen=True, slots=True)
class Net:
    """What links do to a datagram; times are seconds one way."""

    near: float = 0.0005
    between: float = 0.008  # of two zones
    jitter: float = 0.002  # in the mean
    loss: float = 0.0
    repeat: float = 0.0


@dataclass(slots=True, eq=False)
class Box:
    """A machine, and the process that runs on it."""

    me: Peer
    zone: str
    rate: float
    offset: float
    node: Node | None = None  # None: killed
    lives: int = 0
    stopped: float = 0.0  # until when
    slow: bool = False
    far: float = 0.0  # seconds that each datagram takes longer, either way
    loss: float = 0.0
    dark: int = 0  # faults that part its zone from the others now
    lit: float = -1e9  # when the last such fault ended
    side: int = 0
    excused: float = 0.0  # until when it may be taken for dead
    waiting: deque[tuple[bytes, Peer]] = field(default_factory=deque)
    pending: float = NEVER  # when it is called next
    sent: int = 0  # bytes, each receiver counted
    cpu: int = 0  # nanoseconds of its calls

    def clock(self, at: float) -> float:
        return self.offset + self.rate * at

    def true(self, clock: float) -> float:
        return (clock - self.offset) / self.rate


class World:
    """`size` routers that start within a second; `shape` alters one machine before its first process."""

    def __init__(
        self,
        seed: int,
        settings: ClusterSettings,
        size: int,
        net: Net | None = None,
        longest: float = 0.5,
        zones: Sequence[str] = ZONES,
        shape: Callable[[Box], None] = lambda box: None,
        node: type[Node] = Node,
        clocks: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.settings, self.size, self.longest, self.kind = settings, size, longest, node
        self.net = net or Net()
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.cuts: set[tuple[Peer, Peer]] = set()
        self.notes: Counter[str] = Counter()  # sent, by kind, where `counting`
        self.counting = False
        self.refused: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()
        self.watch: list[Callable[[Box, Sequence[ClusterEvent]], None]] = []
        self.log = hashlib.blake2b(digest_size=16)
        self.logged = 0
        self.foreign = Codec("elsewhere", size)
        self.plain = Codec(settings.name, size)
        drift = settings.bounds.drift_ratio if clocks is None else clocks
        self.boxes = [
            Box(
                me,
                zones[me % len(zones)],
                1 + self.rng.uniform(-drift, drift),
                self.rng.uniform(0, 1e6),
            )
            for me in range(size)
        ]
        for box in self.boxes:
            shape(box)
            self.at(self.rng.random(), self.start, box, True)

    # --- time ---

    def at(self, when: float, do: Callable[..., None], *what: object) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.order), do, what))

    def run(self, until: float) -> "World":
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, do, what = heapq.heappop(events)
            do(*what)
        self.now = until
        return self

    def say(self, *what: object) -> None:
        """A line of the story, for its digest."""
        self.logged += 1
        self.log.update(repr((round(self.now, 9), what)).encode())

    # --- processes ---

    def start(self, box: Box, first: bool = False) -> None:
        """A new process with empty hands."""
        box.lives += 1
        unix = UNIX + self.now + self.rng.uniform(-UNIX_OFF, UNIX_OFF) * first
        fleet = Fleet(box.me, self.size, self.settings.acceptors, box.zone)
        seed = self.rng.getrandbits(48)
        box.node = self.kind(self.settings, fleet, unix, seed, box.clock(self.now), self.longest, first)
        box.waiting.clear()
        box.stopped, box.pending = 0.0, NEVER
        self.say("start", box.me, box.lives)
        self.flush(box, ())

    def kill(self, box: Box) -> None:
        self.say("kill", box.me)
        box.node = None
        box.waiting.clear()

    def stop(self, box: Box, seconds: float) -> None:
        """The process stands still; its clock and its socket do not."""
        self.say("stop", box.me, seconds)
        box.stopped = max(box.stopped, self.now + seconds)

    def ready(self, box: Box) -> float:
        """When the process runs next: now, or later."""
        at = max(self.now, box.stopped)
        if box.slow:
            phase = (at + box.me * 0.037) % SLICE
            if phase >= SLICE * SHARE:
                at += SLICE - phase
        return at

    def alive(self, box: Box) -> bool:
        """Whether it runs at this instant."""
        return box.node is not None and self.ready(box) <= self.now

    # --- calls, as net/cluster/peers.py has them ---

    def call(self, box: Box, at: float) -> None:
        if at < box.pending:
            box.pending = at
            self.at(at, self.called, box, box.lives, at)

    def called(self, box: Box, life: int, at: float) -> None:
        """The timer, or what waited in the socket: either may be first."""
        if box.lives != life or box.pending != at or box.node is None:
            return
        box.pending = NEVER
        ready = self.ready(box)
        if ready > self.now:
            return self.call(box, ready + self.rng.random() * 0.001)
        events: Sequence[ClusterEvent] = ()
        began = time.process_time_ns()
        now = box.clock(self.now)
        due = box.node.due() <= now
        if box.waiting and (not due or self.rng.random() < 0.5):
            events = self.read(box, box.node, *box.waiting.popleft())
        elif due:
            events = box.node.tick(now)
        box.cpu += time.process_time_ns() - began
        self.flush(box, events)

    def arrive(self, box: Box, data: bytes, sender: Peer) -> None:
        if box.node is None:
            self.lost["killed"] += 1
        elif box.waiting or self.ready(box) > self.now:
            if len(box.waiting) < BUFFER:
                box.waiting.append((data, sender))
                self.call(box, max(self.ready(box), self.now))
            else:
                self.lost["full"] += 1
        else:
            began = time.process_time_ns()
            events = self.read(box, box.node, data, sender)
            box.cpu += time.process_time_ns() - began
            self.flush(box, events)

    def read(self, box: Box, node: Node, data: bytes, sender: Peer) -> Sequence[ClusterEvent]:
        told = node.wire.read(data, sender)
        if isinstance(told, RejectReason):
            self.refused[told.value] += 1
            return ()
        return node.handle_datagram(told.header.sender, told.header, told.messages, box.clock(self.now))

    def flush(self, box: Box, events: Sequence[ClusterEvent]) -> None:
        """After each call: what it found, what it sends, and when it is called next."""
        node = box.node
        assert node is not None
        for each in events:
            self.say(box.me, each)
        for watch in self.watch:
            watch(box, events)
        began = time.process_time_ns()
        packets = node.outbox.take(box.clock(self.now))
        due = min(node.due(), node.outbox.due())
        box.cpu += time.process_time_ns() - began
        for packet in packets:
            self.send(box, packet)
        if due != NEVER:
            self.call(box, max(self.now + LEAST_PAUSE, box.true(due)))
        if box.waiting:
            self.call(box, self.now + READ_S)

    # --- links ---

    def send(self, box: Box, packet: Datagram) -> None:
        if self.counting:
            many = self.size - 1 if packet.to is None else 1
            for note in self.plain.read(packet.data).messages:
                self.notes[type(note).__name__] += many
            self.notes["datagrams"] += many
        if packet.to is not None:
            return self.post(box, self.boxes[packet.to], packet.data)
        for other in self.boxes:
            if other is not box:
                self.post(box, other, packet.data)

    def post(self, box: Box, other: Box, data: bytes) -> None:
        box.sent += len(data)
        net, rng = self.net, self.rng
        if (
            (box.me, other.me) in self.cuts
            or box.side != other.side
            or (box.zone != other.zone and (box.dark or other.dark))
            or rng.random() < max(net.loss, box.loss, other.loss)
        ):
            self.lost["link"] += 1
            return
        way = net.near if box.zone == other.zone else net.between
        for _ in range(2 if net.repeat and rng.random() < net.repeat else 1):
            late = way + rng.expovariate(1 / net.jitter) + box.far + other.far
            self.at(self.now + late, self.arrive, other, data, box.me)

    # --- faults that last; `excuse` is how long after them others may still take it for dead ---

    def excuse(self, box: Box, seconds: float) -> None:
        box.excused = max(box.excused, self.now + seconds)

    def cut(self, sender: Box, receiver: Box) -> None:
        self.cuts.add((sender.me, receiver.me))

    def noise(self, box: Box, per_s: float, until: float) -> None:
        """Another installation's datagrams, from peers' addresses, as if one had been given their ports."""
        if self.now >= until:
            return
        head = Header(VERSION, self.rng.randrange(self.size), 1 << 56, self.rng.getrandbits(20), 1)
        self.arrive(box, self.foreign.pack(head, ()), head.sender)
        self.at(self.now + self.rng.expovariate(per_s), self.noise, box, per_s, until)

    def flap(self, zone: str, until: float) -> None:
        """2 s down, 2 s up: a zone's links to the others."""
        if self.now < until:
            self.part(zone, 1)
            self.at(self.now + 2.0, self.part, zone, -1)
            self.at(self.now + 4.0, self.flap, zone, until)

    def part(self, zone: str, more: int) -> None:
        self.say("part", zone, more)
        for box in self.boxes:
            if box.zone == zone:
                box.dark += more
                box.lit = self.now
