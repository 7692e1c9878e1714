"""Origin shedding by the waits of fills from the origin."""

import pytest
from driver import EDGES, ORIGIN, PARENTS, Driver

from paddlequay.policy.load_shedding import MAX_REPORT_AGE_S
from paddlequay.policy.origin_shedding import WAIT_DECAY_S, WAIT_SPAN, OriginWait
from paddlequay.routing.interface import (
    AttemptEnded,
    ClientDisconnected,
    Fetch,
    LoadReport,
    Outcome,
    Reject,
    ReplyDetail,
)


def fill(
    driver: Driver, key: int, wait: float, detail: ReplyDetail = ReplyDetail.FILLED_FROM_ORIGIN
) -> Fetch:
    """Serves a read of a new object, whose fill waited for `wait` seconds."""
    (fetch,) = driver.request(key)
    assert isinstance(fetch, Fetch)
    ended = AttemptEnded(
        fetch.request, 0, fetch.target, Outcome.SERVED, wait + 0.05, True, detail, source_wait=wait
    )
    driver.router.handle(ended, driver.now)
    return fetch


def slow_origin_driver(wait: float, detail: ReplyDetail = ReplyDetail.FILLED_FROM_ORIGIN) -> Driver:
    """Returns a driver of a router whose recent fills waited for `wait` seconds."""
    driver = Driver(detailed_replies=True)
    for key in range(1000, 1020):
        fill(driver, key, wait, detail)
        driver.now += 0.2
    return driver


@pytest.mark.parametrize(
    ("wait", "detail", "only_if_cached"),
    [
        (0.1, ReplyDetail.FILLED_FROM_ORIGIN, False),
        (0.9, ReplyDetail.FILLED_FROM_ORIGIN, True),
        (0.9, ReplyDetail.FILLED, False),  # a parent's own wait says nothing about the origin
    ],
)
def test_while_fill_waits_exceed_the_objective_parents_serve_cached_objects(
    wait: float, detail: ReplyDetail, only_if_cached: bool
) -> None:
    """After a purge of everything, fills waited 0.7 s and the origin did half of the work that it can do."""
    driver = slow_origin_driver(wait, detail)
    for key in range(20):
        fetch = driver.fetch(key)
        assert fetch.source.startswith("parent") and fetch.only_if_cached == only_if_cached
        driver.serve(fetch, ReplyDetail.FILLED)
    if only_if_cached:
        fetch = driver.fetch(50)
        (cached_read,) = driver.end(fetch, Outcome.MISS, ReplyDetail.SOURCE_MISS)
        # The edge may serve its copy, fresh or stale.
        assert isinstance(cached_read, Fetch) and cached_read.source == cached_read.target
        (last,) = driver.end(cached_read, Outcome.MISS, attempt=1)
        assert isinstance(last, Reject)


def test_a_wait_longer_than_its_answer_took_is_ignored() -> None:
    """A corrupt wait of 1e300 s must not stop fills from the origin for minutes."""
    driver = Driver(detailed_replies=True)
    fetch = driver.fetch(1)
    ended = AttemptEnded(
        fetch.request,
        0,
        fetch.target,
        Outcome.SERVED,
        0.05,
        True,
        ReplyDetail.FILLED_FROM_ORIGIN,
        source_wait=1e300,
    )
    driver.router.handle(ended, driver.now)
    assert not driver.fetch(2).only_if_cached


def test_uncacheable_requests_are_not_shed_and_old_waits_expire() -> None:
    driver = slow_origin_driver(0.9)
    (write,) = driver.request(5, class_name="pays")
    assert isinstance(write, Fetch) and not write.only_if_cached
    driver.now += 3 * MAX_REPORT_AGE_S
    (fetch,) = driver.request(6)
    assert isinstance(fetch, Fetch) and not fetch.only_if_cached


def test_shedding_grows_over_the_span_and_ends_within_seconds_of_short_waits() -> None:
    waits = OriginWait()
    assert not waits.sheds(0.3, 0.0, 1.0)
    for step in range(50):
        waits.record(0.3, 1.0 + step * 0.1)
    middle = (
        sum(waits.sheds(0.3, sampling_draw / 100, waits.updated_at) for sampling_draw in range(100)) / 100
    )
    later = (
        sum(
            waits.sheds(0.3, sampling_draw / 100, waits.updated_at + MAX_REPORT_AGE_S / 4)
            for sampling_draw in range(100)
        )
        / 100
    )
    assert 0.0 < later < middle  # routers resume gradually and not all at once
    assert middle == pytest.approx((1.0 - WAIT_SPAN.low) / (WAIT_SPAN.high - WAIT_SPAN.low), abs=0.02)
    for step in range(30):
        waits.record(0.02, 6.0 + step * 0.1 * WAIT_DECAY_S)
    assert not waits.sheds(0.3, 0.0, 9.0)


@pytest.mark.parametrize(("x1", "only_if_cached"), [(0.3, True), (9.0, False)])
def test_abandoned_fills_count_for_the_origin_only_with_healthy_cache_and_link(
    x1: float, only_if_cached: bool
) -> None:
    """A stalled origin answers no fill, so abandoned fills have to count."""
    driver = Driver(
        members=(*EDGES, *PARENTS, ORIGIN), router_count=194, zone_router_count=14, detailed_replies=True
    )

    def report_load() -> None:
        report = LoadReport(1.0, 0.2, link_multiple=x1)
        for edge in EDGES:
            driver.router.state.zone_load.record(edge.name, report, driver.now)

    for key in range(100, 110):
        driver.router.state.zone_load.link_reported_at = -9.0  # admits fills whatever the load of the link
        fetch = driver.fetch(key)
        report_load()
        ended = AttemptEnded(fetch.request, 0, fetch.target, Outcome.TIMEOUT, 0.9)
        driver.router.handle(ended, driver.now)
        driver.router.handle(ClientDisconnected(fetch.request), driver.now)
        driver.now += 0.5
    assert driver.router.state.origin_wait.sheds(0.3, 0.5, driver.now) == only_if_cached


def test_an_abandoned_fill_never_shortens_the_estimated_wait() -> None:
    waits = OriginWait()
    for step in range(20):
        waits.record(1.6, 1.0 + step * 0.2)
    waits.record_abandoned(0.4, 5.0)
    assert waits.recent(5.0) > 1.45
    waits.record_abandoned(3.0, 5.5)
    assert waits.recent(5.5) > 1.6
