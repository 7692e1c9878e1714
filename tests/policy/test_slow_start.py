"""What cold members are sent, by the load that warm ones bear and by members' own words: pure, seeded."""

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

RAMP = SlowStart(initial_share=0.17, duration=15.0, overload_multiple=2.5, overload_window=2.0)


def served(cold: SlowStartLimiter, rate: float, used: float, begin: float, end: float) -> float:
    """Work served evenly at `rate` a second while `used` ways out are in use; gives the time at the end."""
    now = begin
    while now < end:
        now += 0.1
        cold.record_served(rate * 0.1, now, used)
    return now


@pytest.mark.parametrize("turned_away", [0.0, 0.5, 0.9])
def test_rejections_do_not_lower_the_slow_start_budget(turned_away: float) -> None:
    """join+vast: with three of four edges new, refusals lowered the load seen, and the load seen the pace.

    Four edges of capacity 10, used by half; then three are replaced at once, and only what the last one and
    the new ones take is served.
    """
    cold = SlowStartLimiter(RAMP)
    cold.set_members([None] * 4, 100.0)
    now = served(cold, 20.0, 2.0, 100.0, 140.0)
    cold.set_members([None, now, now, now], now)
    began = now
    now = served(cold, 20.0 * (1.0 - turned_away), 2.0 * (1.0 - turned_away), now, now + 10.0)
    pace = cold.allowed_rate(began, now)
    assert pace is not None
    share = cold.capacity_share(began, now)
    assert (
        pace >= 0.99 * REPORTED_CAPACITY_RATIO * 2.5 * share * 10.0
    )  # what a cold one of capacity 10 can surely do
    assert pace <= 1.01 * LOAD_SAFETY_RATIO * 2.5 * share * 10.0  # and under the rule's multiple


def test_members_without_reports_or_load_show_no_capacity() -> None:
    """A division by next to no use would send a cold member anything."""
    for used in (0.0, MIN_REPORTED_LINKS / 2):
        cold = SlowStartLimiter(RAMP)
        cold.set_members([None, None], 100.0)
        now = served(cold, 1.0, used, 100.0, 130.0)
        assert cold.allowed_rate(now, now) == pytest.approx(LOAD_SAFETY_RATIO * 2.5 * 0.17 * 0.5, rel=0.1)


def test_load_while_no_member_exists_shows_no_capacity() -> None:
    """All edges of a plaza lost: what went past it was taken for theirs, at no use of their ways out."""
    cold = SlowStartLimiter(RAMP)
    cold.set_members([None] * 4, 100.0)
    now = served(cold, 20.0, 2.0, 100.0, 140.0)
    before = cold.allowed_rate(now, now)
    cold.set_members([], now)
    now = served(cold, 20.0, 0.0, now, now + 5.0)
    cold.set_members([now] * 4, now)
    assert before and cold.allowed_rate(now, now) == pytest.approx(before, rel=0.01)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_budgets_of_forty_unequal_routers_add_up_to_the_slow_start_limit(seed: int) -> None:
    """Six edges of capacity 10 come back cold at once; routers see a third to three times the mean."""
    rng = random.Random(seed)
    shares = [rng.uniform(0.33, 3.0) for _ in range(40)]
    shares = [share / sum(shares) for share in shares]
    routers = [(SlowStartLimiter(RAMP), share, [TokenBucket() for _ in range(6)]) for share in shares]
    for cold, share, _ in routers:
        cold.set_members([None] * 6, 100.0)
        served(cold, 36.0 * share, 3.6 + rng.uniform(-0.3, 0.3), 100.0, 130.0)
        cold.set_members([130.0] * 6, 130.0)
    sent: list[tuple[float, float]] = []  # to the first member, by all
    work, rate = 0.1, 600.0  # ten times what the members can do: the pace alone bounds it
    for step in range(int(10.0 * rate)):
        now = 130.0 + step / rate
        cold, _, buckets = rng.choices(routers, shares)[0]
        for number, bucket in enumerate(buckets):
            if cold.admits(bucket, 130.0, work, rng.random(), now):
                bucket.take(work)
                if number == 0:
                    sent.append((now, work))
                break
    for second in range(8):
        begin = 130.0 + second
        window = sum(done for at, done in sent if begin <= at < begin + 2.0)
        bears = 10.0 * 2.0 * least_share(begin + 1.0 - 130.0)
        assert window <= 2.5 * bears, (second, window, bears)


def least_share(age: float) -> float:
    """The least share of its capacity that a member of this age has."""
    return min(1.0, 0.17 + 0.83 * age / 15.0)
