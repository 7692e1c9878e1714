"""Leases without disk and without a common clock: who alone may do something, for how long, in what order.

PaxosLease: a majority of a fixed set of acceptors gives a lease for a time; nothing is written down. Each
router may bid; some are acceptors as well, and what such a router tells itself is played inside.

One holder. Say router P counts on a lease at the true instant x. A majority had accepted a proposal of P that
was first sent at s, and x < s + T: P counts T - d*T of its own clock from before sending, and no clock runs
slower than 1 - d. Each acceptor of that majority took its lock at a >= s, and keeps it for T + d*T of its own
clock, so at least until a + T > x, since no clock runs faster than 1 + d. If Q counts on the same lease at x
as well, the two majorities share an acceptor, which gave both locks, and both run at x. One life of an
acceptor never gives a second owner a lock that runs. Between two lives lie T + d*T of its clock without a
vote, and by then whatever was counted on the first life's lock has ended. So P and Q are one. A release opens
a lock early, but only after its holder has stopped counting. None of this needs ballots, nor that messages
arrive at all, in order, or only once.

Stalls. Every count compares a moment on the own clock that was taken earlier than the event it stands for
(`sent` before sending) with one taken later, so a stop at any point makes a process believe less, not more.
The clock runs on while stopped; `holds` is asked at each use, with a `now` read then, and is None after a
stall. The instant between that question and the use cannot be closed here: who receives the use compares
terms. The driver reads `now` after the datagram. A lease that has run out is lost for good, whatever answer
comes later.

Terms. A term is the ballot of a take: counter, router, nonce of the run, so no run repeats another's. Takes
need a majority that promised their ballot in this life, lately, and nothing higher since; hence the later of
two takes has the higher ballot where their majorities share an acceptor that lived on. One that started anew,
or has dropped an old vote, promises only above its floor: the highest counter that it had heard of at the end
of its stay-out. Every datagram's head carries the sender's `clock`, so that one router that saw the last
term, and is heard in that time, is enough, even where all acceptors start anew one after another.

Stated bounds, for T = 1.5 s and answers within 0.1 s: a lease whose holder dies is taken again within 1.05 T
+ 0.2 T + the election, 2.2 s without loss; one whose holder is told nothing but can tell, within 3.2 s, as
its renewals still close locks until it gives up; one released to an successor, within 0.1 s and two answers'
times. Renewals go out each third of what is counted, are sent again each T/15 until a majority has answered,
and may all be lost for T/2. A router starts 25 elections a second at most (`PACE`), 8 of them at once.
Memory: `STATES_MOST`, `BIDS_MOST`, `HINTS_MOST` leases. Counters have 31 bits; they grow with takes and lost
elections, not with renewals nor with asking while another holds.
"""

import random
from typing import ClassVar

from paddlequay.cluster.acceptor import Acceptor, counter
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
    """The part of the cluster that takes, renews and gives back leases, and votes on them where configured.

    `rng` is seeded anew for each run of a process: it makes the run's nonce and the waits.
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
    proposer_kind: ClassVar[type[Proposer]] = Proposer

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, rng: random.Random, now: float) -> None:
        self.fleet = fleet
        self.proposer = self.proposer_kind(fleet, bounds, rng)
        self.acceptor = self.acceptor_kind(bounds, now) if fleet.me in fleet.acceptors else None

    # --- for the parts that need leases ---

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease until it is dropped, and renews it while held; logs a refusal past `BIDS_MOST`."""
        return self._settled(self.proposer.request(lease, now), now)

    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]:
        """Give a lease up, held or not; `successor`, where it wants it too, takes it without waiting."""
        return self._settled(self.proposer.release(lease, now, successor), now)

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """The term under which this router holds a lease at this moment: to be asked at each use."""
        return self.proposer.holds(lease, now)

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Who holds a lease as far as was heard: a hint for whom to ask, never a proof."""
        return self.proposer.holder(lease, now)

    def query_holder(self, lease: NameDigest, now: float) -> list[Action]:
        """Asks all acceptors who holds a lease, without a bid; `HolderObserved` gives the answer."""
        message = Prepare(lease, 0)
        return self._settled(
            [SendMessage(each, message, Urgency.CHANGE) for each in self.fleet.acceptors], now
        )

    @property
    def highest_counter(self) -> int:
        """The highest ballot counter heard of, for the heads of datagrams."""
        return self.proposer.clock

    def observe_counter(self, value: int) -> None:
        """The `clock` in a datagram's head, told before its notes."""
        self.proposer.observe_counter(value)

    # --- as a part ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        return self._settled(self._heard(sender, message, now), now)

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        return []  # liveness is a guess: leases go by their own clocks alone

    def tick(self, now: float) -> list[Action]:
        if self.acceptor is not None:
            self.acceptor.tick(self.highest_counter, now)
        return self._settled(self.proposer.tick(now), now)

    def due(self) -> float:
        return min(self.proposer.due(), self.acceptor.due() if self.acceptor is not None else NEVER)

    def _heard(self, sender: Peer, message: PeerMessage, now: float) -> list[Action]:
        out: list[Action] = []
        if isinstance(message, Prepare | Propose | Release):
            answer = (
                self.acceptor.handle_message(sender, message, self.highest_counter, now)
                if self.acceptor is not None
                else None
            )
            self.proposer.observe_counter(counter(message.ballot))
            if answer is not None:
                out.append(SendMessage(sender, answer, Urgency.LEASE))
        if not isinstance(message, Prepare | Propose):
            out += self.proposer.handle_message(sender, message, now)
        return out

    def _settled(self, actions: list[Action], now: float) -> list[Action]:
        """Play what this router tells itself; it ends, as each election ends or waits."""
        out: list[Action] = []
        actions = actions[::-1]
        while actions:
            action = actions.pop()
            if isinstance(action, SendMessage) and action.to == self.fleet.me:
                actions += self._heard(self.fleet.me, action.message, now)[::-1]
            else:
                out.append(action)
        return out
