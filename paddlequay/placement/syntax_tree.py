"""The sentences of a file of rules, as they stand there: typed, with their places, nothing looked up yet."""

from dataclasses import dataclass, field
from functools import cache
from typing import Any, Literal

from lark import Token, Transformer, v_args

from paddlequay.placement.grammar import (
    DIGITS_MOST,
    NAME_MOST,
    Language,
    MisplacedError,
    Place,
    Source,
    place_of,
)

NESTING_MOST = 16  # parentheses and "not" within one another
GROUP_MOST = 4_095  # the highest number of a group that rules can tell apart
SHARDS_MOST = 65_536  # of one rule: the slots of `homes`, so that a shard is never less than a slot
COPIES_MOST = 16
PRECEDENCE_MOST = 1_000_000
PACE_MOST = 1_000_000  # shards a second
WEIGHT_RANGE = (0.01, 100.0)

Attribute = Literal["name", "zone", "kind", "cell"]


@dataclass(frozen=True, slots=True)
class Name:
    text: str
    place: Place = field(compare=False)


@dataclass(frozen=True, slots=True)
class Whole:
    value: int
    place: Place = field(compare=False)


@dataclass(frozen=True, slots=True)
class Which:
    """Members by an attribute."""

    attribute: Attribute
    values: tuple[Name | Whole, ...]
    depth: int = 1


@dataclass(frozen=True, slots=True)
class InCell:
    cell: Name
    depth: int = 1


@dataclass(frozen=True, slots=True)
class Join:
    """`or`, `and` or `not` of others."""

    how: Literal["or", "and", "not"]
    parts: "tuple[Who, ...]"
    depth: int


Who = Which | InCell | Join


@dataclass(frozen=True, slots=True)
class Declared:
    what: Literal["classes", "zones", "kinds"]
    names: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class Pace:
    shards: int
    place: Place


@dataclass(frozen=True, slots=True)
class CellIs:
    name: Name
    who: Who


@dataclass(frozen=True, slots=True)
class TenantStays:
    name: Name
    cell: Name
    share: float | None  # of 1


@dataclass(frozen=True, slots=True)
class For:
    """One part of what a rule is for."""

    what: Literal["class", "tenant", "group"]
    values: tuple[Name, ...] | frozenset[int]
    place: Place


@dataclass(frozen=True, slots=True)
class Shards:
    count: Whole
    by: str
    place: Place


@dataclass(frozen=True, slots=True)
class Copies:
    count: Whole
    over: Whole | None
    spread: Literal["zone", "kind"] | None
    place: Place


@dataclass(frozen=True, slots=True)
class Choice:
    """`among` or `avoid`."""

    how: Literal["among", "avoid"]
    who: Who
    place: Place


@dataclass(frozen=True, slots=True)
class Weigh:
    who: Who
    by: float


@dataclass(frozen=True, slots=True)
class Pin:
    ranges: tuple[tuple[Whole, Whole], ...]
    member: Name
    place: Place


Clause = Shards | Copies | Choice | Weigh | Pin


@dataclass(frozen=True, slots=True)
class Spoken:
    """A rule as it stands; without `precedence` it is the last one."""

    name: Name
    precedence: Whole | None
    matches: tuple[For, ...]
    clauses: tuple[Clause, ...]


Statement = Declared | Pace | CellIs | TenantStays | Spoken


def number(token: Token, low: float, high: float) -> float:
    """The value of a number; `low` and `high` are allowed."""
    digits = len(token) - token.count(".")
    value = float(token) if digits <= DIGITS_MOST else None
    if value is None or not low <= value <= high:
        raise MisplacedError(
            place_of(token), f"expected a number from {low:g} to {high:g}, got {str(token)[:40]}"
        )
    return value


def whole(token: Token, low: int, high: int) -> Whole:
    if "." in token or len(token) > DIGITS_MOST or not low <= int(token) <= high:
        said = f"expected a whole number from {low} to {high}, got {str(token)[:40]}"
        raise MisplacedError(place_of(token), said)
    return Whole(int(token), place_of(token))


def span(first: Token, last: Token | None, most: int) -> tuple[Whole, Whole]:
    low = whole(first, 0, most)
    if last is None:
        return low, low
    high = whole(last, 0, most)
    if high.value < low.value:
        raise MisplacedError(high.place, f"expected a number from {low.value} on, got {high.value}")
    return low, high


@v_args(inline=True)
class Reader(Transformer[Token, Any]):
    """From the parser's tokens; each method is the sentence of that name in the grammar."""

    def start(self, *statements: Statement) -> tuple[Statement, ...]:
        return statements

    def name(self, token: Token) -> Name:
        text = str(token)[1:-1] if token.type == "QUOTED" else str(token)
        if len(text) > NAME_MOST:
            raise MisplacedError(place_of(token), f"expected a name of at most {NAME_MOST} characters")
        return Name(text, place_of(token))

    def names(self, *names: Name) -> tuple[Name, ...]:
        return names

    def range(self, first: Token, last: Token | None) -> tuple[Token, Token | None]:
        return first, last

    def ranges(self, *ranges: tuple[Token, Token | None]) -> tuple[tuple[Token, Token | None], ...]:
        return ranges

    def classes(self, names: tuple[Name, ...]) -> Declared:
        return Declared("classes", names)

    def zones(self, names: tuple[Name, ...]) -> Declared:
        return Declared("zones", names)

    def kinds(self, names: tuple[Name, ...]) -> Declared:
        return Declared("kinds", names)

    def pace(self, word: Token, count: Token) -> Pace:
        return Pace(whole(count, 1, PACE_MOST).value, place_of(word))

    def cell(self, name: Name, who: Who) -> CellIs:
        return CellIs(name, who)

    def tenant(self, name: Name, cell: Name, share: Token | None) -> TenantStays:
        return TenantStays(name, cell, None if share is None else number(share, 0, 100) / 100)

    def rule(
        self, name: Name, precedence: Token, what: tuple[For, ...], clauses: tuple[Clause, ...]
    ) -> Spoken:
        return Spoken(name, whole(precedence, 0, PRECEDENCE_MOST), what, clauses)

    def fallback(self, word: Token, clauses: tuple[Clause, ...]) -> Spoken:
        return Spoken(Name(str(word), place_of(word)), None, (), clauses)

    def what(self, *matches: For) -> tuple[For, ...]:
        return matches

    def of_class(self, word: Token, names: tuple[Name, ...]) -> For:
        return For("class", names, place_of(word))

    def of_tenant(self, word: Token, names: tuple[Name, ...]) -> For:
        return For("tenant", names, place_of(word))

    def of_group(self, word: Token, ranges: tuple[tuple[Token, Token | None], ...]) -> For:
        spans = [span(first, last, GROUP_MOST) for first, last in ranges]
        groups = frozenset(n for low, high in spans for n in range(low.value, high.value + 1))
        return For("group", groups, place_of(word))

    def clauses(self, *clauses: Clause) -> tuple[Clause, ...]:
        return clauses

    def by(self, *words: Token | None) -> str:
        return " and ".join(str(word) for word in words if word is not None)

    def shards(self, count: Token, by: str) -> Shards:
        held = whole(count, 1, SHARDS_MOST)
        return Shards(held, by, held.place)

    def copies(self, count: Token, over: Token | None, spread: Literal["zone", "kind"] | None) -> Copies:
        held = whole(count, 1, COPIES_MOST)
        return Copies(held, None if over is None else whole(over, 1, COPIES_MOST), spread, held.place)

    def spread(self, word: Token) -> str:
        return str(word).removesuffix("s")

    def among(self, word: Token, who: Who) -> Choice:
        return Choice("among", who, place_of(word))

    def avoid(self, word: Token, who: Who) -> Choice:
        return Choice("avoid", who, place_of(word))

    def weigh(self, _: Token, who: Who, by: Token) -> Weigh:
        return Weigh(who, number(by, *WEIGHT_RANGE))

    def pin(self, word: Token, ranges: tuple[tuple[Token, Token | None], ...], member: Name) -> Pin:
        spans = tuple(span(first, last, SHARDS_MOST - 1) for first, last in ranges)
        return Pin(spans, member, place_of(word))

    def either(self, *parts: Who) -> Who:
        return joined("or", parts)

    def both(self, *parts: Who) -> Who:
        return joined("and", parts)

    def other(self, word: Token, who: Who) -> Who:
        return Join("not", (who,), deeper(who, place_of(word)))

    def nested(self, who: Who) -> Who:
        first = who
        while isinstance(first, Join):
            first = first.parts[0]
        place = first.cell.place if isinstance(first, InCell) else first.values[0].place
        deeper(who, place)
        # A pair of parentheses counts even where it holds one thing only.
        return Join("or", (who,), who.depth + 1)

    def by_member(self, _: Token, names: tuple[Name, ...]) -> Which:
        return Which("name", names)

    def by_zone(self, _: Token, names: tuple[Name, ...]) -> Which:
        return Which("zone", names)

    def by_kind(self, _: Token, names: tuple[Name, ...]) -> Which:
        return Which("kind", names)

    def by_number(self, _: Token, count: Token) -> Which:
        return Which("cell", (whole(count, 0, 10**DIGITS_MOST - 1),))

    def by_cell(self, _: Token, name: Name) -> InCell:
        return InCell(name)


def joined(how: Literal["or", "and"], parts: tuple[Who, ...]) -> Who:
    return parts[0] if len(parts) == 1 else Join(how, parts, max(part.depth for part in parts))


def deeper(who: Who, place: Place) -> int:
    if who.depth >= NESTING_MOST:
        raise MisplacedError(place, f'expected at most {NESTING_MOST} of "(" and "not" within one another')
    return who.depth + 1


@cache
def language() -> Language:
    """Made once, when the first file is read: some tens of milliseconds."""
    return Language(Reader())


def spoken(source: Source) -> tuple[Statement, ...]:
    """The sentences of a text; `ConfigError` with the place where it is none of the language."""
    result: tuple[Statement, ...] = language().parse(source)
    return result
