"""A router's side of quotas: requests them from the holders of limits, and applies the grants it receives."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count

from paddlequay.cluster.granter import Granter, is_same_demand
from paddlequay.cluster.local_limits import LocalLimit, LocalLimits, RequestSchedule
from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import Quota
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)

MAX_SENT_REQUESTS = 16  # requests of one limit whose answers are still accepted
REQUEST_NUMBER_BITS = 20  # low bits of a request's number, a counter; the bits above it are the incarnation
REQUEST_NUMBER_MODULUS = 2**63  # numbers are below it, as the message's field requires
EVERY_PEER = (None,)  # receivers of a broadcast: `SendMessage.to` is None for a message to all
MAX_REQUESTS_PER_GRANT = 12  # requests within a grant's validity, for a limit that rejects

# As multiples of a grant's validity.
RENEWAL_RATIO = 2 / 3  # time until a grant is renewed; leaves two attempts before its end
RETRY_RATIO = 1 / 7  # first wait before an unanswered request is repeated; later ones are longer


@dataclass(frozen=True, slots=True)
class KnownHolder:
    """The router last observed to hold a lease, and its term."""

    term: int
    holder: Peer


def first_request_number(incarnation: int) -> int:
    """Returns the number of a process's first request. The numbers of different processes differ."""
    counted_from = (incarnation << REQUEST_NUMBER_BITS) % REQUEST_NUMBER_MODULUS
    return counted_from + 1


class QuotaClient:
    """Requests quotas for the local limits of a router, whose process has `incarnation`."""

    def __init__(
        self, fleet: Fleet, bounds: ClusterBounds, incarnation: int, limits: LocalLimits, granter: Granter
    ) -> None:
        self.fleet = fleet
        self.bounds = bounds
        self.incarnation = incarnation
        self.limits = limits
        self.granter = granter
        self.schedule = RequestSchedule(limits)
        self._holders: dict[NameDigest, KnownHolder] = {}
        self._numbers = count(first_request_number(incarnation))

    def observe_holder(self, lease: NameDigest, holder: Peer, term: int) -> None:
        """Records the holder of a lease, unless a holder of a later term is known."""
        if term >= self._known_term(lease):
            self._holders[lease] = KnownHolder(term, holder)

    def record_rejection(self, name: NameDigest, limit: LocalLimit, now: float) -> None:
        """Counts a rejected request as demand, and requests a quota soon."""
        limit.bucket.demand.add(now)
        limit.rejected_since_request = True
        soonest = limit.last_request_at + self.bounds.grant_validity_s / MAX_REQUESTS_PER_GRANT
        self.schedule.request_by(name, limit, max(now, soonest))

    def record_admission(self, name: NameDigest, limit: LocalLimit, now: float) -> None:
        """Schedules a renewal of the quota before its grant ends."""
        self.schedule.request_by(name, limit, max(now, self._renewal_at(limit)))

    def due(self) -> float:
        """Returns when the next request is due."""
        return self.schedule.due()

    def tick(self, now: float) -> list[Action]:
        """Sends the requests that are due."""
        actions: list[Action] = []
        for name, limit in self.schedule.pop_due(now):
            actions += self._request(name, limit, now)
        return actions

    def handle_grant(self, sender: Peer, grant: QuotaGrant, now: float) -> None:
        """Applies a grant that answers a request of this process and has not expired."""
        limit = self.limits.get(grant.limit)
        if limit is None:
            return
        valid_from = self.valid_from(limit, grant, now)
        if valid_from is None:
            return
        limit.advance(now)
        limit.granted_request = grant.request_number
        limit.unanswered_since = NEVER
        if limit.next_request_at != NEVER and grant.request_number == max(limit.sent_requests):
            self.schedule.postpone(grant.limit, limit, self._renewal_at(limit))
        self.observe_holder(limit.fleet_limit.lease, sender, grant.term)
        validity_s = min(grant.valid_ms / 1000, limit.fleet_limit.grant_validity_s)
        valid_until = valid_from + validity_s * (1 - self.bounds.drift_ratio)
        if valid_until > now:
            quota = Quota(grant.amount_milli, grant.burst_milli)
            limit.bucket.receive_grant(quota.min_with(limit.fleet_limit.division.pool), valid_until)

    def valid_from(self, limit: LocalLimit, grant: QuotaGrant, now: float) -> float | None:
        """Returns when the validity of a grant began: when the request that it answers was sent.

        Returns None for a void grant: it answers no request of this process, or a request no newer than that
        of the grant in use, or its term is lower than the latest known one.
        """
        if grant.request_number <= limit.granted_request:
            return None
        if grant.term < self._known_term(limit.fleet_limit.lease):
            return None
        return limit.sent_requests.get(grant.request_number)

    def _request(self, name: NameDigest, limit: LocalLimit, now: float) -> list[Action]:
        """Requests a quota if the demand exceeds the floor or a request was rejected."""
        limit.advance(now)
        division = limit.fleet_limit.division
        demand_milli = min(limit.bucket.demand_milli(now), division.limit.amount_milli)
        if demand_milli <= division.floor.amount_milli and not limit.rejected_since_request:
            return []
        if self._is_answered(limit, demand_milli, now):
            self.schedule.request_by(name, limit, self._renewal_at(limit))
            return []
        number = self._record_sent(limit, demand_milli, now)
        self._schedule_retry(name, limit, now)
        lease = limit.fleet_limit.lease
        request = QuotaRequest(name, number, demand_milli, self._known_term(lease))
        if self.granter.granting_term(lease, now) is not None:
            self._request_from_self(limit, request, now)
            return []
        limit.unanswered_since = min(limit.unanswered_since, now)
        return self._send_request(limit, request, now)

    def _is_answered(self, limit: LocalLimit, demand_milli: int, now: float) -> bool:
        """Returns whether the last request was answered and a further one would get the same answer."""
        return (
            limit.granted_request in limit.sent_requests
            and now < self._renewal_at(limit)
            and is_same_demand(demand_milli, limit.last_demand_milli)
        )

    def _record_sent(self, limit: LocalLimit, demand_milli: int, now: float) -> int:
        """Records a request as sent; drops those that are too old for a useful answer, or too many."""
        limit.rejected_since_request = False
        limit.last_demand_milli = demand_milli
        number = next(self._numbers)
        limit.sent_requests[number] = now
        limit.last_request_at = now
        grant_validity_s = limit.fleet_limit.grant_validity_s
        outdated = [old for old, sent_at in limit.sent_requests.items() if sent_at + grant_validity_s < now]
        for old in outdated:
            del limit.sent_requests[old]
        while len(limit.sent_requests) > MAX_SENT_REQUESTS:
            del limit.sent_requests[next(iter(limit.sent_requests))]
        return number

    def _schedule_retry(self, name: NameDigest, limit: LocalLimit, now: float) -> None:
        """Schedules the next request; the wait doubles while no answer comes, up to a grant's validity."""
        wait = max(self.bounds.grant_validity_s * RETRY_RATIO, now - limit.unanswered_since)
        self.schedule.request_by(name, limit, now + min(wait, self.bounds.grant_validity_s))

    def _request_from_self(self, limit: LocalLimit, request: QuotaRequest, now: float) -> None:
        """Requests a quota from this router, which is the holder itself."""
        me = self.fleet.me
        grant = self.granter.handle_request(limit.fleet_limit, me, self.incarnation, request, now)
        if grant is not None:
            self.handle_grant(me, grant, now)

    def _send_request(self, limit: LocalLimit, request: QuotaRequest, now: float) -> list[Action]:
        """Sends a request to the known holder, or to all acceptors if none is known or it does not answer.

        If there is no other acceptor, the broadcast goes to all peers. It is sent at most once in a grant's
        validity: until then requests go to the known holder only, and are not sent if none is known.
        """
        holder = self._other_holder(limit.fleet_limit.lease)
        answer_timeout_s = self.bounds.grant_validity_s
        was_broadcast_lately = now < limit.last_broadcast_at + answer_timeout_s
        may_be_answered = now < limit.unanswered_since + answer_timeout_s
        if holder is not None and (may_be_answered or was_broadcast_lately):
            return [SendMessage(holder, request, Urgency.CHANGE)]
        if was_broadcast_lately:
            return []
        limit.last_broadcast_at = now
        other_acceptors = [peer for peer in self.fleet.acceptors if peer != self.fleet.me]
        receivers: Sequence[Peer | None] = other_acceptors or EVERY_PEER
        return [SendMessage(peer, request, Urgency.CHANGE) for peer in receivers]

    def _renewal_at(self, limit: LocalLimit) -> float:
        return limit.last_request_at + self.bounds.grant_validity_s * RENEWAL_RATIO

    def _other_holder(self, lease: NameDigest) -> Peer | None:
        known = self._holders.get(lease)
        return known.holder if known is not None and known.holder != self.fleet.me else None

    def _known_term(self, lease: NameDigest) -> int:
        known = self._holders.get(lease)
        return known.term if known is not None else 0
