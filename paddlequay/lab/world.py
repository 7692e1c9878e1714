"""A world of hierarchy nodes without sockets or clocks: every message is delivered when a scheduler says so.

For searching through interleavings of news, deaths, purges and fills, and for simulations of many nodes. The
nodes are the real `hierarchy.node.Node`; what stands in is the network, the store and the walk along the
rungs.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.copies import CachedCopy
from paddlequay.hierarchy.fill_leases import FillSource
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    FillResult,
    NodeLimits,
    OwnershipClaim,
    PeerIntroduction,
    Reply,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import MigrationLimits
from paddlequay.hierarchy.node import Node
from paddlequay.hierarchy.topology import Topology

STORE = "store"


@dataclass(slots=True, eq=False)
class Climb:
    """A fill on its way along its rungs."""

    node: str
    run: int
    fill: StartFill


@dataclass(slots=True, eq=False)
class Message:
    """Something that happens when it is delivered; `at` is its time in simulations."""

    what: str
    act: Callable[[], None]
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreFill:
    """One fill that the store has given out."""

    name: str
    part: int | None
    epoch: int
    by: str
    living: tuple[str, ...]  # who held it then, or was sent it, lived, and may be asked as the filler knows


class World:
    """Nodes, a store, and messages between them that wait to be delivered."""

    def __init__(self, limits: NodeLimits | None = None, moves: MigrationLimits | None = None) -> None:
        self.limits = limits or NodeLimits(fill_longest=1e9, purge_memory=1e9)
        self.move_limits = moves or MigrationLimits(window=1e9, claim=1e9, look_rate=1e9, look_burst=1e9)
        self.nodes: dict[str, Node] = {}
        self.runs: Counter[str] = Counter()
        self.dead: set[str] = set()
        self.pending: list[Message] = []
        self.now = 1000.0
        self.epochs: Counter[str] = Counter()  # purges of an object that have been issued
        self.issued: dict[str, float] = {}
        self.fills: list[StoreFill] = []
        # What the store has given out and is on its way: place, to whom, of which epoch.
        self.outstanding: Counter[tuple[str, int | None, str, int]] = Counter()
        self.answers: list[Reply] = []
        self.told: dict[str, dict[str, float]] = defaultdict(dict)  # purges that a node has been told of
        self.unanswered = 0
        self.stale: list[str] = []
        self.delay: Callable[[str, str], float] = lambda *_: 0.0
        self.faults: set[str] = set()  # guards taken out, to see that the search finds it

    # --- building and news ---

    def add(self, name: str, shape: Topology, started: float = 0.0) -> Node:
        own = shape.nodes.get(name)
        group = own.group if own is not None else "aimag"
        node = self.nodes[name] = Node(name, self.limits, self.move_limits, started, group)
        if "rings" in self.faults:
            node.leases.may = _no_wait_die(node.leases.may)  # type: ignore[method-assign]
        if "claims" in self.faults:
            node.moves.claim = lambda *_: False  # type: ignore[method-assign]
        if "looks" in self.faults:
            node.moves.earlier = lambda *_: []  # type: ignore[method-assign]
        if "purged fills" in self.faults:
            node.leases.purge = lambda *_: 0  # type: ignore[method-assign]
        node.follow(shape, self.now)
        return node

    def follow(self, name: str, shape: Topology) -> None:
        """A node learns of a shape; one that it has is no news."""
        if name not in self.dead and self.nodes[name].shape.version < shape.version:
            self.nodes[name].follow(shape, self.now)

    def purge(self, name: str) -> float:
        """A purge is issued; nodes hear of it by `hear`."""
        self.now += 0.001
        self.epochs[name] += 1
        self.issued[name] = self.now
        self.now += 0.001
        return self.issued[name]

    def hear(self, node: str, name: str) -> None:
        if node not in self.dead and name in self.issued:
            self.told[node][name] = self.issued[name]
            self.nodes[node].purged(name, None, self.issued[name], self.now)

    def kill(self, name: str) -> None:
        """A node dies: who waits for it is told at once, what it holds is gone."""
        self.dead.add(name)
        self.runs[name] += 1
        for lease in self.nodes[name].leases.under_way():
            for want in lease.joined:
                if not want.over:
                    self.answered(name, Reply(want, ReplyStatus.NONE, detail="unreached"))
        for message in [m for m in self.pending if m.what.startswith(f"to {name} ")]:
            self.pending.remove(message)
            self.send(f"refused {message.what}", message.act)

    def restart(self, name: str) -> None:
        """It comes back empty, with the shape that it had saved."""
        self.dead.discard(name)
        old = self.nodes[name]
        self.add(name, old.shape, started=self.now)
        self.nodes[name].moves.epochs = old.moves.epochs
        for purged, issued in self.told[name].items():
            self.nodes[name].purged(purged, None, issued, self.now)

    # --- traffic ---

    def send(self, what: str, act: Callable[[], None], delay: float = 0.0) -> None:
        self.pending.append(Message(what, act, self.now + delay))

    def deliver(self, place: int) -> str:
        """Deliver one of the pending messages."""
        message = self.pending.pop(place)
        self.now += 1e-6
        message.act()
        return message.what

    def ask(self, node: str, name: str, part: int | None = 0) -> None:
        """A box asks a node, once this message is delivered."""
        self.unanswered += 1

        def arrive() -> None:
            floor = self.told[node].get(name, 0.0)
            want = FillRequest(("box", node, floor), name, part, "video", 0.0, self.now + 1e9)
            if node in self.dead:
                self.unanswered -= 1
            else:
                self.carry(node, self.nodes[node].ask(want, self.now))

        self.send(f"to {node} box {name}", arrive, self.delay("box", node))

    def carry(self, node: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StartFill):
                self.climb(Climb(node, self.runs[node], action))
            elif not isinstance(action, PeerIntroduction):
                self.answered(node, action)

    def answered(self, node: str, answer: Reply) -> None:
        token: Any = answer.want.token
        if token is None:
            return
        if token[0] == "box":
            self.unanswered -= 1
            self.answers.append(answer)
            if answer.copy is not None and answer.copy.minted < token[2]:
                self.stale.append(f"{node} {answer.want.name}")
            return
        climb, run, target = token
        copy = answer.copy if answer.word in (ReplyStatus.HIT, ReplyStatus.VALID) else None
        self.send(
            f"to {climb.node} answer {answer.word.value} {answer.detail}",
            lambda: self.back(climb, run, target, copy, answer.detail, answer.hint),
            self.delay(node, climb.node),
        )

    def back(
        self, climb: Climb, run: int, target: str, copy: CachedCopy | None, detail: str, hint: str = ""
    ) -> None:
        """An answer reaches the node that climbs."""
        if target == STORE and copy is not None:
            self.outstanding[(*climb.fill.place, climb.node, int(copy.tag))] -= 1
        if climb.node in self.dead or self.runs[climb.node] != climb.run:
            return
        node = self.nodes[climb.node]
        if detail == "unreached":
            node.unreached(climb.fill.number, target)
        if copy is None or copy.minted < climb.fill.floor:
            return self.climb(climb, hint)
        got = FillResult(
            CachedCopy(copy.body, copy.tag, copy.minted, copy.group, 1), from_store=target == STORE
        )
        self.carry(climb.node, node.ended(climb.fill.number, got, self.now))

    def climb(self, climb: Climb, hint: str = "") -> None:
        """The next rung."""
        node, fill = self.nodes[climb.node], climb.fill
        step = node.step(fill.number, hint)
        if step is None:
            return self.carry(climb.node, node.ended(fill.number, FillResult(), self.now))
        rung, trail = step
        self.send(
            f"to {rung.target} {'look' if rung.held else 'fill'} {fill.place[0]} from {climb.node}",
            lambda: self.arrive(climb, rung, climb.run, trail),
            self.delay(climb.node, rung.target),
        )

    def arrive(self, climb: Climb, rung: FillSource, run: int, trail: FillPath) -> None:
        fill, target = climb.fill, rung.target
        if rung.store:
            return self.give(climb)
        if target in self.dead:
            self.send(
                f"to {climb.node} unreached {target}",
                lambda: self.back(climb, run, target, None, "unreached"),
                self.delay(target, climb.node),
            )
            return
        want = FillRequest(
            (climb, run, target),
            *fill.place,
            fill.class_name,
            fill.floor,
            self.now + 1e9,
            fill=not rung.held,
            trail=trail,
            claim=OwnershipClaim(fill.claim, ("127.0.0.1", 1)) if rung.held else None,
        )
        self.carry(target, self.nodes[target].ask(want, self.now))

    def give(self, climb: Climb) -> None:
        """The store gives out a copy as it is now."""
        name, part = climb.fill.place
        epoch, asker = self.epochs[name], self.nodes[climb.node]
        living = []
        for other, node in self.nodes.items():
            listed = asker.shape.nodes.get(other)
            if other in self.dead or other == climb.node or listed is None or not listed.ready:
                continue
            held = node.copies.peek((name, part))
            holds = held is not None and held.minted >= self.issued.get(name, 0.0)
            if holds or self.outstanding[(name, part, other, epoch)]:
                living.append(other)
        self.fills.append(StoreFill(name, part, epoch, climb.node, tuple(living)))
        self.outstanding[(name, part, climb.node, epoch)] += 1
        copy = CachedCopy(b"x", str(epoch), self.now)
        self.send(
            f"to {climb.node} answer of the store",
            lambda: self.back(climb, climb.run, STORE, copy, ""),
            self.delay(STORE, climb.node),
        )

    # --- what must hold ---

    def second_fills(self) -> list[StoreFill]:
        """Fills of the same object and part since the same purge, beyond the first."""
        seen: set[tuple[str, int | None, int]] = set()
        second = []
        for fill in self.fills:
            place = (fill.name, fill.part, fill.epoch)
            if place in seen:
                second.append(fill)
            seen.add(place)
        return second

    def loops_found(self) -> int:
        return sum(node.seen.counts["loops_found"] for node in self.nodes.values())

    def rings_refused(self) -> int:
        return sum(node.seen.counts["rings_refused"] for node in self.nodes.values())


def _no_wait_die(may: Callable[..., Any]) -> Callable[..., Any]:
    return lambda place, trail, look=False: may(place, None)
