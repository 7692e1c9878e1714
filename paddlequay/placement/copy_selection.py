"""Selects the copies of shards among the members of a shard map, for many shards at once.

Each member draws an arrival for each shard (`homes.arrival`, weighted rendezvous), and a shard's copies are
the earliest arrivals that the spread admits. The draws are made with numpy, whose logarithm may differ in
the last bits from one machine to another. Where two draws are that close, `homes.arrival` itself decides,
so that the order is that of `homes.Homes` to the last bit.

A spread over N zones admits a member unless too few copies would be left for zones still missing. Such sets
are the independent sets of a matroid (a partition by zone, joined with a free choice of copies - N), so
that selecting them in the order of arrival is optimal, and a member's change changes at most one copy of a
shard.
"""

import math
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from paddlequay.placement.homes import (
    DRAW_OFFSET,
    FINAL_SHIFT_BITS,
    GOLDEN_RATIO_64,
    MIX_MULTIPLIER,
    MIX_SHIFT_BITS,
    SLOT_MULTIPLIER,
    arrival,
    digest,
)
from paddlequay.placement.rules import Rule
from paddlequay.placement.table import Draw

MAX_BATCH_DRAWS = 1 << 18  # held at a time: 2 MB for each intermediate array
EXTRA_CANDIDATES_COUNT = 8  # past twice the copies, where these are spread; more are rarely needed

# The error of numpy's draw, relative and absolute: about ten times what is rounded.
DRAW_ERROR_RATIO = 1e-14
DRAW_ERROR_FLOOR = 4e-15

Floats = npt.NDArray[np.float64]
Integers = npt.NDArray[np.int64]


def draw_arrivals(seeds: npt.NDArray[np.uint64], weights: Floats, shards: Integers) -> Floats:
    """Returns `homes.arrival` by shard (row) and member (column), but for the logarithm's last bits."""
    unit = seeds[None, :] ^ (shards.astype(np.uint64) * np.uint64(SLOT_MULTIPLIER))[:, None]
    unit *= np.uint64(GOLDEN_RATIO_64)
    unit += np.uint64(DRAW_OFFSET)
    unit ^= unit >> np.uint64(MIX_SHIFT_BITS)
    unit *= np.uint64(MIX_MULTIPLIER)
    unit ^= unit >> np.uint64(FINAL_SHIFT_BITS)
    arrivals = unit.astype(np.float64)
    arrivals += 1.0
    arrivals /= 2.0**64
    np.log(arrivals, out=arrivals)
    arrivals /= -weights
    return arrivals


def lower_bounds(seeds: npt.NDArray[np.uint64], weights: Floats, shards: Integers) -> Floats:
    """Returns a bound below each exact arrival, by shard (row) and member (column)."""
    bounds = draw_arrivals(seeds, weights, shards)
    bounds *= 1 - DRAW_ERROR_RATIO
    bounds -= DRAW_ERROR_FLOOR / weights
    return bounds


def upper_bounds(lower: Floats, weights: Floats) -> Floats:
    """Returns a bound above each exact arrival, from its lower bound."""
    return lower * (1 + 3 * DRAW_ERROR_RATIO) + 3 * DRAW_ERROR_FLOOR / weights


class Selection(NamedTuple):
    """The copies of a shard, and the last member visited for them; None: they depend on all members."""

    members: list[int]
    last_visited: int | None


class CopySelector:
    """Selects copies among the members of one shard map, which it numbers in the order of their names."""

    def __init__(self, rule: Rule, draws: dict[str, Draw]) -> None:
        self.rule = rule
        self.is_spread = rule.spread is not None and rule.min_domains > 1
        self.names = list(draws)
        wanted = 2 * rule.copies + EXTRA_CANDIDATES_COUNT if self.is_spread else rule.copies
        self.depth = min(len(draws), wanted)  # of the earliest members, which are looked at first
        self.number = {name: n for n, name in enumerate(draws)}
        self.domains = [draw.domain for draw in draws.values()]
        self.seeds = np.array([digest(name) for name in draws], dtype=np.uint64)
        self.weights = np.array([draw.weight for draw in draws.values()], dtype=np.float64)
        self.shared_names: dict[tuple[int, ...], tuple[str, ...]] = {}  # equal lists of shards stand once
        domain_numbers = {domain: n for n, domain in enumerate(dict.fromkeys(self.domains))}
        self.domain_of = np.array([domain_numbers[domain] for domain in self.domains], dtype=np.int64)
        self.by_domain = np.argsort(self.domain_of, kind="stable")
        self.domain_starts = np.searchsorted(self.domain_of[self.by_domain], np.arange(len(domain_numbers)))

    def select(self, shards: Integers) -> tuple[list[tuple[str, ...]], Floats]:
        """Returns the members of each shard, and its reach: the latest arrival that they depend on."""
        homes: list[tuple[str, ...]] = []
        reach = np.full(len(shards), math.inf)
        if not self.names:
            return [()] * len(shards), reach
        step = max(1, MAX_BATCH_DRAWS // len(self.names))
        for start in range(0, len(shards), step):
            batch = shards[start : start + step]
            batch_homes, batch_reach = self.select_batch(batch)
            homes += batch_homes
            reach[start : start + step] = batch_reach
        return homes, reach

    def select_batch(self, shards: Integers) -> tuple[list[tuple[str, ...]], Floats]:
        """Returns the same as `select`, for shards whose draws fit in one batch."""
        lower = lower_bounds(self.seeds, self.weights, shards)
        candidates = self.earliest_candidates(lower)
        candidate_lower = np.take_along_axis(lower, candidates, axis=1)
        candidate_upper = upper_bounds(candidate_lower, self.weights[candidates])
        # The order is certain where the bounds of no two successive arrivals overlap.
        overlaps = np.any(candidate_upper[:, :-1] >= candidate_lower[:, 1:], axis=1, keepdims=True)
        is_uncertain: list[bool] = overlaps[:, 0].tolist()
        rows: list[list[int]] = candidates[:, : self.depth].tolist()
        homes: list[tuple[str, ...]] = []
        reach = [math.inf] * len(rows)
        for at, (row, shard, uncertain) in enumerate(zip(rows, shards.tolist(), is_uncertain, strict=True)):
            if uncertain:
                possible = np.flatnonzero(lower[at] <= candidate_upper[at].max())
                row = self.exact_order(shard, possible)[: self.depth]
            selection = self.select_shard(shard, row, lower[at])
            last = selection.last_visited
            if last is not None:
                reach[at] = float(upper_bounds(lower[at, last], self.weights[last]))
            homes.append(self.names_of(selection.members))
        return homes, np.array(reach)

    def earliest_candidates(self, lower: Floats) -> Integers:
        """Returns, by shard, the `depth` + 1 earliest members in order of their lower bounds."""
        depth = self.depth
        if depth + 1 >= len(self.names):
            return np.argsort(lower, axis=1)
        earliest = np.argpartition(lower, depth, axis=1)[:, : depth + 1]
        order = np.argsort(np.take_along_axis(lower, earliest, axis=1), axis=1)
        return np.take_along_axis(earliest, order, axis=1)

    def names_of(self, numbers: list[int]) -> tuple[str, ...]:
        """Returns the names of members, as one tuple for all shards that have the same."""
        key = tuple(numbers)
        names = self.shared_names.get(key)
        if names is None:
            names = tuple(self.names[n] for n in key)
            self.shared_names[key] = names
        return names

    def exact_order(self, shard: int, numbers: Integers) -> list[int]:
        """Returns members in the exact order of their arrivals; equal ones by name."""
        seeds = self.seeds[numbers].tolist()
        weights = self.weights[numbers].tolist()
        members = zip(numbers.tolist(), seeds, weights, strict=True)
        return [n for _, n in sorted((arrival(seed, shard, weight), n) for n, seed, weight in members)]

    def select_shard(self, shard: int, row: list[int], lower: Floats) -> Selection:
        """Selects the copies of a shard.

        Args:
            shard: The shard.
            row: The earliest members in order.
            lower: The lower bounds of all members' arrivals at the shard.
        """
        is_pinned = shard in self.rule.pins
        pinned = self.number.get(self.rule.pins[shard]) if is_pinned else None
        if self.is_spread:
            selection = self.select_spread(shard, row, pinned, lower)
        else:
            selection = self.select_earliest(row, pinned)
        # A pinned member may come back whatever it draws.
        return Selection(selection.members, None) if is_pinned else selection

    def select_earliest(self, row: list[int], pinned: int | None) -> Selection:
        """Selects the copies where they are not spread."""
        copies = self.rule.copies
        members = pinned_first(row, pinned)[:copies]
        is_complete = pinned is None and len(row) == copies
        return Selection(members, row[copies - 1] if is_complete else None)

    def select_spread(self, shard: int, row: list[int], pinned: int | None, lower: Floats) -> Selection:
        """Selects spread copies, looking at more members than the earliest if these have too few domains."""
        selection = self.admit_in_order(pinned_first(row, pinned))
        if selection is not None:
            return selection
        row = pinned_first(self.exact_order(shard, self.domain_candidates(row, lower)), pinned)
        selection = self.admit_in_order(row)
        if selection is not None:
            return selection
        return Selection(self.select_most_domains(row), None)

    def domain_candidates(self, row: list[int], lower: Floats) -> Integers:
        """Returns the earliest members and those that may be the first of their zone or kind.

        No others are selected: all members are admitted until no free choice is left, and from then on only
        members of a new domain.
        """
        upper = upper_bounds(lower, self.weights)
        earliest_by_domain = np.minimum.reduceat(upper[self.by_domain], self.domain_starts)
        may_be_first = np.flatnonzero(lower <= earliest_by_domain[self.domain_of])
        return np.union1d(may_be_first, np.array(row, dtype=np.int64))

    def admit_in_order(self, row: list[int]) -> Selection | None:
        """Selects members in order if the spread admits them; returns None if there are too few."""
        free_choices = self.rule.copies - self.rule.min_domains
        chosen: list[int] = []
        domains: set[str] = set()
        for n in row:
            domain = self.domains[n]
            if domain is not None and domain not in domains:
                domains.add(domain)
            elif free_choices > 0:
                free_choices -= 1
            else:
                continue
            chosen.append(n)
            if len(chosen) == self.rule.copies:
                return Selection(chosen, n)
        return None

    def select_most_domains(self, row: list[int]) -> list[int]:
        """Selects members where all together have too few domains: of as many domains as possible, then any.

        Two copies in one zone are better than one copy.
        """
        domains: set[str | None] = {None}
        first_of_domain: list[int] = []
        for n in row:
            if self.domains[n] not in domains:
                domains.add(self.domains[n])
                first_of_domain.append(n)
        others = [n for n in row if n not in first_of_domain]
        chosen = set((first_of_domain + others)[: self.rule.copies])
        return [n for n in row if n in chosen]


def pinned_first(row: list[int], pinned: int | None) -> list[int]:
    """Returns members with the pinned one first, if there is one."""
    if pinned is None:
        return row
    return [pinned, *(n for n in row if n != pinned)]
