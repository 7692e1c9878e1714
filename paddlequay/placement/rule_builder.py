"""Resolves the names in a syntax tree, and builds the rules from it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from paddlequay.placement.grammar import Position, Source
from paddlequay.placement.regions import (
    ANY,
    Conjunction,
    Region,
    Value,
    ValueSet,
    WorkBudget,
    attribute_region,
    intersect_regions,
    subtract_region,
    value_set,
)
from paddlequay.placement.rules import (
    ALL_MEMBERS,
    MEMBER_ATTRIBUTES,
    REQUEST_ATTRIBUTES,
    Cell,
    Rule,
    RuleSet,
    Tenant,
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
    Statement,
    TenantStatement,
    WeightClause,
)

MAX_RULES = 256
MAX_CELLS = 64
MAX_TENANTS = 1_024
MAX_SHOWN_NAMES = 8  # declared names that an error lists

# The order in which statements are resolved. Only cells have to be defined before statements that use them.
RESOLUTION_ORDER = (Declaration, PaceStatement, CellStatement, TenantStatement, RuleStatement)


@dataclass(slots=True)
class RuleClauses:
    """The clauses of a rule that is being built, and the positions of its name and keywords."""

    positions: dict[str, Position]
    shards: ShardsClause | None = None
    copies: CopiesClause | None = None
    members: Region = ALL_MEMBERS
    weights: list[tuple[Region, float]] = field(default_factory=list)
    pins: list[PinClause] = field(default_factory=list)


class NameResolver:
    """The names that a file declares and defines so far; each error is a `ConfigError` with its position."""

    def __init__(self, source: Source, work: WorkBudget) -> None:
        self.source = source
        self.work = work
        self.declared: dict[str, tuple[Name, ...]] = {}
        self.cells: dict[str, Cell] = {}

    def declare(self, declaration: Declaration) -> None:
        """Records a list of all classes, zones or kinds that the file may name."""
        category = declaration.category
        names = declaration.names
        if category in self.declared:
            raise self.source.error(names[0].position, f"expected {category} to be listed once")
        self.require_unique(names, f"of the {category}")
        self.declared[category] = names

    def require_new(self, name: Name, noun: str, known: Collection[str], max_count: int) -> None:
        """Raises if a name of a rule, cell or tenant (`noun`) is defined twice, or if there are too many."""
        if name.text in known:
            message = f"expected a new name, got {noun} {name.text!r} a second time"
            raise self.source.error(name.position, message)
        if len(known) >= max_count:
            raise self.source.error(name.position, f"expected at most {max_count} {noun}s")

    def require_unique(self, names: Iterable[Name], noun: str) -> None:
        """Raises if a list has a name twice; `noun` says in the error what the names are."""
        texts: set[str] = set()
        for name in names:
            if name.text in texts:
                message = f"expected each {noun} once, got {name.text!r} again"
                raise self.source.error(name.position, message)
            texts.add(name.text)

    def require_declared(self, names: Iterable[Name], category: str) -> None:
        """Raises for a name that is missing from the file's list of that category, if it has such a list."""
        declared = self.declared.get(category)
        if declared is None:
            return
        texts = [name.text for name in declared]
        for name in names:
            if name.text not in texts:
                shown = ", ".join(texts[:MAX_SHOWN_NAMES])
                message = f"expected one of the {category} ({shown}), got {name.text!r}"
                raise self.source.error(name.position, message)

    def cell(self, name: Name) -> Cell:
        """Returns the cell of a name; raises if that is not defined yet."""
        cell = self.cells.get(name.text)
        if cell is None:
            message = f"expected the name of a cell that is defined above, got {name.text!r}"
            raise self.source.error(name.position, message)
        return cell

    def region(self, expression: MemberExpression) -> Region:
        """Returns the region of an expression; `MAX_NESTING` bounds the recursion."""
        match expression:
            case CellTerm(name):
                return self.cell(name).members
            case AttributeTerm():
                return self.attribute_region(expression)
            case Combination():
                return self.combined_region(expression)

    def attribute_region(self, term: AttributeTerm) -> Region:
        """Returns the region of members whose attribute has one of the values."""
        names = [value for value in term.values if isinstance(value, Name)]
        if term.attribute in ("zone", "kind"):
            self.require_declared(names, f"{term.attribute}s")
        values: list[Value] = [
            value.text if isinstance(value, Name) else value.value for value in term.values
        ]
        index = MEMBER_ATTRIBUTES.index(term.attribute)
        return attribute_region(len(MEMBER_ATTRIBUTES), index, value_set(values))

    def combined_region(self, combination: Combination) -> Region:
        """Returns the region of a union, intersection or complement of expressions."""
        regions = [self.region(part) for part in combination.parts]
        if combination.operator == "not":
            return subtract_region(ALL_MEMBERS, regions[0], self.work)
        result = regions[0]
        for region in regions[1:]:
            if combination.operator == "and":
                result = intersect_regions(result, region, self.work)
            else:
                self.work.spend(len(result))
                result = result + region
        return result


class RuleBuilder:
    """Builds the rules of one file."""

    def __init__(self, source: Source, work: WorkBudget) -> None:
        self.source = source
        self.work = work
        self.names = NameResolver(source, work)
        self.tenants: dict[str, Tenant] = {}
        self.rules: dict[str, Rule] = {}
        self.shards_per_s: int | None = None

    def build(self, statements: tuple[Statement, ...]) -> RuleSet:
        """Returns the rules of a file's statements.

        Raises:
            ConfigError: A name is unknown or defined twice, or there are too many definitions.
            WorkLimitError: Resolving takes more work than the budget allows.
        """
        for statement_type in RESOLUTION_ORDER:
            for statement in statements:
                if isinstance(statement, statement_type):
                    self.add(statement)
        ranked = [(r.precedence is None, -(r.precedence or 0), r.name) for r in self.rules.values()]
        declared = self.names.declared
        return RuleSet(
            source=self.source,
            rules=tuple(self.rules[name] for _, _, name in sorted(ranked)),
            cells=self.names.cells,
            tenants=self.tenants,
            shards_per_s=self.shards_per_s,
            classes=declared.get("classes"),
            zones=declared.get("zones"),
            kinds=declared.get("kinds"),
        )

    def add(self, statement: Statement) -> None:
        """Adds what one statement declares or defines."""
        match statement:
            case Declaration():
                self.names.declare(statement)
            case PaceStatement(shards_per_s, position):
                if self.shards_per_s is not None:
                    raise self.source.error(position, "expected one pace of moves, got a second")
                self.shards_per_s = shards_per_s
            case CellStatement(name, members):
                self.names.require_new(name, "cell", self.names.cells, MAX_CELLS)
                self.names.cells[name.text] = Cell(name.text, self.names.region(members), name.position)
            case TenantStatement(name, cell, share):
                self.names.require_new(name, "tenant", self.tenants, MAX_TENANTS)
                cell_name = self.names.cell(cell).name
                self.tenants[name.text] = Tenant(name.text, cell_name, share, name.position)
            case RuleStatement():
                self.names.require_new(statement.name, "rule", self.rules, MAX_RULES)
                self.rules[statement.name.text] = self.build_rule(statement)

    def build_rule(self, statement: RuleStatement) -> Rule:
        """Returns the rule of a statement."""
        requests, positions = self.resolve_requests(statement)
        if statement.precedence is not None:
            positions["precedence"] = statement.precedence.position
        clauses = RuleClauses(positions)
        for clause in statement.clauses:
            self.add_clause(clause, clauses)
        shards = clauses.shards
        copies = clauses.copies
        if shards is None:
            message = 'expected a rule with a number of shards ("64 shards by object")'
            raise self.source.error(statement.name.position, message)
        return Rule(
            name=statement.name.text,
            precedence=None if statement.precedence is None else statement.precedence.value,
            requests=requests,
            shards=shards.count.value,
            shard_by=shards.by,
            copies=1 if copies is None else copies.count.value,
            min_domains=1 if copies is None or copies.min_domains is None else copies.min_domains.value,
            spread=None if copies is None else copies.spread,
            members=clauses.members,
            weights=tuple(clauses.weights),
            pins=self.resolve_pins(clauses.pins, shards.count.value, positions),
            positions=positions,
        )

    def resolve_requests(self, statement: RuleStatement) -> tuple[Conjunction, dict[str, Position]]:
        """Returns the requests that a rule matches, and the positions of its name and conditions."""
        parts: dict[str, ValueSet] = {}
        positions: dict[str, Position] = {"rule": statement.name.position}
        for match in statement.matches:
            if match.attribute in parts:
                message = f"expected one {match.attribute} condition in a rule, got a second"
                raise self.source.error(match.position, message)
            parts[match.attribute] = self.resolve_match(match)
            positions[match.attribute] = match.position
        return tuple(parts.get(attribute, ANY) for attribute in REQUEST_ATTRIBUTES), positions

    def resolve_match(self, match: RequestMatch) -> ValueSet:
        """Returns the values of a condition on requests."""
        if isinstance(match.values, frozenset):
            return ValueSet(match.values)
        self.names.require_unique(match.values, match.attribute)
        if match.attribute == "class":
            self.names.require_declared(match.values, "classes")
        return value_set(name.text for name in match.values)

    def add_clause(self, clause: Clause, clauses: RuleClauses) -> None:
        """Adds a clause to those of its rule."""
        match clause:
            case ShardsClause():
                self.require_first(clause.KEYWORD, clause.position, clauses)
                clauses.shards = clause
            case CopiesClause():
                self.require_first(clause.KEYWORD, clause.position, clauses)
                clauses.copies = clause
                if clause.min_domains is not None:
                    clauses.positions["over"] = clause.min_domains.position
            case MembersClause(keyword, members):
                self.require_first(keyword, clause.position, clauses)
                region = self.names.region(members)
                combine = intersect_regions if keyword == "among" else subtract_region
                clauses.members = combine(clauses.members, region, self.work)
            case WeightClause(members, factor):
                clauses.weights.append((self.names.region(members), factor))
            case PinClause():
                clauses.pins.append(clause)

    def require_first(self, keyword: str, position: Position, clauses: RuleClauses) -> None:
        """Records the position of a clause; raises if its rule already has a clause of that keyword."""
        if keyword in clauses.positions:
            raise self.source.error(position, f'expected "{keyword}" once in a rule, got a second')
        clauses.positions[keyword] = position

    def resolve_pins(
        self, pins: list[PinClause], shards: int, positions: dict[str, Position]
    ) -> dict[int, str]:
        """Returns the names of the first homes of a rule's pinned shards, by shard."""
        pinned: dict[int, str] = {}
        for pin in pins:
            positions[f"pin {pin.member.text}"] = pin.member.position
            for low, high in pin.ranges:
                if high.value >= shards:
                    message = f"expected a shard from 0 to {shards - 1}, got {high.value}"
                    raise self.source.error(high.position, message)
                self.work.spend(high.value - low.value + 1)
                for shard in range(low.value, high.value + 1):
                    if shard in pinned:
                        message = (
                            f"expected shard {shard} to be pinned once; it is pinned to {pinned[shard]!r}"
                        )
                        raise self.source.error(low.position, message)
                    pinned[shard] = pin.member.text
        return pinned
