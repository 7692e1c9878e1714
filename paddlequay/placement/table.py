"""Lookup tables of shards: where an object is placed, and why.

A table has one shard map for each rule, and one more for each cell whose tenants the rule is for. A look-up
finds the shard map by class, tenant and group, and the shard by the object; the shard's members stand in the
shard map. Tables are immutable: a change of rules or members makes another one (`compiler.py`), and routers
compare them by `digest`.
"""

import json
import sys
from array import array
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, NamedTuple

from xxhash import xxh3_128_hexdigest

from paddlequay.placement.homes import SLOT_COUNT, digest, placement_key, slot_of
from paddlequay.placement.regions import ANY
from paddlequay.placement.rules import Rule, RuleSet, ShardMapKey

DIGEST_HEADER = b"paddlequay placement 1\n"  # of the bytes that the digest is made from
NO_MEMBER = 0xFFFF  # stands for a copy that no member could have
MAX_CACHED_SHARD_MAPS = 4_096  # combinations of class, tenant and group

RequestKind = tuple[str | None, str | None, int | None]  # class, tenant, group


class Draw(NamedTuple):
    """A member's part in the draws of a shard map: its weight, and its zone or kind if copies are spread."""

    weight: float
    domain: str | None


class FoundShard(NamedTuple):
    """Where an object is placed: `members` in order, the first its home; empty if no member may have it."""

    rule: str
    cell: str | None
    shard: int
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class ShardMap:
    """The shards of one rule, for the tenants of one cell or for all other requests."""

    rule: Rule
    cell: str | None
    draws: dict[str, Draw]  # of the members that may have its shards, by name in order
    homes: list[tuple[str, ...]]  # by shard
    reach: "array[float]"  # by shard, the latest arrival that its members depend on; infinite: all members

    def incomplete_shards(self) -> int:
        """Returns how many shards have fewer copies, or over fewer zones or kinds, than the rule asks for."""
        count = 0
        for members in self.homes:
            domains = {self.draws[name].domain for name in members} - {None}
            has_copies = len(members) >= self.rule.copies
            is_spread = self.rule.spread is None or len(domains) >= self.rule.min_domains
            count += not (has_copies and is_spread)
        return count


@dataclass(frozen=True, eq=False)
class Table:
    """All placement at one time; `epoch` is the number of its list or file."""

    rules: RuleSet
    epoch: int
    names: tuple[str, ...]  # of all members, in order
    shard_maps: dict[ShardMapKey, ShardMap]
    cached_shard_maps: dict[RequestKind, ShardMap | None] = field(default_factory=dict)

    # --- comparison ---

    @cached_property
    def packed(self) -> bytes:
        """Bytes that are equal for equal rules and members, in any order of the list."""
        number = {name: n for n, name in enumerate(self.names)}
        parts = [DIGEST_HEADER]
        for block in (self.rules.canonical(), json.dumps(self.names).encode()):
            parts += [len(block).to_bytes(4, "big"), block]
        for shard_map in self.shard_maps.values():
            parts.append(pack_homes(shard_map, number))
        return b"".join(parts)

    @cached_property
    def digest(self) -> str:
        """The 32 hexadecimal digits that routers compare: equal if all objects are placed alike."""
        return xxh3_128_hexdigest(self.packed)

    @cached_property
    def name_set(self) -> frozenset[str]:
        """The names of all members."""
        return frozenset(self.names)

    # --- look-ups ---

    @cached_property
    def distinguished(self) -> tuple[frozenset[Any], frozenset[Any], frozenset[Any]]:
        """The classes, tenants and groups that any rule tells apart; all others are treated alike."""
        requests = [rule.requests for rule in self.rules.rules]
        classes, tenants, groups = (
            frozenset[Any]().union(*(conjunction[index].values for conjunction in requests))
            for index in range(3)
        )
        return classes, tenants | frozenset(self.rules.tenants), groups

    def shard_map(self, class_name: str | None, tenant: str | None, group: int | None) -> ShardMap | None:
        """Returns the shard map for a kind of request, None if no rule is for it."""
        classes, tenants, groups = self.distinguished
        kind = (
            class_name if class_name in classes else None,
            tenant if tenant in tenants else None,
            group if group in groups else None,
        )
        try:
            return self.cached_shard_maps[kind]
        except KeyError:
            pass
        shard_map = self.find_shard_map(kind)
        if len(self.cached_shard_maps) >= MAX_CACHED_SHARD_MAPS:
            self.cached_shard_maps.clear()
        self.cached_shard_maps[kind] = shard_map
        return shard_map

    def find_shard_map(self, kind: RequestKind) -> ShardMap | None:
        """Returns the shard map of the first rule that matches a kind of request, None if none does."""
        _, tenant, _ = kind
        for rule in self.rules.rules:
            conditions = zip(kind, rule.requests, strict=True)
            if all(value in values for value, values in conditions if values is not ANY):
                confined = self.rules.tenants.get(tenant or "")
                return self.shard_maps[rule.name, None if confined is None else confined.cell]
        return None

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> FoundShard | None:
        """Returns where an object is placed, None if no rule is for it: then it is placed without rules."""
        shard_map = self.shard_map(class_name, tenant, group)
        if shard_map is None:
            return None
        rule = shard_map.rule
        shard_by = rule.shard_by
        if shard_by == "object and part":
            key = placement_key(key, part)
        elif shard_by == "group":
            key = group
        elif shard_by == "tenant":
            key = None if tenant is None else digest(tenant)
        shard = (slot_of(key or 0) * rule.shards) // SLOT_COUNT
        return FoundShard(rule.name, shard_map.cell, shard, shard_map.homes[shard])

    # --- for the console ---

    def explain(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> dict[str, object]:
        """Returns the result of a look-up as JSON values, with the rule that applied."""
        found = self.lookup(class_name, tenant, group, key, part)
        explanation: dict[str, object] = {"epoch": self.epoch, "digest": self.digest}
        if found is None:
            return explanation | {"rule": None}
        rule = self.shard_maps[found.rule, found.cell].rule
        return explanation | {
            "rule": found.rule,
            "precedence": rule.precedence,
            "line": rule.position("rule").line,
            "cell": found.cell,
            "shard": found.shard,
            "shards": rule.shards,
            "by": rule.shard_by,
            "copies": list(found.members),
            "copies_asked": rule.copies,
            "over": None if rule.spread is None else f"{rule.min_domains} {rule.spread}s",
            "pinned": rule.pins.get(found.shard),
        }

    def incomplete_shards(self) -> dict[str, int]:
        """Returns by rule how many shards have less than the rule asks for, without rules that have none."""
        counts: dict[str, int] = {}
        for shard_map in self.shard_maps.values():
            counts[shard_map.rule.name] = counts.get(shard_map.rule.name, 0) + shard_map.incomplete_shards()
        return {name: count for name, count in counts.items() if count}


def pack_homes(shard_map: ShardMap, number: dict[str, int]) -> bytes:
    """Returns the numbers of a shard map's members by shard, 16 bits each, big-endian."""
    copies = shard_map.rule.copies
    rows = {
        members: [number[name] for name in members] + [NO_MEMBER] * (copies - len(members))
        for members in set(shard_map.homes)
    }
    numbers = array("H", [n for members in shard_map.homes for n in rows[members]])
    if sys.byteorder == "little":
        numbers.byteswap()
    return numbers.tobytes()
