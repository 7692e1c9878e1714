"""Prefetches as requests to the exchange: written only while this router owns the channel, never blamed."""

import random
from collections.abc import Sequence
from pathlib import Path

import pytest
from test_interceptor import RecordingInterceptor, RecordingUpstreamPool, client_request, create_exchange

from paddlequay.cluster.channels import Channels
from paddlequay.cluster.messages import ChannelPartReport, HandoffReply
from paddlequay.cluster.prefetch import channel_id
from paddlequay.cluster.settings import ChannelRule
from paddlequay.cluster.types import Action, ClusterBounds, Fleet, Peer, SendMessage
from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher
from paddlequay.net.upstreams.cache_messages import request_fields
from paddlequay.placement.homes import digest
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import (
    AttemptResult,
    CopyStamp,
    FinalAnswer,
    PendingRequest,
    UpstreamAttempt,
)
from paddlequay.routing.interface import Outcome, ReplyDetail

NAME = "0000000000000007"


class FakeLeases:
    """Leases that are all held under one term, or not held while `term` is None."""

    term: int | None = 0x99

    def query_holder(self, lease: int, now: float) -> list[Action]:
        return []

    def request(self, lease: int, now: float) -> list[Action]:
        return []

    def release(self, lease: int, now: float, successor: Peer | None = None) -> list[Action]:
        return []

    def holds(self, lease: int, now: float) -> int | None:
        return self.term

    def holder(self, lease: int, now: float) -> Peer | None:
        return None


class PrefetchInterceptor(RecordingInterceptor):
    """Passes the exchange's calls to the prefetcher, as the cluster's driver does."""

    prefetcher: ChannelPrefetcher

    def admit(self, item: PendingRequest, left: float) -> float | None:
        self.prefetcher.admit(item)
        return None

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        return self.prefetcher.before_write(attempt)

    def request_ended(self, item: PendingRequest) -> None:
        self.prefetcher.request_ended(item)


class PrefetchRig:
    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.exchange: Exchange
        self.exchange, _, self.side = create_exchange(folder)
        self.leases, self.actions = FakeLeases(), list[Action]()
        rule = ChannelRule(("video",), bundles=1)
        rng = random.Random(1)
        self.channels = Channels(
            Fleet(0, 3, (0, 1, 2), "here"), ClusterBounds(), rule, self.leases, rng, 10.0
        )
        bundle = self.channels.bundles.all[0]
        bundle.term = 0x99
        self.channels.handle_message(2, 0, HandoffReply(bundle.lease, 0, 1), 10.0)
        interceptor = PrefetchInterceptor()
        interceptor.prefetcher = self.prefetcher = ChannelPrefetcher(
            self.channels, "here", self.exchange, self.exchange.counters, self.apply_actions, lambda: 10.0
        )
        self.exchange.attempts.interceptor = interceptor
        later = self.exchange.scheduler.call_later
        monkeypatch.setattr(
            self.exchange.scheduler, "call_later", lambda delay, call: later(delay, call) if delay else call()
        )

    def apply_actions(self, actions: Sequence[Action]) -> None:
        self.actions += actions

    def read(self, *parts: int) -> RecordingUpstreamPool:
        for part in parts:
            request = client_request(f"client {part}")
            request.part = part
            self.exchange.submit(request, lambda reply: None)
        return self.side


def test_the_next_part_is_prefetched_under_the_term_and_reported_with_its_cache(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = PrefetchRig(tmp_path, monkeypatch)
    prefetch = next(each for each in rig.read(1, 2, 3).started if each.id.startswith("ahead"))
    cache_request = rig.exchange.attempts.prepare_write(prefetch)
    assert cache_request is not None and cache_request.part == 4
    assert request_fields(cache_request)["term"] == "99"
    assert request_fields(cache_request)["chan"] == f"{channel_id('here', NAME):x}"
    rig.exchange.attempts.end(prefetch, AttemptResult(Outcome.SERVED, stamp=CopyStamp("t", 1.0)))
    (message,) = rig.actions
    assert (
        isinstance(message, SendMessage)
        and message.to == 2
        and isinstance(message.message, ChannelPartReport)
    )
    assert (message.message.part, message.message.cache, message.message.term) == (4, digest("box"), 0x99)
    assert not rig.prefetcher.pending
    # A hint about a part reaches the routing decisions with the client's own request for that part.
    rig.exchange.router.state.hot_objects.parts.clear()
    rig.channels.hints.add(channel_id("here", NAME), 5, digest("aimag"), 0x99, 3.0, 10.0)
    rig.read(4, 5)
    assert "aimag" in rig.exchange.router.state.hot_objects.parts[(7, 5)].holders


def test_a_prefetch_is_not_written_after_the_lease_is_lost_and_no_member_is_blamed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = PrefetchRig(tmp_path, monkeypatch)
    prefetch = next(each for each in rig.read(1, 2, 3).started if each.id.startswith("ahead"))
    count, box = len(rig.side.started), rig.exchange.router.state.members.upstreams["box"]
    limit = box.concurrency_limit
    rig.leases.term = None
    assert rig.exchange.attempts.prepare_write(prefetch) is None
    assert prefetch.id not in rig.exchange.intake.open_ids and not rig.prefetcher.pending and not rig.actions
    assert len(rig.side.started) == count and box.failures == 0 and box.concurrency_limit == limit
    assert rig.read(9).started[-1].id == "client 9"  # and without the lease nothing is prefetched


def test_requests_of_other_classes_start_no_prefetch(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rig = PrefetchRig(tmp_path, monkeypatch)
    replies: list[FinalAnswer] = []
    for number in range(5):
        rig.exchange.submit(client_request(f"c{number}", "charge"), replies.append)
    assert not any(each.id.startswith("ahead") for each in rig.side.started)
