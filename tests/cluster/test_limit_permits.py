"""Permits: none is used twice or after a stop of the process, and strict limits require one."""

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


class PermitWorld:
    """The permits of a fleet of one router, whose floor is the whole limit, by a simulated clock."""

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
        self.submitted_count = 0

    def submit_request(self, class_name: str = "video") -> tuple[PendingRequest, UpstreamAttempt]:
        self.submitted_count += 1
        pending_request = self.exchange.submit(
            client_request(f"{self.submitted_count:x}", class_name), lambda _: None
        )
        assert pending_request is not None
        pending_request.deadline = self.now + 2.0
        return pending_request, self.side.started[-1]


def make_rate_rule(
    scope: LimitScope, match: str, burst: float = 1.0, mode: PartitionMode = PartitionMode.STRICT
) -> LimitRule:
    return LimitRule("r", scope, match, rate_per_s=1.0, burst=burst, floor_ratio=1.0, mode=mode)


def test_a_rejected_renewal_leaves_the_next_attempt_without_a_permit(tmp_path: Path) -> None:
    world = PermitWorld(tmp_path, make_rate_rule(LimitScope.CLASS, "video"))
    first_request, first_attempt = world.submit_request()
    assert world.permits.admit(first_request, 2.0) is None
    world.now += 1.0 + 2 * PERMIT_MAX_AGE_S  # the process was stopped, or waited for a connection
    second_request, second_attempt = world.submit_request()
    assert world.permits.admit(second_request, 2.0) is None
    assert world.permits.before_write(first_attempt, 1.0) is ReplyDetail.FILL_LIMIT
    assert (
        world.permits.before_write(first_attempt, 1.0) is ReplyDetail.FILL_LIMIT
    )  # a further attempt of the same request needs a permit as well
    assert world.permits.before_write(second_attempt, 1.0) is None
    world.now += 1.1
    assert world.permits.before_write(first_attempt, 1.0) is None


@pytest.mark.parametrize(("outcome", "is_admitted"), [(Outcome.REJECTED, False), (Outcome.TIMEOUT, True)])
def test_a_retry_after_an_attempt_that_did_not_run_needs_a_fresh_permit(
    tmp_path: Path, outcome: Outcome, is_admitted: bool
) -> None:
    world = PermitWorld(tmp_path, make_rate_rule(LimitScope.CLASS, "video", burst=1.0))
    first_request, attempt = world.submit_request()
    assert (
        world.permits.admit(first_request, 2.0) is None and world.permits.before_write(attempt, 1.0) is None
    )
    world.permits.attempt_ended(attempt, AttemptResult(outcome))
    world.now += 1.1
    second_request, _ = world.submit_request()
    assert world.permits.admit(second_request, 2.0) is None  # uses the one token that was added since
    assert (world.permits.before_write(attempt, 1.0) is None) is is_admitted


def test_a_renewed_slot_is_held_for_the_remaining_time_of_the_request(tmp_path: Path) -> None:
    world = PermitWorld(tmp_path, LimitRule("r", LimitScope.CLASS, "video", max_in_flight=1, floor_ratio=1.0))
    first_request, attempt = world.submit_request()
    assert world.permits.admit(first_request, 2.0) is None
    world.now += 2 * PERMIT_MAX_AGE_S
    assert world.permits.before_write(attempt, 0.3) is None  # renews the permit for an attempt that ends soon
    world.now += 0.5
    second_request, _ = world.submit_request()
    assert world.permits.admit(second_request, 2.0) is not None
    world.permits.request_ended(first_request)
    assert world.permits.admit(second_request, 2.0) is None


@pytest.mark.parametrize("mode", list(PartitionMode))
def test_without_limits_strict_rules_reject_and_open_rules_admit(tmp_path: Path, mode: PartitionMode) -> None:
    any_member_rule = LimitRule("s", LimitScope.MEMBER, "*", rate_per_s=1.0, floor_ratio=1.0, mode=mode)
    world = PermitWorld(tmp_path, make_rate_rule(LimitScope.CLASS, "video", mode=mode), any_member_rule)
    first_request, attempt = world.submit_request()
    assert world.permits.admit(first_request, 2.0) is None
    world.permits.use_limits(None)
    second_request, _ = world.submit_request()
    is_strict = mode is PartitionMode.STRICT
    assert world.permits.admit(second_request, 2.0) == (NO_LIMITS_RETRY_S if is_strict else None)
    assert (world.permits.before_write(attempt, 1.0) is None) is not is_strict
    world.permits.request_ended(first_request)
    assert not world.permits.request_permits and not world.permits.attempt_permits


def test_a_wildcard_limit_applies_to_the_names_of_members_and_not_to_their_kinds(tmp_path: Path) -> None:
    kind_rule = LimitRule("kind", LimitScope.SOURCE, "box", rate_per_s=9.0)
    world = PermitWorld(
        tmp_path, LimitRule("each", LimitScope.MEMBER, "*", rate_per_s=1.0, floor_ratio=1.0), kind_rule
    )
    assert list(world.permits.keys_of_member(LimitScope.MEMBER, "box")) == [(LimitScope.MEMBER, "box")]
    assert list(world.permits.keys_of_member(LimitScope.SOURCE, "box")) == [
        (LimitScope.SOURCE, "box"),
        (LimitScope.SOURCE, "box"),
    ]
