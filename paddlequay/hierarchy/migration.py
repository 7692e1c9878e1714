"""Migration of objects after a topology change: where an object was before, so that its new home finds it.

A change is not carried out at once but object by object. The new home asks the earlier homes for their cached
copy, caches it, and asks the parents and the origin last. Earlier homes are those of the last few topologies,
each for `earlier_home_s` after it was left, and the next homes in the object's order while a node is new
itself, as those served in its place. An earlier home learns from the look-up that the object has moved (the
ownership claim) and fills by way of the new home from then on, whichever topology it knows.

The plan is a pure function of the topologies and their times, which are saved: a node that restarts goes on
with the same plan, and a second change only adds an earlier home.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.topology import Topology
from paddlequay.placement.homes import Homes

MAX_EARLIER_GROUPS = 8
MAX_LOOKUPS = 2  # earlier homes that one fill asks
MAX_NEW_NODE_LOOKUPS = 4  # the same at a new node: others served in its place
NEW_NODE_EXTRA_COUNT = 2  # more homes to choose from: this node itself, and one that may not be asked


@dataclass(frozen=True, slots=True)
class MigrationLimits:
    """Bounds of migration.

    Attributes:
        earlier_home_s: For how long an earlier home is asked after it was left.
        claim_s: For how long an ownership claim holds without being made again.
        lookups_per_s: Look-ups per second that one node sends to another.
        lookup_burst: Look-ups that may be sent at once.
    """

    earlier_home_s: float = 60.0
    claim_s: float = 10.0
    lookups_per_s: float = 200.0
    lookup_burst: float = 50.0


@dataclass(slots=True)
class EarlierGroup:
    """A group as it was before a change: its version, when it was left (Unix seconds), weights and homes."""

    version: int
    left_at: float
    weights: dict[str, float]
    homes: Homes[str]


@dataclass(frozen=True, slots=True)
class LookupTokens:
    """A token bucket's level, and when it was computed (Unix seconds)."""

    level: float
    updated_at: float


class LookupRate:
    """A token bucket for each other node: a change of everything must not overload one of them."""

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens: dict[str, LookupTokens] = {}

    def admits(self, node: str, now: float) -> bool:
        """Returns whether a look-up at a node is within the rate, and charges it; `now` is in seconds."""
        known = self.tokens.get(node, LookupTokens(self.burst, now))
        level = min(self.burst, known.level + (now - known.updated_at) * self.per_s)
        is_admitted = level >= 1.0
        self.tokens[node] = LookupTokens(level - 1.0 if is_admitted else level, now)
        return is_admitted

    def keep_only(self, nodes: Iterable[str]) -> None:
        """Forgets all nodes but these."""
        kept = set(nodes)
        self.tokens = {node: tokens for node, tokens in self.tokens.items() if node in kept}


class MigrationPlan:
    """The current and earlier homes of a group's objects, as one of its members knows them.

    Earlier groups are kept for `earlier_home_s`, and at most `MAX_EARLIER_GROUPS` of them.
    """

    def __init__(self, own_name: str, limits: MigrationLimits) -> None:
        self.own_name = own_name
        self.limits = limits
        self.earlier_groups: deque[EarlierGroup] = deque(maxlen=MAX_EARLIER_GROUPS)  # the latest first
        self.version = 0
        self.weights: dict[str, float] = {}  # of the group's ready members
        self.homes: Homes[str] = Homes()
        self.rate = LookupRate(limits.lookups_per_s, limits.lookup_burst)

    def follow(self, topology: Topology, group: str, now: float) -> bool:
        """Adopts a topology; returns whether the homes of the group have changed by it.

        Args:
            topology: The topology from now on.
            group: The group of this node.
            now: The time in Unix seconds.
        """
        weights = {node.name: node.weight for node in topology.caches_of_group(group) if node.is_ready}
        has_changed = weights != self.weights
        if has_changed:
            if self.version:
                self.earlier_groups.appendleft(
                    EarlierGroup(self.version, now, self.weights, _homes_of(self.weights))
                )
            _reset_homes(self.homes, weights)
            self.weights = weights
        self.version = topology.version
        self.rate.keep_only(weights)
        return has_changed

    def earlier_homes(
        self, hash_key: int, may_ask: Callable[[str], bool], is_new: bool, now: float
    ) -> list[str]:
        """Returns the nodes that may hold an object from before, the likeliest first, within the rate.

        Args:
            hash_key: The key by which the object's homes are found.
            may_ask: Whether a node may be asked at all.
            is_new: Whether this node is so new that the next homes of the object served in its place.
            now: The time in Unix seconds.
        """
        self.forget_expired(now)
        homes = [earlier_group.homes.first_home(hash_key) for earlier_group in self.earlier_groups]
        max_lookups = MAX_LOOKUPS
        if is_new:
            max_lookups = MAX_NEW_NODE_LOOKUPS
            homes += self.homes.first_home_names(hash_key, MAX_NEW_NODE_LOOKUPS + NEW_NODE_EXTRA_COUNT)
        candidates = dict.fromkeys(
            home for home in homes if home is not None and home != self.own_name and may_ask(home)
        )
        # The rate charges every candidate, also those past `max_lookups`, which are not asked.
        admitted = [name for name in candidates if self.rate.admits(name, now)]
        return admitted[:max_lookups]

    def forget_expired(self, now: float) -> None:
        """Drops the earlier groups that were left too long ago; `now` is in Unix seconds."""
        while self.earlier_groups and now - self.earlier_groups[-1].left_at > self.limits.earlier_home_s:
            self.earlier_groups.pop()

    def export_state(self) -> list[dict[str, Any]]:
        """Returns the earlier groups as they are saved beside the topology."""
        return [
            {
                "version": earlier_group.version,
                "left": earlier_group.left_at,
                "members": earlier_group.weights,
            }
            for earlier_group in self.earlier_groups
        ]

    def restore_state(self, state: Iterable[Any], now: float) -> None:
        """Adopts earlier groups as they were saved.

        Raises:
            ValueError: One of them cannot be read; then none are adopted.
        """
        earlier_groups = [_decode_earlier_group(item, now) for item in state]
        self.earlier_groups = deque(earlier_groups[:MAX_EARLIER_GROUPS], maxlen=MAX_EARLIER_GROUPS)
        self.forget_expired(now)


def _decode_earlier_group(item: Any, now: float) -> EarlierGroup:
    match item:
        case {"version": int(version), "left": int() | float() as left, "members": dict(members)}:
            weights = {str(name): float(weight) for name, weight in members.items()}
            return EarlierGroup(version, min(float(left), now), weights, _homes_of(weights))
    raise ValueError(f"an epoch that cannot be read: {str(item)[:60]}")


def _homes_of(weights: Mapping[str, float]) -> Homes[str]:
    homes: Homes[str] = Homes()
    _reset_homes(homes, weights)
    return homes


def _reset_homes(homes: Homes[str], weights: Mapping[str, float]) -> None:
    homes.reset((name, name, weight) for name, weight in weights.items())
