"""Decides which shards migrate to another table, and when, at the pace that the rules set.

A shard that waits for its migration stays with its previous members. For some time after it has migrated,
look-ups also return its previous members, so that requests can ask them for the objects that they hold.
"""

from collections.abc import Iterator
from typing import NamedTuple

from paddlequay.errors import PaddlequayError
from paddlequay.placement.homes import slot_of
from paddlequay.placement.regions import WorkBudget, WorkLimitError, subtract_region
from paddlequay.placement.rules import MAX_RESOLVE_STEPS, ShardMapKey, shard_map_key
from paddlequay.placement.table import FoundShard, Table

PREVIOUS_HOME_S = 60.0  # look-ups return previous homes for this long, as in `hierarchy.migration`

ShardKey = tuple[ShardMapKey, int]  # a shard map and the number of one of its shards


class ShardMove(NamedTuple):
    """A shard that a newer table places differently, with its members by the older and the newer table.

    `before` is None if the shard is new or includes objects of other shards: then the older table decides
    for each object where it was.
    """

    key: ShardMapKey
    shard: int
    before: tuple[str, ...] | None
    after: tuple[str, ...]


class ScheduledMove(NamedTuple):
    """The time from which a shard follows the newer table, and its previous members as in `ShardMove`."""

    due_at: float
    before: tuple[str, ...] | None


class CurrentPlacement(NamedTuple):
    """Where an object is placed now.

    `previous` are the members that had the object before and may still hold it, in order. `pending` is True
    if its shard has not migrated yet: then `found` has the members that it is still placed on.
    """

    found: FoundShard
    previous: tuple[str, ...]
    pending: bool


class MigrationPendingError(PaddlequayError, ValueError):
    """A table that divides objects into shards differently was given while shards wait for their migration.

    Attributes:
        remaining_s: The seconds until the last shard has migrated.
    """

    def __init__(self, remaining_s: float) -> None:
        super().__init__(f"shards are waiting to migrate for {remaining_s:.1f} s more")
        self.remaining_s = remaining_s


def unchanged_shard_maps(old: Table, new: Table) -> set[ShardMapKey]:
    """Returns the shard maps in which each object was in the same shard before."""
    if old.rules is new.rules:
        return set(new.shard_maps)
    work = WorkBudget(MAX_RESOLVE_STEPS)
    before = {shard_map_key(rule, cell): (rule, cell) for rule, cell in old.rules.shard_maps()}
    unchanged: set[ShardMapKey] = set()
    try:
        for rule, cell in new.rules.shard_maps():
            key = shard_map_key(rule, cell)
            if key not in before:
                continue
            old_rule, old_cell = before[key]
            if (old_rule.shards, old_rule.shard_by) != (rule.shards, rule.shard_by):
                continue
            requests = new.rules.effective_requests(rule, cell, work)
            old_requests = old.rules.effective_requests(old_rule, old_cell, work)
            if not subtract_region(requests, old_requests, work):
                unchanged.add(key)
    except WorkLimitError:
        pass  # the remaining shard maps migrate object by object, which is correct for any shard map
    return unchanged


def moved_shards(old: Table, new: Table) -> Iterator[ShardMove]:
    """Yields all shards that `new` places differently from `old`. Rules are the same if their names are.

    A shard always moves if it includes objects that another rule, or another number of shards, placed before.
    """
    unchanged = unchanged_shard_maps(old, new)
    for key, shard_map in new.shard_maps.items():
        if key not in unchanged:
            for shard, after in enumerate(shard_map.homes):
                yield ShardMove(key, shard, None, after)
            continue
        pairs = zip(old.shard_maps[key].homes, shard_map.homes, strict=True)
        for shard, (before, after) in enumerate(pairs):
            if before is not after and before != after:
                yield ShardMove(key, shard, before, after)


class Migration:
    """The table in use, and the shards that still follow the previous one or have recently migrated.

    Memory: up to one scheduled move for each shard of the table in use, and the previous table. All moves
    are removed `previous_home_s` after the last one is due. Without a pace in the rules all shards migrate
    at once.
    """

    def __init__(self, table: Table, previous_home_s: float = PREVIOUS_HOME_S) -> None:
        self.table = table
        self.previous_home_s = previous_home_s
        self.scheduled: dict[ShardKey, ScheduledMove] = {}
        self.previous_table: Table | None = None  # has the previous homes of moves without `before`
        self.paced_until = 0.0  # when the last move that was scheduled at the pace is due
        self.ends_at = 0.0  # from then on no scheduled move affects a look-up

    def change_table(self, table: Table, now: float) -> int:
        """Puts another table into use, shard by shard, and returns how many shards have yet to migrate.

        A shard that already waits keeps its time, and then goes directly to its newest members. A shard whose
        home has left the list migrates at once, regardless of the pace, since that home cannot serve it. A
        change of only the list is always accepted.

        Raises:
            MigrationPendingError: The table divides objects into shards differently while shards wait.
        """
        self.forget_finished(now)
        moves = list(moved_shards(self.table, table))
        if any(move.before is None for move in moves):
            self._begin_resharding(now)
        self.scheduled = {key: move for key, move in self.scheduled.items() if key[0] in table.shard_maps}
        # The order is hashed, so that at any time all members lose and gain shards about evenly.
        moves.sort(key=lambda move: (slot_of(move.shard + 1), move.shard, str(move.key)))
        self.table = table
        self._schedule(moves, now)
        return self.pending_count(now)

    def _begin_resharding(self, now: float) -> None:
        """Prepares for shards that include objects of other shards; raises while any shard waits."""
        if self.pending_count(now):
            last_due = max(move.due_at for move in self.scheduled.values())
            raise MigrationPendingError(last_due - now)
        # No shard waits, so the table in use now says where the objects of all earlier shards are.
        self.scheduled = {key: move for key, move in self.scheduled.items() if move.before is not None}
        self.previous_table = self.table

    def _schedule(self, moves: list[ShardMove], now: float) -> None:
        """Sets the time of each move, in the given order and at the pace of the rules."""
        pace = self.table.rules.shards_per_s
        start = max(self.paced_until, now)
        paced_count = 0
        for move in moves:
            key = (move.key, move.shard)
            waiting = self.scheduled.get(key)
            if waiting is not None and waiting.due_at > now:
                if waiting.before == move.after:
                    del self.scheduled[key]  # the shard has not moved, and its members are the same again
                continue
            due_at = now
            if pace is not None and (move.before is None or self.is_home_listed(move.before)):
                paced_count += 1
                due_at = start + paced_count / pace
                self.paced_until = due_at
            self.scheduled[key] = ScheduledMove(due_at, move.before)
            self.ends_at = max(self.ends_at, due_at + self.previous_home_s)

    def forget_finished(self, now: float) -> None:
        """Removes all moves and the previous table once no look-up returns previous homes any more."""
        if now >= self.ends_at:
            self.scheduled.clear()
            self.previous_table = None

    def is_home_listed(self, members: tuple[str, ...]) -> bool:
        """Returns whether the home of a shard, the first of these members, is still listed."""
        return bool(members) and members[0] in self.table.name_set

    def pending_count(self, now: float) -> int:
        """Returns how many shards have yet to migrate."""
        return sum(move.due_at > now for move in self.scheduled.values())

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None,
        now: float,
    ) -> CurrentPlacement | None:
        """Returns where an object is placed now, None if no rule matches it."""
        found = self.table.lookup(class_name, tenant, group, key, part)
        if found is None:
            return None
        move = self.scheduled.get(((found.rule, found.cell), found.shard)) if self.scheduled else None
        if move is None or now >= move.due_at + self.previous_home_s:
            return CurrentPlacement(found, (), False)
        before = move.before
        if before is None and self.previous_table is not None:
            found_before = self.previous_table.lookup(class_name, tenant, group, key, part)
            before = None if found_before is None else found_before.members
        before = before or ()
        listed = [name for name in before if name in self.table.name_set]
        if now < move.due_at and self.is_home_listed(before):
            return CurrentPlacement(found._replace(members=tuple(listed)), (), True)
        previous = tuple(name for name in listed if name not in found.members)
        return CurrentPlacement(found, previous, False)
