"""The live channels of a zone: one router owns each and alone prefetches its next part.

The owner reports to the routers that read the channel which cache holds a part. No request waits for an
owner: without one, or without its reports, every router routes requests as it does for any object.
`prefetch.py` detects channels, `cache_hints.py` keeps the owners' reports, `bundles.py` decides what may be
filled at this moment, `owner_search.py` finds owners and bids, and `handoff.py` hands bundles on.
"""

import random
from typing import ClassVar

from paddlequay.cluster.bundle_owner import BundleOwner
from paddlequay.cluster.bundles import Bundle, Bundles, LeaseTerms
from paddlequay.cluster.cache_hints import CacheHints
from paddlequay.cluster.handoff import FOLLOW_TERM, Handoff
from paddlequay.cluster.messages import (
    ChannelPartReport,
    HandoffComplete,
    HandoffOffer,
    HandoffReply,
    OwnerLoad,
    PeerMessage,
)
from paddlequay.cluster.owner_search import OwnerSearch
from paddlequay.cluster.prefetch import ChannelDetector, Prefetch
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ChannelOwnership,
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LocalEvent,
    NameDigest,
    Peer,
    PeerChanged,
    PeerState,
)

TICK_INTERVAL_S = 0.1
CHANNEL_MESSAGES = (ChannelPartReport, HandoffOffer, HandoffReply, HandoffComplete, OwnerLoad)
HandoffMessage = HandoffOffer | HandoffReply | HandoffComplete


class Channels:
    """The component of the cluster that owns live channels; `rng` is seeded anew for each run."""

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = CHANNEL_MESSAGES

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rule: ChannelRule,
        leases: LeaseTerms,
        rng: random.Random,
        now: float,
    ) -> None:
        self.rule = rule
        self.bundles = Bundles(fleet.zone, rule.bundles, bounds, leases)
        self.detector = ChannelDetector(fleet.zone, rule)
        self.hints = CacheHints(rule.max_channels)
        self.handoff = Handoff(rule, self.bundles, leases)
        self.owner = BundleOwner(self.handoff)
        self.owner_search = OwnerSearch(self.bundles, leases, self.handoff, rng, now)
        self.tick_at = NEVER
        self.pending_events: list[Action] = []  # found in calls that return no actions

    # --- calls of the driver ---

    def record_read(self, object_name: str, class_name: str, part: int, now: float) -> list[Prefetch]:
        """Counts a client's read of a part, and returns the parts to prefetch now.

        Only objects of the classes of `rule.classes` become channels, and only their owner prefetches.
        """
        if class_name not in self.rule.classes:
            return []
        self._schedule_tick(now)
        channel = self.detector.record_read(object_name, class_name, part, now)
        bundle = self.bundles.bundle_of(channel.id)
        if not channel.is_live:
            bundle.live_channels.discard(channel.id)
            return []
        term = self.bundles.active_term(bundle, now)
        if channel.id not in bundle.live_channels:
            bundle.live_channels.add(channel.id)
            if bundle.term:
                self.pending_events.append(ChannelOwnership(channel.id, bundle.term))
        return [] if term is None else self.detector.due_prefetches(channel, term, now)

    def writable_term(self, prefetch: Prefetch, now: float) -> int | None:
        """Returns the term to write a prefetch under; None if it must not be written.

        The driver asks this right before the write, since the lease may have ended meanwhile.
        """
        term = self.bundles.active_term(self.bundles.bundle_of(prefetch.channel), now)
        return term if term == prefetch.term else None

    def prefetch_succeeded(self, prefetch: Prefetch, cache: NameDigest, now: float) -> list[Action]:
        """Reports a filled part to the followers, unless a later owner is known.

        Args:
            prefetch: The order that led to the fill.
            cache: The digest of the cache's name.
            now: The time, in seconds of the router's clock.
        """
        self.detector.record_result(prefetch, True, now)
        bundle = self.bundles.bundle_of(prefetch.channel)
        if not bundle.accept_term(prefetch.term, now):
            return []
        valid_s = self.rule.idle_timeout_s
        self.hints.add(prefetch.channel, prefetch.part, cache, prefetch.term, valid_s, now)
        return self.owner.report_fill(bundle, prefetch, cache, valid_s, now)

    def prefetch_failed(self, prefetch: Prefetch, now: float) -> None:
        """Notes that a prefetch was not written or brought nothing; a later read tries it again."""
        self.detector.record_result(prefetch, False, now)

    def find_cache(self, channel: NameDigest, part: int, now: float) -> NameDigest | None:
        """Returns the digest of the cache that holds a part, as an owner reported it; a hint."""
        return self.hints.find(channel, part, now)

    def drain(self, now: float) -> list[Action]:
        """Hands all bundles on, and takes none over from now on."""
        self.handoff.draining = True
        self._schedule_tick(now)
        return self.handoff.start_handoffs(now)

    def is_drained(self, now: float) -> bool:
        """Returns whether this router may fill no bundle any more, not even under an old term."""
        return all(self.bundles.active_term(bundle, now) is None for bundle in self.bundles.all)

    # --- calls of the node ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a message of one of the `HANDLED_MESSAGES`; a bundle of another zone is ignored."""
        if isinstance(message, ChannelPartReport):
            self._handle_report(sender, message, now)
        elif isinstance(message, OwnerLoad):
            self.handoff.record_load(sender, message, now)
        elif isinstance(message, HandoffOffer | HandoffReply | HandoffComplete):
            bundle = self.bundles.by_lease.get(message.bundle)
            if bundle is not None:
                return self._handle_handoff(sender, bundle, message, now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Handles a change of a lease or of a peer's state."""
        match event:
            case LeaseAcquired(lease=lease) if lease in self.bundles.by_lease:
                self._schedule_tick(now)
                return self.owner.acquire(self.bundles.by_lease[lease], event.term, now)
            case LeaseLost(lease=lease) if lease in self.bundles.by_lease:
                return self.owner.lose(self.bundles.by_lease[lease], event.term, now)
            case HolderObserved(lease=lease) if lease in self.bundles.by_lease:
                self.bundles.by_lease[lease].accept_term(event.term, now)
            case PeerChanged():
                self._peer_changed(event)
        return []

    def tick(self, now: float) -> list[Action]:
        """Tends all bundles, starts due bids and moves bundles for load."""
        if now < self.tick_at:
            return []
        out = self.pending_events
        self.pending_events = []
        for channel in self.detector.pop_ended(now):
            self.bundles.bundle_of(channel.id).live_channels.discard(channel.id)
        self.hints.drop_expired(now)
        for bundle in self.bundles.all:
            out += self._tend(bundle, now)
        out += self.owner_search.start_due_bids(now)
        out += self.handoff.start_handoffs(now)
        self.tick_at = NEVER if self._is_idle() else now + TICK_INTERVAL_S
        return out

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        return self.tick_at

    # --- messages ---

    def _handle_report(self, sender: Peer, report: ChannelPartReport, now: float) -> None:
        bundle = self.bundles.bundle_of(report.channel)
        if not bundle.accept_term(report.term, now):
            return
        valid_s = report.valid_ms / 1000
        if valid_s > 0:  # else it is a heartbeat
            self.hints.add(report.channel, report.part, report.cache, report.term, valid_s, now)
        self.owner_search.observe_owner(bundle, sender, now)

    def _handle_handoff(
        self, sender: Peer, bundle: Bundle, message: HandoffMessage, now: float
    ) -> list[Action]:
        match message:
            case HandoffOffer():
                return self.handoff.handle_offer(sender, bundle, message, now)
            case HandoffReply(term=term) if term == FOLLOW_TERM:
                return self.owner.handle_follow(sender, bundle, message, now)
            case HandoffReply():
                if not message.accepted and bundle.owner == sender:
                    return self.owner_search.owner_denied(bundle, sender, now)
                return self.handoff.handle_reply(sender, bundle, message, now)
            case HandoffComplete():
                if not bundle.accept_term(message.term, now):
                    return []
                self.owner_search.observe_owner(bundle, sender, now)
                return self.handoff.end_overlap(bundle, now)

    def _peer_changed(self, event: PeerChanged) -> None:
        if event.state is PeerState.ALIVE:
            self.handoff.unreachable.discard(event.peer)
        elif event.state is not PeerState.UNKNOWN:
            self.handoff.unreachable.add(event.peer)

    # --- time ---

    def _tend(self, bundle: Bundle, now: float) -> list[Action]:
        out: list[Action] = []
        if bundle.overlap is not None and self.bundles.active_term(bundle, now) is None:
            out += self.handoff.end_overlap(bundle, now)
        if bundle.takeover is not None:
            out += self.handoff.tend_takeover(bundle, bundle.takeover, now)
        if bundle.term:
            return out + self.owner.tend(bundle, now)
        return out + self.owner_search.tend(bundle, now)

    def _is_idle(self) -> bool:
        """Returns whether nothing is read, remembered, owned or bid for, and no event is pending."""
        is_active = any(bundle.term or bundle.bid_pending or bundle.overlap for bundle in self.bundles.all)
        return (
            not self.detector.channels
            and not self.hints.channels
            and not is_active
            and not self.pending_events
        )

    def _schedule_tick(self, now: float) -> None:
        self.tick_at = min(self.tick_at, now + TICK_INTERVAL_S)
