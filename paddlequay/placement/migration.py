"""Decides which shards migrate to another table, and when each does: so many in a second.

A shard that waits for its migration stays with its previous members. Once it has migrated, its previous
members are named for a while, so that requests can ask them for the objects that they hold.
"""

from collections.abc import Iterator
from typing import NamedTuple

from paddlequay.errors import PaddlequayError
from paddlequay.placement.homes import slot_of
from paddlequay.placement.regions import WorkBudget, WorkLimitError, subtract_region
from paddlequay.placement.rules import MAX_RESOLVE_STEPS, ShardMapKey, shard_map_key
from paddlequay.placement.table import FoundShard, Table

LINGER_S = 60.0  # previous homes are named for so long: as long as in `hierarchy.migration`

ShardKey = tuple[ShardMapKey, int]  # a shard map and a shard of it


class ShardMove(NamedTuple):
    """A shard that another table places differently.

    `before` is None if the shard is new or holds objects of other shards: each object comes from where the
    previous table had it.
    """

    key: ShardMapKey
    shard: int
    before: tuple[str, ...] | None
    after: tuple[str, ...]


class ScheduledMove(NamedTuple):
    """The time at which a shard follows the newer table, and its previous members as in `ShardMove`."""

    due: float
    before: tuple[str, ...] | None


class CurrentPlacement(NamedTuple):
    """Where an object is placed now.

    `previous` are the members that had it and may hold it, in order. `pending`: its shard has yet to
    migrate, and `found` gives the members where it still is.
    """

    found: FoundShard
    previous: tuple[str, ...]
    pending: bool


class MigrationPendingError(PaddlequayError, ValueError):
    """Shards wait for their migrations; a table that cuts shards differently has to wait, too.

    Attributes:
        remaining_s: The seconds until the last shard has migrated.
    """

    def __init__(self, remaining_s: float) -> None:
        super().__init__(f"shards wait for their turns for {remaining_s:.1f} s more")
        self.remaining_s = remaining_s


def unchanged_shard_maps(old: Table, new: Table) -> set[ShardMapKey]:
    """Returns the shard maps whose shards hold no object that was in another shard before."""
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
        pass  # all other shard maps migrate object by object, which is correct for any
    return unchanged


def moved_shards(old: Table, new: Table) -> Iterator[ShardMove]:
    """Yields all shards of `new` that move. Rules are identified by their names.

    A shard that also holds objects which another rule, or another number of shards, placed before moves
    whole.
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
    """The table in use, and the shards that still follow the previous one or have just left it.

    Memory: one scheduled move for each shard of the table in use, all forgotten `linger_s` after the last
    is due, and the previous table. Without a pace in the rules all shards migrate at once.
    """

    def __init__(self, table: Table, linger_s: float = LINGER_S) -> None:
        self.table = table
        self.linger_s = linger_s
        self.scheduled: dict[ShardKey, ScheduledMove] = {}
        self.previous_table: Table | None = None  # where a shard without `before` has its objects from
        self.next_free_at = 0.0  # from then on another shard may migrate
        self.ends_at = 0.0  # all shards have migrated, and the previous homes are forgotten

    # --- changes ---

    def change_table(self, table: Table, now: float) -> int:
        """Follows another table from now on, shard by shard, and returns how many are yet to migrate.

        A shard that waits keeps its time and goes straight to its newest members. A shard whose home has
        left the list migrates at once, beyond the pace, since that home cannot serve it. A change of the
        list alone is always accepted.

        Raises:
            MigrationPendingError: The table cuts shards differently while others wait.
        """
        self.forget_finished(now)
        moves = list(moved_shards(self.table, table))
        if any(move.before is None for move in moves):
            self._begin_recut(now)
        self.scheduled = {key: move for key, move in self.scheduled.items() if key[0] in table.shard_maps}
        # In a hashed order, so that all members give and take evenly: neighbouring shards are unrelated.
        moves.sort(key=lambda move: (slot_of(move.shard + 1), move.shard, str(move.key)))
        self.table = table
        self._schedule(moves, now)
        return self.pending_count(now)

    def _begin_recut(self, now: float) -> None:
        """Prepares for shards that hold objects of others; raises while any shard waits."""
        if self.pending_count(now):
            last_due = max(move.due for move in self.scheduled.values())
            raise MigrationPendingError(last_due - now)
        # Objects of an earlier cut are where the table in use has them.
        self.scheduled = {key: move for key, move in self.scheduled.items() if move.before is not None}
        self.previous_table = self.table

    def _schedule(self, moves: list[ShardMove], now: float) -> None:
        """Sets the time of each move, in order and at the pace of the rules."""
        pace = self.table.rules.shards_per_s
        start = max(self.next_free_at, now)
        paced_count = 0
        for move in moves:
            key = (move.key, move.shard)
            waiting = self.scheduled.get(key)
            if waiting is not None and waiting.due > now:
                if waiting.before == move.after:
                    del self.scheduled[key]  # it is back where it still is
                continue
            due = now
            if pace is not None and (move.before is None or self.is_home_listed(move.before)):
                paced_count += 1
                due = start + paced_count / pace
                self.next_free_at = due
            self.scheduled[key] = ScheduledMove(due, move.before)
            self.ends_at = max(self.ends_at, due + self.linger_s)

    def forget_finished(self, now: float) -> None:
        """Forgets all moves and the previous table once the last previous homes are no longer named."""
        if now >= self.ends_at:
            self.scheduled.clear()
            self.previous_table = None

    # --- questions ---

    def is_home_listed(self, members: tuple[str, ...]) -> bool:
        """Returns whether the home of a shard with these members is still listed."""
        return bool(members) and members[0] in self.table.name_set

    def pending_count(self, now: float) -> int:
        """Returns how many shards have yet to migrate."""
        return sum(move.due > now for move in self.scheduled.values())

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None,
        now: float,
    ) -> CurrentPlacement | None:
        """Returns where an object is placed now, None if no rule is for it."""
        found = self.table.lookup(class_name, tenant, group, key, part)
        if found is None:
            return None
        move = self.scheduled.get(((found.rule, found.cell), found.shard)) if self.scheduled else None
        if move is None or now >= move.due + self.linger_s:
            return CurrentPlacement(found, (), False)
        before = move.before
        if before is None and self.previous_table is not None:
            earlier = self.previous_table.lookup(class_name, tenant, group, key, part)
            before = None if earlier is None else earlier.members
        before = before or ()
        listed = [name for name in before if name in self.table.name_set]
        if now < move.due and self.is_home_listed(before):
            return CurrentPlacement(found._replace(members=tuple(listed)), (), True)
        previous = tuple(name for name in listed if name not in found.members)
        return CurrentPlacement(found, previous, False)
