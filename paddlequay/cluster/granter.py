"""The holder's side of a limit: what each router demands, what is outstanding, and what may be granted.

A grant is outstanding until its issue plus its validity, lengthened by the clock drift, whether it arrived or
not: its receiver counts the validity from when it sent its request, which was before, and ends early by the
drift. A lower share does not shorten an older grant; a higher share is made of what is free. A new holder
does not know its predecessor's grants: all were issued before it acquired the lease, so it waits until the
last of them has ended. Whether the lease is held is asked at the moment of issuing.
"""

from collections.abc import Mapping

from paddlequay.cluster.grant_ledger import MAX_LEDGERS, Ledger, Ledgers, OutstandingGrants, Requester
from paddlequay.cluster.limit_registry import FleetLimit
from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import NO_QUOTA, LimitDivision, Quota, even_bursts, max_min_shares
from paddlequay.cluster.types import ClusterBounds, HeldTerm, NameDigest, Peer

TURN_GRANTS = 8.0  # a turn in grants' validity, where the burst is too small for all that request at once
DIVISION_REUSE_RATIO = 1 / 30  # of a grant's validity; many requests in a row cost one division
SAME_DEMAND_RATIO = 8  # demands within an eighth of each other count as the same


def is_same_demand(demand_milli: int, former_milli: int) -> bool:
    """Returns whether a demand differs so little from a former one that no new division is worth it."""
    return abs(demand_milli - former_milli) * SAME_DEMAND_RATIO <= former_milli


class Granter:
    """Grants quotas of the limits whose leases this router holds. Has nothing to do by time."""

    def __init__(
        self, bounds: ClusterBounds, fleet_size: int, held_term: HeldTerm, max_ledgers: int = MAX_LEDGERS
    ) -> None:
        self.bounds = bounds
        self.fleet_size = fleet_size
        self.held_term = held_term
        self.ledgers = Ledgers(max_ledgers)
        self.terms: dict[
            NameDigest, tuple[int, float]
        ] = {}  # by lease: the term, and when it was first observed

    def outstanding_for(self, grant_validity_s: float) -> float:
        """Returns for how long the holder counts a grant of this validity as outstanding."""
        return grant_validity_s * (1 + 2 * self.bounds.drift_ratio)

    def record_term(self, lease: NameDigest, term: int, now: float) -> None:
        """Starts a term: its grants are all known here, those of earlier terms are not."""
        if lease not in self.terms or self.terms[lease][0] != term:
            self.terms[lease] = (term, now)

    def granting_term(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which grants may be issued at this moment, or None."""
        return self.held_term(lease, now)

    def wait_after_acquisition(self, limit: FleetLimit) -> float:
        """Returns for how long a new holder issues nothing."""
        return self.outstanding_for(limit.grant_validity_s)

    def handle_request(
        self, limit: FleetLimit, sender: Peer, incarnation: int, request: QuotaRequest, now: float
    ) -> QuotaGrant | None:
        """Answers a request for a quota.

        Args:
            limit: The limit that the request is about.
            sender: The router that requests.
            incarnation: Of its process.
            request: Its demand.
            now: Seconds of this process's clock.

        Returns:
            A grant, maybe of nothing; None where the request is not answered: this router is not the holder,
            a later holder is known, or the request is no newer than the last.
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
        """Returns the sender's share as far as it is free, and records it as outstanding."""
        share = self._shares(ledger, limit, now).get(sender, NO_QUOTA)
        free = limit.division.pool.minus(self.granted_to_others(ledger, sender, incarnation, now))
        quota = _usable(share.min_with(free), limit.division)
        outstanding = ledger.outstanding.setdefault((sender, incarnation), OutstandingGrants())
        outstanding.add(quota, now + self.outstanding_for(limit.grant_validity_s))
        return quota

    def granted_to_others(self, ledger: Ledger, sender: Peer, incarnation: int, now: float) -> Quota:
        """Returns what all processes but the sender's may use."""
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
        """Records what a router demands; returns False for a request that is no newer than the last."""
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
        # A router that requests has use for burst, even where its rate is within the floor.
        demand = max(demand, division.unit_milli)
        ledger.requesters[sender] = Requester(
            incarnation, request.request_number, demand, now + limit.grant_validity_s
        )
        return True

    def _shares(self, ledger: Ledger, limit: FleetLimit, now: float) -> Mapping[Peer, Quota]:
        """Returns the max-min shares of the pool among the routers that have requested lately."""
        if now < ledger.shares_until:
            return ledger.shares
        ledger.drop_expired_requesters(now)
        demands = {peer: requester.demand_milli for peer, requester in ledger.requesters.items()}
        division = limit.division
        if division.burst_shortfall_milli:
            demands = _take_turns(demands, limit, now)
        amounts = max_min_shares(division.pool.amount_milli, demands, division.unit_milli)
        bursts = even_bursts(division.pool.burst_milli, amounts)
        ledger.shares = {peer: Quota(amount, bursts.get(peer, 0)) for peer, amount in amounts.items()}
        ledger.shares_until = now + limit.grant_validity_s * DIVISION_REUSE_RATIO
        return ledger.shares


def _usable(quota: Quota, division: LimitDivision) -> Quota:
    """Returns a quota in whole units, nothing where it would admit no request."""
    if quota.burst_milli < division.burst_shortfall_milli or quota.amount_milli < division.unit_milli:
        return NO_QUOTA
    unit = division.unit_milli
    return Quota(quota.amount_milli // unit * unit, quota.burst_milli)


def _take_turns(demands: dict[Peer, int], limit: FleetLimit, now: float) -> dict[Peer, int]:
    """Returns the demands of as many routers as the burst admits a request of each, by turns."""
    division = limit.division
    served = max(1, division.pool.burst_milli // division.burst_shortfall_milli)
    peers = sorted(demands)
    if served < len(peers):
        first = int(now / (TURN_GRANTS * limit.grant_validity_s)) * served % len(peers)
        peers = (peers[first:] + peers[:first])[:served]
    return {peer: demands[peer] for peer in peers}
