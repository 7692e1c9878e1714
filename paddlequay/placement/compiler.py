"""From rules and a list of members to lookup tables, all of it or only what a change of the list moves.

Each member that a sheet may use draws an arrival for each shard (`homes.arrival`: weighted rendezvous), and
a shard's copies are the earliest arrivals that the spread lets in. The draws are made for many shards at once
with numpy, whose logarithm may differ in the last bits from one machine to another: where two draws are that
close, `homes.arrival` itself decides, so that the order is that of `homes.Homes` to the last bit.

A spread over N zones takes a member unless too few copies would be left for zones still missing. Such sets
are the independent ones of a matroid (a partition by zone joined with a free choice of copies - N), so that
taking them in the order of arrival is the best choice, and a member's change changes at most one copy of a
shard.
"""

import math
from array import array
from collections.abc import Iterable

import numpy as np
import numpy.typing as npt

from paddlequay.placement.checks import check_list, check_members, fitting, thing, weight_of
from paddlequay.placement.grammar import Place
from paddlequay.placement.homes import LEAST_WEIGHT, arrival, digest
from paddlequay.placement.regions import TooMuchError, Work, holds
from paddlequay.placement.rules import Cell, Rule, Rules
from paddlequay.placement.table import Draw, Key, Sheet, Table
from paddlequay.routing.interface import Member

DRAWS_MOST = 1 << 26  # shards times members of all sheets: some 3 s of one core
FITS_MOST = 4_000_000  # members tried against boxes of rules: some 2 s
AT_ONCE = 1 << 18  # draws held at a time, 2 MB for each step of theirs
DEEPER = 8  # members looked at past twice the copies where these are spread; rarely more are needed
CHANGED_MOST = 32  # members changed; past it a sheet is made anew

# How far numpy's draw may be off, of itself and at all: some ten times what is rounded on the way.
OFF_SHARE, OFF_LEAST = 1e-14, 4e-15

Floats = npt.NDArray[np.float64]
Whole = npt.NDArray[np.int64]


def draws_of(seeds: npt.NDArray[np.uint64], weights: Floats, shards: Whole) -> Floats:
    """`homes.arrival` of each shard (row) and member (column), but for the last bits of the logarithm."""
    unit = seeds[None, :] ^ (shards.astype(np.uint64) * np.uint64(0xD6E8FEB86659FD93))[:, None]
    unit *= np.uint64(0x9E3779B97F4A7C15)
    unit += np.uint64(0x632BE59BD9B4E019)
    unit ^= unit >> np.uint64(29)
    unit *= np.uint64(0xBF58476D1CE4E5B9)
    unit ^= unit >> np.uint64(32)
    times = unit.astype(np.float64)
    times += 1.0
    times /= 2.0**64
    np.log(times, out=times)
    times /= -weights
    return times


def earliest(seeds: npt.NDArray[np.uint64], weights: Floats, shards: Whole) -> Floats:
    """A bound below each draw."""
    times = draws_of(seeds, weights, shards)
    times *= 1 - OFF_SHARE
    times -= OFF_LEAST / weights
    return times


def latest(early: Floats, weights: Floats) -> Floats:
    """A bound above each draw, by the one below."""
    return early * (1 + 3 * OFF_SHARE) + 3 * OFF_LEAST / weights


class Picker:
    """The members of one sheet, from which the copies of shards are picked."""

    def __init__(self, rule: Rule, draws: dict[str, Draw]) -> None:
        self.rule = rule
        self.names = list(draws)
        self.trunks = [trunk for _, trunk in draws.values()]
        self.seeds = np.array([digest(name) for name in draws], dtype=np.uint64)
        self.weights = np.array([weight for weight, _ in draws.values()], dtype=np.float64)
        self.number = {name: n for n, name in enumerate(draws)}
        self.seen: dict[tuple[int, ...], tuple[str, ...]] = {}  # lists that shards share are held once
        numbers = {trunk: n for n, trunk in enumerate(dict.fromkeys(self.trunks))}
        self.group = np.array([numbers[trunk] for trunk in self.trunks], dtype=np.int64)  # of each member
        self.by_group = np.argsort(self.group, kind="stable")
        self.starts = np.searchsorted(self.group[self.by_group], np.arange(len(numbers)))

    def pick(self, shards: Whole) -> tuple[list[tuple[str, ...]], Floats]:
        """The members of each of these shards and its reach."""
        count = len(self.names)
        homes: list[tuple[str, ...]] = []
        reach = np.full(len(shards), math.inf)
        if not count:
            return [()] * len(shards), reach
        step = max(1, AT_ONCE // count)
        for start in range(0, len(shards), step):
            some = shards[start : start + step]
            picked, reached = self.pick_some(some, earliest(self.seeds, self.weights, some))
            homes += picked
            reach[start : start + step] = reached
        return homes, reach

    def pick_some(self, shards: Whole, early: Floats) -> tuple[list[tuple[str, ...]], Floats]:
        rule, count = self.rule, len(self.names)
        spread = rule.spread is not None and rule.over > 1
        depth = min(count, 2 * rule.copies + DEEPER if spread else rule.copies)
        first = np.argpartition(early, depth, axis=1)[:, : depth + 1] if depth + 1 < count else None
        order = np.argsort(early if first is None else np.take_along_axis(early, first, axis=1), axis=1)
        first = order if first is None else np.take_along_axis(first, order, axis=1)
        low = np.take_along_axis(early, first, axis=1)
        high = latest(low, self.weights[first])
        # In order without doubt where each is over before the next, and so before all later ones, can begin.
        close: list[bool] = np.any(high[:, :-1] >= low[:, 1:], axis=1, keepdims=True)[:, 0].tolist()
        rows: list[list[int]] = first[:, :depth].tolist()
        last = [math.inf] * len(rows)
        homes: list[tuple[str, ...]] = []
        for at, (row, shard, near) in enumerate(zip(rows, shards.tolist(), close, strict=True)):
            if near:
                row = self.ranking(shard, np.flatnonzero(early[at] <= high[at].max()))[:depth]
            pinned = self.number.get(rule.pins[shard]) if shard in rule.pins else None
            if not spread:
                numbers, walked = self.plain(row, pinned)
            else:
                chosen, walked = self.spread(row, pinned)
                if chosen is None:
                    row = self.ranking(shard, self.foremost(early[at], row))
                    chosen, walked = self.spread(row, pinned)
                numbers = self.anyhow(row, pinned) if chosen is None else chosen
            if walked is not None and shard not in rule.pins:  # a pin may come back, whatever it draws
                n = row[walked - 1]
                last[at] = float(latest(early[at, n], self.weights[n]))
            key = tuple(numbers)
            names = self.seen.get(key)
            if names is None:
                names = self.seen[key] = tuple(self.names[n] for n in key)
            homes.append(names)
        return homes, np.array(last)

    def ranking(self, shard: int, some: Whole) -> list[int]:
        """These members in the exact order of their arrivals; equal ones by name."""
        members = zip(some.tolist(), self.seeds[some].tolist(), self.weights[some].tolist(), strict=True)
        return [n for _, n in sorted((arrival(seed, shard, weight), n) for n, seed, weight in members)]

    def foremost(self, early: Floats, row: list[int]) -> Whole:
        """Besides the first members those that may be the first of their zone or kind: no others are chosen.

        Until the free choices are used up, all that come are chosen, and then only who brings a new zone.
        """
        best = np.minimum.reduceat(latest(early, self.weights)[self.by_group], self.starts)
        return np.union1d(np.flatnonzero(early <= best[self.group]), np.array(row, dtype=np.int64))

    def plain(self, row: list[int], pinned: int | None) -> tuple[list[int], int | None]:
        """The copies where they are not spread, and how many were walked; `None` for all."""
        copies = self.rule.copies
        if pinned is not None:
            return [pinned, *(n for n in row if n != pinned)][:copies], None
        return row, copies if len(row) == copies else None

    def spread(self, row: list[int], pinned: int | None) -> tuple[list[int] | None, int | None]:
        """The copies out of members in order, and how many were walked; `None` where the row has too few."""
        copies, free = self.rule.copies, self.rule.copies - self.rule.over
        chosen: list[int] = []
        trunks: set[str] = set()
        if pinned is not None:
            row = [pinned, *(n for n in row if n != pinned)]
        for walked, n in enumerate(row, 1):
            trunk = self.trunks[n]
            if trunk is not None and trunk not in trunks:
                trunks.add(trunk)
            elif free > 0:
                free -= 1
            else:
                continue
            chosen.append(n)
            if len(chosen) == copies:
                return chosen, walked
        return None, None

    def anyhow(self, row: list[int], pinned: int | None) -> list[int]:
        """The copies where all members together have too few zones: as many zones as can be had, then any.

        Two copies in one zone are better than one.
        """
        if pinned is not None:
            row = [pinned, *(n for n in row if n != pinned)]
        trunks: set[str | None] = {None}
        news: list[int] = []
        for n in row:
            if self.trunks[n] not in trunks:
                trunks.add(self.trunks[n])
                news.append(n)
        kept = set((news + [n for n in row if n not in news])[: self.rule.copies])
        return [n for n in row if n in kept]


def draws_for(rule: Rule, cell: Cell | None, listed: list[Member], work: Work) -> dict[str, Draw]:
    """The weights of the members that a sheet may use, by name in order."""
    draws: dict[str, Draw] = {}
    for member in fitting(rule, cell, listed, work):
        weight = weight_of(member)
        for region, by in rule.weights:
            work.spend(len(region))
            if holds(region, thing(member)):
                weight *= by
        trunk = {"zone": member.zone, "kind": member.kind}[rule.spread] if rule.spread else None
        draws[member.name] = (max(LEAST_WEIGHT, weight), trunk)
    return draws


def sheet_of(rule: Rule, cell: Cell | None, draws: dict[str, Draw], old: Sheet | None) -> Sheet:
    """One sheet, from the old one where that differs in few members."""
    picker = Picker(rule, draws)
    name = None if cell is None else cell.name
    if old is not None:
        changed = [n for n in old.draws.keys() | draws.keys() if old.draws.get(n) != draws.get(n)]
        if not changed:
            return old
        if len(changed) <= CHANGED_MOST:
            homes = old.homes.copy()
            reach = np.array(old.reach)
            shards = affected(old, draws, changed, reach)
            picked, reach[shards] = picker.pick(shards)
            for shard, members in zip(shards.tolist(), picked, strict=True):
                homes[shard] = members
            return Sheet(rule, name, draws, homes, array("d", reach.tobytes()))
    homes, reach = picker.pick(np.arange(rule.shards))
    return Sheet(rule, name, draws, homes, array("d", reach.tobytes()))


def affected(old: Sheet, draws: dict[str, Draw], changed: list[str], reach: Floats) -> Whole:
    """The shards that a changed member stands in, or might come into, by its arrival before or now."""
    all_shards = np.arange(len(reach))
    hit = np.zeros(len(reach), dtype=np.bool_)
    for name in changed:
        seeds = np.array([digest(name)], dtype=np.uint64)
        for draw in (old.draws.get(name), draws.get(name)):
            if draw is not None:
                hit |= earliest(seeds, np.array([draw[0]]), all_shards)[:, 0] <= reach
    return np.flatnonzero(hit)


def compile_rules(
    rules: Rules, members: Iterable[Member], epoch: int = 0, strict: bool = True, old: Table | None = None
) -> Table:
    """The table of these rules for a list of members, in whatever order that is.

    `strict`: raise `ConfigError` where the list is too small for the rules, as when they are taken up; a list
    that shrinks later gives shards what can be had (`Table.short`). `old` is a table of the same rules for an
    earlier list: only shards that the change moves are made anew, and the result is the same.
    """
    listed = check_list(members)
    work, draws_left = Work(FITS_MOST), DRAWS_MOST
    sheets: dict[Key, Sheet] = {}
    try:
        if strict:
            check_members(rules, listed, work)
        plan = [(rule, cell, draws_for(rule, cell, listed, work)) for rule, cell in rules.plan()]
    except TooMuchError as error:
        said = f"expected rules and a list of members that go together with less work, got {error}"
        raise rules.source.error(Place(1, 1), said) from None
    for rule, _, draws in plan:
        draws_left -= rule.shards * len(draws)
        if draws_left < 0:
            said = f"expected at most {DRAWS_MOST} of shards times members in all, got more with the list's"
            raise rules.source.error(rule.place("shards"), f"{said} {len(listed)} members")
    same = old is not None and old.rules is rules
    for rule, cell, draws in plan:
        key = (rule.name, None if cell is None else cell.name)
        sheets[key] = sheet_of(rule, cell, draws, old.sheets.get(key) if old is not None and same else None)
    return Table(rules, epoch, tuple(member.name for member in listed), sheets)
