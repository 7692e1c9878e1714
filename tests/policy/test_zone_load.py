"""Room by the caches' own words, alone and through the module: pure, without sockets."""

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
JAM = {"active": 2 * TRANSFERS_AT_FULL_RATE * EDGE_SPAN.high, "cpu": 1.0, "x1": 0.3}


def crowd() -> Driver:
    """One router of fourteen at each of four edges, which fill from three parents."""
    return Driver(
        members=(*EDGES, *PARENTS, ORIGIN), router_count=194, zone_router_count=14, bypass_allowed=False
    )


def end(driver: Driver, fetch: Fetch, load: dict[str, float] | None = None) -> None:
    """An answer at once, with a cache's load report where one is given."""
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


def asked(driver: Driver, keys: range) -> list[tuple[int, Fetch]]:
    return [(key, each) for key in keys for each in driver.ask(key) if isinstance(each, Fetch)]


def say(driver: Driver, load: dict[str, float]) -> None:
    """Have every edge give its word."""
    heard: set[str] = set()
    for key in range(10_000, 10_200):
        for _, fetch in asked(driver, range(key, key + 1)):
            heard.add(fetch.target)
            end(driver, fetch, load)
        if len(heard) == len(EDGES):
            return
    raise AssertionError(f"only {heard} were asked")


def test_with_a_full_link_the_preferred_edge_serves_cached_objects_without_fills() -> None:
    """calm+mass: fills went on into a link with forty times the transfers that fit, and hits were refused."""
    driver = crowd()
    say(driver, FULL_LINK)
    fetches = [fetch for _, fetch in asked(driver, range(20))]
    assert len(fetches) == 20 and all(fetch.target == fetch.source for fetch in fetches)
    ended = AttemptEnded(fetches[0].request, 0, fetches[0].target, Outcome.MISS, 0.001)
    answer = driver.router.handle(ended, driver.now)
    assert [each.cause for each in answer if isinstance(each, Reject)] == [RejectCause.LINK_FULL] and len(
        answer
    ) == 1


@pytest.mark.parametrize(("load", "passed"), [(IDLE, True), (FULL_LINK, False)])
def test_a_busy_preferred_edge_is_skipped_only_while_the_link_has_capacity(
    load: dict[str, float], passed: bool
) -> None:
    """calm+mass: the next edge filled the object a second time, through the link that was short."""
    driver, keys, home = crowd(), range(1, 9), {}
    say(driver, load | {"cpu": 0.7})
    for key in keys:
        for _, fetch in asked(driver, range(key, key + 1)):
            home[key] = fetch.target
            end(driver, fetch)
    again = asked(driver, keys)
    assert len(again) == len(keys)
    assert any(fetch.target != home[key] for key, fetch in again) == passed


def test_an_edge_that_reports_capacity_is_not_full_by_this_routers_own_requests() -> None:
    """A share of a limit under one request turned away what the edge could bear."""
    driver = crowd()
    say(driver, IDLE | {"cpu": 0.7})
    actions = [each for key in range(60) for each in driver.ask(key)]
    assert not any(isinstance(each, Reject) for each in actions)


def test_a_report_of_saturation_sheds_load_at_once_and_expires() -> None:
    driver = crowd()
    say(driver, JAM)
    actions = [each for key in range(60) for each in driver.ask(key)]
    refused = [each for each in actions if isinstance(each, Reject)]
    assert len(refused) > 40 and {each.cause for each in refused} == {RejectCause.EDGE_BUSY}
    for each in actions:
        if isinstance(each, Fetch):
            end(driver, each, JAM)
    driver.now += 10 * MAX_REPORT_AGE_S
    assert asked(driver, range(60, 70))


def test_with_few_routers_in_flight_requests_decide_and_reports_do_not_shed() -> None:
    """The platform's own days have one or two routers at an edge."""
    driver = Driver(
        members=(*EDGES, *PARENTS, ORIGIN), router_count=4, zone_router_count=1, bypass_allowed=False
    )
    say(driver, FULL_LINK)
    fetches = [fetch for _, fetch in asked(driver, range(8))]
    assert len(fetches) == 8 and all(fetch.target != fetch.source for fetch in fetches)


def shares_after(seconds: float, seed: int, period: float = 0.7, noise: float = 0.1) -> dict[str, float]:
    """One router's weights of a small, two usual and a large machine whose use follows from what all send."""
    rng = random.Random(seed)
    room, sizes = ZoneLoad(), {"small": 4.0, "usual": 6.0, "other": 6.0, "large": 10.0}
    due = sorted((rng.uniform(0.0, period), name) for name in sizes)
    while due[0][0] < seconds:
        now, name = due.pop(0)
        total = sum(room.weights.relative_weight(each) for each in sizes)
        use = min(1.0, 16.0 * room.weights.relative_weight(name) / total / sizes[name]) + rng.uniform(
            -noise, noise
        )
        room.record(name, LoadReport(5.0, use), now)
        due = sorted([*due, (now + rng.uniform(0.5, 1.5) * period, name)])
    return {name: room.weights.relative_weight(name) for name in sizes}


def test_placement_weights_favour_larger_machines_until_utilisation_is_equal() -> None:
    """calm+mass: equal shares jammed a small machine (use 1.0, 30 held) beside one of use 0.3 with 6."""
    shares = shares_after(15.0, seed=1)
    assert max(shares.values()) == shares["large"] == 1.0
    assert shares["small"] < shares["usual"] < 1.0
    assert shares["small"] == pytest.approx(0.4, abs=0.12)  # four to ten


def test_routers_with_different_report_times_and_noise_prefer_about_the_same_edges() -> None:
    members = [(name, name, 1.0) for name in ("small", "usual", "other", "large")]
    homes: Homes[str] = Homes()
    homes.reset(members)
    fleet = [shares_after(12.0, seed, period=0.3 + 0.1 * seed) for seed in range(14)]
    agreed = 0
    for key in range(400):
        firsts = Counter(next(homes.order(digest(str(key)), shares.__getitem__)) for shares in fleet)
        agreed += firsts.most_common(1)[0][1]
    assert agreed / (400 * len(fleet)) > 0.9


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(-1e9, 1e9), st.floats(0, 100)), max_size=60))
def test_weights_stay_within_their_bounds_for_any_reports(words: list[tuple[str, float, float]]) -> None:
    room, now = ZoneLoad(), 0.0
    for name, use, after in words:
        now += after
        room.record(name, LoadReport(use, use), now)
    room.forget("a")
    for name in "abcd":
        assert math.exp(-2 * MAX_WEIGHT_BIAS) - 1e-9 <= room.weights.relative_weight(name) <= 1.0


def test_reports_of_removed_members_are_dropped() -> None:
    driver = crowd()
    say(driver, IDLE)
    assert len(driver.router.state.zone_load.reports) == len(EDGES)
    for edge in EDGES:
        driver.router.state.members.forget(edge.name)
    assert not driver.router.state.zone_load.reports


def test_routers_with_the_same_report_shed_the_same_share() -> None:
    """Two hundred routers on one word: the sum falls evenly over the span, and none decides for itself."""
    shares = []
    low, high = REPORTED_FILL_SPAN
    for load in (low, low + 0.2 * (high - low), (low + high) / 2, high):
        room = ZoneLoad()
        room.record("a", LoadReport(link_multiple=load), 0.0)
        shares.append(sum(admits_fill_by_report(room, number / 200, 0.1) for number in range(200)) / 200)
    assert shares[0] == 1.0 and shares[-1] == 0.0
    assert shares == sorted(shares, reverse=True) and 0.2 < shares[2] < shares[1] < 1.0


@given(st.floats(0, 1e6), st.floats(0, 1), st.floats(0, 1e3))
def test_more_load_never_admits_more(load: float, luck: float, more: float) -> None:
    less, much = ZoneLoad(), ZoneLoad()
    for room, value in ((less, load), (much, load + more)):
        room.record("a", LoadReport(value, 1.0, link_multiple=value), 0.0)
    assert much.has_capacity("a", luck, 0.0) <= less.has_capacity("a", luck, 0.0)
    assert admits_fill_by_report(much, luck, 0.0) <= admits_fill_by_report(less, luck, 0.0)
    assert 0.0 <= REPORTED_FILL_SPAN.position(load) <= 1.0


def lost_zone(x1: float, x0: float = 0.0) -> Driver:
    """A plaza all of whose edges came back empty a moment ago, and say so: nothing is saved up for them."""
    driver = Driver(members=(*EDGES, *PARENTS, ORIGIN), router_count=194, zone_router_count=14)
    report = load_report((IDLE | {"x1": x1, "x0": x0}).items())
    for edge in EDGES:
        driver.router.state.zone_load.record(edge.name, report, driver.now)
    driver.list(*(replace(edge, started=driver.now) for edge in EDGES))
    for edge in EDGES:
        driver.router.state.zone_load.record(edge.name, report, driver.now)
    return driver


@pytest.mark.parametrize(("x1", "passes"), [(0.3, True), (1.2, False), (30.0, False)])
def test_no_request_bypasses_the_edges_through_a_link_that_fills_use(x1: float, passes: bool) -> None:
    """zone+vast: what went past cold edges kept the link twenty times full: no edge was filled again."""
    driver, causes, by = lost_zone(x1), Counter[RejectCause](), Counter[str]()
    for key in range(40):
        (action,) = driver.ask(key)
        if isinstance(action, Fetch):
            by[action.target.partition("-")[0]] += 1
            driver.serve(action, ReplyDetail.FILLED)
        elif isinstance(action, Reject):
            causes[action.cause] += 1
    assert (by, causes) == (({"parent": 40}, {}) if passes else ({}, {RejectCause.LINK_FULL: 40}))


def test_a_full_link_sheds_the_most_bytes_per_priority_weight_first() -> None:
    """Photos are an eighth of the bytes and half of the requests: shed alike, they gave the link no room."""
    room = ZoneLoad(14)
    room.record("edge-0", load_report(FULL_LINK.items()), 1.0)
    assert not any(admits_fill_by_report(room, luck / 10, 1.0) for luck in range(10))
    assert all(
        admits_fill_by_report(room, luck / 10, 1.0, cost=REPORTED_FILL_SPAN.low / FULL_LINK["x1"])
        for luck in range(10)
    )
    classes = (SAFE, replace(SAFE, name="films", priority_weight=2.0), UNSAFE)
    driver, dear = Driver(classes=classes, router_count=194, zone_router_count=14), {}
    driver.router.state.latency.work |= {"pages": 0.1, "films": 0.8, "pays": 9.0}
    for kind in ("pages", "films"):
        (fetch,) = driver.ask(1, kind=kind)
        assert isinstance(fetch, Fetch)
        dear[kind] = driver.router.state.fill_admission.cost(driver.router.requests[fetch.request])
    assert dear == {"pages": pytest.approx(0.25), "films": 1.0}


def test_a_busy_edge_is_no_error_without_a_cacheable_class() -> None:
    """What has most bytes was looked for among the classes kept, of which there need be none."""
    driver = Driver(
        members=EDGES, classes=(UNSAFE,), router_count=194, zone_router_count=14, bypass_allowed=False
    )
    for server in driver.router.state.members.upstreams.values():
        server.in_flight, server.late_ratio = 9.0, 1.0
    (answer,) = driver.ask(1, kind="pays")
    assert isinstance(answer, Reject)


@pytest.mark.parametrize(("x0", "looks"), [(0.0, 0), (1.0, 30)])
def test_at_a_full_link_a_warming_edge_gets_only_what_it_may_have_cached(x0: float, looks: int) -> None:
    """A look takes of what a cold edge bears as much as a fill: empty ones had nothing left for fills."""
    driver = lost_zone(FULL_LINK["x1"], x0)
    driver.router.state.members.slow_start[CacheTier.EDGE].load_per_member = 100.0
    driver.ask(99)  # from the first request on work is saved up for them
    driver.now += 1.0
    for edge in EDGES:
        driver.router.state.zone_load.record(
            edge.name, load_report((FULL_LINK | {"x0": x0}).items()), driver.now
        )
    fetches = [each for key in range(30) for each in driver.ask(key) if isinstance(each, Fetch)]
    assert len(fetches) == looks and all(each.target == each.source for each in fetches)
