"""The holder's side of a limit: divides the pool by the routers' demands, and issues grants of what is free.

The holder counts a grant as outstanding from its issue for its validity, lengthened by the clock drift,
whether the grant arrived or not. The receiver counts the validity from when it sent its request, which was
earlier, and shortens it by the drift. A lower share does not shorten an older grant; a higher share is
granted only as far as it is free. A new holder does not know the grants of its predecessor: all of them were
issued before it acquired the lease, so it waits until the last of them has ended. Whether this router holds
the lease is checked at the moment of issuing.
"""

from collections.abc import Mapping

from paddlequay.cluster.grant_ledger import MAX_LEDGERS, Ledger, Ledgers, OutstandingGrants, QuotaRequester
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import NO_QUOTA, LimitDivision, Quota, even_bursts, max_min_shares
from paddlequay.cluster.types import ClusterBounds, HeldTerm, NameDigest, Peer

# As multiples of a grant's validity.
TURN_DURATION_RATIO = 8.0  # duration of a turn, where the burst does not suffice for all requesters at once
DIVISION_REUSE_RATIO = 1 / 30  # how long a division is used, so that a series of requests causes only one

SAME_DEMAND_DIVISOR = 8  # demands that differ by an eighth at most count as the same


def is_same_demand(demand_milli: int, former_milli: int) -> bool:
    """Returns whether a demand differs too little from a former one to justify a new division."""
    return abs(demand_milli - former_milli) * SAME_DEMAND_DIVISOR <= former_milli


class Granter:
    """Grants quotas of the limits whose leases this router holds. Has no timers."""

    def __init__(
        self, bounds: ClusterBounds, fleet_size: int, held_term: HeldTerm, max_ledgers: int = MAX_LEDGERS
    ) -> None:
        self.bounds = bounds
        self.fleet_size = fleet_size
        self.held_term = held_term
        self.ledgers = Ledgers(max_ledgers)
        self.terms: dict[NameDigest, tuple[int, float]] = {}  # by lease: the term and when it was recorded

    def outstanding_for(self, grant_validity_s: float) -> float:
        """Returns how long the holder counts a grant of this validity as outstanding, in seconds."""
        return grant_validity_s * (1 + 2 * self.bounds.drift_ratio)

    def record_term(self, lease: NameDigest, term: int, now: float) -> None:
        """Records the start of a term. Its grants are all known here, unlike those of earlier terms."""
        if lease not in self.terms or self.terms[lease][0] != term:
            self.terms[lease] = (term, now)

    def granting_term(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router may issue grants now; None without the lease."""
        return self.held_term(lease, now)

    def wait_after_acquisition(self, limit: FleetLimit) -> float:
        """Returns how long a new holder issues no grants, in seconds."""
        return self.outstanding_for(limit.grant_validity_s)

    def handle_request(
        self, limit: FleetLimit, sender: Peer, incarnation: int, request: QuotaRequest, now: float
    ) -> QuotaGrant | None:
        """Answers a request for a quota.

        Args:
            limit: The limit of which a quota is requested.
            sender: The router that sent the request.
            incarnation: The incarnation of the sender's process.
            request: The request, with the sender's demand.
            now: Seconds of this process's clock.

        Returns:
            A grant, possibly of an empty quota. None where the request is not answered: this router is not
            the holder or still waits after its acquisition, the sender knows a later holder, the request is
            no newer than the sender's last, or too many limits are in use.
        """
        term = self.granting_term(limit.lease, now)
        if term is None or request.term > term or not 0 <= sender < self.fleet_size:
            return None
        self.record_term(limit.lease, term, now)
        ledger = self.ledgers.of_limit(request.limit, now)
        if ledger is None or not self._record_request(ledger, limit, sender, incarnation, request, now):
            return None
        _, term_started_at = self.terms[limit.lease]
        if now < term_started_at + self.wait_after_acquisition(limit):
            return None
        quota = self.issue(ledger, limit, sender, incarnation, now)
        return QuotaGrant(
            request.limit,
            request.request_number,
            term,
            quota.amount_milli,
            quota.burst_milli,
            int(limit.grant_validity_s * 1000),
        )

    def issue(self, ledger: Ledger, limit: FleetLimit, sender: Peer, incarnation: int, now: float) -> Quota:
        """Returns the part of the sender's share that is free, and records it as outstanding."""
        share = self._shares(ledger, limit, now).get(sender, NO_QUOTA)
        free = limit.division.pool.minus(self.granted_to_others(ledger, sender, incarnation, now))
        quota = _usable_quota(share.min_with(free), limit.division)
        outstanding = ledger.outstanding.setdefault((sender, incarnation), OutstandingGrants())
        outstanding.add(quota, now + self.outstanding_for(limit.grant_validity_s))
        return quota

    def granted_to_others(self, ledger: Ledger, sender: Peer, incarnation: int, now: float) -> Quota:
        """Returns the sum of what all processes but the sender's may use."""
        return ledger.granted_to_others((sender, incarnation), now)

    def _record_request(
        self,
        ledger: Ledger,
        limit: FleetLimit,
        sender: Peer,
        incarnation: int,
        request: QuotaRequest,
        now: float,
    ) -> bool:
        """Records the demand of a router; returns False for a request that is no newer than its last."""
        division = limit.division
        demand = min(request.amount_milli, division.limit.amount_milli) - division.floor.amount_milli
        demand = max(0, demand)
        former = ledger.requesters.get(sender)
        if former is not None and former.valid_until <= now:
            former = None
        if former is not None:
            last = (former.incarnation, former.request_number)
            if (incarnation, request.request_number) <= last:
                return False
        if former is None or not is_same_demand(demand, former.demand_milli):
            ledger.shares_until = now
        # A router that requests a quota can use burst, even where its rate is within the floor.
        demand = max(demand, division.unit_milli)
        ledger.requesters[sender] = QuotaRequester(
            incarnation, request.request_number, demand, now + limit.grant_validity_s
        )
        return True

    def _shares(self, ledger: Ledger, limit: FleetLimit, now: float) -> Mapping[Peer, Quota]:
        """Returns the max-min fair shares of the pool among the routers whose requests still count."""
        if now < ledger.shares_until:
            return ledger.shares
        ledger.drop_expired_requesters(now)
        demands = {peer: requester.demand_milli for peer, requester in ledger.requesters.items()}
        division = limit.division
        if division.burst_shortfall_milli:
            demands = _demands_of_turn(demands, limit, now)
        amounts = max_min_shares(division.pool.amount_milli, demands, division.unit_milli)
        bursts = even_bursts(division.pool.burst_milli, amounts)
        ledger.shares = {peer: Quota(amount, bursts.get(peer, 0)) for peer, amount in amounts.items()}
        ledger.shares_until = now + limit.grant_validity_s * DIVISION_REUSE_RATIO
        return ledger.shares


def _usable_quota(quota: Quota, division: LimitDivision) -> Quota:
    """Returns a quota rounded down to whole units; `NO_QUOTA` where it would admit no request."""
    if quota.burst_milli < division.burst_shortfall_milli or quota.amount_milli < division.unit_milli:
        return NO_QUOTA
    unit = division.unit_milli
    return Quota(quota.amount_milli // unit * unit, quota.burst_milli)


def _demands_of_turn(demands: dict[Peer, int], limit: FleetLimit, now: float) -> dict[Peer, int]:
    """Returns the demands of the routers whose turn it is: as many as the burst allows a request each."""
    division = limit.division
    served = max(1, division.pool.burst_milli // division.burst_shortfall_milli)
    peers = sorted(demands)
    if served < len(peers):
        first = int(now / (TURN_DURATION_RATIO * limit.grant_validity_s)) * served % len(peers)
        peers = (peers[first:] + peers[:first])[:served]
    return {peer: demands[peer] for peer in peers}
