"""The live channels of a zone: each is owned by one router, which alone prefetches its next parts.

The owner reports which cache holds a part to the routers that read the channel. No request waits for an
owner: without an owner, or without its reports, a router routes requests as for any other object.

`prefetch.py` detects channels, `cache_hints.py` stores the owners' reports, `bundles.py` decides which parts
this router may fill now, `owner_search.py` finds owners and bids for leases, `bundle_owner.py` reports to
followers, and `handoff.py` hands bundles off.
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
    """The cluster component for live channels. `rng` is seeded per run."""

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
        self.bundle_owner = BundleOwner(self.handoff)
        self.owner_search = OwnerSearch(self.bundles, leases, self.handoff, rng, now)
        self.tick_at = NEVER
        self.pending_events: list[Action] = []  # from `record_read`; returned by the next tick

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
        """Returns the term under which to write a prefetch, None if it must not be written.

        The driver calls this immediately before the write, since the lease may have ended in the meantime.
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
        return self.bundle_owner.report_fill(bundle, prefetch, cache, valid_s, now)

    def prefetch_failed(self, prefetch: Prefetch, now: float) -> None:
        """Records that a prefetch was not written or has failed; a later read may start it again."""
        self.detector.record_result(prefetch, False, now)

    def find_cache(self, channel: NameDigest, part: int, now: float) -> NameDigest | None:
        """Returns the digest of the cache that holds a part according to an owner's hint, or None."""
        return self.hints.find(channel, part, now)

    def drain(self, now: float) -> list[Action]:
        """Starts to hand all bundles off, and declines further ones from now on."""
        self.handoff.draining = True
        self._schedule_tick(now)
        return self.handoff.start_handoffs(now)

    def is_drained(self, now: float) -> bool:
        """Returns whether this router may no longer fill any bundle, not even under an old term."""
        return all(self.bundles.active_term(bundle, now) is None for bundle in self.bundles.all)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles one of the `HANDLED_MESSAGES`; messages about bundles of other zones are ignored."""
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
                return self.bundle_owner.acquire(self.bundles.by_lease[lease], event.term, now)
            case LeaseLost(lease=lease) if lease in self.bundles.by_lease:
                return self.bundle_owner.lose(self.bundles.by_lease[lease], event.term, now)
            case HolderObserved(lease=lease) if lease in self.bundles.by_lease:
                self.bundles.by_lease[lease].accept_term(event.term, now)
            case PeerChanged():
                self._peer_changed(event)
        return []

    def tick(self, now: float) -> list[Action]:
        """Updates all bundles, starts the bids that are due, and starts handoffs."""
        if now < self.tick_at:
            return []
        actions = self.pending_events
        self.pending_events = []
        for channel in self.detector.pop_ended(now):
            self.bundles.bundle_of(channel.id).live_channels.discard(channel.id)
        self.hints.drop_expired(now)
        for bundle in self.bundles.all:
            actions += self._update_bundle(bundle, now)
        actions += self.owner_search.start_due_bids(now)
        actions += self.handoff.start_handoffs(now)
        self.tick_at = NEVER if self._is_idle() else now + TICK_INTERVAL_S
        return actions

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        return self.tick_at

    def _handle_report(self, sender: Peer, report: ChannelPartReport, now: float) -> None:
        bundle = self.bundles.bundle_of(report.channel)
        if not bundle.accept_term(report.term, now):
            return
        valid_s = report.valid_ms / 1000
        if valid_s > 0:  # a heartbeat otherwise
            self.hints.add(report.channel, report.part, report.cache, report.term, valid_s, now)
        self.owner_search.observe_owner(bundle, sender, now)

    def _handle_handoff(
        self, sender: Peer, bundle: Bundle, message: HandoffMessage, now: float
    ) -> list[Action]:
        match message:
            case HandoffOffer():
                return self.handoff.handle_offer(sender, bundle, message, now)
            case HandoffReply(term=term) if term == FOLLOW_TERM:
                return self.bundle_owner.handle_follow(sender, bundle, message, now)
            case HandoffReply():
                if not message.accepted and bundle.owner == sender:
                    return self.owner_search.handle_denial(bundle, sender, now)
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

    def _update_bundle(self, bundle: Bundle, now: float) -> list[Action]:
        actions: list[Action] = []
        if bundle.overlap is not None and self.bundles.active_term(bundle, now) is None:
            actions += self.handoff.end_overlap(bundle, now)
        if bundle.takeover is not None:
            actions += self.handoff.update_takeover(bundle, bundle.takeover, now)
        if bundle.term:
            return actions + self.bundle_owner.update_bundle(bundle, now)
        return actions + self.owner_search.update_bundle(bundle, now)

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
