"""The link into the location where settings tell its size: what is shed for it, what goes past edges."""

import json

import pytest
from driver import fetches
from harness import SETTINGS
from test_policy_sizes import FITS, SIZED_PARENTS, sized

from paddlequay.config.settings import parse_settings
from paddlequay.policy.fill_admission import ESTIMATED_BYPASS_SPAN, ESTIMATED_FILL_SPAN, LinkLoad
from paddlequay.routing.interface import Fetch, Member, MemberState, Outcome, Reject, RejectCause
from paddlequay.routing.state import CacheTier


@pytest.mark.parametrize(("told", "fits"), [(8000.0, 4.0), (0.0, None), (None, None)])
def test_the_own_locations_link_capacity_is_read_and_0_means_unknown(
    told: float | None, fits: float | None
) -> None:
    data = json.loads(json.dumps(SETTINGS))
    data["extra"] |= {"oneFlowKbPerS": 2000.0, "inletKbPerS": [0.0, told]}
    if told is None:
        del data["extra"]["inletKbPerS"]
    settings = parse_settings(data)
    assert LinkLoad.from_settings(settings).transfer_capacity == fits and settings.link_kb_per_s == (
        told or None
    )


def test_fills_are_shed_while_those_in_flight_fill_the_link() -> None:
    """big-2: in a release fills went on into links of ten transfers, and limits cut for it shed hits."""
    driver = sized(link=2.0)
    driver.router.state.limits.contending_routers[CacheTier.EDGE] = (
        0.01  # edges have room: the link alone is in question
    )
    out: list[Fetch] = []
    while len(out) < ESTIMATED_FILL_SPAN.high * 2.0:
        out += [fetch for fetch in fetches(driver.ask(len(out))) if fetch.source != fetch.target]
    look = driver.fetch(99)
    assert look.target == look.source
    (answer,) = driver.end(look, Outcome.MISS)
    assert isinstance(answer, Reject) and answer.cause is RejectCause.LINK_FULL
    for fetch in out:
        driver.serve(fetch)
    assert driver.router.state.zone_link.fills_in_flight == 0
    again = driver.fetch(100)
    assert again.target != again.source


def test_only_a_reply_detail_proves_that_a_request_does_not_use_the_link() -> None:
    for notes in (False, True):
        driver = sized(link=1.0, detailed_replies=notes)
        driver.serve(driver.fetch(7))
        driver.router.state.zone_link.fills_in_flight = 50
        again = driver.fetch(7)
        assert (again.source == again.target) is not notes


def test_fills_from_siblings_use_no_link_capacity() -> None:
    driver = sized(link=10.0)
    driver.serve(driver.fetch())
    driver.list(*[Member(f"new-{n}", "here", "cache", 0, MemberState.READY, FITS) for n in range(40)])
    second = driver.fetch()
    assert second.only_if_cached and driver.router.state.zone_link.fills_in_flight == 0


def test_uncached_objects_are_shed_first_and_the_costliest_class_before_others() -> None:
    link = LinkLoad(transfer_capacity=10.0, router_count=2.0, fills_in_flight=7)
    assert (
        link.utilization() == 1.4
        and link.admits_fill(sampling_draw=0.5)
        and not link.admits_fill(sampling_draw=0.5, kept=False)
    )
    assert link.admits_fill(sampling_draw=0.0, cost=0.25) and not link.admits_fill(sampling_draw=0.0)


@pytest.mark.parametrize("link", [None, 100.0])
def test_requests_bypass_busy_edges_only_within_the_known_link_capacity(link: float | None) -> None:
    """big-1: two of three edges of a location died, and the third shed 525 requests beside an idle link."""
    driver = sized(link)
    past = refused = 0
    for key in range(120):
        for action in driver.ask(key):
            refused += isinstance(action, Reject) and action.cause is RejectCause.EDGE_BUSY
            past += isinstance(action, Fetch) and action.target in {each.name for each in SIZED_PARENTS}
    assert (past > 0) is (link is not None) and (refused > 0 or link is not None)


def test_no_request_bypasses_busy_edges_through_a_full_link() -> None:
    driver = sized(link=64.0)
    link, past = driver.router.state.zone_link, 0
    for key in range(300):
        use = link.utilization()
        for fetch in fetches(driver.ask(key)):
            if fetch.target in {each.name for each in SIZED_PARENTS}:
                past += 1
                assert use < ESTIMATED_BYPASS_SPAN.high
    assert past
