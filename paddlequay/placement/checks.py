"""Reads files of placement rules, and checks them before a table is compiled.

Some mistakes make rules invalid for any list of members (`check_rule_set`): a rule that no request can reach,
a pin to a member that the rule excludes, or more copies than any list could place. A list that is too small
for the copies, zones or cells of the rules is refused when the rules are adopted (`check_members`), but not
when members leave later: then a shard has as many copies as possible.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path

from paddlequay.errors import ConfigError
from paddlequay.placement.grammar import FILE_START, MAX_FILE_BYTES, decode_source
from paddlequay.placement.regions import (
    ANY,
    Conjunction,
    Region,
    Value,
    WorkBudget,
    WorkLimitError,
    contains,
    intersect_conjunctions,
    intersect_regions,
    max_value_count,
    subtract_conjunction,
    value_set,
)
from paddlequay.placement.rule_builder import RuleBuilder
from paddlequay.placement.rules import (
    CLASS_INDEX,
    MAX_RESOLVE_STEPS,
    MEMBER_ATTRIBUTES,
    Cell,
    Rule,
    RuleSet,
)
from paddlequay.placement.syntax_tree import Spread
from paddlequay.placement.syntax_tree_builder import parse_rules
from paddlequay.routing.interface import Member

MAX_SHARD_MAPS = 1_024  # a rule has one, and another for each cell whose tenants it matches
MAX_TOTAL_SHARDS = 262_144  # of all shard maps; one rule has at most 65,536
MAX_MEMBERS = 10_000
MAX_SHOWN_CLASSES = 8  # that an error lists
SHARE_TOLERANCE_RATIO = 1e-9  # for rounding errors in sums of decimal fractions
NAME_INDEX = 0  # of `name` in `MEMBER_ATTRIBUTES`


def read_rules(name: str, data: bytes, classes: Iterable[str] | None = None) -> RuleSet:
    """Returns the checked rules of a file's bytes.

    Args:
        name: The file's name, for error messages.
        data: The file's bytes.
        classes: The classes of the settings; None if they are not known.

    Raises:
        ConfigError: The rules are invalid. The error has the file, line and column, what was expected there,
            and a caret under the position.
    """
    source = decode_source(name, data)
    work = WorkBudget(MAX_RESOLVE_STEPS)
    try:
        rules = RuleBuilder(source, work).build(parse_rules(source))
        check_rule_set(rules, work, classes)
    except WorkLimitError as error:
        message = f"expected rules that take less work to resolve, got {error}"
        raise source.error(FILE_START, message) from None
    return rules


def read_rules_file(path: str | Path, classes: Iterable[str] | None = None) -> RuleSet:
    """Returns the checked rules of a file; raises `ConfigError` if it is invalid or cannot be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    return read_rules(str(path), data, classes)


def check_rules(path: str | Path) -> str:
    """Returns a summary of a file of rules in one line; raises `ConfigError` as `read_rules_file` does."""
    rules = read_rules_file(path)
    shards = sum(rule.shards for rule, _ in rules.shard_maps())
    pace = "all at once" if rules.shards_per_s is None else f"{rules.shards_per_s} shards a second"
    counts = (
        describe_count(rules.rules, "rule"),
        describe_count(rules.cells, "cell"),
        describe_count(rules.tenants, "tenant"),
    )
    return f"{path}: {', '.join(counts)}, {shards} shards, moves {pace}: can be used"


def describe_count(items: Mapping[str, object] | tuple[object, ...], noun: str) -> str:
    """Returns the number of items with the noun in singular or plural."""
    return f"{len(items)} {noun}{'' if len(items) == 1 else 's'}"


def check_rule_set(rules: RuleSet, work: WorkBudget, classes: Iterable[str] | None = None) -> None:
    """Raises `ConfigError` if the rules are invalid for any list of members."""
    if not rules.rules:
        raise rules.source.error(FILE_START, "expected at least one rule")
    if classes is not None:
        check_classes(rules, set(classes))
    check_reachable(rules, work)
    for cell in rules.cells.values():
        if not cell.members:
            message = f"expected a cell that can hold a member; {cell.name!r} cannot"
            raise rules.source.error(cell.position, message)
    check_load_shares(rules)
    check_shard_maps(rules, work)


def check_shard_maps(rules: RuleSet, work: WorkBudget) -> None:
    """Raises `ConfigError` for too many shard maps or shards, or copies that no list can satisfy."""
    shards = 0
    for number, (rule, cell) in enumerate(rules.shard_maps(), 1):
        if number > MAX_SHARD_MAPS:
            message = (
                f"expected at most {MAX_SHARD_MAPS} rules, counted with each cell whose tenants they are for"
            )
            raise rules.source.error(rule.position("rule"), message)
        check_shard_map(rules, rule, cell, work)
        shards += rule.shards
        if shards > MAX_TOTAL_SHARDS:
            message = f"expected at most {MAX_TOTAL_SHARDS} shards in all rules and their cells, got more"
            raise rules.source.error(rule.position("shards"), message)


def check_classes(rules: RuleSet, known: set[str]) -> None:
    """Raises `ConfigError` for a class that is not in the settings."""
    shown = ", ".join(sorted(known)[:MAX_SHOWN_CLASSES])
    for name in rules.classes or ():
        if name.text not in known:
            message = f"expected a class of the settings ({shown}), got {name.text!r}"
            raise rules.source.error(name.position, message)
    for rule in rules.rules:
        classes = rule.requests[CLASS_INDEX].values
        unknown = sorted(str(value) for value in classes if value not in known)
        if unknown:
            message = f"expected classes of the settings ({shown}), got {unknown[0]!r}"
            raise rules.source.error(rule.position("class"), message)


def check_reachable(rules: RuleSet, work: WorkBudget) -> None:
    """Raises `ConfigError` for a rule that no request reaches, or equal precedence for the same requests."""
    for index, rule in enumerate(rules.rules):
        remaining: list[Conjunction] = [rule.requests]
        for earlier in rules.rules[:index]:
            check_precedence(rules, rule, earlier, work)
            remaining = [
                piece
                for conjunction in remaining
                for piece in subtract_conjunction(conjunction, earlier.requests, work)
            ]
            if not remaining:
                message = (
                    f"expected a rule that a request can reach; the rules up to {earlier.name!r}"
                    " match all its requests"
                )
                raise rules.source.error(rule.position("rule"), message)


def check_precedence(rules: RuleSet, rule: Rule, earlier: Rule, work: WorkBudget) -> None:
    """Raises `ConfigError` if two rules of the same precedence match the same requests."""
    if earlier.precedence != rule.precedence:
        return
    if intersect_conjunctions(rule.requests, earlier.requests, work) is None:
        return
    later = max(rule, earlier, key=lambda each: (each.position("rule").line, each.position("rule").column))
    message = f"expected another precedence than that of {earlier.name!r}, for the same requests"
    raise rules.source.error(later.position("precedence"), message)


def check_load_shares(rules: RuleSet) -> None:
    """Raises `ConfigError` if the tenants' shares of the total load exceed 100 % in sum."""
    total = 0.0
    for tenant in rules.tenants.values():
        total += tenant.load_share or 0.0
        if total > 1 + SHARE_TOLERANCE_RATIO:
            message = f"expected tenants' shares of at most 100% in all, got {total * 100:g}%"
            raise rules.source.error(tenant.position, message)


def check_shard_map(rules: RuleSet, rule: Rule, cell: Cell | None, work: WorkBudget) -> None:
    """Raises `ConfigError` if no list could satisfy a rule's copies, in a cell or without one."""
    source = rules.source
    where = describe_cell(cell)
    region = rule.members if cell is None else intersect_regions(rule.members, cell.members, work)
    if not region:
        position = rule.position("avoid") if "avoid" in rule.positions else rule.position("among")
        raise source.error(position, f"expected members left for rule {rule.name!r}{where}, got none")
    members = max_value_count(region, NAME_INDEX)
    if members is not None and members < rule.copies:
        message = (
            f"expected at most {members} copies, one for each member that rule {rule.name!r} can use{where}"
        )
        raise source.error(rule.position("copies"), f"{message}, got {rule.copies}")
    if rule.spread is not None:
        check_spread(rules, rule, rule.spread, region, where, work)
    check_pins(rules, rule, work)


def check_spread(
    rules: RuleSet, rule: Rule, spread: Spread, region: Region, where: str, work: WorkBudget
) -> None:
    """Raises `ConfigError` for a spread over more zones or kinds than copies, or than a region can have."""
    if rule.min_domains > rule.copies:
        message = f"expected copies over at most {rule.copies} {spread}(s), got {rule.min_domains}"
        raise rules.source.error(rule.position("over"), message)
    domains = max_domain_count(rules, spread, region, work)
    if domains is not None and domains < rule.min_domains:
        message = f"expected copies over at most {domains} {spread}(s), all that the rule can use{where}"
        raise rules.source.error(rule.position("over"), f"{message}, got {rule.min_domains}")


def check_pins(rules: RuleSet, rule: Rule, work: WorkBudget) -> None:
    """Raises `ConfigError` for a pin to a member that its rule excludes.

    A cell takes precedence over a pin: tenants of a cell have the shard in the cell, all others where it is
    pinned.
    """
    for name in sorted(set(rule.pins.values())):
        only_member = (value_set([name]), *(ANY,) * (len(MEMBER_ATTRIBUTES) - 1))
        if not intersect_regions(rule.members, (only_member,), work):
            message = f"expected a pin to a member that rule {rule.name!r} may use, got {name!r}"
            raise rules.source.error(rule.position(f"pin {name}"), message)


def max_domain_count(rules: RuleSet, spread: Spread, region: Region, work: WorkBudget) -> int | None:
    """Returns how many zones or kinds a region has at most, None if unbounded."""
    declared = rules.zones if spread == "zone" else rules.kinds
    index = MEMBER_ATTRIBUTES.index(spread)
    if declared is not None:
        conjunction = [ANY] * len(MEMBER_ATTRIBUTES)
        conjunction[index] = value_set(name.text for name in declared)
        region = intersect_regions(region, (tuple(conjunction),), work)
    return max_value_count(region, index)


def member_attributes(member: Member) -> tuple[Value, ...]:
    """Returns the values of `MEMBER_ATTRIBUTES` of a member."""
    return member.name, member.zone, member.kind, member.cell


def member_weight(member: Member) -> float:
    """Returns a member's weight relative to others: 1 if it has none, and at least 0."""
    return 1.0 if member.weight is None else max(0.0, member.weight)


def sorted_members(members: Iterable[Member]) -> list[Member]:
    """Returns the members sorted by name; raises `ConfigError` for too many or a duplicate name."""
    listed = sorted(members, key=lambda member: member.name)
    if len(listed) > MAX_MEMBERS:
        raise ConfigError(f"members: expected at most {MAX_MEMBERS}, got {len(listed)}")
    counts = Counter(member.name for member in listed)
    duplicates = [name for name, count in counts.items() if count > 1]
    if duplicates:
        raise ConfigError(f"members: expected each name once, got {duplicates[0]!r} again")
    return listed


def eligible_members(rule: Rule, cell: Cell | None, listed: list[Member], work: WorkBudget) -> list[Member]:
    """Returns the members that a rule may use, in a cell if one is given, in the order of the list."""
    regions = [rule.members] if cell is None else [rule.members, cell.members]
    work.spend(len(listed) * sum(len(region) for region in regions))
    return [
        member for member in listed if all(contains(region, member_attributes(member)) for region in regions)
    ]


def check_members(rules: RuleSet, listed: list[Member], work: WorkBudget) -> None:
    """Raises `ConfigError` if a list has too few members, zones or kinds for a rule, or too small a cell."""
    for rule, cell in rules.shard_maps():
        check_eligible(rules, rule, cell, eligible_members(rule, cell, listed, work))
    total = sum(member_weight(member) for member in listed)
    for cell in rules.cells.values():
        work.spend(len(listed) * len(cell.members))
        check_cell_weight(rules, cell, listed, total)


def check_eligible(rules: RuleSet, rule: Rule, cell: Cell | None, eligible: list[Member]) -> None:
    """Raises `ConfigError` if the members that a rule may use are too few, or of too few zones or kinds."""
    where = describe_cell(cell)
    if len(eligible) < rule.copies:
        message = (
            f"expected at most {len(eligible)} copies, one for each member in the list for the rule{where}"
        )
        raise rules.source.error(rule.position("copies"), f"{message}, got {rule.copies}")
    if rule.spread is None:
        return
    domains = {each.zone if rule.spread == "zone" else each.kind for each in eligible} - {None}
    if len(domains) < rule.min_domains:
        message = f"expected copies over at most {len(domains)} {rule.spread}(s) of the list{where}"
        raise rules.source.error(rule.position("over"), f"{message}, got {rule.min_domains}")


def check_cell_weight(rules: RuleSet, cell: Cell, listed: list[Member], total: float) -> None:
    """Raises `ConfigError` if a cell's share of the total weight is below its tenants' share of the load."""
    tenants = [tenant for tenant in rules.tenants.values() if tenant.cell == cell.name]
    needed = sum(tenant.load_share or 0.0 for tenant in tenants)
    weight = sum(member_weight(each) for each in listed if contains(cell.members, member_attributes(each)))
    available = weight / total if total else 0.0
    if needed > available + SHARE_TOLERANCE_RATIO:
        message = f"expected a cell with at least {needed * 100:g}% of all weight, the share of its tenants"
        raise rules.source.error(cell.position, f"{message}, got {available * 100:.3g}%")


def describe_cell(cell: Cell | None) -> str:
    """Returns the phrase that names a cell in an error, empty without a cell."""
    return "" if cell is None else f" in cell {cell.name!r}"
