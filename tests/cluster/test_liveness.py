"""Liveness under stalls, restarts, one-way links, partitions and loss, on a simulated network."""

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simnet import ComponentNetwork

from paddlequay.cluster.gossip import MAX_UPDATES_PER_DATAGRAM, GossipQueue
from paddlequay.cluster.incarnations import first_incarnation, process_start_ms
from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.messages import Ack, MembershipUpdate, PeerMessage, Ping, PingRequest
from paddlequay.cluster.pings import PendingPings
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import Fleet, PeerChanged, PeerState, SelfChanged, SendMessage

ALIVE, SUSPECT, DEAD = PeerState.ALIVE, PeerState.SUSPECT, PeerState.DEAD
Routers = dict[int, Liveness]


def start_router(net: ComponentNetwork, routers: Routers, peer: int, size: int, unix_ms: int) -> None:
    rng = Random(net.rng.getrandbits(32))
    liveness = Liveness(
        Fleet(peer, size), ClusterSettings("test", ()), first_incarnation(unix_ms), rng, net.now
    )
    routers[peer] = liveness
    net.start_router(peer, [liveness], lambda: liveness.incarnation)


def start_fleet(
    size: int, seed: int = 1, loss_ratio: float = 0.0, warm_up_s: float = 5.0
) -> tuple[ComponentNetwork, Routers]:
    net = ComponentNetwork(seed, loss_ratio)
    routers: Routers = {}
    for peer in range(size):
        start_router(net, routers, peer, size, 1000 + peer)
    net.run(warm_up_s)
    return net, routers


def state_changes(net: ComponentNetwork, peer: int, since: float = 0.0) -> list[PeerState]:
    """Returns the states of a peer that any router has reported, in order."""
    return [a.state for t, _, a in net.events if isinstance(a, PeerChanged) and a.peer == peer and t >= since]


def connection_of(net: ComponentNetwork, me: int) -> tuple[bool, bool] | None:
    """Returns whether a router receives and reaches others by its last event; None without an event."""
    own_events = [a for _, p, a in net.events if p == me and isinstance(a, SelfChanged)]
    return (own_events[-1].receives, own_events[-1].reaches) if own_events else None


@pytest.mark.parametrize("size", [3, 12, 40])
def test_all_routers_declare_a_killed_router_dead_and_no_other(size: int) -> None:
    net, routers = start_fleet(size)
    assert all(liveness.alive_count == size for liveness in routers.values())
    net.kill(1)
    net.run(5.0 + 10.0)
    del routers[1]
    assert {liveness.state_of(1) for liveness in routers.values()} == {DEAD}
    assert {tuple(liveness.alive_peers()) for liveness in routers.values()} == {tuple(sorted(routers))}
    assert all(not state_changes(net, peer, 5.0) for peer in routers)


def test_a_stalled_router_declares_nobody_dead_and_refutes_its_death_without_a_restart() -> None:
    net, routers = start_fleet(5)
    net.stall(2, 20.0)
    net.run(24.9)
    assert all(routers[p].state_of(2) is DEAD for p in (0, 1, 3, 4))
    count_before = len(net.events)
    net.run(28.0)
    assert all(liveness.alive_count == 5 for liveness in routers.values())
    assert all(a.state is ALIVE for _, _, a in net.events[count_before:] if isinstance(a, PeerChanged))
    assert (
        process_start_ms(routers[0].incarnation_of(2))
        == process_start_ms(first_incarnation(1002))
        < routers[0].incarnation_of(2)
    )
    assert not [a for _, p, a in net.events if p == 2 and isinstance(a, SelfChanged)]


@pytest.mark.parametrize("unix_ms", [9000, 3])  # in the second case the router's clock was set back
def test_a_restart_is_reported_once_to_each_peer_by_a_higher_process_start(unix_ms: int) -> None:
    net, routers = start_fleet(5)
    start_router(net, routers, 2, 5, unix_ms)
    net.run(9.0)
    changes = [a for t, _, a in net.events if t >= 5.0 and isinstance(a, PeerChanged) and a.peer == 2]
    assert {a.state for a in changes} == {ALIVE} and len(changes) == 4
    assert all(process_start_ms(a.incarnation) > process_start_ms(first_incarnation(1002)) for a in changes)


def test_a_one_way_link_causes_no_death() -> None:
    net, routers = start_fleet(5)
    net.cut(0, 1)
    net.run(60.0)
    assert not [s for peer in routers for s in state_changes(net, peer, 5.0) if s is DEAD]
    assert connection_of(net, 0) is None and connection_of(net, 1) is None


def test_a_router_that_reaches_nobody_reports_itself_isolated_and_declares_nobody_dead() -> None:
    net, routers = start_fleet(5)
    net.cuts = {(2, peer) for peer in range(5)}
    net.run(15.0)
    assert connection_of(net, 2) == (True, False)
    assert routers[0].state_of(2) is DEAD
    assert DEAD not in [a.state for _, p, a in net.events if p == 2 and isinstance(a, PeerChanged)]
    net.heal()
    net.run(25.0)
    assert connection_of(net, 2) == (True, True)
    assert all(liveness.alive_count == 5 for liveness in routers.values())


def test_a_router_that_receives_nothing_causes_no_refutation() -> None:
    """Its peers do receive its datagrams; if it spread its suspicions, all of them would have to refute."""
    net, routers = start_fleet(5)
    net.cuts = {(peer, 2) for peer in range(5)}
    net.run(30.0)
    assert connection_of(net, 2) == (False, False)
    assert DEAD not in [s for peer in routers for s in state_changes(net, peer)]
    assert all(liveness.incarnation == first_incarnation(1000 + peer) for peer, liveness in routers.items())


def test_an_isolated_router_only_suspects_others_and_recovers_when_the_network_heals() -> None:
    net, routers = start_fleet(5)
    net.partition([2], [0, 1, 3, 4])
    net.run(30.0)
    assert connection_of(net, 2) == (False, False)
    assert DEAD not in [a.state for _, p, a in net.events if p == 2 and isinstance(a, PeerChanged)]
    assert routers[0].state_of(2) is DEAD
    net.heal()
    net.run(45.0)
    assert DEAD not in [a.state for _, p, a in net.events if p == 2 and isinstance(a, PeerChanged)]
    assert all(liveness.alive_count == 5 for liveness in routers.values()) and connection_of(net, 2) == (
        True,
        True,
    )


def test_a_healed_partition_becomes_one_fleet_again() -> None:
    net, routers = start_fleet(12)
    net.partition(range(6), range(6, 12))
    net.run(40.0)
    assert all(liveness.alive_count == 6 for liveness in routers.values())
    net.heal()
    net.run(60.0)
    assert all(liveness.alive_count == 12 for liveness in routers.values())


def test_loss_of_a_fifth_of_datagrams_causes_suspicions_but_no_death() -> None:
    net, routers = start_fleet(40, loss_ratio=0.2)
    net.run(65.0)
    assert SUSPECT in [s for peer in routers for s in state_changes(net, peer, 5.0)]
    assert not [s for peer in routers for s in state_changes(net, peer, 5.0) if s is DEAD]


def make_liveness(size: int = 4) -> Liveness:
    return Liveness(Fleet(0, size), ClusterSettings("test", ()), first_incarnation(1), Random(3), 0.0)


def test_an_update_with_an_old_incarnation_or_after_a_recent_datagram_of_the_peer_is_ignored() -> None:
    liveness = make_liveness()
    liveness.handle_datagram(1, 50 << 16, 0.0)
    for update in (
        MembershipUpdate(1, 49 << 16, 3, 2),
        MembershipUpdate(1, 50 << 16, 3, 2),
        MembershipUpdate(1, 50 << 16, 2, 2),
    ):
        liveness.handle_message(2, 1, update, 0.1)
        assert liveness.state_of(1) is ALIVE
    liveness.handle_message(2, 1, MembershipUpdate(1, 49 << 16, 3, 2), 2.0)
    assert liveness.state_of(1) is ALIVE
    liveness.handle_message(2, 1, MembershipUpdate(1, 50 << 16, 3, 2), 2.0)
    assert liveness.state_of(1) is DEAD
    assert [a.message for a in liveness.handle_datagram(1, 50 << 16, 2.1) if isinstance(a, SendMessage)] == [
        MembershipUpdate(1, 50 << 16, 3, 0)
    ]
    # A datagram of the incarnation that was declared dead is no refutation.
    assert liveness.state_of(1) is DEAD
    liveness.handle_datagram(1, (50 << 16) + 1, 2.2)
    assert liveness.state_of(1) is ALIVE


def test_an_ack_without_a_pending_ping_is_ignored() -> None:
    liveness = make_liveness()
    for number in range(100):
        assert liveness.handle_message(1, 5, Ack(number, 2, 5), 0.0) == []
    assert liveness.state_of(2) is PeerState.UNKNOWN


def test_a_router_refutes_reports_about_itself_unless_the_incarnation_is_out_of_range() -> None:
    liveness = make_liveness()
    own = liveness.incarnation
    liveness.handle_message(1, 5, Ping(1, own), 0.0)
    for out_of_range in (Ping(1, 2**63 - 1), MembershipUpdate(0, 2**63 - 1, 3, 1)):
        liveness.handle_message(1, 5, out_of_range, 0.0)
    assert liveness.incarnation == own
    liveness.handle_message(1, 5, Ping(1, own + 3), 0.0)
    assert liveness.incarnation == own + 4
    liveness.handle_message(1, 5, MembershipUpdate(0, own + 4, 2, 1), 0.0)
    assert liveness.incarnation == own + 5


def test_a_peer_that_sends_but_does_not_acknowledge_is_not_suspected() -> None:
    liveness = make_liveness(2)
    for step in range(200):
        liveness.handle_datagram(1, 1 << 16, step * 0.05)
        liveness.tick(step * 0.05)
        assert liveness.state_of(1) is ALIVE


@pytest.mark.parametrize(
    # The acknowledgement comes before the suspicion, or during it but too early.
    ("size", "acknowledged_at_s"),
    [(4, 0.9), (200, 1.1)],
)
def test_a_suspect_is_declared_dead_only_after_another_peer_has_acknowledged(
    size: int, acknowledged_at_s: float
) -> None:
    liveness = make_liveness(size)

    def acknowledge(now: float) -> None:
        liveness.handle_message(
            3, 1 << 16, Ack(liveness._detector._pings.register(3, now, None, 0), 3, 1 << 16), now
        )

    for step in range(int(10.7 / 0.05)):
        now = step * 0.05
        liveness.tick(now)
        if step == 20:
            liveness.handle_message(2, 1 << 16, MembershipUpdate(1, 1 << 16, 2, 2), now)
        if step in (round(acknowledged_at_s / 0.05), 200):
            acknowledge(now)
        assert liveness.state_of(1) is (SUSPECT if step >= 20 else PeerState.UNKNOWN)
    for step in range(30):  # the full time of the suspicion starts at the first acknowledgement
        acknowledge(10.7 + step * 0.1)
        liveness.tick(10.7 + step * 0.1)
    assert liveness.state_of(1) is DEAD


def test_a_router_that_learns_of_a_suspicion_pings_the_suspect() -> None:
    liveness = make_liveness()
    liveness.handle_message(2, 1 << 16, MembershipUpdate(1, 1 << 16, 2, 2), 0.0)
    actions = [a for step in range(16) for a in liveness.tick(step * 0.05)]
    pings = [
        a.message for a in actions if isinstance(a, SendMessage) and a.to == 1 and isinstance(a.message, Ping)
    ]
    assert [ping.known_incarnation for ping in pings] == [1 << 16]


def test_a_stall_doubles_the_time_of_a_suspicion() -> None:
    def suspicion_s(liveness: Liveness, now: float) -> float:
        liveness.handle_datagram(1, 1 << 16, now)
        liveness.handle_message(1, 1 << 16, MembershipUpdate(1, 2 << 16, 2, 2), now)
        return liveness._members[1].dead_at - now

    fresh, stalled = make_liveness(), make_liveness()
    assert stalled.tick(3.0) is not None
    assert suspicion_s(stalled, 3.0) == pytest.approx(2 * suspicion_s(fresh, 0.0))


def test_gossip_and_pending_pings_are_bounded() -> None:
    gossip = GossipQueue(3)
    for peer in range(20):
        gossip.enqueue(MembershipUpdate(peer, 1, 2, 0))
    sent = [list(gossip.piggyback(1)) for _ in range(20)]
    assert max(map(len, sent)) == MAX_UPDATES_PER_DATAGRAM and sum(map(len, sent)) == 60 and not gossip
    pings = PendingPings(5.0, 0)
    assert pings.resolve(pings.register(1, 0.0, None, 0), 2) is None
    numbers = [pings.register(1, 0.0, None, 0) for _ in range(5000)]
    assert sum(pings.resolve(number, 1) is not None for number in numbers) == 1024


ANY_MESSAGE = st.one_of(
    st.builds(Ping, st.integers(0, 2**63 - 1), st.integers(0, 2**63 - 1)),
    st.builds(Ack, st.integers(0, 9), st.integers(0, 2**12), st.integers(0, 2**63 - 1)),
    st.builds(PingRequest, st.integers(0, 9), st.integers(0, 2**12)),
    st.builds(
        MembershipUpdate, st.integers(0, 6), st.integers(0, 2**63 - 1), st.integers(0, 9), st.integers(0, 9)
    ),
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, 2**63 - 1), ANY_MESSAGE, st.floats(0, 3)), max_size=40
    )
)
def test_no_message_raises_an_error_or_lowers_the_incarnation(
    steps: list[tuple[int, int, PeerMessage, float]],
) -> None:
    liveness, now = make_liveness(), 0.0
    for sender, incarnation, message, step in steps:
        now, incarnation_before = now + step, liveness.incarnation
        actions = liveness.handle_datagram(sender, incarnation, now) + liveness.handle_message(
            sender, incarnation, message, now
        )
        actions += liveness.tick(now)
        assert incarnation_before <= liveness.incarnation < 2**63 and math.isfinite(liveness.due())
        assert all(a.to in (1, 2, 3) for a in actions if isinstance(a, SendMessage))
        assert liveness.alive_count == len(liveness.alive_peers())
