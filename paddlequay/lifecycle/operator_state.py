"""Owns the overrides of operators: which caches are ejected, and whether the router is being drained.

Each override has the time at which it was issued. Of two overrides with the same name the later one applies,
whether it comes from this process, from the saved file, or from the other process during a hot restart.
"""

import json
import os
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

DRAIN = "drain"
EJECTED_PREFIX = "out:"  # of an override's name; the cache's id follows
MAX_KNOWN_IDS = 10_000
MAX_OVERRIDES = 1_000


class TooManyOverridesError(ValueError):
    """An override cannot be stored, because `MAX_OVERRIDES` others are active."""


@dataclass(frozen=True, slots=True)
class Override:
    """An override: when it was issued, in Unix nanoseconds, and whether it is active."""

    issued_ns: int
    active: bool


def read_overrides(data: Any) -> dict[str, Override]:
    """Parses overrides as the saved file and the hot restart link hold them; raises ValueError."""
    if not isinstance(data, dict) or len(data) > MAX_OVERRIDES:
        raise ValueError(f"expected an object of at most {MAX_OVERRIDES} overrides")
    overrides = {}
    for name, pair in data.items():
        match pair:
            case [int(issued_ns), bool(active)] if name == DRAIN or name.startswith(EJECTED_PREFIX):
                overrides[name] = Override(issued_ns, active)
            case _:
                raise ValueError(f"override {name[:60]!r}: unknown name, or not a pair of time and flag")
    return overrides


class OperatorState:
    """The overrides of operators, and the callbacks that are notified when one changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.overrides: dict[str, Override] = {}
        self.ejected: set[str] = set()  # ids of ejected caches: consulted before each write
        self.known_ids: OrderedDict[str, None] = OrderedDict()  # the latest ids that the endpoint list named
        self.on_change: list[Callable[[str], None]] = []

    @property
    def draining(self) -> bool:
        """Returns whether the router is being drained."""
        return self.is_active(DRAIN)

    def is_ejected(self, cache: str) -> bool:
        """Returns whether a cache is ejected."""
        return cache in self.ejected

    def is_active(self, name: str) -> bool:
        """Returns whether an override exists and is active."""
        override = self.overrides.get(name)
        return override is not None and override.active

    @property
    def ejected_ids(self) -> list[str]:
        """Returns the ids of the ejected caches, sorted."""
        return sorted(self.ejected)

    def record_listed(self, caches: Iterable[str]) -> None:
        """Records ids that the endpoint list names; they stay known after they are removed from the list."""
        for cache in caches:
            self.known_ids[cache] = None
            self.known_ids.move_to_end(cache)
        while len(self.known_ids) > MAX_KNOWN_IDS:
            self.known_ids.popitem(last=False)

    def is_known(self, cache: str) -> bool:
        """Returns whether a cache is among the last `MAX_KNOWN_IDS` that were listed, or has an override."""
        return cache in self.known_ids or EJECTED_PREFIX + cache in self.overrides

    def set_override(self, name: str, active: bool) -> Override:
        """Issues an override in this process.

        A repeated override gets a new time: the current one, or if the clock is behind, one nanosecond after
        the time of the previous override.

        Raises:
            TooManyOverridesError: `MAX_OVERRIDES` overrides are active already.
        """
        if name not in self.overrides:
            self.ensure_capacity()
        previous = self.overrides.get(name)
        earliest_ns = 0 if previous is None else previous.issued_ns + 1
        override = Override(max(time.time_ns(), earliest_ns), active)
        self.apply(name, override)
        return override

    def ensure_capacity(self) -> None:
        """Drops the oldest inactive override if no more can be stored; raises `TooManyOverridesError`."""
        if len(self.overrides) < MAX_OVERRIDES:
            return
        inactive = next((name for name, each in self.overrides.items() if not each.active), None)
        if inactive is not None:
            del self.overrides[inactive]
        if len(self.overrides) >= MAX_OVERRIDES:
            raise TooManyOverridesError(f"{MAX_OVERRIDES} orders are kept, all of them in force")

    def apply(self, name: str, override: Override) -> None:
        """Applies an override from any source, unless it is no later than the known one of that name."""
        previous = self.overrides.get(name)
        if previous is not None and previous.issued_ns >= override.issued_ns:
            return
        self.overrides[name] = override
        if name.startswith(EJECTED_PREFIX):
            self.update_ejected(name.removeprefix(EJECTED_PREFIX), override.active)
        was_active = previous is not None and previous.active
        if override.active != was_active:
            for notify in self.on_change:
                notify(name)

    def update_ejected(self, cache: str, ejected: bool) -> None:
        """Adds a cache to the ejected ones, or removes it from them."""
        if ejected:
            self.ejected.add(cache)
        else:
            self.ejected.discard(cache)

    def apply_all(self, overrides: Mapping[str, Override]) -> None:
        """Applies several overrides, from the saved file or from the other process."""
        for name, override in overrides.items():
            self.apply(name, override)

    def to_json(self) -> dict[str, list[Any]]:
        """Returns all overrides as the saved file and the hot restart link hold them."""
        return {name: [each.issued_ns, each.active] for name, each in self.overrides.items()}

    def serialize_ejections(self) -> str:
        """Returns the text that `write` saves: all ejections but no drain, which ends with the process."""
        return json.dumps({name: pair for name, pair in self.to_json().items() if name != DRAIN})

    def write(self, text: str) -> None:
        """Replaces the saved file atomically, as another process may read it at any time; raises OSError."""
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        temporary.write_text(text)
        temporary.replace(self.path)

    def load(self) -> None:
        """Applies the overrides that an earlier process saved; raises OSError or ValueError if unreadable."""
        if self.path.exists():
            self.apply_all(read_overrides(json.loads(self.path.read_text())))
