"""Placement tables: look-ups of the shard and the members that an object is placed on, with the rule applied.

A table has one shard map for each rule, and one more for each cell whose tenants the rule is for. A look-up
finds the shard map by class, tenant and group, and the shard by the object's key; the shard map lists the
members of each shard. Tables are immutable: after a change of rules or members another one is compiled
(`compiler.py`). Routers compare tables by `digest`.
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

DIGEST_HEADER = b"paddlequay placement 1\n"  # begins the bytes over which the digest is computed
NO_MEMBER = 0xFFFF  # written for a copy that is missing because too few members are allowed
MAX_CACHED_SHARD_MAPS = 4_096  # combinations of class, tenant and group

RequestAttributes = tuple[str | None, str | None, int | None]  # class, tenant, group


class ShardMapMember(NamedTuple):
    """A member that may have shards of a shard map; `domain` is its zone or kind if copies are spread."""

    weight: float
    domain: str | None


class FoundShard(NamedTuple):
    """The placement of an object: `members` in order, with its home first; empty if no member may have it."""

    rule: str
    cell: str | None
    shard: int
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class ShardMap:
    """The shards of one rule, for the tenants of one cell or for all other requests."""

    rule: Rule
    cell: str | None
    members: dict[str, ShardMapMember]  # those that may have its shards, by name, in order of the names
    homes: list[tuple[str, ...]]  # names of the members that have a shard, by shard
    # By shard, the latest arrival on which its homes depend; infinite if they depend on all members.
    reach: "array[float]"

    def incomplete_shards(self) -> int:
        """Returns how many shards have fewer copies, or fewer zones or kinds, than the rule asks for."""
        count = 0
        for names in self.homes:
            domains = {self.members[name].domain for name in names} - {None}
            has_copies = len(names) >= self.rule.copies
            is_spread = self.rule.spread is None or len(domains) >= self.rule.min_domains
            count += not (has_copies and is_spread)
        return count


@dataclass(frozen=True, eq=False)
class Table:
    """The placement of all objects; `epoch` is the number of the list or file that it was compiled from."""

    rules: RuleSet
    epoch: int
    names: tuple[str, ...]  # of all members, sorted
    shard_maps: dict[ShardMapKey, ShardMap]
    cached_shard_maps: dict[RequestAttributes, ShardMap | None] = field(default_factory=dict)

    @cached_property
    def packed(self) -> bytes:
        """The bytes over which the digest is computed, equal for equal rules and members in any order."""
        member_numbers = {name: n for n, name in enumerate(self.names)}
        parts = [DIGEST_HEADER]
        for block in (self.rules.canonical(), json.dumps(self.names).encode()):
            parts += [len(block).to_bytes(4, "big"), block]
        for shard_map in self.shard_maps.values():
            parts.append(pack_homes(shard_map, member_numbers))
        return b"".join(parts)

    @cached_property
    def digest(self) -> str:
        """The digest that routers compare, 32 hexadecimal digits; equal if all objects are placed alike."""
        return xxh3_128_hexdigest(self.packed)

    @cached_property
    def name_set(self) -> frozenset[str]:
        """The names of all members."""
        return frozenset(self.names)

    @cached_property
    def distinguished_values(self) -> tuple[frozenset[Any], frozenset[Any], frozenset[Any]]:
        """The classes, tenants and groups that rules or cells name; all other values are treated alike."""
        requests = [rule.requests for rule in self.rules.rules]
        classes, tenants, groups = (
            frozenset[Any]().union(*(conjunction[index].values for conjunction in requests))
            for index in range(3)
        )
        return classes, tenants | frozenset(self.rules.tenants), groups

    def shard_map(self, class_name: str | None, tenant: str | None, group: int | None) -> ShardMap | None:
        """Returns the shard map for requests of these attributes, None if no rule matches them."""
        classes, tenants, groups = self.distinguished_values
        attributes = (
            class_name if class_name in classes else None,
            tenant if tenant in tenants else None,
            group if group in groups else None,
        )
        try:
            return self.cached_shard_maps[attributes]
        except KeyError:
            pass
        shard_map = self.find_shard_map(attributes)
        if len(self.cached_shard_maps) >= MAX_CACHED_SHARD_MAPS:
            self.cached_shard_maps.clear()
        self.cached_shard_maps[attributes] = shard_map
        return shard_map

    def find_shard_map(self, attributes: RequestAttributes) -> ShardMap | None:
        """Returns the shard map of the first rule that matches the request attributes, None if none does."""
        _, tenant, _ = attributes
        for rule in self.rules.rules:
            conditions = zip(attributes, rule.requests, strict=True)
            if all(value in values for value, values in conditions if values is not ANY):
                confined_tenant = self.rules.tenants.get(tenant or "")
                return self.shard_maps[rule.name, None if confined_tenant is None else confined_tenant.cell]
        return None

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> FoundShard | None:
        """Returns where an object is placed; None if no rule matches: then it is placed by hash alone."""
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

    def explain(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> dict[str, object]:
        """Returns the result of a look-up and the rule applied, as JSON values for the console."""
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
        """Returns the number of incomplete shards by rule, without rules that have none."""
        counts: dict[str, int] = {}
        for shard_map in self.shard_maps.values():
            counts[shard_map.rule.name] = counts.get(shard_map.rule.name, 0) + shard_map.incomplete_shards()
        return {name: count for name, count in counts.items() if count}


def pack_homes(shard_map: ShardMap, member_numbers: dict[str, int]) -> bytes:
    """Returns the numbers of the members of each shard in turn, as big-endian 16-bit integers."""
    copies = shard_map.rule.copies
    numbers_by_names = {
        names: [member_numbers[name] for name in names] + [NO_MEMBER] * (copies - len(names))
        for names in set(shard_map.homes)
    }
    numbers = array("H", [n for names in shard_map.homes for n in numbers_by_names[names]])
    if sys.byteorder == "little":
        numbers.byteswap()
    return numbers.tobytes()
