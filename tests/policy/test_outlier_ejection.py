"""Outlier ejection: which failures eject a member, and how probes readmit it."""

import pytest
from driver import Driver, fetches

from paddlequay.policy.outlier_ejection import (
    EJECTION_FAILURES,
    PROBE_DELAY_S,
    RECENT_SUCCESS_S,
    SAME_FAILURE_S,
)
from paddlequay.routing.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Outcome,
    OutlierReported,
    Reject,
    ReplyDetail,
)


def test_a_parent_is_ejected_after_consecutive_failures_and_probed_by_one_request() -> None:
    driver = Driver()
    home = driver.fetch().source
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR, ReplyDetail.SOURCE_UNREACHABLE)
    assert driver.fetch().source != home
    driver.now += PROBE_DELAY_S + 0.1
    probe = driver.fetch()
    assert probe.source == home
    assert driver.fetch().source != home
    driver.serve(probe, ReplyDetail.FILLED)
    assert driver.fetch().source == home


@pytest.mark.parametrize(
    ("detail", "ejected"), [(ReplyDetail.SOURCE_UNREACHABLE, True), (ReplyDetail.SOURCE_REJECTED, False)]
)
def test_a_parent_that_edges_cannot_reach_is_ejected_and_a_full_one_is_not(
    detail: ReplyDetail, ejected: bool
) -> None:
    """An unreachable parent that stayed in use cost 3,376 attempts and used up the retry budgets."""
    driver = Driver(detailed_replies=True)
    source = driver.fetch(key=7).source
    for _ in range(EJECTION_FAILURES):
        fetch = driver.fetch(key=7)
        assert fetch.source == source
        driver.now += 2 * SAME_FAILURE_S
        driver.end(fetch, Outcome.REJECTED, detail)
    assert (driver.fetch(key=7).source != source) == ejected


def test_a_dead_edge_is_ejected_and_its_pending_requests_are_cancelled() -> None:
    driver = Driver()
    in_flight = [driver.fetch(key) for key in range(20)]
    dead = in_flight[0].target
    waiting = [fetch for fetch in in_flight if fetch.target == dead]
    actions: list[Action] = []
    for fetch in waiting[:EJECTION_FAILURES]:
        actions = driver.end(fetch, Outcome.CONNECT_FAILED)
        driver.now += 2 * SAME_FAILURE_S
        assert all(again.target != dead for again in fetches(actions))
    cancelled = {action.request for action in actions if isinstance(action, Cancel)}
    assert cancelled == {fetch.request for fetch in waiting[EJECTION_FAILURES:]}
    assert all(driver.fetch(key).target != dead for key in range(20))


def test_one_broken_connection_is_one_failure_whatever_was_in_flight_on_it() -> None:
    """A broken connection ends many requests at once, which is one failure of its member."""
    driver = Driver()
    fetched = [driver.fetch(key) for key in range(20)]
    edge = fetched[0].target
    lost = [fetch for fetch in fetched if fetch.target == edge]
    assert len(lost) >= EJECTION_FAILURES
    actions = [action for fetch in lost for action in driver.end(fetch, Outcome.RESET)]
    assert not any(isinstance(action, Cancel) for action in actions)
    assert edge in {driver.fetch(key).target for key in range(20)}


@pytest.mark.parametrize("unresponsive", [True, False])
def test_a_timeout_on_an_unresponsive_connection_does_not_count_against_the_source(
    unresponsive: bool,
) -> None:
    """Incident r969070: limits of parents were cut for an unresponsive connection to an edge."""
    driver = Driver(detailed_replies=True)
    fetch = driver.fetch()
    source = driver.router.state.members.upstreams[fetch.source]
    limit = source.concurrency_limit
    for number in range(EJECTION_FAILURES):
        driver.now += 1.0
        attempt = driver.fetch(key=100 * number) if number else fetch
        event = AttemptEnded(
            attempt.request, 0, attempt.target, Outcome.TIMEOUT, 1.0, unresponsive=unresponsive
        )
        again = fetches(driver.router.handle(event, driver.now))
        assert (again[0].target == attempt.target) is not unresponsive
    assert (source.concurrency_limit == limit and not source.failures) is unresponsive


def test_an_error_without_a_detail_counts_only_against_a_member_that_serves_no_request() -> None:
    """A malformed request is answered with an error by each member that it is sent to."""
    driver = Driver(detailed_replies=True)
    good = driver.fetch()
    driver.serve(good, ReplyDetail.HIT)
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAILURE_S
    assert driver.fetch().target == good.target
    driver.now += RECENT_SUCCESS_S
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAILURE_S
    assert driver.fetch().target != good.target


def test_a_member_that_answers_other_requests_is_not_ejected_for_timeouts() -> None:
    """If a member were ejected in an overload, its fills would move to parents that lack the objects."""
    driver = Driver()
    home = driver.fetch()
    for _ in range(2 * EJECTION_FAILURES):
        slow, quick = driver.fetch(), driver.fetch()
        driver.now += 1.0
        driver.serve(quick, ReplyDetail.FILLED)
        driver.end(slow, Outcome.TIMEOUT)
    assert driver.fetch().target == home.target


def test_a_member_without_any_answer_is_ejected() -> None:
    driver = Driver()
    home = driver.fetch()
    in_flight = [driver.fetch() for _ in range(2 * EJECTION_FAILURES)]
    driver.now += 1.0
    for fetch in in_flight:
        driver.end(fetch, Outcome.TIMEOUT)
    later = driver.fetch()
    assert (later.target, later.source) != (home.target, home.source)


def test_after_an_outlier_report_a_probe_comes_first_and_one_failure_ejects() -> None:
    driver = Driver()
    home = driver.fetch().source
    driver.now += RECENT_SUCCESS_S + 0.1
    driver.router.handle(OutlierReported(home), driver.now)
    probe = driver.fetch()
    assert probe.source == home  # the probe is due at once
    assert driver.fetch().source != home
    driver.end(probe, Outcome.ERROR, ReplyDetail.SOURCE_UNREACHABLE)
    assert driver.fetch().source != home  # after a failed probe, the next one is due later
    driver.now += PROBE_DELAY_S + 0.1
    again = driver.fetch()
    assert again.source == home
    driver.serve(again, ReplyDetail.FILLED)
    assert driver.fetch().source == home


def test_a_member_that_served_recently_is_not_ejected_by_an_outlier_report() -> None:
    driver = Driver()
    fetch = driver.fetch()
    driver.serve(fetch, ReplyDetail.FILLED)
    driver.router.handle(OutlierReported(fetch.source), driver.now + 0.2)
    driver.now += 0.3
    assert [driver.fetch().source for _ in range(3)] == [fetch.source] * 3
    driver.router.handle(OutlierReported("nobody"), driver.now)


@pytest.mark.parametrize("unresponsive", [True, False])
def test_a_timeout_from_a_too_short_client_deadline_counts_against_no_member(unresponsive: bool) -> None:
    """1,300 first attempts in 8 s timed out before any answer was due, and edges were ejected."""
    driver = Driver(detailed_replies=True)
    state = driver.router.state
    slowness = state.latency.latency_ratio["pages"]
    for _ in range(EJECTION_FAILURES + 1):
        (fetch,) = fetches(driver.request(time_left=0.2))  # the class's objective is 0.3 s
        assert fetch.timeout == pytest.approx(0.2)
        driver.now += 0.2
        event = AttemptEnded(fetch.request, 0, fetch.target, Outcome.TIMEOUT, 0.2, unresponsive=unresponsive)
        (answer,) = driver.router.handle(event, driver.now)
        assert isinstance(answer, Reject)
    members = [state.members.upstreams[name] for name in (fetch.target, fetch.source)]
    assert [upstream.failures for upstream in members] == [0, 0] and not any(
        upstream.late_ratio for upstream in members
    )
    assert state.latency.latency_ratio["pages"] == slowness
