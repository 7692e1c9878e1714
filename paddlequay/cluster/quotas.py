"""Shares of a limit: what each router has for good, what is granted beside it, and how that is divided.

All amounts are whole thousandths of a request, so that sums are exact: the floors of all routers and the pool
that grants come out of are the limit, to the last thousandth.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from paddlequay.cluster.messages import MAX_TEXT_BYTES
from paddlequay.cluster.settings import LimitRule, Mode

REQUEST = 1000  # thousandths


@dataclass(frozen=True, slots=True)
class Share:
    """A part of a limit: a second, and at once; of a limit on places the first are the places."""

    milli: int = 0
    burst: int = 0

    def least(self, other: "Share") -> "Share":
        return Share(min(self.milli, other.milli), min(self.burst, other.burst))

    def most(self, other: "Share") -> "Share":
        return Share(max(self.milli, other.milli), max(self.burst, other.burst))

    def plus(self, other: "Share") -> "Share":
        return Share(self.milli + other.milli, self.burst + other.burst)

    def without(self, other: "Share") -> "Share":
        """What is left, never below nothing."""
        return Share(max(0, self.milli - other.milli), max(0, self.burst - other.burst))


NOTHING = Share()


@dataclass(frozen=True, slots=True)
class Whole:
    """A limit as it is divided: `floor` for each router, `pool` for grants, `kept` by one that is cut off.

    limit = size * floor + pool. With `Mode.OPEN`, `kept` is (over - 1) * limit / size: whoever is cut off,
    floors and living grants are the limit at most and what all routers can keep is (over - 1) * limit at
    most, so that the whole is over * limit at most without anybody knowing who has kept what.
    """

    limit: Share
    floor: Share
    pool: Share
    kept: Share
    unit: int  # grants are multiples: a thousandth a second, or a place

    @property
    def lacks(self) -> int:
        """How much burst a router needs beside its floor to let a single request through."""
        return max(0, REQUEST - self.floor.burst) if self.unit == 1 else 0


def whole(rule: LimitRule, size: int) -> Whole:
    """A rule's parts over `size` routers. Raises ValueError where the rule says nothing that can be kept.

    A floor whose burst is less than a request would admit nothing for ever: there is none then, and all goes
    to the pool. Whoever wants floors of a rate sets a burst of `size / floor` requests at least.
    """
    if (rule.rate is None) == (rule.at_once is None):
        raise ValueError(f"limit {rule.name}: either a rate or a number at once")
    if not 0 <= rule.floor <= 1 or rule.over < 1 or size < 1 or not 0 < len(rule.name) <= MAX_TEXT_BYTES:
        raise ValueError(f"limit {rule.name}: floor, over or name out of bounds")
    spare = rule.over - 1 if rule.mode is Mode.OPEN else 0.0
    if rule.at_once is not None:
        if rule.at_once < 1:
            raise ValueError(f"limit {rule.name}: less than one at once")
        places = rule.at_once
        each = min(int(places * rule.floor), places) // size
        kept = int(places * spare) // size
        return Whole(
            Share(places * REQUEST),
            Share(each * REQUEST),
            Share((places - each * size) * REQUEST),
            Share(kept * REQUEST),
            REQUEST,
        )
    rate = rule.rate or 0.0
    if rate <= 0 or rule.burst < 1:
        raise ValueError(f"limit {rule.name}: a rate above 0 and a burst of 1 at least")
    limit = Share(int(rate * REQUEST), int(rule.burst * REQUEST))
    floor = Share(
        min(int(limit.milli * rule.floor), limit.milli) // size,
        min(int(limit.burst * rule.floor), limit.burst) // size,
    )
    if floor.burst < REQUEST:
        floor = NOTHING
    pool = Share(limit.milli - size * floor.milli, limit.burst - size * floor.burst)
    return Whole(
        limit, floor, pool, Share(int(limit.milli * spare) // size, int(limit.burst * spare) // size), 1
    )


def divide(pool: int, wants: Mapping[int, int], unit: int = 1) -> dict[int, int]:
    """Max-min fair: who wants less than an even share has it all, the others share the rest evenly.

    What nobody wants is handed out too, in proportion to what each wants, as headroom for what it has not
    yet seen. Shares are multiples of `unit`; two that want more than they get differ by one unit at most.
    """
    order = sorted((-(-want // unit), peer) for peer, want in wants.items() if want > 0)
    left = pool // unit
    shares: dict[int, int] = {}
    for place, (want, peer) in enumerate(order):
        shares[peer] = min(want, left // (len(order) - place))
        left -= shares[peer]
    if left and order:
        total = sum(want for want, _ in order)
        spare = left
        for want, peer in order:
            more = spare * want // total
            shares[peer] += more
            left -= more
        for _, peer in order[::-1][:left]:  # fewer units than routers: the quotients' remainders
            shares[peer] += 1
    return {peer: share * unit for peer, share in shares.items()}


def divide_burst(pool: int, shares: Mapping[int, int]) -> dict[int, int]:
    """The burst that goes with shares of a rate: the same for each.

    Who has less than it wants has an empty bucket and no use for burst; who has what it wants needs it to
    take requests as they come, the more of them the fewer they are.
    """
    return {peer: pool // len(shares) for peer in shares}
