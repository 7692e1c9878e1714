"""Who is alive: stalls, restarts, one-way links, cuts and loss, over a simulated network."""

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simnet import Net

from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.members import NEWS_MOST, News, Questions, first_incarnation, life
from paddlequay.cluster.messages import Ack, MembershipUpdate, PeerMessage, Ping, PingFor
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import Fleet, PeerChanged, PeerState, SelfChanged, SendMessage

ALIVE, SUSPECT, DEAD = PeerState.ALIVE, PeerState.SUSPECT, PeerState.DEAD
Parts = dict[int, Liveness]


def start(net: Net, parts: Parts, peer: int, size: int, unix_ms: int) -> None:
    rng = Random(net.rng.getrandbits(32))
    part = Liveness(Fleet(peer, size), ClusterSettings("test", ()), first_incarnation(unix_ms), rng, net.now)
    parts[peer] = part
    net.add(peer, [part], lambda: part.incarnation)


def fleet(size: int, seed: int = 1, drop: float = 0.0, warm: float = 5.0) -> tuple[Net, Parts]:
    net = Net(seed, drop)
    parts: Parts = {}
    for peer in range(size):
        start(net, parts, peer, size, 1000 + peer)
    net.run(warm)
    return net, parts


def changes(net: Net, peer: int, since: float = 0.0) -> list[PeerState]:
    """What was found of a peer, by whomever."""
    return [a.state for t, _, a in net.log if isinstance(a, PeerChanged) and a.peer == peer and t >= since]


def cut_off(net: Net, me: int) -> tuple[bool, bool] | None:
    found = [a for _, p, a in net.log if p == me and isinstance(a, SelfChanged)]
    return (found[-1].receives, found[-1].reaches) if found else None


@pytest.mark.parametrize("size", [3, 12, 40])
def test_killed_router_is_dead_to_all_and_nobody_else_is(size: int) -> None:
    net, parts = fleet(size)
    assert all(part.count_alive == size for part in parts.values())
    net.kill(1)
    net.run(5.0 + 10.0)
    del parts[1]
    assert {part.state_of(1) for part in parts.values()} == {DEAD}
    assert {tuple(part.alive()) for part in parts.values()} == {tuple(sorted(parts))}
    assert all(not changes(net, peer, 5.0) for peer in parts)


def test_stopped_router_declares_nobody_dead_and_is_taken_back_under_the_same_life() -> None:
    net, parts = fleet(5)
    net.stall(2, 20.0)
    net.run(24.9)
    assert all(parts[p].state_of(2) is DEAD for p in (0, 1, 3, 4))
    before = len(net.log)
    net.run(28.0)
    assert all(part.count_alive == 5 for part in parts.values())
    assert all(a.state is ALIVE for _, _, a in net.log[before:] if isinstance(a, PeerChanged))
    assert life(parts[0].incarnation_of(2)) == life(first_incarnation(1002)) < parts[0].incarnation_of(2)
    assert not [a for _, p, a in net.log if p == 2 and isinstance(a, SelfChanged)]


@pytest.mark.parametrize("unix_ms", [9000, 3])  # the second: its clock was set back
def test_restart_is_told_at_once_by_a_new_life(unix_ms: int) -> None:
    net, parts = fleet(5)
    start(net, parts, 2, 5, unix_ms)
    net.run(9.0)
    anew = [a for t, _, a in net.log if t >= 5.0 and isinstance(a, PeerChanged) and a.peer == 2]
    assert {a.state for a in anew} == {ALIVE} and len(anew) == 4
    assert all(life(a.incarnation) > life(first_incarnation(1002)) for a in anew)


def test_link_of_one_way_kills_neither() -> None:
    net, parts = fleet(5)
    net.cut(0, 1)
    net.run(60.0)
    assert not [s for peer in parts for s in changes(net, peer, 5.0) if s is DEAD]
    assert cut_off(net, 0) is None and cut_off(net, 1) is None


def test_router_that_hears_all_and_is_heard_by_none_knows_it() -> None:
    net, parts = fleet(5)
    net.cuts = {(2, peer) for peer in range(5)}
    net.run(15.0)
    assert cut_off(net, 2) == (True, False)
    assert parts[0].state_of(2) is DEAD
    assert DEAD not in [a.state for _, p, a in net.log if p == 2 and isinstance(a, PeerChanged)]
    net.heal()
    net.run(25.0)
    assert cut_off(net, 2) == (True, True)
    assert all(part.count_alive == 5 for part in parts.values())


def test_router_that_hears_none_judges_none() -> None:
    """Others hear it, so that its suspicions would make all of them refute."""
    net, parts = fleet(5)
    net.cuts = {(peer, 2) for peer in range(5)}
    net.run(30.0)
    assert cut_off(net, 2) == (False, False)
    assert DEAD not in [s for peer in parts for s in changes(net, peer)]
    assert all(part.incarnation == first_incarnation(1000 + peer) for peer, part in parts.items())


def test_router_cut_off_suspects_and_goes_on_when_it_is_back() -> None:
    net, parts = fleet(5)
    net.part([2], [0, 1, 3, 4])
    net.run(30.0)
    assert cut_off(net, 2) == (False, False)
    assert DEAD not in [a.state for _, p, a in net.log if p == 2 and isinstance(a, PeerChanged)]
    assert parts[0].state_of(2) is DEAD
    net.heal()
    net.run(45.0)
    assert DEAD not in [a.state for _, p, a in net.log if p == 2 and isinstance(a, PeerChanged)]
    assert all(part.count_alive == 5 for part in parts.values()) and cut_off(net, 2) == (True, True)


def test_parted_halves_find_together_again() -> None:
    net, parts = fleet(12)
    net.part(range(6), range(6, 12))
    net.run(40.0)
    assert all(part.count_alive == 6 for part in parts.values())
    net.heal()
    net.run(60.0)
    assert all(part.count_alive == 12 for part in parts.values())


def test_fifth_of_datagrams_lost_kills_nobody() -> None:
    net, parts = fleet(40, drop=0.2)
    net.run(65.0)
    assert SUSPECT in [s for peer in parts for s in changes(net, peer, 5.0)]
    assert not [s for peer in parts for s in changes(net, peer, 5.0) if s is DEAD]


def alone(size: int = 4) -> Liveness:
    return Liveness(Fleet(0, size), ClusterSettings("test", ()), first_incarnation(1), Random(3), 0.0)


def test_old_word_is_void_and_word_against_what_was_just_heard_too() -> None:
    part = alone()
    part.seen(1, 50 << 16, 0.0)
    for said in (
        MembershipUpdate(1, 49 << 16, 3, 2),
        MembershipUpdate(1, 50 << 16, 3, 2),
        MembershipUpdate(1, 50 << 16, 2, 2),
    ):
        part.handle_message(2, 1, said, 0.1)
        assert part.state_of(1) is ALIVE
    part.handle_message(2, 1, MembershipUpdate(1, 49 << 16, 3, 2), 2.0)
    assert part.state_of(1) is ALIVE
    part.handle_message(2, 1, MembershipUpdate(1, 50 << 16, 3, 2), 2.0)
    assert part.state_of(1) is DEAD
    assert [a.message for a in part.seen(1, 50 << 16, 2.1) if isinstance(a, SendMessage)] == [
        MembershipUpdate(1, 50 << 16, 3, 0)
    ]
    assert part.state_of(1) is DEAD  # a late datagram raises nobody; only a refutation does
    part.seen(1, (50 << 16) + 1, 2.2)
    assert part.state_of(1) is ALIVE


def test_answer_that_nobody_asked_for_is_no_sign_of_life() -> None:
    part = alone()
    for number in range(100):
        assert part.handle_message(1, 5, Ack(number, 2, 5), 0.0) == []
    assert part.state_of(2) is PeerState.UNKNOWN


def test_own_incarnation_outdoes_what_is_said_of_it_within_bounds() -> None:
    part = alone()
    own = part.incarnation
    part.handle_message(1, 5, Ping(1, own), 0.0)
    for absurd in (Ping(1, 2**63 - 1), MembershipUpdate(0, 2**63 - 1, 3, 1)):
        part.handle_message(1, 5, absurd, 0.0)
    assert part.incarnation == own
    part.handle_message(1, 5, Ping(1, own + 3), 0.0)
    assert part.incarnation == own + 4
    part.handle_message(1, 5, MembershipUpdate(0, own + 4, 2, 1), 0.0)
    assert part.incarnation == own + 5


def test_peer_that_is_heard_but_does_not_answer_is_no_suspect() -> None:
    part = alone(2)
    for step in range(200):
        part.seen(1, 1 << 16, step * 0.05)
        part.tick(step * 0.05)
        assert part.state_of(1) is ALIVE


@pytest.mark.parametrize(("size", "answered"), [(4, 0.9), (200, 1.1)])  # before it; in it, but too early
def test_no_death_without_an_answer_from_somebody_in_the_suspicion(size: int, answered: float) -> None:
    part = alone(size)

    def answer(now: float) -> None:
        part.handle_message(3, 1 << 16, Ack(part._questions.ask(3, now, None, 0), 3, 1 << 16), now)

    for step in range(int(10.7 / 0.05)):
        now = step * 0.05
        part.tick(now)
        if step == 20:
            part.handle_message(2, 1 << 16, MembershipUpdate(1, 1 << 16, 2, 2), now)
        if step in (round(answered / 0.05), 200):
            answer(now)
        assert part.state_of(1) is (SUSPECT if step >= 20 else PeerState.UNKNOWN)
    for step in range(30):  # the suspicion lasts anew from the first answer on
        answer(10.7 + step * 0.1)
        part.tick(10.7 + step * 0.1)
    assert part.state_of(1) is DEAD


def test_who_was_told_of_a_suspicion_asks_the_suspect_too() -> None:
    part = alone()
    part.handle_message(2, 1 << 16, MembershipUpdate(1, 1 << 16, 2, 2), 0.0)
    actions = [a for step in range(16) for a in part.tick(step * 0.05)]
    pings = [
        a.message for a in actions if isinstance(a, SendMessage) and a.to == 1 and isinstance(a.message, Ping)
    ]
    assert [ping.about for ping in pings] == [1 << 16]


def test_late_ticks_make_more_patient_and_answers_less() -> None:
    def wait(part: Liveness, now: float) -> float:
        part.seen(1, 1 << 16, now)
        part.handle_message(1, 1 << 16, MembershipUpdate(1, 2 << 16, 2, 2), now)
        return part._members[1].until - now

    fresh, stalled = alone(), alone()
    assert stalled.tick(3.0) is not None
    assert wait(stalled, 3.0) == pytest.approx(2 * wait(fresh, 0.0))


def test_everything_kept_has_a_bound() -> None:
    news = News(3)
    for peer in range(20):
        news.spread(MembershipUpdate(peer, 1, 2, 0))
    told = [list(news.riders(1)) for _ in range(20)]
    assert max(map(len, told)) == NEWS_MOST and sum(map(len, told)) == 60 and not news
    questions = Questions(5.0, 0)
    assert questions.answered(questions.ask(1, 0.0, None, 0), 2) is None
    numbers = [questions.ask(1, 0.0, None, 0) for _ in range(5000)]
    assert sum(questions.answered(number, 1) is not None for number in numbers) == 1024


MESSAGE_TYPES = st.one_of(
    st.builds(Ping, st.integers(0, 2**63 - 1), st.integers(0, 2**63 - 1)),
    st.builds(Ack, st.integers(0, 9), st.integers(0, 2**12), st.integers(0, 2**63 - 1)),
    st.builds(PingFor, st.integers(0, 9), st.integers(0, 2**12)),
    st.builds(
        MembershipUpdate, st.integers(0, 6), st.integers(0, 2**63 - 1), st.integers(0, 9), st.integers(0, 9)
    ),
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, 2**63 - 1), MESSAGE_TYPES, st.floats(0, 3)), max_size=40
    )
)
def test_whatever_comes_raises_nothing_and_the_incarnation_only_grows(
    steps: list[tuple[int, int, PeerMessage, float]],
) -> None:
    part, now = alone(), 0.0
    for sender, incarnation, note, step in steps:
        now, before = now + step, part.incarnation
        actions = part.seen(sender, incarnation, now) + part.handle_message(sender, incarnation, note, now)
        actions += part.tick(now)
        assert before <= part.incarnation < 2**63 and math.isfinite(part.due())
        assert all(a.to in (1, 2, 3) for a in actions if isinstance(a, SendMessage))
        assert part.count_alive == len(part.alive())
