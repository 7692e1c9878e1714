"""The owner's side of a bundle of live channels: followers, reports to them, gain and loss of the bundle."""

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

HEARTBEAT_INTERVAL_S = 0.5  # of an owner that has filled nothing meanwhile


class BundleOwner:
    """Owns bundles: reports filled parts to followers, and sends them heartbeats between reports."""

    def __init__(self, handoff: Handoff) -> None:
        self.handoff = handoff

    # --- gain and loss ---

    def acquire(self, bundle: Bundle, term: int, now: float) -> list[Action]:
        """Owns a bundle whose lease was acquired under a term."""
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
        """No longer owns a bundle whose lease under a term was lost."""
        if bundle.term == term:
            bundle.term = 0
            bundle.offer = None
            bundle.completed_takeover = None
            bundle.owner_last_seen = now
        return [ChannelOwnership(channel, 0) for channel in sorted(bundle.live_channels)]

    # --- followers ---

    def handle_follow(self, sender: Peer, bundle: Bundle, message: HandoffReply, now: float) -> list[Action]:
        """Adds a follower, or tells it that this router does not own the bundle."""
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
        """Reports a filled part to the followers; the first one after a takeover also completes that."""
        bundle.rate.add(now)
        bundle.last_report_at = now
        valid_ms = int(valid_s * 1000)
        report = ChannelPartReport(prefetch.channel, prefetch.term, prefetch.part, cache, valid_ms)
        # Routine: where bytes are short, a hint yields to messages that decide something.
        out: list[Action] = [
            SendMessage(peer, report, Urgency.ROUTINE) for peer in bundle.current_followers(now)
        ]
        takeover = bundle.completed_takeover
        if takeover is not None and prefetch.term == bundle.term:
            bundle.completed_takeover = None
            complete = HandoffComplete(bundle.lease, prefetch.term, takeover.term)
            out.append(SendMessage(takeover.previous_owner, complete, Urgency.LEASE))
        return out

    # --- time ---

    def tend(self, bundle: Bundle, now: float) -> list[Action]:
        """Sends heartbeats, continues an offer, and gives up a bundle that is not read here."""
        if not bundle.live_channels or bundle.is_superseded(bundle.term, now):
            return self.handoff.give_up(bundle, now)
        out = self.send_heartbeat(bundle, now)
        if bundle.offer is not None:
            out += self.handoff.tend_offer(bundle, bundle.offer, now)
        return out

    def send_heartbeat(self, bundle: Bundle, now: float) -> list[Action]:
        """Tells the followers that the owner is there, if the last report is old enough."""
        if now - bundle.last_report_at < HEARTBEAT_INTERVAL_S:
            return []
        bundle.last_report_at = now
        heartbeat = ChannelPartReport(min(bundle.live_channels), bundle.term, part=0, cache=0, valid_ms=0)
        return [SendMessage(peer, heartbeat, Urgency.ROUTINE) for peer in bundle.current_followers(now)]
