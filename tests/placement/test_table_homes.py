"""Tests of homes that follow a placement table: the default rule gives plain homes, and other rules apply."""

import random
from collections.abc import Callable
from functools import partial

import pytest

from paddlequay.placement.checks import read_rules
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import Homes, placement_key
from paddlequay.placement.migration import CurrentPlacement, Migration
from paddlequay.placement.table import ShardMap, Table
from paddlequay.placement.table_homes import MAX_CACHED_SHARD_MAPS, HomeKey, TableHomes, home_key
from paddlequay.routing.interface import Member, Request

DEFAULT = "otherwise: 65536 shards by object and part; 1 copy."
RULES = """rule films, precedence 2, for class video:
    64 shards by object; 2 copies over 2 kinds; pin shard 0 through 31 to member a3.
rule far, precedence 1, for class photo: 64 shards by object; among zone b.
"""
CELL_RULES = """cell quiet is zone a and kind big.
tenant acme stays in cell quiet.
rule all, precedence 0, for class page: 64 shards by object; 2 copies.
"""
MEMBERS = [
    Member(f"{zone}{n}", zone=zone, kind=("big", "small")[n % 2], weight=1.0 + n % 3)
    for zone in "ab"
    for n in range(9)
]


def make_find_placement(
    migration: Migration,
) -> Callable[[HomeKey], tuple[ShardMap, CurrentPlacement] | None]:
    def find_placement(key: HomeKey) -> tuple[ShardMap, CurrentPlacement] | None:
        placement = migration.lookup(key.class_name, key.tenant, key.group, key.key, key.part, 0.0)
        table = migration.table
        return (
            None
            if placement is None
            else (table.shard_maps[placement.found.rule, placement.found.cell], placement)
        )

    return find_placement


def make_table_homes(
    text: str, zone: str = "a", members: list[Member] = MEMBERS
) -> tuple[TableHomes[str], Table]:
    """Returns the homes at a router that uses one zone, by a table over all zones, and that table."""
    homes: TableHomes[str] = TableHomes()
    homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == zone)
    table = compile_rules(read_rules("t", text.encode()), members)
    homes.find_placement = make_find_placement(Migration(table))
    return homes, table


def key_of(class_name: str, key: int, part: int | None = None, tenant: str | None = None) -> HomeKey:
    return home_key(Request("q", class_name, 1.0, key=key, part=part, tenant=tenant))


@pytest.mark.parametrize("copies", [1, 3])
def test_rule_equivalent_to_the_default_placement_gives_plain_homes(copies: int) -> None:
    text = DEFAULT if copies == 1 else DEFAULT.replace("1 copy", "3 copies")
    rng = random.Random(copies)
    members, compared = list(MEMBERS), 0
    table_homes, _ = make_table_homes(text)
    plain: Homes[str] = Homes()
    for step in range(40):
        if step % 2:
            removed = rng.choice(members)
            members.remove(removed)
        else:
            members.append(Member(f"n{step}", zone=rng.choice("ab"), weight=rng.choice((0.5, 1.0, 4.0))))
        table_homes.find_placement = make_find_placement(
            Migration(compile_rules(read_rules("t", text.encode()), members))
        )
        for homes in (table_homes, plain):
            homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == "a")
        weight_factors = {m.name: rng.uniform(0.05, 1.0) for m in members if rng.random() < 0.3 and step > 10}
        weight_factor = partial(lambda factors, name: factors.get(name, 1.0), weight_factors)
        for _ in range(50):
            key, part = rng.getrandbits(64), rng.choice((None, rng.randrange(100)))
            by_table = list(table_homes.order(key_of("video", key, part), weight_factor))
            by_hash = list(plain.order(placement_key(key, part), weight_factor))
            assert by_table == by_hash and len(by_hash) > 2
            compared += 1
    assert compared == 2000


def test_order_has_the_copies_and_then_all_members_that_the_rule_allows() -> None:
    homes, table = make_table_homes(RULES)
    for key in range(200):
        order = list(homes.order(key_of("video", key)))
        found = table.lookup("video", None, None, key)
        assert found is not None and sorted(order) == sorted(homes.members)
        copies = [name for name in found.members if name in homes.members]
        assert order[: len(copies)] == copies


def test_tenant_stays_in_its_cell_and_rule_without_local_members_gives_plain_homes() -> None:
    homes, _ = make_table_homes(RULES)
    cell_homes, _ = make_table_homes(CELL_RULES)
    other_zone_homes, _ = make_table_homes(CELL_RULES, zone="b")
    plain: Homes[str] = Homes()
    plain.reset((m.name, m.name, m.weight or 1.0) for m in MEMBERS if m.zone == "a")
    for key in range(100):
        assert set(cell_homes.order(key_of("page", key, tenant="acme"))) == {"a0", "a2", "a4", "a6", "a8"}
        assert list(other_zone_homes.order(key_of("page", key, tenant="acme"))) == []
        assert list(homes.order(key_of("photo", key))) == list(plain.order(placement_key(key)))
        assert list(homes.order(key_of("charge", key))) == list(plain.order(placement_key(key)))  # no rule


def test_pinned_member_in_slow_start_is_home_to_its_factor_of_objects_and_each_returns_once() -> None:
    homes, _ = make_table_homes(RULES)
    keys = range(4000)
    keys_by_factor: dict[float, set[int]] = {}
    for factor in (0.1, 0.5, 0.9, 1.0):
        weight_factor = lambda name, factor=factor: factor if name == "a3" else 1.0  # noqa: E731
        keys_by_factor[factor] = {
            key for key in keys if next(homes.order(key_of("video", key), weight_factor)) == "a3"
        }
    full_count = len(keys_by_factor[1.0])
    assert full_count > 1500
    for factor in (0.1, 0.5, 0.9):
        assert abs(len(keys_by_factor[factor]) / full_count - factor) < 0.06
    assert keys_by_factor[0.1] < keys_by_factor[0.5] < keys_by_factor[0.9] < keys_by_factor[1.0]


def test_homes_are_plain_without_a_table_and_lack_removed_members() -> None:
    homes, _ = make_table_homes(RULES)
    key = next(key for key in range(100) if next(homes.order(key_of("video", key))) == "a3")
    homes.remove("a3")
    assert "a3" not in list(homes.order(key_of("video", key)))
    homes.find_placement = lambda key: None
    assert list(homes.order(key_of("video", key))) == list(homes.order(placement_key(key)))


def test_number_of_shard_maps_with_cached_orders_is_bounded() -> None:
    text = "\n".join(
        f"rule r{n}, precedence {n}, for class c{n}: 8 shards by object; 1 copy." for n in range(20)
    )
    homes, _ = make_table_homes(text)
    for n in range(20):
        assert len(list(homes.order(key_of(f"c{n}", n)))) == 9
    assert len(homes.shard_maps) == MAX_CACHED_SHARD_MAPS


def test_member_added_after_a_shard_map_was_cached_is_in_its_order() -> None:
    homes, table = make_table_homes(RULES)
    homes.remove("a3")
    copies = {key: table.lookup("video", None, None, key) for key in range(100)}
    key = next(key for key, found in copies.items() if found is not None and "a3" not in found.members)
    assert "a3" not in list(homes.order(key_of("video", key)))
    homes.put("a3", "a3")
    assert "a3" in list(homes.order(key_of("video", key)))
