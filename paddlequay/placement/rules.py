"""Rules of placement, typed and looked up, from the sentences of a file. `checks` says if they can be used.

A rule is for a set of requests (class, tenant, group) and says into how many shards their objects fall, how
many copies a shard has and among which members. Of the rules that a request meets, the one of the highest
precedence holds; `otherwise` holds where none does.
"""

import json
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Literal

from paddlequay.errors import ConfigError
from paddlequay.placement.grammar import Place, Source
from paddlequay.placement.regions import ANY, Box, Region, Some, Value, Work, both, boxed, less, meet, these
from paddlequay.placement.syntax_tree import (
    CellIs,
    Choice,
    Clause,
    Copies,
    Declared,
    InCell,
    Name,
    Pace,
    Pin,
    Shards,
    Spoken,
    Statement,
    TenantStays,
    Weigh,
    Which,
    Who,
)

RULES_MOST = 256
CELLS_MOST = 64
TENANTS_MOST = 1_024
WORK_MOST = 400_000  # steps to look up and check one file: about a second

ATTRIBUTES = ("name", "zone", "kind", "cell")  # of a member
REQUEST = ("class", "tenant", "group")
EVERYONE: Region = ((ANY,) * len(ATTRIBUTES),)


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule; without `precedence` it is the fallback. Places are those of its words, for errors."""

    name: str
    precedence: int | None
    asked: Box  # class, tenant, group
    shards: int
    by: str
    copies: int
    over: int  # at least so many different zones or kinds
    spread: Literal["zone", "kind"] | None
    members: Region  # those that it may use at all
    weights: tuple[tuple[Region, float], ...]
    pins: dict[int, str]  # shard to its first home
    places: dict[str, Place] = field(compare=False)

    def place(self, word: str) -> Place:
        return self.places.get(word, self.places["rule"])


@dataclass(frozen=True, slots=True)
class Cell:
    name: str
    members: Region
    place: Place = field(compare=False)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant that stays in a cell; `share`: of the load of all, 1 for the whole."""

    name: str
    cell: str
    share: float | None
    place: Place = field(compare=False)


@dataclass(frozen=True, slots=True)
class Rules:
    """A file of rules. `rules` are in the order in which they are tried."""

    source: Source = field(compare=False)
    rules: tuple[Rule, ...]
    cells: dict[str, Cell]
    tenants: dict[str, Tenant]
    pace: int | None  # shards that may move in a second; `None`: all at once
    classes: tuple[Name, ...] | None
    zones: tuple[Name, ...] | None
    kinds: tuple[Name, ...] | None

    def plan(self) -> list[tuple[Rule, Cell | None]]:
        """Each rule with each cell whose tenants it is for, and without one for all others."""
        planned: list[tuple[Rule, Cell | None]] = []
        for rule in self.rules:
            tenants = rule.asked[1]
            cells = {tenant.cell for tenant in self.tenants.values() if tenant.name in tenants}
            if tenants.but or any(name not in self.tenants for name in tenants.values):
                planned.append((rule, None))
            planned.extend((rule, self.cells[name]) for name in sorted(cells))
        return planned

    def taken(self, rule: Rule, cell: Cell | None, work: Work) -> Region:
        """The requests that a rule holds for, in a cell or outside all: those that no earlier rule takes."""
        inside = [t.name for t in self.tenants.values() if cell is None or t.cell == cell.name]
        tenants = Some(frozenset(inside), cell is None)
        met = both(rule.asked, (ANY, tenants, ANY), work)
        region: Region = () if met is None else (met,)
        for earlier in self.rules[: self.rules.index(rule)]:
            region = less(region, (earlier.asked,), work)
        return region

    def canonical(self) -> bytes:
        """The same bytes for the same rules, whatever stands round them in the file."""
        data = {
            "pace": self.pace,
            "cells": {cell.name: plain(cell.members) for cell in self.cells.values()},
            "tenants": {tenant.name: [tenant.cell, tenant.share] for tenant in self.tenants.values()},
            "rules": [
                {
                    "name": rule.name,
                    "precedence": rule.precedence,
                    "asked": plain((rule.asked,)),
                    "shards": [rule.shards, rule.by],
                    "copies": [rule.copies, rule.over, rule.spread],
                    "members": plain(rule.members),
                    "weights": [[plain(region), by] for region, by in rule.weights],
                    "pins": sorted(rule.pins.items()),
                }
                for rule in self.rules
            ],
        }
        return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()


def plain(region: Region) -> list[list[list[object]]]:
    """A region as lists, sorted."""
    boxes: list[list[list[object]]] = [
        [[some.but, sorted(some.values, key=repr)] for some in box] for box in region
    ]
    return sorted(boxes, key=repr)


class Builder:
    """Looks up names and cells; every error is a `ConfigError` with its place."""

    def __init__(self, source: Source, work: Work) -> None:
        self.source, self.work = source, work
        self.declared: dict[str, tuple[Name, ...]] = {}
        self.cells: dict[str, Cell] = {}
        self.tenants: dict[str, Tenant] = {}
        self.rules: dict[str, Rule] = {}
        self.pace: int | None = None

    def error(self, place: Place, said: str) -> ConfigError:
        return self.source.error(place, said)

    def build(self, statements: tuple[Statement, ...]) -> Rules:
        for kind in (Declared, Pace, CellIs, TenantStays, Spoken):
            # By kind, so that only cells have to stand before they are used, by other cells.
            for statement in statements:
                if isinstance(statement, kind):
                    self.take(statement)
        order = [(r.precedence is None, -(r.precedence or 0), r.name) for r in self.rules.values()]
        rules = [self.rules[name] for _, _, name in sorted(order)]
        declared = self.declared.get
        return Rules(
            self.source,
            tuple(rules),
            self.cells,
            self.tenants,
            self.pace,
            declared("classes"),
            declared("zones"),
            declared("kinds"),
        )

    def take(self, statement: Statement) -> None:
        match statement:
            case Declared(what, names):
                if what in self.declared:
                    raise self.error(names[0].place, f"expected {what} to be listed once")
                self.once(names, f"of the {what}")
                self.declared[what] = names
            case Pace(shards, place):
                if self.pace is not None:
                    raise self.error(place, "expected one pace of moves, got a second")
                self.pace = shards
            case CellIs(name, who):
                self.new(name, "cell", self.cells, CELLS_MOST)
                self.cells[name.text] = Cell(name.text, self.region(who), name.place)
            case TenantStays(name, cell, share):
                self.new(name, "tenant", self.tenants, TENANTS_MOST)
                self.tenants[name.text] = Tenant(name.text, self.cell(cell).name, share, name.place)
            case Spoken():
                self.new(statement.name, "rule", self.rules, RULES_MOST)
                self.rules[statement.name.text] = self.rule(statement)

    def new(self, name: Name, what: str, held: Collection[str], most: int) -> None:
        if name.text in held:
            raise self.error(name.place, f"expected a new name, got {what} {name.text!r} a second time")
        if len(held) >= most:
            raise self.error(name.place, f"expected at most {most} of {what}")

    def once(self, names: Iterable[Name], of: str) -> None:
        seen: set[str] = set()
        for name in names:
            if name.text in seen:
                raise self.error(name.place, f"expected each {of} once, got {name.text!r} again")
            seen.add(name.text)

    def known(self, names: Iterable[Name], what: str) -> None:
        """Where the file lists all classes, zones or kinds, others are mistakes."""
        listed = self.declared.get(what)
        if listed is None:
            return
        texts = [name.text for name in listed]
        for name in names:
            if name.text not in texts:
                shown = ", ".join(texts[:8])
                raise self.error(name.place, f"expected one of the {what} ({shown}), got {name.text!r}")

    def cell(self, name: Name) -> Cell:
        cell = self.cells.get(name.text)
        if cell is None:
            said = f"expected the name of a cell that is defined above, got {name.text!r}"
            raise self.error(name.place, said)
        return cell

    def region(self, who: Who) -> Region:
        """Members as a region; recursion is bounded by the nesting that the reader allows."""
        match who:
            case InCell(name):
                return self.cell(name).members
            case Which(attribute, values):
                names = [value for value in values if isinstance(value, Name)]
                if attribute in ("zone", "kind"):
                    self.known(names, f"{attribute}s")
                held: list[Value] = [v.text if isinstance(v, Name) else v.value for v in values]
                return boxed(len(ATTRIBUTES), ATTRIBUTES.index(attribute), these(held))
        regions = [self.region(part) for part in who.parts]
        if who.how == "not":
            return less(EVERYONE, regions[0], self.work)
        found = regions[0]
        for region in regions[1:]:
            if who.how == "and":
                found = meet(found, region, self.work)
            else:
                self.work.spend(len(found))
                found = found + region
        return found

    def asked(self, spoken: Spoken) -> tuple[Box, dict[str, Place]]:
        """The requests that a rule is for."""
        parts: dict[str, Some] = {}
        places: dict[str, Place] = {"rule": spoken.name.place}
        for match in spoken.matches:
            if match.what in parts:
                raise self.error(match.place, f"expected one list of {match.what} in a rule, got a second")
            if isinstance(match.values, frozenset):
                parts[match.what] = Some(match.values)
            else:
                self.once(match.values, match.what)
                if match.what == "class":
                    self.known(match.values, "classes")
                parts[match.what] = these(name.text for name in match.values)
            places[match.what] = match.place
        return tuple(parts.get(what, ANY) for what in REQUEST), places

    def rule(self, spoken: Spoken) -> Rule:
        asked, places = self.asked(spoken)
        if spoken.precedence is not None:
            places["precedence"] = spoken.precedence.place
        members, shards, copies = EVERYONE, None, None
        weights: list[tuple[Region, float]] = []
        pins: list[Pin] = []
        for clause in spoken.clauses:
            self.clause(clause, places)
            match clause:
                case Shards():
                    shards = clause
                case Copies(_, over):
                    copies = clause
                    if over is not None:
                        places["over"] = over.place
                case Choice(how, who):
                    region = self.region(who)
                    members = (meet if how == "among" else less)(members, region, self.work)
                case Weigh(who, by):
                    weights.append((self.region(who), by))
                case Pin():
                    pins.append(clause)
        if shards is None:
            said = 'expected a rule that says its shards ("64 shards by object")'
            raise self.error(spoken.name.place, said)
        return Rule(
            name=spoken.name.text,
            precedence=None if spoken.precedence is None else spoken.precedence.value,
            asked=asked,
            shards=shards.count.value,
            by=shards.by,
            copies=1 if copies is None else copies.count.value,
            over=1 if copies is None or copies.over is None else copies.over.value,
            spread=None if copies is None else copies.spread,
            members=members,
            weights=tuple(weights),
            pins=self.pinned(pins, shards.count.value, places),
            places=places,
        )

    def clause(self, clause: Clause, places: dict[str, Place]) -> None:
        """Each word once in a rule, but for weights and pins."""
        if isinstance(clause, Weigh | Pin):
            return
        word = clause.how if isinstance(clause, Choice) else type(clause).__name__.lower()
        if word in places:
            raise self.error(clause.place, f'expected "{word}" once in a rule, got a second')
        places[word] = clause.place

    def pinned(self, pins: list[Pin], shards: int, places: dict[str, Place]) -> dict[int, str]:
        held: dict[int, str] = {}
        for pin in pins:
            places[f"pin {pin.member.text}"] = pin.member.place
            for low, high in pin.ranges:
                if high.value >= shards:
                    said = f"expected a shard from 0 to {shards - 1}, got {high.value}"
                    raise self.error(high.place, said)
                self.work.spend(high.value - low.value + 1)
                for shard in range(low.value, high.value + 1):
                    if shard in held:
                        said = f"expected shard {shard} to be pinned once; it is pinned to {held[shard]!r}"
                        raise self.error(low.place, said)
                    held[shard] = pin.member.text
        return held
