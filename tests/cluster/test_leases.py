"""Leases under faults: which router holds a lease, under which term, and how soon. Times are true seconds."""

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
from paddlequay.lab.lease_world import LeaseWorld

LEASE_S = ClusterBounds().lease_s
RESTART_DELAY_S = LEASE_S * 1.05 / 0.95  # longest restart delay of an acceptor, by the slowest clock
SEEDS = range(30)


def is_lease_held(world: LeaseWorld) -> bool:
    return bool(world.holders(1))


def seconds_until_held(
    world: LeaseWorld, seconds: float, by_router: int | None = None, above_term: int = 0, loss: float = 0.0
) -> float:
    """Returns the true seconds until a router holds lease 1; infinity if none does within `seconds`.

    Args:
        world: The simulated routers.
        seconds: The longest time to wait.
        by_router: The router that has to hold the lease; None for any.
        above_term: A term that the holder's term has to exceed.
        loss: The ratio of messages that are lost.
    """

    def done() -> bool:
        return any(
            term > above_term and me == (me if by_router is None else by_router)
            for me, term in world.holders(1)
        )

    elapsed = world.run(seconds, done, loss)
    return math.inf if elapsed is None else elapsed


def world_with_holder(seed: int, *bidders: int, size: int = 5) -> LeaseWorld:
    """Makes a world in which acceptors 0 to 2 vote, router 3 holds lease 1, and other routers bid for it."""
    world = LeaseWorld(size, seed)
    world.run(RESTART_DELAY_S + 0.1)
    world.request(3, 1)
    assert seconds_until_held(world, 1.0) < 1
    for each in bidders:
        world.request(each, 1)
    world.run(1.0)
    return world


def test_a_lease_of_a_killed_holder_is_reacquired_within_the_stated_time() -> None:
    elapsed = []
    for seed in SEEDS:
        world = world_with_holder(seed, 0, 4)
        world.processes[3].stopped = True
        elapsed.append(seconds_until_held(world, 4.0, above_term=world.last_terms[1]))
    assert max(elapsed) <= 2.2


def test_a_holder_stopped_past_its_lease_finds_it_lost_before_any_message() -> None:
    world = world_with_holder(1, 4)
    world.processes[3].stopped = True
    term = world.processes[3].holds(1)
    assert term is not None
    assert seconds_until_held(world, 4.0, by_router=4, above_term=term) < 4
    assert world.processes[3].holds(1) is None  # before any message has arrived
    actions = world.processes[3].leases.tick(world.processes[3].clock)
    assert LeaseLost(1, term) in actions
    assert [me for me, _ in world.holders(1)] == [4]


def test_a_renewal_accepted_after_the_end_does_not_restore_the_lease() -> None:
    world = world_with_holder(1)
    process = world.processes[3]
    world.run(1.0, lambda: any(isinstance(message.message, Propose) for message in world.pending))
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


@pytest.mark.parametrize(("receives_nothing", "bound_s"), [(True, 3.2), (False, 2.2)])
def test_a_holder_with_a_one_way_link_loses_its_lease_to_another_within_the_stated_time(
    receives_nothing: bool, bound_s: float
) -> None:
    for seed in SEEDS:
        world = world_with_holder(seed, 4)
        for each in (0, 1, 2, 4):
            world.blocked_links.add((each, 3) if receives_nothing else (3, each))
        assert seconds_until_held(world, 6.0, by_router=4, above_term=world.last_terms[1]) <= bound_s


def test_no_router_holds_the_lease_without_a_majority_and_one_acquires_it_when_acceptors_return() -> None:
    world = world_with_holder(2, 0, 4)
    world.processes[1].stopped = world.processes[2].stopped = True
    assert world.run(2.0, lambda: not is_lease_held(world)) is not None
    assert world.run(5.0, lambda: is_lease_held(world)) is None
    assert world.settle(2.2, lambda: is_lease_held(world)) is not None


def test_acceptors_restarted_in_turn_keep_the_holder_and_the_order_of_terms() -> None:
    for seed in SEEDS:
        world = world_with_holder(seed)
        term = world.last_terms[1]
        for each in (0, 1, 2):
            world.restart(each)
            world.run(RESTART_DELAY_S + 0.2)
            assert [(3, term)] == world.holders(1)
        # By then the acceptors have dropped all former votes, and the next bidder has restarted.
        world.restart(4)
        world.processes[3].stopped = True
        world.run(RESTART_DELAY_S + 5 * LEASE_S)
        world.request(4, 1)
        assert seconds_until_held(world, 2.0, by_router=4) < 2
        assert counter_of(world.last_terms[1]) > counter_of(term) and world.forgotten_terms == 0


def test_a_successor_acquires_a_released_lease_at_once_and_before_others() -> None:
    elapsed = []
    for seed in SEEDS:
        world = world_with_holder(seed, 0, 1, 4)
        world.release(3, 1, successor=4)
        elapsed.append(seconds_until_held(world, 1.0))
        assert [me for me, _ in world.holders(1)] == [4]
    assert max(elapsed) <= 0.15


def test_concurrent_bidders_elect_a_holder_within_the_stated_time() -> None:
    elapsed = []
    for seed in SEEDS:
        world = LeaseWorld(8, seed)
        world.run(RESTART_DELAY_S + 0.1)
        for each in range(8):
            world.request(each, 1)
        elapsed.append(seconds_until_held(world, 4.0))
    assert sum(elapsed) / len(elapsed) <= 0.2 and max(elapsed) <= 0.7


def test_a_lease_is_acquired_and_kept_with_30_percent_message_loss() -> None:
    elapsed, terms = [], 0
    for seed in SEEDS:
        world = LeaseWorld(5, seed)
        world.run(RESTART_DELAY_S + 0.1)
        world.request(3, 1)
        world.request(4, 1)
        elapsed.append(seconds_until_held(world, 6.0, loss=0.3))
        world.run(20.0, loss_ratio=0.3)
        terms += world.acquisitions
    assert max(elapsed) <= 2.0
    assert terms <= len(SEEDS) + 3  # in 600 seconds


def test_the_leases_of_a_dead_holder_are_bid_for_at_the_stated_rate() -> None:
    names = tuple(range(1, 201))
    world = LeaseWorld(4, 1, names=names)
    world.run(RESTART_DELAY_S + 0.1)
    for name in names:
        world.request(3, name)
    assert (
        world.run(200 / bid_schedule.ELECTIONS_PER_S + 1, lambda: all(map(world.holders, names))) is not None
    )
    for name in names:
        world.request(0, name)
    world.processes[3].stopped = True
    elections: set[tuple[int, int, int]] = set()
    start = world.time

    def is_acquired() -> bool:
        for message in world.pending:
            if message.sender == 0 and isinstance(message.message, Prepare):
                bid = world.processes[0].leases.proposer.bids[message.message.lease]
                elections.add((bid.lease, bid.ballot, round(bid.election_ends_at * 1000)))
        assert (
            len(elections)
            <= bid_schedule.MAX_ELECTIONS_AT_ONCE
            + (world.time - start) * bid_schedule.ELECTIONS_PER_S * 1.05
            + 1
        )
        return len(world.processes[0].acquired) == 200

    elapsed = world.run(20.0, is_acquired)
    assert elapsed is not None and elapsed <= 2.2 + 200 / bid_schedule.ELECTIONS_PER_S


def single_acceptor_leases(now: float = 0.0) -> Leases:
    """Makes the leases of a router that is the only acceptor: it handles all of its messages itself."""
    return Leases(Fleet(0, 2, (0,)), ClusterBounds(), random.Random(1), now)


def test_a_single_acceptor_acquires_renews_and_releases_without_messages_to_itself() -> None:
    leases = single_acceptor_leases()
    leases.request(7, 0.0)
    now, actions = 0.0, []
    while now < 5:
        now = max(now, leases.due())
        actions += leases.tick(now)
    term = leases.holds(7, now)
    assert term is not None and leases.holder(7, now) == 0
    assert [type(each) for each in actions] == [LeaseAcquired]
    assert leases.release(7, now) == [LeaseLost(7, term)]
    assert leases.holds(7, now) is None


def test_a_promise_to_a_bidder_does_not_block_renewals_of_the_holder() -> None:
    for seed in SEEDS:
        world = LeaseWorld(5, seed)
        world.run(RESTART_DELAY_S + 0.1)
        world.blocked_links = {(3, 0), (0, 3)}
        world.request(3, 1)
        assert seconds_until_held(world, 1.0) < 1
        world.request(4, 1)  # acceptor 0 promises its ballots, again and again
        world.run(3.0)
        world.blocked_links.clear()
        world.run(2.0)
        term = world.last_terms[1]
        world.processes[1].stopped = True
        world.run(5.0)
        assert world.holders(1) == [(3, term)]


def test_acceptors_started_together_grant_the_lease_soon_after_the_restart_delay() -> None:
    for seed in SEEDS:
        world = LeaseWorld(5, seed)
        for each in (0, 3, 4):
            world.request(each, 1)  # a ballot made before the acceptors vote must not stay too low for ever
        assert RESTART_DELAY_S * 0.9 < seconds_until_held(world, 4.0) < RESTART_DELAY_S + 0.8


def test_a_successor_notified_before_the_acceptors_does_not_wait_for_the_lock_to_end() -> None:
    world = world_with_holder(3, 4)
    world.release(3, 1, successor=4)
    (late, early) = ([m for m in world.pending if (m.to == 4) is early] for early in (False, True))
    world.pending = early
    world.run(0.1)
    world.pending += late
    assert seconds_until_held(world, 1.0, by_router=4) <= 0.2


def test_a_bidder_uses_a_new_ballot_after_acceptors_have_dropped_its_promises() -> None:
    world = LeaseWorld(4, 1)
    world.run(RESTART_DELAY_S + 0.1)
    world.request(3, 1)
    world.blocked_links = {(0, 3), (1, 3), (2, 3)}
    world.run(0.1)
    world.processes[3].stopped = True
    world.run(3 * LEASE_S)
    assert world.settle(1.0, lambda: is_lease_held(world)) is not None


BALLOT = 5 << 32 | 1 << 16  # a ballot of router 1
PREPARE, ACQUIRE, RENEW = Prepare(7, BALLOT), Propose(7, BALLOT, 1500, 0), Propose(7, BALLOT, 1500, 1)


@pytest.mark.parametrize(
    ("messages", "answers"),
    [
        ([(2.0, PREPARE), (2.0, ACQUIRE), (2.4, RENEW)], [Promise, Accept, Accept]),
        ([(2.0, ACQUIRE)], [Reject]),  # this process has not promised the ballot
        ([(2.0, PREPARE), (2.8, ACQUIRE)], [Promise, Reject]),  # the promise has expired
        ([(2.0, PREPARE), (2.1, Release(7, BALLOT, 1)), (2.2, ACQUIRE)], [Promise, Reject]),  # released
        (
            [(2.0, PREPARE), (2.0, ACQUIRE), (2.1, Release(7, BALLOT, 1)), (2.2, RENEW)],
            [Promise, Accept, Reject],
        ),
        (
            [(2.0, RENEW), (2.1, Prepare(7, BALLOT + 1))],
            [Accept, Promise],
        ),  # the lease was held during a restart; another run has to wait
        ([(2.0, Propose(7, BALLOT, 1501, 0))], []),  # longer than the restart delay covers
    ],
)
def test_an_acceptor_accepts_a_proposal_only_while_its_promise_binds(
    messages: list[tuple[float, PeerMessage]], answers: list[type[PeerMessage]]
) -> None:
    leases = single_acceptor_leases()
    leases.tick(2.0)
    actions = [
        each.message
        for now, message in messages
        for each in leases.handle_message(1, 0, message, now)
        if isinstance(each, SendMessage)
    ]
    assert [type(each) for each in actions] == answers
    assert all(
        each.holder_ballot != 0 for each in actions if isinstance(each, Promise) and each.ballot != BALLOT
    )


def test_a_released_lock_is_reserved_for_the_successor_for_a_short_time() -> None:
    leases = single_acceptor_leases()
    leases.tick(2.0)
    for message in (PREPARE, ACQUIRE, Release(7, BALLOT, 2)):
        leases.handle_message(1, 0, message, 2.0)
    for now, sender, kind in ((2.1, 3, Reject), (2.1, 2, Promise), (2.4, 3, Promise)):
        (action,) = leases.handle_message(sender, 0, Prepare(7, 6 << 32 | sender << 16), now)
        assert isinstance(action, SendMessage) and type(action.message) is kind


def test_a_query_for_the_holder_is_answered_and_changes_nothing() -> None:
    leases = single_acceptor_leases()
    leases.tick(2.0)
    ballot = 5 << 32 | 1 << 16
    for message in (Prepare(7, ballot), Propose(7, ballot, 1500, 0)):
        leases.handle_message(1, 0, message, 2.0)
    assert leases.query_holder(7, 2.1) == [HolderObserved(7, 1, ballot)]
    assert leases.holder(7, 2.1) == 1 and leases.holder(7, 4.0) is None
    (action,) = leases.handle_message(1, 0, Prepare(7, 0), 2.1)
    assert (
        isinstance(action, SendMessage) and isinstance(action.message, Promise) and action.message.holder == 1
    )


def test_votes_bids_and_hints_are_bounded_and_votes_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor, "MAX_VOTES", 3)
    monkeypatch.setattr(proposer, "MAX_BIDS", 3)
    monkeypatch.setattr(bid_schedule, "MAX_BIDS", 3)
    monkeypatch.setattr(holder_hints, "MAX_HINTS", 3)
    leases = single_acceptor_leases()
    leases.tick(2.0)
    lease_acceptor = leases.acceptor
    assert lease_acceptor is not None
    for name in range(9):
        leases.handle_message(1, 0, Prepare(name, 9 << 32 | 1 << 16), 2.0)
        leases.handle_message(0, 0, Promise(name, 1, 9 << 32 | 1 << 16, 1, 1500), 2.0)
        actions = leases.request(name, 2.0)
    assert (
        len(lease_acceptor.votes) == 3 and len(leases.proposer.hints) == 3 and len(leases.proposer.bids) == 3
    )
    assert [type(each) for each in actions] == [LogEvent]
    for name in range(3):
        leases.release(name, 2.0)
    leases.tick(2.0 + 2.1 * LEASE_S)
    assert (
        not lease_acceptor.votes and counter_of(lease_acceptor.promise_floor or 0) == 9
    )  # the votes have expired, but terms still increase


def test_malformed_messages_raise_nothing_and_ballots_of_other_routers_are_ignored() -> None:
    rng = random.Random(3)
    leases = single_acceptor_leases()
    leases.request(0, 0.0)
    kinds: list[type[PeerMessage]] = [MESSAGE_TYPES[kind] for kind in range(10, 16)]
    for turn in range(5000):
        kind = rng.choice(kinds)
        values = [rng.choice((0, 1, 1 << 16, 1 << 32 | 1 << 16, (1 << 63) - 1)) for _ in kind.__slots__]
        leases.handle_message(1, 0, kind(*values), 2.0 + turn / 1000)
        leases.tick(2.0 + turn / 1000)
    fresh = single_acceptor_leases()
    fresh.tick(2.0)
    assert fresh.handle_message(1, 0, Prepare(7, 5 << 32), 2.0) == []  # a ballot of router 0
    assert fresh.handle_message(1, 0, Release(7, 5 << 32, 1), 2.0) == []
