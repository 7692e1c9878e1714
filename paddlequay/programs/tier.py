"""The program of a tier node in the hierarchy: reads its settings, connects the parts, serves, shuts down."""

import asyncio
import contextlib
import logging
import signal
import socket
import time
from pathlib import Path

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.errors import ConfigError
from paddlequay.hierarchy.fill_path import Keyring
from paddlequay.hierarchy.node import CacheNode
from paddlequay.hierarchy.source_fallback import (
    CACHE_KIND,
    ORIGIN_KIND,
    FallbackRouter,
    member_of,
    possible_sources,
)
from paddlequay.hierarchy.topology import Topology
from paddlequay.hierarchy.topology_tracker import TopologyTracker
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX, OperatorState, Override
from paddlequay.net import listener as listeners
from paddlequay.net.console import Console
from paddlequay.net.hierarchy.saved_topology import SavedTopology, TopologySnapshot
from paddlequay.net.hierarchy.tier_front import TierFront
from paddlequay.net.hierarchy.topology_feed import TopologyFeed
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.programs.tier_limits import tier_limits
from paddlequay.programs.tier_page import tier_page
from paddlequay.programs.tier_shutdown import shut_down
from paddlequay.protocol.endpoint_watch import Endpoint, PurgeEvent
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import RoutingSettings
from paddlequay.schema.tier import TierSettings, read_tier

LOGGER = logging.getLogger("paddlequay.programs.tier")

SERVING_EVENT = "serving"
RELOADED_EVENT = "reloaded"
RELOAD_REFUSED_EVENT = "reload_refused"
LOADED_TOPOLOGY_EVENT = "shape_from_file"
UNLISTED_EVENT = "not_in_the_shape"


class NoOtherProcess:
    """Replaces the hot-restart link for the console: a tier node has no second process to ask."""

    async def confirm(self, name: str, override: Override) -> bool:
        """Returns that the override may be applied, which is always so."""
        return True


def routing_settings(settings: TierSettings, limits: Limits) -> RoutingSettings:
    """Returns the routing policy settings for a node's fills."""
    return RoutingSettings(
        zone="",
        classes=settings.classes,
        parent_kind=CACHE_KIND,
        origin_kind=ORIGIN_KIND,
        bypass_allowed=True,
        coalesces_fills=True,
        detailed_replies=True,
        weights="nominal",
        can_cancel=True,
        max_attempts=limits.max_attempts,
        parent_slow_start=settings.slow_start,
        purge_completion=settings.node.purge_memory_s,
    )


class TierProgram:
    """Owns all components of one tier node.

    Args:
        settings: The node's settings.
        path: The settings file, which is read again on SIGHUP.

    Raises:
        ConfigError: An address cannot be bound.
    """

    def __init__(self, settings: TierSettings, path: Path) -> None:
        self.settings = settings
        self.path = path
        self.limits = tier_limits(settings)
        self.counters = Counters()
        self.background = TaskSupervisor(self.counters)
        self.scheduler = LoopScheduler(asyncio.get_running_loop())
        started_at = self.scheduler.unix()
        folder = settings.folder or Path("/nonexistent")
        self.operator_state = OperatorState(folder / f"paddlequay-{settings.name}.json")
        self.node = CacheNode(settings.name, settings.node, settings.migration, started_at, settings.group)
        router = FallbackRouter(routing_settings(settings, self.limits), int(started_at * 1e6), self.node)
        quotas = ProcessQuotas(self.limits)
        self.exchange = Exchange(
            router, self.operator_state, quotas, self.limits, self.scheduler, self.counters
        )
        self.pool = ConnectionPool(self.exchange, quotas, self.limits, self.counters)
        keyring = Keyring(settings.keys)
        self.front = TierFront(
            self.node, router.classes, self.exchange, self.pool, keyring, self.limits, self.counters
        )
        self.console = Console(self.operator_state, self.front, NoOtherProcess(), self.limits, self.counters)
        self.console.pages["hierarchy"] = self.page
        self.operator_state.on_change.append(self.on_override)
        self.tracker = TopologyTracker(settings.topology)
        self.saved_topology: SavedTopology | None = None
        if settings.folder is not None:
            self.saved_topology = self.load_state(settings.folder)
        self.feed = self.make_feed()
        self.listener = self.bind("tier.listen", settings.listen)
        if settings.console is not None:
            self.console.listen(self.bind("tier.console", settings.console))
        self.stop = asyncio.Event()
        self.install_signal_handlers()

    def bind(self, name: str, address: Address) -> socket.socket:
        """Returns a socket bound to the address of a setting; raises `ConfigError`."""
        try:
            return listeners.bind(address)
        except OSError as error:
            raise ConfigError(f"{self.path}: {name}: {address[0]}:{address[1]}: {error.strerror}") from None

    def install_signal_handlers(self) -> None:
        """Makes SIGTERM and SIGINT shut down, SIGUSR1 print the counters and SIGHUP reload the settings."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters, "asked")
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def on_topology(self, topology: Topology) -> None:
        """Adopts a topology from the feed, and saves it for the next start."""
        self.adopt_topology(topology)
        if self.saved_topology is not None:
            self.saved_topology.save_soon(self.snapshot)

    def adopt_topology(self, topology: Topology) -> None:
        """Adopts a topology; updates the pool before the exchange, which may send to new members at once."""
        self.node.follow(topology, self.scheduler.unix())
        sources = possible_sources(topology, self.node.name, self.node.source_selector.group)
        endpoints = tuple(
            Endpoint(member_of(topology, name), topology.nodes[name].address) for name in sources
        )
        self.pool.update_endpoints(endpoints, True)
        self.exchange.update_members(tuple(endpoint.member for endpoint in endpoints), True)
        if self.node.name not in topology.nodes:
            log.event(LOGGER, logging.WARNING, UNLISTED_EVENT, version=topology.version)
        self.front.waiting_for = ""

    def on_purge(self, event: PurgeEvent) -> None:
        """Applies a purge to the cache, to fills in flight and to the routing policy."""
        object_name = None if event.key is None else f"{event.key:016x}"
        self.node.purge(object_name, event.group, event.issued_at, self.scheduler.unix())
        self.exchange.record_purge(event.key, event.group, event.issued_at)

    def on_override(self, name: str) -> None:
        """Applies an operator override: fills ask an ejected node neither as home nor as another source."""
        if name.startswith(EJECTED_PREFIX):
            self.node.source_selector.ejected = set(self.operator_state.ejected_ids)

    def make_feed(self) -> TopologyFeed:
        """Returns the topology feed, which calls this program for each topology and purge."""
        topology_limits = self.settings.topology
        monotonic = self.scheduler.monotonic
        feed = TopologyFeed(
            self.settings.feed, self.tracker, topology_limits, self.limits, self.counters, monotonic
        )
        feed.on_topology = self.on_topology
        feed.on_purge = self.on_purge
        return feed

    def load_state(self, folder: Path) -> SavedTopology:
        """Restores the overrides and the topology of the last run, in case the feed is not reachable."""
        with contextlib.suppress(OSError, ValueError):
            self.operator_state.load()
        self.node.source_selector.ejected = set(self.operator_state.ejected_ids)
        saved = SavedTopology(folder / f"shape-{self.settings.name}", self.settings.topology, self.counters)
        topology = saved.load(self.restore_migration)
        if topology is not None:
            self.tracker.topology = topology
            self.adopt_topology(topology)
            fields = {"version": topology.version, "nodes": len(topology.nodes)}
            log.event(LOGGER, logging.INFO, LOADED_TOPOLOGY_EVENT, **fields)
        return saved

    def restore_migration(self, snapshot: TopologySnapshot) -> None:
        """Resumes the migration of the last run; raises `ValueError` if its state cannot be read."""
        self.node.source_selector.migration.restore_state(snapshot.earlier_groups, self.scheduler.unix())

    def snapshot(self) -> TopologySnapshot:
        """Returns the topology and the migration state that are saved for the next start."""
        return TopologySnapshot(self.tracker.topology, self.node.source_selector.migration.export_state())

    def reload(self) -> None:
        """Reads the settings again, on SIGHUP; only the keys and the feed's address change while serving."""
        try:
            settings = read_tier(self.path)
        except ConfigError as error:
            self.counters.add("reloads_refused")
            log.event(LOGGER, logging.WARNING, RELOAD_REFUSED_EVENT, why=str(error))
            return
        self.counters.add("reloads")
        self.front.change_keys(Keyring(settings.keys))
        self.feed.change_address(settings.feed)
        host, port = settings.feed
        keys = ",".join(key.id for key in settings.keys)
        log.event(LOGGER, logging.INFO, RELOADED_EVENT, feed=f"{host}:{port}", keys=keys)

    def page(self) -> str:
        """Returns the console page that shows the hierarchy."""
        return tier_page(self.node, self.tracker, self.scheduler.unix())

    def print_counters(self, reason: str) -> None:
        """Logs the counters of the program and of the node."""
        for name, count in self.node.counters.counts.items():
            self.counters.counts[f"node.{name}"] = count
        self.counters.counts["node.evicted"] = self.node.cache.copies.evicted
        self.counters.log_all(reason)

    async def run_heartbeats(self) -> None:
        """At each heartbeat, times out requests and closes upstream connections that no longer answer."""
        limits = self.limits
        previous = time.monotonic()
        previous_cpu = time.process_time()
        while True:
            await asyncio.sleep(limits.heartbeat_interval)
            now = time.monotonic()
            cpu = time.process_time()
            self.front.on_heartbeat((cpu - previous_cpu) / max(1e-9, now - previous) / limits.cores)
            is_late = now - previous > limits.heartbeat_interval + limits.max_heartbeat_delay
            previous = now
            previous_cpu = cpu
            if not is_late:
                self.pool.close_unresponsive()

    async def run_sweeps(self) -> None:
        """Periodically closes connections that are idle or stalled."""
        while True:
            await asyncio.sleep(self.limits.sweep_interval)
            self.pool.sweep()
            self.front.sweep()

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down in order."""
        self.background.spawn("feed", self.feed.follow())
        self.background.spawn("heartbeat", self.run_heartbeats())
        self.background.spawn("sweep", self.run_sweeps())
        self.front.listen(self.listener)
        host, port = self.front.address
        log.event(LOGGER, logging.INFO, SERVING_EVENT, node=self.node.name, at=f"{host}:{port}")
        await self.stop.wait()
        await shut_down(self.front, self.listener, self.saved_topology, self.limits)
        await self.background.stop()
        self.print_counters("exit")


async def serve(path: Path) -> None:
    """Runs the node with the settings in a file until a signal stops it."""
    await TierProgram(read_tier(path), path).run()
