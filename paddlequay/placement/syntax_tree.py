"""The syntax tree of a file of placement rules: typed statements with positions, with names unresolved."""

from dataclasses import dataclass, field
from typing import ClassVar, Literal

from paddlequay.placement.grammar import Position

Attribute = Literal["name", "zone", "kind", "cell"]
Spread = Literal["zone", "kind"]


@dataclass(frozen=True, slots=True)
class Name:
    """A name, without its quotes."""

    text: str
    position: Position = field(compare=False)


@dataclass(frozen=True, slots=True)
class WholeNumber:
    """A whole number."""

    value: int
    position: Position = field(compare=False)


@dataclass(frozen=True, slots=True)
class AttributeTerm:
    """The members whose attribute has one of the values."""

    attribute: Attribute
    values: tuple[Name | WholeNumber, ...]
    depth: int = 1


@dataclass(frozen=True, slots=True)
class CellTerm:
    """The members of a cell that the file defines."""

    cell: Name
    depth: int = 1


@dataclass(frozen=True, slots=True)
class Combination:
    """The union, intersection or complement of other expressions; `depth` is the depth of nesting."""

    operator: Literal["or", "and", "not"]
    parts: "tuple[MemberExpression, ...]"
    depth: int


MemberExpression = AttributeTerm | CellTerm | Combination


@dataclass(frozen=True, slots=True)
class RequestMatch:
    """One condition on the requests that a rule matches."""

    attribute: Literal["class", "tenant", "group"]
    values: tuple[Name, ...] | frozenset[int]
    position: Position


@dataclass(frozen=True, slots=True)
class ShardsClause:
    """`64 shards by object`."""

    KEYWORD: ClassVar[str] = "shards"  # names the clause in errors

    count: WholeNumber
    by: str
    position: Position


@dataclass(frozen=True, slots=True)
class CopiesClause:
    """`2 copies over 2 zones`."""

    KEYWORD: ClassVar[str] = "copies"

    count: WholeNumber
    min_domains: WholeNumber | None
    spread: Spread | None
    position: Position


@dataclass(frozen=True, slots=True)
class MembersClause:
    """`among zone north` or `avoid kind small`."""

    keyword: Literal["among", "avoid"]
    members: MemberExpression
    position: Position


@dataclass(frozen=True, slots=True)
class WeightClause:
    """`weigh kind big by 2`."""

    members: MemberExpression
    factor: float


@dataclass(frozen=True, slots=True)
class PinClause:
    """`pin shards 3, 8 through 9 to member m`; ranges include both ends."""

    ranges: tuple[tuple[WholeNumber, WholeNumber], ...]
    member: Name
    position: Position


Clause = ShardsClause | CopiesClause | MembersClause | WeightClause | PinClause


@dataclass(frozen=True, slots=True)
class Declaration:
    """The list of all classes, zones or kinds that the file may name."""

    category: Literal["classes", "zones", "kinds"]
    names: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class PaceStatement:
    """How many shards may migrate in a second."""

    shards_per_s: int
    position: Position


@dataclass(frozen=True, slots=True)
class CellStatement:
    """The definition of a cell."""

    name: Name
    members: MemberExpression


@dataclass(frozen=True, slots=True)
class TenantStatement:
    """A tenant that is confined to a cell; `load_share` is its share of the total load, from 0 to 1."""

    name: Name
    cell: Name
    load_share: float | None


@dataclass(frozen=True, slots=True)
class RuleStatement:
    """A rule; if `precedence` is None, it is the fallback."""

    name: Name
    precedence: WholeNumber | None
    matches: tuple[RequestMatch, ...]
    clauses: tuple[Clause, ...]


Statement = Declaration | PaceStatement | CellStatement | TenantStatement | RuleStatement
