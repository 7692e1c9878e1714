"""The bundles of live channels: a router's state of each, and the term under which it may fill parts now.

Channels share leases: each channel belongs to one bundle of its zone, and the owner of a bundle holds the
bundle's lease. After a handoff the previous owner may still fill under its old, lower term for
`bounds.overlap_s` seconds, counted from just before it released the lease and shortened by the clock drift,
and only until it receives a higher term. The successor can acquire the lease only after the release, so two
owners overlap for less than that, whatever their clocks do. A lease held for less than twice that time is
handed off without an overlap, so that three owners never overlap. A lease that is lost in any other way ends
the ownership at once, because `LeaseTerms.holds` is called before each use.
"""

from dataclasses import dataclass, field
from typing import Protocol

from paddlequay.cluster.prefetch import DecayingRate, bundle_lease
from paddlequay.cluster.types import Action, ClusterBounds, NameDigest, Peer

FOLLOWER_TIMEOUT_S = 3.5  # time for three follow messages, of which two may be lost
TERM_RETENTION_S = 30.0  # then a higher term is ignored: acceptors that lost their state issue lower ones
LONG_AGO_S = -1e9  # earlier than any clock reading


class LeaseTerms(Protocol):
    """The methods of `cluster.leases.Leases` that channels use."""

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease until it is held or released."""
        ...

    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]:
        """Releases a lease or withdraws a bid; a named successor may then acquire the lease."""
        ...

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease now, None if it does not."""
        ...

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns the holder that acceptors last reported, which may be outdated."""
        ...

    def query_holder(self, lease: NameDigest, now: float) -> list[Action]:
        """Asks the acceptors for the holder."""
        ...


@dataclass(slots=True)
class PendingOffer:
    """An owner's offer of a bundle to a receiver."""

    receiver: Peer
    started_at: float
    last_sent_at: float


@dataclass(slots=True)
class Takeover:
    """A takeover in progress, as the receiver of the offer tracks it."""

    previous_owner: Peer
    term: int  # of the previous owner
    started_at: float
    ready: bool = False  # the bid is queued at the acceptors until the previous owner releases the lease


@dataclass(slots=True)
class Overlap:
    """The previous owner's permission to fill under its old term for a short time after a handoff."""

    term: int
    valid_until: float


@dataclass(slots=True)
class Bundle:
    """A router's state of one bundle. Times are by the router's clock; the fleet's size bounds the peers."""

    lease: NameDigest
    live_channels: set[NameDigest] = field(default_factory=set)  # read at this router
    highest_term: int = 0  # of any owner known so far
    highest_term_at: float = 0.0
    # used while another router, or none, owns the bundle
    owner: Peer | None = None
    owner_last_seen: float = 0.0
    follow_sent_at: float = LONG_AGO_S
    bid_at: float | None = None  # when a bid is planned
    bid_pending: bool = False
    bid_started_at: float = 0.0
    denied_by: Peer | None = None  # the peer that last denied being the owner
    denied_at: float = 0.0
    # used while this router owns the bundle
    term: int = 0  # 0: not the owner
    acquired_at: float = 0.0
    last_report_at: float = 0.0
    rate: DecayingRate = field(default_factory=DecayingRate)  # parts prefetched per second
    followers: dict[Peer, float] = field(default_factory=dict)  # time of the last follow message by peer
    declined: dict[Peer, float] = field(default_factory=dict)  # time of the declined offer by peer
    offer: PendingOffer | None = None
    overlap: Overlap | None = None
    # used during a takeover by this router, and until it has filled its first part
    takeover: Takeover | None = None
    completed_takeover: Takeover | None = None

    def accept_term(self, term: int, now: float) -> bool:
        """Records a received term and returns True; returns False, without a change, if it is superseded."""
        if self.is_superseded(term, now):
            return False
        self.highest_term = term
        self.highest_term_at = now
        return True

    def is_superseded(self, term: int, now: float) -> bool:
        """Returns whether a higher term than this was received within the last `TERM_RETENTION_S`."""
        return self.highest_term > term and now - self.highest_term_at <= TERM_RETENTION_S

    def current_followers(self, now: float) -> list[Peer]:
        """Returns the peers that followed within `FOLLOWER_TIMEOUT_S`, sorted, and removes the others."""
        expired = [peer for peer, at in self.followers.items() if now - at > FOLLOWER_TIMEOUT_S]
        for peer in expired:
            del self.followers[peer]
        return sorted(self.followers)


class Bundles:
    """All bundles of a zone, and the decision whether this router may fill parts of one now."""

    def __init__(self, zone: str, count: int, bounds: ClusterBounds, leases: LeaseTerms) -> None:
        self.bounds = bounds
        self.leases = leases
        self.all = [Bundle(bundle_lease(zone, number)) for number in range(count)]
        self.by_lease = {bundle.lease: bundle for bundle in self.all}

    def bundle_of(self, channel: NameDigest) -> Bundle:
        """Returns the bundle that a channel belongs to."""
        return self.all[channel % len(self.all)]

    def active_term(self, bundle: Bundle, now: float) -> int | None:
        """Returns the term under which this router may fill parts now, None if it may not.

        That is the term of its lease, or its old term during an overlap, unless a higher term was received.
        """
        term = self.leases.holds(bundle.lease, now)
        if term is not None:
            return None if bundle.is_superseded(term, now) else term
        overlap = bundle.overlap
        if overlap is None or now >= overlap.valid_until:
            return None
        return None if bundle.is_superseded(overlap.term, now) else overlap.term

    def owned(self) -> list[Bundle]:
        """Returns the bundles whose lease was acquired and is not known to be lost."""
        return [bundle for bundle in self.all if bundle.term]

    def release(self, bundle: Bundle, now: float, successor: Peer | None) -> list[Action]:
        """Releases a bundle's lease. A successor starts with an overlap if `may_overlap` permits one."""
        if successor is not None and self.may_overlap(bundle, now):
            bundle.overlap = Overlap(bundle.term, self.overlap_end(now))
        bundle.term = 0
        bundle.offer = None
        bundle.bid_pending = False
        bundle.declined.clear()
        bundle.owner = successor
        bundle.owner_last_seen = now
        return self.leases.release(bundle.lease, now, successor)

    def may_overlap(self, bundle: Bundle, now: float) -> bool:
        """Returns whether this router holds the lease and any earlier overlap has certainly ended."""
        holds_lease = self.leases.holds(bundle.lease, now) == bundle.term
        return holds_lease and now - bundle.acquired_at >= 2 * self.bounds.overlap_s

    def overlap_end(self, now: float) -> float:
        """Returns the end of an overlap that starts now, shortened because this clock may be the slowest."""
        return now + self.bounds.overlap_s * (1 - self.bounds.drift_ratio)
