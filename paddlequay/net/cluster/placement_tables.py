"""Applies placement by rules at a router: edge homes follow the table that the fleet has agreed on.

`table_compilation.py` compiles the tables. `cluster/placement_epochs.py` decides for each request which table
is in use. While none is in use, homes are plain, that is, the same as without a rules file.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.placement_epochs import PlacementEpochs
from paddlequay.cluster.table_epochs import TABLES_LEASE
from paddlequay.cluster.types import Action, TableChanged
from paddlequay.net.cluster.placement_console import explain_placement, placement_page
from paddlequay.net.cluster.table_compilation import TableCompilation, rules_digest, table_digest
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.placement.migration import CurrentPlacement, Migration, MigrationPendingError
from paddlequay.placement.table import ShardMap, Table
from paddlequay.placement.table_homes import HomeKey, TableHomes, home_key
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest
from paddlequay.routing.interface import CopyReported, Request, RoutingSettings
from paddlequay.routing.state import CacheTier

LOGGER = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.25  # between two checks of the endpoint list and of a table that waits for migrations

ApplyActions = Callable[[ClusterNode, Sequence[Action]], None]


class PlacementTables:
    """Placement by rules at one router.

    It keeps in memory the tables of `PlacementEpochs.needed_tables`, and the two of a `Migration`.
    """

    def __init__(
        self,
        path: Path,
        settings: RoutingSettings,
        exchange: Exchange,
        counters: Counters,
        apply_actions: ApplyActions,
        clock: Callable[[], float],
    ) -> None:
        """Reads the rules; raises `ConfigError` if they cannot be used.

        Args:
            path: The rules file.
            settings: The settings whose classes the rules may name.
            exchange: Provides the endpoint list and the homes that the table determines.
            counters: Counts compilations, waits and failures.
            apply_actions: Executes, at a node, the actions that the placement epochs return.
            clock: The node's clock, in seconds.
        """
        self.exchange = exchange
        self.counters = counters
        self.apply_actions = apply_actions
        self.clock = clock
        self.compilation = TableCompilation(path, settings, exchange, counters, clock)
        self.node: ClusterNode | None = None
        self.epochs: PlacementEpochs | None = None
        self.known_tables: dict[int, Table] = {}  # by digest
        self.migration: Migration | None = None
        self.pending_table: Table | None = None  # used once the pending migrations have ended
        self.tasks: list[asyncio.Task[None]] = []
        homes = exchange.router.state.members.homes[CacheTier.EDGE]
        assert isinstance(homes, TableHomes)
        homes.find_placement = self.find_placement

    def join(self, node: ClusterNode) -> None:
        """Joins the cluster under a new incarnation, which has no epoch until a declaration arrives."""
        self.node = node
        self.migration = None
        self.pending_table = None
        self.epochs = PlacementEpochs(
            node.fleet, node.settings.bounds, node.holds, partial(reacquire_lease, node)
        )
        node.add_component(self.epochs, PlacementEpochs.HANDLED_MESSAGES)
        now = self.clock()
        if node.leases is not None and node.fleet.me in node.fleet.acceptors:
            node.initial_actions += node.leases.request(TABLES_LEASE, now)
        node.initial_actions += self.epochs.table_compiled(*self.compilation.digests(), now)

    def leave_cluster(self) -> None:
        """Leaves the cluster; homes are plain from then on."""
        self.node = None
        self.epochs = None
        self.migration = None
        self.pending_table = None

    def release_lease(self, now: float) -> list[Action]:
        """Releases the tables' lease, so that no router has to wait for it to expire."""
        leases = self.node.leases if self.node is not None else None
        return leases.release(TABLES_LEASE, now) if leases is not None else []

    def start(self) -> None:
        """Starts the periodic update."""
        self.tasks = [asyncio.ensure_future(self._update_forever())]

    def stop(self) -> None:
        """Stops the periodic update."""
        for task in self.tasks:
            task.cancel()

    def reload(self) -> None:
        """Adopts a changed rules file; raises `ConfigError` and keeps the old rules if it cannot be used."""
        rules = self.compilation.reload()
        if rules is not None and self.epochs is not None:
            self._apply(self.epochs.rules_changed(rules_digest(rules), self.clock()))

    async def _update_forever(self) -> None:
        while True:
            try:
                await self.update()
            except Exception:  # a single failure must not end the periodic update
                if self.counters.add_once("placement_errors"):
                    LOGGER.exception("placement_failed")
            await asyncio.sleep(UPDATE_INTERVAL_S)

    async def update(self) -> None:
        """Retries a pending table, and compiles a new one if the endpoint list or the rules have changed."""
        if self.pending_table is not None:
            self._migrate_to(self.pending_table, self.clock())
        if await self.compilation.update():
            self._announce_table()

    def _announce_table(self) -> None:
        """Announces the table compiled last to the fleet, and drops tables that are no longer needed."""
        table = self.compilation.table
        if table is not None:
            self.known_tables[table_digest(table)] = table
        if self.epochs is None:
            return
        now = self.clock()
        self._apply(self.epochs.table_compiled(*self.compilation.digests(), now))
        needed = self.epochs.needed_tables(now)
        self.known_tables = {
            key: known for key, known in self.known_tables.items() if key in needed or known is table
        }

    def table_changed(self, event: TableChanged) -> None:
        """Switches to the table of another epoch, which is in use from now on."""
        table = self.known_tables.get(event.digest)
        if table is None:
            self.counters.add("placement_lost")  # homes are plain until the next epoch
            self.migration = None
        elif self.migration is None or self._replaces_table(event):
            self.migration = Migration(table)
            self.pending_table = None
        else:
            self._migrate_to(table, self.clock())

    def _replaces_table(self, event: TableChanged) -> bool:
        """Returns whether another table is in use without a previous one to migrate from."""
        if self.migration is None or event.previous is not None:
            return False
        return table_digest(self.migration.table) != event.digest

    def _migrate_to(self, table: Table, now: float) -> None:
        """Migrates to a table shard by shard; a table that must wait for other migrations becomes pending."""
        self.pending_table = None
        if self.migration is None or table_digest(table) == table_digest(self.migration.table):
            return
        try:
            waiting = self.migration.change_table(table, now)
        except MigrationPendingError:
            self.pending_table = table
            self.counters.add("placement_waits")
            return
        log.event(LOGGER, logging.INFO, "placement_moves", digest=table.digest, waiting=waiting)

    def _apply(self, actions: list[Action]) -> None:
        if self.node is not None and actions:
            self.apply_actions(self.node, actions)

    def find_placement(self, key: HomeKey) -> tuple[ShardMap, CurrentPlacement] | None:
        """Returns the shard map and the current placement of a request, None if its homes are plain.

        It is called for each decision, so that no placement is used after its epoch has expired.
        """
        migration = self.migration
        now = self.clock()
        if migration is None or self.epochs is None or self.epochs.epoch_in_use(now) is None:
            return None
        placement = migration.lookup(key.class_name, key.tenant, key.group, key.key, key.part, now)
        if placement is None:
            return None
        found = placement.found
        return migration.table.shard_maps[found.rule, found.cell], placement

    def prepare_request(self, request: ClientRequest) -> None:
        """Reports the previous home of a request's object to the routing decisions, to avoid a fill."""
        if self.migration is None or not self.migration.scheduled or request.key is None:
            return
        found = self.find_placement(home_key(routing_request(request)))
        if found is None:
            return
        _, placement = found
        if placement.previous:
            self.counters.add("placement_former_named")
            self.exchange.deliver(CopyReported(request.key, request.part, placement.previous[0]))

    def status_page(self) -> dict[str, object]:
        """Returns the epoch and table in use and the compiled table, as JSON values."""
        return placement_page(self.compilation, self.epochs, self.migration, self.pending_table, self.clock())

    def explain(self, text: str) -> str:
        """Returns as JSON where an object is placed and why; see `explain_placement`."""
        return explain_placement(text, self.find_placement, self.migration)


def reacquire_lease(node: ClusterNode, now: float) -> list[Action]:
    """Releases the tables' lease and bids for it again, to acquire it under a higher term."""
    leases = node.leases
    return [] if leases is None else leases.release(TABLES_LEASE, now) + leases.request(TABLES_LEASE, now)


def routing_request(request: ClientRequest) -> Request:
    """Returns the fields of a client's request that placement depends on."""
    return Request(
        "", request.class_name, 0.0, request.key, request.part, request.group, tenant=request.tenant
    )
