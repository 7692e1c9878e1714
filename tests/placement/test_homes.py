"""Tests that the cached order of homes is the sorted one, and that a change moves as few as it can."""

import random
from collections import Counter
from functools import partial

import pytest

from paddlequay.placement.homes import CACHED_MEMBERS_PER_SLOT, MAX_CHANGES, Homes, arrival, digest, slot_of

RNG = random.Random(7)
KEYS = [RNG.getrandbits(64) for _ in range(4000)]


def make_homes(count: int, max_uncached_members: int = 12, **weights: float) -> Homes[str]:
    homes: Homes[str] = Homes(max_uncached_members)
    homes.reset((name, name, weights.get(name, 1.0)) for name in (f"n{n}" for n in range(count)))
    return homes


def sorted_order(homes: Homes[str], key: int, factors: dict[str, float]) -> list[str]:
    """Returns the order of homes as it is defined, by sorting the arrivals of all members."""
    slot = slot_of(key)
    arrivals = {
        name: arrival(digest(name), slot, weight) / factors.get(name, 1.0)
        for name, weight in homes.weights.items()
    }
    return sorted(arrivals, key=lambda name: (arrivals[name], name))


@pytest.mark.parametrize("count", [0, 1, 4, 13, 300])
@pytest.mark.parametrize("weight_factors", [{}, {"n0": 0.1, "n3": 0.5, "n9": 0.9}])
def test_order_of_homes_equals_sorted_arrivals_after_any_changes(
    count: int, weight_factors: dict[str, float]
) -> None:
    homes = make_homes(count)
    rng = random.Random(count)
    for step in range(60):
        name = f"n{rng.randrange(count + 3)}"
        if step % 3 == 2:
            homes.remove(name)
        else:
            homes.put(name, name, rng.choice([1.0, 1.0, 2.5]))
        for key in rng.sample(KEYS, 5) + KEYS[:5]:
            order = list(homes.order(key, lambda each: weight_factors.get(each, 1.0)))
            assert order == sorted_order(homes, key, weight_factors)
            assert homes.first_home_names(key, 3) == sorted_order(homes, key, {})[:3]


@pytest.mark.parametrize("count", [6, 40, 200])
def test_added_member_becomes_home_of_its_share_of_keys_and_no_other_key_moves(count: int) -> None:
    homes = make_homes(count)
    before = {key: homes.first_home(key) for key in KEYS}
    homes.put("new", "new")
    moved = [key for key in KEYS if homes.first_home(key) != before[key]]
    assert all(homes.first_home(key) == "new" for key in moved)
    assert 0.5 < len(moved) * (count + 1) / len(KEYS) < 1.6
    homes.remove("new")
    assert all(homes.first_home(key) == before[key] for key in KEYS)


def test_share_of_keys_follows_weight_and_grows_with_weight_factor_in_slow_start() -> None:
    homes = make_homes(16, n1=3.0)
    counts = Counter(homes.first_home(key) for key in KEYS)
    assert 2.2 < counts["n1"] / (sum(counts.values()) - counts["n1"]) * 15 < 3.9
    previous_keys: set[int] = set()
    for factor in (0.1, 0.4, 0.7, 1.0):
        weight_factor = partial(lambda factor, name: factor if name == "n2" else 1.0, factor)
        keys = {key for key in KEYS if next(homes.order(key, weight_factor)) == "n2"}
        assert previous_keys <= keys, "an object that had moved to the member in slow start moved away again"
        previous_keys = keys


def test_cached_slot_is_updated_without_ranking_all_members() -> None:
    homes = make_homes(500)
    for key in KEYS[:50]:
        homes.first_home(key)
    rankings = homes.full_rankings
    for step in range(20):
        homes.put(f"late{step}", "late")
        homes.remove(f"n{step}")
        for key in KEYS[:50]:
            homes.first_home(key)
    # Only slots that removals left with too few cached entries are ranked anew.
    assert homes.full_rankings - rankings <= 10


def test_cached_slots_are_bounded_and_stale_ones_are_ranked_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("paddlequay.placement.homes.MAX_CACHED_SLOTS", 64)
    homes = make_homes(30)
    for key in KEYS[:500]:
        homes.first_home(key)
    for step in range(3 * MAX_CHANGES):
        homes.put("n1", "n1", 1.0 + step % 2)
    assert len(homes.slots) <= 64 and len(homes.changes) <= MAX_CHANGES
    assert all(len(entries) <= CACHED_MEMBERS_PER_SLOT for _, entries in homes.slots.values())
    assert all(list(homes.order(key)) == sorted_order(homes, key, {}) for key in KEYS[:500])


def test_member_removed_during_iteration_is_skipped() -> None:
    homes = make_homes(20)
    order = homes.order(KEYS[0])
    next(order)
    second = homes.first_home_names(KEYS[0], 2)[1]
    homes.remove(second)
    assert second not in list(order)
