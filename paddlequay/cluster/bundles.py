"""The bundles of live channels: a router's state of each, and the term under which it may fill now.

Channels share leases: each belongs to one bundle of its zone, and the owner of a bundle holds the bundle's
lease. An owner that has handed its lease on may fill under its old, lower term for `bounds.overlap_s` seconds
from before the release, measured by its own clock less the drift, and only until it receives a higher term.
The successor can take the lease only after the release, so two owners overlap for less than that whatever
their clocks do. A lease held for less than two overlaps is handed on without one, so that three never
overlap. A lease that is lost in any other way ends at once: `LeaseTerms.holds` is asked at each use.
"""

from dataclasses import dataclass, field
from typing import Protocol

from paddlequay.cluster.prefetch import DecayingRate, bundle_lease
from paddlequay.cluster.types import Action, ClusterBounds, NameDigest, Peer

FOLLOWER_TIMEOUT_S = 3.5  # three follow messages: two may be lost
TERM_MEMORY_S = 30.0  # an older higher term binds no more: acceptors can lose their memory as well
LONG_AGO = -1e9  # seconds; earlier than any clock reading


class LeaseTerms(Protocol):
    """The calls of `cluster.leases.Leases` that channels use."""

    def request(self, lease: NameDigest, now: float) -> list[Action]:
        """Bids for a lease until it is held or released."""
        ...

    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]:
        """Gives a lease or a bid back, for a successor to take if one is named."""
        ...

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease at this moment, None if it does not."""
        ...

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns the holder that acceptors reported last, a hint."""
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
    """The receiver's side of an offer."""

    previous_owner: Peer
    term: int  # of the previous owner
    started_at: float
    ready: bool = False  # the bid waits at the acceptors for the release


@dataclass(slots=True)
class Overlap:
    """The time after a handoff in which the previous owner may still fill under its old term."""

    term: int
    valid_until: float


@dataclass(slots=True)
class Bundle:
    """A router's state of one bundle. Times are by the router's clock; peers are bounded by the fleet."""

    lease: NameDigest
    live_channels: set[NameDigest] = field(default_factory=set)  # read at this router
    highest_term: int = 0  # of any owner that was heard of
    highest_term_at: float = 0.0
    # while another router owns it, or none
    owner: Peer | None = None
    owner_last_seen: float = 0.0
    follow_sent_at: float = LONG_AGO
    bid_at: float | None = None  # the planned time of a bid
    bid_pending: bool = False
    bid_started_at: float = 0.0
    denied_by: Peer | None = None  # the peer that last denied to be the owner
    denied_at: float = 0.0
    # while this router owns it
    term: int = 0  # 0: not the owner
    acquired_at: float = 0.0
    last_report_at: float = 0.0
    rate: DecayingRate = field(default_factory=DecayingRate)  # parts prefetched a second
    followers: dict[Peer, float] = field(default_factory=dict)  # time of the last follow message, by peer
    declined: dict[Peer, float] = field(default_factory=dict)  # time of the declined offer, by peer
    offer: PendingOffer | None = None
    overlap: Overlap | None = None
    # while this router takes it over, and until its first part is filled
    takeover: Takeover | None = None
    completed_takeover: Takeover | None = None

    def accept_term(self, term: int, now: float) -> bool:
        """Notes a term that was heard of. Returns False if it is superseded, and then changes nothing."""
        if self.is_superseded(term, now):
            return False
        self.highest_term = term
        self.highest_term_at = now
        return True

    def is_superseded(self, term: int, now: float) -> bool:
        """Returns whether a later owner than the one of this term was heard of lately."""
        return self.highest_term > term and now - self.highest_term_at <= TERM_MEMORY_S

    def current_followers(self, now: float) -> list[Peer]:
        """Returns the peers that followed within `FOLLOWER_TIMEOUT_S`, in order, and forgets the others."""
        expired = [peer for peer, at in self.followers.items() if now - at > FOLLOWER_TIMEOUT_S]
        for peer in expired:
            del self.followers[peer]
        return sorted(self.followers)


class Bundles:
    """All bundles of a zone, and the decision whether this router may fill at this moment."""

    def __init__(self, zone: str, count: int, bounds: ClusterBounds, leases: LeaseTerms) -> None:
        self.bounds = bounds
        self.leases = leases
        self.all = [Bundle(bundle_lease(zone, number)) for number in range(count)]
        self.by_lease = {bundle.lease: bundle for bundle in self.all}

    def bundle_of(self, channel: NameDigest) -> Bundle:
        """Returns the bundle that a channel belongs to."""
        return self.all[channel % len(self.all)]

    def active_term(self, bundle: Bundle, now: float) -> int | None:
        """Returns the term under which this router may fill at this moment, None if it may not.

        That is the term of its lease, or its old term during an overlap, unless a higher one was heard of.
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
        """Gives a bundle's lease back; to a successor with an overlap, if `may_overlap` permits one."""
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
        """Returns whether the lease is held and the owner before this router has certainly stopped."""
        holds_lease = self.leases.holds(bundle.lease, now) == bundle.term
        return holds_lease and now - bundle.acquired_at >= 2 * self.bounds.overlap_s

    def overlap_end(self, now: float) -> float:
        """Returns when an overlap that starts now ends: shortened, since this clock may be the slowest."""
        return now + self.bounds.overlap_s * (1 - self.bounds.drift_ratio)
