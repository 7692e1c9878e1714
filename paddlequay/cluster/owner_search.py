"""Finds the owner of a bundle of live channels, and bids for the bundle's lease if there is no owner.

A router that reads a live channel bids for the lease of its bundle, and withdraws the bid as soon as it
knows the owner. From then on it sends that owner a follow message each second; an owner reports only to its
followers. The search starts again when the owner times out or is suspected.

A router starts at most `BIDS_PER_S` bids per second, and at most `MAX_BURST_BIDS` at once, because each bid
causes at least one election.
"""

import math
import random

from paddlequay.cluster.bundles import Bundle, Bundles, LeaseTerms
from paddlequay.cluster.handoff import Handoff, follow_message
from paddlequay.cluster.types import Action, Peer, SendMessage, Urgency

FOLLOW_INTERVAL_S = 1.0
OWNER_TIMEOUT_S = 1.2  # shorter than a lease, but tolerates two lost heartbeats
MAX_BID_DELAY_S = 0.4
MAX_EXPECTED_BIDDERS = 64.0  # a higher value makes short bid delays rarer
DENIAL_RETENTION_S = 1.0  # during which reports of acceptors that name the denying peer are ignored
BID_GRACE_PERIOD_S = 0.25  # a younger bid ignores reported holders, which may yet lose their election
BIDS_PER_S = 10.0
MAX_BURST_BIDS = 4.0


def reversed_exponential(draw: float, count: float) -> float:
    """Maps a uniform random number to a delay between 0 and 1 whose density grows exponentially towards 1.

    The delay is 1 minus an exponential variable with mean 1 / ln(count), or 0 if that is negative, which has
    a probability of 1 / count. So about one of `count` routers has no delay.

    Args:
        draw: A uniform random number, at least 0 and below 1.
        count: The number of routers that draw a delay, above 1.
    """
    return max(0.0, 1 + math.log(1 - draw) / math.log(count))


class OwnerSearch:
    """Searches for the owners of the bundles read here, within a bid budget. `rng` is seeded per run."""

    def __init__(
        self, bundles: Bundles, leases: LeaseTerms, handoff: Handoff, rng: random.Random, now: float
    ) -> None:
        self.bundles = bundles
        self.leases = leases
        self.handoff = handoff
        self.rng = rng
        self.bid_tokens = MAX_BURST_BIDS
        self.tokens_updated_at = now

    def observe_owner(self, bundle: Bundle, peer: Peer, now: float) -> None:
        """Records a peer as the owner of a bundle, unless this router owns it, and cancels a planned bid."""
        if bundle.term:
            return
        if bundle.owner != peer:
            bundle.follow_sent_at = -math.inf
        bundle.owner = peer
        bundle.owner_last_seen = now
        bundle.bid_at = None

    def handle_denial(self, bundle: Bundle, peer: Peer, now: float) -> list[Action]:
        """Handles a peer's denial that it owns a bundle: asks the acceptors for the holder.

        Either the peer's lease has ended, or an acceptor had reported the peer from an election that it lost.
        """
        bundle.owner = None
        bundle.denied_by = peer
        bundle.denied_at = now
        return self.leases.query_holder(bundle.lease, now)

    def update_bundle(self, bundle: Bundle, now: float) -> list[Action]:
        """Follows the owner of a bundle that another router owns, or plans a bid if there is no owner."""
        actions: list[Action] = []
        if bundle.bid_pending and bundle.takeover is None and self.should_withdraw_bid(bundle, now):
            actions += self.withdraw_bid(bundle, now)
        if not self.needs_owner(bundle):
            bundle.bid_at = None
            return actions
        holder = self.reported_holder(bundle, now)
        if bundle.owner is None and holder is not None and not bundle.bid_pending:
            self.observe_owner(bundle, holder, now)
        actions += self.follow_owner(bundle, now)
        if self.should_plan_bid(bundle, holder, now):
            bundle.bid_at = now + self.bid_delay_s()
        return actions

    def needs_owner(self, bundle: Bundle) -> bool:
        """Returns whether a bundle is read here, unless this router drains or is in a handoff's overlap."""
        return bool(bundle.live_channels) and not self.handoff.draining and bundle.overlap is None

    def follow_owner(self, bundle: Bundle, now: float) -> list[Action]:
        """Sends the owner a follow message and this router's load, once per `FOLLOW_INTERVAL_S`."""
        if bundle.owner is None or now - bundle.follow_sent_at < FOLLOW_INTERVAL_S:
            return []
        bundle.follow_sent_at = now
        return [
            SendMessage(bundle.owner, follow_message(bundle), Urgency.CHANGE),
            SendMessage(bundle.owner, self.handoff.load_message(now), Urgency.ROUTINE),
        ]

    def should_plan_bid(self, bundle: Bundle, holder: Peer | None, now: float) -> bool:
        """Returns whether the owner is lost, no lease holder is known, and no bid is planned or pending.

        The lease of a lost owner is valid for a while longer; a bid before its end would only find that
        holder.
        """
        owner = bundle.owner
        is_timed_out = now - bundle.owner_last_seen >= OWNER_TIMEOUT_S
        is_lost = owner is None or owner in self.handoff.unreachable or is_timed_out
        return is_lost and bundle.bid_at is None and not bundle.bid_pending and holder is None

    def reported_holder(self, bundle: Bundle, now: float) -> Peer | None:
        """Returns the lease's holder as reported by acceptors, None if that peer has recently denied it."""
        holder = self.leases.holder(bundle.lease, now)
        if holder == bundle.denied_by and now - bundle.denied_at < DENIAL_RETENTION_S:
            return None
        return holder

    def bid_delay_s(self) -> float:
        """Returns a random delay before a bid, in seconds. Short delays are rare, so few routers bid first.

        With uniform delays, many routers would bid within the time of one election, and all elections would
        fail (compare suppressed feedback: Nonnenmacher and Biersack, 1999). Up to `MAX_EXPECTED_BIDDERS`
        routers are expected to bid.
        """
        return MAX_BID_DELAY_S * reversed_exponential(self.rng.random(), MAX_EXPECTED_BIDDERS)

    def should_withdraw_bid(self, bundle: Bundle, now: float) -> bool:
        """Returns whether a pending bid has found another holder or is no longer needed here."""
        found_holder = self.settled_holder(bundle, now) is not None
        return found_holder or not bundle.live_channels or self.handoff.draining

    def settled_holder(self, bundle: Bundle, now: float) -> Peer | None:
        """Returns the holder that a bid has found, None until the bid is `BID_GRACE_PERIOD_S` old."""
        if now - bundle.bid_started_at < BID_GRACE_PERIOD_S:
            return None
        return self.reported_holder(bundle, now)

    def withdraw_bid(self, bundle: Bundle, now: float) -> list[Action]:
        """Withdraws a pending bid, and records the holder that it has found as the owner."""
        holder = self.settled_holder(bundle, now)
        bundle.bid_pending = False
        if holder is not None and holder != bundle.owner:
            self.observe_owner(bundle, holder, now)
        return self.leases.release(bundle.lease, now)

    def start_due_bids(self, now: float) -> list[Action]:
        """Starts planned bids that are due, in random order and within the bid budget."""
        self.refill_tokens(now)
        due = [bundle for bundle in self.bundles.all if bundle.bid_at is not None and now >= bundle.bid_at]
        self.rng.shuffle(due)
        actions: list[Action] = []
        for bundle in due[: int(self.bid_tokens)]:
            self.bid_tokens -= 1
            bundle.bid_at = None
            bundle.bid_pending = True
            bundle.bid_started_at = now
            actions += self.leases.request(bundle.lease, now)
        return actions

    def refill_tokens(self, now: float) -> None:
        """Adds bid tokens for the time since the last refill, up to `MAX_BURST_BIDS`."""
        elapsed_s = max(0.0, now - self.tokens_updated_at)
        self.bid_tokens = min(MAX_BURST_BIDS, self.bid_tokens + elapsed_s * BIDS_PER_S)
        self.tokens_updated_at = now
