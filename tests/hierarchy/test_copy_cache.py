"""Cached copies at a node: order of eviction, replacement, purges, and the limit of remembered purges."""

from rig_node import cached_copy

from paddlequay.hierarchy.copy_cache import ENTRY_OVERHEAD_BYTES, CopyCache, PartKey
from paddlequay.hierarchy.purge_history import PurgeHistory


def test_cache_evicts_lowest_retention_then_least_recently_used_but_never_a_higher_retention() -> None:
    cache = CopyCache(4 * (100 + ENTRY_OVERHEAD_BYTES))
    for name, retention in (("low", 0), ("one", 1), ("two", 1), ("top", 3)):
        assert cache.put(PartKey(name, 0), cached_copy(retention=retention))
    cache.get(PartKey("one", 0))
    assert cache.put(PartKey("new", 0), cached_copy(retention=1))
    assert cache.peek(PartKey("low", 0)) is None
    assert cache.put(PartKey("newer", 0), cached_copy(retention=1))
    assert cache.peek(PartKey("two", 0)) is None
    assert not cache.put(PartKey("lower", 0), cached_copy(retention=0))
    assert not cache.put(PartKey("huge", 0), cached_copy(size=10_000, retention=3))
    assert len(cache) == 4
    assert cache.bytes == 4 * (100 + ENTRY_OVERHEAD_BYTES) and cache.evicted == 2


def test_an_older_copy_never_replaces_a_newer_one_and_retention_is_inherited() -> None:
    cache = CopyCache(10_000)
    key = PartKey("a", 0)
    assert cache.put(key, cached_copy(generated_at=10, retention=3))
    assert not cache.put(key, cached_copy(generated_at=9))
    assert cache.put(key, cached_copy(generated_at=11, retention=0))
    cached = cache.peek(key)
    assert cached is not None
    assert cached.generated_at == 11 and cached.retention == 3 and len(cache) == 1


def test_purge_drops_older_copies_of_its_object_or_group_and_those_of_an_unknown_group() -> None:
    cache = CopyCache(100_000)
    for name, part, generated_at, group in (
        ("a", 0, 5, 1),
        ("a", 1, 9, 1),
        ("b", 0, 5, 1),
        ("c", 0, 5, 2),
        ("d", 0, 5, None),
    ):
        cache.put(PartKey(name, part), cached_copy(generated_at=generated_at, group=group))
    assert cache.purge("a", None, 7.0) == 1
    assert cache.peek(PartKey("a", 1)) is not None
    assert cache.purge(None, 1, 7.0) == 2  # b, and d, which may belong to any group
    assert {key.object_name for key, _ in cache.items()} == {"a", "c"}
    assert cache.purge(None, None, 7.0) == 0
    cache.drop(PartKey("c", 0))
    cache.drop(PartKey("a", 1))
    assert cache.bytes == 0 and not cache.by_object and not cache.by_group


def test_purges_above_the_limit_are_merged_into_one_purge_of_all_objects() -> None:
    purges = PurgeHistory(memory_s=6.0, max_purges=3)
    for number in range(5):
        purges.add(f"o{number}", None, 100.0 + number, 105.0)
    assert len(purges.purged_at) == 3
    assert purges.latest_of_object("o0") == 101.0 and purges.latest_of_object("o4") == 104.0
    purges.add(None, 7, 106.0, 106.0)
    assert purges.min_generated_at("o9", 7) == 106.0
    assert purges.min_generated_at("o9", 8) < 106.0 == purges.min_generated_at("o9", None)
    purges.add("x", None, 200.0, 200.0)
    assert len(purges.purged_at) == 1
