"""What operators have ordered by hand: caches ejected, and whether the router is being drained.

One owner of it all: console, front and exchange consult it, and nothing else changes it. An override bears
the time at which it was issued. Of two for the same thing the later one holds, whatever way they come: from
this process, from the file, or from the other process during a hot restart.
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
EJECTED_PREFIX = "out:"  # and the cache's id
MAX_LISTED_IDS = 10_000
MAX_OVERRIDES = 1_000


class TooManyOverridesError(ValueError):
    """More overrides than are kept."""


@dataclass(frozen=True, slots=True)
class Override:
    """One override: issued when (Unix nanoseconds), and whether it is active."""

    issued_ns: int
    active: bool


def read_overrides(data: Any) -> dict[str, Override]:
    """Overrides as they stand in the file and on the link to the other process; raises ValueError."""
    if not isinstance(data, dict) or len(data) > MAX_OVERRIDES:
        raise ValueError("expected an object of orders")
    marks = {}
    for name, pair in data.items():
        match pair:
            case [int(at), bool(on)] if name == DRAIN or name.startswith(EJECTED_PREFIX):
                marks[name] = Override(at, on)
            case _:
                raise ValueError(f"an order that cannot be read: {name[:60]!r}")
    return marks


class OperatorState:
    """The operators' state, and who is notified when it changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.overrides: dict[str, Override] = {}
        self.ejected: set[str] = set()  # the caches whose mark is on: looked at before each write
        self.known_ids: OrderedDict[str, None] = OrderedDict()  # ids that the list has ever named, the latest
        self.on_change: list[Callable[[str], None]] = []

    @property
    def draining(self) -> bool:
        """Whether the router is being drained."""
        return self.is_active(DRAIN)

    def is_ejected(self, cache: str) -> bool:
        """Whether a cache is left out; consulted before each write."""
        return cache in self.ejected

    def is_active(self, name: str) -> bool:
        """Whether an override is there and active."""
        mark = self.overrides.get(name)
        return mark is not None and mark.active

    @property
    def ejected_ids(self) -> list[str]:
        """The caches that are ejected, sorted."""
        return sorted(self.ejected)

    def record_listed(self, caches: Iterable[str]) -> None:
        """Ids that the endpoint list names: from now on they are known, also once removed."""
        for cache in caches:
            self.known_ids[cache] = None
            self.known_ids.move_to_end(cache)
        while len(self.known_ids) > MAX_LISTED_IDS:
            self.known_ids.popitem(last=False)

    def is_known(self, cache: str) -> bool:
        """Whether a cache was ever listed, as far as is remembered, or overridden."""
        return cache in self.known_ids or EJECTED_PREFIX + cache in self.overrides

    def set_override(self, name: str, on: bool) -> Override:
        """An override given to this process; raises `TooManyOverridesError`.

        A repeat is one as well: it holds against any earlier one.
        """
        if name not in self.overrides and len(self.overrides) >= MAX_OVERRIDES:
            for old in [each for each, mark in self.overrides.items() if not mark.active][:1]:
                del self.overrides[old]
            if len(self.overrides) >= MAX_OVERRIDES:
                raise TooManyOverridesError(f"{MAX_OVERRIDES} orders are kept, all of them in force")
        before = self.overrides.get(name)
        mark = Override(max(time.time_ns(), before.issued_ns + 1 if before else 0), on)
        self.apply(name, mark)
        return mark

    def apply(self, name: str, mark: Override) -> None:
        """An override from wherever; one earlier than the known one changes nothing."""
        before = self.overrides.get(name)
        if before is not None and before.issued_ns >= mark.issued_ns:
            return
        self.overrides[name] = mark
        if name.startswith(EJECTED_PREFIX):
            (self.ejected.add if mark.active else self.ejected.discard)(name.removeprefix(EJECTED_PREFIX))
        if mark.active != (before is not None and before.active):
            for tell in self.on_change:
                tell(name)

    def apply_all(self, marks: Mapping[str, Override]) -> None:
        """Several overrides from the file or the other process."""
        for name, mark in marks.items():
            self.apply(name, mark)

    def to_json(self) -> dict[str, list[Any]]:
        """All overrides, as in the file and on the link."""
        return {name: [mark.issued_ns, mark.active] for name, mark in self.overrides.items()}

    def serialize_ejections(self) -> str:
        """What `write` saves. A drain ends with the process, and lives on in its successor."""
        return json.dumps({name: pair for name, pair in self.to_json().items() if name != DRAIN})

    def write(self, kept: str) -> None:
        """Save all ejections, complete or not at all: another process may start, and read, at any time.

        Raises OSError.
        """
        beside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        beside.write_text(kept)
        beside.replace(self.path)

    def load(self) -> None:
        """Read what an earlier process has saved. Raises OSError or ValueError where that cannot be read."""
        if self.path.exists():
            self.apply_all(read_overrides(json.loads(self.path.read_text())))
