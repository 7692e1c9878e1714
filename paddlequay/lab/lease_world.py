"""Routers with leases on clocks of their own, and messages between them that a search may do anything to.

The world knows the true time, and looks after each step whether two processes hold a lease at one instant and
whether terms go back. The guards are classes in which one rule of the product is taken out.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from paddlequay.cluster.acceptor import Acceptor, Vote
from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.bids import Bid
from paddlequay.cluster.elections import Elections
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import PeerMessage, Propose
from paddlequay.cluster.types import (
    Action,
    ClusterBounds,
    Fleet,
    LeaseAcquired,
    LeaseLost,
    NameDigest,
    Peer,
    SendMessage,
)

BOUNDS = ClusterBounds()
SLOW, FAST = 1 - BOUNDS.drift_ratio, 1 + BOUNDS.drift_ratio


class Draws(random.Random):
    """Chance with a small state, which is at its edges often: waits are then at their shortest."""

    def __init__(self, state: int) -> None:
        self.state = state

    def __reduce__(self) -> tuple[type["Draws"], tuple[int]]:
        return Draws, (self.state,)

    def getrandbits(self, k: int, /) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & ((1 << 64) - 1)
        return self.state >> (64 - k)

    def random(self) -> float:
        return self.getrandbits(53) / (1 << 53)

    def uniform(self, a: float, b: float) -> float:
        drawn = 4 * self.random() - 2
        return a + (b - a) * min(max(drawn, 0.0), 1.0)


class FaultError(Exception):
    """What must hold does not."""


@dataclass(slots=True)
class Message:
    sender: Peer
    to: Peer
    note: PeerMessage
    clock: int


class Process:
    """One life of a router. `heard` is the world's own count of what its clock must have come to."""

    def __init__(self, leases: Leases, clock: float, rate: float) -> None:
        self.leases = leases
        self.clock = clock
        self.rate = rate
        self.stopped = False
        self.heard = 0
        self.out = leases.acceptor is not None
        self.told: dict[NameDigest, int] = {}  # leases taken and not yet lost, by what was said

    def holds(self, lease: NameDigest) -> int | None:
        return self.leases.holds(lease, self.clock)


class Cached(Process):
    """Does not ask at the moment of use, but believes what it was told last."""

    def holds(self, lease: NameDigest) -> int | None:
        return self.told.get(lease)


class World:
    def __init__(
        self,
        size: int,
        seed: int,
        kind: type[Leases] = Leases,
        process: type[Process] = Process,
        names: tuple[NameDigest, ...] = (1,),
        acceptors: tuple[Peer, ...] = (0, 1, 2),
    ) -> None:
        self.rng = Draws(seed)
        self.kind, self.process = kind, process
        self.acceptors = acceptors
        self.names = names
        self.time = 0.0
        self.pending: list[Message] = []
        self.blocked: set[tuple[Peer, Peer]] = set()
        self.wanted: dict[Peer, set[NameDigest]] = {each: set() for each in range(size)}
        self.last: dict[NameDigest, int] = {}
        self.takes = self.forgotten = 0
        self.processes = [self._process(each, size) for each in range(size)]

    def _process(self, me: Peer, size: int) -> Process:
        clock = self.rng.uniform(0, 1000)
        rng = Draws(self.rng.getrandbits(64))
        leases = self.kind(Fleet(me, size, self.acceptors), BOUNDS, rng, clock)
        return self.process(leases, clock, self.rate())

    def rate(self) -> float:
        return self.rng.choice((SLOW, FAST, self.rng.uniform(SLOW, FAST)))

    def do(self, me: Peer, act: Callable[[Leases, float], list[Action]]) -> None:
        process = self.processes[me]
        for action in act(process.leases, process.clock):
            if isinstance(action, SendMessage) and action.to is not None:
                self.pending.append(Message(me, action.to, action.message, process.leases.highest_counter))
            elif isinstance(action, LeaseAcquired):
                process.told[action.lease] = action.term
            elif isinstance(action, LeaseLost):
                process.told.pop(action.lease, None)
        process.heard = max(process.heard, process.leases.highest_counter)
        acceptor = process.leases.acceptor
        if process.out and acceptor is not None and acceptor.promise_floor is not None:
            process.out = False
            for name, term in self.last.items():
                if process.heard < counter_of(term):
                    # Nobody who had heard of the last term was heard: the order of terms starts anew.
                    self.last[name] = 0
                    self.forgotten += 1

    def want(self, me: Peer, name: NameDigest) -> None:
        self.wanted[me].add(name)
        self.do(me, lambda leases, now: leases.request(name, now))

    def drop(self, me: Peer, name: NameDigest, heir: Peer | None = None) -> None:
        self.wanted[me].discard(name)
        self.do(me, lambda leases, now: leases.release(name, now, heir))

    def tick(self, me: Peer) -> None:
        if not self.processes[me].stopped:
            self.do(me, lambda leases, now: leases.tick(now))

    def deliver(self, message: Message) -> None:
        if (message.sender, message.to) in self.blocked:
            return
        if self.processes[message.to].stopped:
            self.pending.append(message)  # it waits for the process to go on
            return
        self.head(message.to, message.clock)
        self.do(message.to, lambda leases, now: leases.handle_message(message.sender, 0, message.note, now))

    def head(self, to: Peer, clock: int) -> None:
        self.processes[to].heard = max(self.processes[to].heard, clock)
        self.processes[to].leases.observe_counter(clock)

    def beat(self) -> None:
        """Heads of all datagrams that can arrive."""
        for to, process in enumerate(self.processes):
            for sender, other in enumerate(self.processes):
                if not (process.stopped or other.stopped or (sender, to) in self.blocked):
                    self.head(to, other.heard)

    def advance(self, seconds: float) -> None:
        """True time; each clock runs at its own rate."""
        self.time += seconds
        for process in self.processes:
            process.clock += seconds * process.rate

    def restart(self, me: Peer) -> None:
        """A new life with nothing in memory, on a new clock; it wants what it wanted."""
        self.processes[me] = self._process(me, len(self.processes))
        for name in sorted(self.wanted[me]):
            self.want(me, name)

    def holders(self, name: NameDigest) -> list[tuple[Peer, int]]:
        held = ((me, process.holds(name)) for me, process in enumerate(self.processes))
        return [(me, term) for me, term in held if term is not None]

    def check(self) -> None:
        for name in self.names:
            holders = self.holders(name)
            if len(holders) > 1:
                raise FaultError(f"two hold lease {name} at {self.time:.3f}: {holders}")
            for _, term in holders:
                last = self.last.get(name, 0)
                if term < last:
                    raise FaultError(f"terms of lease {name} go back at {self.time:.3f}: {last} to {term}")
                if term > last:
                    self.takes += 1
                    self.last[name] = term

    def settle(self, seconds: float, done: Callable[[], bool]) -> float | None:
        """All links heal and all processes run: then as `run`."""
        self.blocked.clear()
        for process in self.processes:
            process.stopped = False
        return self.run(seconds, done)

    def run(
        self, seconds: float, done: Callable[[], bool] = lambda: False, loss: float = 0.0, delay: float = 0.01
    ) -> float | None:
        """Let things go as they stand: the true seconds until `done`, None: not within `seconds`.

        A message takes `delay`; `loss` of them never come, and as many of the others late, in any order.
        """
        start = self.time
        while self.time - start < seconds:
            if done():
                return self.time - start
            batch, self.pending = self.pending, []
            if loss:
                self.rng.shuffle(batch)
            for message in batch:
                if loss and self.rng.random() < loss:
                    continue
                if loss and self.rng.random() < loss:
                    self.pending.append(message)
                else:
                    self.deliver(message)
            for me, process in enumerate(self.processes):
                if process.leases.due() <= process.clock:
                    self.tick(me)
            self.check()
            self.beat()
            self.advance(delay)
        return None


# --- guards, each taken out ---


class NoStayOut(Acceptor):
    def seconds_until_voting(self, now: float) -> float:
        return 0.0


class NoDrift(Acceptor):
    def lock_end(self, duration_s: float, now: float) -> float:
        return now + duration_s


class NoDriftHeld(Elections):
    def lease_end(self, sent_at: float, now: float) -> float:
        return sent_at + self.timing.duration_ms / 1000


class FromAnswer(Elections):
    def lease_end(self, sent_at: float, now: float) -> float:
        return super().lease_end(now, now)


class OneIsEnough(Elections):
    def required_acceptances(self) -> int:
        return 1


class AnyBallot(Acceptor):
    def may_accept(self, vote: Vote, message: Propose, now: float) -> bool:
        return True


class Overwrites(Acceptor):
    def is_locked_by_other(self, vote: Vote, ballot: int, now: float) -> bool:
        return False


class NoFloor(Acceptor):
    def floor_after_restart(self, highest_counter: int) -> int:
        return 0


class NoEnd(Elections):
    def is_held(self, bid: Bid, now: float) -> bool:
        return bid.held_until > 0 and bid.phase.value == "holding"


class WithoutStayOut(Leases):
    acceptor_kind = NoStayOut


class WithoutDrift(Leases):
    acceptor_kind = NoDrift


class WithoutDriftHeld(Leases):
    elections_kind = NoDriftHeld


class WithFromAnswer(Leases):
    elections_kind = FromAnswer


class WithOneIsEnough(Leases):
    elections_kind = OneIsEnough


class WithAnyBallot(Leases):
    acceptor_kind = AnyBallot


class WithOverwrites(Leases):
    acceptor_kind = Overwrites


class WithoutEnd(Leases):
    elections_kind = NoEnd


class WithoutClock(Leases):
    def observe_counter(self, counter: int) -> None:
        return


class WithoutFloor(Leases):
    acceptor_kind = NoFloor


GUARDS: dict[str, tuple[type[Leases], type[Process]]] = {
    "restart stay-out": (WithoutStayOut, Process),
    "drift at the acceptor": (WithoutDrift, Process),
    "drift at the holder": (WithoutDriftHeld, Process),
    "count from before sending": (WithFromAnswer, Process),
    "majority": (WithOneIsEnough, Process),
    "ballot check in accept": (WithAnyBallot, Process),
    "no overwriting of a lock": (WithOverwrites, Process),
    "clock in heads": (WithoutClock, Process),
    "floor after a restart": (WithoutFloor, Process),
    "end of what is held": (WithoutEnd, Process),
    "holds asked at use": (Leases, Cached),
}
