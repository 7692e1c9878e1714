"""The holder's side of a limit: who needs how much, what is out and until when, and what may be granted.

A grant is out until its time of issue + life * `late`, by the holder's clock, whether it ever arrived: its
receiver counts `life` from when it sent its Need, which was before, and ends early by the drift. A lower
share does not shorten an older one; a higher share is made of what is free. A new holder knows nothing of its
predecessor's grants: all were issued before it took the lease, and it waits until the last of them has ended.
Whether the lease is held is asked at the very moment of issuing. What is granted here and the time it takes
to leave the process do not matter: the life counts from the Need.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import NOTHING, Share, Whole, divide, divide_burst
from paddlequay.cluster.types import NEVER, ClusterBounds, NameDigest, Peer

Holds = Callable[[NameDigest, float], int | None]  # the term of a lease that this router holds at this moment

BOOKS_MOST = 4096  # limits with demand at a time; past it a router that asks stays at its floor
OUT_MOST = 16  # grants to one router that are alive and none of which covers another
TURN = 8.0  # grant lives: where the burst is too small for all that ask at once, so long for each turn
REUSED = 1 / 30  # of a grant's life that a division is used again, so that Needs of many cost little


@dataclass(frozen=True, slots=True)
class Kept:
    """A limit's rule as the cluster keeps it."""

    lease: NameDigest
    whole: Whole
    life: float  # of its grants, seconds


@dataclass(slots=True)
class Asker:
    """A router that has asked in this term."""

    incarnation: int
    number: int
    want: int  # thousandths beside its floor
    until: float


@dataclass(slots=True)
class Out:
    """What one process of a router may have, for all that the holder knows."""

    grants: list[tuple[float, Share]] = field(default_factory=list)  # never changed in place
    known: list[tuple[float, Share]] | None = None  # those of which `largest` is, until the first ends
    largest: Share = NOTHING
    ends: float = 0.0

    def most(self, now: float) -> Share:
        """The largest of those that live. Asked for each router at each Need, so it is kept."""
        if self.grants is self.known and now < self.ends:
            return self.largest
        self.grants = [each for each in self.grants if each[0] > now]
        share = NOTHING
        for _, each in self.grants:
            share = share.most(each)
        self.known, self.largest = self.grants, share
        self.ends = min((until for until, _ in self.grants), default=NEVER)
        return share

    def add(self, share: Share, until: float) -> None:
        """One that another covers in all counts no more; too many are two taken for the larger and longer."""
        grants = [each for each in self.grants if each[1].least(share) != each[1]]
        if len(grants) >= OUT_MOST:
            share = share.most(grants.pop()[1])
        self.grants = [*grants, (until, share)]


@dataclass(slots=True)
class Book:
    """One limit's demand and grants."""

    askers: dict[Peer, Asker] = field(default_factory=dict)
    out: dict[tuple[Peer, int], Out] = field(default_factory=dict)
    shares: dict[Peer, Share] = field(default_factory=dict)
    fresh: float = 0.0  # until when `shares` is used


class Granter:
    """Grants shares of the limits whose leases this router holds. Pure; there is nothing to do in time."""

    def __init__(self, bounds: ClusterBounds, size: int, holds: Holds, books_most: int = BOOKS_MOST) -> None:
        self.bounds = bounds
        self.size = size
        self.holds = holds
        self.books_most = books_most
        self.books: OrderedDict[NameDigest, Book] = OrderedDict()
        self.terms: dict[
            NameDigest, tuple[int, float]
        ] = {}  # lease: the term, and when it was first seen here

    def late(self, life: float) -> float:
        """What has to be waited for a life that another counts."""
        return life * (1 + 2 * self.bounds.drift_ratio)

    def taken(self, lease: NameDigest, term: int, now: float) -> None:
        """This router holds a lease under a term, whose grants it knows all; of older ones it knows none."""
        if lease not in self.terms or self.terms[lease][0] != term:
            self.terms[lease] = (term, now)

    def holding(self, lease: NameDigest, now: float) -> int | None:
        """The term under which grants may be issued at this moment, or None."""
        return self.holds(lease, now)

    def waits(self, kept: Kept) -> float:
        """How long after taking the lease a holder issues nothing."""
        return self.late(kept.life)

    def need(
        self, kept: Kept, sender: Peer, incarnation: int, message: QuotaRequest, now: float
    ) -> QuotaGrant | None:
        """Answer a Need: with a share, maybe of nothing, or not at all."""
        term = self.holding(kept.lease, now)
        if term is None or message.term > term or not 0 <= sender < self.size:
            return None
        self.taken(kept.lease, term, now)
        book = self.book(message.limit, now)
        if book is None or not self.noted(book, kept, sender, incarnation, message, now):
            return None
        if now < self.terms[kept.lease][1] + self.waits(kept):
            return None
        share = self.granted(book, kept, sender, incarnation, now)
        return QuotaGrant(
            message.limit, message.request_number, term, share.milli, share.burst, int(kept.life * 1000)
        )

    def granted(self, book: Book, kept: Kept, sender: Peer, incarnation: int, now: float) -> Share:
        """What the sender gets now: its share as far as it is free, written down as out."""
        wanted = self.divided(book, kept, now).get(sender, NOTHING)
        free = kept.whole.pool.without(self.others(book, sender, incarnation, now))
        share = wanted.least(free)
        unit = kept.whole.unit
        if share.burst < kept.whole.lacks or share.milli < unit:
            share = NOTHING
        share = Share(share.milli // unit * unit, share.burst)
        book.out.setdefault((sender, incarnation), Out()).add(share, now + self.late(kept.life))
        return share

    def others(self, book: Book, sender: Peer, incarnation: int, now: float) -> Share:
        """What is out, but to this process itself: a former process of the same router counts too."""
        milli = burst = 0
        own = (sender, incarnation)
        for key, out in list(book.out.items()):
            most = out.most(now)
            if not out.grants:
                del book.out[key]
            elif key != own:
                milli += most.milli
                burst += most.burst
        return Share(milli, burst)

    def noted(
        self, book: Book, kept: Kept, sender: Peer, incarnation: int, message: QuotaRequest, now: float
    ) -> bool:
        """Write down what a router needs; False for a Need that is no newer than the last."""
        want = max(0, min(message.amount_milli, kept.whole.limit.milli) - kept.whole.floor.milli)
        asker = book.askers.get(sender)
        if asker is not None and asker.until <= now:
            asker = None
        if asker is not None and (incarnation, message.request_number) <= (asker.incarnation, asker.number):
            return False
        if asker is None or abs(want - asker.want) * 8 > asker.want:
            book.fresh = now  # somebody comes, or needs another share: divide anew
        # A Need that asks is worth something beside the floor, even where it names no more than that: bursts.
        book.askers[sender] = Asker(
            incarnation, message.request_number, max(want, kept.whole.unit), now + kept.life
        )
        return True

    def divided(self, book: Book, kept: Kept, now: float) -> Mapping[Peer, Share]:
        """Max-min shares of the pool among those who have asked within a grant's life."""
        if now < book.fresh:
            return book.shares
        book.askers = {peer: asker for peer, asker in book.askers.items() if asker.until > now}
        wants = {peer: asker.want for peer, asker in book.askers.items()}
        whole = kept.whole
        if whole.lacks:
            # The burst is too small for a request of each: so many as it is enough for, by turns.
            served = max(1, whole.pool.burst // whole.lacks)
            order = sorted(wants)
            if served < len(order):
                first = int(now / (TURN * kept.life)) * served % len(order)
                order = (order[first:] + order[:first])[:served]
            wants = {peer: wants[peer] for peer in order}
        rates = divide(whole.pool.milli, wants, whole.unit)
        bursts = divide_burst(whole.pool.burst, rates)
        book.shares = {peer: Share(milli, bursts.get(peer, 0)) for peer, milli in rates.items()}
        book.fresh = now + kept.life * REUSED
        return book.shares

    def book(self, limit: NameDigest, now: float) -> Book | None:
        """The book of a limit; a full set lets go of one that has nothing out, or opens none."""
        book = self.books.get(limit)
        if book is not None:
            self.books.move_to_end(limit)
            return book
        if len(self.books) >= self.books_most:
            oldest = next(iter(self.books))
            last = self.books[oldest]
            if any(out.most(now).milli for out in last.out.values()):
                return None
            del self.books[oldest]
        book = self.books[limit] = Book()
        return book
