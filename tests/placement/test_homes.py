"""Homes of objects: the cached order is the sorted one, and a change moves only the objects that it must."""

import random
from collections import Counter
from functools import partial

import pytest

from paddlequay.placement.homes import CACHED_SLOT_SIZE, MAX_CHANGES, Homes, arrival, digest, slot_of

RNG = random.Random(7)
KEYS = [RNG.getrandbits(64) for _ in range(4000)]


def homes_of(count: int, max_uncached_size: int = 12, **weights: float) -> Homes[str]:
    homes: Homes[str] = Homes(max_uncached_size)
    homes.reset((name, name, weights.get(name, 1.0)) for name in (f"n{n}" for n in range(count)))
    return homes


def sorted_order(homes: Homes[str], key: int, factors: dict[str, float]) -> list[str]:
    """The order by a sort of all members, as the definition states it."""
    slot = slot_of(key)
    draws = {
        name: arrival(digest(name), slot, weight) / factors.get(name, 1.0)
        for name, weight in homes.weights.items()
    }
    return sorted(draws, key=lambda name: (draws[name], name))


@pytest.mark.parametrize("count", [0, 1, 4, 13, 300])
@pytest.mark.parametrize("cold", [{}, {"n0": 0.1, "n3": 0.5, "n9": 0.9}])
def test_the_order_equals_a_plain_sort_through_any_changes(count: int, cold: dict[str, float]) -> None:
    homes = homes_of(count)
    rng = random.Random(count)
    for step in range(60):
        name = f"n{rng.randrange(count + 3)}"
        if step % 3 == 2:
            homes.remove(name)
        else:
            homes.put(name, name, rng.choice([1.0, 1.0, 2.5]))
        for key in rng.sample(KEYS, 5) + KEYS[:5]:
            given = list(homes.order(key, lambda each: cold.get(each, 1.0)))
            assert given == sorted_order(homes, key, cold)
            assert homes.first_home_names(key, 3) == sorted_order(homes, key, {})[:3]


@pytest.mark.parametrize("count", [6, 40, 200])
def test_a_new_member_takes_its_share_and_no_other_key_moves(count: int) -> None:
    homes = homes_of(count)
    before = {key: homes.first_home(key) for key in KEYS}
    homes.put("new", "new")
    moved = [key for key in KEYS if homes.first_home(key) != before[key]]
    assert all(homes.first_home(key) == "new" for key in moved)
    assert 0.5 < len(moved) * (count + 1) / len(KEYS) < 1.6
    homes.remove("new")
    assert all(homes.first_home(key) == before[key] for key in KEYS)


def test_shares_follow_weights_and_grow_to_them_in_slow_start() -> None:
    homes = homes_of(16, n1=3.0)
    counts = Counter(homes.first_home(key) for key in KEYS)
    assert 2.2 < counts["n1"] / (sum(counts.values()) - counts["n1"]) * 15 < 3.9
    held: set[int] = set()
    for share in (0.1, 0.4, 0.7, 1.0):
        share_of = partial(lambda part, name: part if name == "n2" else 1.0, share)
        now = {key for key in KEYS if next(homes.order(key, share_of)) == "n2"}
        assert held <= now, "an object that had moved to the newcomer moved away again"
        held = now


def test_a_cached_slot_is_updated_without_a_ranking_of_all_members() -> None:
    homes = homes_of(500)
    for key in KEYS[:50]:
        homes.first_home(key)
    rankings = homes.full_rankings
    for step in range(20):
        homes.put(f"late{step}", "late")
        homes.remove(f"n{step}")
        for key in KEYS[:50]:
            homes.first_home(key)
    # Only slots whose cached entries were used up by removals are ranked anew.
    assert homes.full_rankings - rankings <= 10


def test_cached_slots_are_bounded_and_old_ones_are_ranked_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("paddlequay.placement.homes.MAX_CACHED_SLOTS", 64)
    homes = homes_of(30)
    for key in KEYS[:500]:
        homes.first_home(key)
    for step in range(3 * MAX_CHANGES):
        homes.put("n1", "n1", 1.0 + step % 2)
    assert len(homes.slots) <= 64 and len(homes.changes) <= MAX_CHANGES
    assert all(len(entries) <= CACHED_SLOT_SIZE for _, entries in homes.slots.values())
    assert all(list(homes.order(key)) == sorted_order(homes, key, {}) for key in KEYS[:500])


def test_a_member_removed_during_iteration_is_skipped() -> None:
    homes = homes_of(20)
    walk = homes.order(KEYS[0])
    next(walk)
    second = homes.first_home_names(KEYS[0], 2)[1]
    homes.remove(second)
    assert second not in list(walk)
