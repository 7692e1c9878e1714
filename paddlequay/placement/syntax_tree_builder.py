"""Builds the syntax tree of a file of placement rules from the parser's tokens; checks bounds of numbers."""

from functools import cache
from typing import Any, Literal

from lark import Token, Transformer, v_args

from paddlequay.placement.grammar import (
    MAX_NAME_CHARS,
    MAX_NUMBER_DIGITS,
    MAX_TOKEN_CHARS,
    Position,
    RuleParser,
    RuleTextError,
    Source,
    token_position,
)
from paddlequay.placement.syntax_tree import (
    AttributeTerm,
    CellStatement,
    CellTerm,
    Clause,
    Combination,
    CopiesClause,
    Declaration,
    MemberExpression,
    MembersClause,
    Name,
    PaceStatement,
    PinClause,
    RequestMatch,
    RuleStatement,
    ShardsClause,
    Spread,
    Statement,
    TenantStatement,
    WeightClause,
    WholeNumber,
)

MAX_NESTING = 16  # of parentheses and "not"
MAX_GROUP = 4_095  # the highest group number that rules can match
MAX_SHARDS = 65_536  # of one rule; as many as slots of `homes`, so that each shard has at least one slot
MAX_COPIES = 16
MAX_PRECEDENCE = 1_000_000
MAX_SHARDS_PER_S = 1_000_000
MIN_WEIGHT_FACTOR = 0.01
MAX_WEIGHT_FACTOR = 100.0


def read_number(token: Token, minimum: float, maximum: float) -> float:
    """Returns the value of a number after checking its bounds, both ends included.

    Raises:
        RuleTextError: The number is out of bounds or has too many digits.
    """
    digits = len(token) - token.count(".")
    value = float(token) if digits <= MAX_NUMBER_DIGITS else None
    if value is None or not minimum <= value <= maximum:
        shown = str(token)[:MAX_TOKEN_CHARS]
        message = f"expected a number from {minimum:g} to {maximum:g}, got {shown}"
        raise RuleTextError(token_position(token), message)
    return value


def read_whole_number(token: Token, minimum: int, maximum: int) -> WholeNumber:
    """Returns a whole number after checking its bounds, both ends included.

    Raises:
        RuleTextError: The number is not whole, out of bounds or has too many digits.
    """
    is_whole = "." not in token and len(token) <= MAX_NUMBER_DIGITS
    if not is_whole or not minimum <= int(token) <= maximum:
        shown = str(token)[:MAX_TOKEN_CHARS]
        message = f"expected a whole number from {minimum} to {maximum}, got {shown}"
        raise RuleTextError(token_position(token), message)
    return WholeNumber(int(token), token_position(token))


def read_range(first: Token, last: Token | None, maximum: int) -> tuple[WholeNumber, WholeNumber]:
    """Returns both ends of a range of numbers from 0 to `maximum`; a single number is a range of one.

    Raises:
        RuleTextError: An end is out of bounds, or the last number is below the first.
    """
    low = read_whole_number(first, 0, maximum)
    if last is None:
        return low, low
    high = read_whole_number(last, 0, maximum)
    if high.value < low.value:
        raise RuleTextError(high.position, f"expected a number of at least {low.value}, got {high.value}")
    return low, high


RangeTokens = tuple[Token, Token | None]


@v_args(inline=True)
class TreeBuilder(Transformer[Token, Any]):
    """Builds the tree from the parser's tokens; each method handles the grammar rule of the same name."""

    def start(self, *statements: Statement) -> tuple[Statement, ...]:
        """Returns all statements in the order of the file."""
        return statements

    def name(self, token: Token) -> Name:
        """Returns a name without its quotes."""
        text = str(token)[1:-1] if token.type == "QUOTED" else str(token)
        if len(text) > MAX_NAME_CHARS:
            message = f"expected a name of at most {MAX_NAME_CHARS} characters"
            raise RuleTextError(token_position(token), message)
        return Name(text, token_position(token))

    def names(self, *names: Name) -> tuple[Name, ...]:
        """Returns a list of names."""
        return names

    def range(self, first: Token, last: Token | None) -> RangeTokens:
        """Returns the tokens of a range; the clause or condition that it is part of checks its bounds."""
        return first, last

    def ranges(self, *ranges: RangeTokens) -> tuple[RangeTokens, ...]:
        """Returns a list of ranges."""
        return ranges

    def classes(self, names: tuple[Name, ...]) -> Declaration:
        """Returns the declaration of all classes."""
        return Declaration("classes", names)

    def zones(self, names: tuple[Name, ...]) -> Declaration:
        """Returns the declaration of all zones."""
        return Declaration("zones", names)

    def kinds(self, names: tuple[Name, ...]) -> Declaration:
        """Returns the declaration of all kinds."""
        return Declaration("kinds", names)

    def pace(self, keyword: Token, count: Token) -> PaceStatement:
        """Returns the pace of migrations."""
        return PaceStatement(read_whole_number(count, 1, MAX_SHARDS_PER_S).value, token_position(keyword))

    def cell(self, name: Name, members: MemberExpression) -> CellStatement:
        """Returns the definition of a cell."""
        return CellStatement(name, members)

    def tenant(self, name: Name, cell: Name, percent: Token | None) -> TenantStatement:
        """Returns the statement that confines a tenant to a cell."""
        share = None if percent is None else read_number(percent, 0, 100) / 100
        return TenantStatement(name, cell, share)

    def rule(
        self,
        name: Name,
        precedence: Token,
        matches: tuple[RequestMatch, ...],
        clauses: tuple[Clause, ...],
    ) -> RuleStatement:
        """Returns a rule."""
        return RuleStatement(name, read_whole_number(precedence, 0, MAX_PRECEDENCE), matches, clauses)

    def fallback(self, keyword: Token, clauses: tuple[Clause, ...]) -> RuleStatement:
        """Returns the fallback, a rule without precedence."""
        return RuleStatement(Name(str(keyword), token_position(keyword)), None, (), clauses)

    def requests(self, *matches: RequestMatch) -> tuple[RequestMatch, ...]:
        """Returns the conditions on a rule's requests; without conditions the rule matches all requests."""
        return matches

    def of_class(self, keyword: Token, names: tuple[Name, ...]) -> RequestMatch:
        """Returns a condition on the class."""
        return RequestMatch("class", names, token_position(keyword))

    def of_tenant(self, keyword: Token, names: tuple[Name, ...]) -> RequestMatch:
        """Returns a condition on the tenant."""
        return RequestMatch("tenant", names, token_position(keyword))

    def of_group(self, keyword: Token, ranges: tuple[RangeTokens, ...]) -> RequestMatch:
        """Returns a condition on the group."""
        spans = [read_range(first, last, MAX_GROUP) for first, last in ranges]
        groups = frozenset(n for low, high in spans for n in range(low.value, high.value + 1))
        return RequestMatch("group", groups, token_position(keyword))

    def clauses(self, *clauses: Clause) -> tuple[Clause, ...]:
        """Returns the clauses of a rule."""
        return clauses

    def by(self, *keywords: Token | None) -> str:
        """Returns the attributes that decide the shard of an object."""
        return " and ".join(str(keyword) for keyword in keywords if keyword is not None)

    def shards(self, count: Token, by: str) -> ShardsClause:
        """Returns the number of shards."""
        number = read_whole_number(count, 1, MAX_SHARDS)
        return ShardsClause(number, by, number.position)

    def copies(self, count: Token, domain_count: Token | None, spread: Spread | None) -> CopiesClause:
        """Returns the number of copies and how they are spread."""
        number = read_whole_number(count, 1, MAX_COPIES)
        min_domains = None if domain_count is None else read_whole_number(domain_count, 1, MAX_COPIES)
        return CopiesClause(number, min_domains, spread, number.position)

    def spread(self, keyword: Token) -> str:
        """Returns the attribute over which copies are spread."""
        return str(keyword).removesuffix("s")

    def among(self, keyword: Token, members: MemberExpression) -> MembersClause:
        """Returns the members that a rule may use."""
        return MembersClause("among", members, token_position(keyword))

    def avoid(self, keyword: Token, members: MemberExpression) -> MembersClause:
        """Returns the members that a rule may not use."""
        return MembersClause("avoid", members, token_position(keyword))

    def weigh(self, _: Token, members: MemberExpression, factor: Token) -> WeightClause:
        """Returns a factor on the weight of the members of an expression."""
        return WeightClause(members, read_number(factor, MIN_WEIGHT_FACTOR, MAX_WEIGHT_FACTOR))

    def pin(self, keyword: Token, ranges: tuple[RangeTokens, ...], member: Name) -> PinClause:
        """Returns shards that are pinned to a member."""
        spans = tuple(read_range(first, last, MAX_SHARDS - 1) for first, last in ranges)
        return PinClause(spans, member, token_position(keyword))

    def union(self, *parts: MemberExpression) -> MemberExpression:
        """Returns expressions joined by `or`."""
        return combine("or", parts)

    def intersection(self, *parts: MemberExpression) -> MemberExpression:
        """Returns expressions joined by `and`."""
        return combine("and", parts)

    def negation(self, keyword: Token, members: MemberExpression) -> MemberExpression:
        """Returns the complement of an expression."""
        return Combination("not", (members,), nested_depth(members, token_position(keyword)))

    def parenthesized(self, members: MemberExpression) -> MemberExpression:
        """Returns an expression in parentheses, which add a level of nesting even around a single term."""
        first_term = members
        while isinstance(first_term, Combination):
            first_term = first_term.parts[0]
        position = (
            first_term.cell.position if isinstance(first_term, CellTerm) else first_term.values[0].position
        )
        return Combination("or", (members,), nested_depth(members, position))

    def by_member(self, _: Token, names: tuple[Name, ...]) -> AttributeTerm:
        """Returns the members of the given names."""
        return AttributeTerm("name", names)

    def by_zone(self, _: Token, names: tuple[Name, ...]) -> AttributeTerm:
        """Returns the members of the given zones."""
        return AttributeTerm("zone", names)

    def by_kind(self, _: Token, names: tuple[Name, ...]) -> AttributeTerm:
        """Returns the members of the given kinds."""
        return AttributeTerm("kind", names)

    def by_number(self, _: Token, number: Token) -> AttributeTerm:
        """Returns the members whose cell in the endpoint list has the given number."""
        return AttributeTerm("cell", (read_whole_number(number, 0, 10**MAX_NUMBER_DIGITS - 1),))

    def by_cell(self, _: Token, name: Name) -> CellTerm:
        """Returns the members of a cell that the file defines."""
        return CellTerm(name)


def combine(operator: Literal["or", "and"], parts: tuple[MemberExpression, ...]) -> MemberExpression:
    """Returns expressions joined by an operator, or a single expression as it is."""
    if len(parts) == 1:
        return parts[0]
    return Combination(operator, parts, max(part.depth for part in parts))


def nested_depth(members: MemberExpression, position: Position) -> int:
    """Returns the depth of an expression after adding one level of nesting.

    Raises:
        RuleTextError: The nesting is deeper than `MAX_NESTING`.
    """
    if members.depth >= MAX_NESTING:
        message = f'expected at most {MAX_NESTING} of "(" and "not" within one another'
        raise RuleTextError(position, message)
    return members.depth + 1


@cache
def rule_parser() -> RuleParser:
    """Returns the parser, created when the first file is read, since that takes some tens of milliseconds."""
    return RuleParser(TreeBuilder())


def parse_rules(source: Source) -> tuple[Statement, ...]:
    """Returns the statements of a text.

    Raises:
        ConfigError: The text does not conform to the language; the error shows the position.
    """
    result: tuple[Statement, ...] = rule_parser().parse(source)
    return result
