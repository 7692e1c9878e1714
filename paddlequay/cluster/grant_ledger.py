"""The records of the holder of a limit: which routers request quotas, and which grants they may still use."""

from collections import OrderedDict
from dataclasses import dataclass, field

from paddlequay.cluster.quotas import NO_QUOTA, Quota
from paddlequay.cluster.types import NEVER, NameDigest, Peer

MAX_LEDGERS = 4096  # limits with demand at the same time; routers get no grants for further ones
MAX_GRANTS_PER_PROCESS = 16  # valid grants, none of which covers another

Process = tuple[Peer, int]  # a router and the incarnation of its process


@dataclass(slots=True)
class QuotaRequester:
    """A router that has requested a quota.

    Attributes:
        incarnation: The incarnation of its process.
        request_number: The number of its last request.
        demand_milli: Its demand beyond the floor, in thousandths of a request.
        valid_until: Until when its demand counts, unless it requests again.
    """

    incarnation: int
    request_number: int
    demand_milli: int
    valid_until: float


@dataclass(frozen=True, slots=True)
class Grant:
    """A granted quota, and until when its receiver may still be using it."""

    quota: Quota
    valid_until: float


@dataclass(slots=True)
class OutstandingGrants:
    """The grants that one process may still be using, as far as the holder knows.

    `largest` is called for each process at each request, so its result is cached until a grant is added or
    expires.
    """

    grants: list[Grant] = field(default_factory=list)  # replaced, never changed in place
    _cached_grants: list[Grant] | None = field(default=None, init=False)
    _cached_largest: Quota = field(default=NO_QUOTA, init=False)
    _cached_until: float = field(default=0.0, init=False)

    def largest(self, now: float) -> Quota:
        """Returns the largest amount and the largest burst among the valid grants; drops expired grants."""
        if self.grants is self._cached_grants and now < self._cached_until:
            return self._cached_largest
        self.grants = [grant for grant in self.grants if grant.valid_until > now]
        largest = NO_QUOTA
        for grant in self.grants:
            largest = largest.max_with(grant.quota)
        self._cached_grants = self.grants
        self._cached_largest = largest
        self._cached_until = min((grant.valid_until for grant in self.grants), default=NEVER)
        return largest

    def add(self, quota: Quota, valid_until: float) -> None:
        """Adds a grant, and drops the grants that it covers.

        Past `MAX_GRANTS_PER_PROCESS`, merges two grants into one with the larger quota and the later end.
        """
        uncovered = [grant for grant in self.grants if grant.quota.min_with(quota) != grant.quota]
        if len(uncovered) >= MAX_GRANTS_PER_PROCESS:
            quota = quota.max_with(uncovered.pop().quota)
        self.grants = [*uncovered, Grant(quota, valid_until)]


@dataclass(slots=True)
class Ledger:
    """The demand and the grants of one limit.

    Attributes:
        requesters: The routers that have requested quotas, by router number.
        outstanding: The grants that may still be in use, by process.
        shares: The latest division of the pool, by router.
        shares_until: Until when that division is used.
    """

    requesters: dict[Peer, QuotaRequester] = field(default_factory=dict)
    outstanding: dict[Process, OutstandingGrants] = field(default_factory=dict)
    shares: dict[Peer, Quota] = field(default_factory=dict)
    shares_until: float = 0.0

    def drop_expired_requesters(self, now: float) -> None:
        """Deletes routers whose last request is too old to count."""
        self.requesters = {
            peer: requester for peer, requester in self.requesters.items() if requester.valid_until > now
        }

    def granted_to_others(self, process: Process, now: float) -> Quota:
        """Returns the sum of what all other processes may use, including a former one of the same router."""
        amount_milli = 0
        burst_milli = 0
        for other, outstanding in list(self.outstanding.items()):
            largest = outstanding.largest(now)
            if not outstanding.grants:
                del self.outstanding[other]
            elif other != process:
                amount_milli += largest.amount_milli
                burst_milli += largest.burst_milli
        return Quota(amount_milli, burst_milli)

    def is_in_use(self, now: float) -> bool:
        """Returns whether any process may still be using a grant of this limit."""
        return any(outstanding.largest(now).amount_milli for outstanding in self.outstanding.values())


class Ledgers:
    """The ledgers of all limits that have demand, the least recently used first."""

    def __init__(self, max_ledgers: int) -> None:
        self.max_ledgers = max_ledgers
        self._ledgers: OrderedDict[NameDigest, Ledger] = OrderedDict()

    def of_limit(self, limit: NameDigest, now: float) -> Ledger | None:
        """Returns the ledger of a limit; None if there are too many and the oldest is still in use."""
        ledger = self._ledgers.get(limit)
        if ledger is not None:
            self._ledgers.move_to_end(limit)
            return ledger
        if len(self._ledgers) >= self.max_ledgers:
            oldest = next(iter(self._ledgers))
            if self._ledgers[oldest].is_in_use(now):
                return None
            del self._ledgers[oldest]
        ledger = Ledger()
        self._ledgers[limit] = ledger
        return ledger
