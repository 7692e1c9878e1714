"""Keeps a router's placement table compiled for its rules file and its endpoint list.

`compiler.MAX_DRAWS` bounds a compilation to some seconds. It runs in a thread, one at a time.
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

DIGEST_CHARS = 16  # of a table's digest that routers compare: 64 bits
NO_TABLE = 0  # in place of a table's digest


def table_digest(table: Table) -> int:
    """Returns the 64 bits of a table's digest that routers compare; never `NO_TABLE`."""
    return int(table.digest[:DIGEST_CHARS], 16) or 1


def rules_digest(rules: RuleSet) -> int:
    """Returns the 64 bits by which routers compare rules; never 0."""
    return digest(rules.canonical().decode()) or 1


class TableCompilation:
    """The rules in use, rules that wait to be compiled, and the table compiled last."""

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
            exchange: Has the endpoint list.
            counters: Counts compilations and refused rules.
            clock: The cluster's clock, in seconds.
        """
        self.path = path
        self.settings = settings
        self.exchange = exchange
        self.counters = counters
        self.clock = clock
        self.rules = self.read_file()
        self.next_rules: RuleSet | None = None  # of a changed file, not compiled yet
        self.table: Table | None = None
        self.listed: tuple[Member, ...] | None = None  # the list of `table`; None: nothing is compiled yet
        self.lock = asyncio.Lock()

    def read_file(self) -> RuleSet:
        """Returns the rules of the file; raises `ConfigError` if they cannot be used."""
        return read_rules_file(self.path, [request_class.name for request_class in self.settings.classes])

    def reload(self) -> RuleSet | None:
        """Reads the file again, and returns its rules if they have changed.

        Raises:
            ConfigError: The file cannot be used; the rules before stay in use.
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
        """Compiles a table if the rules or the list have changed; returns whether a new result stands."""
        async with self.lock:
            listed = self.placeable_members()
            if self.next_rules is None and listed == self.listed:
                return False
            return await self._compile(listed)

    def placeable_members(self) -> tuple[Member, ...]:
        """Returns the ready edges of all zones, with what rules see alone: other changes need no table."""
        has_weights = self.settings.weights in ("nominal", "rough")
        source_kinds = {self.settings.parent_kind, self.settings.origin_kind} - {None}
        members = [
            replace(member, started=None, state=None, weight=(member.weight or 1.0) if has_weights else 1.0)
            for member in self.exchange.members.values()
            if member.kind not in source_kinds and member.state in (None, MemberState.READY)
        ]
        return tuple(sorted(members, key=lambda member: member.name))

    async def _compile(self, listed: tuple[Member, ...]) -> bool:
        """Compiles the newest rules for a list; returns False if new rules are refused.

        New rules must fit the list as it is. A list that shrinks later gives the copies that are possible.
        """
        new_rules = self.next_rules
        rules = new_rules or self.rules
        self.listed = listed
        started_at = self.clock()
        table = None
        try:
            if listed:
                strict = new_rules is not None
                table = await asyncio.to_thread(compile_with_digest, rules, listed, strict, self.table)
        except ConfigError as error:
            self.counters.add("placement_refused")
            log.event(LOGGER, logging.WARNING, "placement_refused", why=str(error))
            if new_rules is not None:
                self._drop_next(new_rules)
                self.listed = None  # the rules before are compiled for whatever list there is then
                return False
        if new_rules is not None:
            self.rules = new_rules
            self._drop_next(new_rules)
        self.table = table
        self.counters.add("placement_compiled")
        took = round(self.clock() - started_at, 3)
        log.event(LOGGER, logging.INFO, "placement_compiled", members=len(listed), took=took)
        return True

    def _drop_next(self, compiled: RuleSet) -> None:
        """Forgets the waiting rules, unless newer ones were read during the compilation."""
        if self.next_rules is compiled:
            self.next_rules = None


def compile_with_digest(rules: RuleSet, listed: tuple[Member, ...], strict: bool, old: Table | None) -> Table:
    """Returns a table whose digest is computed, too: both take their time, and run in a thread."""
    table = compile_rules(rules, listed, strict=strict, old=old)
    _ = table.digest
    return table
