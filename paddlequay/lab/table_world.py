"""Routers that agree on tables by their real leases, outboxes and wire, on clocks of their own.

The world knows the true time, loses, delays and cuts what is sent, stops and restarts routers, and looks at
each change of an epoch whether one goes back or names two tables.
"""

import heapq
import random
from collections.abc import Callable, Iterable

from paddlequay.cluster.leases import Leases
from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import TABLES_LEASE
from paddlequay.cluster.types import (
    Action,
    ClusterBounds,
    Fleet,
    LeaseAcquired,
    LocalEvent,
    LogEvent,
    Peer,
    PeerChanged,
    PeerState,
    SendMessage,
    TableChanged,
    earliest,
)
from paddlequay.cluster.wire import Codec, ReceivedDatagram, Wire

BOUNDS = ClusterBounds()
DETECTED = 1.0  # seconds after which a restart or the end of a cut is known, as by liveness


class FaultError(Exception):
    """What must hold does not."""


class Process:
    """One life of a router."""

    def __init__(self, world: "World", me: Peer, kind: type[PlacementEpochs], incarnation: int) -> None:
        self.world, self.me, self.began = world, me, world.time
        self.rate, self.base = world.rng.uniform(*world.rates), world.rng.uniform(0, 1000)
        fleet = Fleet(me, world.size, world.acceptors)
        self.leases = Leases(fleet, BOUNDS, random.Random(world.rng.getrandbits(64)), self.clock)
        self.tables = kind(fleet, BOUNDS, self.leases.holds, self.retake)
        self.wire = Wire(Codec("lab", world.size), fleet, incarnation)
        self.outbox = Outbox(self.wire, world.bytes_per_s, BOUNDS, self.clock)
        self.incarnation = incarnation
        self.stopped = self.dead = False
        self.waiting: list[Callable[[], None]] = []
        self.due = float("inf")
        self.epoch = 0
        self.said: list[LogEvent] = []
        self.moves: list[TableChanged] = []

    @property
    def clock(self) -> float:
        return self.base + (self.world.time - self.began) * self.rate

    def retake(self, now: float) -> list[Action]:
        return self.leases.release(TABLES_LEASE, now) + self.leases.request(TABLES_LEASE, now)

    def do(self, act: Callable[[float], list[Action]]) -> None:
        """What follows from an event; nothing happens to a stopped process until it goes on."""
        if self.dead:
            return
        if self.stopped:
            self.waiting.append(lambda: self.do(act))
            return
        now, todo = self.clock, act(self.clock)
        for action in todo:
            if isinstance(action, SendMessage):
                self.outbox.put(action, now)
            elif isinstance(action, LogEvent):
                self.said.append(action)
            else:
                self.found(action)
                todo += self.leases.handle_event(action, now) + self.tables.handle_event(action, now)
        self.wire.clock = max(self.wire.clock, self.leases.highest_counter)
        for packet in self.outbox.take(now):
            for to in range(self.world.size) if packet.to is None else (packet.to,):
                self.world.send(self.me, to, packet.data)
        self.schedule()

    def found(self, event: LocalEvent) -> None:
        if isinstance(event, LeaseAcquired):
            self.world.takes += 1
        if not isinstance(event, TableChanged):
            return
        if event.epoch <= self.epoch:
            raise FaultError(f"the epoch of {self.me} goes back: {self.epoch:x} to {event.epoch:x}")
        if self.world.digests.setdefault(event.epoch, event.digest) != event.digest:
            raise FaultError(f"two tables under epoch {event.epoch:x}")
        self.epoch = event.epoch
        self.moves.append(event)

    def schedule(self) -> None:
        due = min(earliest((self.leases, self.tables)), self.outbox.due())
        if due < float("inf"):
            when = max(self.world.time, self.began + (due - self.base) / self.rate) + 1e-6
            if when < self.due or self.due <= self.world.time:
                self.due = when
                self.world.at(when, lambda: self.woken(when))

    def woken(self, when: float) -> None:
        if when == self.due:
            self.due = float("inf")
            self.do(lambda now: self.leases.tick(now) + self.tables.tick(now))

    def handle_message(self, sender: Peer, data: bytes) -> None:
        self.do(lambda now: self.read(sender, data, now))

    def read(self, sender: Peer, data: bytes, now: float) -> list[Action]:
        heard, actions = self.wire.read(data, sender), list[Action]()
        if isinstance(heard, ReceivedDatagram):
            self.leases.observe_counter(heard.header.clock)
            for message in heard.messages:
                part = self.leases if isinstance(message, self.leases.HANDLED_MESSAGES) else self.tables
                if isinstance(message, part.HANDLED_MESSAGES):
                    actions += part.handle_message(sender, heard.header.incarnation, message, now)
        return actions

    def use(self) -> tuple[int | None, int | None]:
        """Epoch and digest in use now."""
        return self.tables.epoch_in_use(self.clock), self.tables.table_in_use(self.clock)


class World:
    """`acceptors` bid for the lease. Delays are seconds of true time."""

    def __init__(
        self,
        size: int,
        seed: int,
        kind: type[PlacementEpochs] = PlacementEpochs,
        acceptors: tuple[Peer, ...] = (0, 1, 2),
        delay: tuple[float, float] = (0.005, 0.015),
        rates: tuple[float, float] = (0.95, 1.05),
        bytes_per_s: int = 16_000,
    ) -> None:
        self.size, self.kind, self.acceptors, self.delay, self.rates = size, kind, acceptors, delay, rates
        self.bytes_per_s = bytes_per_s
        self.rng, self.time, self.loss = random.Random(seed), 0.0, 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = self.incarnations = self.takes = 0
        self.cuts: set[tuple[Peer, Peer]] = set()
        self.digests: dict[int, int] = {}
        self.own: dict[Peer, tuple[int, int]] = dict.fromkeys(range(size), (1, 1))  # rules and list
        self.processes: list[Process] = []
        for me in range(size):
            self.processes.append(self.born(me))
        for process in self.processes:
            self.begin(process)

    def born(self, me: Peer) -> Process:
        self.incarnations += 1
        return Process(self, me, self.kind, self.incarnations)

    def begin(self, process: Process) -> None:
        if process.me in self.acceptors:
            process.do(lambda now: process.leases.request(TABLES_LEASE, now))
        self.compile(process.me)

    def compile(self, me: Peer) -> None:
        rules, listed = self.own[me]
        tables = self.processes[me].tables
        self.processes[me].do(lambda now: tables.compiled(rules, digest_of(rules, listed), now))

    def change(self, peers: Iterable[Peer], rules: int, listed: int, within: float = 0.0) -> None:
        """Other rules or another list at these routers, each some time within `within` from now."""

        def come(me: Peer) -> None:
            self.own[me] = (rules, listed)
            self.compile(me)

        for me in peers:
            self.at(self.time + self.rng.uniform(0, within), lambda me=me: come(me))  # type: ignore[misc]

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, call))

    def send(self, sender: Peer, to: Peer, data: bytes) -> None:
        if sender != to and (sender, to) not in self.cuts and self.rng.random() >= self.loss:
            late = self.rng.uniform(*self.delay)
            self.at(self.time + late, lambda: self.processes[to].handle_message(sender, data))

    def part(self, *sides: Iterable[Peer]) -> None:
        side = {peer: n for n, peers in enumerate(sides) for peer in peers}
        self.cuts |= {(a, b) for a in side for b in side if side[a] != side[b]}

    def heal(self) -> None:
        """All cuts end and all go on; the ends are known later, as by liveness."""
        cut = {receiver for _, receiver in self.cuts}
        self.cuts.clear()
        for process in self.processes:
            self.go_on(process.me)
        for peer in cut:
            self.detected(peer)

    def go_on(self, me: Peer) -> None:
        process = self.processes[me]
        process.stopped, waiting, process.waiting = False, process.waiting, []
        process.do(lambda now: process.leases.tick(now) + process.tables.tick(now))
        for call in waiting:
            call()

    def restart(self, me: Peer) -> None:
        self.processes[me].dead = True
        self.processes[me] = self.born(me)
        self.begin(self.processes[me])
        self.detected(me)

    def detected(self, peer: Peer) -> None:
        def told(to: Process) -> None:
            event = PeerChanged(peer, self.processes[peer].incarnation, PeerState.ALIVE)
            to.do(lambda now: to.tables.handle_event(event, now))

        for other in range(self.size):
            if other != peer:
                self.at(self.time + DETECTED, lambda other=other: told(self.processes[other]))  # type: ignore[misc]

    def holder(self) -> Peer | None:
        return next((p.me for p in self.processes if p.leases.holds(TABLES_LEASE, p.clock) is not None), None)

    def alike(self, peers: Iterable[Peer] | None = None, digest: int | None = None) -> bool:
        """Whether these routers use one epoch, of that table."""
        uses = {self.processes[me].use() for me in (range(self.size) if peers is None else peers)}
        epoch, table = next(iter(uses))
        return len(uses) == 1 and epoch is not None and digest in (None, table)

    def run(
        self, seconds: float, done: Callable[[], bool] = lambda: False, step: float = 0.05
    ) -> float | None:
        """The true seconds until `done`, looked at each `step`; None: not within `seconds`."""
        start = self.time
        end, look = start + seconds, start
        while self.time <= end:
            if self.time >= look:
                if done():
                    return self.time - start
                look = self.time + step
            if not self.events or self.events[0][0] > min(end, look):
                if min(end, look) >= end:
                    break
                self.time = look
                continue
            self.time, _, call = heapq.heappop(self.events)
            call()
        self.time = end
        return self.time - start if done() else None


def digest_of(rules: int, listed: int) -> int:
    return rules << 32 | listed
