"""Who is skipped, for what, and for how long."""

import pytest
from driver import Driver, fetches

from paddlequay.policy.outlier_ejection import (
    EJECTION_FAILURES,
    PROBE_DELAY_S,
    RECENT_SUCCESS_S,
    SAME_FAULT_S,
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


def test_a_parent_is_skipped_after_consecutive_failures_and_retried_by_one_trial() -> None:
    driver = Driver()
    home = driver.fetch().source
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR, ReplyDetail.SOURCE_UNREACHABLE)
    assert driver.fetch().source != home
    driver.now += PROBE_DELAY_S + 0.1
    trial = driver.fetch()
    assert trial.source == home
    assert driver.fetch().source != home
    driver.serve(trial, ReplyDetail.FILLED)
    assert driver.fetch().source == home


@pytest.mark.parametrize(
    ("note", "skipped"), [(ReplyDetail.SOURCE_UNREACHABLE, True), (ReplyDetail.SOURCE_REJECTED, False)]
)
def test_a_parent_that_edges_cannot_reach_is_skipped_and_one_that_is_full_is_not(
    note: ReplyDetail, skipped: bool
) -> None:
    """split+mass: 3,376 attempts were refused for it while a zone was cut off, and used the repeats up."""
    driver = Driver(detailed_replies=True)
    source = driver.fetch(key=7).source
    for _ in range(EJECTION_FAILURES):
        fetch = driver.fetch(key=7)
        assert fetch.source == source
        driver.now += 2 * SAME_FAULT_S
        driver.end(fetch, Outcome.REJECTED, note)
    assert (driver.fetch(key=7).source != source) == skipped


def test_a_dead_edge_is_ejected_and_its_pending_requests_are_recalled() -> None:
    driver = Driver()
    held = [driver.fetch(key) for key in range(20)]
    dead = held[0].target
    waiting = [fetch for fetch in held if fetch.target == dead]
    actions: list[Action] = []
    for fetch in waiting[:EJECTION_FAILURES]:
        actions = driver.end(fetch, Outcome.CONNECT_FAILED)
        driver.now += 2 * SAME_FAULT_S
        assert all(again.target != dead for again in fetches(actions))
    cancelled = {action.request for action in actions if isinstance(action, Cancel)}
    assert cancelled == {fetch.request for fetch in waiting[EJECTION_FAILURES:]}
    assert all(driver.fetch(key).target != dead for key in range(20))


def test_one_broken_connection_is_one_failure_whatever_was_in_flight_on_it() -> None:
    """rude+garble+fleet: each broken connection got a healthy member skipped and all else there recalled."""
    driver = Driver()
    fetched = [driver.fetch(key) for key in range(20)]
    edge = fetched[0].target
    lost = [fetch for fetch in fetched if fetch.target == edge]
    assert len(lost) >= EJECTION_FAILURES
    actions = [action for fetch in lost for action in driver.end(fetch, Outcome.RESET)]
    assert not any(isinstance(action, Cancel) for action in actions)
    assert edge in {driver.fetch(key).target for key in range(20)}


@pytest.mark.parametrize("silent", [True, False])
def test_a_timeout_on_a_silent_connection_does_not_count_against_the_source(silent: bool) -> None:
    """r969070: parents were held to be jammed for a connection to an edge that had gone silent."""
    driver = Driver(detailed_replies=True)
    fetch = driver.fetch()
    source = driver.router.state.members.upstreams[fetch.source]
    limit = source.concurrency_limit
    for number in range(EJECTION_FAILURES):
        driver.now += 1.0
        late = driver.fetch(key=100 * number) if number else fetch
        event = AttemptEnded(late.request, 0, late.target, Outcome.TIMEOUT, 1.0, unresponsive=silent)
        again = fetches(driver.router.handle(event, driver.now))
        assert (again[0].target == late.target) is not silent
    assert (source.concurrency_limit == limit and not source.failures) is silent


def test_an_error_without_detail_counts_only_against_a_member_that_serves_nobody() -> None:
    """rude+garble+fleet: what no cache can use is answered 'error' by each that it is sent to."""
    driver = Driver(detailed_replies=True)
    good = driver.fetch()
    driver.serve(good, ReplyDetail.HIT)
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAULT_S
    assert driver.fetch().target == good.target
    driver.now += RECENT_SUCCESS_S
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(), Outcome.ERROR)
        driver.now += 2 * SAME_FAULT_S
    assert driver.fetch().target != good.target


def test_a_member_that_answers_others_is_slow_and_not_skipped() -> None:
    """Time-outs in a jam had members skipped, and their fills moved to parents that lacked the objects."""
    driver = Driver()
    home = driver.fetch()
    for _ in range(2 * EJECTION_FAILURES):
        slow, quick = driver.fetch(), driver.fetch()
        driver.now += 1.0
        driver.serve(quick, ReplyDetail.FILLED)
        driver.end(slow, Outcome.TIMEOUT)
    assert driver.fetch().target == home.target


def test_a_silent_member_is_ejected() -> None:
    driver = Driver()
    home = driver.fetch()
    held = [driver.fetch() for _ in range(2 * EJECTION_FAILURES)]
    driver.now += 1.0
    for fetch in held:
        driver.end(fetch, Outcome.TIMEOUT)
    later = driver.fetch()
    assert (later.target, later.source) != (home.target, home.source)


def test_after_a_gossiped_fault_the_health_check_comes_first_and_one_failure_ejects() -> None:
    driver = Driver()
    home = driver.fetch().source
    driver.now += RECENT_SUCCESS_S + 0.1
    driver.router.handle(OutlierReported(home), driver.now)
    trial = driver.fetch()
    assert trial.source == home  # at once, and alone
    assert driver.fetch().source != home
    driver.end(trial, Outcome.ERROR, ReplyDetail.SOURCE_UNREACHABLE)
    assert driver.fetch().source != home  # a failed trial puts the next one off
    driver.now += PROBE_DELAY_S + 0.1
    again = driver.fetch()
    assert again.source == home
    driver.serve(again, ReplyDetail.FILLED)
    assert driver.fetch().source == home


def test_a_member_that_served_lately_is_not_ejected_by_gossip() -> None:
    driver = Driver()
    fetch = driver.fetch()
    driver.serve(fetch, ReplyDetail.FILLED)
    driver.router.handle(OutlierReported(fetch.source), driver.now + 0.2)
    driver.now += 0.3
    assert [driver.fetch().source for _ in range(3)] == [fetch.source] * 3
    driver.router.handle(OutlierReported("nobody"), driver.now)


@pytest.mark.parametrize("silent", [True, False])
def test_a_timeout_from_a_too_short_client_deadline_counts_against_nobody(silent: bool) -> None:
    """join+mass: 1,300 first attempts in 8 s were over before any answer was due, and edges were skipped."""
    driver = Driver(detailed_replies=True)
    know = driver.router.state
    slowness = know.latency.latency_ratio["pages"]
    for _ in range(EJECTION_FAILURES + 1):
        (fetch,) = fetches(driver.ask(left=0.2))  # the class's aim is 0.3
        assert fetch.timeout == pytest.approx(0.2)
        driver.now += 0.2
        event = AttemptEnded(fetch.request, 0, fetch.target, Outcome.TIMEOUT, 0.2, unresponsive=silent)
        (answer,) = driver.router.handle(event, driver.now)
        assert isinstance(answer, Reject)
    asked = [know.members.upstreams[name] for name in (fetch.target, fetch.source)]
    assert [server.failures for server in asked] == [0, 0] and not any(server.late_ratio for server in asked)
    assert know.latency.latency_ratio["pages"] == slowness
