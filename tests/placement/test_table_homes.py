"""Homes that follow a placement table: the default rule gives the plain homes, and other rules hold."""

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


def finder(migration: Migration) -> Callable[[HomeKey], tuple[ShardMap, CurrentPlacement] | None]:
    def find(key: HomeKey) -> tuple[ShardMap, CurrentPlacement] | None:
        placement = migration.lookup(key.class_name, key.tenant, key.group, key.key, key.part, 0.0)
        table = migration.table
        return (
            None
            if placement is None
            else (table.shard_maps[placement.found.rule, placement.found.cell], placement)
        )

    return find


def homes_by(text: str, zone: str = "a", members: list[Member] = MEMBERS) -> tuple[TableHomes[str], Table]:
    """Returns the homes of a router in a zone, by a table over all zones, and that table."""
    homes: TableHomes[str] = TableHomes()
    homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == zone)
    table = compile_rules(read_rules("t", text.encode()), members)
    homes.find_placement = finder(Migration(table))
    return homes, table


def key_of(class_name: str, key: int, part: int | None = None, tenant: str | None = None) -> HomeKey:
    return home_key(Request("q", class_name, 1.0, key=key, part=part, tenant=tenant))


@pytest.mark.parametrize("copies", [1, 3])
def test_the_rule_that_states_the_default_placement_gives_the_plain_homes(copies: int) -> None:
    text = DEFAULT if copies == 1 else DEFAULT.replace("1 copy", "3 copies")
    rng = random.Random(copies)
    members, compared = list(MEMBERS), 0
    followed, _ = homes_by(text)
    plain: Homes[str] = Homes()
    for step in range(40):
        if step % 2:
            gone = rng.choice(members)
            members.remove(gone)
        else:
            members.append(Member(f"n{step}", zone=rng.choice("ab"), weight=rng.choice((0.5, 1.0, 4.0))))
        followed.find_placement = finder(Migration(compile_rules(read_rules("t", text.encode()), members)))
        for homes in (followed, plain):
            homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == "a")
        cold = {m.name: rng.uniform(0.05, 1.0) for m in members if rng.random() < 0.3 and step > 10}
        share = partial(lambda cold, name: cold.get(name, 1.0), cold)
        for _ in range(50):
            key, part = rng.getrandbits(64), rng.choice((None, rng.randrange(100)))
            by_table = list(followed.order(key_of("video", key, part), share))
            by_hash = list(plain.order(placement_key(key, part), share))
            assert by_table == by_hash and len(by_hash) > 2
            compared += 1
    assert compared == 2000


def test_copies_come_first_and_then_all_members_that_the_rule_allows() -> None:
    homes, table = homes_by(RULES)
    for key in range(200):
        order = list(homes.order(key_of("video", key)))
        found = table.lookup("video", None, None, key)
        assert found is not None and sorted(order) == sorted(homes.members)
        copies = [name for name in found.members if name in homes.members]
        assert order[: len(copies)] == copies


def test_a_tenant_stays_in_its_cell_and_a_rule_for_other_zones_leaves_plain_homes() -> None:
    homes, _ = homes_by(RULES)
    mine, _ = homes_by(CELL_RULES)
    other, _ = homes_by(CELL_RULES, zone="b")
    plain: Homes[str] = Homes()
    plain.reset((m.name, m.name, m.weight or 1.0) for m in MEMBERS if m.zone == "a")
    for key in range(100):
        assert set(mine.order(key_of("page", key, tenant="acme"))) == {"a0", "a2", "a4", "a6", "a8"}
        assert list(other.order(key_of("page", key, tenant="acme"))) == []
        assert list(homes.order(key_of("photo", key))) == list(plain.order(placement_key(key)))
        assert list(homes.order(key_of("charge", key))) == list(plain.order(placement_key(key)))  # by no rule


def test_a_pinned_member_in_slow_start_has_its_factor_of_objects_and_each_returns_once() -> None:
    homes, _ = homes_by(RULES)
    keys = range(4000)
    first: dict[float, set[int]] = {}
    for share in (0.1, 0.5, 0.9, 1.0):
        cold = lambda name, share=share: share if name == "a3" else 1.0  # noqa: E731
        first[share] = {key for key in keys if next(homes.order(key_of("video", key), cold)) == "a3"}
    whole = len(first[1.0])
    assert whole > 1500
    for share in (0.1, 0.5, 0.9):
        assert abs(len(first[share]) / whole - share) < 0.06
    assert first[0.1] < first[0.5] < first[0.9] < first[1.0]


def test_homes_are_plain_at_once_without_a_table_and_lack_members_that_left() -> None:
    homes, _ = homes_by(RULES)
    key = next(key for key in range(100) if next(homes.order(key_of("video", key))) == "a3")
    homes.remove("a3")
    assert "a3" not in list(homes.order(key_of("video", key)))
    homes.find_placement = lambda key: None
    assert list(homes.order(key_of("video", key))) == list(homes.order(placement_key(key)))


def test_orders_are_cached_for_few_sheets() -> None:
    text = "\n".join(
        f"rule r{n}, precedence {n}, for class c{n}: 8 shards by object; 1 copy." for n in range(20)
    )
    homes, _ = homes_by(text)
    for n in range(20):
        assert len(list(homes.order(key_of(f"c{n}", n)))) == 9
    assert len(homes.shard_maps) == MAX_CACHED_SHARD_MAPS


def test_a_member_added_after_a_sheet_was_cached_is_in_its_order() -> None:
    homes, table = homes_by(RULES)
    homes.remove("a3")
    copies = {key: table.lookup("video", None, None, key) for key in range(100)}
    key = next(key for key, found in copies.items() if found is not None and "a3" not in found.members)
    assert "a3" not in list(homes.order(key_of("video", key)))
    homes.put("a3", "a3")
    assert "a3" in list(homes.order(key_of("video", key)))
