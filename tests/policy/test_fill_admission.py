"""Fill admission by the configured size of the link: which fills are shed, which requests bypass edges."""

import json

import pytest
from driver import fetches
from harness import SETTINGS
from test_configured_sizes import SIZED_PARENTS, TRANSFER_CAPACITY, sized_driver

from paddlequay.config.settings import parse_settings
from paddlequay.policy.fill_admission import ESTIMATED_BYPASS_SPAN, ESTIMATED_FILL_SPAN, LinkLoad
from paddlequay.routing.interface import Fetch, Member, MemberState, Outcome, Reject, RejectCause
from paddlequay.routing.state import CacheTier


@pytest.mark.parametrize(("configured_kb_per_s", "capacity"), [(8000.0, 4.0), (0.0, None), (None, None)])
def test_the_link_capacity_of_the_own_zone_is_read_and_0_means_unknown(
    configured_kb_per_s: float | None, capacity: float | None
) -> None:
    data = json.loads(json.dumps(SETTINGS))
    data["extra"] |= {"oneFlowKbPerS": 2000.0, "inletKbPerS": [0.0, configured_kb_per_s]}
    if configured_kb_per_s is None:
        del data["extra"]["inletKbPerS"]
    settings = parse_settings(data)
    assert LinkLoad.from_settings(settings).transfer_capacity == capacity and settings.link_kb_per_s == (
        configured_kb_per_s or None
    )


def test_fills_are_shed_while_those_in_flight_fill_the_link() -> None:
    """Fills through a full link make edges answer late, and limits that are cut for it shed hits as well."""
    driver = sized_driver(link=2.0)
    # Edges have capacity, so that only the link decides.
    driver.router.state.limits.sharing_routers[CacheTier.EDGE] = 0.01
    fills: list[Fetch] = []
    while len(fills) < ESTIMATED_FILL_SPAN.high * 2.0:
        fills += [fetch for fetch in fetches(driver.request(len(fills))) if fetch.source != fetch.target]
    cached_read = driver.fetch(99)
    assert cached_read.target == cached_read.source
    (answer,) = driver.end(cached_read, Outcome.MISS)
    assert isinstance(answer, Reject) and answer.cause is RejectCause.LINK_FULL
    for fetch in fills:
        driver.serve(fetch)
    assert driver.router.state.zone_link.fills_in_flight == 0
    again = driver.fetch(100)
    assert again.target != again.source


def test_only_a_reply_detail_proves_that_a_request_does_not_use_the_link() -> None:
    for has_details in (False, True):
        driver = sized_driver(link=1.0, detailed_replies=has_details)
        driver.serve(driver.fetch(7))
        driver.router.state.zone_link.fills_in_flight = 50
        again = driver.fetch(7)
        assert (again.source == again.target) is not has_details


def test_fills_from_siblings_use_no_link_capacity() -> None:
    driver = sized_driver(link=10.0)
    driver.serve(driver.fetch())
    driver.update_members(
        *[Member(f"new-{n}", "here", "cache", 0, MemberState.READY, TRANSFER_CAPACITY) for n in range(40)]
    )
    second = driver.fetch()
    assert second.only_if_cached and driver.router.state.zone_link.fills_in_flight == 0


def test_uncached_objects_are_shed_first_and_the_costliest_class_before_others() -> None:
    link = LinkLoad(transfer_capacity=10.0, router_count=2.0, fills_in_flight=7)
    assert (
        link.utilization() == 1.4
        and link.admits_fill(sampling_draw=0.5)
        and not link.admits_fill(sampling_draw=0.5, cached=False)
    )
    assert link.admits_fill(sampling_draw=0.0, cost=0.25) and not link.admits_fill(sampling_draw=0.0)


@pytest.mark.parametrize("link", [None, 100.0])
def test_requests_bypass_busy_edges_only_within_the_known_link_capacity(link: float | None) -> None:
    """With two of three edges of a zone dead, the third one shed 525 requests although the link was idle."""
    driver = sized_driver(link)
    bypassing = rejected = 0
    for key in range(120):
        for action in driver.request(key):
            rejected += isinstance(action, Reject) and action.cause is RejectCause.EDGE_BUSY
            bypassing += isinstance(action, Fetch) and action.target in {each.name for each in SIZED_PARENTS}
    assert (bypassing > 0) is (link is not None) and (rejected > 0 or link is not None)


def test_no_request_bypasses_busy_edges_through_a_full_link() -> None:
    driver = sized_driver(link=64.0)
    link, bypassing = driver.router.state.zone_link, 0
    for key in range(300):
        utilization = link.utilization()
        for fetch in fetches(driver.request(key)):
            if fetch.target in {each.name for each in SIZED_PARENTS}:
                bypassing += 1
                assert utilization < ESTIMATED_BYPASS_SPAN.high
    assert bypassing
