"""Live channels: detection, prefetches by one owner, handoffs, crashes, stops and partitions."""

import random
from collections import Counter

import pytest

from paddlequay.cluster import handoff, owner_search
from paddlequay.cluster.cache_hints import CacheHints
from paddlequay.cluster.messages import ChannelPartReport, OwnerLoad
from paddlequay.cluster.prefetch import ChannelDetector, Prefetch, channel_id
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import PeerChanged, PeerState
from paddlequay.lab.channel_world import BOUNDS, CACHE, ChannelWorld

RULE = ChannelRule(("video",), bundles=8)
MAX_GAP_S = BOUNDS.lease_s + 1.0
PLANNED_RUNS = 200
UNPLANNED_RUNS = 200


def test_consecutive_parts_make_a_live_channel_and_seeks_or_far_parts_do_not() -> None:
    detector = ChannelDetector("here", RULE)
    assert [detector.record_read("a", "video", part, part * 1.0).is_live for part in (5, 6, 7)] == [
        False,
        False,
        True,
    ]
    assert detector.record_read("a", "video", 10**9, 7.5).highest_part == 7  # a distant part is ignored
    assert detector.record_read("a", "video", 9, 8.0).highest_part == 9  # part 8 was read at another router
    assert not any(detector.record_read("b", "video", part, 8.0).is_live for part in (3, 90, 4000, 2))
    assert not detector.record_read(
        "a", "video", 10, 8.0 + RULE.idle_timeout_s + 0.1
    ).is_live  # after a pause it must advance again
    assert {channel.object_name for channel in detector.pop_ended(30.0)} == {
        "a",
        "b",
    } and not detector.channels


def test_an_owner_prefetches_each_part_once_unless_it_failed_or_the_term_changed() -> None:
    detector = ChannelDetector("here", ChannelRule(("video",), prefetch_parts=2))
    for part in (1, 2, 3):
        channel = detector.record_read("a", "video", part, 0.0)
    assert [prefetch.part for prefetch in detector.due_prefetches(channel, 9, 0.0)] == [
        4,
        5,
    ] and not detector.due_prefetches(channel, 9, 0.1)
    detector.record_result(Prefetch(channel.id, "a", "video", 4, 9), True, 0.2)
    detector.record_result(Prefetch(channel.id, "a", "video", 5, 9), False, 0.2)
    assert not detector.due_prefetches(channel, 9, 0.3)
    assert [prefetch.part for prefetch in detector.due_prefetches(channel, 9, 0.8)] == [5]
    assert [prefetch.part for prefetch in detector.due_prefetches(channel, 10, 0.8)] == [4, 5]


def test_channel_and_hint_tables_are_bounded_and_hints_expire() -> None:
    detector, hints = ChannelDetector("here", ChannelRule(("video",), max_channels=10)), CacheHints(10)
    for number in range(50):
        detector.record_read(f"{number}", "video", 1, 0.0)
        assert len(list(detector.pop_ended(0.0))) <= 1
        for part in range(40):
            hints.add(number, part, CACHE, 5, 3.0, 0.0)
    assert len(detector.channels) == len(hints.channels) == 10
    assert max(len(parts) for parts in hints.channels.values()) <= 16
    hints.add(49, 39, CACHE + 1, 4, 3.0, 1.0)
    # The hint under the higher term is kept until it expires.
    assert hints.find(49, 39, 2.9) == CACHE and hints.find(49, 39, 3.1) is None
    hints.drop_expired(99.0)
    assert not hints.channels


def zone_with_one_owner(rule: ChannelRule, channels: int) -> tuple[ChannelWorld, list[int]]:
    """Returns a zone that all routers read and whose bundles router 4 owns, and the bundles with channels."""
    names = tuple(f"cam{number}" for number in range(channels))
    world = ChannelWorld(3, names=names, rule=rule)
    used_bundles = sorted({channel_id("here", name) % rule.bundles for name in names})
    world.readers = {4}
    assert world.run(20.0, lambda: all(world.owners(number) for number in used_bundles))
    world.readers = set(range(5))
    world.run(3.5)
    assert all(world.owners(number) == [4] for number in used_bundles)
    return world, used_bundles


def test_planned_handoffs_overlap_within_the_bound_and_never_have_three_owners() -> None:
    for seed in range(PLANNED_RUNS):
        world = ChannelWorld(seed, loss_ratio=0.05 * (seed % 2))
        owner = world.settle()
        world.apply(owner, world.processes[owner].channels.drain(world.processes[owner].clock))
        assert world.run(4.0, lambda world=world, owner=owner: world.has_moved_from(owner)), seed  # type: ignore[misc]
        world.run(1.0)
        measured = world.measurements[0]
        assert measured.max_owners <= 2 and measured.overlap_s <= BOUNDS.overlap_s, (seed, measured)
        assert world.processes[owner].channels.is_drained(world.processes[owner].clock)
        assert_terms_grow(world)


def test_followers_find_the_new_owner_soon_after_a_handoff() -> None:
    for seed in range(20):
        world = ChannelWorld(seed, delay_s=(0.001, 0.02))
        owner = world.settle()
        world.apply(owner, world.processes[owner].channels.drain(world.processes[owner].clock))
        assert world.run(4.0, lambda world=world, owner=owner: world.has_moved_from(owner))  # type: ignore[misc]
        world.run(0.4)
        (new,) = world.owners()
        assert (
            set(range(5)) - {owner, new} <= world.processes[new].channels.bundles.all[0].followers.keys()
        ), seed


def assert_terms_grow(world: ChannelWorld) -> None:
    """Asserts that the tier accepts no fill under a lower term than that of an earlier fill."""
    for channel in {fill.prefetch.channel for fill in world.fills}:
        terms = [
            fill.prefetch.term for fill in world.fills if fill.accepted and fill.prefetch.channel == channel
        ]
        assert terms == sorted(terms)


@pytest.mark.parametrize("seed", range(5))
def test_overlap_of_a_delayed_handoff_ends_by_the_previous_owners_clock(seed: int) -> None:
    world = ChannelWorld(seed)
    owner = world.settle()
    others = set(range(5)) - {owner, 0, 1, 2}
    successor = min(others)
    world.processes[owner].clock_rate, world.processes[successor].clock_rate = 0.95, 1.05
    for reader in set(range(5)) - {owner, successor}:
        world.processes[owner].channels.handle_event(
            PeerChanged(reader, 1, PeerState.SUSPECT), world.processes[owner].clock
        )
    world.slow_links = {(owner, successor), (successor, owner)}
    world.apply(owner, world.processes[owner].channels.drain(world.processes[owner].clock))
    assert world.run(9.0, lambda: world.has_moved_from(owner))
    world.run(2.0)
    # The release reaches the successor late as well, so the overlap ends first, by the owner's own clock.
    assert world.measurements[0].max_owners <= 2 and world.measurements[0].overlap_s <= BOUNDS.overlap_s
    released = [fill.at for fill in world.fills if fill.router == owner]
    assert released and world.processes[owner].channels.is_drained(world.processes[owner].clock)


def test_an_owner_of_all_bundles_is_drained_under_load_within_seconds() -> None:
    world, used_bundles = zone_with_one_owner(RULE, 24)
    world.loss_ratio = 0.02
    for measured in world.measurements:
        measured.gap_s = 0.0
    before = world.time
    world.apply(4, world.processes[4].channels.drain(world.processes[4].clock))
    assert world.run(6.0, lambda: world.processes[4].channels.is_drained(world.processes[4].clock)), (
        world.time - before
    )
    world.run(2.0)
    assert all(
        measured.max_owners <= 2 and measured.overlap_s <= BOUNDS.overlap_s for measured in world.measurements
    )
    assert max(measured.gap_s for measured in world.measurements) <= MAX_GAP_S
    assert all(world.owners(number) not in ([], [4]) for number in used_bundles)
    assert_terms_grow(world)


@pytest.mark.parametrize("failure", ["killed", "stopped", "cut off"])
def test_a_lost_owner_is_replaced_without_overlap_within_a_lease_and_a_second(failure: str) -> None:
    for seed in range(UNPLANNED_RUNS // 3 + 1):
        world = ChannelWorld(seed, delay_s=(0.001, 0.02))
        owner = world.settle()
        process = world.processes[owner]
        process.dead, process.stopped = failure == "killed", failure == "stopped"
        if failure == "cut off":
            world.isolate(owner)
        world.run(2.0 + random.Random(seed).random() * 2)
        process.stopped = False
        world.blocked_links.clear()
        world.run(2.0)
        measured = world.measurements[0]
        assert measured.max_owners == 1 and measured.overlap_s == 0.0, (seed, measured)
        assert measured.gap_s <= MAX_GAP_S and len(world.owners()) == 1, (seed, measured)
        assert_terms_grow(world)


def test_an_owner_that_dies_before_it_reports_a_fill_leaves_others_without_a_hint() -> None:
    world = ChannelWorld(5)
    owner = world.settle()
    process = world.processes[owner]
    world.before_report = lambda me: setattr(process, "dead", me == owner or process.dead)
    assert world.run(2.0, lambda: process.dead)
    last = [fill for fill in world.fills if fill.router == owner][-1]
    for other in world.processes:
        if other is not process:
            assert other.channels.find_cache(last.prefetch.channel, last.prefetch.part, other.clock) is None
    assert world.run(MAX_GAP_S, lambda: bool(world.owners()))
    world.run(1.0)
    assert (
        world.fills[-1].accepted
        and world.fills[-1].prefetch.term > last.prefetch.term
        and world.measurements[0].max_owners == 1
    )


def test_an_owner_stopped_during_a_fill_writes_and_reports_nothing_under_its_old_term() -> None:
    world = ChannelWorld(6)
    owner = world.settle()
    process = world.processes[owner]
    prefetch = [fill for fill in world.fills if fill.router == owner][-1].prefetch
    assert process.channels.writable_term(prefetch, process.clock) == prefetch.term
    process.stopped = True
    assert world.run(5.0, lambda: bool(world.owners()) and world.fills[-1].router != owner)
    process.stopped = False
    assert process.channels.writable_term(prefetch, process.clock) is None  # before it receives a message
    world.arrive(owner, prefetch)  # a fill that was written just before the stop
    assert not world.fills[-1].accepted
    world.run(1.0)
    assert not process.channels.prefetch_succeeded(prefetch, CACHE + 1, process.clock)
    assert process.channels.find_cache(prefetch.channel, prefetch.part, process.clock) != CACHE + 1
    assert world.measurements[0].max_owners == 1


def test_followers_receive_hints_and_ignore_reports_under_a_lower_term() -> None:
    world = ChannelWorld(7)
    owner = world.settle()
    prefetch = world.fills[-1].prefetch
    world.run(0.2)
    assert all(
        p.channels.find_cache(prefetch.channel, prefetch.part, p.clock) == CACHE for p in world.processes
    )
    other = world.processes[(owner + 1) % 5].channels
    now = world.processes[(owner + 1) % 5].clock
    other.handle_message(
        9, 0, ChannelPartReport(prefetch.channel, prefetch.term - 1, prefetch.part, CACHE + 1, 3000), now
    )
    other.handle_message(
        9, 0, ChannelPartReport(prefetch.channel, prefetch.term - 1, prefetch.part + 9, CACHE + 1, 3000), now
    )
    assert other.find_cache(prefetch.channel, prefetch.part, now) == CACHE
    assert other.find_cache(prefetch.channel, prefetch.part + 9, now) is None


def test_loss_of_the_owner_of_hundreds_of_channels_starts_few_elections_a_second() -> None:
    world, used_bundles = zone_with_one_owner(ChannelRule(("video",)), 300)
    requests: list[tuple[float, int]] = []
    for me, process in enumerate(world.processes):
        request = process.leases.request

        def counted(lease: int, now: float, me: int = me, request=request) -> list[object]:  # type: ignore[no-untyped-def]
            requests.append((world.time, me))
            return list(request(lease, now))

        process.leases.request = counted  # type: ignore[assignment,method-assign]
    world.elections.clear()
    world.processes[4].dead = True
    assert world.run(10.0, lambda: all(world.owners(number) for number in used_bundles))
    for events, max_count in (
        (requests, owner_search.BIDS_PER_S + owner_search.MAX_BURST_BIDS),
        (world.elections, 25 + 8),
    ):
        counts = Counter((int(at * 2), me) for at, me in events)
        pairs = [counts[half_second, me] + counts[half_second + 1, me] for half_second, me in counts]
        assert max(pairs) <= max_count, (max(pairs), max_count)


def test_oscillating_loads_move_few_bundles() -> None:
    world, _ = zone_with_one_owner(ChannelRule(("video",), bundles=32), 100)
    offers_made: list[tuple[float, int]] = []
    for me, process in enumerate(world.processes):
        offer_bundle = process.channels.handoff.offer_bundle

        def counted(bundle, successor, now, me=me, offer_bundle=offer_bundle):  # type: ignore[no-untyped-def]
            offers_made.append((world.time, me))
            return offer_bundle(bundle, successor, now)

        process.channels.handoff.offer_bundle = counted  # type: ignore[method-assign]
    for half_second in range(60):
        for me, process in enumerate(world.processes):
            for peer in set(range(5)) - {me}:
                message = OwnerLoad(1000_000 * ((half_second + peer) % 2), 0)  # none and very high in turn
                process.channels.handle_message(peer, 0, message, process.clock)
        world.run(0.5)
    moves = Counter(me for _, me in offers_made)
    assert 2 <= max(moves.values()) <= 30 * 1.05 / handoff.REBALANCE_INTERVAL_S + 1
    assert all(measured.max_owners <= 2 for measured in world.measurements)
