"""Sets of members or requests by their attributes, with exact intersection, difference and emptiness.

An item is a tuple of values, one for each attribute. A conjunction has one set of values for each attribute:
either the given values or all others. A region is a union of conjunctions. These operations decide without a
list of members whether any request can reach a rule, or any member can be in a cell. All work is counted in
steps, so that no file takes longer than its `WorkBudget` allows.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from paddlequay.errors import PaddlequayError

Value = str | int | None

VALUES_PER_STEP = 64  # comparing this many values takes about as long as the rest of a step


class WorkLimitError(PaddlequayError, ValueError):
    """Processing a file of rules takes more steps than its `WorkBudget` allows.

    Attributes:
        max_steps: The number of steps that were allowed.
    """

    def __init__(self, max_steps: int) -> None:
        super().__init__(f"more than {max_steps} steps")
        self.max_steps = max_steps


class WorkBudget:
    """The number of steps left. Steps are counted, not timed, so that all machines refuse the same files."""

    def __init__(self, max_steps: int) -> None:
        self.max_steps = max_steps
        self.steps_left = max_steps

    def spend(self, steps: int) -> None:
        """Takes steps from the budget; raises `WorkLimitError` once it is exceeded."""
        self.steps_left -= steps
        if self.steps_left < 0:
            raise WorkLimitError(self.max_steps)


@dataclass(frozen=True, slots=True)
class ValueSet:
    """These values or, if `complement` is set, all others."""

    values: frozenset[Value] = frozenset()
    complement: bool = False

    def __contains__(self, value: object) -> bool:
        return (value in self.values) is not self.complement

    @property
    def is_empty(self) -> bool:
        """Whether no value is in the set."""
        return not self.values and not self.complement

    def intersection(self, other: "ValueSet") -> "ValueSet":
        """Returns the values that are in both sets."""
        if self.complement and other.complement:
            return ValueSet(self.values | other.values, True)
        if self.complement:
            return ValueSet(other.values - self.values)
        if other.complement:
            return ValueSet(self.values - other.values)
        return ValueSet(self.values & other.values)

    def inverted(self) -> "ValueSet":
        """Returns the values that are not in the set."""
        return ValueSet(self.values, not self.complement)


ANY = ValueSet(complement=True)
Conjunction = tuple[ValueSet, ...]
Region = tuple[Conjunction, ...]


def value_set(values: Iterable[Value]) -> ValueSet:
    """Returns the set of these values."""
    return ValueSet(frozenset(values))


def attribute_region(attribute_count: int, index: int, values: ValueSet) -> Region:
    """Returns the items whose attribute `index`, of `attribute_count`, has one of the values."""
    return (tuple(values if n == index else ANY for n in range(attribute_count)),)


def comparison_steps(*conjunctions: Conjunction) -> int:
    """Returns the number of steps to compare conjunctions; one step takes about 3 µs."""
    return (
        1
        + sum(len(values.values) for conjunction in conjunctions for values in conjunction) // VALUES_PER_STEP
    )


def intersect_conjunctions(a: Conjunction, b: Conjunction, work: WorkBudget) -> Conjunction | None:
    """Returns the intersection of two conjunctions, None if it is empty."""
    work.spend(comparison_steps(a, b))
    common = tuple(x.intersection(y) for x, y in zip(a, b, strict=True))
    return None if any(values.is_empty for values in common) else common


def subtract_conjunction(conjunction: Conjunction, other: Conjunction, work: WorkBudget) -> list[Conjunction]:
    """Returns `conjunction` minus `other` as disjoint conjunctions, at most one for each attribute."""
    common = intersect_conjunctions(conjunction, other, work)
    if common is None:
        return [conjunction]
    pieces = []
    for n, values in enumerate(conjunction):
        rest = values.intersection(other[n].inverted())
        if not rest.is_empty:
            pieces.append((*common[:n], rest, *conjunction[n + 1 :]))
    return pieces


def intersect_regions(a: Region, b: Region, work: WorkBudget) -> Region:
    """Returns the intersection of two regions."""
    return tuple(common for x in a for y in b if (common := intersect_conjunctions(x, y, work)) is not None)


def subtract_region(a: Region, b: Region, work: WorkBudget) -> Region:
    """Returns region `a` minus region `b`."""
    rest = list(a)
    for other in b:
        rest = [piece for conjunction in rest for piece in subtract_conjunction(conjunction, other, work)]
    return tuple(rest)


def contains(region: Region, item: Sequence[Value]) -> bool:
    """Returns whether an item is in a region."""
    return any(
        all(value in values for value, values in zip(item, conjunction, strict=True))
        for conjunction in region
    )


def max_value_count(region: Region, index: int) -> int | None:
    """Returns how many values of attribute `index` a region has at most, None if unbounded."""
    if any(conjunction[index].complement for conjunction in region):
        return None
    return len(frozenset[Value]().union(*(conjunction[index].values for conjunction in region)))
