"""Live channels: which router of a plaza alone fills the next part ahead, and which box holds what it filled.

Nobody waits for an owner: without one, or without its word, every router goes the ordinary way. A router that
reads a live channel looks for the owner of its bundle by bidding for the lease, and stops bidding as soon as
it hears who has it. From then on it tells that owner once a second that its word is waited for (an unasked
`HandoffReply`, term 0), so that an owner's word goes to those who read and to nobody else, and those who may
take a bundle over are warm: they read it. An owner that falls silent, or is suspected, is looked for anew.

A bundle is handed on by Offer (asks whether the receiver still reads it), Ready (it does, and its bid waits),
the release of the lease to it, and Took (its first part is filled). `bundles.py` tells what overlaps.

Bounds, by a router: `BIDS` bids a second, `BIDS_BURST` at once, each one election at least (a bid that finds
a holder is taken back; one that waits for a dead holder's lease asks again, within the leases' own pace);
and what `handoff.py` says of moves.
"""

import math
import random
from typing import ClassVar

from paddlequay.cluster.bundles import Bundle, Bundles, LeasesOf
from paddlequay.cluster.handoff import Handoff
from paddlequay.cluster.messages import (
    ChannelPartReport,
    HandoffComplete,
    HandoffOffer,
    HandoffReply,
    OwnerLoad,
    PeerMessage,
)
from paddlequay.cluster.prefetch import Ahead, Boxes, Reads
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
    SendMessage,
    Urgency,
)

LOOK_S = 0.1  # between two looks at bundles and channels
FOLLOW_S = 1.0  # between two words to an owner that it is followed, with one's load
BEAT_S = 0.5  # an owner that has filled nothing says so
SILENT_S = 1.2  # an owner not heard for so long is looked for: well under a lease, over two lost beats
SPREAD_S, CROWD = 0.4, 64.0  # over which those who look for the same owner are spread
DENIED_S = 1.0  # after a router has said that it owns nothing, what acceptors told of it is no word
PATIENCE_S = 0.25  # of a bid that is told of a holder: one acceptor's word may be of an election that fails
BIDS, BIDS_BURST = 10.0, 4.0


class Channels:
    """The part of the cluster that owns live channels; `rng` is seeded anew for each run."""

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (
        ChannelPartReport,
        HandoffOffer,
        HandoffReply,
        HandoffComplete,
        OwnerLoad,
    )

    def __init__(
        self,
        fleet: Fleet,
        bounds: ClusterBounds,
        rule: ChannelRule,
        leases: LeasesOf,
        rng: random.Random,
        now: float,
    ) -> None:
        self.fleet, self.bounds, self.rule, self.leases, self.rng = fleet, bounds, rule, leases, rng
        self.bundles = Bundles(fleet.zone, rule.bundles, bounds, leases)
        self.reads = Reads(fleet.zone, rule)
        self.boxes = Boxes(rule.most)
        self.handoff = Handoff(rule, self.bundles, leases)
        self._tokens, self._filled = BIDS_BURST, now
        self._look = NEVER
        self._news: list[Action] = []  # found while only an answer could be given

    # --- for the driver ---

    def asked(self, name: str, kind: str, part: int, now: float) -> list[Ahead]:
        """A client has asked for a part of an object of a class in `rule.classes`: what to fill ahead now."""
        if kind not in self.rule.classes:
            return []
        self._wake(now)
        channel = self.reads.read(name, kind, part, now)
        bundle = self.bundles.of(channel.number)
        if not channel.live:
            bundle.live.discard(channel.number)
            return []
        term = self.bundles.terms(bundle, now)
        if channel.number not in bundle.live:
            bundle.live.add(channel.number)
            if bundle.term:
                self._news.append(ChannelOwnership(channel.number, bundle.term))
        return [] if term is None else self.reads.due(channel, term, now)

    def may_fill(self, ahead: Ahead, now: float) -> int | None:
        """The term to write a fill under, asked right before writing; None: it must not be written."""
        term = self.bundles.terms(self.bundles.of(ahead.channel), now)
        return term if term == ahead.term else None

    def filled(self, ahead: Ahead, box: NameDigest, now: float) -> list[Action]:
        """A part is filled, in the box of that digest: told to those who follow, unless a later owner is."""
        self.reads.went(ahead.channel, ahead.part, ahead.term, True, now)
        bundle = self.bundles.of(ahead.channel)
        if not bundle.saw(ahead.term, now):
            return []
        life = self.rule.live_s
        self.boxes.told(ahead.channel, ahead.part, box, ahead.term, life, now)
        bundle.rate.add(now)
        bundle.told = now
        word = ChannelPartReport(ahead.channel, ahead.term, ahead.part, box, int(life * 1000))
        # Routine: under the bound on bytes a hint yields to all that decides something, and to a newer one.
        out: list[Action] = [SendMessage(peer, word, Urgency.ROUTINE) for peer in bundle.following(now)]
        if bundle.former is not None and ahead.term == bundle.term:
            took = HandoffComplete(bundle.lease, ahead.term, bundle.former.term)
            out.append(SendMessage(bundle.former.former, took, Urgency.LEASE))
            bundle.former = None
        return out

    def failed(self, ahead: Ahead, now: float) -> None:
        """A fill ahead was not written, or brought nothing: the next read tries again."""
        self.reads.went(ahead.channel, ahead.part, ahead.term, False, now)

    def carried(self, channel: NameDigest, part: int, now: float) -> NameDigest | None:
        """The digest of the box that holds a part, as an owner said lately; a hint."""
        return self.boxes.find(channel, part, now)

    def drain(self, now: float) -> list[Action]:
        """Give all bundles to others, and take no more."""
        self.handoff.draining = True
        self._wake(now)
        return self.handoff.moves(now)

    def drained(self, now: float) -> bool:
        """Nothing is owned any more, nor filled under an old term."""
        return all(self.bundles.terms(bundle, now) is None for bundle in self.bundles.all)

    # --- as a part ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        match message:
            case ChannelPartReport():
                bundle = self.bundles.of(message.channel)
                if bundle.saw(message.term, now):
                    life = message.valid_ms / 1000
                    if life > 0:  # else it only says that the owner is there
                        self.boxes.told(message.channel, message.part, message.cache, message.term, life, now)
                    self._owner(bundle, sender, now)
            case OwnerLoad():
                self.handoff.loads[sender] = (message.rate_milli / 1000, now)
            case HandoffOffer() | HandoffReply() | HandoffComplete():
                known = self.bundles.by_lease.get(message.bundle)
                if isinstance(message, HandoffOffer):
                    return self.handoff.offered(sender, known, message, now)
                if known is not None and isinstance(message, HandoffReply):
                    return self._ready(sender, known, message, now)
                if (
                    known is not None
                    and isinstance(message, HandoffComplete)
                    and known.saw(message.term, now)
                ):
                    self._owner(known, sender, now)
                    return self.handoff.over(known, now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        match event:
            case LeaseAcquired(lease=lease) if lease in self.bundles.by_lease:
                return self._taken(self.bundles.by_lease[lease], event.term, now)
            case LeaseLost(lease=lease) if lease in self.bundles.by_lease:
                return self._lost(self.bundles.by_lease[lease], event.term, now)
            case HolderObserved(lease=lease) if lease in self.bundles.by_lease:
                self.bundles.by_lease[lease].saw(event.term, now)
            case PeerChanged():
                if event.state is PeerState.ALIVE:
                    self.handoff.away.discard(event.peer)
                elif event.state is not PeerState.UNKNOWN:
                    self.handoff.away.add(event.peer)
        return []

    def tick(self, now: float) -> list[Action]:
        if now < self._look:
            return []
        out, self._news = self._news, []
        for channel in self.reads.ended(now):
            self.bundles.of(channel.number).live.discard(channel.number)
        self.boxes.end(now)
        for bundle in self.bundles.all:
            out += self._tend(bundle, now)
        out += self._bids(now)
        out += self.handoff.moves(now)
        idle = not self.reads.table and not self.boxes.table
        busy = any(bundle.term or bundle.wanted or bundle.overlap for bundle in self.bundles.all)
        self._look = NEVER if idle and not busy and not self._news else now + LOOK_S
        return out

    def due(self) -> float:
        return self._look

    # --- finding the owner ---

    def _owner(self, bundle: Bundle, peer: Peer, now: float) -> None:
        if not bundle.term:
            if bundle.owner != peer:
                bundle.followed = -NEVER
            bundle.owner, bundle.heard, bundle.bids_from = peer, now, None

    def _tend(self, bundle: Bundle, now: float) -> list[Action]:
        """One look at a bundle."""
        out: list[Action] = []
        if bundle.overlap is not None and self.bundles.terms(bundle, now) is None:
            out += self.handoff.over(bundle, now)
        if bundle.taking is not None:
            out += self.handoff.take(bundle, bundle.taking, now)
        if bundle.term:
            return out + self._own(bundle, now)
        if bundle.wanted and bundle.taking is None:
            out += self._bidding(bundle, now)
        if not bundle.live or self.handoff.draining or bundle.overlap is not None:
            bundle.bids_from = None
            return out
        holder = self._holder(bundle, now)
        if bundle.owner is None and holder is not None and not bundle.wanted:
            self._owner(bundle, holder, now)
        owner = bundle.owner
        if owner is not None and now - bundle.followed >= FOLLOW_S:
            bundle.followed = now
            out.append(SendMessage(owner, HandoffReply(bundle.lease, 0, 1), Urgency.CHANGE))
            out.append(SendMessage(owner, self.handoff.said(now), Urgency.ROUTINE))
        lost = owner is None or owner in self.handoff.away or now - bundle.heard >= SILENT_S
        # A lost owner's lease runs on for a while: a bid before its end would find it, and nothing else.
        if lost and bundle.bids_from is None and not bundle.wanted and holder is None:
            bundle.bids_from = now + self.spread()
        return out

    def _holder(self, bundle: Bundle, now: float) -> Peer | None:
        """Who has the lease as acceptors said, and has not denied it lately."""
        holder = self.leases.holder(bundle.lease, now)
        return None if holder == bundle.denied and now - bundle.denied_at < DENIED_S else holder

    def spread(self) -> float:
        """Seconds to wait before a bid, so drawn that of any number of routers up to `CROWD` few are first.

        Evenly drawn waits of many would be closer to each other than an election takes, and all would be
        lost to each other (as with suppressed feedback: Nonnenmacher and Biersack, 1999).
        """
        return SPREAD_S * max(0.0, 1 + math.log(1 - self.rng.random()) / math.log(CROWD))

    def _bidding(self, bundle: Bundle, now: float) -> list[Action]:
        """Take a bid back that has found another's lease, or that nobody here needs any more."""
        holder = self._holder(bundle, now) if now - bundle.bid >= PATIENCE_S else None
        if holder is None and bundle.live and not self.handoff.draining:
            return []
        bundle.wanted = False
        if holder is not None and holder != bundle.owner:
            self._owner(bundle, holder, now)
        return self.leases.release(bundle.lease, now)

    def _bids(self, now: float) -> list[Action]:
        """Bid for what has no owner, at a bounded pace, in no order."""
        out: list[Action] = []
        self._tokens = min(BIDS_BURST, self._tokens + max(0.0, now - self._filled) * BIDS)
        self._filled = now
        ready = [each for each in self.bundles.all if each.bids_from is not None and now >= each.bids_from]
        self.rng.shuffle(ready)
        for bundle in ready[: int(self._tokens)]:
            self._tokens -= 1
            bundle.bids_from, bundle.wanted, bundle.bid = None, True, now
            out += self.leases.request(bundle.lease, now)
        return out

    def _ready(self, sender: Peer, bundle: Bundle, message: HandoffReply, now: float) -> list[Action]:
        """A follower's word, its answer that this router has nothing to follow, or the answer to an offer."""
        if message.term == 0:
            if bundle.term and message.accepted:
                if sender not in bundle.followers:
                    bundle.told = -NEVER  # it is told at the next look whom it has found
                bundle.followers[sender] = now
            elif message.accepted and bundle.overlap is None:
                return [
                    SendMessage(sender, HandoffReply(bundle.lease, max(1, bundle.seen), 0), Urgency.CHANGE)
                ]
            return []
        if not message.accepted and bundle.owner == sender:
            # It is the owner no more, or what an acceptor told was of a lost election. Who has followed it is
            # asked for at once; where nobody has, a bid comes by itself.
            bundle.owner, bundle.denied, bundle.denied_at = None, sender, now
            return self.leases.query_holder(bundle.lease, now)
        return self.handoff.ready(sender, bundle, message, now)

    # --- owning ---

    def _taken(self, bundle: Bundle, term: int, now: float) -> list[Action]:
        bundle.saw(term, now)
        bundle.term, bundle.taken, bundle.told = term, now, -NEVER
        bundle.owner, bundle.bids_from, bundle.overlap = None, None, None
        bundle.former, bundle.taking = bundle.taking, None
        self._wake(now)
        return [ChannelOwnership(channel, term) for channel in sorted(bundle.live)]

    def _lost(self, bundle: Bundle, term: int, now: float) -> list[Action]:
        if bundle.term == term:
            bundle.term, bundle.offered, bundle.former = 0, None, None
            bundle.heard = now
        return [ChannelOwnership(channel, 0) for channel in sorted(bundle.live)]

    def _own(self, bundle: Bundle, now: float) -> list[Action]:
        """Say that the owner is there; give up what nobody reads here; go on with an offer."""
        if not bundle.live or bundle.passed(bundle.term, now):
            return self.handoff.give_up(bundle, now)
        out: list[Action] = []
        if now - bundle.told >= BEAT_S:
            bundle.told = now
            # No box, and no life: it only says that the owner is there.
            said = ChannelPartReport(min(bundle.live), bundle.term, 0, 0, 0)
            out += [SendMessage(peer, said, Urgency.ROUTINE) for peer in bundle.following(now)]
        offered = bundle.offered
        return out if offered is None else out + self.handoff.offering(bundle, offered, now)

    def _wake(self, now: float) -> None:
        self._look = min(self._look, now + LOOK_S)
