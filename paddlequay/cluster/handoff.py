"""Hands bundles of live channels off to other routers: decides when and to which, and takes bundles over.

An owner sends a `HandoffOffer`. The receiver bids for the lease, and answers with a `HandoffReply` once its
bid is queued behind the owner's lease. The owner then releases the lease to the receiver, and the new owner
sends a `HandoffComplete` with its first filled part. `bundles.py` limits how long both may fill.

A router offers, and takes over, at most `MAX_CONCURRENT_HANDOFFS` bundles at a time. To balance load it moves
at most one bundle per `REBALANCE_INTERVAL_S`, and none that it has owned for less than `MIN_OWNERSHIP_S`.
"""

from dataclasses import dataclass

from paddlequay.cluster.bundles import (
    FOLLOWER_TIMEOUT_S,
    Bundle,
    Bundles,
    LeaseTerms,
    PendingOffer,
    Takeover,
)
from paddlequay.cluster.messages import HandoffOffer, HandoffReply, OwnerLoad
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import NEVER, Action, LogEvent, Peer, SendMessage, Urgency

MAX_CONCURRENT_HANDOFFS = 4
BID_SETTLE_S = 0.1  # time for the acceptors to answer the bid for an offered bundle and queue it
OFFER_TIMEOUT_S = 3.0  # an answer may take two message delays of a second each and an election
OFFER_RESEND_S = 0.3
TAKEOVER_TIMEOUT_S = 5.0  # a bundle that the owner has not released by then will not be released
DECLINE_RETENTION_S = 5.0  # until a bundle is offered again to a router that declined it
REBALANCE_INTERVAL_S = 5.0
MIN_OWNERSHIP_S = 10.0

FOLLOW_TERM = 0  # the term of a `HandoffReply` that is a follow message and answers no offer
ACCEPTED = 1
DECLINED = 0


def follow_message(bundle: Bundle) -> HandoffReply:
    """Returns the message that a router sends to follow the owner of a bundle."""
    return HandoffReply(bundle.lease, FOLLOW_TERM, ACCEPTED)


def not_owner_message(bundle: Bundle, term: int) -> HandoffReply:
    """Returns the message to followers that this router does not, or no longer, own a bundle."""
    return HandoffReply(bundle.lease, term, DECLINED)


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """The parts per second that a peer prefetches, as reported in a message received at `received_at`."""

    rate_per_s: float
    received_at: float


class Handoff:
    """Both sides of handoffs, and the peers' loads, by which receivers are chosen."""

    def __init__(self, rule: ChannelRule, bundles: Bundles, leases: LeaseTerms) -> None:
        self.rule = rule
        self.bundles = bundles
        self.leases = leases
        self.peer_loads: dict[Peer, PeerLoad] = {}
        self.unreachable: set[Peer] = set()  # suspect or dead
        self.draining = False
        self.rebalanced_at = -NEVER

    def load_message(self, now: float) -> OwnerLoad:
        """Returns the report of this router's load."""
        return OwnerLoad(int(self.own_load(now) * 1000), len(self.bundles.owned()))

    def record_load(self, peer: Peer, report: OwnerLoad, now: float) -> None:
        """Records a peer's report of its load."""
        self.peer_loads[peer] = PeerLoad(report.rate_milli / 1000, now)

    def own_load(self, now: float) -> float:
        """Returns the parts per second that this router prefetches."""
        return sum(bundle.rate.per_second(now) for bundle in self.bundles.owned())

    def expected_load(self, peer: Peer, now: float) -> float:
        """Returns the parts per second that a peer reported, plus those of the bundles offered to it."""
        reported = self.peer_loads[peer].rate_per_s if peer in self.peer_loads else 0.0
        offered = (
            bundle.rate.per_second(now)
            for bundle in self.bundles.owned()
            if bundle.offer and bundle.offer.receiver == peer
        )
        return reported + sum(offered)

    def give_up(self, bundle: Bundle, now: float) -> list[Action]:
        """Releases a bundle without a successor, and tells its followers to search for an owner."""
        message = not_owner_message(bundle, bundle.term)
        actions = self.bundles.release(bundle, now, None)
        actions += [SendMessage(peer, message, Urgency.CHANGE) for peer in bundle.current_followers(now)]
        bundle.followers.clear()
        return actions

    def start_handoffs(self, now: float) -> list[Action]:
        """Offers all bundles while draining; otherwise one at a time while the load is far above the mean."""
        owned = self.bundles.owned()
        offered_count = sum(bundle.offer is not None for bundle in owned)
        if self.draining:
            return self.drain_bundles(owned, MAX_CONCURRENT_HANDOFFS - offered_count, now)
        is_due = now - self.rebalanced_at >= REBALANCE_INTERVAL_S
        if len(owned) > 1 and offered_count == 0 and is_due:
            return self.rebalance(owned, now)
        return []

    def drain_bundles(self, owned: list[Bundle], capacity: int, now: float) -> list[Action]:
        """Offers up to `capacity` bundles, and gives up those without a possible successor."""
        actions: list[Action] = []
        for bundle in [each for each in owned if each.offer is None]:
            successor = self.choose_successor(bundle, now)
            if successor is None:
                actions += self.give_up(bundle, now)
            elif capacity > 0:
                capacity -= 1
                actions += self.offer_bundle(bundle, successor, now)
        return actions

    def rebalance(self, owned: list[Bundle], now: float) -> list[Action]:
        """Offers the bundle with the highest rate that leaves its receiver no more loaded than this router.

        Offers nothing unless this router's load is above `rule.rebalance_ratio` times the mean load of this
        router and the peers that reported theirs. The mean includes routers that own nothing; otherwise the
        load of a router that owns everything would equal the mean.
        """
        own_rate = self.own_load(now)
        if not self.is_overloaded(own_rate, now):
            return []
        for bundle in sorted(owned, key=lambda each: -each.rate.per_second(now)):
            successor = self.choose_successor(bundle, now)
            rate = bundle.rate.per_second(now)
            if successor is None or now - bundle.acquired_at < MIN_OWNERSHIP_S:
                continue
            if rate > 0 and self.expected_load(successor, now) + rate <= own_rate - rate:
                self.rebalanced_at = now
                return self.offer_bundle(bundle, successor, now)
        return []

    def is_overloaded(self, own_rate: float, now: float) -> bool:
        """Returns whether a load, in parts per second, is far above the mean of recently reported loads."""
        others = [
            load.rate_per_s
            for load in self.peer_loads.values()
            if now - load.received_at <= FOLLOWER_TIMEOUT_S
        ]
        mean = (own_rate + sum(others)) / (1 + len(others))
        return bool(others) and own_rate > self.rule.rebalance_ratio * mean

    def choose_successor(self, bundle: Bundle, now: float) -> Peer | None:
        """Returns the least loaded follower that is reachable and has not recently declined the bundle."""
        bundle.declined = {peer: at for peer, at in bundle.declined.items() if now - at < DECLINE_RETENTION_S}
        excluded = self.unreachable | bundle.declined.keys()
        candidates = [peer for peer in bundle.current_followers(now) if peer not in excluded]
        return min(candidates, key=lambda peer: (self.expected_load(peer, now), peer), default=None)

    def offer_bundle(self, bundle: Bundle, receiver: Peer, now: float) -> list[Action]:
        """Offers a bundle to a receiver."""
        bundle.offer = PendingOffer(receiver, now, now)
        return [SendMessage(receiver, self.offer_message(bundle, now), Urgency.LEASE)]

    def offer_message(self, bundle: Bundle, now: float) -> HandoffOffer:
        """Returns the offer of a bundle, with its load."""
        return HandoffOffer(bundle.lease, bundle.term, int(bundle.rate.per_second(now) * 1000))

    def update_offer(self, bundle: Bundle, offer: PendingOffer, now: float) -> list[Action]:
        """Repeats an unanswered offer, or withdraws it if it is too old or its receiver is unreachable."""
        if now - offer.started_at > OFFER_TIMEOUT_S or offer.receiver in self.unreachable:
            bundle.declined[offer.receiver] = now
            bundle.offer = None
            return []
        if now - offer.last_sent_at < OFFER_RESEND_S:
            return []
        offer.last_sent_at = now
        return [SendMessage(offer.receiver, self.offer_message(bundle, now), Urgency.LEASE)]

    def handle_reply(self, sender: Peer, bundle: Bundle, reply: HandoffReply, now: float) -> list[Action]:
        """Handles the answer to an offer: releases the bundle, or offers bundles to other receivers."""
        offer = bundle.offer
        is_current_term = bool(bundle.term) and bundle.term == reply.term
        if not is_current_term or offer is None or offer.receiver != sender:
            return []
        if not reply.accepted:
            bundle.declined[sender] = now
            bundle.offer = None
            return self.start_handoffs(now)
        actions = self.bundles.release(bundle, now, sender)
        return [*actions, LogEvent("channels-handed-on", (("bundle", bundle.lease), ("to", sender)))]

    def end_overlap(self, bundle: Bundle, now: float) -> list[Action]:
        """Ends the overlap after a handoff, and tells the followers to search for the new owner."""
        if bundle.overlap is None:
            return []
        message = not_owner_message(bundle, bundle.overlap.term)
        bundle.overlap = None
        followers = bundle.current_followers(now)
        bundle.followers.clear()
        return [SendMessage(peer, message, Urgency.CHANGE) for peer in followers]

    def handle_offer(self, sender: Peer, bundle: Bundle, offer: HandoffOffer, now: float) -> list[Action]:
        """Handles an offer: bids for the bundle, or declines it."""
        if not bundle.accept_term(offer.term, now):
            return []
        takeover = bundle.takeover
        if takeover is not None and takeover.term == offer.term:
            return [self.accept_message(bundle, takeover)] if takeover.ready else []
        if not self.may_take_over(bundle):
            return [SendMessage(sender, HandoffReply(bundle.lease, offer.term, DECLINED), Urgency.LEASE)]
        bundle.takeover = Takeover(sender, offer.term, now)
        bundle.bid_pending = True
        bundle.bid_at = None
        return self.leases.request(bundle.lease, now)

    def may_take_over(self, bundle: Bundle) -> bool:
        """Returns whether this router can take a bundle over.

        It must itself receive reads of the bundle's channels to know which part is next.
        """
        takeover_count = sum(each.takeover is not None for each in self.bundles.all)
        has_capacity = takeover_count < MAX_CONCURRENT_HANDOFFS
        return has_capacity and not self.draining and bool(bundle.live_channels) and not bundle.term

    def update_takeover(self, bundle: Bundle, takeover: Takeover, now: float) -> list[Action]:
        """Accepts an offer once the bid is queued behind the owner's lease; ends a stale takeover."""
        if now - takeover.started_at > TAKEOVER_TIMEOUT_S:
            bundle.takeover = None
            return []
        if takeover.ready or now - takeover.started_at < BID_SETTLE_S:
            return []
        takeover.ready = self.leases.holder(bundle.lease, now) == takeover.previous_owner
        return [self.accept_message(bundle, takeover)] if takeover.ready else []

    def accept_message(self, bundle: Bundle, takeover: Takeover) -> SendMessage:
        """Returns the message that accepts an offer."""
        reply = HandoffReply(bundle.lease, takeover.term, ACCEPTED)
        return SendMessage(takeover.previous_owner, reply, Urgency.LEASE)
