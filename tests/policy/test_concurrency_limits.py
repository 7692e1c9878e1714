"""Concurrency limits: which requests they shed, and how answers change them."""

import pytest
from driver import EDGES, ORIGIN, Driver, fetches

from paddlequay.routing.interface import AttemptEnded, Fail, Outcome, Reject, ReplyDetail


@pytest.mark.parametrize("zone_routers", [1, 200])
def test_an_idle_router_among_many_rejects_nothing_while_nothing_is_in_flight_or_late(
    zone_routers: int,
) -> None:
    """With 200 routers, each had a share below one request and rejected 23.5% of requests by chance."""
    driver = Driver(router_count=200, zone_router_count=zone_routers)
    for key in range(1000):
        driver.now += 0.05
        actions = driver.request(key % 300)
        assert not any(isinstance(action, Reject | Fail) for action in actions)
        for fetch in fetches(actions):
            driver.now += 0.001
            driver.serve(fetch, ReplyDetail.HIT)


def test_a_router_whose_share_is_below_one_request_sheds_load_while_answers_are_late() -> None:
    """In an overload, each of many routers must send only a part of its requests."""
    driver = Driver(members=(EDGES[0], ORIGIN), router_count=200, zone_router_count=67, bypass_allowed=False)
    fetch = driver.fetch()
    driver.now += 0.6
    driver.router.handle(AttemptEnded(fetch.request, 0, fetch.target, Outcome.SERVED, 2.0, True), driver.now)
    actions = [action for key in range(200) for action in driver.request(key)]
    rejected = sum(isinstance(action, Reject) for action in actions)
    assert 0 < rejected < 200


def test_late_answers_lower_a_members_limit_and_timely_ones_raise_it() -> None:
    """Incident i732561: no answer counted as late in an overload, so nothing was shed."""
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
        in_flight = [action for _ in range(4) for action in fetches(driver.request(part=0))]
        for fetch in in_flight:
            driver.serve(fetch, ReplyDetail.HIT)
    assert driver.router.state.members.upstreams[name].concurrency_limit > lowered


@pytest.mark.parametrize(("source_wait", "at_fault"), [(1.5, "source"), (None, "source"), (0.1, "target")])
def test_a_late_fill_counts_against_the_source_only_if_it_waited_for_it(
    source_wait: float | None, at_fault: str
) -> None:
    """An edge that serves its whole zone answers late; the limits of parents must not be cut for that."""
    driver = Driver()
    upstreams = driver.router.state.members.upstreams
    first = driver.fetch()
    before = {name: upstreams[name].concurrency_limit for name in (first.target, first.source)}
    for _ in range(10):
        fetch = driver.fetch()
        driver.now += 0.6
        driver.router.handle(
            AttemptEnded(
                fetch.request, 0, fetch.target, Outcome.SERVED, 2.0, True, ReplyDetail.FILLED, source_wait
            ),
            driver.now,
        )
    cut = {name for name, limit in before.items() if upstreams[name].concurrency_limit < limit}
    assert cut == {first.source if at_fault == "source" else first.target}
