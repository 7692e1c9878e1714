"""The bids of a router for leases: opens and releases them, and passes answers and timers on to them."""

import random

from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.bid_schedule import MAX_BIDS, BidSchedule
from paddlequay.cluster.bids import Bid, Phase
from paddlequay.cluster.elections import Elections
from paddlequay.cluster.holder_hints import HolderHints
from paddlequay.cluster.messages import Accept, PeerMessage, Promise, Reject, Release
from paddlequay.cluster.types import (
    Action,
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseLost,
    LogEvent,
    NameDigest,
    Peer,
)


class Proposer:
    """Bids for leases. Returned actions may send messages to this router itself; `Leases` delivers those."""

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rng: random.Random,
        elections_class: type[Elections] = Elections,
    ) -> None:
        self.fleet = fleet
        self.bids: dict[NameDigest, Bid] = {}
        self.hints = HolderHints()
        self.schedule = BidSchedule(self.bids, rng)
        self.elections = elections_class(fleet, bounds, rng, self.schedule, self.hints)

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease until it is released; refuses more than `MAX_BIDS` bids."""
        if lease in self.bids:
            return []
        if len(self.bids) >= MAX_BIDS:
            return [LogEvent("lease-refused", (("lease", lease), ("most", MAX_BIDS)))]
        bid = Bid(lease, now)
        self.bids[lease] = bid
        self.schedule.wake(bid, now)
        return []

    def release(self, lease: NameDigest, now: float, successor: Peer | None) -> list[Action]:
        """Ends a bid, and releases its locks where the lease is held or proposed."""
        bid = self.bids.pop(lease, None)
        if bid is None:
            return []
        actions: list[Action] = []
        if bid.phase is Phase.HOLDING:
            actions.append(LeaseLost(lease, bid.ballot))
        if bid.phase in (Phase.HOLDING, Phase.PROPOSING):
            actions += self.elections.release(bid, self.fleet.me if successor is None else successor)
        return actions

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease at this moment, or None."""
        bid = self.bids.get(lease)
        return bid.ballot if bid is not None and self.elections.is_held(bid, now) else None

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns this router if it holds the lease, otherwise the router last observed to."""
        if self.holds(lease, now) is not None:
            return self.fleet.me
        return self.hints.holder(lease, now)

    @property
    def highest_counter(self) -> int:
        """The highest ballot counter that this router has observed."""
        return self.elections.ballots.highest

    def observe_counter(self, counter: int) -> None:
        """Raises the ballot counter to one that another router uses."""
        self.elections.ballots.observe(counter)

    def handle_message(self, sender: Peer, message: PeerMessage, now: float) -> list[Action]:
        """Handles an answer of an acceptor, or a release that names this router as the successor."""
        if isinstance(message, Release):
            return self._handle_release(message, now)
        if sender not in self.fleet.acceptors or not isinstance(message, Promise | Accept | Reject):
            return []
        actions = self._observe(message, now)
        bid = self.bids.get(message.lease)
        if bid is None or message.ballot != bid.ballot:
            return actions
        if self.elections.has_lapsed(bid, now):
            return actions + self.elections.lose_lease(bid, now)
        return actions + self._handle_answer(sender, bid, message, now)

    def _handle_answer(
        self, acceptor: Peer, bid: Bid, message: Promise | Accept | Reject, now: float
    ) -> list[Action]:
        timing = self.elections.timing
        match message:
            case Accept():
                return self.elections.record_acceptance(acceptor, bid, message, now)
            case Promise(holder_ballot=0):
                return self.elections.record_promise(acceptor, bid, now)
            case Promise():
                wait = timing.bounded_wait(message.remaining_ms)
                return self.elections.record_refusal(acceptor, bid, message.holder_ballot, wait, now)
            case Reject():
                wait = timing.bounded_wait(message.retry_after_ms)
                return self.elections.record_refusal(acceptor, bid, message.promised, wait, now)

    def _observe(self, message: Promise | Accept | Reject, now: float) -> list[Action]:
        """Records the holder and the ballot counter that an answer contains."""
        match message:
            case Promise(holder_ballot=ballot) if ballot != 0:
                actions = self._observe_holder(message, now)
                self.observe_counter(counter_of(ballot))
                return actions
            case Reject():
                self.observe_counter(counter_of(message.promised))
        return []

    def _observe_holder(self, message: Promise, now: float) -> list[Action]:
        if message.holder == self.fleet.me:
            return []
        valid_until = now + self.elections.timing.bounded_wait(message.remaining_ms)
        if not self.hints.record(message, valid_until, now):
            return []
        return [HolderObserved(message.lease, message.holder, message.holder_ballot)]

    def _handle_release(self, message: Release, now: float) -> list[Action]:
        """Starts an election at once, without the rate limit, if this router bids and is the successor."""
        bid = self.bids.get(message.lease)
        if message.successor != self.fleet.me or bid is None:
            return []
        if bid.phase not in (Phase.WAITING, Phase.QUEUED):
            return []
        self.observe_counter(counter_of(message.ballot))
        bid.priority_until = now + self.elections.timing.priority_window()
        return self.elections.start(bid, now)

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        return self.schedule.due()

    def tick(self, now: float) -> list[Action]:
        """Advances the bids whose timers have fired, and starts the elections that the rate limit admits."""
        actions: list[Action] = []
        for bid in self.schedule.due_bids(now):
            actions += self.elections.advance(bid, now)
        for bid in self.schedule.admitted_elections(now):
            actions += self.elections.start(bid, now)
        return actions
