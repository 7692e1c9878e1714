"""Bundles of channels at one router: terms, bids, rebalancing and answers to followers."""

import random

from paddlequay.cluster import handoff
from paddlequay.cluster.bundles import Bundle
from paddlequay.cluster.channels import Channels
from paddlequay.cluster.handoff import PeerLoad
from paddlequay.cluster.messages import HandoffOffer, HandoffReply
from paddlequay.cluster.prefetch import DecayingRate, Prefetch
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import Action, Fleet, SendMessage
from paddlequay.lab.channel_world import BOUNDS, ChannelWorld


class FakeLeases:
    """Leases whose state the test sets; records which leases are requested."""

    def __init__(self) -> None:
        self.held: dict[int, int] = {}
        self.reported_holder: int | None = None
        self.requested: list[int] = []

    def query_holder(self, lease: int, now: float) -> list[Action]:
        return []

    def request(self, lease: int, now: float) -> list[Action]:
        self.requested.append(lease)
        return []

    def release(self, lease: int, now: float, successor: int | None = None) -> list[Action]:
        self.held.pop(lease, None)
        return []

    def holds(self, lease: int, now: float) -> int | None:
        return self.held.get(lease)

    def holder(self, lease: int, now: float) -> int | None:
        return self.reported_holder


def channels_of_owner(
    bundles: int = 1, rates: tuple[float, ...] = ()
) -> tuple[Channels, FakeLeases, list[Bundle]]:
    """Returns router 0, a long-time owner under term 5 of one bundle per rate, each followed by router 1."""
    leases = FakeLeases()
    rule = ChannelRule(("video",), bundles=bundles)
    rng = random.Random(1)
    channels = Channels(Fleet(0, 5, (0, 1, 2), "here"), BOUNDS, rule, leases, rng, 0.0)
    for bundle, rate in zip(channels.bundles.all, rates, strict=False):
        leases.held[bundle.lease] = bundle.term = bundle.highest_term = 5
        bundle.rate = DecayingRate(rate, 100.0)
        bundle.followers[1] = 100.0
    return channels, leases, channels.bundles.all


def test_old_term_expires_with_the_overlap_or_when_a_higher_term_is_received() -> None:
    channels, _, (bundle,) = channels_of_owner(1, (1.0,))
    prefetch = Prefetch(7, "a", "video", 3, 5)
    channels.bundles.release(bundle, 100.0, successor=1)
    overlap_end = 100.0 + BOUNDS.overlap_s * (1 - BOUNDS.drift_ratio)
    assert (
        channels.writable_term(prefetch, overlap_end - 0.001) == 5
        and channels.writable_term(prefetch, overlap_end) is None
    )
    bundle.accept_term(6, 100.1)
    assert channels.writable_term(prefetch, 100.1) is None
    channels, leases, (bundle,) = channels_of_owner(1, (1.0,))
    bundle.acquired_at = 100.0 - BOUNDS.overlap_s  # the previous owner may still fill
    channels.bundles.release(bundle, 100.0, successor=1)
    assert channels.writable_term(prefetch, 100.0) is None
    leases.held[bundle.lease] = 8
    assert channels.writable_term(prefetch, 101.0) is None  # the held lease has another term
    bundle.accept_term(9, 101.0)
    assert channels.writable_term(Prefetch(7, "a", "video", 3, 8), 101.0) is None


def test_bid_delays_let_one_of_many_routers_bid_well_before_the_next() -> None:
    channels, _, _ = channels_of_owner()
    two_shortest = [sorted(channels.owner_search.bid_delay_s() for _ in range(50))[:2] for _ in range(200)]
    # The mean gap is 0.040 s, about an election between nearby routers; uniform delays give 0.008 s.
    assert sum(second - first for first, second in two_shortest) / 200 > 0.03


def test_reported_holder_that_denies_ownership_does_not_prevent_a_bid() -> None:
    channels, leases, (bundle,) = channels_of_owner()
    leases.reported_holder = bundle.owner = 3
    for part in (1, 2, 3):
        channels.record_read("a", "video", part, 100.0)
    channels.handle_message(3, 0, HandoffReply(bundle.lease, 5, 0), 100.0)
    for tenth in range(1, 6):
        channels.tick(100.0 + tenth / 10)
    assert leases.requested == [bundle.lease]


def offer_receivers(actions: list[Action]) -> list[int | None]:
    return [
        action.to
        for action in actions
        if isinstance(action, SendMessage) and isinstance(action.message, HandoffOffer)
    ]


def test_rebalancing_moves_only_a_bundle_that_evens_the_load_to_a_reachable_follower() -> None:
    channels, _, bundles = channels_of_owner(8, (10.0, 1.0))
    handoffs = channels.handoff
    handoffs.peer_loads = {1: PeerLoad(8.0, 100.0), 2: PeerLoad(8.0, 100.0)}
    assert not handoffs.start_handoffs(100.0)  # a load of 11 is not far above the mean of 9
    handoffs.peer_loads |= {2: PeerLoad(0.0, 100.0), 3: PeerLoad(0.0, 100.0)}
    handoffs.unreachable = {1}
    assert not handoffs.start_handoffs(100.0)
    handoffs.unreachable = set()
    assert offer_receivers(handoffs.start_handoffs(100.0)) == [1]
    assert bundles[0].offer is None and bundles[1].offer is not None  # the larger one would overload router 1
    bundles[1].offer = None
    assert not handoffs.start_handoffs(100.0 + handoff.REBALANCE_INTERVAL_S - 0.1)


def test_a_drain_offers_few_bundles_at_once_and_a_router_without_readers_declines() -> None:
    channels, _, _ = channels_of_owner(8, (1.0,) * 8)
    assert offer_receivers(channels.drain(100.0)) == [1] * handoff.MAX_CONCURRENT_HANDOFFS
    channels, leases, (bundle,) = channels_of_owner()
    (message,) = channels.handle_message(3, 0, HandoffOffer(bundle.lease, 5, 0), 100.0)
    assert (
        isinstance(message, SendMessage)
        and message.message == HandoffReply(bundle.lease, 5, 0)
        and not leases.requested
    )
    bundle.live_channels.add(7)
    assert not channels.handle_message(
        3, 0, HandoffOffer(bundle.lease, 6, 0), 100.0
    ) and leases.requested == [bundle.lease]


def test_router_that_does_not_own_the_bundle_answers_a_follower_with_a_denial() -> None:
    world = ChannelWorld(11)
    owner = world.settle()
    other = (owner + 1) % 5
    channels, now = world.processes[other].channels, world.processes[other].clock
    bundle = channels.bundles.all[0]
    (answer,) = channels.handle_message(owner, 0, HandoffReply(bundle.lease, 0, 1), now)
    assert isinstance(answer.message, HandoffReply) and answer.message.accepted == 0  # type: ignore[union-attr]
    assert channels.handle_message(owner, 0, HandoffReply(12345, 0, 1), now) == []  # a bundle of another zone
