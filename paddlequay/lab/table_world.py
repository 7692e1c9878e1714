"""A simulation of routers that agree on placement tables, in virtual time, each with its own clock.

Leases, outboxes and the wire format are the production code. The world keeps the true time, loses, delays and
blocks datagrams, and stops and restarts routers. At each change of a router's epoch it checks that the epoch
has increased, and that no epoch stands for two different tables.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

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
from paddlequay.errors import PaddlequayError

BOUNDS = ClusterBounds()
DETECTION_S = 1.0  # until others detect a restart or the end of a partition, as by liveness
DUE_MARGIN_S = 1e-6  # by which a process is woken after its due time


class TableFaultError(PaddlequayError):
    """An epoch does not increase, or stands for two different tables."""


@dataclass(frozen=True, slots=True)
class OwnTable:
    """The versions of the routing rules and of the endpoint list that a router has."""

    rules: int = 1
    endpoints: int = 1

    @property
    def digest(self) -> int:
        """The digest of the table that is compiled from both."""
        return digest_of(self.rules, self.endpoints)


@dataclass(frozen=True, slots=True)
class TableInUse:
    """The epoch and the digest of the table that a router uses; both None if it uses none."""

    epoch: int | None
    digest: int | None


class TableProcess:
    """One process of a router."""

    def __init__(
        self, world: "TableWorld", me: Peer, epochs_class: type[PlacementEpochs], incarnation: int
    ) -> None:
        self.world = world
        self.me = me
        self.incarnation = incarnation
        self.started_at = world.time
        self.clock_rate = world.rng.uniform(*world.clock_rates)
        self.clock_at_start = world.rng.uniform(0, 1000)
        fleet = Fleet(me, world.size, world.acceptors)
        lease_rng = random.Random(world.rng.getrandbits(64))
        self.leases = Leases(fleet, BOUNDS, lease_rng, self.clock)
        self.tables = epochs_class(fleet, BOUNDS, self.leases.holds, self._reacquire)
        self.wire = Wire(Codec("lab", world.size), fleet, incarnation)
        self.outbox = Outbox(self.wire, world.bytes_per_s, BOUNDS, self.clock)
        self.stopped = False
        self.dead = False
        self.epoch = 0
        self.log_events: list[LogEvent] = []
        self.changes: list[TableChanged] = []
        self._delayed: list[Callable[[], None]] = []
        self._wake_at = float("inf")

    @property
    def clock(self) -> float:
        """The present time of its clock."""
        return self.clock_at_start + (self.world.time - self.started_at) * self.clock_rate

    def in_use(self) -> TableInUse:
        """Returns the epoch and the digest of the table in use now."""
        return TableInUse(self.tables.epoch_in_use(self.clock), self.tables.table_in_use(self.clock))

    def run(self, call: Callable[[float], list[Action]]) -> None:
        """Runs a call and executes the actions that result; a stopped process does so once it resumes."""
        if self.dead:
            return
        if self.stopped:
            self._delayed.append(lambda: self.run(call))
            return
        now = self.clock
        actions = call(now)
        for action in actions:
            if isinstance(action, SendMessage):
                self.outbox.put(action, now)
            elif isinstance(action, LogEvent):
                self.log_events.append(action)
            else:
                self._check(action)
                actions += self.leases.handle_event(action, now) + self.tables.handle_event(action, now)
        self.wire.ballot_counter = max(self.wire.ballot_counter, self.leases.highest_counter)
        for packet in self.outbox.take(now):
            receivers = range(self.world.size) if packet.to is None else (packet.to,)
            for to in receivers:
                self.world.send(self.me, to, packet.data)
        self._schedule()

    def resume(self) -> None:
        """Resumes the process: ticks first, then runs the calls that were delayed while it was stopped."""
        self.stopped = False
        delayed = self._delayed
        self._delayed = []
        self.run(self._tick)
        for call in delayed:
            call()

    def receive(self, sender: Peer, data: bytes) -> None:
        """Handles a received datagram."""
        self.run(lambda now: self._read(sender, data, now))

    def _tick(self, now: float) -> list[Action]:
        return self.leases.tick(now) + self.tables.tick(now)

    def _reacquire(self, now: float) -> list[Action]:
        return self.leases.release(TABLES_LEASE, now) + self.leases.request(TABLES_LEASE, now)

    def _read(self, sender: Peer, data: bytes, now: float) -> list[Action]:
        received = self.wire.read(data, sender)
        actions: list[Action] = []
        if not isinstance(received, ReceivedDatagram):
            return actions
        self.leases.observe_counter(received.header.ballot_counter)
        for message in received.messages:
            part = self.leases if isinstance(message, self.leases.HANDLED_MESSAGES) else self.tables
            if isinstance(message, part.HANDLED_MESSAGES):
                actions += part.handle_message(sender, received.header.incarnation, message, now)
        return actions

    def _check(self, event: LocalEvent) -> None:
        """Verifies a change of the table in use.

        Raises:
            TableFaultError: The epoch does not increase, or stands for two different tables.
        """
        if isinstance(event, LeaseAcquired):
            self.world.acquisitions += 1
        if not isinstance(event, TableChanged):
            return
        if event.epoch <= self.epoch:
            raise TableFaultError(
                f"epoch of router {self.me} did not increase: {self.epoch:x} to {event.epoch:x}"
            )
        if self.world.digests.setdefault(event.epoch, event.digest) != event.digest:
            raise TableFaultError(f"two different tables have epoch {event.epoch:x}")
        self.epoch = event.epoch
        self.changes.append(event)

    def _schedule(self) -> None:
        due = min(earliest((self.leases, self.tables)), self.outbox.due())
        if due == float("inf"):
            return
        due_at = self.started_at + (due - self.clock_at_start) / self.clock_rate
        wake_at = max(self.world.time, due_at) + DUE_MARGIN_S
        if wake_at < self._wake_at or self._wake_at <= self.world.time:
            self._wake_at = wake_at
            self.world.schedule(wake_at, lambda: self._wake(wake_at))

    def _wake(self, scheduled_at: float) -> None:
        if scheduled_at == self._wake_at:
            self._wake_at = float("inf")
            self.run(self._tick)


class TableWorld:
    """Routers that agree on placement tables; the acceptors bid for the lease. Times are true seconds."""

    def __init__(
        self,
        size: int,
        seed: int,
        epochs_class: type[PlacementEpochs] = PlacementEpochs,
        acceptors: tuple[Peer, ...] = (0, 1, 2),
        delay_s: tuple[float, float] = (0.005, 0.015),
        clock_rates: tuple[float, float] = (0.95, 1.05),
        bytes_per_s: int = 16_000,
    ) -> None:
        self.size = size
        self.epochs_class = epochs_class
        self.acceptors = acceptors
        self.delay_s = delay_s
        self.clock_rates = clock_rates
        self.bytes_per_s = bytes_per_s
        self.rng = random.Random(seed)
        self.time = 0.0
        self.loss_ratio = 0.0
        self.acquisitions = 0
        self.blocked_links: set[tuple[Peer, Peer]] = set()
        self.digests: dict[int, int] = {}  # by epoch
        self.own_tables: dict[Peer, OwnTable] = dict.fromkeys(range(size), OwnTable())
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._incarnations = 0
        self.processes: list[TableProcess] = []
        for me in range(size):
            self.processes.append(self._new_process(me))
        for process in self.processes:
            self._begin(process)

    def _new_process(self, me: Peer) -> TableProcess:
        self._incarnations += 1
        return TableProcess(self, me, self.epochs_class, self._incarnations)

    def _begin(self, process: TableProcess) -> None:
        if process.me in self.acceptors:
            process.run(lambda now: process.leases.request(TABLES_LEASE, now))
        self._compile(process.me)

    def change(self, peers: Iterable[Peer], rules: int, endpoints: int, within_s: float = 0.0) -> None:
        """Gives routers new rules and a new endpoint list, each at a random time within `within_s`."""
        for me in peers:
            at = self.time + self.rng.uniform(0, within_s)
            self.schedule(at, partial(self._change_one, me, OwnTable(rules, endpoints)))

    def _change_one(self, me: Peer, own: OwnTable) -> None:
        self.own_tables[me] = own
        self._compile(me)

    def _compile(self, me: Peer) -> None:
        own = self.own_tables[me]
        tables = self.processes[me].tables
        self.processes[me].run(lambda now: tables.table_compiled(own.rules, own.digest, now))

    def send(self, sender: Peer, to: Peer, data: bytes) -> None:
        """Sends a datagram, which is lost or arrives after a random delay."""
        if sender != to and (sender, to) not in self.blocked_links and self.rng.random() >= self.loss_ratio:
            delay_s = self.rng.uniform(*self.delay_s)
            self.schedule(self.time + delay_s, lambda: self.processes[to].receive(sender, data))

    def partition(self, *sides: Iterable[Peer]) -> None:
        """Blocks all links between the sides of a network partition."""
        side_of = {peer: number for number, peers in enumerate(sides) for peer in peers}
        self.blocked_links |= {(a, b) for a in side_of for b in side_of if side_of[a] != side_of[b]}

    def heal(self) -> None:
        """Unblocks all links and resumes all processes; routers detect the change after `DETECTION_S`."""
        isolated = {receiver for _, receiver in self.blocked_links}
        self.blocked_links.clear()
        for process in self.processes:
            process.resume()
        for peer in isolated:
            self._detect(peer)

    def resume(self, me: Peer) -> None:
        """Resumes a stopped process."""
        self.processes[me].resume()

    def restart(self, me: Peer) -> None:
        """Starts a new process in place of the former one."""
        self.processes[me].dead = True
        self.processes[me] = self._new_process(me)
        self._begin(self.processes[me])
        self._detect(me)

    def _detect(self, peer: Peer) -> None:
        """Reports a router as alive to all others, after the time that detection by liveness takes."""
        for other in range(self.size):
            if other != peer:
                self.schedule(self.time + DETECTION_S, partial(self._report_alive, other, peer))

    def _report_alive(self, to: Peer, peer: Peer) -> None:
        event = PeerChanged(peer, self.processes[peer].incarnation, PeerState.ALIVE)
        process = self.processes[to]
        process.run(lambda now: process.tables.handle_event(event, now))

    def holder(self) -> Peer | None:
        """Returns the router that holds the lease of the placement tables, or None."""
        for process in self.processes:
            if process.leases.holds(TABLES_LEASE, process.clock) is not None:
                return process.me
        return None

    def agree(self, peers: Iterable[Peer] | None = None, digest: int | None = None) -> bool:
        """Returns whether `peers`, or all routers, use the same epoch and, if given, the table `digest`."""
        in_use = {self.processes[me].in_use() for me in (range(self.size) if peers is None else peers)}
        one = next(iter(in_use))
        return len(in_use) == 1 and one.epoch is not None and digest in (None, one.digest)

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call at a true time."""
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, call))

    def run(
        self, seconds: float, is_done: Callable[[], bool] = lambda: False, check_s: float = 0.05
    ) -> float | None:
        """Runs until `is_done` returns True, which is checked every `check_s`, at most for `seconds`.

        Returns:
            The true seconds until then, None if `is_done` did not return True in time.
        """
        start = self.time
        end = start + seconds
        next_check = start
        while self.time <= end:
            if self.time >= next_check:
                if is_done():
                    return self.time - start
                next_check = self.time + check_s
            next_stop = min(end, next_check)
            if self._events and self._events[0][0] <= next_stop:
                self.time, _, call = heapq.heappop(self._events)
                call()
            elif next_stop >= end:
                break
            else:
                self.time = next_stop
        self.time = end
        return self.time - start if is_done() else None


def digest_of(rules: int, endpoints: int) -> int:
    """Returns the digest of the table that is compiled from these versions."""
    return rules << 32 | endpoints
