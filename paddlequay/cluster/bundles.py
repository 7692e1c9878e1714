"""Bundles of channels: what a router knows of each, and what it may do in it at this moment.

A bundle's owner holds its lease. One that has handed its lease on may go on under its old, lower term for
`bounds.overlap_s` from before it released, by its own clock less the drift, and not once it has heard of a
higher term. Its heir can only take the lease after the release, so two owners overlap for less than that
whatever their clocks do; and nobody hands on with an overlap what it has held for less than two of them, so
that there is never a third. A lease that is lost any other way ends at once: `holds` is asked at each use.
"""

from dataclasses import dataclass, field
from typing import Protocol

from paddlequay.cluster.prefetch import Rate, lease_of
from paddlequay.cluster.types import Action, ClusterBounds, NameDigest, Peer

FOLLOWED_S = 3.5  # an owner counts on a follower so long: two words may be lost
TERM_KEPT = 30.0  # after it was last heard a higher term binds no more: votes' memory can be lost as well


class LeasesOf(Protocol):
    """What is asked of leases (`cluster.leases.Leases`)."""

    def request(self, lease: NameDigest, now: float) -> list[Action]: ...
    def release(self, lease: NameDigest, now: float, successor: Peer | None = None) -> list[Action]: ...
    def holds(self, lease: NameDigest, now: float) -> int | None: ...
    def holder(self, lease: NameDigest, now: float) -> Peer | None: ...
    def query_holder(self, lease: NameDigest, now: float) -> list[Action]: ...


@dataclass(slots=True)
class Offered:
    """By the owner: to whom, since when, and when it was last said."""

    to: Peer
    since: float
    said: float


@dataclass(slots=True)
class Taking:
    """By who was offered a bundle."""

    former: Peer
    term: int
    since: float
    ready: bool = False


@dataclass(slots=True)
class Overlap:
    """After a lease was handed on: until when its old term still fills."""

    term: int
    until: float


@dataclass(slots=True)
class Bundle:
    """One bundle. Times are by the own clock; peers in its tables are bounded by the fleet."""

    lease: NameDigest
    live: set[NameDigest] = field(default_factory=set)  # channels that are read here
    seen: int = 0  # the highest term heard of
    seen_at: float = 0.0
    # another router's
    owner: Peer | None = None
    heard: float = 0.0  # its last word, or when it was found
    followed: float = -1e9  # when it was last told that its word is waited for
    bids_from: float | None = None  # no bid before; None: nothing to bid for
    wanted: bool = False
    bid: float = 0.0  # when the bid began
    denied: Peer | None = None  # said that it is not the owner
    denied_at: float = 0.0
    # own
    term: int = 0
    taken: float = 0.0
    told: float = 0.0
    rate: Rate = field(default_factory=Rate)
    followers: dict[Peer, float] = field(default_factory=dict)
    refused: dict[Peer, float] = field(default_factory=dict)
    offered: Offered | None = None
    overlap: Overlap | None = None
    # to be taken over, or just taken over
    taking: Taking | None = None
    former: Taking | None = None

    def saw(self, term: int, now: float) -> bool:
        """A term was heard of: False where it is over."""
        if self.passed(term, now):
            return False
        self.seen, self.seen_at = term, now
        return True

    def passed(self, term: int, now: float) -> bool:
        """A later owner than the one of this term has been heard of."""
        return self.seen > term and now - self.seen_at <= TERM_KEPT

    def following(self, now: float) -> list[Peer]:
        """Who waits for the owner's word."""
        for peer in [peer for peer, at in self.followers.items() if now - at > FOLLOWED_S]:
            del self.followers[peer]
        return sorted(self.followers)


class Bundles:
    """All bundles of a plaza, and the one question at the moment of use."""

    def __init__(self, zone: str, count: int, bounds: ClusterBounds, leases: LeasesOf) -> None:
        self.bounds, self.leases = bounds, leases
        self.all = [Bundle(lease_of(zone, number)) for number in range(count)]
        self.by_lease = {bundle.lease: bundle for bundle in self.all}

    def of(self, channel: NameDigest) -> Bundle:
        return self.all[channel % len(self.all)]

    def terms(self, bundle: Bundle, now: float) -> int | None:
        """Under which term this router may fill at this moment."""
        term = self.leases.holds(bundle.lease, now)
        if term is not None:
            return None if bundle.passed(term, now) else term
        overlap = bundle.overlap
        if overlap is None or now >= overlap.until or bundle.passed(overlap.term, now):
            return None
        return overlap.term

    def owned(self) -> list[Bundle]:
        """Those whose lease was taken and not known to be lost."""
        return [bundle for bundle in self.all if bundle.term]

    def release(self, bundle: Bundle, now: float, heir: Peer | None) -> list[Action]:
        """Give the lease back; to an heir with an overlap, where nobody can be left over from before."""
        if heir is not None and self.settled(bundle, now):
            bundle.overlap = Overlap(bundle.term, self.overlap_ends(now))
        bundle.term, bundle.offered, bundle.wanted = 0, None, False
        bundle.refused.clear()
        bundle.owner, bundle.heard = heir, now
        return self.leases.release(bundle.lease, now, heir)

    def settled(self, bundle: Bundle, now: float) -> bool:
        """The one before has stopped by now, and the lease is held."""
        held = self.leases.holds(bundle.lease, now)
        return held == bundle.term and now - bundle.taken >= 2 * self.bounds.overlap_s

    def overlap_ends(self, now: float) -> float:
        return now + self.bounds.overlap_s * (1 - self.bounds.drift_ratio)
