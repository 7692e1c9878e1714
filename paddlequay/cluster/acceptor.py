"""The acceptor's side of leases: a timed lock and a promised ballot for each lease, in memory.

The protocol is PaxosLease (Trencseni, Gazso and Reinhardt, 2012) with two stricter rules. A running lock is
never given to another owner, however high its ballot: the acceptor names the holder and promises nothing, so
that requests never disturb renewals. An acquisition is accepted only under a recent promise of this process.
docs/cluster/leases.md has the proof.
"""

import heapq
import math
from dataclasses import dataclass

from paddlequay.cluster.ballots import highest_of_counter, router_of, run_of
from paddlequay.cluster.messages import Accept, PeerMessage, Prepare, Promise, Propose, Reject, Release
from paddlequay.cluster.types import NEVER, ClusterBounds, NameDigest, Peer

MAX_VOTES = 8192  # about 2 MB; requests for further leases are answered with a retry time

# As multiples of the longest lease.
VOTE_RETENTION_RATIO = 2.0  # retention of a vote after its last use, so that ballots stay in order
PROMISE_RATIO = 0.5  # how long a promise binds; a proposer gives up after two phases of 0.2 each
SUCCESSOR_RATIO = 0.2  # how long a released lock is reserved for the successor


def round_up_ms(seconds: float) -> int:
    """Returns a duration in whole milliseconds, rounded up."""
    return math.ceil(seconds * 1000)


@dataclass(slots=True)
class Vote:
    """An acceptor's state of one lease. Times are seconds of its own clock.

    Attributes:
        promised: The highest ballot that was promised or accepted.
        promise_until: Until then lower ballots are rejected, and the promised one may acquire the lease.
        lock_ballot: The ballot that last obtained the lock.
        locked_until: The end of the lock, later than the end by the holder's own count.
        min_ballot: Lower ballots are rejected: it is that of the last lock, or above the last released one.
        successor: The router for which a released lock is reserved until `successor_until`.
        forget_at: When the vote may be deleted.
    """

    promised: int = 0
    promise_until: float = 0.0
    lock_ballot: int = 0
    locked_until: float = 0.0
    min_ballot: int = 0
    successor: Peer = 0
    successor_until: float = 0.0
    forget_at: float = 0.0


class LeaseAcceptor:
    """Votes on many leases. The answer to a message goes back to its sender.

    Attributes:
        votes_from: When the acceptor starts to vote; by then all locks of its former process have ended.
        promise_floor: The ballot that counts as promised for a lease without a vote; None until the acceptor
            votes.
    """

    def __init__(self, bounds: ClusterBounds, now: float) -> None:
        self.bounds = bounds
        self.votes: dict[NameDigest, Vote] = {}
        self.votes_from = now + bounds.lease_s * (1 + bounds.drift_ratio)
        self.promise_floor: int | None = None
        self._expiry: list[tuple[float, NameDigest]] = []

    def due(self) -> float:
        """Returns when the acceptor starts to vote or, once it does, when the first vote may be deleted."""
        if self.promise_floor is None:
            return self.votes_from
        return self._expiry[0][0] if self._expiry else NEVER

    def tick(self, highest_counter: int, now: float) -> None:
        """Starts to vote once the restart delay has passed, and deletes votes whose retention has ended.

        Args:
            highest_counter: The highest ballot counter that this router has observed.
            now: Seconds of this process's clock.
        """
        if self.promise_floor is None and self.seconds_until_voting(now) <= 0:
            # By now other routers have reported a counter as high as any term of the former process.
            self.promise_floor = self.floor_after_restart(highest_counter)
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, lease = heapq.heappop(self._expiry)
            vote = self.votes[lease]
            if vote.forget_at > expires_at:
                heapq.heappush(self._expiry, (vote.forget_at, lease))
                continue
            self.promise_floor = max(self.promise_floor or 0, vote.promised)
            del self.votes[lease]

    def seconds_until_voting(self, now: float) -> float:
        """Returns the seconds until this acceptor votes; 0 or less once it does."""
        return self.votes_from - now

    def floor_after_restart(self, highest_counter: int) -> int:
        """Returns the highest ballot that a restarted acceptor does not promise."""
        return highest_of_counter(highest_counter)

    def handle_message(
        self, sender: Peer, message: PeerMessage, highest_counter: int, now: float
    ) -> PeerMessage | None:
        """Answers a proposer's message; ignores a message whose ballot another router made."""
        self.tick(highest_counter, now)
        match message:
            case Prepare(ballot=ballot) if ballot == 0 or router_of(ballot) == sender:
                return self._prepare(sender, message, now)
            case Propose(ballot=ballot) if router_of(ballot) == sender:
                return self._propose(message, now)
            case Release(ballot=ballot) if router_of(ballot) == sender:
                self._release(sender, message, now)
        return None

    def _prepare(self, sender: Peer, message: Prepare, now: float) -> PeerMessage:
        """Promises or rejects a ballot, or names the holder. Ballot 0 is a query and is never promised."""
        if self.promise_floor is None:
            return _retry_after(message, self.seconds_until_voting(now))
        vote = self.votes.get(message.lease)
        if vote is None:
            if message.ballot <= self.promise_floor:
                return _reject(message, self.promise_floor)
            vote = self._new_vote(message.lease, now)
            if vote is None:
                return _retry_after(message, self.bounds.lease_s)
        if self.is_locked_by_other(vote, message.ballot, now):
            remaining_ms = round_up_ms(vote.locked_until - now)
            holder = router_of(vote.lock_ballot)
            return Promise(message.lease, message.ballot, vote.lock_ballot, holder, remaining_ms)
        if now < vote.successor_until and sender != vote.successor:
            return _retry_after(message, vote.successor_until - now)
        if message.ballot < max(vote.promised, vote.min_ballot, 1):
            return _reject(message, vote.promised)
        vote.promised = message.ballot
        vote.promise_until = now + self.bounds.lease_s * PROMISE_RATIO
        self._extend_retention(vote, now)
        return Promise(message.lease, message.ballot, 0, 0, 0)

    def _propose(self, message: Propose, now: float) -> PeerMessage | None:
        """Locks the lease for the sender, or rejects its ballot.

        Ignores a proposal for longer than the restart delay covers: its sender has other settings.
        """
        duration_s = message.duration_ms / 1000
        if not 0 < duration_s <= self.bounds.lease_s:
            return None
        if self.promise_floor is None:
            return _retry_after(message, self.seconds_until_voting(now))
        vote = self.votes.get(message.lease)
        if vote is None:
            if message.round_number == 0:
                return _reject(message, self.promise_floor)
            vote = self._new_vote(message.lease, now)
            if vote is None:
                return _retry_after(message, self.bounds.lease_s)
        if self.is_locked_by_other(vote, message.ballot, now):
            return _reject(message, max(vote.promised, vote.lock_ballot))
        if not self.may_accept(vote, message, now):
            return _reject(message, max(vote.promised, vote.min_ballot))
        vote.promised = max(vote.promised, message.ballot)
        vote.lock_ballot = message.ballot
        vote.min_ballot = message.ballot
        vote.locked_until = self.lock_end(duration_s, now)
        vote.successor_until = 0.0
        self._extend_retention(vote, now)
        return Accept(message.lease, message.ballot, message.round_number)

    def is_locked_by_other(self, vote: Vote, ballot: int, now: float) -> bool:
        """Returns whether the lock is running and belongs to another run than the one that made `ballot`."""
        return now < vote.locked_until and run_of(vote.lock_ballot) != run_of(ballot)

    def may_accept(self, vote: Vote, message: Propose, now: float) -> bool:
        """Returns whether the ballot of a proposal is recent enough.

        An acquisition requires that the promise of its own ballot still binds; a renewal requires that no
        promise of a higher ballot does.
        """
        promise_binds = now < vote.promise_until
        if message.round_number == 0:
            return message.ballot == vote.promised and promise_binds
        return message.ballot >= vote.min_ballot and (message.ballot >= vote.promised or not promise_binds)

    def lock_end(self, duration_s: float, now: float) -> float:
        """Returns when a lock given now ends: by the clock drift later than its holder counts."""
        return now + duration_s * (1 + self.bounds.drift_ratio)

    def _release(self, sender: Peer, message: Release, now: float) -> None:
        """Unlocks the lease, and keeps delayed messages under the released ballot from locking it again."""
        vote = self.votes.get(message.lease)
        if vote is None:
            return
        vote.min_ballot = max(vote.min_ballot, message.ballot + 1)
        if vote.promised == message.ballot:
            vote.promise_until = 0.0
        if vote.lock_ballot != message.ballot or now >= vote.locked_until:
            return
        vote.locked_until = 0.0
        if message.successor != sender:
            vote.successor = message.successor
            vote.successor_until = now + self.bounds.lease_s * SUCCESSOR_RATIO

    def _new_vote(self, lease: NameDigest, now: float) -> Vote | None:
        if len(self.votes) >= MAX_VOTES:
            return None
        vote = Vote()
        self.votes[lease] = vote
        self._extend_retention(vote, now)
        heapq.heappush(self._expiry, (vote.forget_at, lease))
        return vote

    def _extend_retention(self, vote: Vote, now: float) -> None:
        vote.forget_at = max(vote.locked_until, now) + self.bounds.lease_s * VOTE_RETENTION_RATIO


def _reject(message: Prepare | Propose, promised: int) -> Reject:
    return Reject(message.lease, message.ballot, promised, 0)


def _retry_after(message: Prepare | Propose, seconds: float) -> Reject:
    return Reject(message.lease, message.ballot, 0, round_up_ms(seconds))
