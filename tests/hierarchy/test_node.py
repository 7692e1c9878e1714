"""The node in the middle without sockets: leases of fills, moves, and the node as a whole."""

import random
from typing import Any

import pytest
from test_copies import copy

from paddlequay.hierarchy.fill_leases import FillLeases, LeaseDecision, WaitTarget
from paddlequay.hierarchy.fill_path import MAX_HOPS, FillPath, SigningKey
from paddlequay.hierarchy.fill_requests import (
    FillRequest,
    FillResult,
    NodeLimits,
    Reply,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.migration import CLAIMS_MOST, EPOCHS_MOST, MigrationLimits, MigrationPlan
from paddlequay.hierarchy.node import Node
from paddlequay.hierarchy.topology import Delta, NodeSpec, Topology, TopologyLimits, next_shape
from paddlequay.lab.search import first, random_run, small_worlds
from paddlequay.lab.world import World
from paddlequay.routing.interface import ReplyDetail

OLD, NEW = SigningKey("k1", b"an old secret....", 0, 200), SigningKey("k2", b"a newer secret...", 100, 300)
TRAIL = FillPath(1234567, ("a", "b-2", "c_3"))


# --- leases ---


def test_only_older_fills_wait_for_one_that_waits_for_a_node() -> None:
    leases: FillLeases[str] = FillLeases(10, 3)
    lease = leases.begin(("a", 0), FillPath(5, ("n",)), 0.0, "first")
    older, younger = FillPath(4, ("m",)), FillPath(6, ("m",))
    assert leases.may(("a", 0), younger) is LeaseDecision.JOIN  # it asks nobody who could wait
    leases.join(("a", 0), "second", younger)
    assert lease.turn(WaitTarget.NODE, "x").stamp == 7  # younger than all who wait for it
    assert (
        leases.may(("a", 0), older) is LeaseDecision.JOIN
        and leases.may(("a", 0), FillPath(9, ("m",))) is LeaseDecision.DIE
    )
    assert (
        leases.may(("a", 0), None) is LeaseDecision.JOIN
        and leases.may(("a", 0), None, look=True) is LeaseDecision.DIE
    )
    lease.turn(WaitTarget.STORE, "store")
    assert leases.may(("a", 0), FillPath(9, ("m",)), look=True) is LeaseDecision.JOIN
    leases.join(("a", 0), "third", None)
    assert leases.may(("a", 0), None) is LeaseDecision.FULL
    assert leases.end(lease.number) is lease and leases.end(lease.number) is None
    assert leases.may(("a", 0), None) is LeaseDecision.BEGIN


def test_a_purge_during_a_fill_binds_who_asks_after_it_and_too_many_are_taken_as_one() -> None:
    leases: FillLeases[str] = FillLeases(10, 1000)
    lease = leases.begin(("a", 0), FillPath(5, ("n",)), 0.0, "before")
    leases.purge(None, 4, 50.0)
    leases.join(("a", 0), "after", None)
    assert lease.purged_before(0, 4) == -float("inf") and lease.purged_before(1, 4) == 50.0
    assert lease.purged_before(1, 3) == -float("inf") and lease.purged_before(1, None) == 50.0
    for at in range(100):
        leases.purge(None, at, 60.0 + at)
    leases.join(("a", 0), "last", None)
    assert len(lease.purges) <= 64 and lease.purged_before(2, 3) >= 150.0


# --- moves ---


def shape(version: int, *names: str, **weights: float) -> Topology:
    made = first(names)
    nodes = tuple(
        NodeSpec(n.name, n.address, n.group, n.parents, n.store, weight=weights.get(n.name, 1.0))
        for n in made.nodes.values()
    )
    return next_shape(Topology(), Delta(version, None, nodes), TopologyLimits())


def test_earlier_homes_are_believed_for_a_while_within_bounds_and_survive_a_restart() -> None:
    moves = MigrationPlan("c", MigrationLimits(window=60.0))
    moves.follow(shape(1, "a"), "aimag", 0.0)
    assert moves.follow(shape(2, "a", "c"), "aimag", 1.0) and not moves.follow(
        shape(3, "a", "c"), "aimag", 2.0
    )
    assert moves.earlier(5, lambda name: True, False, 3.0) == ["a"]
    assert moves.earlier(5, lambda name: False, False, 3.0) == []
    again = MigrationPlan("c", MigrationLimits(window=60.0))
    again.restore(moves.data(), 3.0)
    again.follow(shape(3, "a", "c"), "aimag", 3.0)
    assert again.earlier(5, lambda name: True, False, 3.0) == ["a"]
    assert moves.earlier(5, lambda name: True, False, 62.0) == []
    for version in range(4, 40):
        moves.follow(shape(version, "a", "c", a=float(version)), "aimag", 70.0)
    assert len(moves.epochs) == EPOCHS_MOST
    with pytest.raises(ValueError, match="cannot be read"):
        moves.restore([{"version": "x"}], 0.0)


def test_looks_keep_to_a_rate() -> None:
    moves = MigrationPlan("c", MigrationLimits(look_rate=10.0, look_burst=5.0))
    allowed = sum(moves.may_look("a", 0.0) for _ in range(100))
    allowed += sum(moves.may_look("a", 0.001 * step) for step in range(1000))
    assert 14 <= allowed <= 15 and moves.may_look("b", 0.0)


def test_a_claim_is_believed_by_its_version_and_for_its_time() -> None:
    moves = MigrationPlan("a", MigrationLimits(claim=10.0))
    moves.follow(shape(5, "a", "b"), "aimag", 0.0)
    place = ("x", 0)
    assert not moves.claim(place, "b", 4, 0.0) and not moves.claim(place, "a", 9, 0.0)
    assert moves.claim(place, "b", 6, 0.0) and not moves.claim(place, "c", 5, 1.0)
    assert moves.claimed(place, 9.0) == "b" and moves.claimed(place, 10.0) is None
    moves.release(place, "c")
    assert moves.claimed(place, 1.0) == "b"
    moves.release(place, "b")
    assert moves.claimed(place, 1.0) is None
    for number in range(CLAIMS_MOST + 10):
        moves.claim((f"{number}", 0), "b", 7, 1.0)
    assert len(moves.claims) == CLAIMS_MOST


# --- the node ---


def tier(**limits: Any) -> Node:
    made = Node("a", NodeLimits(**limits), MigrationLimits())
    made.follow(first(("a",)), 100.0)
    return made


def want(token: str = "t", name: str = "x", **also: Any) -> FillRequest:
    return FillRequest(token, name, 0, "video", also.pop("floor", 0.0), also.pop("until", 200.0), **also)


def words(actions: Any) -> list[tuple[object, ReplyStatus, str]]:
    return [(a.want.token, a.word, a.detail) for a in actions if isinstance(a, Reply)]


def test_one_fill_serves_all_who_ask_meanwhile_and_its_copy_the_rest() -> None:
    node = tier()
    (fill,) = node.ask(want("1"), 100.0)
    assert isinstance(fill, StartFill)
    step = node.step(fill.number)
    assert step is not None and step[0].store and step[1].hops == ("a",)
    assert all(node.ask(want(str(n)), 100.0) == [] for n in range(2, 42))
    gone = want("gone")
    node.ask(gone, 100.0)
    node.quit(gone)
    ended = words(node.ended(fill.number, FillResult(copy(minted=100.0), from_store=True), 100.1))
    assert ended[0] == ("1", ReplyStatus.HIT, "MISS_ORIGIN") and len(ended) == 41
    assert {e[1:] for e in ended[1:]} == {(ReplyStatus.HIT, "COLLAPSED")} and node.waiting == 0
    assert words(node.ask(want("later"), 101.0)) == [("later", ReplyStatus.HIT, "HIT")]
    assert words(node.ask(want("same", known="t"), 101.0)) == [("same", ReplyStatus.VALID, "HIT")]
    assert node.ended(fill.number, FillResult(), 101.0) == []


@pytest.mark.parametrize("group", [None, 4])
def test_a_purge_during_a_fill_answers_who_asked_before_and_is_not_kept(group: int | None) -> None:
    node = tier()
    (fill,) = node.ask(want("before"), 100.0)
    assert isinstance(fill, StartFill)
    node.purged(None if group else "x", group, 100.5, 100.6)
    assert node.ask(want("after"), 100.7) == []
    actions = node.ended(fill.number, FillResult(copy(minted=100.2, group=4), from_store=True), 100.8)
    assert words(actions) == [("before", ReplyStatus.HIT, "MISS_ORIGIN")] and len(node.copies) == 0
    (again,) = [action for action in actions if isinstance(action, StartFill)]
    assert words(node.ended(again.number, FillResult(copy(minted=100.9, group=4)), 101.0)) == [
        ("after", ReplyStatus.HIT, "MISS")
    ]
    assert len(node.copies) == 1 and node.waiting == 0


def test_a_fill_that_saw_the_purge_already_answers_all_and_is_no_second_one() -> None:
    node = tier()
    (fill,) = node.ask(want("before"), 100.0)
    assert isinstance(fill, StartFill)
    node.purged("x", None, 99.9, 100.1)
    node.ask(want("after"), 100.2)
    assert len(words(node.ended(fill.number, FillResult(copy(minted=100.0), from_store=True), 100.3))) == 2
    assert node.seen.counts["fills"] == 1 and len(node.copies) == 1


def test_who_is_in_the_trail_stops_the_fill_with_a_word_of_its_own() -> None:
    node = tier()
    for hops in (("b", "a"), tuple(f"n{i}" for i in range(MAX_HOPS))):
        assert words(node.ask(want(trail=FillPath(1, hops)), 100.0)) == [("t", ReplyStatus.NONE, "LOOP")]
    assert node.seen.counts["loops_found"] == 2 and len(node.leases) == 0


@pytest.mark.parametrize(
    ("got", "word", "detail"),
    [
        (FillResult(refused=True), ReplyStatus.SHED, "UP_BUSY"),
        (FillResult(note=ReplyDetail.ORIGIN_FAILED), ReplyStatus.FAULT, "ORIGIN_ERR"),
        (FillResult(note=ReplyDetail.SOURCE_MISS), ReplyStatus.NONE, "UP_MISS"),
        (FillResult(), ReplyStatus.NONE, "UP_DOWN"),
    ],
)
def test_a_fill_that_fails_tells_why_at_once(got: FillResult, word: ReplyStatus, detail: str) -> None:
    node = tier()
    (fill,) = node.ask(want(), 100.0)
    assert isinstance(fill, StartFill)
    assert words(node.ended(fill.number, got, 100.1)) == [("t", word, detail)] and node.waiting == 0


def test_who_joined_a_fill_that_failed_gets_one_of_its_own_and_no_more_than_a_few() -> None:
    node = tier()
    (fill,) = node.ask(want("1"), 100.0)
    for name in ("2", "3"):
        node.ask(want(name), 100.0)
    rounds = 0
    answered: list[object] = []
    while isinstance(fill, StartFill):
        actions = node.ended(fill.number, FillResult(), 100.1 + rounds)
        answered += [token for token, _, _ in words(actions)]
        fill = next((a for a in actions if isinstance(a, StartFill)), None)  # type: ignore[assignment]
        rounds += 1
    assert sorted(map(str, answered)) == ["1", "2", "3"] and rounds <= 4 and node.waiting == 0


def test_limits_shed_and_what_is_over_is_told_late_while_its_fill_runs_on() -> None:
    node = tier(fills=1, joiners=2, waiting=3)
    (fill,) = node.ask(want("1", until=100.5), 100.0)
    assert isinstance(fill, StartFill)
    assert node.ask(want("2"), 100.0) == []
    assert words(node.ask(want("3"), 100.0)) == [("3", ReplyStatus.SHED, "NO_FILL")]
    assert words(node.ask(want("4", name="y"), 100.0)) == [("4", ReplyStatus.SHED, "NO_FILL")]
    assert words(node.tick(100.4)) == [] and words(node.tick(100.6)) == [("1", ReplyStatus.LATE, "")]
    assert len(words(node.ended(fill.number, FillResult(copy(minted=100.0)), 100.7))) == 1
    assert words(node.ask(want("5"), 100.8)) == [("5", ReplyStatus.HIT, "HIT")]


def test_what_waits_for_its_time_to_be_over_does_not_pile_up_behind_quick_answers() -> None:
    node = tier()
    for number in range(5000):
        (fill,) = node.ask(want(str(number), name=f"o{number}", until=1e6), 100.0)
        assert isinstance(fill, StartFill)
        node.ended(fill.number, FillResult(copy(size=1)), 100.0)
    assert len(node.ends) <= 1100 and node.waiting == 0


def test_an_ageing_copy_answers_while_it_is_renewed_and_only_within_its_grace() -> None:
    node = tier()
    (fill,) = node.ask(want(), 100.0)
    assert isinstance(fill, StartFill)
    node.ended(fill.number, FillResult(copy(minted=100.0)), 100.1)
    actions = node.ask(want(floor=105.0, grace=10.0, renew=True), 113.0)
    assert words(actions) == [("t", ReplyStatus.HIT, "STALE")]
    assert sum(isinstance(a, StartFill) for a in actions) == 1
    assert (
        sum(isinstance(a, StartFill) for a in node.ask(want(floor=105.0, grace=10.0, renew=True), 113.0)) == 0
    )
    assert words(node.ask(want(floor=111.0, grace=10.0), 120.0)) == []


# --- worlds: hard cases one by one ---


def heaviest(version: int, name: str, *names: str) -> Topology:
    """A shape by which `name` is the home of everything."""
    return shape(version, *names, **{name: 1e9})


def test_a_ring_of_three_across_versions_is_served_with_one_fill_in_any_order() -> None:
    """Each takes the next one for the home: a asks b, b asks c, c asks a, all at once."""
    names = ("a", "b", "c")
    for seed in range(200):
        rng = random.Random(seed)
        world = World()
        for name, home in zip(names, ("b", "c", "a"), strict=True):
            world.add(name, heaviest(1 + names.index(name), home, *names))
        for name in names:
            world.ask(name, "x")
        while world.pending:
            world.deliver(rng.randrange(len(world.pending)))
        assert not world.unanswered and len(world.answers) == 3 and len(world.fills) == 1
        assert all(answer.word is ReplyStatus.HIT for answer in world.answers)
        assert world.rings_refused() + sum(n.seen.counts["loops_cut"] for n in world.nodes.values())


def test_a_parent_that_restarts_empty_takes_what_the_others_hold_and_fills_only_what_nobody_does() -> None:
    names = ("a", "b", "c", "d")
    world = World()
    for name in names:
        world.add(name, shape(1, *names))
    objects = [f"{number:016x}" for number in range(60)]

    def everything(by: tuple[str, ...]) -> None:
        for name in objects:
            for at in by:
                world.ask(at, name)
        while world.pending:
            world.deliver(0)

    everything(("b", "c", "d"))
    assert len(world.fills) == 60
    homes = [node.copies.peek((name, 0)) is not None for name in objects for node in [world.nodes["a"]]]
    assert sum(homes) > 5
    world.kill("a")
    everything(("b", "c"))  # served from what they hold
    assert len(world.fills) == 60 and not world.unanswered
    world.restart("a")
    everything(names)
    assert len(world.fills) == 60 and not world.unanswered
    assert all(world.nodes["a"].copies.peek((name, 0)) for name in objects)


def test_a_purge_in_the_middle_of_a_move_lets_neither_home_answer_with_the_old_copy() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        world = World()
        for name in ("a", "b"):
            world.add(name, heaviest(1, "a", "a", "b"))
        world.ask("a", "x")
        while world.pending:
            world.deliver(0)
        for name in rng.sample(("a", "b"), 2):
            world.follow(name, heaviest(2, "b", "a", "b"))
            world.ask("b", "x")
            for _ in range(rng.randrange(4)):
                if world.pending:
                    world.deliver(rng.randrange(len(world.pending)))
            if name == "a":
                world.purge("x")
                for told in rng.sample(("a", "b"), 2):
                    world.hear(told, "x")
            world.ask("a", "x")
        while world.pending:
            world.deliver(rng.randrange(len(world.pending)))
        assert not world.stale and not world.unanswered and len(world.fills) <= 2


# --- all together: a search through interleavings ---


def test_no_order_of_delivery_in_small_worlds_makes_a_ring_or_a_second_fill() -> None:
    count = 0
    for found in small_worlds(most=4000):
        assert not found.faults
        count += 1
    assert count == 4000


@pytest.mark.parametrize(("deaths", "drops"), [(0, False), (2, False), (2, True)])
def test_random_interleavings_leave_nobody_waiting_and_answer_nothing_from_before_a_purge(
    deaths: int, drops: bool
) -> None:
    for seed in range(700):
        found = random_run(seed, deaths=deaths, drops=drops)
        faults = found.faults if not deaths else [f for f in found.faults if not f.startswith("second")]
        assert not faults, (seed, faults)


@pytest.mark.parametrize(
    ("guard", "fault"),
    [
        ("rings", "never answered"),
        ("claims", "second fill"),
        ("looks", "second fill"),
        ("purged fills", "before a purge"),
    ],
)
def test_the_search_finds_the_fault_where_a_guard_is_taken_out(guard: str, fault: str) -> None:
    runs = (random_run(seed, faults=frozenset({guard})) for seed in range(400))
    assert any(fault in each for found in runs for each in found.faults)
