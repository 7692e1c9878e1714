"""Compiles rules and a list of members to a lookup table, whole or only the shards that a change moves."""

from array import array
from collections.abc import Iterable

import numpy as np

from paddlequay.placement.checks import (
    check_members,
    eligible_members,
    member_attributes,
    member_weight,
    sorted_members,
)
from paddlequay.placement.copy_selection import CopySelector, Floats, Integers, lower_bounds
from paddlequay.placement.grammar import FILE_START
from paddlequay.placement.homes import MIN_WEIGHT, digest
from paddlequay.placement.regions import WorkBudget, WorkLimitError, contains
from paddlequay.placement.rules import Cell, Rule, RuleSet, ShardMapKey, shard_map_key
from paddlequay.placement.table import Draw, ShardMap, Table
from paddlequay.routing.interface import Member

MAX_DRAWS = 1 << 26  # shards times members of all shard maps: about 3 s of one core
MAX_MATCH_STEPS = 4_000_000  # members compared with the rules' regions: about 2 s
MAX_INCREMENTAL_CHANGES = 32  # changed members; past it a shard map is compiled whole

ShardMapPlan = tuple[Rule, Cell | None, dict[str, Draw]]


def compile_rules(
    rules: RuleSet,
    members: Iterable[Member],
    epoch: int = 0,
    strict: bool = True,
    old: Table | None = None,
) -> Table:
    """Returns the table of rules for a list of members, the same for any order of the list.

    Args:
        rules: The rules.
        members: The list of members.
        epoch: The number of the list or file, for the console.
        strict: Whether to raise if the list is too small for the rules, as when rules are adopted. A list
            that shrinks later gives shards the copies that are possible (`Table.incomplete_shards`).
        old: A table of the same rules for an earlier list; only shards that the change moves are compiled
            anew, with the same result.

    Raises:
        ConfigError: The list cannot be used, or the rules and the list take too much work together.
    """
    listed = sorted_members(members)
    plan = plan_shard_maps(rules, listed, strict)
    check_draw_count(rules, plan, len(listed))
    reusable = old.shard_maps if old is not None and old.rules is rules else {}
    shard_maps: dict[ShardMapKey, ShardMap] = {}
    for rule, cell, draws in plan:
        key = shard_map_key(rule, cell)
        shard_maps[key] = compile_shard_map(rule, cell, draws, reusable.get(key))
    return Table(rules, epoch, tuple(member.name for member in listed), shard_maps)


def plan_shard_maps(rules: RuleSet, listed: list[Member], strict: bool) -> list[ShardMapPlan]:
    """Returns each shard map's rule, cell and draws; raises `ConfigError` if a strict check fails."""
    work = WorkBudget(MAX_MATCH_STEPS)
    try:
        if strict:
            check_members(rules, listed, work)
        return [(rule, cell, shard_map_draws(rule, cell, listed, work)) for rule, cell in rules.shard_maps()]
    except WorkLimitError as error:
        message = f"expected rules and a list of members that go together with less work, got {error}"
        raise rules.source.error(FILE_START, message) from None


def check_draw_count(rules: RuleSet, plan: list[ShardMapPlan], member_count: int) -> None:
    """Raises `ConfigError` if the shard maps have more than `MAX_DRAWS` shards times members."""
    draws_left = MAX_DRAWS
    for rule, _, draws in plan:
        draws_left -= rule.shards * len(draws)
        if draws_left < 0:
            message = f"expected at most {MAX_DRAWS} of shards times members in all, got more with the list's"
            raise rules.source.error(rule.position("shards"), f"{message} {member_count} members")


def shard_map_draws(rule: Rule, cell: Cell | None, listed: list[Member], work: WorkBudget) -> dict[str, Draw]:
    """Returns the draws of the members that a shard map may use, by name in order."""
    draws: dict[str, Draw] = {}
    for member in eligible_members(rule, cell, listed, work):
        weight = member_weight(member)
        for region, factor in rule.weights:
            work.spend(len(region))
            if contains(region, member_attributes(member)):
                weight *= factor
        domain = {"zone": member.zone, "kind": member.kind}[rule.spread] if rule.spread else None
        draws[member.name] = Draw(max(MIN_WEIGHT, weight), domain)
    return draws


def compile_shard_map(
    rule: Rule, cell: Cell | None, draws: dict[str, Draw], old: ShardMap | None
) -> ShardMap:
    """Returns a shard map, made from the old one if that differs in few members."""
    name = None if cell is None else cell.name
    if old is not None:
        changed = [n for n in old.draws.keys() | draws.keys() if old.draws.get(n) != draws.get(n)]
        if not changed:
            return old
        if len(changed) <= MAX_INCREMENTAL_CHANGES:
            return update_shard_map(rule, draws, old, changed)
    homes, reach = CopySelector(rule, draws).select(np.arange(rule.shards))
    return ShardMap(rule, name, draws, homes, array("d", reach.tobytes()))


def update_shard_map(rule: Rule, draws: dict[str, Draw], old: ShardMap, changed: list[str]) -> ShardMap:
    """Returns a shard map after changes of a few members; only affected shards are compiled anew."""
    homes = old.homes.copy()
    reach = np.array(old.reach)
    shards = affected_shards(old, draws, changed, reach)
    selected, reach[shards] = CopySelector(rule, draws).select(shards)
    for shard, members in zip(shards.tolist(), selected, strict=True):
        homes[shard] = members
    return ShardMap(rule, old.cell, draws, homes, array("d", reach.tobytes()))


def affected_shards(old: ShardMap, draws: dict[str, Draw], changed: list[str], reach: Floats) -> Integers:
    """Returns the shards that a changed member has, had or may get, by its arrivals before and now."""
    all_shards = np.arange(len(reach))
    is_affected = np.zeros(len(reach), dtype=np.bool_)
    for name in changed:
        seeds = np.array([digest(name)], dtype=np.uint64)
        for draw in (old.draws.get(name), draws.get(name)):
            if draw is not None:
                weights = np.array([draw.weight])
                is_affected |= lower_bounds(seeds, weights, all_shards)[:, 0] <= reach
    return np.flatnonzero(is_affected)
