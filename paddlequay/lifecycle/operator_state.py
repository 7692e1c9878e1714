"""What operators have ordered by hand: caches left out, and whether the router is being emptied.

One owner of it all: console, front and exchange ask it, and nothing else changes it. An order is a mark with
the time at which it was given. Of two marks for the same thing the later one holds, whatever way they come:
from this process, from the file, or from the other process while one replaces the other.
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
OUT = "out:"  # and the cache's id
LISTED_MOST = 10_000
MARKS_MOST = 1_000


class TooManyError(ValueError):
    """More orders than are kept."""


@dataclass(frozen=True, slots=True)
class Mark:
    """One order: given when (Unix nanoseconds), and whether it is on."""

    at: int
    on: bool


def read_marks(data: Any) -> dict[str, Mark]:
    """Marks as they stand in the file and on the way to the other process; ValueError on anything else."""
    if not isinstance(data, dict) or len(data) > MARKS_MOST:
        raise ValueError("expected an object of orders")
    marks = {}
    for name, pair in data.items():
        match pair:
            case [int(at), bool(on)] if name == DRAIN or name.startswith(OUT):
                marks[name] = Mark(at, on)
            case _:
                raise ValueError(f"an order that cannot be read: {name[:60]!r}")
    return marks


class Operation:
    """The operators' state, and who is told when it changes."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.marks: dict[str, Mark] = {}
        self.left_out: set[str] = set()  # the caches whose mark is on: looked at before each write
        self.listed: OrderedDict[str, None] = OrderedDict()  # ids that the list has ever named, the latest
        self.changed: list[Callable[[str], None]] = []

    @property
    def draining(self) -> bool:
        return self.is_on(DRAIN)

    def banned(self, cache: str) -> bool:
        return cache in self.left_out

    def is_on(self, name: str) -> bool:
        mark = self.marks.get(name)
        return mark is not None and mark.on

    @property
    def out(self) -> list[str]:
        """The caches that are left out."""
        return sorted(self.left_out)

    def saw(self, caches: Iterable[str]) -> None:
        """Ids that the list names: from now on they are known, also once they have gone."""
        for cache in caches:
            self.listed[cache] = None
            self.listed.move_to_end(cache)
        while len(self.listed) > LISTED_MOST:
            self.listed.popitem(last=False)

    def knows(self, cache: str) -> bool:
        return cache in self.listed or OUT + cache in self.marks

    def order(self, name: str, on: bool) -> Mark:
        """An order given to this process. A repeat is an order as well: it holds against any earlier one."""
        if name not in self.marks and len(self.marks) >= MARKS_MOST:
            for old in [each for each, mark in self.marks.items() if not mark.on][:1]:
                del self.marks[old]
            if len(self.marks) >= MARKS_MOST:
                raise TooManyError(f"{MARKS_MOST} orders are kept, all of them in force")
        before = self.marks.get(name)
        mark = Mark(max(time.time_ns(), before.at + 1 if before else 0), on)
        self.take(name, mark)
        return mark

    def take(self, name: str, mark: Mark) -> None:
        """An order from wherever; an earlier one than the one that is known changes nothing."""
        before = self.marks.get(name)
        if before is not None and before.at >= mark.at:
            return
        self.marks[name] = mark
        if name.startswith(OUT):
            (self.left_out.add if mark.on else self.left_out.discard)(name.removeprefix(OUT))
        if mark.on != (before is not None and before.on):
            for tell in self.changed:
                tell(name)

    def take_all(self, marks: Mapping[str, Mark]) -> None:
        for name, mark in marks.items():
            self.take(name, mark)

    def data(self) -> dict[str, list[Any]]:
        return {name: [mark.at, mark.on] for name, mark in self.marks.items()}

    def kept(self) -> str:
        """What `write` keeps. A drain ends with the process, and lives on in the one that replaces it."""
        return json.dumps({name: pair for name, pair in self.data().items() if name != DRAIN})

    def write(self, kept: str) -> None:
        """All bans, whole or not at all: another process may start, and read, at any time. Raises OSError."""
        beside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        beside.write_text(kept)
        beside.replace(self.path)

    def load(self) -> None:
        """What an earlier process has saved. Raises OSError or ValueError where that cannot be read."""
        if self.path.exists():
            self.take_all(read_marks(json.loads(self.path.read_text())))
