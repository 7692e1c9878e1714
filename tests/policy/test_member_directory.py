"""The endpoint list, members in slow start, state from a predecessor, and events that are ignored."""

from dataclasses import replace

import pytest
from driver import EDGES, ORIGIN, PARENTS, Driver, fetches, settings

from paddlequay.policy import Router
from paddlequay.policy.outlier_ejection import EJECTION_FAILURES, SAME_FAILURE_S
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
    RequestClass,
    SetTimer,
    StateInherited,
    Subscribe,
    TimerFired,
)
from paddlequay.routing.state import CacheTier


def test_a_draining_or_removed_member_is_neither_target_nor_source() -> None:
    driver = Driver()
    home = driver.fetch()
    draining = Member(home.source, "hub", "parent", 0, MemberState.DRAINING)
    driver.update_members(draining, Member(home.target, state=MemberState.REMOVED))
    later = driver.fetch()
    assert later.source != home.source and later.target != home.target


def test_a_member_back_from_a_drain_is_used_at_once_without_earlier_state() -> None:
    """A member that operators put back must not stay ejected for failures before the drain."""
    driver = Driver()
    home = driver.fetch(key=7).target
    (edge,) = [each for each in EDGES if each.name == home]
    for _ in range(EJECTION_FAILURES):
        driver.end(driver.fetch(key=7), Outcome.CONNECT_FAILED)
        driver.now += 2 * SAME_FAILURE_S
    assert driver.router.state.members.upstreams[home].ejected
    driver.update_members(replace(edge, state=MemberState.DRAINING))
    away = driver.fetch(key=7)
    driver.serve(away, ReplyDetail.FILLED)
    assert away.target != home
    driver.update_members(edge)
    again = driver.fetch(key=7)
    assert again.target == home and again.source == away.target  # from the edge that holds it by now
    assert all(fetch.source != home for fetch in map(driver.fetch, range(20)))


def test_a_successor_continues_with_the_limits_of_its_predecessor() -> None:
    """With the initial limits, a successor would reject a third of what its only edge can serve."""
    members = (*EDGES[:1], *PARENTS, ORIGIN)
    predecessor, successor = Driver(members), Driver(members)

    def report(fetch: Fetch) -> None:
        load = LoadReport(utilization=0.3, link_multiple=0.2)
        predecessor.router.handle(
            AttemptEnded(
                fetch.request, 0, fetch.target, Outcome.SERVED, 0.05, True, ReplyDetail.HIT, None, load
            ),
            predecessor.now,
        )

    def send_requests(driver: Driver) -> list[Fetch]:
        return [fetch for key in range(60) for fetch in fetches(driver.request(key))]

    report(predecessor.fetch())
    sent_fetches = send_requests(predecessor)  # nothing is rejected while the edge reports spare capacity
    assert len(sent_fetches) == 60
    for fetch in sent_fetches:
        report(fetch)
    successor.now = predecessor.now = predecessor.now + 5.0
    initial_count = len(send_requests(Driver(members)))
    successor.router.handle(StateInherited(predecessor.router.export_state()), successor.now)
    assert len(send_requests(successor)) > 2 * initial_count > 0
    rates = [
        each.router.state.members.slow_start[CacheTier.EDGE].load_per_member
        for each in (successor, predecessor)
    ]
    assert rates[0] == rates[1] > 0.0


def test_a_zone_wholly_in_slow_start_gets_less_load_than_when_warm() -> None:
    """Dividing the load by the few warm-member equivalents of such a zone would allow too much."""
    driver = Driver()
    for n in range(1000):
        driver.now += 0.01
        driver.serve(driver.fetch(n), ReplyDetail.FILLED)
    driver.update_members(
        *[Member(e.name, e.zone, e.kind, 0, MemberState.READY, started=driver.now) for e in EDGES]
    )
    sent = 0
    for n in range(100):
        driver.now += 0.01
        for fetch in fetches(driver.request(5000 + n)):
            sent += fetch.target.startswith("edge")
            driver.serve(fetch, ReplyDetail.FILLED)
    assert 0 < sent <= 100 * 0.3 * 2.5 / 2 / 0.75 + 4 * 4


def test_a_member_in_slow_start_gets_its_share_of_the_load_and_no_more() -> None:
    driver = Driver()

    def run_second(first_key: int) -> list[Fetch]:
        sent = []
        for n in range(100):
            driver.now += 0.01
            sent += fetches(driver.request(first_key + n))
            driver.serve(sent[-1], ReplyDetail.FILLED)
        return sent

    for n in range(10):
        run_second(n * 1000)
    warming = Member("edge-0", "here", "cache", 0, MemberState.READY, started=driver.now)
    driver.update_members(warming)
    early = sum(fetch.target == warming.name for fetch in run_second(20000))
    assert 0 < early <= 20
    driver.now += 20
    run_second(30000)
    assert sum(fetch.target == warming.name for fetch in run_second(40000)) > early


def test_a_router_without_known_load_sends_nothing_to_a_parent_in_slow_start() -> None:
    warming = tuple(Member(p.name, p.zone, p.kind, 0, MemberState.READY, started=100.0) for p in PARENTS)
    driver = Driver((*EDGES, *warming, ORIGIN))
    assert driver.fetch().source == ORIGIN.name


def test_late_duplicate_and_unknown_events_are_ignored() -> None:
    driver = Driver()
    fetch = driver.fetch()
    assert driver.router.handle(ClientDisconnected(fetch.request), driver.now) == []
    for _ in range(2):
        assert driver.end(fetch, Outcome.TIMEOUT) == []
    assert driver.router.handle(ClientDisconnected("never"), driver.now) == []
    assert driver.router.handle(TimerFired("never"), driver.now) == []
    assert all(upstream.in_flight == 0 for upstream in driver.router.state.members.upstreams.values())


def test_a_failed_subscription_to_the_endpoint_list_is_repeated_after_a_delay() -> None:
    driver = Driver(must_subscribe=True)
    assert Subscribe() in driver.initial_actions
    (timer,) = driver.router.handle(MembersChanged((), failed=True), driver.now)
    assert isinstance(timer, SetTimer)
    assert driver.router.handle(TimerFired(timer.token), driver.now + 1) == [Subscribe()]


def test_invalid_settings_are_rejected_with_the_field() -> None:
    with pytest.raises(ValueError, match="deadline"):
        Router(settings(classes=(RequestClass("x", 0.1, 0.0, Idempotency.IDEMPOTENT),)), 1)
    with pytest.raises(ValueError, match="routers"):
        Router(settings(router_count=-1), 1)
    with pytest.raises(ValueError, match="classes"):
        Router(settings(classes=()), 1)


@pytest.mark.parametrize(("x0", "sent"), [(0.0, 0), (0.4, 20), (None, 20)])
def test_an_edge_that_restarts_empty_is_in_slow_start_before_the_endpoint_list_reports_it(
    x0: float | None, sent: int
) -> None:
    """Otherwise, the first edge that is back would get 3.5 times the load that it can serve."""
    driver = Driver(members=(EDGES[0], *PARENTS, ORIGIN))
    upstream = driver.router.state.members.upstreams["edge-0"]
    first = driver.fetch(1)
    upstream.ejected = True
    load = LoadReport(active_requests=1.0, utilization=0.1, hit_ratio=x0)
    ended = AttemptEnded(
        first.request, 0, "edge-0", Outcome.SERVED, 0.05, True, ReplyDetail.FILLED, load_report=load
    )
    driver.router.handle(ended, driver.now)
    assert not upstream.ejected
    sent_to_edge = [f for key in range(20) for f in fetches(driver.request(key)) if f.target == "edge-0"]
    assert len(sent_to_edge) == sent
    # The start time in the endpoint list replaces the presumed one.
    driver.update_members(replace(EDGES[0], started=driver.now - 16.0))
    assert driver.fetch(50).target == "edge-0"
