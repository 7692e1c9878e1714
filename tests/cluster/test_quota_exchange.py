"""The limits of one router, and the grants of one holder, each tested separately."""

import pytest

from paddlequay.cluster.demand_meter import DemandMeter
from paddlequay.cluster.fleet_limits import FleetLimits, Permit, Rejection
from paddlequay.cluster.granter import Granter
from paddlequay.cluster.limit_registry import FleetLimit, lease_of, limit_of
from paddlequay.cluster.local_limits import LocalLimit, LocalLimits
from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.quotas import NO_QUOTA, Quota, divide_limit
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import Action, ClusterBounds, Fleet, HolderObserved, LeaseAcquired, SendMessage

RATE = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=100.0, burst=30.0, floor_ratio=0.0)


def make_fleet_limits(
    *rules: LimitRule, holds: int | None = 1, size: int = 1, acceptors: tuple[int, ...] = (), **options: int
) -> FleetLimits:
    """Makes the limits of a router that started at 0; it holds all leases under the term `holds`, or none."""
    fleet = Fleet(0, size, acceptors)
    return FleetLimits(fleet, ClusterBounds(), rules, lambda lease, now: holds, 7, 0.0, **options)  # type: ignore[arg-type]


def test_a_request_is_admitted_by_all_of_its_limits_or_uses_none() -> None:
    outer = LimitRule("class", LimitScope.CLASS, "*", rate_per_s=10.0, burst=10.0, floor_ratio=1.0)
    inner = LimitRule("tenant", LimitScope.TENANT, "*", rate_per_s=1.0, burst=3.0, floor_ratio=1.0)
    slots = LimitRule("source", LimitScope.SOURCE, "s", max_in_flight=2, floor_ratio=1.0)
    limits = make_fleet_limits(outer, inner, slots)
    now = 100.0
    keys = ((LimitScope.CLASS, "c"), (LimitScope.TENANT, "t"), (LimitScope.SOURCE, "s"))
    first = limits.admit_all(keys, now, 1.0)
    second = limits.admit_all(keys, now, 1.0)
    assert isinstance(first, Permit) and isinstance(second, Permit)
    for _ in range(20):
        rejection = limits.admit_all(keys, now, 1.0)
        assert isinstance(rejection, Rejection) and rejection.rule == "source"
    limits.release(first, now)
    limits.release(first, now)
    assert isinstance(limits.admit_all(keys, now, 1.0), Permit)
    limits.release(second, now)
    # The tenant's 3 tokens are spent. Of the class's 10 only 3 are: rejected requests have spent none.
    rejection = limits.admit_all(keys, now, 1.0)
    assert (
        isinstance(rejection, Rejection)
        and rejection.rule == "tenant"
        and 0.9 < rejection.retry_after_s <= 1.0
    )
    assert sum(isinstance(limits.admit(LimitScope.CLASS, "c", now, 1.0), Permit) for _ in range(20)) == 7
    # The slot of a request that never ends is free after the request's time-out.
    assert isinstance(limits.admit(LimitScope.SOURCE, "s", now + 1.01, 1.0), Permit)
    assert isinstance(limits.admit(LimitScope.SOURCE, "s", now + 1.01, 1.0), Permit)


class DropsUsedLimits(FleetLimits):
    """Drops limits even while they are in use."""

    class local_limits_class(LocalLimits):  # noqa: N801
        def may_drop(self, limit: LocalLimit, now: float) -> bool:
            return True


def test_local_limits_are_bounded_and_eviction_admits_nothing_more() -> None:
    rule = LimitRule("tenant", LimitScope.TENANT, "*", rate_per_s=1.0, burst=3.0, floor_ratio=1.0)
    for kind, admitted in ((FleetLimits, 3), (DropsUsedLimits, 6)):
        limits = kind(
            Fleet(0, 1), ClusterBounds(), [rule], lambda lease, now: None, 7, 0.0, max_local_limits=2
        )
        admitted_flags = [
            isinstance(limits.admit(LimitScope.TENANT, "a", 50.0, 1.0), Permit) for _ in range(5)
        ]
        assert admitted_flags == [True] * 3 + [False] * 2
        for value in ("b", "b", "c", "d"):
            limits.admit(LimitScope.TENANT, value, 50.0, 1.0)
        assert len(limits.local_limits) == 2
        again = sum(isinstance(limits.admit(LimitScope.TENANT, "a", 50.0, 1.0), Permit) for _ in range(3))
        assert 3 + again == admitted
    # A limit whose bucket is full again is evicted for another.
    limits = make_fleet_limits(rule, holds=None, max_local_limits=2)
    for value, now in (("a", 50.0), ("b", 50.0), ("c", 54.0)):
        assert isinstance(limits.admit(LimitScope.TENANT, value, now, 1.0), Permit)


def sent_request(actions: list[Action]) -> QuotaRequest:
    (send,) = actions
    assert isinstance(send, SendMessage) and isinstance(send.message, QuotaRequest)
    return send.message


def test_grants_without_a_matching_request_are_void_and_no_request_is_sent_without_demand() -> None:
    limits = make_fleet_limits(RATE, holds=None, size=3)
    limits.handle_event(HolderObserved(lease_of(RATE), 2, 5), 10.0)
    assert limits.due() == float("inf")
    assert isinstance(limits.admit(LimitScope.CLASS, "c", 10.0, 1.0), Rejection)
    assert limits.due() == 10.0
    request = sent_request(limits.tick(10.0))
    assert request.limit == limit_of(lease_of(RATE), "c") and request.term == 5
    limit, number = request.limit, request.request_number
    local_limit = limits.local_limits.get(limit)
    assert local_limit is not None
    bucket = local_limit.bucket
    for void in (
        QuotaGrant(limit, number + 1, 5, 50_000, 9_000, 600),
        QuotaGrant(limit, number, 4, 50_000, 9_000, 600),
        QuotaGrant(limit + 1, number, 5, 50_000, 9_000, 600),
    ):
        limits.handle_message(2, 1, void, 10.1)
        assert bucket.grant.quota == NO_QUOTA
    # A grant is cut to the pool and to the longest validity.
    limits.handle_message(2, 1, QuotaGrant(limit, number, 5, 2**62, 2**62, 2**40), 10.1)
    assert bucket.grant.quota == Quota(100_000, 30_000) and bucket.grant.valid_until == pytest.approx(10.57)
    limits.handle_message(2, 1, QuotaGrant(limit, number, 5, 1, 1, 600), 10.1)
    assert bucket.grant.quota == Quota(100_000, 30_000)
    # Without demand the router stops requesting, and its grant expires.
    now = 10.2
    for _ in range(150):
        limits.tick(now)
        now += 0.2
    assert limits.due() == float("inf") and isinstance(
        limits.admit(LimitScope.CLASS, "c", now, 1.0), Rejection
    )


def test_an_answered_demand_is_not_requested_again_before_the_renewal() -> None:
    """A rejection must not cause a request each time: these requests would be most of the traffic."""
    limits = make_fleet_limits(RATE, holds=None, size=3)
    limits.handle_event(HolderObserved(lease_of(RATE), 2, 5), 10.0)
    request_count = 0
    for step in range(500):
        now = 10.0 + step / 100
        limits.admit(LimitScope.CLASS, "c", now, 1.0)
        for request in [action.message for action in limits.tick(now) if isinstance(action, SendMessage)]:
            assert isinstance(request, QuotaRequest)
            request_count += 1
            limits.handle_message(
                2, 1, QuotaGrant(request.limit, request.request_number, 5, 20_000, 1_000, 600), now
            )
    assert 10 < request_count < 25


def test_unanswered_quota_requests_back_off_and_go_to_acceptors_only() -> None:
    """A busy holder must not get more requests the less it answers; other routers get none."""
    limits = make_fleet_limits(RATE, holds=None, size=9, acceptors=(0, 3, 5))
    sent = []
    for step in range(600):
        now = 10.0 + step / 100
        limits.admit(LimitScope.CLASS, "c", now, 1.0)
        sent += [(now, action.to) for action in limits.tick(now) if isinstance(action, SendMessage)]
    assert {to for _, to in sent} == {3, 5}
    assert len(sent) <= 2 * 11


def test_a_holder_counts_outstanding_grants_and_ignores_repeated_requests() -> None:
    fleet_limit = FleetLimit(RATE, lease_of(RATE), divide_limit(RATE, 4), 0.6)
    term: list[int | None] = [3]
    granter = Granter(ClusterBounds(), 4, lambda lease, now: term[0])
    limit = limit_of(fleet_limit.lease, "c")
    granter.record_term(fleet_limit.lease, 3, 0.0)
    assert granter.handle_request(fleet_limit, 1, 1, QuotaRequest(limit, 1, 90_000, 0), 0.65) is None
    first = granter.handle_request(fleet_limit, 1, 1, QuotaRequest(limit, 2, 90_000, 0), 0.67)
    assert first is not None and first.amount_milli == 100_000
    assert granter.handle_request(fleet_limit, 1, 1, QuotaRequest(limit, 2, 90_000, 0), 0.68) is None
    second = granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 1, 90_000, 0), 0.7)
    assert second is not None and second.amount_milli == 0
    reduced = granter.handle_request(fleet_limit, 1, 1, QuotaRequest(limit, 3, 90_000, 0), 0.8)
    assert reduced is not None and reduced.amount_milli == 50_000
    still_outstanding = granter.handle_request(
        fleet_limit, 2, 1, QuotaRequest(limit, 2, 90_000, 0), 0.67 + 0.65
    )
    assert still_outstanding is not None and still_outstanding.amount_milli == 0
    free = granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 3, 90_000, 0), 0.67 + 0.67)
    assert free is not None and free.amount_milli == 50_000
    assert (
        granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 4, 90_000, 9), 1.4) is None
    )  # the sender knows a later holder
    term[0] = None
    assert granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 5, 90_000, 3), 1.4) is None
    term[0] = 8
    assert granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 6, 90_000, 3), 1.5) is None
    assert granter.handle_request(fleet_limit, 2, 1, QuotaRequest(limit, 7, 90_000, 3), 2.17) is not None


def test_a_holder_grants_to_itself_and_a_router_without_a_known_holder_asks_all_peers() -> None:
    limits = make_fleet_limits(RATE, size=2)
    limits.handle_event(LeaseAcquired(lease_of(RATE), 1, 2.0), 0.0)
    assert isinstance(limits.admit(LimitScope.CLASS, "c", 1.0, 1.0), Rejection)
    assert limits.tick(1.0) == []
    assert isinstance(limits.admit(LimitScope.CLASS, "c", 1.1, 1.0), Permit)
    without_lease = make_fleet_limits(RATE, holds=None, size=2)
    without_lease.admit(LimitScope.CLASS, "c", 1.0, 1.0)
    (send,) = without_lease.tick(1.0)
    assert isinstance(send, SendMessage) and send.to is None
    without_lease.admit(LimitScope.CLASS, "c", 1.1, 1.0)
    assert without_lease.tick(1.3) == []


def test_measured_demand_ignores_noise_and_follows_a_shift_quickly() -> None:
    meter = DemandMeter(0.0, 0.2)
    for window, count in enumerate((8, 11, 9, 12, 10, 9, 11, 10)):
        for _ in range(count):
            meter.add(window * 0.2 + 0.1)
    assert 47_000 < meter.rate_milli(1.6) < 53_000
    for n in range(30):
        meter.add(1.6 + n * 0.002)
    assert meter.rate_milli(1.66) > 400_000
    assert meter.rate_milli(1.8) == 150_000
    assert meter.rate_milli(2.01) == 0


def test_a_local_limit_is_not_evicted_for_another_of_the_same_request() -> None:
    rules = (
        LimitRule("class", LimitScope.CLASS, "*", rate_per_s=1.0, burst=3.0, floor_ratio=1.0),
        LimitRule("tenant", LimitScope.TENANT, "*", rate_per_s=1.0, burst=3.0, floor_ratio=1.0),
    )
    limits = make_fleet_limits(*rules, holds=None, max_local_limits=1)
    keys = ((LimitScope.CLASS, "c"), (LimitScope.TENANT, "t"))
    assert limits.admit_all(keys, 50.0, 1.0) == Rejection("tenant", ClusterBounds().grant_validity_s)
    assert len(limits.local_limits) == 1


def test_a_share_that_admits_no_request_is_left_to_other_routers() -> None:
    rule = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=90.0, burst=3.5, floor_ratio=0.0)
    fleet_limit = FleetLimit(rule, lease_of(rule), divide_limit(rule, 3), 0.6)
    granter = Granter(ClusterBounds(), 3, lambda lease, now: 1)
    granter.record_term(fleet_limit.lease, 1, -1.0)
    limit = limit_of(fleet_limit.lease, "c")
    bursts = []
    for number, (peer, now) in enumerate(
        ((0, 0.0), (1, 0.1), (0, 0.2), (1, 0.67), (2, 0.7), (0, 0.75), (2, 0.9))
    ):
        grant = granter.handle_request(fleet_limit, peer, 1, QuotaRequest(limit, number + 1, 90_000, 0), now)
        assert grant is not None
        bursts.append(grant.burst_milli)
    # At 0.9, bursts of 1750 and 1166 of router 0 and of 1750 of router 1 are outstanding: too little is free.
    assert bursts == [3500, 0, 1750, 1750, 0, 1166, 0]
