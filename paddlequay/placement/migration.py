"""Which shards another table moves, and which table each follows meanwhile: so many may move in a second.

Time comes in, where to ask comes out. A shard that waits for its turn stays with its former members; one that
has had it names them for a while, so that they can be asked for what they hold.
"""

from collections.abc import Iterator
from typing import NamedTuple

from paddlequay.placement.homes import slot_of
from paddlequay.placement.regions import TooMuchError, Work, less
from paddlequay.placement.rules import WORK_MOST, Cell, Rule
from paddlequay.placement.table import Found, Key, Table

LINGER = 60.0  # seconds in which former homes are named: as long as a shape's, `hierarchy.moves`


class Moved(NamedTuple):
    """A shard that another table places otherwise.

    `before` is `None` where the shard is new or cut otherwise: each object comes from where the former table
    had it.
    """

    key: Key
    shard: int
    before: tuple[str, ...] | None
    after: tuple[str, ...]


class Turn(NamedTuple):
    """When a shard follows the newer table."""

    due: float
    before: tuple[str, ...] | None


class Placed(NamedTuple):
    """Where an object is placed now; `former`: who had it and may be asked, in order."""

    found: Found
    former: tuple[str, ...]
    waits: bool  # for its turn: it is still where it was


def key_of(rule: Rule, cell: Cell | None) -> Key:
    return rule.name, None if cell is None else cell.name


def kept(old: Table, new: Table) -> set[Key]:
    """The sheets whose shards hold no object that was in another shard before."""
    if old.rules is new.rules:
        return set(new.sheets)
    work = Work(WORK_MOST)
    before = {key_of(rule, cell): (rule, cell) for rule, cell in old.rules.plan()}
    same: set[Key] = set()
    try:
        for rule, cell in new.rules.plan():
            key = key_of(rule, cell)
            if key not in before:
                continue
            was, was_cell = before[key]
            if (was.shards, was.by) != (rule.shards, rule.by):
                continue
            if not less(new.rules.taken(rule, cell, work), old.rules.taken(was, was_cell, work), work):
                same.add(key)
    except TooMuchError:
        pass  # the rest is moved object by object, which is right for all
    return same


def moved(old: Table, new: Table) -> Iterator[Moved]:
    """All shards of `new` that move. Rules are told apart by their names.

    A shard that also holds objects which another rule, or another cut, placed before moves whole.
    """
    same = kept(old, new)
    for key, sheet in new.sheets.items():
        if key in same:
            for shard, (was, now) in enumerate(zip(old.sheets[key].homes, sheet.homes, strict=True)):
                if was is not now and was != now:
                    yield Moved(key, shard, was, now)
        else:
            for shard, now in enumerate(sheet.homes):
                yield Moved(key, shard, None, now)


class BusyError(ValueError):
    """Shards still wait for their turns: rules that cut them otherwise have to wait, too."""


class Mover:
    """The table in use and the shards that still follow, or just followed, the one before.

    Bound: a turn for each shard of the table in use, all forgotten `linger` after the last has come; one
    table besides that in use. Without a pace in the rules all shards move at once.
    """

    def __init__(self, table: Table, linger: float = LINGER) -> None:
        self.table = table
        self.linger = linger
        self.turns: dict[tuple[Key, int], Turn] = {}
        self.former: Table | None = None  # where a shard without `before` has its objects from
        self.free = 0.0  # from when on another shard may move
        self.ends = 0.0  # all turns have come, and the former homes are forgotten

    def change(self, table: Table, now: float) -> int:
        """Follow another table from now on, shard by shard; how many shards are yet to move.

        A shard that waits keeps its turn and goes straight to its newest place. A shard whose home has left
        the list moves at once, beyond the pace: who would wait for it there waits in vain. A change of the
        list alone is always taken; rules that cut shards otherwise are not while any waits: `BusyError`.
        """
        self.settle(now)
        moves = list(moved(self.table, table))
        if any(move.before is None for move in moves):
            if self.waiting(now):
                last = max(turn.due for turn in self.turns.values())
                raise BusyError(f"shards wait for their turns for {last - now:.1f} s more")
            # Objects of an earlier cut are where the table in use has them.
            self.turns = {at: turn for at, turn in self.turns.items() if turn.before is not None}
            self.former = self.table
        self.turns = {at: turn for at, turn in self.turns.items() if at[0] in table.sheets}
        # Neighbours have nothing to do with one another, so that all members take and give evenly.
        moves.sort(key=lambda move: (slot_of(move.shard + 1), move.shard, str(move.key)))
        self.table = table
        pace = table.rules.pace
        start, paced = max(self.free, now), 0
        for move in moves:
            at = (move.key, move.shard)
            turn = self.turns.get(at)
            if turn is not None and turn.due > now:
                if turn.before == move.after:
                    del self.turns[at]  # it need not move any more
                continue
            due = now
            if pace is not None and (move.before is None or self.stands(move.before)):
                paced += 1
                due = self.free = start + paced / pace
            self.turns[at] = Turn(due, move.before)
            self.ends = max(self.ends, due + self.linger)
        return self.waiting(now)

    def stands(self, members: tuple[str, ...]) -> bool:
        """Whether the home of these is still listed."""
        return bool(members) and members[0] in self.table.listed

    def settle(self, now: float) -> None:
        """Forget what is over."""
        if now >= self.ends:
            self.turns.clear()
            self.former = None

    def waiting(self, now: float) -> int:
        """Shards whose turn has not come."""
        return sum(turn.due > now for turn in self.turns.values())

    def lookup(
        self,
        class_name: str | None,
        tenant: str | None,
        group: int | None,
        key: int | None,
        part: int | None,
        now: float,
    ) -> Placed | None:
        """Where an object is placed now; `None` by no rule."""
        found = self.table.lookup(class_name, tenant, group, key, part)
        if found is None:
            return None
        turn = self.turns.get(((found.rule, found.cell), found.shard)) if self.turns else None
        if turn is None or now >= turn.due + self.linger:
            return Placed(found, (), False)
        before = turn.before
        if before is None and self.former is not None:
            earlier = self.former.lookup(class_name, tenant, group, key, part)
            before = None if earlier is None else earlier.members
        before = before or ()
        listed = self.table.listed
        if now < turn.due and self.stands(before):
            members = tuple(name for name in before if name in listed)
            return Placed(found._replace(members=members), (), True)
        return Placed(found, tuple(n for n in before if n in listed and n not in found.members), False)
