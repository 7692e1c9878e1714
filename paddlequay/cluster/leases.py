"""Leases without disk and without a common clock: each has at most one holder, and its terms increase.

A majority of a fixed set of acceptors grants a lease for a bounded time (PaxosLease). Each router may bid;
some routers are acceptors as well. docs/cluster/leases.md proves that there is at most one holder and states
the time bounds.

A holder counts its lease from before it sent the proposal, shortened by the clock drift; an acceptor locks
the lease from receipt, lengthened by the drift. So a caller has to call `Leases.holds` at each use, with a
`now` that it reads at that moment: a process that was stopped then finds that its lease has ended.
"""

import random
from typing import ClassVar

from paddlequay.cluster.acceptor import LeaseAcceptor
from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.elections import Elections
from paddlequay.cluster.messages import Accept, PeerMessage, Prepare, Promise, Propose, Reject, Release
from paddlequay.cluster.proposer import Proposer
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    LocalEvent,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)


class Leases:
    """Acquires, renews and releases leases, and votes on them where configured; implements `Component`.

    `rng` draws the nonce of the process and the random waits; each process has to seed it anew.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        Prepare,
        Promise,
        Propose,
        Accept,
        Reject,
        Release,
    )
    acceptor_class: ClassVar[type[LeaseAcceptor]] = LeaseAcceptor
    elections_class: ClassVar[type[Elections]] = Elections

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, rng: random.Random, now: float) -> None:
        self.fleet = fleet
        self.proposer = Proposer(fleet, bounds, rng, self.elections_class)
        self.acceptor = self.acceptor_class(bounds, now) if fleet.me in fleet.acceptors else None

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease and renews it, until it is released; past `MAX_BIDS` bids, logs a refusal."""
        return self._deliver_local(self.proposer.request(lease, now), now)

    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]:
        """Ends the bid for a lease, held or not; a successor that bids for it acquires it without waiting."""
        return self._deliver_local(self.proposer.release(lease, now, successor), now)

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease now, or None; to be called at each use."""
        return self.proposer.holds(lease, now)

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns the router last observed to hold a lease: a hint where to send requests, never a proof."""
        return self.proposer.holder(lease, now)

    def query_holder(self, lease: NameDigest, now: float) -> list[Action]:
        """Asks all acceptors for the holder of a lease, without a bid; a `HolderObserved` event follows."""
        query = Prepare(lease, 0)
        queries: list[Action] = [SendMessage(each, query, Urgency.CHANGE) for each in self.fleet.acceptors]
        return self._deliver_local(queries, now)

    @property
    def highest_counter(self) -> int:
        """The highest ballot counter that this router has observed, for the headers of datagrams."""
        return self.proposer.highest_counter

    def observe_counter(self, counter: int) -> None:
        """Records the ballot counter in a datagram's header; called before its messages are handled."""
        self.proposer.observe_counter(counter)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a message of a proposer or an acceptor."""
        return self._deliver_local(self._dispatch(sender, message, now), now)

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Ignores all events: leases depend on elapsed time alone, not on the guesses of liveness."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Does what is due as an acceptor and as a proposer."""
        if self.acceptor is not None:
            self.acceptor.tick(self.highest_counter, now)
        return self._deliver_local(self.proposer.tick(now), now)

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        return min(self.proposer.due(), self.acceptor.due() if self.acceptor is not None else NEVER)

    def _dispatch(self, sender: Peer, message: PeerMessage, now: float) -> list[Action]:
        actions: list[Action] = []
        if isinstance(message, Prepare | Propose | Release):
            answer = None
            if self.acceptor is not None:
                answer = self.acceptor.handle_message(sender, message, self.highest_counter, now)
            self.proposer.observe_counter(counter_of(message.ballot))
            if answer is not None:
                actions.append(SendMessage(sender, answer, Urgency.LEASE))
        if not isinstance(message, Prepare | Propose):
            actions += self.proposer.handle_message(sender, message, now)
        return actions

    def _deliver_local(self, actions: list[Action], now: float) -> list[Action]:
        """Handles the messages to this router itself, in order; terminates as each election ends or waits."""
        remaining = actions[::-1]
        outward: list[Action] = []
        while remaining:
            action = remaining.pop()
            if isinstance(action, SendMessage) and action.to == self.fleet.me:
                remaining += self._dispatch(self.fleet.me, action.message, now)[::-1]
            else:
                outward.append(action)
        return outward
