"""Quotas of a limit: the floor of each router, the pool for further grants, and the division of the pool.

All amounts are whole thousandths of a request, so that sums are exact: the floors of all routers and the pool
sum to the limit.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from paddlequay.cluster.messages import MAX_TEXT_BYTES
from paddlequay.cluster.settings import LimitRule, PartitionMode

MILLI_PER_REQUEST = 1000


@dataclass(frozen=True, slots=True)
class Quota:
    """A part of a limit, in thousandths of a request.

    Attributes:
        amount_milli: Requests per second; for a limit on requests in flight, slots.
        burst_milli: Requests at the same moment; 0 for a limit on requests in flight.
    """

    amount_milli: int = 0
    burst_milli: int = 0

    def min_with(self, other: "Quota") -> "Quota":
        """Returns the smaller of both amounts and of both bursts."""
        return Quota(
            min(self.amount_milli, other.amount_milli),
            min(self.burst_milli, other.burst_milli),
        )

    def max_with(self, other: "Quota") -> "Quota":
        """Returns the larger of both amounts and of both bursts."""
        return Quota(
            max(self.amount_milli, other.amount_milli),
            max(self.burst_milli, other.burst_milli),
        )

    def minus(self, other: "Quota") -> "Quota":
        """Returns the difference of both amounts and of both bursts, never below 0."""
        return Quota(
            max(0, self.amount_milli - other.amount_milli),
            max(0, self.burst_milli - other.burst_milli),
        )


NO_QUOTA = Quota()


@dataclass(frozen=True, slots=True)
class LimitDivision:
    """A limit as it is divided over the fleet: `limit` = fleet size * `floor` + `pool`.

    With `PartitionMode.OPEN`, `max_retained` is (open_factor - 1) * limit / fleet size. Floors and valid
    grants sum to at most the limit, and the parts that all routers can retain sum to at most
    (open_factor - 1) * limit. So the fleet stays within open_factor * limit, although no router knows what
    the others retain.

    Attributes:
        limit: The whole limit.
        floor: The part that each router may always use.
        pool: The part that the holder grants in addition to the floors.
        max_retained: The most that an isolated router retains of its last grant.
        unit_milli: The unit of grants: a thousandth of a request per second, or a slot.
    """

    limit: Quota
    floor: Quota
    pool: Quota
    max_retained: Quota
    unit_milli: int

    @property
    def burst_shortfall_milli(self) -> int:
        """The burst that a router needs in addition to its floor to admit a single request."""
        if self.unit_milli != 1:
            return 0
        return max(0, MILLI_PER_REQUEST - self.floor.burst_milli)


def divide_limit(rule: LimitRule, fleet_size: int) -> LimitDivision:
    """Divides a limit over the routers of a fleet.

    Raises:
        ValueError: The rule sets both or neither of a rate and slots, or one of its values is out of range.
    """
    if (rule.rate_per_s is None) == (rule.max_in_flight is None):
        raise ValueError(f"limit {rule.name}: expected either a rate or a number of requests in flight")
    figures_in_range = 0 <= rule.floor_ratio <= 1 and rule.open_factor >= 1 and fleet_size >= 1
    if not figures_in_range or not 0 < len(rule.name) <= MAX_TEXT_BYTES:
        raise ValueError(
            f"limit {rule.name}: floor ratio, open factor, name length or fleet size out of range"
        )
    if rule.max_in_flight is not None:
        return _divide_slots(rule, rule.max_in_flight, fleet_size)
    return _divide_rate(rule, rule.rate_per_s or 0.0, fleet_size)


def _excess_factor(rule: LimitRule) -> float:
    """Returns how much isolated routers may use in addition to the limit, as a multiple of it."""
    return rule.open_factor - 1 if rule.mode is PartitionMode.OPEN else 0.0


def _divide_slots(rule: LimitRule, slots: int, fleet_size: int) -> LimitDivision:
    if slots < 1:
        raise ValueError(f"limit {rule.name}: expected at least 1 request in flight, got {slots}")
    floor = min(int(slots * rule.floor_ratio), slots) // fleet_size
    max_retained = int(slots * _excess_factor(rule)) // fleet_size
    return LimitDivision(
        limit=Quota(slots * MILLI_PER_REQUEST),
        floor=Quota(floor * MILLI_PER_REQUEST),
        pool=Quota((slots - floor * fleet_size) * MILLI_PER_REQUEST),
        max_retained=Quota(max_retained * MILLI_PER_REQUEST),
        unit_milli=MILLI_PER_REQUEST,
    )


def _divide_rate(rule: LimitRule, rate_per_s: float, fleet_size: int) -> LimitDivision:
    """Divides a rate. A floor whose burst admits no request would be unusable, so it goes to the pool."""
    if rate_per_s <= 0 or rule.burst < 1:
        raise ValueError(f"limit {rule.name}: expected a rate above 0 and a burst of at least 1")
    limit = Quota(int(rate_per_s * MILLI_PER_REQUEST), int(rule.burst * MILLI_PER_REQUEST))
    floor = Quota(
        min(int(limit.amount_milli * rule.floor_ratio), limit.amount_milli) // fleet_size,
        min(int(limit.burst_milli * rule.floor_ratio), limit.burst_milli) // fleet_size,
    )
    if floor.burst_milli < MILLI_PER_REQUEST:
        floor = NO_QUOTA
    excess_factor = _excess_factor(rule)
    return LimitDivision(
        limit=limit,
        floor=floor,
        pool=Quota(
            limit.amount_milli - fleet_size * floor.amount_milli,
            limit.burst_milli - fleet_size * floor.burst_milli,
        ),
        max_retained=Quota(
            int(limit.amount_milli * excess_factor) // fleet_size,
            int(limit.burst_milli * excess_factor) // fleet_size,
        ),
        unit_milli=1,
    )


def max_min_shares(pool_milli: int, demands_milli: Mapping[int, int], unit_milli: int = 1) -> dict[int, int]:
    """Divides a pool max-min fairly: small demands are met, and the others share the rest evenly.

    If the pool exceeds all demands, the excess is divided in proportion to them, as headroom for demand that
    is not measured yet.

    Args:
        pool_milli: The amount to divide, in thousandths.
        demands_milli: The demand of each router, in thousandths; routers without demand get no share.
        unit_milli: The unit of which all shares are multiples.

    Returns:
        The share of each router, in thousandths. Shares below their demands differ by a unit at most.
    """
    by_demand = sorted(
        (-(-demand // unit_milli), peer) for peer, demand in demands_milli.items() if demand > 0
    )
    left = pool_milli // unit_milli
    units: dict[int, int] = {}
    for position, (demand, peer) in enumerate(by_demand):
        units[peer] = min(demand, left // (len(by_demand) - position))
        left -= units[peer]
    if left and by_demand:
        _add_headroom(units, by_demand, left)
    return {peer: count * unit_milli for peer, count in units.items()}


def _add_headroom(units: dict[int, int], by_demand: list[tuple[int, int]], spare: int) -> None:
    """Adds spare units in proportion to demands; the remainder goes to the largest demands, a unit each."""
    total = sum(demand for demand, _ in by_demand)
    left = spare
    for demand, peer in by_demand:
        headroom = spare * demand // total
        units[peer] += headroom
        left -= headroom
    for _, peer in by_demand[::-1][:left]:
        units[peer] += 1


def even_bursts(pool_milli: int, shares_milli: Mapping[int, int]) -> dict[int, int]:
    """Divides the burst of a rate evenly among the routers that have shares, in thousandths.

    A router whose share is below its demand has an empty bucket and cannot use burst. A router whose demand
    is met needs burst to admit requests when they arrive; the fewer they are, the more burst it needs.
    """
    return {peer: pool_milli // len(shares_milli) for peer in shares_milli}
