"""A simulation of routers that bid for leases, each with its own clock, in virtual time.

A search may deliver, delay, duplicate or drop each message between the routers, and may stop or restart
their processes. The world keeps the true time; its `check` verifies that no two processes hold the same lease
at the same instant, and that the terms of a lease do not decrease.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import PeerMessage
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
from paddlequay.errors import PaddlequayError

BOUNDS = ClusterBounds()
MIN_CLOCK_RATE = 1 - BOUNDS.drift_ratio
MAX_CLOCK_RATE = 1 + BOUNDS.drift_ratio
MESSAGE_DELAY_S = 0.01

Link = tuple[Peer, Peer]  # from a router to another


class EdgeRandom(random.Random):
    """A random generator with 64 bits of state, whose `uniform` often returns one of its bounds.

    The shortest and the longest waiting times are the hardest cases for the leases.
    """

    def __init__(self, state: int) -> None:
        self.state = state

    def __reduce__(self) -> tuple[type["EdgeRandom"], tuple[int]]:
        return EdgeRandom, (self.state,)

    def getrandbits(self, k: int, /) -> int:
        """Returns the highest bits of the next state of a linear congruential generator."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & ((1 << 64) - 1)
        return self.state >> (64 - k)

    def random(self) -> float:
        """Returns a number in [0, 1)."""
        return self.getrandbits(53) / (1 << 53)

    def uniform(self, a: float, b: float) -> float:
        """Returns a number from `a` to `b`; half of the results are exactly `a` or `b`."""
        drawn = 4 * self.random() - 2
        return a + (b - a) * min(max(drawn, 0.0), 1.0)


class LeaseFaultError(PaddlequayError):
    """Two routers hold the same lease, a term decreases, or a requested lease is not acquired in time."""


@dataclass(slots=True)
class PendingMessage:
    """A message in transit, with the ballot counter from the header of its datagram."""

    sender: Peer
    to: Peer
    message: PeerMessage
    counter: int


class LeaseProcess:
    """One process of a router.

    Attributes:
        highest_counter: The highest ballot counter that the process has received or used, as tracked by the
            world.
        is_restarting: Whether its acceptor is still in its restart delay, in which it does not vote.
        acquired: The terms of the leases that it has acquired and not lost, according to its events.
    """

    def __init__(self, leases: Leases, clock: float, clock_rate: float) -> None:
        self.leases = leases
        self.clock = clock
        self.clock_rate = clock_rate
        self.stopped = False
        self.highest_counter = 0
        self.is_restarting = leases.acceptor is not None
        self.acquired: dict[NameDigest, int] = {}

    def holds(self, lease: NameDigest) -> int | None:
        """Returns the term under which the process holds a lease now, None if it does not."""
        return self.leases.holds(lease, self.clock)


class LeaseWorld:
    """The routers, the messages in transit, and the true time in seconds."""

    def __init__(
        self,
        size: int,
        seed: int,
        leases_class: type[Leases] = Leases,
        process_class: type[LeaseProcess] = LeaseProcess,
        names: tuple[NameDigest, ...] = (1,),
        acceptors: tuple[Peer, ...] = (0, 1, 2),
    ) -> None:
        self.rng = EdgeRandom(seed)
        self.leases_class = leases_class
        self.process_class = process_class
        self.acceptors = acceptors
        self.names = names
        self.time = 0.0
        self.pending: list[PendingMessage] = []
        self.blocked_links: set[Link] = set()
        self.wanted: dict[Peer, set[NameDigest]] = {each: set() for each in range(size)}
        self.last_terms: dict[NameDigest, int] = {}
        self.acquisitions = 0
        self.forgotten_terms = 0
        self.processes = [self._new_process(each, size) for each in range(size)]

    def _new_process(self, me: Peer, size: int) -> LeaseProcess:
        clock = self.rng.uniform(0, 1000)
        rng = EdgeRandom(self.rng.getrandbits(64))
        leases = self.leases_class(Fleet(me, size, self.acceptors), BOUNDS, rng, clock)
        return self.process_class(leases, clock, self.draw_clock_rate())

    def draw_clock_rate(self) -> float:
        """Draws the rate of a clock, often one of its bounds."""
        drawn = self.rng.uniform(MIN_CLOCK_RATE, MAX_CLOCK_RATE)
        return self.rng.choice((MIN_CLOCK_RATE, MAX_CLOCK_RATE, drawn))

    def request(self, me: Peer, name: NameDigest) -> None:
        """Has a router bid for a lease."""
        self.wanted[me].add(name)
        self._run(me, lambda leases, now: leases.request(name, now))

    def release(self, me: Peer, name: NameDigest, successor: Peer | None = None) -> None:
        """Has a router release a lease, and name a successor if one is given."""
        self.wanted[me].discard(name)
        self._run(me, lambda leases, now: leases.release(name, now, successor))

    def tick(self, me: Peer) -> None:
        """Ticks the leases of a process, unless it is stopped."""
        if not self.processes[me].stopped:
            self._run(me, lambda leases, now: leases.tick(now))

    def deliver(self, message: PendingMessage) -> None:
        """Delivers a message; drops it if the link is blocked, keeps it while the receiver is stopped."""
        if (message.sender, message.to) in self.blocked_links:
            return
        if self.processes[message.to].stopped:
            self.pending.append(message)
            return
        self._deliver_counter(message.to, message.counter)
        self._run(
            message.to,
            lambda leases, now: leases.handle_message(message.sender, 0, message.message, now),
        )

    def exchange_counters(self) -> None:
        """Delivers each running process's ballot counter to all running processes that its links reach."""
        for to, process in enumerate(self.processes):
            for sender, other in enumerate(self.processes):
                is_blocked = (sender, to) in self.blocked_links
                if not (process.stopped or other.stopped or is_blocked):
                    self._deliver_counter(to, other.highest_counter)

    def _deliver_counter(self, to: Peer, counter: int) -> None:
        process = self.processes[to]
        process.highest_counter = max(process.highest_counter, counter)
        process.leases.observe_counter(counter)

    def _run(self, me: Peer, call: Callable[[Leases, float], list[Action]]) -> None:
        process = self.processes[me]
        for action in call(process.leases, process.clock):
            if isinstance(action, SendMessage) and action.to is not None:
                counter = process.leases.highest_counter
                self.pending.append(PendingMessage(me, action.to, action.message, counter))
            elif isinstance(action, LeaseAcquired):
                process.acquired[action.lease] = action.term
            elif isinstance(action, LeaseLost):
                process.acquired.pop(action.lease, None)
        process.highest_counter = max(process.highest_counter, process.leases.highest_counter)
        self._note_end_of_restart(process)

    def _note_end_of_restart(self, process: LeaseProcess) -> None:
        """Resets the last term of each lease whose ballot a restarted acceptor has not received.

        The term may then be lower than the last one, since the process has not received a ballot counter as
        high as that of the last term.
        """
        acceptor = process.leases.acceptor
        if not process.is_restarting or acceptor is None or acceptor.promise_floor is None:
            return
        process.is_restarting = False
        for name, term in self.last_terms.items():
            if process.highest_counter < counter_of(term):
                self.last_terms[name] = 0
                self.forgotten_terms += 1

    def advance(self, seconds: float) -> None:
        """Advances true time; each process's clock advances at its own rate."""
        self.time += seconds
        for process in self.processes:
            process.clock += seconds * process.clock_rate

    def restart(self, me: Peer) -> None:
        """Starts a new process without state, on a new clock; it requests the same leases as before."""
        self.processes[me] = self._new_process(me, len(self.processes))
        for name in sorted(self.wanted[me]):
            self.request(me, name)

    def holders(self, name: NameDigest) -> list[tuple[Peer, int]]:
        """Returns the routers that hold a lease now, with their terms."""
        terms = ((me, process.holds(name)) for me, process in enumerate(self.processes))
        return [(me, term) for me, term in terms if term is not None]

    def check(self) -> None:
        """Verifies that each lease has at most one holder, and that its term has not decreased.

        Raises:
            LeaseFaultError: Two routers hold a lease, or a term is lower than the last one.
        """
        for name in self.names:
            holders = self.holders(name)
            if len(holders) > 1:
                raise LeaseFaultError(
                    f"lease {name} has more than one holder at {self.time:.3f} s: {holders}"
                )
            for _, term in holders:
                last = self.last_terms.get(name, 0)
                if term < last:
                    raise LeaseFaultError(
                        f"term of lease {name} decreased at {self.time:.3f} s: {last} to {term}"
                    )
                if term > last:
                    self.acquisitions += 1
                    self.last_terms[name] = term

    def settle(self, seconds: float, is_done: Callable[[], bool]) -> float | None:
        """Unblocks all links and resumes all processes, then runs as `run` does."""
        self.blocked_links.clear()
        for process in self.processes:
            process.stopped = False
        return self.run(seconds, is_done)

    def run(
        self,
        seconds: float,
        is_done: Callable[[], bool] = lambda: False,
        loss_ratio: float = 0.0,
        message_delay_s: float = MESSAGE_DELAY_S,
    ) -> float | None:
        """Runs until `is_done`, at most for `seconds` of true time.

        Args:
            seconds: How long to run at most.
            is_done: Called once per `message_delay_s`.
            loss_ratio: The share of messages that are lost; the same share of the others is delayed, and all
                are delivered in random order.
            message_delay_s: The delay of a message in seconds.

        Returns:
            The true seconds until `is_done` returned True, None if it did not within `seconds`.
        """
        start = self.time
        while self.time - start < seconds:
            if is_done():
                return self.time - start
            self._deliver_pending(loss_ratio)
            for me, process in enumerate(self.processes):
                if process.leases.due() <= process.clock:
                    self.tick(me)
            self.check()
            self.exchange_counters()
            self.advance(message_delay_s)
        return None

    def _deliver_pending(self, loss_ratio: float) -> None:
        batch = self.pending
        self.pending = []
        if loss_ratio:
            self.rng.shuffle(batch)
        for message in batch:
            if loss_ratio and self.rng.random() < loss_ratio:
                continue
            if loss_ratio and self.rng.random() < loss_ratio:
                self.pending.append(message)
            else:
                self.deliver(message)
