"""Migration of objects after a topology change: finds the earlier homes, which a new home asks for copies.

Objects do not move all at once but one by one, when they are requested. The new home asks the earlier homes
for their cached copy and caches it; it asks the parents and the origin last. Earlier homes are the homes in
the last few topologies, each for `earlier_home_s` after that topology was replaced. While a node is new
itself, the next homes in the object's order count as well, because they served the object before. The look-up
carries an ownership claim, from which an earlier home learns that the object has moved; from then on it fills
from the new home, whichever topology it knows.

The plan depends only on the topologies and the times of their changes, which are saved. A node that restarts
therefore continues with the same plan, and a second change only adds an earlier home.
"""

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.topology import Topology
from paddlequay.placement.homes import Homes

MAX_EARLIER_GROUPS = 8
MAX_LOOKUPS = 2  # earlier homes that one fill asks
MAX_NEW_NODE_LOOKUPS = 4  # earlier homes that one fill of a new node asks, as other nodes served in its place
NEW_NODE_EXTRA_COUNT = 2  # further candidates, in place of this node itself and of one that may not be asked


@dataclass(frozen=True, slots=True)
class MigrationLimits:
    """Limits of migration.

    Attributes:
        earlier_home_s: How long an earlier home is asked after it stopped being the home.
        claim_s: How long an ownership claim is valid unless it is renewed.
        lookups_per_s: Look-ups per second that a node may send to each other node.
        lookup_burst: Look-ups that a node may send to each other node at once.
    """

    earlier_home_s: float = 60.0
    claim_s: float = 10.0
    lookups_per_s: float = 200.0
    lookup_burst: float = 50.0


@dataclass(slots=True)
class EarlierGroup:
    """A group before a change: topology version, time of the change (Unix seconds), weights and homes."""

    version: int
    replaced_at: float
    weights: dict[str, float]
    homes: Homes[str]


@dataclass(frozen=True, slots=True)
class LookupTokens:
    """The level of a token bucket, and when it was computed (Unix seconds)."""

    level: float
    updated_at: float


class LookupRate:
    """A token bucket for each other node, so that a change of many homes does not overload one of them."""

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens: dict[str, LookupTokens] = {}

    def admits(self, node: str, now: float) -> bool:
        """Charges a look-up at a node and returns True if it is within the rate; `now` is in seconds."""
        known = self.tokens.get(node, LookupTokens(self.burst, now))
        level = min(self.burst, known.level + (now - known.updated_at) * self.per_s)
        is_admitted = level >= 1.0
        self.tokens[node] = LookupTokens(level - 1.0 if is_admitted else level, now)
        return is_admitted

    def keep_only(self, nodes: Iterable[str]) -> None:
        """Removes the buckets of all other nodes."""
        current_nodes = set(nodes)
        self.tokens = {node: tokens for node, tokens in self.tokens.items() if node in current_nodes}


class MigrationPlan:
    """The current and earlier homes of a group's objects, from the view of one of its members.

    At most `MAX_EARLIER_GROUPS` earlier groups are kept, each for `earlier_home_s`.
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
        """Adopts a topology; returns whether it changed the homes of the group.

        Args:
            topology: The new topology.
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
        """Returns the earlier homes of an object that may be asked within the rate, the likeliest first.

        Args:
            hash_key: The object's key for finding its homes.
            may_ask: Returns whether a node may be asked at all.
            is_new: Whether this node started so recently that the object's next homes served in its place.
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
        # Every candidate is charged to the rate, also those beyond `max_lookups`, which are not asked.
        admitted = [name for name in candidates if self.rate.admits(name, now)]
        return admitted[:max_lookups]

    def forget_expired(self, now: float) -> None:
        """Drops the earlier groups that were replaced too long ago; `now` is in Unix seconds."""
        while self.earlier_groups and now - self.earlier_groups[-1].replaced_at > self.limits.earlier_home_s:
            self.earlier_groups.pop()

    def export_state(self) -> list[dict[str, Any]]:
        """Returns the earlier groups in the form in which they are saved with the topology."""
        return [
            {
                "version": earlier_group.version,
                "left": earlier_group.replaced_at,
                "members": earlier_group.weights,
            }
            for earlier_group in self.earlier_groups
        ]

    def restore_state(self, state: Iterable[Any], now: float) -> None:
        """Adopts earlier groups from their saved form.

        Raises:
            ValueError: One of them is malformed; then none are adopted.
        """
        earlier_groups = [_decode_earlier_group(item, now) for item in state]
        self.earlier_groups = deque(earlier_groups[:MAX_EARLIER_GROUPS], maxlen=MAX_EARLIER_GROUPS)
        self.forget_expired(now)


def _decode_earlier_group(item: Any, now: float) -> EarlierGroup:
    match item:
        case {"version": int(version), "left": int() | float() as left, "members": dict(members)}:
            weights = {str(name): float(weight) for name, weight in members.items()}
            return EarlierGroup(version, min(float(left), now), weights, _homes_of(weights))
    raise ValueError(f"saved earlier group cannot be read: {str(item)[:60]}")


def _homes_of(weights: Mapping[str, float]) -> Homes[str]:
    homes: Homes[str] = Homes()
    _reset_homes(homes, weights)
    return homes


def _reset_homes(homes: Homes[str], weights: Mapping[str, float]) -> None:
    homes.reset((name, name, weight) for name, weight in weights.items())
