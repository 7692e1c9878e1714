"""Permits: none is used twice or outlives a stop, and strict limits need one."""

from pathlib import Path

import pytest
from test_interceptor import client_request, create_exchange

from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.settings import ClusterSettings, LimitRule, LimitScope, PartitionMode
from paddlequay.cluster.types import ClusterBounds, Fleet
from paddlequay.net.cluster.limit_permits import NO_LIMITS_RETRY_S, PERMIT_MAX_AGE_S, LimitPermits
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import Outcome, ReplyDetail


class World:
    """Permits of the real limits of a fleet of one, whose floor is the whole limit, on a clock of its own."""

    def __init__(self, folder: Path, *rules: LimitRule) -> None:
        self.exchange: Exchange
        self.exchange, _, self.side = create_exchange(folder)
        self.exchange.attempts.interceptor = None
        self.now = 100.0
        settings = ClusterSettings("here", (), limits=rules)
        self.permits = LimitPermits(settings, self.exchange, self.exchange.counters, lambda: self.now)
        self.limits = FleetLimits(
            Fleet(0, 1),
            ClusterBounds(),
            rules,
            lambda *_: None,
            1,
            self.now - 20.0,
            is_first_process=True,
            max_request_s=2.0,
        )
        self.permits.use_limits(self.limits)
        self.opened = 0

    def open(self, kind: str = "video") -> tuple[PendingRequest, UpstreamAttempt]:
        self.opened += 1
        item = self.exchange.submit(client_request(f"{self.opened:x}", kind), lambda _: None)
        assert item is not None
        item.deadline = self.now + 2.0
        return item, self.side.started[-1]


def rate(
    by: LimitScope, match: str, burst: float = 1.0, mode: PartitionMode = PartitionMode.STRICT
) -> LimitRule:
    return LimitRule("r", by, match, rate_per_s=1.0, burst=burst, floor_ratio=1.0, mode=mode)


def test_a_rejected_renewal_leaves_the_next_attempt_without_a_permit(tmp_path: Path) -> None:
    world = World(tmp_path, rate(LimitScope.CLASS, "video"))
    a, first = world.open()
    assert world.permits.admit(a, 2.0) is None
    world.now += 1.0 + 2 * PERMIT_MAX_AGE_S  # stopped, or waiting for a connection
    b, other = world.open()
    assert world.permits.admit(b, 2.0) is None
    assert world.permits.before_write(first, 1.0) is ReplyDetail.FILL_LIMIT
    assert (
        world.permits.before_write(first, 1.0) is ReplyDetail.FILL_LIMIT
    )  # another attempt of it: asks again
    assert world.permits.before_write(other, 1.0) is None
    world.now += 1.1
    assert world.permits.before_write(first, 1.0) is None


@pytest.mark.parametrize(("outcome", "free"), [(Outcome.REJECTED, False), (Outcome.TIMEOUT, True)])
def test_a_retry_after_an_attempt_that_did_not_run_needs_a_fresh_permit(
    tmp_path: Path, outcome: Outcome, free: bool
) -> None:
    world = World(tmp_path, rate(LimitScope.CLASS, "video", burst=1.0))
    a, attempt = world.open()
    assert world.permits.admit(a, 2.0) is None and world.permits.before_write(attempt, 1.0) is None
    world.permits.attempt_ended(attempt, AttemptResult(outcome))
    world.now += 1.1
    b, _ = world.open()
    assert world.permits.admit(b, 2.0) is None  # the one token that has come since
    assert (world.permits.before_write(attempt, 1.0) is None) is free


def test_a_renewed_slot_is_held_for_all_that_is_left_of_the_request(tmp_path: Path) -> None:
    world = World(tmp_path, LimitRule("r", LimitScope.CLASS, "video", max_in_flight=1, floor_ratio=1.0))
    a, attempt = world.open()
    assert world.permits.admit(a, 2.0) is None
    world.now += 2 * PERMIT_MAX_AGE_S
    assert world.permits.before_write(attempt, 0.3) is None  # renewed by an attempt that ends soon
    world.now += 0.5
    b, _ = world.open()
    assert world.permits.admit(b, 2.0) is not None
    world.permits.request_ended(a)
    assert world.permits.admit(b, 2.0) is None


@pytest.mark.parametrize("mode", list(PartitionMode))
def test_without_limits_strict_rules_reject_and_open_rules_admit(tmp_path: Path, mode: PartitionMode) -> None:
    each = LimitRule("s", LimitScope.MEMBER, "*", rate_per_s=1.0, floor_ratio=1.0, mode=mode)
    world = World(tmp_path, rate(LimitScope.CLASS, "video", mode=mode), each)
    a, attempt = world.open()
    assert world.permits.admit(a, 2.0) is None
    world.permits.use_limits(None)
    b, _ = world.open()
    strict = mode is PartitionMode.STRICT
    assert world.permits.admit(b, 2.0) == (NO_LIMITS_RETRY_S if strict else None)
    assert (world.permits.before_write(attempt, 1.0) is None) is not strict
    world.permits.request_ended(a)
    assert not world.permits.requests and not world.permits.attempts


def test_a_limit_of_any_member_does_not_apply_to_their_kind(tmp_path: Path) -> None:
    kind = LimitRule("kind", LimitScope.SOURCE, "box", rate_per_s=9.0)
    world = World(tmp_path, LimitRule("each", LimitScope.MEMBER, "*", rate_per_s=1.0, floor_ratio=1.0), kind)
    assert list(world.permits.keys_of_member(LimitScope.MEMBER, "box")) == [(LimitScope.MEMBER, "box")]
    assert list(world.permits.keys_of_member(LimitScope.SOURCE, "box")) == [
        (LimitScope.SOURCE, "box"),
        (LimitScope.SOURCE, "box"),
    ]
