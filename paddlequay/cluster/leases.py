"""Leases without disk and without a common clock: at most one holder each, under terms that grow.

A majority of a fixed set of acceptors grants a lease for a bounded time (PaxosLease). Each router may bid;
some routers are acceptors as well. docs/cluster/leases.md proves why there is one holder and states the
bounds.

A holder counts its lease from before it sent the proposal, shortened by the clock drift; an acceptor locks
the lease from receipt, lengthened by the drift. So `Leases.holds` has to be asked at each use, with a `now`
that was read then: a process that was stopped finds that its lease has ended.
"""

import random
from typing import ClassVar

from paddlequay.cluster.acceptor import Acceptor
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
    """Acquires, renews and releases leases, and votes on them where configured; a `Component`.

    `rng` is seeded anew for each run of a process: it draws the nonce of the run and the waits.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        Prepare,
        Promise,
        Propose,
        Accept,
        Reject,
        Release,
    )
    acceptor_kind: ClassVar[type[Acceptor]] = Acceptor
    elections_kind: ClassVar[type[Elections]] = Elections

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, rng: random.Random, now: float) -> None:
        self.fleet = fleet
        self.proposer = Proposer(fleet, bounds, rng, self.elections_kind)
        self.acceptor = self.acceptor_kind(bounds, now) if fleet.me in fleet.acceptors else None

    # --- for the components that need leases ---

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease until it is released, and renews it while held; logs a refusal past `MAX_BIDS`."""
        return self._deliver_local(self.proposer.request(lease, now), now)

    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]:
        """Gives a lease up, held or not; a successor that bids for it acquires it without waiting."""
        return self._deliver_local(self.proposer.release(lease, now, successor), now)

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease now, or None: to be asked at each use."""
        return self.proposer.holds(lease, now)

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns the last router observed to hold a lease: a hint for whom to ask, never a proof."""
        return self.proposer.holder(lease, now)

    def query_holder(self, lease: NameDigest, now: float) -> list[Action]:
        """Asks all acceptors for the holder of a lease, without a bid; `HolderObserved` gives the answer."""
        query = Prepare(lease, 0)
        queries: list[Action] = [SendMessage(each, query, Urgency.CHANGE) for each in self.fleet.acceptors]
        return self._deliver_local(queries, now)

    @property
    def highest_counter(self) -> int:
        """The highest ballot counter that this router has heard of, for the heads of datagrams."""
        return self.proposer.highest_counter

    def observe_counter(self, counter: int) -> None:
        """Takes the ballot counter from the head of a datagram, before its messages are handled."""
        self.proposer.observe_counter(counter)

    # --- as a component of the cluster ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a message of a proposer or an acceptor."""
        return self._deliver_local(self._dispatch(sender, message, now), now)

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Ignores all events: liveness is a guess, and leases go by their own clocks alone."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Does what is due in both roles."""
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
        """Handles what this router sends to itself, in order; ends, as each election ends or waits."""
        remaining = actions[::-1]
        outward: list[Action] = []
        while remaining:
            action = remaining.pop()
            if isinstance(action, SendMessage) and action.to == self.fleet.me:
                remaining += self._dispatch(self.fleet.me, action.message, now)[::-1]
            else:
                outward.append(action)
        return outward
