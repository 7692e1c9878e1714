"""Joins rules of placement with the router: compiles them for its list, and has edges follow what is in use.

`cluster/placement_epochs.py` says which table that is, at each request; without its word homes are plain, as
without a file. Compiling is bounded by `compile.DRAWS_MOST`, some seconds at most, and done in a thread, one
at a time.
"""

import asyncio
import json
import logging
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

from paddlequay.cluster.node import Node
from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import TABLES_LEASE, short_epoch
from paddlequay.cluster.types import Action, TableChanged
from paddlequay.errors import ConfigError
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.placement.checks import read_rules_file
from paddlequay.placement.compiler import compile_rules
from paddlequay.placement.homes import digest, object_key
from paddlequay.placement.migration import BusyError, Mover, Placed
from paddlequay.placement.rules import Rules
from paddlequay.placement.table import Sheet, Table
from paddlequay.placement.table_homes import HomeKey, TableHomes, home_key
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest
from paddlequay.routing.interface import CopyReported, Member, MemberState, Request, RoutingSettings
from paddlequay.routing.state import CacheTier

LOGGER = logging.getLogger(__name__)

BEAT = 0.25  # seconds between two looks at the list, and at a table that has to wait for shards in motion
EXPLAINED = ("class", "tenant", "group", "key", "part")  # what `explain` is asked by

Told = Callable[[Node, Sequence[Action]], None]


def whole(table: Table) -> int:
    """The 64 bits of a table's digest that routers compare; never 0, which says that there is none."""
    return int(table.digest[:16], 16) or 1


def named(rules: Rules) -> int:
    return digest(rules.canonical().decode()) or 1


class PlacementTables:
    """Placement by rules at one router. `ConfigError` where the file cannot be used.

    `told` hands on what follows at a node, `clock` is the one that the node goes by. Memory: the tables that
    `PlacementEpochs.needed_tables` names, and the two that a `Mover` holds.
    """

    def __init__(
        self,
        path: Path,
        settings: RoutingSettings,
        exchange: Exchange,
        counters: Counters,
        told: Told,
        clock: Callable[[], float],
    ) -> None:
        self.path, self.settings, self.exchange, self.counters = path, settings, exchange, counters
        self.told, self.clock = told, clock
        self.rules = self.read()
        self.node: Node | None = None
        self.tables: PlacementEpochs | None = None
        self.own: Table | None = None  # what was compiled last,
        self.listed: tuple[Member, ...] | None = None  # for this list; None: nothing yet
        self.held: dict[int, Table] = {}
        self.mover: Mover | None = None
        self.waits: Table | None = None  # follows once the shards in motion have come to rest
        self.next: Rules | None = None  # a new file, which is not compiled yet
        self.tasks: list[asyncio.Task[None]] = []
        self.compiling = asyncio.Lock()
        homes = exchange.router.state.members.homes[CacheTier.EDGE]
        assert isinstance(homes, TableHomes)
        homes.source = self.found

    def read(self) -> Rules:
        return read_rules_file(self.path, [kind.name for kind in self.settings.classes])

    # --- its life ---

    def join(self, node: Node) -> None:
        """A new life in the cluster: it has no epoch until the fleet's word comes."""

        def retake(now: float) -> list[Action]:
            leases = node.leases
            return (
                []
                if leases is None
                else leases.release(TABLES_LEASE, now) + leases.request(TABLES_LEASE, now)
            )

        self.node, self.mover, self.waits = node, None, None
        self.tables = PlacementEpochs(node.fleet, node.settings.bounds, node.holds, retake)
        node.add_part(self.tables, PlacementEpochs.HANDLED_MESSAGES)
        now = self.clock()
        if node.leases is not None and node.fleet.me in node.fleet.acceptors:
            node.initial_actions += node.leases.request(TABLES_LEASE, now)
        node.initial_actions += self.tables.compiled(*self.compiled(), now)

    def leave_cluster(self) -> None:
        """This router's life in the cluster is over: homes are plain."""
        self.node = self.tables = self.mover = self.waits = None

    def release_lease(self, now: float) -> list[Action]:
        """Give the lease back, so that nobody has to wait for its end."""
        leases = self.node.leases if self.node is not None else None
        return leases.release(TABLES_LEASE, now) if leases is not None else []

    def start(self) -> None:
        self.tasks = [asyncio.ensure_future(self.beating())]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def reload(self) -> None:
        """Take up a changed file; `ConfigError`: it cannot be used, and the one before holds on."""
        rules = self.read()
        if rules == (self.next or self.rules):
            return
        self.next = rules
        if self.tables is not None:
            self.act(self.tables.rules_changed(named(rules), self.clock()))

    async def beating(self) -> None:
        while True:
            try:
                await self.beat()
            except Exception:
                if self.counters.add_once("placement_errors"):
                    LOGGER.exception("placement_failed")
            await asyncio.sleep(BEAT)

    async def beat(self) -> None:
        """Look whether the list or the rules are others than what was compiled, or a table had to wait."""
        if self.waits is not None:
            self.move(self.waits, self.clock())
        async with self.compiling:
            listed = self.members()
            if self.next is not None or listed != self.listed:
                await self.compile(listed)

    # --- compiling ---

    def members(self) -> tuple[Member, ...]:
        """The edges of all zones as rules see them: what differs otherwise makes no other table."""
        weighted = self.settings.weights in ("nominal", "rough")
        sources = {self.settings.parent_kind, self.settings.origin_kind} - {None}
        members = [
            replace(each, started=None, state=None, weight=(each.weight or 1.0) if weighted else 1.0)
            for each in self.exchange.members.values()
            if each.kind not in sources and each.state in (None, MemberState.READY)
        ]
        return tuple(sorted(members, key=lambda each: each.name))

    def compiled(self) -> tuple[int, int]:
        """Digests of rules and table; 0: there is none for them."""
        if self.next is not None:
            return named(self.next), 0
        return named(self.rules), 0 if self.own is None else whole(self.own)

    async def compile(self, listed: tuple[Member, ...]) -> None:
        """A new file must go with the list that there is; a list that shrinks later gives what can be had."""
        new, self.listed = self.next, listed
        rules, old = new or self.rules, self.own

        def work() -> Table:
            table = compile_rules(rules, listed, strict=new is not None and bool(listed), old=old)
            _ = table.digest  # takes its time, too
            return table

        began = self.clock()
        try:
            table = await asyncio.to_thread(work) if listed else None
        except ConfigError as error:
            self.counters.add("placement_refused")
            log.event(LOGGER, logging.WARNING, "placement_refused", why=str(error))
            if new is not None:
                # The file before holds on, for whatever list there is by now.
                self.next = self.next if self.next is not new else None
                self.listed = None
                return
            table = None
        if new is not None:
            self.rules = new
            self.next = self.next if self.next is not new else None
        self.own = table
        self.counters.add("placement_compiled")
        now = self.clock()
        log.event(LOGGER, logging.INFO, "placement_compiled", members=len(listed), took=round(now - began, 3))
        if table is not None:
            self.held[whole(table)] = table
        if self.tables is not None:
            self.act(self.tables.compiled(*self.compiled(), now))
            needed = self.tables.needed_tables(now)
            self.held = {key: each for key, each in self.held.items() if key in needed or each is table}

    # --- what the fleet has agreed on ---

    def act(self, actions: list[Action]) -> None:
        if self.node is not None and actions:
            self.told(self.node, actions)

    def table_changed(self, event: TableChanged) -> None:
        """Another epoch is in use from now on."""
        table, now = self.held.get(event.digest), self.clock()
        if table is None:
            self.counters.add("placement_lost")  # homes are plain until the next epoch
            self.mover = None
        elif self.mover is None or (event.previous is None and whole(self.mover.table) != event.digest):
            self.mover, self.waits = Mover(table), None
        else:
            self.move(table, now)

    def move(self, table: Table, now: float) -> None:
        """Shard by shard, at the pace of the rules; a table that has to wait for others is tried again."""
        self.waits = None
        if self.mover is None or whole(table) == whole(self.mover.table):
            return
        try:
            count = self.mover.change(table, now)
        except BusyError:
            self.waits = table
            self.counters.add("placement_waits")
        else:
            log.event(LOGGER, logging.INFO, "placement_moves", digest=table.digest, waiting=count)

    # --- at each request ---

    def found(self, key: HomeKey) -> tuple[Sheet, Placed] | None:
        """Where an object is placed now; asked for at each decision, so that nothing outlives its epoch."""
        mover, now = self.mover, self.clock()
        if mover is None or self.tables is None or self.tables.epoch_in_use(now) is None:
            return None
        placed = mover.lookup(key.class_name, key.tenant, key.group, key.key, key.part, now)
        if placed is None:
            return None
        table, found = mover.table, placed.found
        return table.sheets[found.rule, found.cell], placed

    def prepare_request(self, ask: ClientRequest) -> None:
        """A request is about to be decided on: who had its object before may hold it, which spares a fill."""
        if self.mover is None or not self.mover.turns or ask.key is None:
            return
        found = self.found(home_key(request_of(ask)))
        if found is not None and found[1].former:
            self.counters.add("placement_former_named")
            self.exchange.deliver(CopyReported(ask.key, ask.part, found[1].former[0]))

    # --- for operators ---

    def status_page(self) -> dict[str, object]:
        """What is in use and what is compiled here."""
        now, tables, mover = self.clock(), self.tables, self.mover
        epoch = tables.epoch_in_use(now) if tables is not None else None
        return {
            "epoch": None if epoch is None else short_epoch(epoch),
            "table": None if epoch is None or tables is None else f"{tables.table_in_use(now) or 0:016x}",
            "follows": None if epoch is None or mover is None else mover.table.digest[:16],
            "compiled": None if self.own is None else self.own.digest,
            "members": None if self.own is None else len(self.own.names),
            "short": {} if self.own is None else self.own.short(),
            "moving": mover.waiting(now) if mover is not None else 0,
            "next_waits": self.waits is not None,
        }

    def explain(self, text: str) -> str:
        """Where an object is placed, and why: asked by `key=ab12,part=3,class=video,group=7,tenant=acme`, of
        which any may be missing."""
        pairs = [each.partition("=")[::2] for each in text.split(",")]
        told = {name.strip(): value.strip() for name, value in pairs if value}
        if len(told) < len(pairs) or not set(told) <= set(EXPLAINED):
            return json.dumps({"expected": [f"{name}=..." for name in EXPLAINED]})
        try:
            group, part = (int(told[name]) if name in told else None for name in ("group", "part"))
        except ValueError:
            return json.dumps({"expected": "whole numbers for group and part"})
        key = object_key(told["key"]) if "key" in told else None
        request = Request("", told.get("class", ""), 0.0, key, part, group, tenant=told.get("tenant"))
        found = self.found(home_key(request))
        if found is None or self.mover is None:
            return json.dumps(
                {"rule": None, "why": "no table is in use, or no rule is for it: as without a file"}
            )
        _, placed = found
        why = self.mover.table.explain(told.get("class"), request.tenant, group, key, part)
        del why["epoch"]
        return json.dumps(
            why | {"now": list(placed.found.members), "former": list(placed.former), "waits": placed.waits}
        )


def request_of(ask: ClientRequest) -> Request:
    return Request("", ask.class_name, 0.0, ask.key, ask.part, ask.group, tenant=ask.tenant)
