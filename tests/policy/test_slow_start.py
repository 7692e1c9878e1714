"""Slow start: the work sent to members, by the load of warm members and by load reports."""

import random

import pytest

from paddlequay.policy.slow_start import (
    LOAD_SAFETY_RATIO,
    MIN_REPORTED_LINKS,
    REPORTED_CAPACITY_RATIO,
    SlowStartLimiter,
)
from paddlequay.routing.interface import SlowStart
from paddlequay.routing.state import TokenBucket

SLOW_START = SlowStart(initial_share=0.17, duration=15.0, overload_multiple=2.5, overload_window=2.0)


def serve(limiter: SlowStartLimiter, rate: float, links: float, begin: float, end: float) -> float:
    """Serves work at `rate` a second while `links` outgoing links are in use; returns the end time."""
    now = begin
    while now < end:
        now += 0.1
        limiter.record_served(rate * 0.1, now, links)
    return now


@pytest.mark.parametrize("rejected_ratio", [0.0, 0.5, 0.9])
def test_rejections_do_not_lower_the_allowed_slow_start_rate(rejected_ratio: float) -> None:
    """Rejections lower the load while three of four edges are new, and must not lower the allowed rate.

    Four edges of capacity 10 are used by half. Then three of them are replaced at once, and a part of the
    requests is rejected.
    """
    limiter = SlowStartLimiter(SLOW_START)
    limiter.set_members([None] * 4, 100.0)
    now = serve(limiter, 20.0, 2.0, 100.0, 140.0)
    limiter.set_members([None, now, now, now], now)
    started = now
    now = serve(limiter, 20.0 * (1.0 - rejected_ratio), 2.0 * (1.0 - rejected_ratio), now, now + 10.0)
    rate = limiter.allowed_rate(started, now)
    assert rate is not None
    share = limiter.capacity_share(started, now)
    # The rate is what a member of capacity 10 in slow start can certainly serve, and no more than is safe.
    assert rate >= 0.99 * REPORTED_CAPACITY_RATIO * 2.5 * share * 10.0
    assert rate <= 1.01 * LOAD_SAFETY_RATIO * 2.5 * share * 10.0


def test_members_without_reports_or_load_show_no_capacity() -> None:
    """A division by almost no utilization would allow any rate."""
    for links in (0.0, MIN_REPORTED_LINKS / 2):
        limiter = SlowStartLimiter(SLOW_START)
        limiter.set_members([None, None], 100.0)
        now = serve(limiter, 1.0, links, 100.0, 130.0)
        assert limiter.allowed_rate(now, now) == pytest.approx(LOAD_SAFETY_RATIO * 2.5 * 0.17 * 0.5, rel=0.1)


def test_load_while_no_member_exists_shows_no_capacity() -> None:
    """Requests that bypass a zone without edges say nothing about the capacity of its edges."""
    limiter = SlowStartLimiter(SLOW_START)
    limiter.set_members([None] * 4, 100.0)
    now = serve(limiter, 20.0, 2.0, 100.0, 140.0)
    before = limiter.allowed_rate(now, now)
    limiter.set_members([], now)
    now = serve(limiter, 20.0, 0.0, now, now + 5.0)
    limiter.set_members([now] * 4, now)
    assert before and limiter.allowed_rate(now, now) == pytest.approx(before, rel=0.01)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_budgets_of_forty_unequal_routers_add_up_to_the_slow_start_limit(seed: int) -> None:
    """Six edges of capacity 10 restart at once; routers have a third to three times the mean load."""
    rng = random.Random(seed)
    shares = [rng.uniform(0.33, 3.0) for _ in range(40)]
    shares = [share / sum(shares) for share in shares]
    routers = [(SlowStartLimiter(SLOW_START), share, [TokenBucket() for _ in range(6)]) for share in shares]
    for limiter, share, _ in routers:
        limiter.set_members([None] * 6, 100.0)
        serve(limiter, 36.0 * share, 3.6 + rng.uniform(-0.3, 0.3), 100.0, 130.0)
        limiter.set_members([130.0] * 6, 130.0)
    sent: list[tuple[float, float]] = []  # time and work, sent to the first member by all routers
    work, rate = 0.1, 600.0  # ten times what the members can do, so that only slow start bounds it
    for step in range(int(10.0 * rate)):
        now = 130.0 + step / rate
        limiter, _, buckets = rng.choices(routers, shares)[0]
        for number, bucket in enumerate(buckets):
            if limiter.admits(bucket, 130.0, work, rng.random(), now):
                bucket.take(work)
                if number == 0:
                    sent.append((now, work))
                break
    for second in range(8):
        begin = 130.0 + second
        window = sum(done for at, done in sent if begin <= at < begin + 2.0)
        capacity = 10.0 * 2.0 * least_share(begin + 1.0 - 130.0)
        assert window <= 2.5 * capacity, (second, window, capacity)


def least_share(age: float) -> float:
    """Returns the share of its capacity that a member of this age has at least."""
    return min(1.0, 0.17 + 0.83 * age / 15.0)
