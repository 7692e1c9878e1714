"""An acceptor of leases: for each lease a timed lock in memory, and the ballots that say who may ask for it.

PaxosLease (Trencseni, Gazso and Reinhardt, 2012) with two rules that make it stricter. First, a lock that
runs is never overwritten by another owner, whatever its ballot: who asks meanwhile is told who holds it and
is promised nothing, so that routers that merely ask never disturb renewals. Second, a take is accepted only
under a promise that this life of the acceptor gave lately. `leases.py` has the whole argument.
"""

import heapq
import math
from dataclasses import dataclass

from paddlequay.cluster.messages import Accept, PeerMessage, Prepare, Promise, Propose, Reject, Release
from paddlequay.cluster.types import NEVER, ClusterBounds, NameDigest, Peer

STATES_MOST = 8192  # leases that an acceptor votes on at once, about 2 MB; more are told to come later
KEPT = 2.0  # leases' lengths that a vote is remembered after its last use, for ballots to stay in order
PROMISED = 0.5  # of a lease: how long a promise binds; a proposer gives up after two phases of a fifth each
HEIR = 0.2  # of a lease: how long a released lock is kept for the heir

RUN = (1 << 32) - 1  # the part of a ballot that names a run of a router: its number and its run's nonce


def counter(ballot: int) -> int:
    return ballot >> 32


def owner(ballot: int) -> int:
    """The run that made a ballot: a router started anew is another owner, in case the old one still runs."""
    return ballot & RUN


def number(ballot: int) -> Peer:
    return ballot >> 16 & 0xFFFF


def millis(seconds: float) -> int:
    """Whole milliseconds, never less than told."""
    return math.ceil(seconds * 1000)


@dataclass(slots=True)
class Vote:
    """What an acceptor remembers of a lease. Times are by its own clock."""

    promised: int = 0  # the highest ballot that was promised or accepted
    binds: float = 0.0  # until when the promise keeps lower ballots off, and lets its own take
    held: int = 0  # the ballot that the lock was last given to
    ends: float = 0.0  # when the lock does, longer than its owner counts
    least: int = 0  # lower ballots are over: a higher one had the lock, or they gave it back
    heir: Peer = 0
    heir_until: float = 0.0
    forget: float = 0.0


class Acceptor:
    """Votes on many leases. The answer to a note goes back to its sender."""

    def __init__(self, bounds: ClusterBounds, now: float) -> None:
        self.bounds = bounds
        self.votes: dict[NameDigest, Vote] = {}
        # What was voted in a former life is unknown: by then every lock of it has ended, whoever counts.
        self.back = now + bounds.lease_s * (1 + bounds.drift_ratio)
        self.floor: int | None = None  # leases not remembered have promised so much; None: still out
        self._ageing: list[tuple[float, NameDigest]] = []

    def due(self) -> float:
        """When the stay-out or the first vote's time ends."""
        if self.floor is None:
            return self.back
        return self._ageing[0][0] if self._ageing else NEVER

    def tick(self, clock: int, now: float) -> None:
        """End the stay-out, and drop votes that are over. `clock`: the highest counter heard of."""
        if self.floor is None and self.out(now) <= 0:
            # Terms given in a former life are at most as high as what others have told by now.
            self.floor = self.rejoin(clock)
        while self._ageing and self._ageing[0][0] <= now:
            at, lease = heapq.heappop(self._ageing)
            vote = self.votes[lease]
            if vote.forget > at:
                heapq.heappush(self._ageing, (vote.forget, lease))
                continue
            self.floor = max(self.floor or 0, vote.promised)
            del self.votes[lease]

    def out(self, now: float) -> float:
        """Seconds for which this acceptor does not vote, 0 and less: it does."""
        return self.back - now

    def rejoin(self, clock: int) -> int:
        return clock << 32 | RUN

    def handle_message(
        self, sender: Peer, message: PeerMessage, clock: int, now: float
    ) -> PeerMessage | None:
        """Answer a proposer's note; one whose ballot is not its sender's is not answered."""
        self.tick(clock, now)
        if isinstance(message, Prepare) and (message.ballot == 0 or number(message.ballot) == sender):
            return self._prepare(sender, message, now)
        if isinstance(message, Propose) and number(message.ballot) == sender:
            return self._propose(message, now)
        if isinstance(message, Release) and number(message.ballot) == sender:
            self._release(sender, message, now)
        return None

    def _prepare(self, sender: Peer, message: Prepare, now: float) -> PeerMessage:
        """Promise, or tell who has the lock. Ballot 0 only asks: it is never high enough for a promise."""
        if self.floor is None:
            return Reject(message.lease, message.ballot, 0, millis(self.out(now)))
        vote = self.votes.get(message.lease)
        if vote is None:
            if message.ballot <= self.floor:
                return Reject(message.lease, message.ballot, self.floor, 0)
            vote = self._new(message.lease, now)
            if vote is None:
                return Reject(message.lease, message.ballot, 0, millis(self.bounds.lease_s))
        if self.locked(vote, message.ballot, now):
            left = millis(vote.ends - now)
            return Promise(message.lease, message.ballot, vote.held, number(vote.held), left)
        if now < vote.heir_until and sender != vote.heir:
            return Reject(message.lease, message.ballot, 0, millis(vote.heir_until - now))
        if message.ballot < max(vote.promised, vote.least, 1):
            return Reject(message.lease, message.ballot, vote.promised, 0)
        vote.promised = message.ballot
        vote.binds = now + self.bounds.lease_s * PROMISED
        self._used(vote, now)
        return Promise(message.lease, message.ballot, 0, 0, 0)

    def _propose(self, message: Propose, now: float) -> PeerMessage | None:
        term = message.duration_ms / 1000
        if not 0 < term <= self.bounds.lease_s:
            return None  # longer than the stay-out covers: its sender is set otherwise
        if self.floor is None:
            return Reject(message.lease, message.ballot, 0, millis(self.out(now)))
        vote = self.votes.get(message.lease)
        if vote is None:
            if message.round_number == 0:
                return Reject(message.lease, message.ballot, self.floor, 0)
            vote = self._new(message.lease, now)
            if vote is None:
                return Reject(message.lease, message.ballot, 0, millis(self.bounds.lease_s))
        if self.locked(vote, message.ballot, now):
            return Reject(message.lease, message.ballot, max(vote.promised, vote.held), 0)
        if not self.may(vote, message, now):
            return Reject(message.lease, message.ballot, max(vote.promised, vote.least), 0)
        vote.promised = max(vote.promised, message.ballot)
        vote.held = vote.least = message.ballot
        vote.ends = self.lasts(term, now)
        vote.heir_until = 0.0
        self._used(vote, now)
        return Accept(message.lease, message.ballot, message.round_number)

    def locked(self, vote: Vote, ballot: int, now: float) -> bool:
        """Another owner has the lock."""
        return now < vote.ends and owner(vote.held) != owner(ballot)

    def may(self, vote: Vote, message: Propose, now: float) -> bool:
        """The ballot is not too old: for a take its promise binds, for a renewal no other promise does."""
        if message.round_number == 0:
            return message.ballot == vote.promised and now < vote.binds
        return message.ballot >= vote.least and (message.ballot >= vote.promised or now >= vote.binds)

    def lasts(self, term: float, now: float) -> float:
        return now + term * (1 + self.bounds.drift_ratio)

    def _release(self, sender: Peer, message: Release, now: float) -> None:
        """Open the lock, and let nothing that is still under way under its ballot close it again."""
        vote = self.votes.get(message.lease)
        if vote is None:
            return
        vote.least = max(vote.least, message.ballot + 1)
        if vote.promised == message.ballot:
            vote.binds = 0.0
        if vote.held == message.ballot and now < vote.ends:
            vote.ends = 0.0
            if message.successor != sender:
                vote.heir, vote.heir_until = message.successor, now + self.bounds.lease_s * HEIR

    def _new(self, lease: NameDigest, now: float) -> Vote | None:
        if len(self.votes) >= STATES_MOST:
            return None
        vote = self.votes[lease] = Vote(promised=0)
        self._used(vote, now)
        heapq.heappush(self._ageing, (vote.forget, lease))
        return vote

    def _used(self, vote: Vote, now: float) -> None:
        vote.forget = max(vote.ends, now) + self.bounds.lease_s * KEPT
