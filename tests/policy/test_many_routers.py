"""Many routers at once: the load that they send to one member together, and their limits and holders."""

import random

import pytest

from paddlequay.policy import Router
from paddlequay.policy.concurrency_limits import INITIAL_LIMIT_REQUESTS, SHARE_TOLERANCE_STDDEVS
from paddlequay.policy.hot_objects import MAX_PART_AGE_S
from paddlequay.policy.load_shedding import MAX_REPORT_AGE_S
from paddlequay.policy.outlier_ejection import EJECTION_FAILURES, PROBE_DELAY_S
from paddlequay.routing.interface import (
    AttemptEnded,
    ClientDisconnected,
    Fetch,
    Idempotency,
    LoadReport,
    Member,
    MembersChanged,
    MemberState,
    Outcome,
    ReplyDetail,
    Request,
    RequestClass,
    RoutingSettings,
    SlowStart,
)
from paddlequay.routing.state import CacheTier

PAGES = RequestClass(
    "pages",
    0.3,
    2.5,
    Idempotency.IDEMPOTENT,
    objective_per_work=2.0,
    freshness_lifetime=8.0,
    stale_if_error=30.0,
)
WORK = 0.15  # seconds; equal to the estimate before any size is known, so that each request costs 1
SIZE_KB = 150.0
SLOW_START = SlowStart(initial_share=0.1, duration=20.0, overload_multiple=2.0, overload_window=3.0)


def make_routers(routers: int, members: tuple[Member, ...], has_details: bool = True) -> list[Router]:
    settings = RoutingSettings(
        zone="here",
        classes=(PAGES,),
        router_count=routers,
        zone_router_count=routers,
        parent_kind="parent",
        origin_kind="origin",
        coalesces_fills=True,
        detailed_replies=has_details,
        flow_kb_per_s=SIZE_KB / WORK,
        can_cancel=True,
        parent_slow_start=SLOW_START,
        edge_slow_start=SLOW_START,
    )
    all_routers = [Router(settings, seed) for seed in range(routers)]
    for router in all_routers:
        router.handle(MembersChanged(members, full=True), 1.0)
    return all_routers


def make_members(parents: int = 4, edges: int = 4) -> tuple[Member, ...]:
    return (
        *(Member(f"edge-{n}", "here", "cache", 0, MemberState.READY) for n in range(edges)),
        *(Member(f"parent-{n}", "hub", "parent", 1, MemberState.READY) for n in range(parents)),
        Member("origin", "hub", "origin", 2, MemberState.READY),
    )


def send(router: Router, name: str, key: int, now: float) -> list[Fetch]:
    actions = router.handle(Request(name, "pages", 2.5, key, 0, size_kb=SIZE_KB), now)
    return [action for action in actions if isinstance(action, Fetch)]


def end_attempt(
    router: Router,
    fetch: Fetch,
    outcome: Outcome,
    now: float,
    detail: ReplyDetail | None = None,
    attempt: int = 0,
) -> list[Fetch]:
    final = outcome is Outcome.SERVED
    event = AttemptEnded(fetch.request, attempt, fetch.target, outcome, 0.05, final, detail)
    return [action for action in router.handle(event, now) if isinstance(action, Fetch)]


@pytest.mark.parametrize("routers", [3, 30, 200])
@pytest.mark.parametrize("rate", [40.0, 400.0])
@pytest.mark.parametrize("restarts", ["parent", "edge"])
def test_all_routers_together_do_not_overload_a_member_in_slow_start(
    routers: int, rate: float, restarts: str
) -> None:
    """191 routers, each with tokens for one request to one parent in slow start, would overload it."""
    all_routers = make_routers(routers, make_members(), has_details=False)
    rng = random.Random(7)
    sent: list[float] = []
    warming = f"{restarts}-0"
    start, surge, stop = 20.0, 26.0, 32.0
    now, number, restarted = 1.0, 0, False
    while now < stop:
        # The surge triples the rate of requests. Each object is new, so that every read is a fill.
        now += rng.expovariate(rate * (3.0 if now > surge else 1.0))
        if now > start and not restarted:
            restarted = True
            zone, kind = ("hub", "parent") if restarts == "parent" else ("here", "cache")
            entry = Member(warming, zone, kind, 1, MemberState.READY, None, now)
            for router in all_routers:
                router.handle(MembersChanged((entry,)), now)
        number += 1
        router = all_routers[rng.randrange(routers)]
        for fetch in send(router, f"r{number}", number, now):
            if warming in (fetch.target, fetch.source) and restarted:
                sent.append(now)
            end_attempt(router, fetch, Outcome.SERVED, now)
    # Four members serve the load at no more than 0.7 of their capacity.
    assert (
        SLOW_START.initial_share
        and SLOW_START.duration
        and SLOW_START.overload_multiple
        and SLOW_START.overload_window
    )
    capacity = rate * WORK / 4 / 0.7
    for last in sent:
        share = (
            SLOW_START.initial_share + (1 - SLOW_START.initial_share) * (last - start) / SLOW_START.duration
        )
        work = WORK * sum(last - SLOW_START.overload_window < at <= last for at in sent)
        assert work <= SLOW_START.overload_multiple * share * capacity * SLOW_START.overload_window + 3 * WORK
    # At less than one request a second per router, a member may get none while it is cold.
    assert sent or rate / routers < 1.0


@pytest.mark.parametrize("routers", [1, 20, 200])
def test_requests_in_flight_at_an_edge_are_bounded_for_any_number_of_routers(routers: int) -> None:
    """A limit of sixteen requests for each router of a zone would be far more than an edge can serve."""
    all_routers = make_routers(routers, make_members(edges=1))
    in_flight = 0
    for number in range(4000):
        in_flight += len(send(all_routers[number % routers], f"r{number}", number, 2.0))
    share = INITIAL_LIMIT_REQUESTS[CacheTier.EDGE] / routers
    max_in_flight = routers * max(1.0, share + SHARE_TOLERANCE_STDDEVS * share**0.5)
    assert routers <= in_flight <= max_in_flight + 1e-6


@pytest.mark.parametrize(
    ("cores", "link", "age", "rejects"),
    [
        (0.1, 0.1, 0.1, False),
        (0.9, 0.1, 0.1, True),
        (0.1, 2.0, 0.1, True),
        (0.1, 0.1, MAX_REPORT_AGE_S, True),
    ],
)
def test_the_concurrency_limit_applies_unless_an_edge_has_recently_reported_spare_capacity(
    cores: float, link: float, age: float, rejects: bool
) -> None:
    """On a day without faults, limits rejected half of all requests at a reported utilization of 0.1."""
    (router,) = make_routers(1, make_members(edges=1, parents=40))
    (fetch,) = send(router, "first", 1, 2.0)
    report = LoadReport(4.0, cores, 0.5, link)
    answer = AttemptEnded(
        "first", 0, fetch.target, Outcome.SERVED, 0.05, True, ReplyDetail.FILLED, None, report
    )
    router.handle(answer, 2.0)
    sent = sum(len(send(router, f"r{number}", number, 2.0 + age)) for number in range(100))
    assert (sent < 30) if rejects else (sent == 100)


def test_a_full_edge_is_not_ejected_and_its_source_not_at_fault() -> None:
    """Incident i633f50: full edges were ejected for rejections and no longer served what they had cached."""
    (router,) = make_routers(1, make_members())
    for number in range(3 * EJECTION_FAILURES):
        (fetch,) = send(router, f"r{number}", 5, 2.0 + number)
        for again in end_attempt(router, fetch, Outcome.REJECTED, 2.0 + number):
            assert again.source == fetch.source
            router.handle(ClientDisconnected(again.request), 2.0 + number)
    assert not any(upstream.ejected for upstream in router.state.members.upstreams.values())


def test_without_reply_details_a_rejection_counts_against_the_source_and_the_next_parent_is_used() -> None:
    """Without reply details, a dead parent shows only as rejections of its fills."""
    (router,) = make_routers(1, make_members(), has_details=False)
    (fetch,) = send(router, "r1", 5, 2.0)
    (again,) = end_attempt(router, fetch, Outcome.REJECTED, 2.0)
    assert again.target == fetch.target
    assert again.source.startswith("parent") and again.source != fetch.source


def test_while_the_origin_is_down_only_cached_copies_are_requested_until_it_recovers() -> None:
    """Incident i633f50: misses waited at a dead origin and occupied capacity that hits needed."""
    (router,) = make_routers(1, make_members())
    now = 2.0
    for number in range(EJECTION_FAILURES):
        (fetch,) = send(router, f"r{number}", number, now)
        assert not fetch.only_if_cached and fetch.max_age is None
        (cached_read,) = end_attempt(router, fetch, Outcome.REJECTED, now, ReplyDetail.ORIGIN_FAILED)
        assert cached_read.source == cached_read.target and cached_read.max_age == 38.0
        assert end_attempt(router, cached_read, Outcome.MISS, now, attempt=1) == []
    (from_cache,) = send(router, "held", 50, now)
    assert from_cache.source.startswith("parent")
    assert from_cache.only_if_cached and from_cache.max_age == 38.0
    now += PROBE_DELAY_S
    (probe,) = send(router, "trial", 51, now)
    (other,) = send(router, "other", 52, now)
    assert not probe.only_if_cached and other.only_if_cached
    end_attempt(router, probe, Outcome.SERVED, now, ReplyDetail.FILLED_FROM_ORIGIN)
    assert not send(router, "after", 53, now)[0].only_if_cached


def test_a_restarted_member_counts_as_empty() -> None:
    """Holders are checked when they are looked up, not when a member leaves."""
    (router,) = make_routers(1, make_members())
    (fetch,) = send(router, "r1", 5, 2.0)
    end_attempt(router, fetch, Outcome.SERVED, 2.1, ReplyDetail.FILLED)
    part = next(iter(router.state.hot_objects.parts.values()))
    assert router.state.hot_objects.holders(part, router.state.members.upstreams, 2.2) == [fetch.target]
    router.handle(
        MembersChanged((Member(fetch.target, "here", "cache", 0, MemberState.READY, None, 2.2),)), 2.2
    )
    assert router.state.hot_objects.holders(part, router.state.members.upstreams, 2.2) == []


def test_removed_members_do_not_raise_the_slow_start_rate_of_the_rest() -> None:
    """Slow start must not count the load of removed edges as the load of the edge that is left."""
    (router,) = make_routers(1, make_members(edges=4))
    for number in range(400):
        (fetch,) = send(router, f"r{number}", number, 2.0 + number / 40)
        end_attempt(router, fetch, Outcome.SERVED, 2.0 + number / 40, ReplyDetail.HIT)
    warming = Member("edge-0", "here", "cache", 0, MemberState.READY, None, 12.0)
    router.handle(MembersChanged((warming,)), 12.0)
    before = router.state.members.slow_start[CacheTier.EDGE].allowed_rate(12.0, 12.0)
    removed = tuple(Member(f"edge-{n}", state=MemberState.REMOVED) for n in range(1, 4))
    router.handle(MembersChanged(removed), 12.0)
    assert before and router.state.members.slow_start[CacheTier.EDGE].allowed_rate(12.0, 12.0) == before


def test_a_router_count_of_none_or_zero_is_accepted() -> None:
    for count in (None, 0):
        settings = RoutingSettings(
            "here", (PAGES,), router_count=count, zone_router_count=count, parent_kind="parent"
        )
        router = Router(settings, 1)
        router.handle(MembersChanged(make_members(), full=True), 1.0)
        assert send(router, "r1", 5, 2.0)


def test_state_of_objects_read_long_ago_expires() -> None:
    """Most objects are new, so a table that kept the state of each would grow all day."""
    (router,) = make_routers(1, make_members())
    for number in range(400):
        for fetch in send(router, f"r{number}", number, 2.0 + number):
            end_attempt(router, fetch, Outcome.SERVED, 2.0 + number, ReplyDetail.HIT)
    assert len(router.state.hot_objects.parts) <= MAX_PART_AGE_S + 2
