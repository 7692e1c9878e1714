"""Selects the members that have the copies of shards, for many shards of a shard map at once.

Each member draws an arrival for each shard (`homes.arrival`, weighted rendezvous hashing), and a shard's
copies are on the members of the earliest arrivals that the spread admits. The arrivals are computed with
numpy, whose logarithm may differ in the last bits from one machine to another. Where two arrivals are that
close, `homes.arrival` decides, so that the order is exactly that of `homes.Homes`.

A spread over N zones admits a member unless too few copies would be left for the zones still missing. Such
sets of members are the independent sets of a matroid (the union of a partition matroid by zone and a free
choice of copies - N members), so that greedy selection in the order of arrival is optimal, and the change
of one member changes at most one copy of a shard.
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
from paddlequay.placement.table import ShardMapMember

MAX_BATCH_DRAWS = 1 << 18  # arrivals computed at a time: 2 MB for each intermediate array
EXTRA_CANDIDATES_COUNT = 8  # beyond twice the copies if these are spread; more are rarely needed

# Bounds on the relative and absolute error of an arrival computed with numpy: about ten times its rounding.
DRAW_ERROR_RATIO = 1e-14
DRAW_ERROR_FLOOR = 4e-15
UPPER_BOUND_MARGIN = 3  # errors from the lower to the upper bound: one on each side, one more for rounding

Floats = npt.NDArray[np.float64]
Integers = npt.NDArray[np.int64]


def draw_arrivals(seeds: npt.NDArray[np.uint64], weights: Floats, shards: Integers) -> Floats:
    """Returns `homes.arrival` by shard (row) and member (column), exact except for the last bits."""
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
    """Returns a lower bound of each exact arrival, by shard (row) and member (column)."""
    bounds = draw_arrivals(seeds, weights, shards)
    bounds *= 1 - DRAW_ERROR_RATIO
    bounds -= DRAW_ERROR_FLOOR / weights
    return bounds


def upper_bounds(lower: Floats, weights: Floats) -> Floats:
    """Returns an upper bound of each exact arrival, computed from its lower bound."""
    return (
        lower * (1 + UPPER_BOUND_MARGIN * DRAW_ERROR_RATIO) + UPPER_BOUND_MARGIN * DRAW_ERROR_FLOOR / weights
    )


class Selection(NamedTuple):
    """The members of a shard and the last member visited to select them.

    `last_visited` is None if the selection depends on all members.
    """

    members: list[int]
    last_visited: int | None


class CopySelector:
    """Selects the members of shards of one shard map. It numbers members in the order of their names."""

    def __init__(self, rule: Rule, members: dict[str, ShardMapMember]) -> None:
        self.rule = rule
        self.is_spread = rule.spread is not None and rule.min_domains > 1
        self.names = list(members)
        wanted_count = 2 * rule.copies + EXTRA_CANDIDATES_COUNT if self.is_spread else rule.copies
        self.depth = min(len(members), wanted_count)  # how many of the earliest members are visited first
        self.numbers = {name: n for n, name in enumerate(members)}  # by name
        self.domains = [member.domain for member in members.values()]
        self.seeds = np.array([digest(name) for name in members], dtype=np.uint64)
        self.weights = np.array([member.weight for member in members.values()], dtype=np.float64)
        # By members' numbers, so that shards with equal members share one tuple of names.
        self.shared_names: dict[tuple[int, ...], tuple[str, ...]] = {}
        domain_numbers = {domain: n for n, domain in enumerate(dict.fromkeys(self.domains))}
        self.domain_of = np.array([domain_numbers[domain] for domain in self.domains], dtype=np.int64)
        self.by_domain = np.argsort(self.domain_of, kind="stable")
        self.domain_starts = np.searchsorted(self.domain_of[self.by_domain], np.arange(len(domain_numbers)))

    def select(self, shards: Integers) -> tuple[list[tuple[str, ...]], Floats]:
        """Returns the members of each shard, and its reach: the latest arrival on which they depend."""
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
        """Returns the same as `select`, for shards whose arrivals are computed in one batch."""
        lower = lower_bounds(self.seeds, self.weights, shards)
        candidates = self.earliest_candidates(lower)
        candidate_lower = np.take_along_axis(lower, candidates, axis=1)
        candidate_upper = upper_bounds(candidate_lower, self.weights[candidates])
        # The order is certain where the bounds of no two successive arrivals overlap.
        overlaps = np.any(candidate_upper[:, :-1] >= candidate_lower[:, 1:], axis=1, keepdims=True)
        uncertain_rows: list[bool] = overlaps[:, 0].tolist()
        rows: list[list[int]] = candidates[:, : self.depth].tolist()
        homes: list[tuple[str, ...]] = []
        reach = [math.inf] * len(rows)
        for index, (row, shard, uncertain) in enumerate(
            zip(rows, shards.tolist(), uncertain_rows, strict=True)
        ):
            if uncertain:
                possible = np.flatnonzero(lower[index] <= candidate_upper[index].max())
                row = self.exact_order(shard, possible)[: self.depth]
            selection = self.select_shard(shard, row, lower[index])
            last = selection.last_visited
            if last is not None:
                reach[index] = float(upper_bounds(lower[index, last], self.weights[last]))
            homes.append(self.names_of(selection.members))
        return homes, np.array(reach)

    def earliest_candidates(self, lower: Floats) -> Integers:
        """Returns by shard the `depth` + 1 earliest members, in the order of their lower bounds."""
        depth = self.depth
        if depth + 1 >= len(self.names):
            return np.argsort(lower, axis=1)
        earliest = np.argpartition(lower, depth, axis=1)[:, : depth + 1]
        order = np.argsort(np.take_along_axis(lower, earliest, axis=1), axis=1)
        return np.take_along_axis(earliest, order, axis=1)

    def names_of(self, numbers: list[int]) -> tuple[str, ...]:
        """Returns the names of members; equal numbers give the same tuple, to save memory."""
        key = tuple(numbers)
        names = self.shared_names.get(key)
        if names is None:
            names = tuple(self.names[n] for n in key)
            self.shared_names[key] = names
        return names

    def exact_order(self, shard: int, numbers: Integers) -> list[int]:
        """Returns members in the exact order of their arrivals; equal arrivals by name."""
        seeds = self.seeds[numbers].tolist()
        weights = self.weights[numbers].tolist()
        members = zip(numbers.tolist(), seeds, weights, strict=True)
        return [n for _, n in sorted((arrival(seed, shard, weight), n) for n, seed, weight in members)]

    def select_shard(self, shard: int, row: list[int], lower: Floats) -> Selection:
        """Selects the members that have the copies of a shard.

        Args:
            shard: The number of the shard.
            row: The earliest members in order of arrival.
            lower: The lower bounds of all members' arrivals at the shard.
        """
        is_pinned = shard in self.rule.pins
        pinned = self.numbers.get(self.rule.pins[shard]) if is_pinned else None
        if self.is_spread:
            selection = self.select_spread(shard, row, pinned, lower)
        else:
            selection = self.select_earliest(row, pinned)
        # The pinned member may return to the list, and then has a copy whatever its arrival is.
        return Selection(selection.members, None) if is_pinned else selection

    def select_earliest(self, row: list[int], pinned: int | None) -> Selection:
        """Selects the members of a shard whose copies are not spread."""
        copies = self.rule.copies
        members = pinned_first(row, pinned)[:copies]
        is_complete = pinned is None and len(row) == copies
        return Selection(members, row[copies - 1] if is_complete else None)

    def select_spread(self, shard: int, row: list[int], pinned: int | None, lower: Floats) -> Selection:
        """Selects members for spread copies; visits more than the earliest if these have too few domains."""
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

        Only these can be selected: all members are admitted until no free choice is left, and after that only
        the first member of a domain that has no copy yet.
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
        """Selects members in as many domains as possible, for a spread over more domains than there are.

        Any members fill the remaining copies: two copies in one zone are better than one copy.
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
    """Returns the members with the pinned one first, or as they are if `pinned` is None."""
    if pinned is None:
        return row
    return [pinned, *(n for n in row if n != pinned)]
