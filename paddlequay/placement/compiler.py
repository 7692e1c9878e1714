"""Compiles rules and a list of members to a placement table, wholly or incrementally after a change."""

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
from paddlequay.placement.table import ShardMap, ShardMapMember, Table
from paddlequay.routing.interface import Member

MAX_DRAWS = 1 << 26  # sum of shards times members over all shard maps; takes one core about 3 s
MAX_MATCH_STEPS = 4_000_000  # comparisons of members with the rules' regions; take about 2 s
MAX_INCREMENTAL_CHANGES = 32  # with more changed members a shard map is compiled wholly

ShardMapPlan = tuple[Rule, Cell | None, dict[str, ShardMapMember]]


def compile_rules(
    rules: RuleSet,
    members: Iterable[Member],
    epoch: int = 0,
    strict: bool = True,
    old: Table | None = None,
) -> Table:
    """Returns the placement table of rules for a list of members; the order of the list does not matter.

    Args:
        rules: The rules.
        members: The list of members.
        epoch: The number of the list or file, for the console.
        strict: Whether to raise if the list is too small for the rules, as when rules are adopted. A list
            that shrinks later gives shards as many copies as it can (`Table.incomplete_shards`).
        old: A table of the same rules for an earlier list. If given, only the shards that the change may
            move are compiled anew; the result is the same.

    Raises:
        ConfigError: The list is invalid, or compiling the rules for it takes too much work.
    """
    listed = sorted_members(members)
    plan = plan_shard_maps(rules, listed, strict)
    check_draw_count(rules, plan, len(listed))
    reusable = old.shard_maps if old is not None and old.rules is rules else {}
    shard_maps: dict[ShardMapKey, ShardMap] = {}
    for rule, cell, eligible in plan:
        key = shard_map_key(rule, cell)
        shard_maps[key] = compile_shard_map(rule, cell, eligible, reusable.get(key))
    return Table(rules, epoch, tuple(member.name for member in listed), shard_maps)


def plan_shard_maps(rules: RuleSet, listed: list[Member], strict: bool) -> list[ShardMapPlan]:
    """Returns the rule, cell and members of each shard map; raises `ConfigError` if a strict check fails."""
    work = WorkBudget(MAX_MATCH_STEPS)
    try:
        if strict:
            check_members(rules, listed, work)
        return [
            (rule, cell, shard_map_members(rule, cell, listed, work)) for rule, cell in rules.shard_maps()
        ]
    except WorkLimitError as error:
        message = f"expected rules and a list of members that take less work to match, got {error}"
        raise rules.source.error(FILE_START, message) from None


def check_draw_count(rules: RuleSet, plan: list[ShardMapPlan], member_count: int) -> None:
    """Raises `ConfigError` if shards times members, summed over the shard maps, exceed `MAX_DRAWS`."""
    draws_left = MAX_DRAWS
    for rule, _, members in plan:
        draws_left -= rule.shards * len(members)
        if draws_left < 0:
            message = f"expected at most {MAX_DRAWS} shards times members in all, got more with the list's"
            raise rules.source.error(rule.position("shards"), f"{message} {member_count} members")


def shard_map_members(
    rule: Rule, cell: Cell | None, listed: list[Member], work: WorkBudget
) -> dict[str, ShardMapMember]:
    """Returns the members that may have shards of a shard map, by name, in order of the names."""
    members: dict[str, ShardMapMember] = {}
    for member in eligible_members(rule, cell, listed, work):
        weight = member_weight(member)
        for region, factor in rule.weights:
            work.spend(len(region))
            if contains(region, member_attributes(member)):
                weight *= factor
        domain = {"zone": member.zone, "kind": member.kind}[rule.spread] if rule.spread else None
        members[member.name] = ShardMapMember(max(MIN_WEIGHT, weight), domain)
    return members


def compile_shard_map(
    rule: Rule, cell: Cell | None, members: dict[str, ShardMapMember], old: ShardMap | None
) -> ShardMap:
    """Returns a shard map, compiled incrementally if the old one differs in few members."""
    cell_name = None if cell is None else cell.name
    if old is not None:
        changed = [n for n in old.members.keys() | members.keys() if old.members.get(n) != members.get(n)]
        if not changed:
            return old
        if len(changed) <= MAX_INCREMENTAL_CHANGES:
            return update_shard_map(rule, members, old, changed)
    homes, reach = CopySelector(rule, members).select(np.arange(rule.shards))
    return ShardMap(rule, cell_name, members, homes, array("d", reach.tobytes()))


def update_shard_map(
    rule: Rule, members: dict[str, ShardMapMember], old: ShardMap, changed: list[str]
) -> ShardMap:
    """Returns a shard map after a few members have changed; compiles only the affected shards anew."""
    homes = old.homes.copy()
    reach = np.array(old.reach)
    shards = affected_shards(old, members, changed, reach)
    selected, reach[shards] = CopySelector(rule, members).select(shards)
    for shard, names in zip(shards.tolist(), selected, strict=True):
        homes[shard] = names
    return ShardMap(rule, old.cell, members, homes, array("d", reach.tobytes()))


def affected_shards(
    old: ShardMap, members: dict[str, ShardMapMember], changed: list[str], reach: Floats
) -> Integers:
    """Returns the shards that a changed member had or may have now, by its arrivals before and after."""
    all_shards = np.arange(len(reach))
    is_affected = np.zeros(len(reach), dtype=np.bool_)
    for name in changed:
        seeds = np.array([digest(name)], dtype=np.uint64)
        for member in (old.members.get(name), members.get(name)):
            if member is not None:
                weights = np.array([member.weight])
                is_affected |= lower_bounds(seeds, weights, all_shards)[:, 0] <= reach
    return np.flatnonzero(is_affected)
