"""Limits of work out at members: what is shed, and what moves them."""

import pytest
from driver import EDGES, ORIGIN, Driver, fetches

from paddlequay.routing.interface import AttemptEnded, Fail, Outcome, Reject, ReplyDetail


@pytest.mark.parametrize("routers_here", [1, 200])
def test_an_idle_router_among_many_rejects_nothing_while_nothing_is_in_flight_or_late(
    routers_here: int,
) -> None:
    """calm+mass, 200 routers: 23.5% refused with no fault, by chance on a share of the limit under one."""
    driver = Driver(router_count=200, zone_router_count=routers_here)
    for key in range(1000):
        driver.now += 0.05
        actions = driver.ask(key % 300)
        assert not any(isinstance(action, Reject | Fail) for action in actions)
        for fetch in fetches(actions):
            driver.now += 0.001
            driver.serve(fetch, ReplyDetail.HIT)


def test_a_quota_under_one_request_still_sheds_while_answers_are_late() -> None:
    """The guard of a jam stays: many routers behind a late member each send less of what comes."""
    driver = Driver(members=(EDGES[0], ORIGIN), router_count=200, zone_router_count=67, bypass_allowed=False)
    fetch = driver.fetch()
    driver.now += 0.6
    driver.router.handle(AttemptEnded(fetch.request, 0, fetch.target, Outcome.SERVED, 2.0, True), driver.now)
    actions = [action for key in range(200) for action in driver.ask(key)]
    refused = sum(isinstance(action, Reject) for action in actions)
    assert 0 < refused < 200


def test_late_answers_lower_a_members_limit_and_timely_ones_raise_it() -> None:
    """Incident i732561: in a jam nothing was late to the router, so nothing was shed."""
    driver = Driver()
    name = driver.fetch().target
    start = driver.router.state.members.upstreams[name].concurrency_limit
    for _ in range(20):
        fetch = driver.fetch()
        driver.now += 0.6
        event = AttemptEnded(fetch.request, 0, name, Outcome.SERVED, 2.0, True, ReplyDetail.HIT)
        driver.router.handle(event, driver.now)
    lowered = driver.router.state.members.upstreams[name].concurrency_limit
    assert lowered < start / 2
    for _ in range(40):
        driver.now += 1.0
        held = [action for _ in range(4) for action in fetches(driver.ask(part=0))]
        for fetch in held:
            driver.serve(fetch, ReplyDetail.HIT)
    assert driver.router.state.members.upstreams[name].concurrency_limit > lowered


@pytest.mark.parametrize(("waited", "at_fault"), [(1.5, "source"), (None, "source"), (0.1, "target")])
def test_a_late_fill_counts_against_the_source_only_if_it_waited_for_it(
    waited: float | None, at_fault: str
) -> None:
    """upgrade+hand: one edge bore its whole location and was late, and parents' limits were cut for it."""
    driver = Driver()
    servers = driver.router.state.members.upstreams
    first = driver.fetch()
    before = {name: servers[name].concurrency_limit for name in (first.target, first.source)}
    for _ in range(10):
        fetch = driver.fetch()
        driver.now += 0.6
        driver.router.handle(
            AttemptEnded(
                fetch.request, 0, fetch.target, Outcome.SERVED, 2.0, True, ReplyDetail.FILLED, waited
            ),
            driver.now,
        )
    cut = {name for name, limit in before.items() if servers[name].concurrency_limit < limit}
    assert cut == {first.source if at_fault == "source" else first.target}
