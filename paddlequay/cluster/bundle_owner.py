"""The owner's side of a bundle of live channels: acquiring and losing it, and reporting to its followers."""

from paddlequay.cluster.bundles import Bundle
from paddlequay.cluster.handoff import Handoff, not_owner_message
from paddlequay.cluster.messages import ChannelPartReport, HandoffComplete, HandoffReply
from paddlequay.cluster.prefetch import Prefetch
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ChannelOwnership,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)

HEARTBEAT_INTERVAL_S = 0.5  # after the last report, if no part has been filled since


class BundleOwner:
    """An owner's duties: reports filled parts to followers, and sends them heartbeats between reports."""

    def __init__(self, handoff: Handoff) -> None:
        self.handoff = handoff

    def acquire(self, bundle: Bundle, term: int, now: float) -> list[Action]:
        """Makes this router the owner of a bundle whose lease it has acquired under a term."""
        bundle.accept_term(term, now)
        bundle.term = term
        bundle.acquired_at = now
        bundle.last_report_at = -NEVER
        bundle.owner = None
        bundle.bid_at = None
        bundle.overlap = None
        bundle.completed_takeover = bundle.takeover
        bundle.takeover = None
        return [ChannelOwnership(channel, term) for channel in sorted(bundle.live_channels)]

    def lose(self, bundle: Bundle, term: int, now: float) -> list[Action]:
        """Ends this router's ownership of a bundle, if the lost lease had the term of that ownership."""
        if bundle.term == term:
            bundle.term = 0
            bundle.offer = None
            bundle.completed_takeover = None
            bundle.owner_last_seen = now
        return [ChannelOwnership(channel, 0) for channel in sorted(bundle.live_channels)]

    def handle_follow(self, sender: Peer, bundle: Bundle, message: HandoffReply, now: float) -> list[Action]:
        """Records a follower, or tells it that this router does not own the bundle."""
        if not message.accepted:
            return []
        if bundle.term:
            if sender not in bundle.followers:
                bundle.last_report_at = -NEVER  # the next tick sends a heartbeat
            bundle.followers[sender] = now
            return []
        if bundle.overlap is not None:
            return []
        denial = not_owner_message(bundle, max(1, bundle.highest_term))
        return [SendMessage(sender, denial, Urgency.CHANGE)]

    def report_fill(
        self, bundle: Bundle, prefetch: Prefetch, cache: NameDigest, valid_s: float, now: float
    ) -> list[Action]:
        """Reports a filled part to the followers; the first report after a takeover also completes it."""
        bundle.rate.add(now)
        bundle.last_report_at = now
        valid_ms = int(valid_s * 1000)
        report = ChannelPartReport(prefetch.channel, prefetch.term, prefetch.part, cache, valid_ms)
        # Hints are `ROUTINE`: when bandwidth is short, they yield to messages that decide something.
        actions: list[Action] = [
            SendMessage(peer, report, Urgency.ROUTINE) for peer in bundle.current_followers(now)
        ]
        takeover = bundle.completed_takeover
        if takeover is not None and prefetch.term == bundle.term:
            bundle.completed_takeover = None
            complete = HandoffComplete(bundle.lease, prefetch.term, takeover.term)
            actions.append(SendMessage(takeover.previous_owner, complete, Urgency.LEASE))
        return actions

    def update_bundle(self, bundle: Bundle, now: float) -> list[Action]:
        """Sends heartbeats and repeats an offer; gives the bundle up if it is not read here or superseded."""
        if not bundle.live_channels or bundle.is_superseded(bundle.term, now):
            return self.handoff.give_up(bundle, now)
        actions = self.send_heartbeat(bundle, now)
        if bundle.offer is not None:
            actions += self.handoff.update_offer(bundle, bundle.offer, now)
        return actions

    def send_heartbeat(self, bundle: Bundle, now: float) -> list[Action]:
        """Sends a heartbeat to the followers if the last report is `HEARTBEAT_INTERVAL_S` old."""
        if now - bundle.last_report_at < HEARTBEAT_INTERVAL_S:
            return []
        bundle.last_report_at = now
        heartbeat = ChannelPartReport(min(bundle.live_channels), bundle.term, part=0, cache=0, valid_ms=0)
        return [SendMessage(peer, heartbeat, Urgency.ROUTINE) for peer in bundle.current_followers(now)]
