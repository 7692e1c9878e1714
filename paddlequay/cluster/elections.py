"""Elections for leases: prepares and proposes bids at the acceptors, and renews the acquired leases.

A bidder counts its lease from before the proposal was first sent, and subtracts the clock drift.
docs/cluster/leases.md has the proof.
"""

import random
from collections.abc import Iterable

from paddlequay.cluster.ballots import BallotCounter
from paddlequay.cluster.bid_schedule import BidSchedule
from paddlequay.cluster.bids import Bid, Phase
from paddlequay.cluster.holder_hints import HolderHints
from paddlequay.cluster.lease_timing import MAX_BACKOFF_DOUBLINGS, LeaseTiming
from paddlequay.cluster.messages import Accept, PeerMessage, Prepare, Propose, Release
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    Peer,
    SendMessage,
    Urgency,
)

MAX_COUNTED_ROUNDS = 3  # latest rounds of a bid whose acceptances still count


class Elections:
    """Takes bids through their phases. The returned actions may send messages to this router itself."""

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rng: random.Random,
        schedule: BidSchedule,
        hints: HolderHints,
    ) -> None:
        self.fleet = fleet
        self.timing = LeaseTiming(bounds, rng)
        self.ballots = BallotCounter(fleet.me, rng)
        self.schedule = schedule
        self.hints = hints

    def is_held(self, bid: Bid, now: float) -> bool:
        """Returns whether the bid holds its lease at this moment."""
        return bid.phase is Phase.HOLDING and now < bid.held_until

    def has_lapsed(self, bid: Bid, now: float) -> bool:
        """Returns whether a held lease has expired: later acceptances cannot restore it."""
        return bid.phase is Phase.HOLDING and now >= bid.held_until

    def required_acceptances(self) -> int:
        """Returns the number of acceptors that have to accept a round."""
        return self.fleet.majority

    def lease_end(self, sent_at: float, now: float) -> float:
        """Returns when a lease ends whose round was first sent at `sent_at`, whatever the time `now`."""
        return sent_at + self.timing.held_duration()

    def start(self, bid: Bid, now: float) -> list[Action]:
        """Starts an election, with a new ballot where the former one can no longer win."""
        if bid.ballot_spent:
            ballot = self.ballots.next_ballot()
            if ballot is None:
                bid.phase = Phase.WAITING
                self.schedule.wake(bid, now + self.timing.bounds.lease_s)
                return [LogEvent("lease-clock-spent")]
            bid.ballot = ballot
            bid.ballot_spent = False
        bid.begin_election(now + self.timing.election_phase())
        self.schedule.wake(bid, now + self.timing.resend_interval())
        return self._send(self.fleet.acceptors, Prepare(bid.lease, bid.ballot))

    def record_promise(self, acceptor: Peer, bid: Bid, now: float) -> list[Action]:
        """Records a promise; once a majority has promised, proposes to all that have."""
        bid.refused_by.pop(acceptor, None)
        bid.promised_by.add(acceptor)
        if bid.phase is Phase.PROPOSING:
            return self._send([acceptor], self._proposal(bid))
        if bid.phase is Phase.PREPARING and len(bid.promised_by) >= self.fleet.majority:
            return self._propose(bid, now)
        return []

    def record_refusal(
        self, acceptor: Peer, bid: Bid, higher_ballot: int, retry_after_s: float, now: float
    ) -> list[Action]:
        """Records a refusal; ends the election where a majority can no longer be reached.

        Args:
            acceptor: The acceptor that refused.
            bid: The bid that was refused.
            higher_ballot: The ballot that the acceptor has promised or locked; 0 where it does not vote yet.
            retry_after_s: For how long the acceptor refuses; 0 where it may be asked again at any time.
            now: Seconds of this process's clock.
        """
        if not bid.is_in_election:
            return []
        bid.promised_by.discard(acceptor)
        # An equal ballot is refused where it is the acceptor's promise floor, or was released.
        bid.ballot_spent |= higher_ballot >= bid.ballot
        bid.refused_by[acceptor] = retry_after_s
        if bid.phase is Phase.PREPARING:
            possible = len(self.fleet.acceptors) - len(bid.refused_by)
        else:
            possible = len(bid.promised_by)
        return self._lose_election(bid, now) if possible < self.fleet.majority else []

    def record_acceptance(self, acceptor: Peer, bid: Bid, message: Accept, now: float) -> list[Action]:
        """Records an acceptance of a round; acquires or extends the lease once a majority has accepted."""
        round_ = bid.rounds.get(message.round_number)
        if round_ is None or bid.phase not in (Phase.PROPOSING, Phase.HOLDING):
            return []
        round_.accepted_by.add(acceptor)
        if len(round_.accepted_by) < self.required_acceptances():
            return []
        held_until = self.lease_end(round_.sent_at, now)
        if held_until <= now:
            return []
        bid.held_until = max(bid.held_until, held_until)
        if bid.phase is not Phase.PROPOSING:
            return []
        bid.phase = Phase.HOLDING
        bid.lost_elections = 0
        bid.renew_at = round_.sent_at + self.timing.renewal_interval()
        self.schedule.wake(bid, min(bid.renew_at, bid.held_until))
        self.hints.forget(bid.lease)
        return [LeaseAcquired(bid.lease, bid.ballot, bid.held_until)]

    def advance(self, bid: Bid, now: float) -> list[Action]:
        """Takes the next step of a bid whose timer has fired."""
        if self.has_lapsed(bid, now):
            return self.lose_lease(bid, now)
        if bid.phase is Phase.WAITING and now < bid.priority_until:
            return self.start(bid, now)
        if bid.phase is Phase.WAITING:
            self.schedule.enqueue(bid)
            return []
        if bid.phase is Phase.HOLDING:
            return self._renew(bid, now)
        if now >= bid.election_ends_at:
            return self._lose_election(bid, now)
        return self._resend(bid, now)

    def lose_lease(self, bid: Bid, now: float) -> list[Action]:
        """Gives up an expired lease, and bids for it again after a backoff."""
        lost = LeaseLost(bid.lease, bid.ballot)
        released = self.release(bid, self.fleet.me)
        self._wait(bid, now, self.timing.draw_jittered_backoff())
        return [lost, *released]

    def release(self, bid: Bid, successor: Peer) -> list[Action]:
        """Releases the bid's locks at the acceptors; also notifies a successor that is another router."""
        bid.ballot_spent = True
        receivers = self.fleet.acceptors
        if successor != self.fleet.me and successor not in receivers:
            receivers = (*receivers, successor)
        return self._send(receivers, Release(bid.lease, bid.ballot, successor))

    def _propose(self, bid: Bid, now: float) -> list[Action]:
        bid.begin_proposal(now, now + self.timing.election_phase())
        self.schedule.wake(bid, now + self.timing.resend_interval())
        return self._send(sorted(bid.promised_by), self._proposal(bid))

    def _renew(self, bid: Bid, now: float) -> list[Action]:
        """Starts a round if one is due; sends the latest round until a majority has accepted it."""
        if now >= bid.renew_at:
            bid.begin_round(now, MAX_COUNTED_ROUNDS)
            bid.renew_at = now + self.timing.renewal_interval()
        accepted_by = bid.rounds[bid.round_number].accepted_by
        actions: list[Action] = []
        resend_at = NEVER
        if len(accepted_by) < self.fleet.majority:
            actions = self._send(self._acceptors_except(accepted_by), self._proposal(bid))
            resend_at = now + self.timing.resend_interval()
        self.schedule.wake(bid, min(bid.renew_at, bid.held_until, resend_at))
        return actions

    def _resend(self, bid: Bid, now: float) -> list[Action]:
        """Repeats the current message to each acceptor that has not answered it."""
        answered = bid.promised_by | bid.refused_by.keys()
        actions = self._send(self._acceptors_except(answered), Prepare(bid.lease, bid.ballot))
        if bid.phase is Phase.PROPOSING:
            pending = bid.promised_by - bid.rounds[bid.round_number].accepted_by
            actions += self._send(sorted(pending), self._proposal(bid))
        self.schedule.wake(bid, min(bid.election_ends_at, now + self.timing.resend_interval()))
        return actions

    def _lose_election(self, bid: Bid, now: float) -> list[Action]:
        """Ends an election; bids again once a majority may vote, or after a backoff."""
        actions = self.release(bid, self.fleet.me) if bid.phase is Phase.PROPOSING else []
        majority_after = self._majority_after(bid)
        if now < bid.priority_until:
            wait = self.timing.draw_priority_backoff()
        elif majority_after > 0:
            bid.lost_elections = 0
            wait = majority_after + self.timing.draw_unlock_spread()
        else:
            bid.lost_elections = min(bid.lost_elections + 1, MAX_BACKOFF_DOUBLINGS)
            wait = self.timing.draw_backoff(bid.lost_elections)
        self._wait(bid, now, wait)
        return actions

    def _majority_after(self, bid: Bid) -> float:
        """Returns the seconds until a majority may vote; 0 if too few acceptors have answered to tell."""
        waits = sorted([*bid.refused_by.values(), *(0.0 for _ in bid.promised_by)])
        majority = self.fleet.majority
        return waits[majority - 1] if len(waits) >= majority else 0.0

    def _wait(self, bid: Bid, now: float, seconds: float) -> None:
        bid.begin_waiting()
        self.schedule.wake(bid, now + seconds)

    def _proposal(self, bid: Bid) -> Propose:
        return Propose(bid.lease, bid.ballot, self.timing.duration_ms, bid.round_number)

    def _acceptors_except(self, answered: set[Peer]) -> list[Peer]:
        return [each for each in self.fleet.acceptors if each not in answered]

    def _send(self, receivers: Iterable[Peer], message: PeerMessage) -> list[Action]:
        return [SendMessage(each, message, Urgency.LEASE) for each in receivers]
