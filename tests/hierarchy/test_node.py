"""One cache node without sockets: coalesced fills, purges, loops, failures, limits and stale copies."""

import pytest
from rig_node import begin_fill, cached_copy, fill_request, fills, replies, single_node

from paddlequay.hierarchy.fill_path import MAX_HOPS, FillPath
from paddlequay.hierarchy.fill_requests import FillRequest, FillResult, ReplyReason, ReplyStatus, StartFill
from paddlequay.routing.interface import ReplyDetail


def test_one_fill_answers_all_requests_that_arrive_during_it_and_its_copy_answers_later_ones() -> None:
    node = single_node()
    fill = begin_fill(node, fill_request("1"))
    step = node.next_source(fill.number)
    assert step is not None
    assert step.source.is_origin and step.path.hops == ("a",)
    for number in range(2, 42):
        assert node.handle_request(fill_request(str(number)), 100.0) == []
    cancelled = fill_request("cancelled")
    node.handle_request(cancelled, 100.0)
    node.cancel(cancelled)
    result = FillResult(cached_copy(generated_at=100.0), from_origin=True)
    first, *coalesced = replies(node.on_fill_ended(fill.number, result, 100.1))
    assert first == ("1", ReplyStatus.HIT, ReplyReason.FILLED_FROM_ORIGIN)
    assert len(coalesced) == 40
    assert {each[1:] for each in coalesced} == {(ReplyStatus.HIT, ReplyReason.COALESCED)}
    assert node.waiting_count == 0
    later = replies(node.handle_request(fill_request("later"), 101.0))
    assert later == [("later", ReplyStatus.HIT, ReplyReason.CACHED)]
    known = replies(node.handle_request(fill_request("known", known_tag="t"), 101.0))
    assert known == [("known", ReplyStatus.NOT_MODIFIED, ReplyReason.CACHED)]
    assert node.on_fill_ended(fill.number, FillResult(), 101.0) == []


@pytest.mark.parametrize("group", [None, 4])
def test_a_copy_purged_during_its_fill_serves_earlier_requests_only_and_is_not_cached(
    group: int | None,
) -> None:
    node = single_node()
    fill = begin_fill(node, fill_request("before"))
    node.purge(None if group else "x", group, 100.5, 100.6)
    assert node.handle_request(fill_request("after"), 100.7) == []
    result = FillResult(cached_copy(generated_at=100.2, group=4), from_origin=True)
    actions = node.on_fill_ended(fill.number, result, 100.8)
    assert replies(actions) == [("before", ReplyStatus.HIT, ReplyReason.FILLED_FROM_ORIGIN)]
    assert len(node.cache.copies) == 0
    (second,) = fills(actions)
    result = FillResult(cached_copy(generated_at=100.9, group=4))
    after = replies(node.on_fill_ended(second.number, result, 101.0))
    assert after == [("after", ReplyStatus.HIT, ReplyReason.FILLED)]
    assert len(node.cache.copies) == 1 and node.waiting_count == 0


def test_copy_generated_after_the_purge_answers_all_waiters_without_a_second_fill() -> None:
    node = single_node()
    fill = begin_fill(node, fill_request("before"))
    node.purge("x", None, 99.9, 100.1)
    node.handle_request(fill_request("after"), 100.2)
    result = FillResult(cached_copy(generated_at=100.0), from_origin=True)
    assert len(replies(node.on_fill_ended(fill.number, result, 100.3))) == 2
    assert node.counters.counts["fills"] == 1 and len(node.cache.copies) == 1


def test_a_node_rejects_a_fill_that_has_passed_it_or_has_too_many_hops() -> None:
    node = single_node()
    for hops in (("b", "a"), tuple(f"n{i}" for i in range(MAX_HOPS))):
        actions = node.handle_request(fill_request(path=FillPath(1, hops)), 100.0)
        assert replies(actions) == [("t", ReplyStatus.MISS, ReplyReason.LOOP)]
    assert node.counters.counts["loops_found"] == 2 and len(node.leases) == 0


@pytest.mark.parametrize(
    ("result", "status", "reason"),
    [
        (FillResult(is_rejected=True), ReplyStatus.REJECTED, ReplyReason.SOURCE_REJECTED),
        (FillResult(failure=ReplyDetail.ORIGIN_FAILED), ReplyStatus.FAILED, ReplyReason.ORIGIN_FAILED),
        (FillResult(failure=ReplyDetail.SOURCE_MISS), ReplyStatus.MISS, ReplyReason.SOURCE_MISS),
        (FillResult(), ReplyStatus.MISS, ReplyReason.SOURCE_UNREACHABLE),
    ],
)
def test_failed_fill_answers_its_request_at_once_with_the_reason(
    result: FillResult, status: ReplyStatus, reason: ReplyReason
) -> None:
    node = single_node()
    fill = begin_fill(node, fill_request())
    assert replies(node.on_fill_ended(fill.number, result, 100.1)) == [("t", status, reason)]
    assert node.waiting_count == 0


def test_requests_that_joined_a_failed_fill_begin_a_limited_number_of_new_fills() -> None:
    node = single_node()
    fill: StartFill | None = begin_fill(node, fill_request("1"))
    for requester in ("2", "3"):
        node.handle_request(fill_request(requester), 100.0)
    rounds = 0
    answered: list[object] = []
    while fill is not None:
        actions = node.on_fill_ended(fill.number, FillResult(), 100.1 + rounds)
        answered += [requester for requester, _, _ in replies(actions)]
        fill = next(iter(fills(actions)), None)
        rounds += 1
    assert sorted(map(str, answered)) == ["1", "2", "3"]
    assert rounds <= 4 and node.waiting_count == 0


def test_requests_above_the_limits_are_rejected_and_late_ones_time_out_while_the_fill_continues() -> None:
    node = single_node(max_fills=1, max_waiters=2, max_waiting=3)
    fill = begin_fill(node, fill_request("1", deadline=100.5))
    assert node.handle_request(fill_request("2"), 100.0) == []
    rejected = (ReplyStatus.REJECTED, ReplyReason.FILL_REJECTED)
    assert replies(node.handle_request(fill_request("3"), 100.0)) == [("3", *rejected)]
    assert replies(node.handle_request(fill_request("4", object_name="y"), 100.0)) == [("4", *rejected)]
    assert replies(node.expire(100.4)) == []
    assert replies(node.expire(100.6)) == [("1", ReplyStatus.TIMED_OUT, None)]
    result = FillResult(cached_copy(generated_at=100.0))
    assert len(replies(node.on_fill_ended(fill.number, result, 100.7))) == 1
    served = replies(node.handle_request(fill_request("5"), 100.8))
    assert served == [("5", ReplyStatus.HIT, ReplyReason.CACHED)]


def test_deadlines_of_answered_requests_are_removed_from_the_heap() -> None:
    node = single_node()
    for number in range(5000):
        fill = begin_fill(node, fill_request(str(number), object_name=f"o{number}", deadline=1e6))
        node.on_fill_ended(fill.number, FillResult(cached_copy(size=1)), 100.0)
    assert len(node.coordinator.waiting.deadlines) <= 1100 and node.waiting_count == 0


def stale_request() -> FillRequest:
    """A request for which a copy generated at 100 is stale but within the grace period."""
    return fill_request(min_generated_at=105.0, stale_grace_s=10.0, refreshes_stale=True)


def test_a_stale_copy_is_served_within_its_grace_while_one_fill_refreshes_it() -> None:
    node = single_node()
    fill = begin_fill(node, fill_request())
    node.on_fill_ended(fill.number, FillResult(cached_copy(generated_at=100.0)), 100.1)
    actions = node.handle_request(stale_request(), 113.0)
    assert replies(actions) == [("t", ReplyStatus.HIT, ReplyReason.STALE)]
    assert len(fills(actions)) == 1
    assert len(fills(node.handle_request(stale_request(), 113.0))) == 0
    too_old = fill_request(min_generated_at=111.0, stale_grace_s=10.0)
    assert replies(node.handle_request(too_old, 120.0)) == []
