"""The division of a limit: its parts sum exactly to the limit, and shares are max-min fair."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster.quotas import (
    MILLI_PER_REQUEST,
    NO_QUOTA,
    Quota,
    divide_limit,
    even_bursts,
    max_min_shares,
)
from paddlequay.cluster.settings import LimitRule, LimitScope, PartitionMode

DEMANDS = st.dictionaries(st.integers(0, 60), st.integers(0, 200_000), max_size=20)


@settings(max_examples=300, derandomize=True)
@given(st.integers(0, 500_000), DEMANDS, st.sampled_from([1, MILLI_PER_REQUEST]))
def test_shares_are_max_min_fair_and_use_the_whole_pool(
    pool: int, demands: dict[int, int], unit: int
) -> None:
    shares = max_min_shares(pool, demands, unit)
    rounded_demands = {peer: -(-demand // unit) * unit for peer, demand in demands.items() if demand}
    assert set(shares) == set(rounded_demands)
    assert sum(shares.values()) == (pool // unit * unit if rounded_demands else 0)
    assert all(share >= 0 and share % unit == 0 for share in shares.values())
    if sum(rounded_demands.values()) <= pool // unit * unit:
        assert all(shares[peer] >= demand for peer, demand in rounded_demands.items())
        return
    for peer, demand in rounded_demands.items():
        assert shares[peer] <= demand
        if shares[peer] < demand:
            # A router below its demand has at most one unit, which cannot be split, less than any other.
            assert all(other <= shares[peer] + unit for other in shares.values())


@settings(max_examples=300, derandomize=True)
@given(
    st.integers(1, 200),
    st.floats(0, 1),
    st.one_of(st.none(), st.integers(1, 500)),
    st.floats(0.01, 1e5),
    st.floats(1, 1e4),
    st.floats(1, 4),
)
def test_floors_and_pool_sum_to_the_limit_and_retained_quotas_to_its_multiple(
    size: int, floor: float, max_in_flight: int | None, rate: float, burst: float, open_factor: float
) -> None:
    rate_per_s = rate if max_in_flight is None else None
    rule = LimitRule(
        "x", LimitScope.CLASS, "*", rate_per_s, burst, max_in_flight, PartitionMode.OPEN, open_factor, floor
    )
    division = divide_limit(rule, size)
    for field in ("amount_milli", "burst_milli"):
        limit, pool = getattr(division.limit, field), getattr(division.pool, field)
        assert size * getattr(division.floor, field) + pool == limit and pool >= 0
        assert size * getattr(division.max_retained, field) <= (open_factor - 1) * limit + 1e-6
    assert division.floor.amount_milli <= floor * division.limit.amount_milli / size + 1e-6
    if max_in_flight is None:
        assert division.floor == NO_QUOTA or division.floor.burst_milli >= MILLI_PER_REQUEST
    else:
        assert (
            division.floor.amount_milli % MILLI_PER_REQUEST == 0
            and division.max_retained.amount_milli % MILLI_PER_REQUEST == 0
        )


@given(st.integers(0, 500_000), DEMANDS)
@settings(max_examples=100, derandomize=True)
def test_even_bursts_sum_to_no_more_than_the_pool(pool: int, demands: dict[int, int]) -> None:
    bursts = even_bursts(pool, demands)
    assert sum(bursts.values()) <= pool and len(set(bursts.values())) <= 1


def test_shares_and_floors_of_small_limits() -> None:
    assert max_min_shares(10, {1: 2, 2: 20, 3: 20}) == {1: 2, 2: 4, 3: 4}
    assert max_min_shares(10, {1: 2, 2: 3}) == {1: 4, 2: 6}
    assert max_min_shares(5 * MILLI_PER_REQUEST, {4: 1, 7: 9 * MILLI_PER_REQUEST}, MILLI_PER_REQUEST) == {
        4: MILLI_PER_REQUEST,
        7: 4 * MILLI_PER_REQUEST,
    }
    assert max_min_shares(10, {}) == {} == max_min_shares(10, {3: 0})
    assert divide_limit(LimitRule("x", LimitScope.CLASS, "*", 10.0, 20.0), 4).floor == Quota(500, 1000)
    assert divide_limit(LimitRule("x", LimitScope.CLASS, "*", 10.0, 19.0), 4).floor == NO_QUOTA
    assert divide_limit(
        LimitRule("x", LimitScope.CLASS, "*", max_in_flight=7, floor_ratio=0.9), 3
    ).pool == Quota(1000)


@pytest.mark.parametrize(
    "rule",
    [
        LimitRule("x", LimitScope.CLASS, "*"),
        LimitRule("x", LimitScope.CLASS, "*", rate_per_s=1.0, max_in_flight=1),
        LimitRule("x", LimitScope.CLASS, "*", rate_per_s=0.0),
        LimitRule("x", LimitScope.CLASS, "*", rate_per_s=1.0, burst=0.5),
        LimitRule("x", LimitScope.CLASS, "*", max_in_flight=0),
        LimitRule("x", LimitScope.CLASS, "*", rate_per_s=1.0, floor_ratio=1.1),
        LimitRule("x", LimitScope.CLASS, "*", rate_per_s=1.0, open_factor=0.9),
        LimitRule("", LimitScope.CLASS, "*", rate_per_s=1.0),
    ],
)
def test_contradictory_or_out_of_range_limit_rules_raise_an_error(rule: LimitRule) -> None:
    with pytest.raises(ValueError, match="limit"):
        divide_limit(rule, 3)
