"""Routes through edges, siblings, parents and the origin, and retention."""

from driver import EDGES, ORIGIN, PARENTS, Driver, fetches

from paddlequay.policy.hot_objects import HOT_WINDOW_S
from paddlequay.policy.retention import HOT_RANK, LOW_RANK
from paddlequay.routing.interface import Fetch, Member, MemberState, Outcome, Reject, RejectCause, ReplyDetail


def test_all_zones_fill_an_object_through_the_same_parent() -> None:
    here = Driver()
    there = Driver(zone="there")
    for key in range(30):
        fetches = [(driver, driver.fetch(key, part)) for driver in (here, there) for part in range(3)]
        sources = {fetch.source for _, fetch in fetches}
        assert len(sources) == 1 and sources.pop().startswith("parent")
        for driver, fetch in fetches:
            driver.serve(fetch, ReplyDetail.FILLED)


def test_parts_of_one_object_are_spread_over_edges_of_the_own_zone() -> None:
    driver = Driver()
    targets = {driver.fetch(7, part).target for part in range(30)}
    assert targets == {edge.name for edge in EDGES}


def test_a_second_read_within_the_window_gets_the_hot_rank_and_a_later_one_does_not() -> None:
    driver = Driver()
    assert driver.fetch().retention == LOW_RANK
    driver.now += 1
    assert driver.fetch().retention == HOT_RANK
    driver.now += 2 * HOT_WINDOW_S
    assert driver.fetch(8).retention == LOW_RANK


def test_a_sibling_that_holds_the_part_is_the_source_of_a_new_home() -> None:
    driver = Driver()
    first = driver.fetch()
    driver.serve(first)
    new_edges = [Member(f"new-{n}", "here", "cache", 0, MemberState.READY) for n in range(40)]
    driver.update_members(*new_edges)
    second = driver.fetch()
    assert second.target != first.target
    assert second.source == first.target and second.only_if_cached


def test_after_a_sibling_that_lacks_the_part_the_parent_is_the_source() -> None:
    driver = Driver()
    driver.serve(driver.fetch())
    driver.update_members(*[Member(f"new-{n}", "here", "cache", 0, MemberState.READY) for n in range(40)])
    second = driver.fetch()
    (again,) = fetches(driver.end(second, Outcome.MISS, ReplyDetail.SOURCE_MISS))
    assert again.target == second.target and again.source.startswith("parent")


def test_fallback_goes_through_the_other_parents_to_the_origin() -> None:
    driver = Driver()
    fetch = driver.fetch()
    sources = [fetch.source]
    for attempt in range(3):
        (fetch,) = fetches(driver.end(fetch, Outcome.REJECTED, ReplyDetail.SOURCE_UNREACHABLE, attempt))
        sources.append(fetch.source)
    assert set(sources[:3]) == {parent.name for parent in PARENTS}
    assert sources[3] == ORIGIN.name


def test_an_edge_at_its_fill_limit_is_skipped_and_not_at_fault() -> None:
    driver = Driver()
    fetch = driver.fetch()
    (again,) = fetches(driver.end(fetch, Outcome.REJECTED, ReplyDetail.FILL_LIMIT))
    assert again.target != fetch.target and again.source == fetch.source


def test_a_draining_origin_is_not_a_source_when_requests_bypass_the_edges() -> None:
    driver = Driver((*PARENTS, Member(ORIGIN.name, "hub", "origin", 0, MemberState.DRAINING)))
    fetch = driver.fetch()
    assert fetch.target == fetch.source and fetch.target.startswith("parent")


def test_uncacheable_requests_bypass_the_caches() -> None:
    fetch = Driver().fetch(class_name="orders")
    assert fetch.target == fetch.source == ORIGIN.name and fetch.retention == 0
    via_edge = Driver(bypass_allowed=False).fetch(class_name="orders")
    assert via_edge.target.startswith("edge") and via_edge.source == ORIGIN.name and via_edge.retention == 0


def test_busy_members_shed_load_and_pass_none_to_the_origin() -> None:
    """Requests sent to parents and the origin past busy edges would overload them."""
    driver = Driver()
    actions = [action for key in range(300) for action in driver.request(key)]
    assert any(isinstance(action, Reject) for action in actions)
    assert {action.cause for action in actions if isinstance(action, Reject)} == {RejectCause.EDGE_BUSY}
    sent = fetches(actions)
    assert all(fetch.source != ORIGIN.name and fetch.target.startswith("edge") for fetch in sent)


def test_without_a_candidate_a_request_is_rejected_at_once_with_a_retry_after() -> None:
    (action,) = Driver(members=()).request()
    assert isinstance(action, Reject) and 0 < (action.retry_after or 0) <= 2.0
    assert action.cause is RejectCause.NO_EDGE


def test_a_write_that_the_origin_rejects_uses_an_ejected_parent_last() -> None:
    """63 writes failed at a parent that had failed every fill for seconds."""
    driver, sources = Driver(), set()
    driver.router.state.members.upstreams["parent-1"].ejected = True
    for key in range(12):
        first = driver.fetch(key, class_name="pays")
        assert first.target == "origin-0"
        (second,) = driver.end(first, Outcome.REJECTED)
        assert isinstance(second, Fetch)
        sources.add(second.source)
        driver.end(second, Outcome.SERVED, ReplyDetail.FILLED_FROM_ORIGIN, attempt=1)
    assert sources == {"parent-0", "parent-2"}
    for parent in ("parent-0", "parent-2"):
        driver.router.state.members.upstreams[parent].ejected = True
    (last,) = driver.end(driver.fetch(99, class_name="pays"), Outcome.REJECTED)
    assert isinstance(last, Fetch) and last.source.startswith("parent")  # better than none
