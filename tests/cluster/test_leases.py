"""Leases in named troubles: who holds when, under which term, and how soon. Times are true seconds."""

import math
import random

import pytest

from paddlequay.cluster import acceptor, bid_schedule, holder_hints, proposer
from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.messages import (
    MESSAGE_TYPES,
    Accept,
    PeerMessage,
    Prepare,
    Promise,
    Propose,
    Reject,
    Release,
)
from paddlequay.cluster.types import (
    ClusterBounds,
    Fleet,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LogEvent,
    SendMessage,
)
from paddlequay.lab.lease_world import World

T = ClusterBounds().lease_s
OUT = T * 1.05 / 0.95  # what a stay-out or a lock takes at most, by the slowest clock
SEEDS = range(30)


def held(world: World) -> bool:
    return bool(world.holders(1))


def until_held(
    world: World, seconds: float, by: int | None = None, above: int = 0, loss: float = 0.0
) -> float:
    """True seconds until somebody, or `by`, holds lease 1 under a term above one; endless past `seconds`."""

    def done() -> bool:
        return any(term > above and me == (me if by is None else by) for me, term in world.holders(1))

    took = world.run(seconds, done, loss)
    return math.inf if took is None else took


def holding(seed: int, *wanting: int, size: int = 5) -> World:
    """Acceptors 0 to 2 are in, router 3 holds lease 1, and others want it too."""
    world = World(size, seed)
    world.run(OUT + 0.1)
    world.want(3, 1)
    assert until_held(world, 1.0) < 1
    for each in wanting:
        world.want(each, 1)
    world.run(1.0)
    return world


def test_a_lease_of_a_killed_holder_is_reacquired_within_the_stated_time() -> None:
    took = []
    for seed in SEEDS:
        world = holding(seed, 0, 4)
        world.processes[3].stopped = True
        took.append(until_held(world, 4.0, above=world.last[1]))
    assert max(took) <= 2.2


def test_a_holder_stopped_past_its_lease_finds_it_lost_before_any_message() -> None:
    world = holding(1, 4)
    world.processes[3].stopped = True
    term = world.processes[3].holds(1)
    assert term is not None
    assert until_held(world, 4.0, by=4, above=term) < 4
    assert world.processes[3].holds(1) is None  # before it was told anything
    said = world.processes[3].leases.tick(world.processes[3].clock)
    assert LeaseLost(1, term) in said
    assert [me for me, _ in world.holders(1)] == [4]


def test_a_renewal_accepted_after_the_end_does_not_restore_the_lease() -> None:
    world = holding(1)
    process = world.processes[3]
    world.run(1.0, lambda: any(isinstance(message.note, Propose) for message in world.pending))
    batch, world.pending = world.pending, []
    process.stopped = True
    for message in batch:
        world.deliver(message)
    world.advance(1.3)
    process.stopped = False
    assert process.holds(1) is None
    for message in world.pending:
        world.deliver(message)
    assert process.holds(1) is None


@pytest.mark.parametrize(("deaf", "within"), [(True, 3.2), (False, 2.2)])
def test_a_holder_with_a_one_way_link_loses_its_lease_to_another_within_the_stated_time(
    deaf: bool, within: float
) -> None:
    for seed in SEEDS:
        world = holding(seed, 4)
        for each in (0, 1, 2, 4):
            world.blocked.add((each, 3) if deaf else (3, each))
        assert until_held(world, 6.0, by=4, above=world.last[1]) <= within


def test_no_router_holds_the_lease_without_a_majority_and_one_does_once_it_is_back() -> None:
    world = holding(2, 0, 4)
    world.processes[1].stopped = world.processes[2].stopped = True
    assert world.run(2.0, lambda: not held(world)) is not None
    assert world.run(5.0, lambda: held(world)) is None
    assert world.settle(2.2, lambda: held(world)) is not None


def test_acceptors_restarted_in_turn_keep_the_holder_and_the_order_of_terms() -> None:
    for seed in SEEDS:
        world = holding(seed)
        term = world.last[1]
        for each in (0, 1, 2):
            world.restart(each)
            world.run(OUT + 0.2)
            assert [(3, term)] == world.holders(1)
        # All votes of old are forgotten, and so is what the next bidder knew.
        world.restart(4)
        world.processes[3].stopped = True
        world.run(OUT + 5 * T)
        world.want(4, 1)
        assert until_held(world, 2.0, by=4) < 2
        assert counter_of(world.last[1]) > counter_of(term) and world.forgotten == 0


def test_a_successor_acquires_a_released_lease_at_once_and_before_others() -> None:
    took = []
    for seed in SEEDS:
        world = holding(seed, 0, 1, 4)
        world.drop(3, 1, heir=4)
        took.append(until_held(world, 1.0))
        assert [me for me, _ in world.holders(1)] == [4]
    assert max(took) <= 0.15


def test_concurrent_bidders_elect_a_holder_within_the_stated_time() -> None:
    took = []
    for seed in SEEDS:
        world = World(8, seed)
        world.run(OUT + 0.1)
        for each in range(8):
            world.want(each, 1)
        took.append(until_held(world, 4.0))
    assert sum(took) / len(took) <= 0.2 and max(took) <= 0.7


def test_a_lease_is_acquired_and_kept_with_30_percent_message_loss() -> None:
    took, terms = [], 0
    for seed in SEEDS:
        world = World(5, seed)
        world.run(OUT + 0.1)
        world.want(3, 1)
        world.want(4, 1)
        took.append(until_held(world, 6.0, loss=0.3))
        world.run(20.0, loss=0.3)
        terms += world.takes
    assert max(took) <= 2.0
    assert terms <= len(SEEDS) + 3  # of 600 seconds held


def test_the_leases_of_a_dead_holder_are_bid_for_at_the_stated_rate() -> None:
    names = tuple(range(1, 201))
    world = World(4, 1, names=names)
    world.run(OUT + 0.1)
    for name in names:
        world.want(3, name)
    assert (
        world.run(200 / bid_schedule.ELECTIONS_PER_S + 1, lambda: all(map(world.holders, names))) is not None
    )
    for name in names:
        world.want(0, name)
    world.processes[3].stopped = True
    asked: set[tuple[int, int, int]] = set()
    start = world.time

    def taken() -> bool:
        for message in world.pending:
            if message.sender == 0 and isinstance(message.note, Prepare):
                bid = world.processes[0].leases.proposer.bids[message.note.lease]
                asked.add((bid.lease, bid.ballot, round(bid.election_ends_at * 1000)))
        assert (
            len(asked)
            <= bid_schedule.MAX_ELECTIONS_AT_ONCE
            + (world.time - start) * bid_schedule.ELECTIONS_PER_S * 1.05
            + 1
        )
        return len(world.processes[0].told) == 200

    took = world.run(20.0, taken)
    assert took is not None and took <= 2.2 + 200 / bid_schedule.ELECTIONS_PER_S


def single(now: float = 0.0) -> Leases:
    """A router that is the one acceptor: all is played inside."""
    return Leases(Fleet(0, 2, (0,)), ClusterBounds(), random.Random(1), now)


def test_a_single_acceptor_acquires_renews_and_releases_without_messages_to_itself() -> None:
    leases = single()
    leases.request(7, 0.0)
    now, said = 0.0, []
    while now < 5:
        now = max(now, leases.due())
        said += leases.tick(now)
    term = leases.holds(7, now)
    assert term is not None and leases.holder(7, now) == 0
    assert [type(each) for each in said] == [LeaseAcquired]
    assert leases.release(7, now) == [LeaseLost(7, term)]
    assert leases.holds(7, now) is None


def test_a_promise_to_a_bidder_does_not_block_renewals_of_the_holder() -> None:
    for seed in SEEDS:
        world = World(5, seed)
        world.run(OUT + 0.1)
        world.blocked = {(3, 0), (0, 3)}
        world.want(3, 1)
        assert until_held(world, 1.0) < 1
        world.want(4, 1)  # acceptor 0 promises it, again and again
        world.run(3.0)
        world.blocked.clear()
        world.run(2.0)
        term = world.last[1]
        world.processes[1].stopped = True
        world.run(5.0)
        assert world.holders(1) == [(3, term)]


def test_acceptors_started_at_once_grant_the_lease_soon_after_the_restart_delay() -> None:
    for seed in SEEDS:
        world = World(5, seed)
        for each in (0, 3, 4):
            world.want(each, 1)  # what is asked too early must not be too low for good
        assert OUT * 0.9 < until_held(world, 4.0) < OUT + 0.8


def test_a_successor_told_before_the_acceptors_does_not_wait_for_the_lock_to_end() -> None:
    world = holding(3, 4)
    world.drop(3, 1, heir=4)
    (late, early) = ([m for m in world.pending if (m.to == 4) is early] for early in (False, True))
    world.pending = early
    world.run(0.1)
    world.pending += late
    assert until_held(world, 1.0, by=4) <= 0.2


def test_a_bidder_whose_promises_were_forgotten_uses_a_new_ballot() -> None:
    world = World(4, 1)
    world.run(OUT + 0.1)
    world.want(3, 1)
    world.blocked = {(0, 3), (1, 3), (2, 3)}
    world.run(0.1)
    world.processes[3].stopped = True
    world.run(3 * T)
    assert world.settle(1.0, lambda: held(world)) is not None


ME = 5 << 32 | 1 << 16  # a ballot of router 1
ASK, TAKE, RENEW = Prepare(7, ME), Propose(7, ME, 1500, 0), Propose(7, ME, 1500, 1)


@pytest.mark.parametrize(
    ("notes", "answers"),
    [
        ([(2.0, ASK), (2.0, TAKE), (2.4, RENEW)], [Promise, Accept, Accept]),
        ([(2.0, TAKE)], [Reject]),  # not promised in this life
        ([(2.0, ASK), (2.8, TAKE)], [Promise, Reject]),  # not lately
        ([(2.0, ASK), (2.1, Release(7, ME, 1)), (2.2, TAKE)], [Promise, Reject]),  # given up
        ([(2.0, ASK), (2.0, TAKE), (2.1, Release(7, ME, 1)), (2.2, RENEW)], [Promise, Accept, Reject]),
        (
            [(2.0, RENEW), (2.1, Prepare(7, ME + 1))],
            [Accept, Promise],
        ),  # held past a restart; the next run waits
        ([(2.0, Propose(7, ME, 1501, 0))], []),  # longer than a stay-out
    ],
)
def test_an_acceptor_accepts_a_proposal_only_while_its_promise_binds(
    notes: list[tuple[float, PeerMessage]], answers: list[type[PeerMessage]]
) -> None:
    leases = single()
    leases.tick(2.0)
    said = [
        each.message
        for now, note in notes
        for each in leases.handle_message(1, 0, note, now)
        if isinstance(each, SendMessage)
    ]
    assert [type(each) for each in said] == answers
    assert all(each.holder_ballot != 0 for each in said if isinstance(each, Promise) and each.ballot != ME)


def test_a_released_lock_is_reserved_for_the_successor_for_a_short_time() -> None:
    leases = single()
    leases.tick(2.0)
    for note in (ASK, TAKE, Release(7, ME, 2)):
        leases.handle_message(1, 0, note, 2.0)
    for now, sender, kind in ((2.1, 3, Reject), (2.1, 2, Promise), (2.4, 3, Promise)):
        (told,) = leases.handle_message(sender, 0, Prepare(7, 6 << 32 | sender << 16), now)
        assert isinstance(told, SendMessage) and type(told.message) is kind


def test_a_query_for_the_holder_is_answered_and_changes_nothing() -> None:
    leases = single()
    leases.tick(2.0)
    ballot = 5 << 32 | 1 << 16
    for note in (Prepare(7, ballot), Propose(7, ballot, 1500, 0)):
        leases.handle_message(1, 0, note, 2.0)
    assert leases.query_holder(7, 2.1) == [HolderObserved(7, 1, ballot)]
    assert leases.holder(7, 2.1) == 1 and leases.holder(7, 4.0) is None
    (told,) = leases.handle_message(1, 0, Prepare(7, 0), 2.1)
    assert isinstance(told, SendMessage) and isinstance(told.message, Promise) and told.message.holder == 1


def test_votes_bids_and_hints_are_bounded_and_votes_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor, "MAX_VOTES", 3)
    monkeypatch.setattr(proposer, "MAX_BIDS", 3)
    monkeypatch.setattr(bid_schedule, "MAX_BIDS", 3)
    monkeypatch.setattr(holder_hints, "MAX_HINTS", 3)
    leases = single()
    leases.tick(2.0)
    voting = leases.acceptor
    assert voting is not None
    for name in range(9):
        leases.handle_message(1, 0, Prepare(name, 9 << 32 | 1 << 16), 2.0)
        leases.handle_message(0, 0, Promise(name, 1, 9 << 32 | 1 << 16, 1, 1500), 2.0)
        said = leases.request(name, 2.0)
    assert len(voting.votes) == 3 and len(leases.proposer.hints) == 3 and len(leases.proposer.bids) == 3
    assert [type(each) for each in said] == [LogEvent]
    for name in range(3):
        leases.release(name, 2.0)
    leases.tick(2.0 + 2.1 * T)
    assert (
        not voting.votes and counter_of(voting.promise_floor or 0) == 9
    )  # forgotten, but not the order of terms


def test_malformed_messages_raise_nothing_and_ballots_of_other_routers_are_ignored() -> None:
    rng = random.Random(3)
    leases = single()
    leases.request(0, 0.0)
    kinds: list[type[PeerMessage]] = [MESSAGE_TYPES[kind] for kind in range(10, 16)]
    for turn in range(5000):
        kind = rng.choice(kinds)
        values = [rng.choice((0, 1, 1 << 16, 1 << 32 | 1 << 16, (1 << 63) - 1)) for _ in kind.__slots__]
        leases.handle_message(1, 0, kind(*values), 2.0 + turn / 1000)
        leases.tick(2.0 + turn / 1000)
    fresh = single()
    fresh.tick(2.0)
    assert fresh.handle_message(1, 0, Prepare(7, 5 << 32), 2.0) == []  # a ballot of router 0
    assert fresh.handle_message(1, 0, Release(7, 5 << 32, 1), 2.0) == []
