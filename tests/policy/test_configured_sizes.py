"""Concurrency limits with configured outgoing links, without reply details and load reports."""

import math
from dataclasses import replace

import pytest
from driver import ALL_MEMBERS, EDGES, ORIGIN, PARENTS, Driver

from paddlequay.policy.concurrency_limits import (
    INITIAL_LIMIT_REQUESTS,
    LIMIT_GROWTH_PER_S,
    MAX_LIMIT_REQUESTS,
    MIN_LIMIT_REQUESTS,
    MIN_REQUESTS_PER_TRANSFER,
)
from paddlequay.routing.interface import AttemptEnded, Fetch, Member, MemberState, Outcome
from paddlequay.routing.state import CacheTier

TRANSFER_CAPACITY = 4.0
SIZED_EDGES = tuple(
    Member(each.name, "here", "cache", 0, MemberState.READY, TRANSFER_CAPACITY) for each in EDGES
)
SIZED_PARENTS = tuple(Member(each.name, "hub", "parent", 0, MemberState.READY, 20.0) for each in PARENTS)
SIZED = (*SIZED_EDGES, *SIZED_PARENTS, ORIGIN)


def sized_driver(link: float | None = None, **changes: object) -> Driver:
    """Returns a driver of the only router of its zone, with `link` as the link's capacity in transfers.

    Its caches send no reply details and no load reports.
    """
    values: dict[str, object] = {
        "router_count": 2,
        "zone_router_count": 1,
        "flow_kb_per_s": 1000.0,
        "weights": "nominal",
    }
    values |= {"detailed_replies": False, "coalesces_fills": False, "link_kb_per_s": link and 1000.0 * link}
    return Driver(members=SIZED, **(values | changes))


def serve_late(driver: Driver, times: int) -> None:
    """Serves `times` requests far past their latency objective, without reply details."""
    for key in range(times):
        fetch = driver.fetch(key)
        driver.now += 0.6
        ended = AttemptEnded(fetch.request, 0, fetch.target, Outcome.SERVED, 2.0, True)
        driver.router.handle(ended, driver.now)


@pytest.mark.parametrize(("weights", "known"), [("nominal", True), ("off", False), (None, False)])
def test_limits_start_from_the_uplink_size_only_where_weights_give_it(
    weights: str | None, known: bool
) -> None:
    upstreams = sized_driver(weights=weights).router.state.members.upstreams
    for tier, name in (
        (CacheTier.EDGE, "edge-0"),
        (CacheTier.PARENT, "parent-0"),
        (CacheTier.ORIGIN, ORIGIN.name),
    ):
        fits = upstreams[name].member.weight if known else None
        assert upstreams[name].transfer_capacity == fits
        assert upstreams[name].concurrency_limit == (
            MIN_REQUESTS_PER_TRANSFER * fits if fits else INITIAL_LIMIT_REQUESTS[tier]
        )


def test_late_answers_cut_no_limit_below_the_uplink_capacity() -> None:
    """Limits of parents of 16 and 22 transfers, cut to 2, caused 506 of 729 rejections of one day."""
    driver = sized_driver()
    serve_late(driver, 60)
    limits = [driver.router.state.members.upstreams[each.name].concurrency_limit for each in SIZED_EDGES]
    assert min(limits) == MIN_REQUESTS_PER_TRANSFER * TRANSFER_CAPACITY


def test_a_parents_limit_does_not_grow_past_its_configured_size_without_feedback() -> None:
    driver = sized_driver()
    limits = driver.router.state.limits
    upstreams = driver.router.state.members.upstreams
    for upstream in (upstreams["parent-0"], upstreams[ORIGIN.name]):
        start = upstream.concurrency_limit
        upstream.in_flight = start
        for _ in range(20):
            driver.now += 1.0
            limits.record_answer(upstream, False, driver.now)
        has_size = upstream.transfer_capacity is not None
        assert (upstream.concurrency_limit < start * math.exp(21 * LIMIT_GROWTH_PER_S)) is has_size


def test_late_answers_without_a_reply_detail_do_not_count_against_parents() -> None:
    driver = sized_driver()
    serve_late(driver, 60)
    for parent in SIZED_PARENTS:
        upstream = driver.router.state.members.upstreams[parent.name]
        assert upstream.late_ratio == 0.0 and upstream.concurrency_limit == MIN_REQUESTS_PER_TRANSFER * 20.0


def test_without_reply_details_timely_answers_clear_a_parent_that_timed_out() -> None:
    """If failed fills count against a parent, successful fills must count for it."""
    driver = Driver(detailed_replies=False, router_count=12, zone_router_count=4)
    for number in range(6):
        driver.now += 0.6
        fetch = driver.fetch(key=number)
        driver.end(fetch, Outcome.TIMEOUT)
    parent = driver.router.state.members.upstreams[fetch.source]
    assert parent.late_ratio > 0.15
    served = 0
    for number in range(200):
        driver.now += 0.2
        (action,) = driver.request(key=1000 + number)
        if isinstance(action, Fetch):
            served += action.source == parent.member.name
            driver.serve(action)
    assert served > 20 and parent.late_ratio < 0.15


def test_invalid_sizes_are_ignored_and_limits_keep_their_bounds() -> None:
    for weight in (-1.0, 0.0, 0.001, 1e9):
        members = tuple(replace(each, weight=weight) for each in ALL_MEMBERS)
        driver = Driver(members, weights="nominal", flow_kb_per_s=300.0)
        for number in range(12):
            driver.request(key=number)
        limits = [upstream.concurrency_limit for upstream in driver.router.state.members.upstreams.values()]
        assert all(MIN_LIMIT_REQUESTS <= limit <= MAX_LIMIT_REQUESTS for limit in limits), (weight, limits)
