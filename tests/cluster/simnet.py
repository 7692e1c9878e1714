"""A simulated network of cluster components in virtual time: loss, cuts, partitions, stalls and restarts.

net = ComponentNetwork(seed=1, loss_ratio=0.2)
net.start_router(0, [component, ...], lambda: 7)  # the components, and the incarnation in headers
net.cut(0, 1)                                     # router 1 no longer receives the datagrams of router 0
net.run(10.0)                                     # until that time; `net.events` has the components' events
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
    """A simulated router: the components that run on it, and its state."""

    components: Sequence[Any]
    incarnation: Callable[[], int]
    stalled_until: float = 0.0  # until then the router does not run, and arriving datagrams wait
    killed: bool = False
    due: float = NEVER  # when the scheduled tick is due
    waiting_datagrams: list[tuple[Peer, int, list[PeerMessage]]] = field(default_factory=list)


class ComponentNetwork:
    """The network and its clock. Delays are uniformly distributed, in seconds.

    `datagram_size` returns the bytes of a datagram; `bytes` is the sum over all datagrams sent.
    """

    def __init__(
        self,
        seed: int,
        loss_ratio: float = 0.0,
        delay_s: tuple[float, float] = (0.0002, 0.002),
        datagram_size: Callable[[int, list[PeerMessage]], int] | None = None,
    ) -> None:
        self.rng = Random(seed)
        self.loss_ratio, self.delay_s, self.datagram_size = loss_ratio, delay_s, datagram_size
        self.now = 0.0
        self.routers: dict[Peer, Router] = {}
        self.cuts: set[tuple[Peer, Peer]] = set()
        self.events: list[tuple[float, Peer, LocalEvent]] = []
        self.datagrams = self.bytes = 0
        self._scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def start_router(self, peer: Peer, components: Sequence[Any], incarnation: Callable[[], int]) -> Router:
        """Starts a router; an earlier router with this number is killed."""
        self.kill(peer)
        router = self.routers[peer] = Router(components, incarnation)
        self._schedule_tick(peer, router)
        return router

    def kill(self, peer: Peer) -> None:
        if peer in self.routers:
            self.routers[peer].killed = True

    def stall(self, peer: Peer, seconds: float) -> None:
        router = self.routers[peer]
        router.stalled_until = self.now + seconds
        self.schedule(router.stalled_until, lambda: self._wake(peer, router))

    def cut(self, sender: Peer, receiver: Peer) -> None:
        self.cuts.add((sender, receiver))

    def partition(self, *sides: Iterable[Peer]) -> None:
        """Partitions the network: routers reach only those on their side. `heal` ends this and all cuts."""
        side = {peer: number for number, peers in enumerate(sides) for peer in peers}
        self.cuts |= {
            (sender, receiver) for sender in side for receiver in side if side[sender] != side[receiver]
        }

    def heal(self) -> None:
        self.cuts.clear()

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._scheduled_calls, (when, self._count, call))

    def run(self, until: float) -> None:
        while self._scheduled_calls and self._scheduled_calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._scheduled_calls)
            call()
        self.now = until

    def execute(self, peer: Peer, router: Router, actions: Iterable[Action]) -> None:
        """Executes actions that a component of `router` returned, also those from a call by a test."""
        messages: dict[Peer, list[PeerMessage]] = {}
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, SendMessage):
                others = [other for other in self.routers if other != peer]
                for to in others if action.to is None else [action.to]:
                    messages.setdefault(to, []).append(action.message)
            elif not isinstance(action, LogEvent):
                self.events.append((self.now, peer, action))
                for component in router.components:
                    pending += component.handle_event(action, self.now)
        for to, sent in messages.items():
            self._send(peer, router.incarnation(), to, sent)
        self._schedule_tick(peer, router)

    def _send(self, sender: Peer, incarnation: int, to: Peer, messages: list[PeerMessage]) -> None:
        self.datagrams += 1
        if self.datagram_size is not None:
            self.bytes += self.datagram_size(incarnation, messages)
        if (sender, to) not in self.cuts and self.rng.random() >= self.loss_ratio and to in self.routers:
            router = self.routers[to]
            when = self.now + self.rng.uniform(*self.delay_s)
            self.schedule(when, lambda: self.deliver(to, router, sender, incarnation, messages))

    def deliver(
        self, to: Peer, router: Router, sender: Peer, incarnation: int, messages: list[PeerMessage]
    ) -> None:
        if router.killed:
            return
        if self.now < router.stalled_until:
            router.waiting_datagrams.append((sender, incarnation, messages))
            return
        actions: list[Action] = []
        for component in router.components:
            if hasattr(component, "handle_datagram"):
                actions += component.handle_datagram(sender, incarnation, self.now)
            for message in messages:
                if isinstance(message, component.HANDLED_MESSAGES):
                    actions += component.handle_message(sender, incarnation, message, self.now)
        self.execute(to, router, actions)

    def _wake(self, peer: Peer, router: Router) -> None:
        self._tick(peer, router)
        for sender, incarnation, messages in router.waiting_datagrams:
            self.deliver(peer, router, sender, incarnation, messages)
        router.waiting_datagrams.clear()

    def _schedule_tick(self, peer: Peer, router: Router) -> None:
        due = max(min(component.due() for component in router.components), self.now)
        if due < router.due:
            router.due = due
            self.schedule(due, lambda: self._tick(peer, router, due))

    def _tick(self, peer: Peer, router: Router, due: float | None = None) -> None:
        if router.killed or self.now < router.stalled_until or (due is not None and due != router.due):
            return
        router.due = NEVER
        self.execute(
            peer, router, [action for component in router.components for action in component.tick(self.now)]
        )
