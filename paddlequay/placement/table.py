"""Lookup tables of shards: where an object is placed, and why.

A table has one sheet for each rule, and one more for each cell whose tenants the rule is for. A look-up finds
the sheet by (class, tenant, group) and the shard by the object; its members stand in it ready. Tables are
values: a change of rules or members makes another one (`compile`), and routers compare them by `digest`.
"""

import json
import sys
from array import array
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any, NamedTuple

from xxhash import xxh3_128_hexdigest

from paddlequay.placement.homes import digest, placement_key, slot_of
from paddlequay.placement.regions import ANY
from paddlequay.placement.rules import Rule, Rules

FORM = b"paddlequay placement 1\n"  # of the bytes that the digest is made of
NOBODY = 0xFFFF  # instead of a member's number, past the last copy that could be had
MEMO_MOST = 4_096  # combinations of class, tenant and group whose sheet is remembered

Draw = tuple[float, str | None]  # a member's weight in a sheet, and its zone or kind where copies are spread
Key = tuple[str, str | None]  # rule and cell


class Found(NamedTuple):
    """Where an object is placed: `members` in order, the first its home. Empty: no member may have it."""

    rule: str
    cell: str | None
    shard: int
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Sheet:
    """The shards of one rule, for the tenants of one cell or for all others."""

    rule: Rule
    cell: str | None
    draws: dict[str, Draw]  # the members that may have its shards, by name in order
    homes: list[tuple[str, ...]]  # of each shard
    reach: "array[float]"  # the latest arrival that a shard's members depend on; infinite: on all

    @property
    def key(self) -> Key:
        return self.rule.name, self.cell

    def short(self) -> int:
        """Shards with fewer copies, or over fewer zones or kinds, than the rule asks for."""
        rule, count = self.rule, 0
        for members in self.homes:
            trunks = {self.draws[name][1] for name in members} - {None}
            count += len(members) < rule.copies or (rule.spread is not None and len(trunks) < rule.over)
        return count


@dataclass(frozen=True, eq=False)
class Table:
    """One state of all placement; `epoch` is the number of the list or file that it came from."""

    rules: Rules
    epoch: int
    names: tuple[str, ...]  # all members, in order
    sheets: dict[Key, Sheet]
    memo: dict[tuple[str | None, str | None, int | None], Sheet | None] = field(default_factory=dict)

    @cached_property
    def packed(self) -> bytes:
        """The same bytes for the same rules and members, in whatever order these came."""
        number = {name: n for n, name in enumerate(self.names)}
        parts = [FORM]
        for block in (self.rules.canonical(), json.dumps(self.names).encode()):
            parts += [len(block).to_bytes(4, "big"), block]
        for sheet in self.sheets.values():
            copies = sheet.rule.copies
            row = {m: [number[n] for n in m] + [NOBODY] * (copies - len(m)) for m in set(sheet.homes)}
            numbers = array("H", [n for homes in sheet.homes for n in row[homes]])
            if sys.byteorder == "little":
                numbers.byteswap()
            parts.append(numbers.tobytes())
        return b"".join(parts)

    @cached_property
    def digest(self) -> str:
        """What routers compare: equal where they place every object alike. 32 hex digits."""
        return xxh3_128_hexdigest(self.packed)

    @cached_property
    def listed(self) -> frozenset[str]:
        return frozenset(self.names)

    @cached_property
    def told(self) -> tuple[frozenset[Any], frozenset[Any], frozenset[Any]]:
        """The classes, tenants and groups that any rule tells apart; all others are as one."""
        asked = [rule.asked for rule in self.rules.rules]
        sets = [frozenset[Any]().union(*(box[n].values for box in asked)) for n in range(3)]
        return sets[0], sets[1] | frozenset(self.rules.tenants), sets[2]

    def sheet(self, class_name: str | None, tenant: str | None, group: int | None) -> Sheet | None:
        """The sheet for a kind of request, or `None` where no rule is for it. Remembered, with a bound."""
        classes, tenants, groups = self.told
        asked = (
            class_name if class_name in classes else None,
            tenant if tenant in tenants else None,
            group if group in groups else None,
        )
        try:
            return self.memo[asked]
        except KeyError:
            pass
        found = None
        for rule in self.rules.rules:
            if all(value in some for value, some in zip(asked, rule.asked, strict=True) if some is not ANY):
                confined = self.rules.tenants.get(tenant or "")
                found = self.sheets[rule.name, None if confined is None else confined.cell]
                break
        if len(self.memo) >= MEMO_MOST:
            self.memo.clear()
        self.memo[asked] = found
        return found

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> Found | None:
        """Where an object is placed; `None`: by no rule, so as without a file."""
        sheet = self.sheet(class_name, tenant, group)
        if sheet is None:
            return None
        rule = sheet.rule
        by = rule.by
        if by == "object and part":
            key = placement_key(key, part)
        elif by == "group":
            key = group
        elif by == "tenant":
            key = None if tenant is None else digest(tenant)
        shard = slot_of(key or 0) * rule.shards >> 16
        return Found(rule.name, sheet.cell, shard, sheet.homes[shard])

    def explain(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None = None,
    ) -> dict[str, object]:
        """The same for the console, with what the placement came from."""
        found = self.lookup(class_name, tenant, group, key, part)
        told: dict[str, object] = {"epoch": self.epoch, "digest": self.digest}
        if found is None:
            return told | {"rule": None}
        rule = self.sheets[found.rule, found.cell].rule
        return told | {
            "rule": found.rule,
            "precedence": rule.precedence,
            "line": rule.place("rule").line,
            "cell": found.cell,
            "shard": found.shard,
            "shards": rule.shards,
            "by": rule.by,
            "copies": list(found.members),
            "copies_asked": rule.copies,
            "over": None if rule.spread is None else f"{rule.over} {rule.spread}s",
            "pinned": rule.pins.get(found.shard),
        }

    def short(self) -> dict[str, int]:
        """For the console: shards, by rule, that have less than the rule asks for."""
        counts: dict[str, int] = {}
        for sheet in self.sheets.values():
            counts[sheet.rule.name] = counts.get(sheet.rule.name, 0) + sheet.short()
        return {name: count for name, count in counts.items() if count}
