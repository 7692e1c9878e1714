"""Placement rules with all names resolved, as look-ups use them; `checks.py` checks that they are usable.

A rule matches requests by class, tenant and group. It defines into how many shards their objects are divided,
how many copies each shard has and which members may have them. If several rules match a request, the one of
the highest precedence applies; if none does, the fallback (`otherwise`) applies.
"""

import json
from dataclasses import dataclass, field

from paddlequay.placement.grammar import Position, Source
from paddlequay.placement.regions import (
    ANY,
    Conjunction,
    Region,
    ValueSet,
    WorkBudget,
    intersect_conjunctions,
    subtract_region,
)
from paddlequay.placement.syntax_tree import Name, Spread

MAX_RESOLVE_STEPS = 400_000  # to resolve and check one file, which takes about 1 s

MEMBER_ATTRIBUTES = ("name", "zone", "kind", "cell")
REQUEST_ATTRIBUTES = ("class", "tenant", "group")
CLASS_INDEX = 0
TENANT_INDEX = 1
ALL_MEMBERS: Region = ((ANY,) * len(MEMBER_ATTRIBUTES),)

ShardMapKey = tuple[str, str | None]  # names of the rule and the cell


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule; if `precedence` is None, it is the fallback."""

    name: str
    precedence: int | None
    requests: Conjunction  # the requests that it matches, by `REQUEST_ATTRIBUTES`
    shards: int
    shard_by: str  # the attribute that decides the shard, as the file has it
    copies: int
    min_domains: int  # the minimum number of different zones or kinds among a shard's copies
    spread: Spread | None  # the attribute over which copies are spread
    members: Region  # those that may have its shards
    weights: tuple[tuple[Region, float], ...]  # factors on the weights of some members
    pins: dict[int, str]  # name of the first home by shard
    positions: dict[str, Position] = field(compare=False)  # of its name and keywords, for error messages

    def position(self, keyword: str) -> Position:
        """Returns the position of a keyword in the rule, or of the rule's name if it lacks the keyword."""
        return self.positions.get(keyword, self.positions["rule"])


@dataclass(frozen=True, slots=True)
class Cell:
    """A set of members to which tenants can be confined."""

    name: str
    members: Region
    position: Position = field(compare=False)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant that is confined to a cell; `load_share` is its share of the total load, from 0 to 1."""

    name: str
    cell: str
    load_share: float | None
    position: Position = field(compare=False)


@dataclass(frozen=True, slots=True)
class RuleSet:
    """The rules of a file, in the order in which they are matched."""

    source: Source = field(compare=False)
    rules: tuple[Rule, ...]
    cells: dict[str, Cell]
    tenants: dict[str, Tenant]
    shards_per_s: int | None  # the pace of migration; None: all shards migrate at once
    classes: tuple[Name, ...] | None  # those that the file may name, None: any; likewise zones and kinds
    zones: tuple[Name, ...] | None
    kinds: tuple[Name, ...] | None

    def shard_maps(self) -> list[tuple[Rule, Cell | None]]:
        """Returns each rule with each cell whose tenants it matches, and with None for all other requests."""
        shard_maps: list[tuple[Rule, Cell | None]] = []
        for rule in self.rules:
            tenants = rule.requests[TENANT_INDEX]
            cells = {tenant.cell for tenant in self.tenants.values() if tenant.name in tenants}
            if tenants.complement or any(name not in self.tenants for name in tenants.values):
                shard_maps.append((rule, None))
            shard_maps.extend((rule, self.cells[name]) for name in sorted(cells))
        return shard_maps

    def effective_requests(self, rule: Rule, cell: Cell | None, work: WorkBudget) -> Region:
        """Returns the requests that a rule, but no earlier one, matches, in a cell or outside all cells."""
        tenant_names = [t.name for t in self.tenants.values() if cell is None or t.cell == cell.name]
        tenants = ValueSet(frozenset(tenant_names), complement=cell is None)
        common = intersect_conjunctions(rule.requests, (ANY, tenants, ANY), work)
        region: Region = () if common is None else (common,)
        for earlier in self.rules[: self.rules.index(rule)]:
            region = subtract_region(region, (earlier.requests,), work)
        return region

    def canonical(self) -> bytes:
        """Returns bytes that are equal for equal rules however they are spelt; part of a table's digest."""
        data = {
            "pace": self.shards_per_s,
            "cells": {cell.name: canonical_region(cell.members) for cell in self.cells.values()},
            "tenants": {tenant.name: [tenant.cell, tenant.load_share] for tenant in self.tenants.values()},
            "rules": [canonical_rule(rule) for rule in self.rules],
        }
        return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def shard_map_key(rule: Rule, cell: Cell | None) -> ShardMapKey:
    """Returns the key of a rule's shard map for a cell, or for requests outside all cells."""
    return rule.name, None if cell is None else cell.name


def canonical_rule(rule: Rule) -> dict[str, object]:
    """Returns a rule as JSON values. The field names are part of the digest that routers compare."""
    return {
        "name": rule.name,
        "precedence": rule.precedence,
        "asked": canonical_region((rule.requests,)),
        "shards": [rule.shards, rule.shard_by],
        "copies": [rule.copies, rule.min_domains, rule.spread],
        "members": canonical_region(rule.members),
        "weights": [[canonical_region(region), factor] for region, factor in rule.weights],
        "pins": sorted(rule.pins.items()),
    }


def canonical_region(region: Region) -> list[list[list[object]]]:
    """Returns a region as sorted lists of JSON values."""
    conjunctions: list[list[list[object]]] = [
        [[values.complement, sorted(values.values, key=repr)] for values in conjunction]
        for conjunction in region
    ]
    return sorted(conjunctions, key=repr)
