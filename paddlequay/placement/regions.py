"""Sets of things by their attributes, with exact union, difference and emptiness.

A thing is a tuple of values, one for each attribute. A box names for each attribute which values it takes:
these, or all but these; a region is a union of boxes. That is enough to say without trying any list whether a
rule is ever reached, or a member can be among those of a cell. All work is counted, so that no file takes
longer than `Work` allows.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Value = str | int | None


class TooMuchError(ValueError):
    """More work than a file of rules may ask for."""


class Work:
    """Steps that may still be taken; counted, not clocked, so that all machines refuse the same files."""

    def __init__(self, most: int) -> None:
        self.most = self.left = most

    def spend(self, steps: int) -> None:
        self.left -= steps
        if self.left < 0:
            raise TooMuchError(f"more than {self.most} steps")


@dataclass(frozen=True, slots=True)
class Some:
    """These values or, with `but`, all others."""

    values: frozenset[Value] = frozenset()
    but: bool = False

    def __contains__(self, value: object) -> bool:
        return (value in self.values) is not self.but

    @property
    def empty(self) -> bool:
        return not self.values and not self.but

    def meet(self, other: "Some") -> "Some":
        if self.but:
            return Some(self.values | other.values, True) if other.but else Some(other.values - self.values)
        return Some(self.values - other.values if other.but else self.values & other.values)

    def others(self) -> "Some":
        return Some(self.values, not self.but)


ANY = Some(but=True)
Box = tuple[Some, ...]
Region = tuple[Box, ...]


def these(values: Iterable[Value]) -> Some:
    return Some(frozenset(values))


def boxed(count: int, at: int, some: Some) -> Region:
    """All things whose attribute `at` of `count` is in `some`."""
    return (tuple(some if n == at else ANY for n in range(count)),)


def cost(*boxes: Box) -> int:
    """Steps to compare boxes: some 3 µs each, of which 64 values take about as long as all the rest."""
    return 1 + sum(len(some.values) for box in boxes for some in box) // 64


def both(a: Box, b: Box, work: Work) -> Box | None:
    """What is in both, or `None` for nothing."""
    work.spend(cost(a, b))
    met = tuple(x.meet(y) for x, y in zip(a, b, strict=True))
    return None if any(some.empty for some in met) else met


def without(box: Box, other: Box, work: Work) -> list[Box]:
    """`box` less `other`, as boxes that do not overlap, no more than there are attributes."""
    met = both(box, other, work)
    if met is None:
        return [box]
    pieces = []
    for n, some in enumerate(box):
        rest = some.meet(other[n].others())
        if not rest.empty:
            pieces.append((*met[:n], rest, *box[n + 1 :]))
    return pieces


def meet(a: Region, b: Region, work: Work) -> Region:
    return tuple(met for x in a for y in b if (met := both(x, y, work)) is not None)


def less(a: Region, b: Region, work: Work) -> Region:
    left = list(a)
    for other in b:
        left = [piece for box in left for piece in without(box, other, work)]
    return tuple(left)


def holds(region: Region, thing: Sequence[Value]) -> bool:
    return any(all(value in some for value, some in zip(thing, box, strict=True)) for box in region)


def most(region: Region, at: int) -> int | None:
    """How many values of attribute `at` the region can have at most; `None`: no bound."""
    if any(box[at].but for box in region):
        return None
    return len(frozenset[Value]().union(*(box[at].values for box in region)))
