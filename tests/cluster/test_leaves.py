"""Leaves: none is used twice, none outlives a stop, and none is missing where a strict limit is."""

from pathlib import Path

import pytest
from test_interceptor import ask, made

from paddlequay.cluster.limits import Limits
from paddlequay.cluster.settings import By, ClusterSettings, LimitRule, Mode
from paddlequay.cluster.types import ClusterBounds, Fleet
from paddlequay.net.cluster.leaves import LEAVE_S, OUT_PAUSE, Leaves
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import Outcome, ReplyDetail


class World:
    """Leaves over the real limits of a fleet of one, whose floor is the whole, on a clock of its own."""

    def __init__(self, folder: Path, *rules: LimitRule) -> None:
        self.exchange: Exchange
        self.exchange, _, self.side = made(folder)
        self.exchange.attempts.interceptor = None
        self.now = 100.0
        settings = ClusterSettings("here", (), limits=rules)
        self.leaves = Leaves(settings, self.exchange, self.exchange.counters, lambda: self.now)
        self.limits = Limits(
            Fleet(0, 1), ClusterBounds(), rules, lambda *_: None, 1, self.now - 20.0, first=True, shut=2.0
        )
        self.leaves.joined(self.limits)
        self.opened = 0

    def open(self, kind: str = "video") -> tuple[PendingRequest, UpstreamAttempt]:
        self.opened += 1
        item = self.exchange.submit(ask(f"{self.opened:x}", kind), lambda _: None)
        assert item is not None
        item.deadline = self.now + 2.0
        return item, self.side.started[-1]


def rate(by: By, match: str, burst: float = 1.0, mode: Mode = Mode.STRICT) -> LimitRule:
    return LimitRule("r", by, match, rate=1.0, burst=burst, floor=1.0, mode=mode)


def test_a_refused_renewal_leaves_the_next_attempt_without_leave_too(tmp_path: Path) -> None:
    world = World(tmp_path, rate(By.CLASS, "video"))
    a, first = world.open()
    assert world.leaves.admit(a, 2.0) is None
    world.now += 1.0 + 2 * LEAVE_S  # stopped, or waiting for a connection
    b, other = world.open()
    assert world.leaves.admit(b, 2.0) is None
    assert world.leaves.before_write(first, 1.0) is ReplyDetail.FILL_LIMIT
    assert (
        world.leaves.before_write(first, 1.0) is ReplyDetail.FILL_LIMIT
    )  # another attempt of it: asks again
    assert world.leaves.before_write(other, 1.0) is None
    world.now += 1.1
    assert world.leaves.before_write(first, 1.0) is None


@pytest.mark.parametrize(("outcome", "free"), [(Outcome.REJECTED, False), (Outcome.TIMEOUT, True)])
def test_what_was_proven_idle_is_written_anew_only_by_a_leave_that_is_young(
    tmp_path: Path, outcome: Outcome, free: bool
) -> None:
    world = World(tmp_path, rate(By.CLASS, "video", burst=1.0))
    a, attempt = world.open()
    assert world.leaves.admit(a, 2.0) is None and world.leaves.before_write(attempt, 1.0) is None
    world.leaves.attempt_ended(attempt, AttemptResult(outcome))
    world.now += 1.1
    b, _ = world.open()
    assert world.leaves.admit(b, 2.0) is None  # the one token that has come since
    assert (world.leaves.before_write(attempt, 1.0) is None) is free


def test_a_place_is_held_for_all_that_is_left_of_the_request(tmp_path: Path) -> None:
    world = World(tmp_path, LimitRule("r", By.CLASS, "video", at_once=1, floor=1.0))
    a, attempt = world.open()
    assert world.leaves.admit(a, 2.0) is None
    world.now += 2 * LEAVE_S
    assert world.leaves.before_write(attempt, 0.3) is None  # renewed by an attempt that ends soon
    world.now += 0.5
    b, _ = world.open()
    assert world.leaves.admit(b, 2.0) is not None
    world.leaves.request_ended(a)
    assert world.leaves.admit(b, 2.0) is None


@pytest.mark.parametrize("mode", list(Mode))
def test_without_a_share_strict_limits_refuse_at_each_moment_and_open_ones_do_not(
    tmp_path: Path, mode: Mode
) -> None:
    each = LimitRule("s", By.MEMBER, "*", rate=1.0, floor=1.0, mode=mode)
    world = World(tmp_path, rate(By.CLASS, "video", mode=mode), each)
    a, attempt = world.open()
    assert world.leaves.admit(a, 2.0) is None
    world.leaves.joined(None)
    b, _ = world.open()
    strict = mode is Mode.STRICT
    assert world.leaves.admit(b, 2.0) == (OUT_PAUSE if strict else None)
    assert (world.leaves.before_write(attempt, 1.0) is None) is not strict
    world.leaves.request_ended(a)
    assert not world.leaves.requests and not world.leaves.writes


def test_a_limit_for_each_member_is_none_for_their_kind(tmp_path: Path) -> None:
    kind = LimitRule("kind", By.SOURCE, "box", rate=9.0)
    world = World(tmp_path, LimitRule("each", By.MEMBER, "*", rate=1.0, floor=1.0), kind)
    assert list(world.leaves.of(By.MEMBER, "box")) == [(By.MEMBER, "box")]
    assert list(world.leaves.of(By.SOURCE, "box")) == [(By.SOURCE, "box"), (By.SOURCE, "box")]
