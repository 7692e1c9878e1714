"""Compiles a router's placement table whenever its rules file or its endpoint list has changed.

`compiler.MAX_DRAWS` limits a compilation to a few seconds. Compilations run in a thread, one at a time.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from paddlequay.errors import ConfigError
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.placement.checks import read_rules_file
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import digest
from paddlequay.placement.rules import RuleSet
from paddlequay.placement.table import Table
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Member, MemberState, RoutingSettings

LOGGER = logging.getLogger(__name__)

DIGEST_CHARS = 16  # hexadecimal digits of a table's digest that routers compare: 64 bits
NO_TABLE = 0  # instead of a digest, if there is no table


def table_digest(table: Table) -> int:
    """Returns the 64 bits of a table's digest that routers compare, never `NO_TABLE`."""
    return int(table.digest[:DIGEST_CHARS], 16) or 1


def rules_digest(rules: RuleSet) -> int:
    """Returns the 64-bit digest by which routers compare rules, never 0."""
    return digest(rules.canonical().decode()) or 1


class TableCompilation:
    """The rules in use, changed rules that are not compiled yet, and the table compiled last."""

    def __init__(
        self,
        path: Path,
        settings: RoutingSettings,
        exchange: Exchange,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        """Reads the rules; raises `ConfigError` if they cannot be used.

        Args:
            path: The rules file.
            settings: The settings whose classes the rules may name.
            exchange: Provides the endpoint list.
            counters: Counts compilations and refused rules.
            clock: The cluster's clock, in seconds.
        """
        self.path = path
        self.settings = settings
        self.exchange = exchange
        self.counters = counters
        self.clock = clock
        self.rules = self.read_file()
        self.next_rules: RuleSet | None = None  # read from a changed file, not compiled yet
        self.table: Table | None = None
        self.compiled_members: tuple[Member, ...] | None = None  # of `table`; None to compile again
        self.lock = asyncio.Lock()

    def read_file(self) -> RuleSet:
        """Returns the rules of the file; raises `ConfigError` if they cannot be used."""
        return read_rules_file(self.path, [request_class.name for request_class in self.settings.classes])

    def reload(self) -> RuleSet | None:
        """Reads the file again; returns its rules if they have changed, None otherwise.

        Raises:
            ConfigError: The file cannot be used; the previous rules stay in use.
        """
        rules = self.read_file()
        if rules == (self.next_rules or self.rules):
            return None
        self.next_rules = rules
        return rules

    def digests(self) -> tuple[int, int]:
        """Returns the digests of the newest rules and of their table, `NO_TABLE` if there is none."""
        if self.next_rules is not None:
            return rules_digest(self.next_rules), NO_TABLE
        return rules_digest(self.rules), NO_TABLE if self.table is None else table_digest(self.table)

    async def update(self) -> bool:
        """Compiles a table if the rules or members have changed; returns whether there is a new result."""
        async with self.lock:
            placeable = self.placeable_members()
            if self.next_rules is None and placeable == self.compiled_members:
                return False
            return await self._compile(placeable)

    def placeable_members(self) -> tuple[Member, ...]:
        """Returns the ready edges of all zones, with only those fields whose change requires a new table."""
        has_weights = self.settings.weights in ("nominal", "rough")
        source_kinds = {self.settings.parent_kind, self.settings.origin_kind} - {None}
        members = [
            replace(member, started=None, state=None, weight=(member.weight or 1.0) if has_weights else 1.0)
            for member in self.exchange.members.values()
            if member.kind not in source_kinds and member.state in (None, MemberState.READY)
        ]
        return tuple(sorted(members, key=lambda member: member.name))

    async def _compile(self, placeable: tuple[Member, ...]) -> bool:
        """Compiles the newest rules for the members; returns False if new rules are refused.

        New rules are refused if the present members cannot hold all copies. If members are removed later, the
        table has as many copies as are possible.
        """
        new_rules = self.next_rules
        rules = new_rules or self.rules
        self.compiled_members = placeable
        started_at = self.clock()
        table = None
        try:
            if placeable:
                strict = new_rules is not None
                table = await asyncio.to_thread(compile_with_digest, rules, placeable, strict, self.table)
        except ConfigError as error:
            self.counters.add("placement_refused")
            log.event(LOGGER, logging.WARNING, "placement_refused", why=str(error))
            if new_rules is not None:
                self._clear_next_rules(new_rules)
                self.compiled_members = None  # compile the previous rules at the next update
                return False
        if new_rules is not None:
            self.rules = new_rules
            self._clear_next_rules(new_rules)
        self.table = table
        self.counters.add("placement_compiled")
        took = round(self.clock() - started_at, 3)
        log.event(LOGGER, logging.INFO, "placement_compiled", members=len(placeable), took=took)
        return True

    def _clear_next_rules(self, compiled: RuleSet) -> None:
        """Clears `next_rules`, unless newer rules were read during the compilation."""
        if self.next_rules is compiled:
            self.next_rules = None


def compile_with_digest(
    rules: RuleSet, placeable: tuple[Member, ...], strict: bool, old: Table | None
) -> Table:
    """Returns a table with its digest already computed; both take long, so this runs in a thread."""
    table = compile_rules(rules, placeable, strict=strict, old=old)
    _ = table.digest
    return table
