"""A simulated network of routers in virtual time: loss, delays, one-way cuts, partitions, stalls, restarts.

net = Net(seed=1, drop=0.2)
net.add(0, [part, ...], lambda: 7)  # parts, and the incarnation that headers carry
net.cut(0, 1)                       # 1 no longer receives the datagrams of 0
net.run(10.0)                       # to that time; `net.log` has the events of the parts
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
    stalled: float = 0.0  # until then it does not run; what arrives waits
    dead: bool = False
    due: float = NEVER  # of the tick that is scheduled
    waiting: list[tuple[Peer, int, list[PeerMessage]]] = field(default_factory=list)


class Net:
    """Delays are seconds, drawn evenly; `size` returns the bytes of a datagram, which `bytes` adds up."""

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
        """Starts a router; the one before it under this number is killed."""
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
        """Partitions the network: only routers of one side reach each other. `heal` ends it and all cuts."""
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
        """Executes the actions of a part of `router`, also those of a test's own calls."""
        messages: dict[Peer, list[PeerMessage]] = {}
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, SendMessage):
                others = [other for other in self.routers if other != peer]
                for to in others if action.to is None else [action.to]:
                    messages.setdefault(to, []).append(action.message)
            elif not isinstance(action, LogEvent):
                self.log.append((self.now, peer, action))
                for part in router.parts:
                    todo += part.handle_event(action, self.now)
        for to, sent in messages.items():
            self._send(peer, router.incarnation(), to, sent)
        self._schedule(peer, router)

    def _send(self, sender: Peer, incarnation: int, to: Peer, messages: list[PeerMessage]) -> None:
        self.datagrams += 1
        if self.size is not None:
            self.bytes += self.size(incarnation, messages)
        if (sender, to) not in self.cuts and self.rng.random() >= self.drop and to in self.routers:
            router = self.routers[to]
            when = self.now + self.rng.uniform(*self.delay)
            self.at(when, lambda: self.deliver(to, router, sender, incarnation, messages))

    def deliver(
        self, to: Peer, router: Router, sender: Peer, incarnation: int, messages: list[PeerMessage]
    ) -> None:
        if router.dead:
            return
        if self.now < router.stalled:
            router.waiting.append((sender, incarnation, messages))
            return
        actions: list[Action] = []
        for part in router.parts:
            if hasattr(part, "handle_datagram"):
                actions += part.handle_datagram(sender, incarnation, self.now)
            for message in messages:
                if isinstance(message, part.HANDLED_MESSAGES):
                    actions += part.handle_message(sender, incarnation, message, self.now)
        self.act(to, router, actions)

    def _wake(self, peer: Peer, router: Router) -> None:
        self._tick(peer, router)
        for sender, incarnation, messages in router.waiting:
            self.deliver(peer, router, sender, incarnation, messages)
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
