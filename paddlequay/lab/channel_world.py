"""A plaza of routers with live channels in virtual time, on clocks of their own, and a tier that they fill.

Real leases and channels; messages are lost, late or cut, processes stop, go on and die. The world alone knows
the true time: it measures for how long more than one router may fill a bundle, and for how long none may.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from paddlequay.cluster.channels import Channels
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import PeerMessage, Prepare
from paddlequay.cluster.prefetch import Prefetch
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import Action, ClusterBounds, Fleet, Peer, SendMessage
from paddlequay.hierarchy.fencing_tokens import FencingTokens

BOUNDS = ClusterBounds()
STEP = 0.01  # seconds of true time; what is measured is exact to two of them
PART = 0.4  # seconds of a part
BOX = 99


@dataclass(slots=True)
class Process:
    """One life of a router."""

    leases: Leases
    channels: Channels
    clock: float
    rate: float
    stopped: bool = False
    dead: bool = False

    @property
    def runs(self) -> bool:
        return not (self.stopped or self.dead)


@dataclass(slots=True)
class Seen:
    """What the world has measured of one bundle, in seconds."""

    most: int = 0
    overlap: float = 0.0  # longest time with more than one owner
    gap: float = 0.0  # longest time without one, after the first
    begun: float | None = None  # of what is going on
    alone: float | None = None
    owned: bool = False


@dataclass(slots=True)
class Fill:
    at: float
    by: Peer
    prefetch: Prefetch
    taken: bool


class World:
    def __init__(
        self,
        seed: int,
        size: int = 5,
        names: tuple[str, ...] = ("live",),
        kind: type[Channels] = Channels,
        drop: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.05),
        rule: ChannelRule | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.rule = rule or ChannelRule(("video",), bundles=1)
        self.names, self.drop, self.delay = names, drop, delay
        self.time = 0.0
        self.blocked: set[tuple[Peer, Peer]] = set()
        self.slow: set[tuple[Peer, Peer]] = set()  # a second late
        self.pending: list[tuple[float, Callable[[], None]]] = []
        self.tier = FencingTokens()
        self.fills: list[Fill] = []
        self.asks: list[tuple[float, Peer]] = []  # elections begun
        self.readers = set(range(size))
        self.filling: Callable[[Peer], None] = lambda me: None  # called between a fill and its announcement
        self.seen = [Seen() for _ in range(self.rule.bundles)]
        self.all: list[Process] = []
        for me in range(size):
            clock, rate = (
                self.rng.uniform(0, 1000),
                self.rng.choice((0.95, 1.05, self.rng.uniform(0.95, 1.05))),
            )
            fleet = Fleet(me, size, (0, 1, 2), "here")
            leases = Leases(fleet, BOUNDS, random.Random(self.rng.getrandbits(64)), clock)
            rng = random.Random(self.rng.getrandbits(64))
            channels = kind(fleet, BOUNDS, self.rule, leases, rng, clock)
            self.all.append(Process(leases, channels, clock, rate))

    # --- what happens ---

    def later(self, after: float, call: Callable[[], None]) -> None:
        self.pending.append((self.time + after, call))

    def act(self, me: Peer, actions: list[Action]) -> None:
        process, todo = self.all[me], list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, SendMessage):
                if isinstance(action.message, Prepare) and action.to == next(p for p in (0, 1, 2) if p != me):
                    self.asks.append((self.time, me))
                for to in [action.to] if action.to is not None else range(len(self.all)):
                    self.send(me, to, action.message, process.leases.highest_counter)
            elif type(action).__name__ != "LogEvent":
                todo += process.channels.handle_event(action, process.clock)  # type: ignore[arg-type]

    def send(self, me: Peer, to: Peer, message: PeerMessage, clock: int) -> None:
        if (me, to) in self.blocked or to == me or self.rng.random() < self.drop:
            return
        wait = 1.0 if (me, to) in self.slow else self.rng.uniform(*self.delay)
        self.later(wait, lambda: self.deliver(me, to, message, clock))

    def deliver(self, me: Peer, to: Peer, message: PeerMessage, clock: int) -> None:
        process = self.all[to]
        if process.stopped:
            return self.later(STEP, lambda: self.deliver(me, to, message, clock))
        if process.dead or (me, to) in self.blocked:
            return
        process.leases.observe_counter(clock)
        part = process.leases if isinstance(message, process.leases.HANDLED_MESSAGES) else process.channels
        self.act(to, part.handle_message(me, 0, message, process.clock))

    def read(self, me: Peer, name: str, part: int) -> None:
        process = self.all[me]
        if process.runs and me in self.readers:
            for prefetch in process.channels.record_read(name, "video", part, process.clock):
                self.later(self.rng.uniform(0, 0.03), lambda prefetch=prefetch: self.write(me, prefetch))  # type: ignore[misc]

    def write(self, me: Peer, prefetch: Prefetch) -> None:
        process = self.all[me]
        if process.stopped:
            return self.later(STEP, lambda: self.write(me, prefetch))
        if process.dead:
            return
        if process.channels.writable_term(prefetch, process.clock) is None:
            return process.channels.prefetch_failed(prefetch, process.clock)
        self.later(self.rng.uniform(0.005, 0.05), lambda: self.arrive(me, prefetch))

    def arrive(self, me: Peer, prefetch: Prefetch) -> None:
        taken = self.tier.accepts(prefetch.channel, prefetch.term, self.time)
        self.fills.append(Fill(self.time, me, prefetch, taken))
        if taken:
            self.filling(me)
            self.told(me, prefetch)

    def told(self, me: Peer, prefetch: Prefetch) -> None:
        process = self.all[me]
        if process.stopped:
            self.later(STEP, lambda: self.told(me, prefetch))
        elif not process.dead:
            self.act(me, process.channels.prefetch_succeeded(prefetch, BOX, process.clock))

    # --- time ---

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let time pass; True as soon as `until` holds."""
        for _ in range(round(seconds / STEP)):
            if until():
                return True
            self.step()
        return until()

    def step(self) -> None:
        before, self.time = self.time, self.time + STEP
        if int(before / PART) != int(self.time / PART):
            for name in self.names:
                for me in range(len(self.all)):
                    part = int(self.time / PART)
                    self.later(
                        self.rng.uniform(0, PART / 2),
                        lambda me=me, name=name, part=part: self.read(me, name, part),  # type: ignore[misc]
                    )
        due = [event for event in self.pending if event[0] <= self.time]
        self.pending = [event for event in self.pending if event[0] > self.time]
        for process in self.all:
            process.clock += STEP * process.rate
        for _, call in sorted(due, key=lambda event: event[0]):
            call()
        for me, process in enumerate(self.all):
            if process.runs:
                for each in (process.leases, process.channels):
                    if each.due() <= process.clock:
                        self.act(me, each.tick(process.clock))
        self.measure()

    def owners(self, number: int = 0) -> list[Peer]:
        """Who could write a fill at this instant."""
        able = []
        for me, process in enumerate(self.all):
            bundles = process.channels.bundles
            if process.runs and bundles.active_term(bundles.all[number], process.clock) is not None:
                able.append(me)
        return able

    def measure(self) -> None:
        for number, seen in enumerate(self.seen):
            count = len(self.owners(number))
            seen.most = max(seen.most, count)
            seen.owned |= count > 0
            seen.begun = (self.time if seen.begun is None else seen.begun) if count > 1 else None
            seen.alone = (
                (self.time if seen.alone is None else seen.alone) if not count and seen.owned else None
            )
            seen.overlap = max(seen.overlap, 0.0 if seen.begun is None else self.time - seen.begun + STEP)
            seen.gap = max(seen.gap, 0.0 if seen.alone is None else self.time - seen.alone + STEP)

    def settled(self) -> Peer:
        """Run until a bundle's one owner is old enough to hand on, and followed; forget what was measured."""
        assert self.run(8.0, lambda: len(self.owners()) == 1)
        owner = self.owners()[0]
        self.run(2.5)
        assert self.owners() == [owner]
        self.seen = [Seen(owned=True) for _ in self.seen]
        return owner

    def moved(self, owner: Peer) -> bool:
        return bool(self.owners()) and owner not in self.owners()

    def cut(self, one: Peer) -> None:
        for other in range(len(self.all)):
            self.blocked |= {(one, other), (other, one)} if other != one else set()
