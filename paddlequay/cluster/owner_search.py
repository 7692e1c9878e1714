"""Finds the owner of a bundle of live channels, and bids for the bundle's lease where it has none.

A router that reads a live channel bids for the lease of its bundle, and withdraws the bid as soon as it
knows the owner. From then on it sends that owner a follow message each second, so that owners report to the
routers that read their channels and to no others. An owner that falls silent or is suspected is searched
for anew.

A router starts at most `BIDS_PER_S` bids a second, `MAX_BURST_BIDS` at once, since each is at least one
election.
"""

import math
import random

from paddlequay.cluster.bundles import Bundle, Bundles, LeaseTerms
from paddlequay.cluster.handoff import Handoff, follow_message
from paddlequay.cluster.types import Action, Peer, SendMessage, Urgency

FOLLOW_INTERVAL_S = 1.0
OWNER_TIMEOUT_S = 1.2  # well under a lease, and over two lost heartbeats
MAX_BID_DELAY_S = 0.4
BIDDERS_COUNT = 64.0  # expected bidders at most: the more, the rarer are short delays
DENIAL_MEMORY_S = 1.0  # time during which acceptors' reports that name the denying peer are ignored
BID_PATIENCE_S = 0.25  # age until which a bid ignores reported holders, who may yet lose their election
BIDS_PER_S = 10.0
MAX_BURST_BIDS = 4.0


def reversed_exponential(draw: float, count: float) -> float:
    """Maps a uniform draw to a delay between 0 and 1 whose density grows exponentially towards 1.

    The delay is 1 less an exponential variable of mean 1 / ln(count), and 0 where that is negative: with a
    probability of 1 / count. So about one of `count` routers has no delay.

    Args:
        draw: A uniform draw, at least 0 and below 1.
        count: The number of routers that draw, above 1.
    """
    return max(0.0, 1 + math.log(1 - draw) / math.log(count))


class OwnerSearch:
    """Searches the owners of the bundles that are read here. Owns the bid budget; `rng` is seeded per run."""

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
        """Notes a peer as the owner of a bundle, unless this router owns it; planned bids are dropped."""
        if bundle.term:
            return
        if bundle.owner != peer:
            bundle.follow_sent_at = -math.inf
        bundle.owner = peer
        bundle.owner_last_seen = now
        bundle.bid_at = None

    def owner_denied(self, bundle: Bundle, peer: Peer, now: float) -> list[Action]:
        """Handles the word of a peer that it is not, or no longer, the owner: asks acceptors for the holder.

        The peer's lease has ended, or an acceptor's report of it stemmed from a lost election.
        """
        bundle.owner = None
        bundle.denied_by = peer
        bundle.denied_at = now
        return self.leases.query_holder(bundle.lease, now)

    def tend(self, bundle: Bundle, now: float) -> list[Action]:
        """Follows the owner of a bundle that another router owns, or plans a bid where it has none."""
        out: list[Action] = []
        if bundle.bid_pending and bundle.takeover is None and self.should_withdraw_bid(bundle, now):
            out += self.withdraw_bid(bundle, now)
        if not self.needs_owner(bundle):
            bundle.bid_at = None
            return out
        holder = self.reported_holder(bundle, now)
        if bundle.owner is None and holder is not None and not bundle.bid_pending:
            self.observe_owner(bundle, holder, now)
        out += self.follow_owner(bundle, now)
        if self.should_plan_bid(bundle, holder, now):
            bundle.bid_at = now + self.bid_delay_s()
        return out

    def needs_owner(self, bundle: Bundle) -> bool:
        """Returns whether channels of a bundle are read here and the bundle was not just handed on."""
        return bool(bundle.live_channels) and not self.handoff.draining and bundle.overlap is None

    def follow_owner(self, bundle: Bundle, now: float) -> list[Action]:
        """Tells the owner each `FOLLOW_INTERVAL_S` that its reports are read, with this router's load."""
        if bundle.owner is None or now - bundle.follow_sent_at < FOLLOW_INTERVAL_S:
            return []
        bundle.follow_sent_at = now
        return [
            SendMessage(bundle.owner, follow_message(bundle), Urgency.CHANGE),
            SendMessage(bundle.owner, self.handoff.load_message(now), Urgency.ROUTINE),
        ]

    def should_plan_bid(self, bundle: Bundle, holder: Peer | None, now: float) -> bool:
        """Returns whether the owner is lost, nobody holds the lease as far as known, and no bid is planned.

        The lease of a lost owner runs on for a while; a bid before its end would only find that holder.
        """
        owner = bundle.owner
        is_silent = now - bundle.owner_last_seen >= OWNER_TIMEOUT_S
        is_lost = owner is None or owner in self.handoff.unreachable or is_silent
        return is_lost and bundle.bid_at is None and not bundle.bid_pending and holder is None

    def reported_holder(self, bundle: Bundle, now: float) -> Peer | None:
        """Returns the holder of the lease as acceptors reported it, None if that peer denied it lately."""
        holder = self.leases.holder(bundle.lease, now)
        if holder == bundle.denied_by and now - bundle.denied_at < DENIAL_MEMORY_S:
            return None
        return holder

    def bid_delay_s(self) -> float:
        """Draws the delay before a bid, in seconds, such that few of up to `BIDDERS_COUNT` routers are first.

        Uniform delays of many routers lie closer together than an election takes, and all elections would
        fail (compare suppressed feedback: Nonnenmacher and Biersack, 1999).
        """
        return MAX_BID_DELAY_S * reversed_exponential(self.rng.random(), BIDDERS_COUNT)

    def should_withdraw_bid(self, bundle: Bundle, now: float) -> bool:
        """Returns whether a pending bid has found another holder, or nothing here needs it any more."""
        found_holder = self.settled_holder(bundle, now) is not None
        return found_holder or not bundle.live_channels or self.handoff.draining

    def settled_holder(self, bundle: Bundle, now: float) -> Peer | None:
        """Returns the holder that a bid has found, None until the bid is `BID_PATIENCE_S` old."""
        if now - bundle.bid_started_at < BID_PATIENCE_S:
            return None
        return self.reported_holder(bundle, now)

    def withdraw_bid(self, bundle: Bundle, now: float) -> list[Action]:
        """Withdraws a pending bid and notes the holder that it has found."""
        holder = self.settled_holder(bundle, now)
        bundle.bid_pending = False
        if holder is not None and holder != bundle.owner:
            self.observe_owner(bundle, holder, now)
        return self.leases.release(bundle.lease, now)

    def start_due_bids(self, now: float) -> list[Action]:
        """Starts the planned bids that are due, in random order and within the bid budget."""
        self.refill_tokens(now)
        due = [bundle for bundle in self.bundles.all if bundle.bid_at is not None and now >= bundle.bid_at]
        self.rng.shuffle(due)
        out: list[Action] = []
        for bundle in due[: int(self.bid_tokens)]:
            self.bid_tokens -= 1
            bundle.bid_at = None
            bundle.bid_pending = True
            bundle.bid_started_at = now
            out += self.leases.request(bundle.lease, now)
        return out

    def refill_tokens(self, now: float) -> None:
        """Adds the tokens of the time since the last refill, up to the burst."""
        elapsed_s = max(0.0, now - self.tokens_updated_at)
        self.bid_tokens = min(MAX_BURST_BIDS, self.bid_tokens + elapsed_s * BIDS_PER_S)
        self.tokens_updated_at = now
