"""Moves: where an object was before the shape changed, and how its new home comes by the copy.

A reshaping is no event with an end but a plan for each object: the new home asks the earlier home for what it
holds (held only), keeps the copy, and goes up to the parents and the store last. Earlier homes are those of
the last few shapes, each believed for `window` seconds after it was left, and the next on the hash while a
node is new itself, as that one stood in for it. An earlier home is told by the look that the object is now
elsewhere (a claim), and fills by way of the new home from then on, whichever shape it knows.

What the plan needs is a pure function of the shapes and their times, which are saved: a node that restarts in
the middle goes on with the same plan, and a second reshaping on top only adds an earlier home.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from paddlequay.hierarchy.topology import Topology
from paddlequay.placement.homes import Homes

EPOCHS_MOST = 8  # earlier shapes of a group that are looked through
LOOKS_MOST = 2  # earlier homes that one fill asks,
NEW_LOOKS_MOST = 4  # and that one of a node asks which has just come: others stood in for it
CLAIMS_MOST = 20_000


@dataclass(frozen=True, slots=True)
class MigrationLimits:
    """Times in seconds; rates in looks a second."""

    window: float = 60.0  # an earlier home is asked for this long after it was left
    claim: float = 10.0  # a claim holds this long without being made again
    look_rate: float = 200.0  # looks that one node sends to another
    look_burst: float = 50.0


@dataclass(slots=True)
class Epoch:
    """A group as it was, until when, and the homes that it gave."""

    version: int
    left: float
    members: dict[str, float]  # weights by name
    homes: Homes[str]


def homes_of(members: dict[str, float]) -> Homes[str]:
    homes: Homes[str] = Homes()
    homes.reset((name, name, weight) for name, weight in members.items())
    return homes


class MigrationPlan:
    """The earlier homes of a group's objects, as one of its members sees them.

    Bounds: `EPOCHS_MOST` epochs, and no longer than `window`; `CLAIMS_MOST` claims, and no longer than
    `claim`.
    """

    def __init__(self, own: str, limits: MigrationLimits) -> None:
        self.own, self.limits = own, limits
        self.epochs: deque[Epoch] = deque(maxlen=EPOCHS_MOST)  # the latest first
        self.version = 0
        self.members: dict[str, float] = {}
        self.homes: Homes[str] = Homes()
        self.claims: OrderedDict[tuple[str, int | None], tuple[str, int, float]] = OrderedDict()
        self.tokens: dict[str, tuple[float, float]] = {}

    def follow(self, shape: Topology, group: str, now: float) -> bool:
        """Take a shape as the current one; whether the homes of the group changed by it."""
        members = {node.name: node.weight for node in shape.group(group) if node.ready}
        changed = members != self.members
        if changed:
            if self.version:
                self.epochs.appendleft(Epoch(self.version, now, self.members, homes_of(self.members)))
            self.homes.reset((name, name, weight) for name, weight in members.items())
            self.members = members
        self.version = shape.version
        self.tokens = {name: had for name, had in self.tokens.items() if name in members}
        return changed

    def forget(self, now: float) -> None:
        """Drop what is over."""
        while self.epochs and now - self.epochs[-1].left > self.limits.window:
            self.epochs.pop()
        while self.claims and next(iter(self.claims.values()))[2] <= now:
            self.claims.popitem(last=False)

    @property
    def under_way(self) -> int:
        return len(self.epochs)

    def earlier(self, key: int, usable: Callable[[str], bool], new: bool, now: float) -> list[str]:
        """Who may hold an object from before, the likeliest first; `usable` says whom may be asked.

        `new`: this node itself is so new that the next on the hash stood in for it.
        """
        self.forget(now)
        found: dict[str, None] = {}
        for epoch in self.epochs:
            home = epoch.homes.first_home(key)
            if home is not None and home != self.own and usable(home):
                found[home] = None
        most = LOOKS_MOST
        if new:
            most = NEW_LOOKS_MOST
            for name in self.homes.first_home_names(key, NEW_LOOKS_MOST + 2):
                if name != self.own and usable(name):
                    found[name] = None
        return [name for name in found if self.may_look(name, now)][:most]

    def may_look(self, name: str, now: float) -> bool:
        """Whether a look fits the rate; a reshaping of everything must not become a storm on one node."""
        limits = self.limits
        tokens, at = self.tokens.get(name, (limits.look_burst, now))
        tokens = min(limits.look_burst, tokens + (now - at) * limits.look_rate)
        allowed = tokens >= 1.0
        self.tokens[name] = (tokens - 1.0 if allowed else tokens, now)
        return allowed

    # --- claims ---

    def claim(self, place: tuple[str, int | None], by: str, version: int, now: float) -> bool:
        """Another node says that it is the home of this object by `version`; whether that is believed.

        Believed unless this node knows a later shape: homes are a function of the version, so that of two
        nodes which both believe to be the home the one with the later shape is right.
        """
        if version < self.version or by == self.own:
            return False
        known = self.claims.get(place)
        if known is not None and known[1] > version and known[2] > now:
            return False
        self.claims[place] = (by, version, now + self.limits.claim)
        self.claims.move_to_end(place)
        while len(self.claims) > CLAIMS_MOST:
            self.claims.popitem(last=False)
        return True

    def claimed(self, place: tuple[str, int | None], now: float) -> str | None:
        """Who has claimed an object; None where nobody has, or where a later shape is known by now."""
        known = self.claims.get(place)
        if known is None or known[2] <= now or known[1] < self.version:
            return None
        return known[0]

    def release(self, place: tuple[str, int | None], by: str) -> None:
        """The claimant could not be reached: its word no longer holds."""
        known = self.claims.get(place)
        if known is not None and known[0] == by:
            del self.claims[place]

    # --- saved beside the shape ---

    def data(self) -> list[dict[str, Any]]:
        """The epochs, as they are saved."""
        return [{"version": e.version, "left": e.left, "members": e.members} for e in self.epochs]

    def restore(self, data: Iterable[Any], now: float) -> None:
        """Epochs as they were saved; ValueError on what cannot be read, and then none are taken."""
        epochs = []
        for item in data:
            match item:
                case {"version": int(version), "left": int() | float() as left, "members": dict(members)}:
                    weights = {str(name): float(weight) for name, weight in members.items()}
                    epochs.append(Epoch(version, min(float(left), now), weights, homes_of(weights)))
                case _:
                    raise ValueError(f"an epoch that cannot be read: {str(item)[:60]}")
        self.epochs = deque(epochs[:EPOCHS_MOST], maxlen=EPOCHS_MOST)
        self.forget(now)
