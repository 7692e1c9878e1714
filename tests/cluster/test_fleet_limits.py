"""Limits over all routers are never exceeded; for each guard, a scenario exceeds them without it."""

from collections.abc import Callable

import pytest

from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.messages import QuotaGrant, QuotaRequest
from paddlequay.cluster.settings import LimitRule, LimitScope, PartitionMode
from paddlequay.cluster.types import SendMessage
from paddlequay.lab import limit_guards, limit_search
from paddlequay.lab.limit_world import LimitRouter, LimitWorld

RATE = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=100.0, burst=30.0, floor_ratio=0.0)
SLOW = LimitRule("slow", LimitScope.CLASS, "c", rate_per_s=10.0, burst=30.0, floor_ratio=0.0)
STEEP = LimitRule("steep", LimitScope.CLASS, "c", rate_per_s=2000.0, burst=10.0, floor_ratio=0.0)
FLOORS = LimitRule("floors", LimitScope.CLASS, "c", rate_per_s=10.0, burst=40.0, floor_ratio=1.0)
SLOTS = LimitRule("places", LimitScope.SOURCE, "s", max_in_flight=8, floor_ratio=0.0)
OPEN = LimitRule(
    "open",
    LimitScope.CLASS,
    "c",
    rate_per_s=100.0,
    burst=30.0,
    floor_ratio=0.0,
    mode=PartitionMode.OPEN,
    open_factor=1.2,
)

Link = Callable[[LimitRouter, LimitRouter, SendMessage], float | None]


def make_world(
    limits_class: type[FleetLimits], rule: LimitRule, size: int, seed: int = 1, **options: float
) -> LimitWorld:
    """Makes a world with exact clocks and links without loss, in which router 0 holds the lease first."""
    world = LimitWorld(seed, size, (rule,), limits_class, clock_error=0.0, **options)
    world.leases.first_holder = 0
    world.long_delay_ratio = 0.0
    return world


def set_demand(world: LimitWorld, *demands_per_s: float, duration_s: float = 0.3) -> None:
    for router, demand in zip(world.routers, demands_per_s, strict=False):
        router.demand_per_s = demand
        router.duration_s = duration_s


def make_lossy_link(world: LimitWorld, peer: int, message_type: type, grant_delay_s: float = 0.001) -> Link:
    """Makes a link that from now on loses all messages of one type from and to a router."""
    start = world.now

    def link(router: LimitRouter, other: LimitRouter, send: SendMessage) -> float | None:
        if isinstance(send.message, message_type) and peer in (router.me, other.me) and world.now >= start:
            return None
        return grant_delay_s if isinstance(send.message, QuotaGrant) and other.me == peer else 0.001

    return link


def delayed_grants(limits_class: type[FleetLimits], rule: LimitRule = RATE) -> LimitWorld:
    """Grants reach a router after half a second, and its later requests are lost; another needs the share."""
    world = make_world(limits_class, rule, 3)
    world.link_delay = (
        lambda router, other, send: 0.5 if isinstance(send.message, QuotaGrant) and other.me == 1 else 0.001
    )
    set_demand(world, 0, 300, 0)
    world.run(2.0).link_delay = make_lossy_link(world, 1, QuotaRequest, grant_delay_s=0.5)
    world.run(2.3)
    set_demand(world, 0, 300, 300)
    return world.run(4.0)


def lost_reduction(limits_class: type[FleetLimits]) -> LimitWorld:
    """A router's share is reduced, and the grant that tells it so is lost."""
    world = make_world(limits_class, STEEP, 3)
    set_demand(world, 0, 4000, 0)
    world.run(2.0).link_delay = make_lossy_link(world, 1, QuotaGrant)
    set_demand(world, 0, 4000, 4000)
    return world.run(3.0)


def isolated_holder(limits_class: type[FleetLimits]) -> LimitWorld:
    """The holder and a router with a grant are isolated until another router has acquired the lease."""
    world = make_world(limits_class, RATE, 5)
    set_demand(world, 0, 300, 0, 300, 0)
    world.run(2.0)
    for router in world.routers:
        router.partition_side = router.me // 2
    world.routers[4].partition_side = 1
    world.run(6.0)
    limit_search.heal(world)
    return world.run(9.0)


def slow_and_fast_clocks(limits_class: type[FleetLimits]) -> LimitWorld:
    """The router of a grant has a slow clock, the holder a fast one; another requests between their ends."""
    for step in range(20):
        world = make_world(limits_class, STEEP, 3)
        for router, rate in zip(world.routers, (1.05, 0.95, 1.05), strict=True):
            router.clock_rate = rate
        world.run(0.8)
        set_demand(world, 0, 4000, 0)
        world.run(1.3).link_delay = make_lossy_link(world, 1, QuotaRequest)
        world.run(1.7 + step * 0.01)
        set_demand(world, 0, 4000, 4000)
        world.arrive(world.routers[2])
        if world.run(world.now + 0.1).audits["steep"].is_exceeded:
            break
    return world


def stalled_holder(limits_class: type[FleetLimits]) -> LimitWorld:
    """The holder's process is stopped for longer than its lease, and then continues."""
    world = make_world(limits_class, RATE, 5)
    set_demand(world, 300, 0, 300)
    world.run(2.0)
    world.stall(world.routers[0], 3.0)
    return world.run(7.0)


def stalled_router(limits_class: type[FleetLimits]) -> LimitWorld:
    """A router is stopped until its grant has gone to another router; a surge uses up what both have."""
    world = make_world(limits_class, SLOW, 3)
    set_demand(world, 0, 4, 0)
    world.run(3.5)
    world.stall(world.routers[1], 8.0)
    set_demand(world, 0, 1, 4)
    world.run(11.499)
    world.surge(60)
    return world.run(12.0)


def unused_tokens(limits_class: type[FleetLimits]) -> LimitWorld:
    """A grant expires with a full bucket, and another router's fills; a surge uses up what both have."""
    world = make_world(limits_class, SLOW, 3)
    set_demand(world, 0, 4, 0)
    world.run(6.0)
    set_demand(world, 0, 0, 4)
    world.run(12.0)
    world.surge(60)
    return world.run(13.0)


def spent_grant(limits_class: type[FleetLimits]) -> LimitWorld:
    """The tokens of a grant are spent, it expires, and its share is granted to another router."""
    world = make_world(limits_class, SLOW, 3)
    set_demand(world, 0, 4, 0)
    world.run(6.0)
    world.surge(60)
    set_demand(world, 0, 0, 300)
    return world.run(8.0)


def restarted_routers(limits_class: type[FleetLimits]) -> LimitWorld:
    """Half of the routers restart just after all tokens have been spent."""
    world = make_world(limits_class, FLOORS, 4)
    world.run(5.0)
    world.surge(20)
    world.run(5.05)
    for router in world.routers[:2]:
        world.start(router)
    world.run(5.1).surge(20)
    return world.run(6.0)


def restarted_slots(limits_class: type[FleetLimits], floor: float = 1.0) -> LimitWorld:
    """A router restarts while requests of its former process are still in flight."""
    world = make_world(
        limits_class, LimitRule("places", LimitScope.SOURCE, "s", max_in_flight=8, floor_ratio=floor), 4
    )
    set_demand(world, 0, 30, duration_s=0.45)
    world.run(5.0).surge(20)
    world.run(5.05)
    world.start(world.routers[1])
    for _ in range(5):
        world.run(world.now + 0.02).surge(20)
    return world.run(6.0)


def long_requests(limits_class: type[FleetLimits]) -> LimitWorld:
    """An isolated router has demand for requests that would end after its grant."""
    world = make_world(limits_class, SLOTS, 3)
    set_demand(world, 0, 100, duration_s=0.1)
    world.run(2.0).link_delay = make_lossy_link(world, 1, QuotaRequest)
    set_demand(world, 0, 100, duration_s=1.0)
    world.run(2.2)
    set_demand(world, 0, 100, 100, duration_s=1.0)
    world.routers[2].duration_s = 0.1
    return world.run(3.5)


def isolated_router(limits_class: type[FleetLimits]) -> LimitWorld:
    """In open mode, the router that has the whole limit is isolated permanently."""
    world = make_world(limits_class, OPEN, 5)
    set_demand(world, 0, 300, 0, 300)
    world.routers[3].demand_per_s = 0
    world.run(2.0)
    world.routers[1].partition_side = 1
    set_demand(world, 0, 300, 0, 300)
    return world.run(8.0)


def fast_clocks(limits_class: type[FleetLimits]) -> LimitWorld:
    world = make_world(
        limits_class,
        LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=100.0, burst=30.0, floor_ratio=1.0),
        2,
    )
    for router in world.routers:
        router.clock_rate = 1.05
    set_demand(world, 300, 300)
    return world.run(15.0)


GUARD_SCENARIOS: tuple[tuple[type[FleetLimits], Callable[[type[FleetLimits]], LimitWorld]], ...] = (
    (limit_guards.ValidFromReceipt, delayed_grants),
    (limit_guards.AnyRequestAnswered, delayed_grants),
    (limit_guards.LowerShareAtOnce, lost_reduction),
    (limit_guards.WithoutWait, isolated_holder),
    (limit_guards.WithoutDriftOfGrants, slow_and_fast_clocks),
    (limit_guards.FormerTermRemembered, stalled_holder),
    (limit_guards.ExpiryFoundLate, stalled_router),
    (limit_guards.WithoutClipping, unused_tokens),
    (limit_guards.RaisedWithTokens, spent_grant),
    (limit_guards.FullAtStart, restarted_routers),
    (limit_guards.FloorsNeverBlocked, restarted_slots),
    (limit_guards.FormerProcessForgotten, lambda limits_class: restarted_slots(limits_class, 0.0)),
    (limit_guards.EndingAfterGrant, long_requests),
    (limit_guards.WholeGrantRetained, isolated_router),
    (limit_guards.FilledByFastClock, fast_clocks),
)


@pytest.mark.parametrize(
    ("without_guard", "scenario"), GUARD_SCENARIOS, ids=[each.__name__ for each, _ in GUARD_SCENARIOS]
)
def test_a_limit_is_kept_and_is_exceeded_without_the_guard(
    without_guard: type[FleetLimits], scenario: Callable[[type[FleetLimits]], LimitWorld]
) -> None:
    for limits_class, is_exceeded in ((FleetLimits, False), (without_guard, True)):
        world = scenario(limits_class)
        (audit,) = world.audits.values()
        assert audit.is_exceeded is is_exceeded, (limits_class, audit.max_ratio)
        assert len(audit.admitted) > 8


def admitted_per_s(world: LimitWorld, since: float, until: float) -> float:
    """Returns the requests per second that were admitted between two times."""
    (audit,) = world.audits.values()
    return sum(since <= at < until for at in audit.admitted) / (until - since)


def test_a_partitioned_fleet_serves_its_floors_and_recovers() -> None:
    rule = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=100.0, burst=40.0)
    world = make_world(FleetLimits, rule, 4)
    set_demand(world, 60, 60, 60, 60)
    world.run(4.0)
    assert admitted_per_s(world, 2.0, 4.0) > 93
    for router in world.routers:
        router.partition_side = router.me
    world.run(10.0)
    # Leases and grants have expired: each router uses its floor, a quarter of a fifth of the limit.
    assert 17 < admitted_per_s(world, 7.0, 10.0) <= 20
    limit_search.heal(world)
    world.run(14.0)
    assert admitted_per_s(world, 12.0, 14.0) > 93
    assert not world.audits["rate"].is_exceeded


def test_a_killed_holder_during_a_demand_shift_is_replaced_within_seconds() -> None:
    rule = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=400.0, burst=240.0)
    world = make_world(FleetLimits, rule, 4)
    set_demand(world, 80, 1200, 80, 80)
    world.run(4.0)
    world.start(world.routers[0])
    set_demand(world, 80, 80, 1200, 80)
    world.run(10.0)
    # The lease has expired; another router has acquired it and waited for the validity of a grant.
    assert admitted_per_s(world, 7.0, 10.0) > 0.8 * 400
    assert not world.audits["rate"].is_exceeded


@pytest.mark.parametrize(("fast_ratio", "min_used"), [(0.0, 0.95), (None, 0.90)])
def test_the_limit_is_used_again_two_seconds_after_a_demand_shift(
    fast_ratio: float | None, min_used: float
) -> None:
    """At most 5 % of the limit stays unused; filling slowed by the drift of `ClusterBounds` adds 4.8 %."""
    rule = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=400.0, burst=400.0)
    world = LimitWorld(3, 4, (rule,), clock_error=0.0, fast_ratio=fast_ratio)
    world.long_delay_ratio = 0.0
    set_demand(world, 300, 40, 40, 300)
    world.run(6.0)
    set_demand(world, 40, 600, 40, 40)
    world.run(12.0)
    assert admitted_per_s(world, 8.0, 12.0) > min_used * 400
    assert not world.audits["rate"].is_exceeded


def test_open_mode_never_exceeds_its_multiple_while_routers_are_isolated_in_turn() -> None:
    """One router after the other gets the whole limit and is isolated, until all retain their parts."""
    rule = LimitRule(
        "open",
        LimitScope.CLASS,
        "c",
        rate_per_s=100.0,
        burst=60.0,
        floor_ratio=0.2,
        mode=PartitionMode.OPEN,
        open_factor=1.5,
    )
    for limits_class, is_exceeded in ((FleetLimits, False), (limit_guards.WholeGrantRetained, True)):
        world = make_world(limits_class, rule, 5)
        for peer in (4, 3, 2, 1):
            world.routers[peer].demand_per_s = 400
            world.run(world.now + 3.0)
            world.routers[peer].partition_side = peer
        world.run(world.now + 4.0)
        assert world.audits["open"].is_exceeded is is_exceeded
        if not is_exceeded:
            # Four routers retain a tenth of the limit each, besides their floors; the fifth has no demand.
            assert 40 < admitted_per_s(world, world.now - 2.0, world.now) <= 4 * (4 + 10)


def test_random_worlds_exceed_no_limit() -> None:
    for seed in range(4):
        world = limit_search.run_world(seed)
        assert not [name for name, audit in world.audits.items() if audit.is_exceeded], seed


def test_long_requests_start_on_granted_slots_only_where_grants_are_extended() -> None:
    for extension_s, is_admitted in ((0.0, False), (1.0, True)):
        world = LimitWorld(1, 3, (SLOTS,), clock_error=0.0, slot_grant_extension_s=extension_s)
        set_demand(world, 40, 40, duration_s=1.0)
        world.run(6.0)
        assert bool(world.audits["places"].admitted) is is_admitted
        assert not world.audits["places"].is_exceeded


def test_a_burst_too_small_for_all_routers_is_used_in_turns() -> None:
    rule = LimitRule("rate", LimitScope.CLASS, "c", rate_per_s=20.0, burst=2.0)
    world = make_world(FleetLimits, rule, 4)
    set_demand(world, 40, 40, 40, 40)
    world.run(50.0)
    # Two routers at a time for 4.8 s; each change of turns costs the validity of a grant.
    assert min(router.admitted for router in world.routers) > 100 and admitted_per_s(world, 10.0, 50.0) > 13
    assert not world.audits["rate"].is_exceeded
