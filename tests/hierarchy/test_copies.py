"""Copies at a node: which are evicted first, versions, and purges."""

from paddlequay.hierarchy.copies import OVERHEAD, CachedCopy, CopyCache, PurgeHistory


def copy(size: int = 100, minted: float = 10.0, rank: int = 1, group: int | None = None) -> CachedCopy:
    return CachedCopy(bytes(size), "t", minted, group, rank)


def test_low_ranks_go_first_then_what_was_used_longest_ago_and_never_for_a_lower_rank() -> None:
    copies = CopyCache(4 * (100 + OVERHEAD))
    for name, rank in (("low", 0), ("one", 1), ("two", 1), ("top", 3)):
        assert copies.put((name, 0), copy(rank=rank))
    copies.get(("one", 0))
    assert copies.put(("new", 0), copy(rank=1)) and copies.peek(("low", 0)) is None
    assert copies.put(("newer", 0), copy(rank=1)) and copies.peek(("two", 0)) is None
    assert not copies.put(("cold", 0), copy(rank=0))
    assert not copies.put(("huge", 0), copy(size=10_000, rank=3)) and len(copies) == 4
    assert copies.bytes == 4 * (100 + OVERHEAD) and copies.evicted == 2


def test_an_older_copy_never_replaces_a_newer_one_and_a_rank_is_not_lost() -> None:
    copies = CopyCache(10_000)
    assert copies.put(("a", 0), copy(minted=10, rank=3)) and not copies.put(("a", 0), copy(minted=9))
    assert copies.put(("a", 0), copy(minted=11, rank=0))
    kept = copies.peek(("a", 0))
    assert kept is not None and kept.minted == 11 and kept.rank == 3 and len(copies) == 1


def test_purges_drop_older_copies_of_an_object_or_a_group_also_where_it_is_not_known() -> None:
    copies = CopyCache(100_000)
    for name, part, minted, group in (
        ("a", 0, 5, 1),
        ("a", 1, 9, 1),
        ("b", 0, 5, 1),
        ("c", 0, 5, 2),
        ("d", 0, 5, None),
    ):
        copies.put((name, part), copy(minted=minted, group=group))
    assert copies.purge("a", None, 7.0) == 1 and copies.peek(("a", 1)) is not None
    assert copies.purge(None, 1, 7.0) == 2  # b, and d that may belong to any
    assert {place[0] for place, _ in copies.held()} == {"a", "c"}
    assert copies.purge(None, None, 7.0) == 0
    copies.drop(("c", 0))
    copies.drop(("a", 1))
    assert copies.bytes == 0 and not copies.by_object and not copies.by_group


def test_purges_are_remembered_within_bounds_and_fold_into_one_of_everything() -> None:
    purges = PurgeHistory(memory=6.0, most=3)
    for at in range(5):
        purges.add(f"o{at}", None, 100.0 + at, 105.0)
    assert len(purges.at) == 3 and purges.of_object("o0") == 101.0 and purges.of_object("o4") == 104.0
    purges.add(None, 7, 106.0, 106.0)
    assert purges.floor("o9", 7) == 106.0 and purges.floor("o9", 8) < 106.0 == purges.floor("o9", None)
    purges.add("x", None, 200.0, 200.0)
    assert len(purges.at) == 1
