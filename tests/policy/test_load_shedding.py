"""Load shedding, fill admission and edge weights by load reports, alone and through the router."""

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from driver import EDGES, ORIGIN, PARENTS, SAFE, UNSAFE, Driver
from hypothesis import given
from hypothesis import strategies as st

from paddlequay.placement.homes import Homes, digest
from paddlequay.policy.edge_weights import MAX_WEIGHT_BIAS
from paddlequay.policy.fill_admission import REPORTED_FILL_SPAN, admits_fill_by_report
from paddlequay.policy.load_shedding import EDGE_SPAN, MAX_REPORT_AGE_S, TRANSFERS_AT_FULL_RATE, ZoneLoad
from paddlequay.protocol.load_reports import load_report
from paddlequay.routing.interface import (
    AttemptEnded,
    Fetch,
    LoadReport,
    Outcome,
    Reject,
    RejectCause,
    ReplyDetail,
)
from paddlequay.routing.state import CacheTier

IDLE = {"active": 2.0, "cpu": 0.2, "x1": 0.3}
FULL_LINK = IDLE | {"x1": 2 * REPORTED_FILL_SPAN.high}
OVERLOADED = {"active": 2 * TRANSFERS_AT_FULL_RATE * EDGE_SPAN.high, "cpu": 1.0, "x1": 0.3}


def contended_driver() -> Driver:
    """Returns a driver of one of fourteen routers that send to four edges, which fill from three parents."""
    return Driver(
        members=(*EDGES, *PARENTS, ORIGIN), router_count=194, zone_router_count=14, bypass_allowed=False
    )


def end(driver: Driver, fetch: Fetch, load: dict[str, float] | None = None) -> None:
    """Ends an attempt as served at once, with a load report if one is given."""
    ended = AttemptEnded(
        fetch.request,
        0,
        fetch.target,
        Outcome.SERVED,
        0.01,
        True,
        ReplyDetail.HIT,
        load_report=load_report((load or {}).items()),
    )
    driver.router.handle(ended, driver.now)


def fetches_by_key(driver: Driver, keys: range) -> list[tuple[int, Fetch]]:
    return [(key, each) for key in keys for each in driver.request(key) if isinstance(each, Fetch)]


def report_load(driver: Driver, load: dict[str, float]) -> None:
    """Sends requests until every edge has answered one with this load report."""
    reported: set[str] = set()
    for key in range(10_000, 10_200):
        for _, fetch in fetches_by_key(driver, range(key, key + 1)):
            reported.add(fetch.target)
            end(driver, fetch, load)
        if len(reported) == len(EDGES):
            return
    raise AssertionError(f"only {reported} were asked")


def test_with_a_full_link_the_preferred_edge_serves_cached_objects_without_fills() -> None:
    """Fills through a link with forty times the transfers that fit caused hits to be rejected as well."""
    driver = contended_driver()
    report_load(driver, FULL_LINK)
    fetches = [fetch for _, fetch in fetches_by_key(driver, range(20))]
    assert len(fetches) == 20 and all(fetch.target == fetch.source for fetch in fetches)
    ended = AttemptEnded(fetches[0].request, 0, fetches[0].target, Outcome.MISS, 0.001)
    answer = driver.router.handle(ended, driver.now)
    assert [each.cause for each in answer if isinstance(each, Reject)] == [RejectCause.LINK_FULL] and len(
        answer
    ) == 1


@pytest.mark.parametrize(("load", "skips"), [(IDLE, True), (FULL_LINK, False)])
def test_a_busy_preferred_edge_is_skipped_only_while_the_link_has_capacity(
    load: dict[str, float], skips: bool
) -> None:
    """The next edge would fill the object a second time, through the link that is full."""
    driver, keys, home_of = contended_driver(), range(1, 9), {}
    report_load(driver, load | {"cpu": 0.7})
    for key in keys:
        for _, fetch in fetches_by_key(driver, range(key, key + 1)):
            home_of[key] = fetch.target
            end(driver, fetch)
    again = fetches_by_key(driver, keys)
    assert len(again) == len(keys)
    assert any(fetch.target != home_of[key] for key, fetch in again) == skips


def test_a_routers_own_requests_do_not_make_an_edge_busy_that_reports_capacity() -> None:
    """A router whose share is below one request must not reject what the edge has capacity for."""
    driver = contended_driver()
    report_load(driver, IDLE | {"cpu": 0.7})
    actions = [each for key in range(60) for each in driver.request(key)]
    assert not any(isinstance(each, Reject) for each in actions)


def test_a_report_of_saturation_sheds_load_at_once_and_expires() -> None:
    driver = contended_driver()
    report_load(driver, OVERLOADED)
    actions = [each for key in range(60) for each in driver.request(key)]
    rejected = [each for each in actions if isinstance(each, Reject)]
    assert len(rejected) > 40 and {each.cause for each in rejected} == {RejectCause.EDGE_BUSY}
    for each in actions:
        if isinstance(each, Fetch):
            end(driver, each, OVERLOADED)
    driver.now += 10 * MAX_REPORT_AGE_S
    assert fetches_by_key(driver, range(60, 70))


def test_with_few_routers_reports_of_a_full_link_shed_no_requests() -> None:
    """One or two routers at an edge know its load from their own requests."""
    driver = Driver(
        members=(*EDGES, *PARENTS, ORIGIN), router_count=4, zone_router_count=1, bypass_allowed=False
    )
    report_load(driver, FULL_LINK)
    fetches = [fetch for _, fetch in fetches_by_key(driver, range(8))]
    assert len(fetches) == 8 and all(fetch.target != fetch.source for fetch in fetches)


def weights_after(seconds: float, seed: int, period: float = 0.7, noise: float = 0.1) -> dict[str, float]:
    """Returns one router's weights of four edges, whose utilization follows from those weights."""
    rng = random.Random(seed)
    zone_load, sizes = ZoneLoad(), {"small": 4.0, "usual": 6.0, "other": 6.0, "large": 10.0}
    due = sorted((rng.uniform(0.0, period), name) for name in sizes)
    while due[0][0] < seconds:
        now, name = due.pop(0)
        total = sum(zone_load.weights.relative_weight(each) for each in sizes)
        utilization = min(
            1.0, 16.0 * zone_load.weights.relative_weight(name) / total / sizes[name]
        ) + rng.uniform(-noise, noise)
        zone_load.record(name, LoadReport(5.0, utilization), now)
        due = sorted([*due, (now + rng.uniform(0.5, 1.5) * period, name)])
    return {name: zone_load.weights.relative_weight(name) for name in sizes}


def test_placement_weights_favour_larger_machines_until_utilisation_is_equal() -> None:
    """Equal shares overload a small machine (30 requests in flight) beside a large one with 6."""
    edge_weights = weights_after(15.0, seed=1)
    assert max(edge_weights.values()) == edge_weights["large"] == 1.0
    assert edge_weights["small"] < edge_weights["usual"] < 1.0
    assert edge_weights["small"] == pytest.approx(0.4, abs=0.12)  # the ratio of their capacities, 4 and 10


def test_routers_with_different_report_times_and_noise_prefer_about_the_same_edges() -> None:
    members = [(name, name, 1.0) for name in ("small", "usual", "other", "large")]
    homes: Homes[str] = Homes()
    homes.reset(members)
    all_weights = [weights_after(12.0, seed, period=0.3 + 0.1 * seed) for seed in range(14)]
    agreeing_routers = 0
    for key in range(400):
        first_homes = Counter(
            next(homes.order(digest(str(key)), edge_weights.__getitem__)) for edge_weights in all_weights
        )
        agreeing_routers += first_homes.most_common(1)[0][1]
    assert agreeing_routers / (400 * len(all_weights)) > 0.9


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(-1e9, 1e9), st.floats(0, 100)), max_size=60))
def test_weights_stay_within_their_bounds_for_any_reports(reports: list[tuple[str, float, float]]) -> None:
    zone_load, now = ZoneLoad(), 0.0
    for name, utilization, after in reports:
        now += after
        zone_load.record(name, LoadReport(utilization, utilization), now)
    zone_load.forget("a")
    for name in "abcd":
        assert math.exp(-2 * MAX_WEIGHT_BIAS) - 1e-9 <= zone_load.weights.relative_weight(name) <= 1.0


def test_reports_of_removed_members_are_dropped() -> None:
    driver = contended_driver()
    report_load(driver, IDLE)
    assert len(driver.router.state.zone_load.reports) == len(EDGES)
    for edge in EDGES:
        driver.router.state.members.forget(edge.name)
    assert not driver.router.state.zone_load.reports


def test_routers_with_the_same_report_shed_the_same_share() -> None:
    """The share of requests that two hundred routers admit by one report falls evenly over the span."""
    shares = []
    low, high = REPORTED_FILL_SPAN
    for load in (low, low + 0.2 * (high - low), (low + high) / 2, high):
        zone_load = ZoneLoad()
        zone_load.record("a", LoadReport(link_multiple=load), 0.0)
        shares.append(sum(admits_fill_by_report(zone_load, number / 200, 0.1) for number in range(200)) / 200)
    assert shares[0] == 1.0 and shares[-1] == 0.0
    assert shares == sorted(shares, reverse=True) and 0.2 < shares[2] < shares[1] < 1.0


@given(st.floats(0, 1e6), st.floats(0, 1), st.floats(0, 1e3))
def test_a_higher_reported_load_never_admits_more_requests(
    load: float, sampling_draw: float, more: float
) -> None:
    low, high = ZoneLoad(), ZoneLoad()
    for zone_load, value in ((low, load), (high, load + more)):
        zone_load.record("a", LoadReport(value, 1.0, link_multiple=value), 0.0)
    assert high.has_capacity("a", sampling_draw, 0.0) <= low.has_capacity("a", sampling_draw, 0.0)
    assert admits_fill_by_report(high, sampling_draw, 0.0) <= admits_fill_by_report(low, sampling_draw, 0.0)
    assert 0.0 <= REPORTED_FILL_SPAN.shed_ratio(load) <= 1.0


def restarted_zone(x1: float, x0: float = 0.0) -> Driver:
    """Returns a driver of a zone whose edges have all restarted and report that they are empty."""
    driver = Driver(members=(*EDGES, *PARENTS, ORIGIN), router_count=194, zone_router_count=14)
    report = load_report((IDLE | {"x1": x1, "x0": x0}).items())
    for edge in EDGES:
        driver.router.state.zone_load.record(edge.name, report, driver.now)
    driver.update_members(*(replace(edge, started=driver.now) for edge in EDGES))
    for edge in EDGES:
        driver.router.state.zone_load.record(edge.name, report, driver.now)
    return driver


@pytest.mark.parametrize(("x1", "has_capacity"), [(0.3, True), (1.2, False), (30.0, False)])
def test_no_request_bypasses_the_edges_through_a_link_that_fills_use(x1: float, has_capacity: bool) -> None:
    """Requests that bypass edges in slow start must leave capacity of the link to fill those edges."""
    driver, causes, targets = restarted_zone(x1), Counter[RejectCause](), Counter[str]()
    for key in range(40):
        (action,) = driver.request(key)
        if isinstance(action, Fetch):
            targets[action.target.partition("-")[0]] += 1
            driver.serve(action, ReplyDetail.FILLED)
        elif isinstance(action, Reject):
            causes[action.cause] += 1
    assert (targets, causes) == (({"parent": 40}, {}) if has_capacity else ({}, {RejectCause.LINK_FULL: 40}))


def test_a_full_link_sheds_the_most_bytes_per_priority_weight_first() -> None:
    """Shedding a class with half of the requests and an eighth of the bytes relieves no link."""
    zone_load = ZoneLoad(14)
    zone_load.record("edge-0", load_report(FULL_LINK.items()), 1.0)
    assert not any(admits_fill_by_report(zone_load, sampling_draw / 10, 1.0) for sampling_draw in range(10))
    assert all(
        admits_fill_by_report(
            zone_load, sampling_draw / 10, 1.0, cost=REPORTED_FILL_SPAN.low / FULL_LINK["x1"]
        )
        for sampling_draw in range(10)
    )
    classes = (SAFE, replace(SAFE, name="films", priority_weight=2.0), UNSAFE)
    driver, costs = Driver(classes=classes, router_count=194, zone_router_count=14), {}
    driver.router.state.latency.work |= {"pages": 0.1, "films": 0.8, "pays": 9.0}
    for cacheable_class in ("pages", "films"):
        (fetch,) = driver.request(1, class_name=cacheable_class)
        assert isinstance(fetch, Fetch)
        costs[cacheable_class] = driver.router.state.fill_admission.cost(
            driver.router.requests[fetch.request]
        )
    assert costs == {"pages": pytest.approx(0.25), "films": 1.0}


def test_a_request_to_a_busy_edge_is_rejected_without_an_error_if_no_class_is_cacheable() -> None:
    """The relative cost of a class needs a cacheable class to compare with."""
    driver = Driver(
        members=EDGES, classes=(UNSAFE,), router_count=194, zone_router_count=14, bypass_allowed=False
    )
    for upstream in driver.router.state.members.upstreams.values():
        upstream.in_flight, upstream.late_ratio = 9.0, 1.0
    (answer,) = driver.request(1, class_name="pays")
    assert isinstance(answer, Reject)


@pytest.mark.parametrize(("x0", "cached_reads"), [(0.0, 0), (1.0, 30)])
def test_at_a_full_link_an_edge_in_slow_start_gets_only_requests_it_may_have_cached(
    x0: float, cached_reads: int
) -> None:
    """A cached read takes as much of an edge in slow start as a fill."""
    driver = restarted_zone(FULL_LINK["x1"], x0)
    driver.router.state.members.slow_start[CacheTier.EDGE].load_per_member = 100.0
    driver.request(99)  # the first request starts the refill of the edges' tokens
    driver.now += 1.0
    for edge in EDGES:
        driver.router.state.zone_load.record(
            edge.name, load_report((FULL_LINK | {"x0": x0}).items()), driver.now
        )
    fetches = [each for key in range(30) for each in driver.request(key) if isinstance(each, Fetch)]
    assert len(fetches) == cached_reads and all(each.target == each.source for each in fetches)
