"""Homes that follow a table of placement while there is one, and are plain homes while there is none.

A table says where an object is to be; whether a member may be used now is the decisions' affair. The order
goes on past the table's copies through all members that the rule allows, by their arrivals at the shard.
Members that this router does not use, as those of other zones, are passed over.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, TypeVar

from paddlequay.placement.homes import SLOTS, Homes, always_whole, digest, placement_key, slot_of
from paddlequay.routing.interface import Request

if TYPE_CHECKING:
    from paddlequay.placement.migration import Placed
    from paddlequay.placement.table import Sheet

M = TypeVar("M")

SHEETS_MOST = 8  # whose members' orders are remembered,
SHARDS_MOST = 4_096  # for so many shards each: together as much as plain homes remember


class HomeKey(int):
    """The `placement_key` of a request, with the attributes by which placement rules tell requests apart."""

    class_name: str | None
    tenant: str | None
    group: int | None
    key: int | None
    part: int | None


def home_key(request: Request) -> HomeKey:
    """What an order of homes is asked for by a request."""
    key = HomeKey(placement_key(request.key, request.part))
    key.class_name, key.tenant, key.group = request.class_name, request.tenant, request.group
    key.key, key.part = request.key, request.part
    return key


class TableHomes(Homes[M]):
    """Homes by the table that `source` has for a request now; without one, or by none of its rules, plain.

    `source` gives the sheet and where the object is placed, `None` for plain homes. Memory beside that of
    plain homes: orders of `SHARDS_MOST` shards of `SHEETS_MOST` sheets, those asked for last.
    """

    def __init__(self) -> None:
        super().__init__()
        self.source: Callable[[HomeKey], tuple[Sheet, Placed] | None] | None = None
        self.sheets: OrderedDict[int, tuple[Sheet, int, Homes[str]]] = OrderedDict()  # by identity

    def lookup_key(self, request: Request) -> int:
        return home_key(request) if self.source is not None else super().lookup_key(request)

    def order(self, key: int, share: Callable[[M], float] = always_whole) -> Iterator[M]:
        """Members from the first home on. A member that is cold has as much of its shards as it can give."""
        found = self.source(key) if self.source is not None and isinstance(key, HomeKey) else None
        if found is None:
            return super().order(key, share)
        sheet, placed = found
        ranks = self.ranks(sheet)
        if not ranks.members and sheet.cell is None:
            # Nobody here may have it by its rule: better anywhere than nowhere. A tenant stays in its cell.
            return super().order(key, share)
        return self.placed(key, sheet, placed, ranks, share)

    def placed(
        self, key: int, sheet: "Sheet", placed: "Placed", ranks: Homes[str], share: Callable[[M], float]
    ) -> Iterator[M]:
        """The copies of a shard, then the others that its rule allows; a cold one has its place by its share.

        Copies that are the first by arrival stand in that order, which cold ones scale. Where a spread, a pin
        or a turn that has not come says otherwise, a cold one has each object or has it not, by a draw.
        """
        members, shard = self.members, placed.found.shard
        plain = sheet.rule.spread is None and shard not in sheet.rule.pins and not placed.waits
        given = [name for name in placed.found.members if name in members]
        shares = [share(members[name]) for name in given]
        first: list[str] = []
        if not plain:
            first = [n for n, part in zip(given, shares, strict=True) if part >= 1.0 or drawn(key, n) < part]
        elif min(shares, default=0.0) >= 1.0:
            first = given
        for name in first:
            if name in members:
                yield members[name]
        for name in ranks.in_slot(shard, lambda name: share(members[name]) if name in members else 1.0):
            if name in members and name not in first:
                yield members[name]

    def ranks(self, sheet: "Sheet") -> Homes[str]:
        """The members of a sheet that are used here, in the order of their arrivals at each shard."""
        change = self.first + len(self.changes)
        kept = self.sheets.pop(id(sheet), None)
        ranks: Homes[str] = Homes(remembered=SHARDS_MOST) if kept is None else kept[2]
        if kept is None or kept[1] != change:
            draws = sheet.draws.items()
            ranks.reset((name, name, weight) for name, (weight, _) in draws if name in self.members)
        self.sheets[id(sheet)] = sheet, change, ranks  # holds the sheet, so that its identity stays its own
        if len(self.sheets) > SHEETS_MOST:
            self.sheets.popitem(last=False)
        return ranks


def drawn(key: int, name: str) -> float:
    """In (0, 1), the same at all routers."""
    return (slot_of(key ^ digest(name)) + 0.5) / SLOTS
