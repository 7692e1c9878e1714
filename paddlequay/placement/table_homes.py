"""Homes that follow a placement table while one is in use, and are plain homes otherwise.

A table says where an object should be; whether a member may be used now is left to the routing policy. The
order begins with the members to which the table assigns a copy, and continues with all other members that
the rule allows, by their arrivals at the shard. Members that this router does not use, such as those of
other zones, are skipped.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from paddlequay.placement.homes import SLOT_COUNT, Homes, digest, full_weight_factor, placement_key, slot_of
from paddlequay.routing.interface import Request

if TYPE_CHECKING:
    from paddlequay.placement.migration import CurrentPlacement
    from paddlequay.placement.table import ShardMap

M = TypeVar("M")

MAX_CACHED_SHARD_MAPS = 8
MAX_CACHED_SHARDS = 4_096  # of each shard map, so that all together cache as much as plain homes do


class HomeKey(int):
    """The `placement_key` of a request, with the attributes that placement rules match."""

    class_name: str | None
    tenant: str | None
    group: int | None
    key: int | None
    part: int | None


def home_key(request: Request) -> HomeKey:
    """Returns the key by which the homes of a request are looked up in a table."""
    key = HomeKey(placement_key(request.key, request.part))
    key.class_name = request.class_name
    key.tenant = request.tenant
    key.group = request.group
    key.key = request.key
    key.part = request.part
    return key


class CachedHomes(NamedTuple):
    """The homes of a shard map's shards, valid as of `change`, the number of changes of the members."""

    shard_map: "ShardMap"  # referenced, so that no other shard map can have its `id` while it is cached
    change: int
    homes: Homes[str]


class TableHomes(Homes[M]):
    """Homes by the table in use; plain homes without a table, or for a request that no rule matches.

    `find_placement` returns the shard map and the current placement of a request, or None for plain homes.
    Memory in addition to that of plain homes: the cached order of up to `MAX_CACHED_SHARDS` shards of each of
    the `MAX_CACHED_SHARD_MAPS` shard maps used last.
    """

    def __init__(self) -> None:
        super().__init__()
        self.find_placement: Callable[[HomeKey], tuple[ShardMap, CurrentPlacement] | None] | None = None
        self.shard_maps: OrderedDict[int, CachedHomes] = OrderedDict()  # by `id` of the shard map

    def lookup_key(self, request: Request) -> int:
        """Returns the key by which `order` finds the homes of a request."""
        return home_key(request) if self.find_placement is not None else super().lookup_key(request)

    def order(self, key: int, weight_factor: Callable[[M], float] = full_weight_factor) -> Iterator[M]:
        """Yields members from the first home on; those in slow start get only part of their objects."""
        found = None
        if self.find_placement is not None and isinstance(key, HomeKey):
            found = self.find_placement(key)
        if found is None:
            return super().order(key, weight_factor)
        shard_map, placement = found
        rule_homes = self.shard_map_homes(shard_map)
        if not rule_homes.members and shard_map.cell is None:
            # The rule allows none of the members that this router uses. Any member is better than none,
            # except for a tenant that is confined to a cell.
            return super().order(key, weight_factor)
        return self.table_order(key, shard_map, placement, rule_homes, weight_factor)

    def table_order(
        self,
        key: int,
        shard_map: "ShardMap",
        placement: "CurrentPlacement",
        rule_homes: Homes[str],
        weight_factor: Callable[[M], float],
    ) -> Iterator[M]:
        """Yields the members that have copies of a shard, then the other members that its rule allows.

        Where the copies are on the members that arrive first, they are ordered by arrivals that the weight
        factor scales. Where a spread, a pin or a pending migration decides instead, a pseudo-random draw for
        each object decides whether a member in slow start is among the first.
        """
        members = self.members
        shard = placement.found.shard
        copies = [name for name in placement.found.members if name in members]
        factors = [weight_factor(members[name]) for name in copies]
        first_names: list[str] = []
        if not is_ordered_by_arrival(shard_map, placement):
            pairs = zip(copies, factors, strict=True)
            first_names = [name for name, factor in pairs if factor >= 1.0 or unit_draw(key, name) < factor]
        elif min(factors, default=0.0) >= 1.0:
            first_names = copies
        for name in first_names:
            if name in members:
                yield members[name]

        def factor_of(name: str) -> float:
            return weight_factor(members[name]) if name in members else 1.0

        for name in rule_homes.order_in_slot(shard, factor_of):
            if name in members and name not in first_names:
                yield members[name]

    def shard_map_homes(self, shard_map: "ShardMap") -> Homes[str]:
        """Returns the homes of a shard map's shards among the members that this router uses."""
        change = self.first_change + len(self.changes)
        cached = self.shard_maps.pop(id(shard_map), None)
        homes: Homes[str] = Homes(max_cached_slots=MAX_CACHED_SHARDS) if cached is None else cached.homes
        if cached is None or cached.change != change:
            eligible = shard_map.members.items()
            homes.reset((name, name, member.weight) for name, member in eligible if name in self.members)
        self.shard_maps[id(shard_map)] = CachedHomes(shard_map, change, homes)
        if len(self.shard_maps) > MAX_CACHED_SHARD_MAPS:
            self.shard_maps.popitem(last=False)
        return homes


def is_ordered_by_arrival(shard_map: "ShardMap", placement: "CurrentPlacement") -> bool:
    """Returns whether a shard's copies are on the members that arrive first, in that order."""
    is_pinned = placement.found.shard in shard_map.rule.pins
    return shard_map.rule.spread is None and not is_pinned and not placement.pending


def unit_draw(key: int, name: str) -> float:
    """Returns a pseudo-random number in (0, 1) for a key and a member, the same at all routers."""
    return (slot_of(key ^ digest(name)) + 0.5) / SLOT_COUNT
