"""Whether a file of rules can be used: what no list of members can satisfy, and what one list cannot.

Everything here is decided before a table is compiled. A rule that is never reached, a pin to a member that
the rule excludes or copies that no list could hold are mistakes in the file whatever the list is (`check`);
copies, zones and cells that a given list is too small for are refused when rules are taken up
(`check_members`), not when members leave later: then a shard has what can be had.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path

from paddlequay.errors import ConfigError
from paddlequay.placement.grammar import BYTES_MOST, Place, source_of
from paddlequay.placement.regions import (
    ANY,
    Box,
    Region,
    TooMuchError,
    Work,
    both,
    holds,
    meet,
    most,
    these,
    without,
)
from paddlequay.placement.rules import ATTRIBUTES, WORK_MOST, Builder, Cell, Rule, Rules
from paddlequay.placement.syntax_tree import spoken
from paddlequay.routing.interface import Member

SHEETS_MOST = 1_024  # tables of shards: a rule has one, and one for each cell whose tenants it is for
SHEETS_SHARDS_MOST = 262_144  # of all rules with all their cells; one rule has 65,536 at most
MEMBERS_MOST = 10_000
SLACK = 1e-9  # of a share, for sums of decimal fractions


def thing(member: Member) -> tuple[str | int | None, ...]:
    return member.name, member.zone, member.kind, member.cell


def weight_of(member: Member) -> float:
    """Its share of the load beside others; a list that tells none has members of one size."""
    return 1.0 if member.weight is None else max(0.0, member.weight)


def read_rules(name: str, data: bytes, classes: Iterable[str] | None = None) -> Rules:
    """The rules of a file's bytes, checked; `classes`: those that the settings know, where they are told.

    Raises `ConfigError` with file, line, column, what was expected and a caret under the place.
    """
    source = source_of(name, data)
    work = Work(WORK_MOST)
    try:
        rules = Builder(source, work).build(spoken(source))
        check(rules, work, classes)
    except TooMuchError as error:
        said = f"expected rules that are looked up with less work, got {error}"
        raise source.error(Place(1, 1), said) from None
    return rules


def read_rules_file(path: str | Path, classes: Iterable[str] | None = None) -> Rules:
    """As `read_rules`, from a file; `ConfigError` too where it cannot be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(BYTES_MOST + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    return read_rules(str(path), data, classes)


def check_rules(path: str | Path) -> str:
    """One line on what a file of rules holds; `ConfigError` where it cannot be used."""
    rules = read_rules_file(path)
    shards = sum(rule.shards for rule, _ in rules.plan())
    pace = "all at once" if rules.pace is None else f"{rules.pace} shards a second"
    told = (counted(rules.rules, "rule"), counted(rules.cells, "cell"), counted(rules.tenants, "tenant"))
    return f"{path}: {', '.join(told)}, {shards} shards, moves {pace}: can be used"


def counted(things: Mapping[str, object] | tuple[object, ...], what: str) -> str:
    return f"{len(things)} {what}{'' if len(things) == 1 else 's'}"


def check(rules: Rules, work: Work, classes: Iterable[str] | None = None) -> None:
    """Raise for what is wrong whatever the list of members is."""
    if not rules.rules:
        raise rules.source.error(Place(1, 1), "expected at least one rule")
    known_classes(rules, classes)
    reached(rules, work)
    for cell in rules.cells.values():
        if not cell.members:
            said = f"expected a cell that can hold a member; {cell.name!r} cannot"
            raise rules.source.error(cell.place, said)
    shares(rules)
    shards = 0
    for number, (rule, cell_or_none) in enumerate(rules.plan(), 1):
        if number > SHEETS_MOST:
            said = f"expected at most {SHEETS_MOST} rules, counted with each cell whose tenants they are for"
            raise rules.source.error(rule.place("rule"), said)
        placeable(rules, rule, cell_or_none, work)
        shards += rule.shards
        if shards > SHEETS_SHARDS_MOST:
            said = f"expected at most {SHEETS_SHARDS_MOST} shards in all rules and their cells, got more"
            raise rules.source.error(rule.place("shards"), said)


def known_classes(rules: Rules, classes: Iterable[str] | None) -> None:
    if classes is None:
        return
    known = set(classes)
    for name in rules.classes or ():
        if name.text not in known:
            said = f"expected a class of the settings ({', '.join(sorted(known)[:8])}), got {name.text!r}"
            raise rules.source.error(name.place, said)
    for rule in rules.rules:
        unknown = sorted(str(value) for value in rule.asked[0].values if value not in known)
        if unknown:
            said = f"expected classes of the settings ({', '.join(sorted(known)[:8])}), got {unknown[0]!r}"
            raise rules.source.error(rule.place("class"), said)


def reached(rules: Rules, work: Work) -> None:
    """Every rule holds for some request, and no two of one precedence for the same."""
    for at, rule in enumerate(rules.rules):
        left: list[Box] = [rule.asked]
        for earlier in rules.rules[:at]:
            if earlier.precedence == rule.precedence and both(rule.asked, earlier.asked, work) is not None:
                said = f"expected another precedence than that of {earlier.name!r}, for the same requests"
                later = max(rule, earlier, key=lambda r: (r.place("rule").line, r.place("rule").column))
                raise rules.source.error(later.place("precedence"), said)
            left = [piece for box in left for piece in without(box, earlier.asked, work)]
            if not left:
                said = f"expected a rule that is reached; {earlier.name!r} is the last to take its requests"
                raise rules.source.error(rule.place("rule"), said)


def shares(rules: Rules) -> None:
    total = 0.0
    for tenant in rules.tenants.values():
        total += tenant.share or 0.0
        if total > 1 + SLACK:
            raise rules.source.error(tenant.place, f"expected shares of 100% in all, got {total * 100:g}%")


def placeable(rules: Rules, rule: Rule, cell: Cell | None, work: Work) -> None:
    """Some list could hold the copies of a rule, in a cell or without one."""
    source = rules.source
    where = "" if cell is None else f" in cell {cell.name!r}"
    region = rule.members if cell is None else meet(rule.members, cell.members, work)
    if not region:
        place = rule.place("avoid") if "avoid" in rule.places else rule.place("among")
        raise source.error(place, f"expected members left for rule {rule.name!r}{where}, got none")
    members = most(region, 0)
    if members is not None and members < rule.copies:
        said = f"expected at most {members} copies, as many as rule {rule.name!r} can have members{where}"
        raise source.error(rule.place("copies"), f"{said}, got {rule.copies}")
    if rule.spread is not None:
        if rule.over > rule.copies:
            said = f"expected copies over at most {rule.copies} {rule.spread}(s), got {rule.over}"
            raise source.error(rule.place("over"), said)
        trunks = trunks_most(rules, rule.spread, region, work)
        if trunks is not None and trunks < rule.over:
            said = f"expected copies over at most {trunks} {rule.spread}(s), all that there are{where}"
            raise source.error(rule.place("over"), f"{said}, got {rule.over}")
    for name in sorted(set(rule.pins.values())):
        # A cell goes before a pin: its tenants have the shard in the cell, all others where it is pinned.
        only = (these([name]), *(ANY,) * (len(ATTRIBUTES) - 1))
        if not meet(rule.members, (only,), work):
            said = f"expected a pin to a member that rule {rule.name!r} may use, got {name!r}"
            raise source.error(rule.place(f"pin {name}"), said)


def trunks_most(rules: Rules, spread: str, region: Region, work: Work) -> int | None:
    """How many zones or kinds a region can have."""
    listed = rules.zones if spread == "zone" else rules.kinds
    at = ATTRIBUTES.index(spread)
    if listed is not None:
        known = [ANY] * len(ATTRIBUTES)
        known[at] = these(name.text for name in listed)
        region = meet(region, (tuple(known),), work)
    return most(region, at)


def check_list(members: Iterable[Member]) -> list[Member]:
    """The members of a list by name; `ConfigError` for too many or for one name twice."""
    listed = sorted(members, key=lambda member: member.name)
    if len(listed) > MEMBERS_MOST:
        raise ConfigError(f"members: expected at most {MEMBERS_MOST}, got {len(listed)}")
    twice = [name for name, count in Counter(member.name for member in listed).items() if count > 1]
    if twice:
        raise ConfigError(f"members: expected each name once, got {twice[0]!r} again")
    return listed


def fitting(rule: Rule, cell: Cell | None, listed: list[Member], work: Work) -> list[Member]:
    """The members that a rule may use, in a cell where one is given, in the order of the list."""
    regions = [rule.members] if cell is None else [rule.members, cell.members]
    work.spend(len(listed) * sum(len(region) for region in regions))
    return [m for m in listed if all(holds(region, thing(m)) for region in regions)]


def check_members(rules: Rules, listed: list[Member], work: Work) -> None:
    """Raise for what this list cannot hold: too few members, zones or kinds, or a cell too small."""
    for rule, cell in rules.plan():
        where = "" if cell is None else f" in cell {cell.name!r}"
        fit = fitting(rule, cell, listed, work)
        if len(fit) < rule.copies:
            said = f"expected at most {len(fit)} copies, as many as the list has members{where}"
            raise rules.source.error(rule.place("copies"), f"{said}, got {rule.copies}")
        if rule.spread is not None:
            trunks = {m.zone if rule.spread == "zone" else m.kind for m in fit} - {None}
            if len(trunks) < rule.over:
                said = f"expected copies over at most {len(trunks)} {rule.spread}(s) of the list{where}"
                raise rules.source.error(rule.place("over"), f"{said}, got {rule.over}")
    whole = sum(weight_of(m) for m in listed)
    for cell in rules.cells.values():
        work.spend(len(listed) * len(cell.members))
        needed = sum(tenant.share or 0.0 for tenant in rules.tenants.values() if tenant.cell == cell.name)
        held = sum(weight_of(m) for m in listed if holds(cell.members, thing(m))) / whole if whole else 0.0
        if needed > held + SLACK:
            said = f"expected a cell with {needed * 100:g}% of all weight, the share of its tenants"
            raise rules.source.error(cell.place, f"{said}, got {held * 100:.3g}%")
