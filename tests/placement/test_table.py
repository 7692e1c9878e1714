"""Tests of look-ups by rule and cell, their explanation, and migration of shards at the pace of the rules."""

import random

import pytest

from paddlequay.placement import table as table_module
from paddlequay.placement.checks import read_rules
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import digest, placement_key, slot_of
from paddlequay.placement.migration import CurrentPlacement, Migration, MigrationPendingError, moved_shards
from paddlequay.placement.rules import RuleSet
from paddlequay.placement.table import Table
from paddlequay.routing.interface import Member

TEXT = """move at most 10 shards per second.
cell quiet is zone a.
tenant acme stays in cell quiet.
rule films, precedence 2, for class video and group 1 through 3: 64 shards by object and part; 2 copies.
rule albums, precedence 1, for group 3, 4: 8 shards by group; pin shard 2 to member m5.
rule own, precedence 3, for tenant cola: 8 shards by tenant.
rule rest, precedence 0, for class video, photo: 256 shards by object.
"""


def parse_rules(text: str = TEXT) -> RuleSet:
    return read_rules("t", text.encode())


RULES = parse_rules()
MEMBERS = [Member(f"m{n}", zone="ab"[n % 2]) for n in range(20)]


def compile_without(name: str, old: Table) -> Table:
    return compile_rules(old.rules, [m for m in MEMBERS if m.name != name], epoch=old.epoch + 1, old=old)


def test_rule_of_the_highest_precedence_applies_and_a_cell_confines_its_tenants() -> None:
    table = compile_rules(RULES, MEMBERS)

    def rule(class_name: str | None, tenant: str | None, group: int | None) -> tuple[str, str | None] | None:
        found = table.lookup(class_name, tenant, group, 77, 2)
        return None if found is None else (found.rule, found.cell)

    assert rule("video", None, 3) == ("films", None)
    assert rule("photo", "someone", 3) == ("albums", None)
    assert rule("video", "cola", 3) == ("own", None)
    assert rule("video", "acme", 3) == ("films", "quiet")
    assert rule("video", None, None) == rule("video", "", 9_999) == ("rest", None)
    assert rule("page", "acme", None) is rule(None, None, None) is None
    for key in range(300):
        found = table.lookup("video", "acme", 1, key, 0)
        assert found is not None
        assert all(int(name[1:]) % 2 == 0 for name in found.members)


def test_lookup_finds_the_shard_by_the_attribute_that_the_rule_names() -> None:
    table = compile_rules(RULES, MEMBERS)

    def shard(class_name: str, tenant: str | None, group: int, key: int, part: int | None) -> int:
        found = table.lookup(class_name, tenant, group, key, part)
        assert found is not None
        return found.shard

    for key in (0, 5, 1 << 63):
        assert shard("video", None, 2, key, 4) == slot_of(placement_key(key, 4)) >> 10
        assert shard("video", None, 9, key, 4) == slot_of(key) >> 8
        assert shard("page", None, 4, key, 4) == slot_of(4) >> 13
        assert shard("page", "cola", 4, key, 4) == slot_of(digest("cola")) >> 13


def test_shard_maps_cached_by_request_attributes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    table = compile_rules(RULES, MEMBERS)
    for n in range(500):
        table.lookup(f"class {n}", f"tenant {n}", 5 + n, n)
    assert len(table.cached_shard_maps) == 1
    monkeypatch.setattr(table_module, "MAX_CACHED_SHARD_MAPS", 3)
    for group in range(6):
        for tenant in ("acme", "cola", "x"):
            assert table.lookup("video", tenant, group, 1) is not None
            assert len(table.cached_shard_maps) <= 3


def test_explanation_of_a_placement_has_its_rule_cell_and_shard() -> None:
    table = compile_rules(RULES, MEMBERS, epoch=41)
    explanation = table.explain("page", "acme", 4, 9)
    assert explanation == {
        "epoch": 41,
        "digest": table.digest,
        "rule": "albums",
        "precedence": 1,
        "line": 5,
        "cell": "quiet",
        "shard": slot_of(4) >> 13,
        "shards": 8,
        "by": "group",
        "copies": list(table.shard_maps["albums", "quiet"].homes[slot_of(4) >> 13]),
        "copies_asked": 1,
        "over": None,
        "pinned": "m5" if slot_of(4) >> 13 == 2 else None,
    }
    assert table.explain("page", None, None, 9)["rule"] is None
    # A cell takes precedence over a pin.
    assert table.shard_maps["albums", None].homes[2] == ("m5",)
    assert table.shard_maps["albums", "quiet"].homes[2] != ("m5",)


def test_moved_shards_are_exactly_those_placed_differently() -> None:
    old = compile_rules(RULES, MEMBERS)
    new = compile_without("m4", old)
    moves = list(moved_shards(old, new))
    assert moves
    for move in moves:
        assert move.before == old.shard_maps[move.key].homes[move.shard]
        assert move.after == new.shard_maps[move.key].homes[move.shard] != move.before
        assert move.before is not None and "m4" in move.before
    shard_count = sum("m4" in homes for each in old.shard_maps.values() for homes in each.homes)
    assert len(moves) == shard_count
    # Objects move to a new rule one by one; the other rules keep their shards.
    with_new_rule = compile_rules(
        parse_rules(TEXT + "rule few, precedence 9, for tenant t: 4 shards by object."), MEMBERS
    )
    assert [(move.key, move.before) for move in moved_shards(old, with_new_rule)] == [
        (("few", None), None)
    ] * 4
    # Without the rule its objects return to the other rules, whose shards then include more objects.
    assert {move.key for move in moved_shards(with_new_rule, old)} == {
        (name, None) for name in ("films", "albums", "rest")
    }
    assert all(move.before is None for move in moved_shards(with_new_rule, old))
    finer = compile_rules(parse_rules(TEXT.replace("256 shards", "512 shards")), MEMBERS)
    assert len(list(moved_shards(old, finer))) == 1024


def placement_at(migration: Migration, key: int, now: float) -> CurrentPlacement:
    found = migration.lookup("photo", None, None, key, None, now)
    assert found is not None
    return found


def test_shards_migrate_at_the_pace_and_lookups_return_their_previous_homes() -> None:
    old = compile_rules(RULES, MEMBERS)
    # Only a weight changes, so that the previous homes stay listed.
    new = compile_rules(
        RULES, [Member("m3", zone="b", weight=30.0), *(m for m in MEMBERS if m.name != "m3")], old=old
    )
    moves = list(moved_shards(old, new))
    assert len(moves) > 60
    migration = Migration(old, previous_home_s=5.0)
    assert migration.change_table(new, 100.0) == len(moves)
    for seconds in (0.0, 1.0, 2.55, 6.0):
        assert len(moves) - migration.pending_count(100.0 + seconds) == int(seconds * 10 + 1e-6)
    move_by_shard = {move.shard: move for move in moves if move.key == ("rest", None)}
    keys = {slot_of(key) >> 8: key for key in range(20_000)}
    due_at_by_key = {key: move.due_at for key, move in migration.scheduled.items()}
    for shard, move in move_by_shard.items():
        due_at = due_at_by_key[("rest", None), shard]
        assert placement_at(migration, keys[shard], due_at - 0.001) == (
            ("rest", None, shard, move.before),
            (),
            True,
        )
        assert placement_at(migration, keys[shard], due_at) == (
            ("rest", None, shard, move.after),
            move.before,
            False,
        )
        assert placement_at(migration, keys[shard], due_at + 5.0).previous == ()
    unmoved = next(shard for shard in keys if shard not in move_by_shard)
    assert placement_at(migration, keys[unmoved], 100.0) == (
        ("rest", None, unmoved, old.shard_maps["rest", None].homes[unmoved]),
        (),
        False,
    )
    migration.forget_finished(migration.ends_at)
    assert not migration.scheduled


def test_shard_whose_home_left_the_list_migrates_at_once() -> None:
    old = compile_rules(RULES, MEMBERS)
    new = compile_without("m4", old)
    migration = Migration(old)
    moves_from_m4 = [move for move in moved_shards(old, new) if move.before and move.before[0] == "m4"]
    assert 0 < migration.change_table(new, 0.0) == len(list(moved_shards(old, new))) - len(moves_from_m4)
    keys = {slot_of(key) >> 8: key for key in range(20_000)}
    for move in moves_from_m4:
        if move.key == ("rest", None):
            assert placement_at(migration, keys[move.shard], 0.0) == (
                ("rest", None, move.shard, move.after),
                (),
                False,
            )


def test_waiting_shard_keeps_its_time_and_goes_to_its_newest_members() -> None:
    old = compile_rules(RULES, MEMBERS)
    with_n0 = [*MEMBERS, Member("n0", zone="b", weight=9.0)]
    grown = compile_rules(RULES, with_n0, old=old)
    migration = Migration(old)
    migration.change_table(grown, 0.0)
    waiting = dict(migration.scheduled)
    again = compile_rules(RULES, [*with_n0, Member("n1", zone="b", weight=9.0)], old=grown)
    migration.change_table(again, 0.05)
    assert all(migration.scheduled[key] == move for key, move in waiting.items())
    assert min(move.due_at for key, move in migration.scheduled.items() if key not in waiting) > max(
        move.due_at for move in waiting.values()
    )
    assert migration.change_table(grown, 0.06) and migration.change_table(old, 0.07) == 0
    # The home of a waiting shard leaves the list: the shard migrates at once.
    migration = Migration(old)
    migration.change_table(grown, 0.0)
    shard_key = next(key for key in migration.scheduled if key[0] == ("rest", None))
    home = old.shard_maps["rest", None].homes[shard_key[1]][0]
    migration.change_table(compile_rules(RULES, [m for m in with_n0 if m.name != home], old=grown), 0.0)
    keys = {slot_of(key) >> 8: key for key in range(20_000)}
    assert not placement_at(migration, keys[shard_key[1]], 0.0).pending
    assert placement_at(migration, keys[shard_key[1]], 0.0).found.members == ("n0",)


def test_other_number_of_shards_migrates_object_by_object_and_refuses_another_change_meanwhile() -> None:
    old = compile_rules(RULES, MEMBERS)
    finer = compile_rules(parse_rules(TEXT.replace("256 shards", "300 shards")), MEMBERS)
    migration = Migration(old, previous_home_s=5.0)
    assert migration.change_table(finer, 0.0) == 600
    rng = random.Random(4)
    for key in (rng.getrandbits(64) for _ in range(200)):
        before, after = old.lookup("photo", None, None, key), finer.lookup("photo", None, None, key)
        assert before is not None and after is not None
        assert placement_at(migration, key, 0.0).found.members == before.members
        assert placement_at(migration, key, 60.0).found == after
        previous = before.members if before.members != after.members else ()
        due_at = migration.scheduled[("rest", None), after.shard].due_at
        assert placement_at(migration, key, due_at).previous == previous
    with pytest.raises(MigrationPendingError, match=r"^shards are waiting to migrate for 29\.0 s more$"):
        migration.change_table(old, 31.0)
    assert migration.table is finer
    # A change of only the list is always accepted.
    assert migration.change_table(compile_without("m4", finer), 31.0) > 0
    moves_back = list(moved_shards(migration.table, old))
    assert sum(move.before is None for move in moves_back) == 512
    assert migration.change_table(old, 200.0) == len(moves_back)


def test_all_shards_migrate_at_once_without_a_pace() -> None:
    rules_without_pace = parse_rules(TEXT.split("\n", 1)[1])
    old = compile_rules(rules_without_pace, MEMBERS)
    migration = Migration(old)
    assert migration.change_table(compile_without("m4", old), 3.0) == 0
    assert migration.scheduled
