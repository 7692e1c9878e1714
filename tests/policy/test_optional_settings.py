"""The ordinary path with and without each optional setting (the table in docs/design.md)."""

from dataclasses import replace

import pytest
from driver import EDGES, KEYED, ORIGIN, SAFE, UNSAFE, Driver, fetches

from paddlequay.protocol.load_reports import load_report
from paddlequay.routing.interface import AttemptEnded, Member, MemberState, Outcome, ReplyDetail

ALLOWED = [("any", True), ("location", True), ("off", False), (None, False)]


@pytest.mark.parametrize(("siblings", "is_source"), ALLOWED)
def test_a_sibling_is_a_source_only_where_the_settings_allow_it(
    siblings: str | None, is_source: bool
) -> None:
    driver = Driver(sibling_fills=siblings)
    first = driver.fetch()
    driver.serve(first)
    driver.update_members(*[Member(f"new-{n}", "here", "cache", 0, MemberState.READY) for n in range(40)])
    second = driver.fetch()
    assert second.target != first.target
    assert (second.source == first.target) is is_source and (is_source or second.source.startswith("parent"))


@pytest.mark.parametrize("coalesces", [True, False, None])
def test_fills_are_coalesced_only_where_caches_can(coalesces: bool | None) -> None:
    driver = Driver(coalesces_fills=coalesces, bypass_allowed=False)
    assert driver.fetch().coalesce is bool(coalesces)
    assert not driver.fetch(class_name="orders").coalesce


@pytest.mark.parametrize(("stale_time", "oldest"), [(30.0, 38.0), (0.0, None), (None, None)])
def test_stale_copies_are_served_only_within_their_time_and_without_a_source(
    stale_time: float | None, oldest: float | None
) -> None:
    driver = Driver(
        (EDGES[0], ORIGIN),
        classes=(replace(SAFE, stale_if_error=stale_time), KEYED, UNSAFE),
        bypass_allowed=False,
    )
    first = driver.fetch()
    assert first.max_age is None
    (cached_read,) = fetches(driver.end(first, Outcome.REJECTED, ReplyDetail.ORIGIN_FAILED))
    assert cached_read.target == cached_read.source and cached_read.max_age == oldest


@pytest.mark.parametrize("parallel", [True, False, None])
def test_no_hedged_request_is_sent_where_settings_forbid_it(parallel: bool | None) -> None:
    driver = Driver(parallel_attempts=parallel)
    first = driver.fetch()
    for _ in range(30):
        driver.now += 0.05
        for other in fetches(driver.request(part=1)):
            assert other.request != first.request
            driver.serve(other)
    (second,) = fetches(driver.end(first, Outcome.TIMEOUT))
    assert second.request == first.request


@pytest.mark.parametrize("cpu", [0.1, None])
def test_without_a_report_of_spare_capacity_the_requests_in_flight_make_a_member_busy(
    cpu: float | None,
) -> None:
    driver = Driver(members=(EDGES[0], ORIGIN), bypass_allowed=False)
    load = () if cpu is None else (("active", 2.0), ("cpu", cpu), ("x1", 0.1))
    first = driver.fetch()
    ended = AttemptEnded(
        first.request,
        0,
        first.target,
        Outcome.SERVED,
        0.05,
        True,
        ReplyDetail.HIT,
        load_report=load_report(load),
    )
    driver.router.handle(ended, driver.now)
    sent = sum(len(fetches(driver.request(key))) for key in range(200))
    assert (sent == 200) is (cpu is not None)
