"""Edges that follow a table: a rule that states today's placement gives today's homes; rules hold."""

import random
from collections.abc import Callable
from functools import partial

import pytest

from paddlequay.placement.checks import read_rules
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import Homes, placement_key
from paddlequay.placement.migration import Mover, Placed
from paddlequay.placement.table import Sheet, Table
from paddlequay.placement.table_homes import SHEETS_MOST, HomeKey, TableHomes, home_key
from paddlequay.routing.interface import Member, Request

TODAY = "otherwise: 65536 shards by object and part; 1 copy."
RULES = """rule films, precedence 2, for class video:
    64 shards by object; 2 copies over 2 kinds; pin shard 0 through 31 to member a3.
rule far, precedence 1, for class photo: 64 shards by object; among zone b.
"""
CELL = """cell quiet is zone a and kind big.
tenant acme stays in cell quiet.
rule all, precedence 0, for class page: 64 shards by object; 2 copies.
"""
MEMBERS = [
    Member(f"{zone}{n}", zone=zone, kind=("big", "small")[n % 2], weight=1.0 + n % 3)
    for zone in "ab"
    for n in range(9)
]


def source(mover: Mover) -> Callable[[HomeKey], tuple[Sheet, Placed] | None]:
    def found(key: HomeKey) -> tuple[Sheet, Placed] | None:
        placed = mover.lookup(key.class_name, key.tenant, key.group, key.key, key.part, 0.0)
        table = mover.table
        return None if placed is None else (table.sheets[placed.found.rule, placed.found.cell], placed)

    return found


def following(text: str, zone: str = "a", members: list[Member] = MEMBERS) -> tuple[TableHomes[str], Table]:
    """The homes of a router in a zone, by a table over all zones."""
    homes: TableHomes[str] = TableHomes()
    homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == zone)
    table = compile_rules(read_rules("t", text.encode()), members)
    homes.source = source(Mover(table))
    return homes, table


def ask(kind: str, key: int, part: int | None = None, tenant: str | None = None) -> HomeKey:
    return home_key(Request("q", kind, 1.0, key=key, part=part, tenant=tenant))


@pytest.mark.parametrize("copies", [1, 3])
def test_the_rule_that_states_todays_placement_gives_exactly_todays_homes(copies: int) -> None:
    text = TODAY if copies == 1 else TODAY.replace("1 copy", "3 copies")
    rng = random.Random(copies)
    members, compared = list(MEMBERS), 0
    followed, _ = following(text)
    plain: Homes[str] = Homes()
    for step in range(40):
        if step % 2:
            gone = rng.choice(members)
            members.remove(gone)
        else:
            members.append(Member(f"n{step}", zone=rng.choice("ab"), weight=rng.choice((0.5, 1.0, 4.0))))
        followed.source = source(Mover(compile_rules(read_rules("t", text.encode()), members)))
        for homes in (followed, plain):
            homes.reset((m.name, m.name, m.weight or 1.0) for m in members if m.zone == "a")
        cold = {m.name: rng.uniform(0.05, 1.0) for m in members if rng.random() < 0.3 and step > 10}
        share = partial(lambda cold, name: cold.get(name, 1.0), cold)
        for _ in range(50):
            key, part = rng.getrandbits(64), rng.choice((None, rng.randrange(100)))
            by_table = list(followed.order(ask("video", key, part), share))
            by_hash = list(plain.order(placement_key(key, part), share))
            assert by_table == by_hash and len(by_hash) > 2
            compared += 1
    assert compared == 2000


def test_copies_come_first_and_then_all_that_the_rule_allows() -> None:
    homes, table = following(RULES)
    for key in range(200):
        order = list(homes.order(ask("video", key)))
        found = table.lookup("video", None, None, key)
        assert found is not None and sorted(order) == sorted(homes.members)
        copies = [name for name in found.members if name in homes.members]
        assert order[: len(copies)] == copies


def test_a_tenant_stays_in_its_cell_and_a_rule_for_other_zones_alone_leaves_plain_homes() -> None:
    homes, _ = following(RULES)
    mine, _ = following(CELL)
    other, _ = following(CELL, zone="b")
    plain: Homes[str] = Homes()
    plain.reset((m.name, m.name, m.weight or 1.0) for m in MEMBERS if m.zone == "a")
    for key in range(100):
        assert set(mine.order(ask("page", key, tenant="acme"))) == {"a0", "a2", "a4", "a6", "a8"}
        assert list(other.order(ask("page", key, tenant="acme"))) == []
        assert list(homes.order(ask("photo", key))) == list(plain.order(placement_key(key)))
        assert list(homes.order(ask("charge", key))) == list(plain.order(placement_key(key)))  # by no rule


def test_a_cold_pinned_member_has_as_much_of_its_shards_as_it_can_give_and_each_object_comes_back_once() -> (
    None
):
    homes, _ = following(RULES)
    keys = range(4000)
    first: dict[float, set[int]] = {}
    for share in (0.1, 0.5, 0.9, 1.0):
        cold = lambda name, share=share: share if name == "a3" else 1.0  # noqa: E731
        first[share] = {key for key in keys if next(homes.order(ask("video", key), cold)) == "a3"}
    whole = len(first[1.0])
    assert whole > 1500
    for share in (0.1, 0.5, 0.9):
        assert abs(len(first[share]) / whole - share) < 0.06
    assert first[0.1] < first[0.5] < first[0.9] < first[1.0]


def test_where_the_table_ends_homes_are_plain_at_the_next_look_and_members_that_left_are_gone() -> None:
    homes, _ = following(RULES)
    key = next(key for key in range(100) if next(homes.order(ask("video", key))) == "a3")
    homes.remove("a3")
    assert "a3" not in list(homes.order(ask("video", key)))
    homes.source = lambda key: None
    assert list(homes.order(ask("video", key))) == list(homes.order(placement_key(key)))


def test_orders_are_remembered_for_few_sheets() -> None:
    text = "\n".join(
        f"rule r{n}, precedence {n}, for class c{n}: 8 shards by object; 1 copy." for n in range(20)
    )
    homes, _ = following(text)
    for n in range(20):
        assert len(list(homes.order(ask(f"c{n}", n)))) == 9
    assert len(homes.sheets) == SHEETS_MOST


def test_a_member_that_comes_after_a_sheet_was_looked_at_is_in_its_order() -> None:
    homes, table = following(RULES)
    homes.remove("a3")
    copies = {key: table.lookup("video", None, None, key) for key in range(100)}
    key = next(key for key, found in copies.items() if found is not None and "a3" not in found.members)
    assert "a3" not in list(homes.order(ask("video", key)))
    homes.put("a3", "a3")
    assert "a3" in list(homes.order(ask("video", key)))
