"""A network of routers in virtual time: drops, delays, cuts of one way, partitions, stalls, restarts; seeded.

net = Net(seed=1, drop=0.2)
net.add(0, [part, ...], lambda: 7)  # parts, and the incarnation that heads carry
net.cut(0, 1)                       # 1 does not hear 0 any more
net.run(10.0)                       # to that time; `net.log` has what parts have found
"""

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.types import NEVER, Action, LocalEvent, LogEvent, Peer, SendMessage


@dataclass(slots=True)
class Router:
    parts: Sequence[Any]
    incarnation: Callable[[], int]
    stalled: float = 0.0  # until then it does nothing; what comes waits
    dead: bool = False
    due: float = NEVER  # of the tick that is scheduled
    waiting: list[tuple[Peer, int, list[PeerMessage]]] = field(default_factory=list)


class Net:
    """Delays are seconds, drawn evenly; `size` tells the bytes of a datagram's notes, for `bytes`."""

    def __init__(
        self,
        seed: int,
        drop: float = 0.0,
        delay: tuple[float, float] = (0.0002, 0.002),
        size: Callable[[int, list[PeerMessage]], int] | None = None,
    ) -> None:
        self.rng = Random(seed)
        self.drop, self.delay, self.size = drop, delay, size
        self.now = 0.0
        self.routers: dict[Peer, Router] = {}
        self.cuts: set[tuple[Peer, Peer]] = set()
        self.log: list[tuple[float, Peer, LocalEvent]] = []
        self.datagrams = self.bytes = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, peer: Peer, parts: Sequence[Any], incarnation: Callable[[], int]) -> Router:
        """A router starts, or starts anew: the one before it under this number is dead."""
        self.kill(peer)
        router = self.routers[peer] = Router(parts, incarnation)
        self._schedule(peer, router)
        return router

    def kill(self, peer: Peer) -> None:
        if peer in self.routers:
            self.routers[peer].dead = True

    def stall(self, peer: Peer, seconds: float) -> None:
        router = self.routers[peer]
        router.stalled = self.now + seconds
        self.at(router.stalled, lambda: self._wake(peer, router))

    def cut(self, sender: Peer, receiver: Peer) -> None:
        self.cuts.add((sender, receiver))

    def part(self, *sides: Iterable[Peer]) -> None:
        """Only those of one side hear each other; `heal` ends it and all cuts."""
        side = {peer: number for number, peers in enumerate(sides) for peer in peers}
        self.cuts |= {(a, b) for a in side for b in side if side[a] != side[b]}

    def heal(self) -> None:
        self.cuts.clear()

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def act(self, peer: Peer, router: Router, actions: Iterable[Action]) -> None:
        """Do what a part of `router` asked for: also for calls of one's own, such as `Verdicts.saw`."""
        notes: dict[Peer, list[PeerMessage]] = {}
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, SendMessage):
                others = [other for other in self.routers if other != peer]
                for to in others if action.to is None else [action.to]:
                    notes.setdefault(to, []).append(action.message)
            elif not isinstance(action, LogEvent):
                self.log.append((self.now, peer, action))
                for part in router.parts:
                    todo += part.handle_event(action, self.now)
        for to, told in notes.items():
            self._send(peer, router.incarnation(), to, told)
        self._schedule(peer, router)

    def _send(self, sender: Peer, incarnation: int, to: Peer, notes: list[PeerMessage]) -> None:
        self.datagrams += 1
        if self.size is not None:
            self.bytes += self.size(incarnation, notes)
        if (sender, to) not in self.cuts and self.rng.random() >= self.drop and to in self.routers:
            router = self.routers[to]
            when = self.now + self.rng.uniform(*self.delay)
            self.at(when, lambda: self.deliver(to, router, sender, incarnation, notes))

    def deliver(
        self, to: Peer, router: Router, sender: Peer, incarnation: int, notes: list[PeerMessage]
    ) -> None:
        if router.dead:
            return
        if self.now < router.stalled:
            router.waiting.append((sender, incarnation, notes))
            return
        actions: list[Action] = []
        for part in router.parts:
            if hasattr(part, "seen"):
                actions += part.seen(sender, incarnation, self.now)
            for note in notes:
                if isinstance(note, part.HANDLED_MESSAGES):
                    actions += part.handle_message(sender, incarnation, note, self.now)
        self.act(to, router, actions)

    def _wake(self, peer: Peer, router: Router) -> None:
        self._tick(peer, router)
        for sender, incarnation, notes in router.waiting:
            self.deliver(peer, router, sender, incarnation, notes)
        router.waiting.clear()

    def _schedule(self, peer: Peer, router: Router) -> None:
        due = max(min(part.due() for part in router.parts), self.now)
        if due < router.due:
            router.due = due
            self.at(due, lambda: self._tick(peer, router, due))

    def _tick(self, peer: Peer, router: Router, due: float | None = None) -> None:
        if router.dead or self.now < router.stalled or (due is not None and due != router.due):
            return
        router.due = NEVER
        self.act(peer, router, [a for part in router.parts for a in part.tick(self.now)])
