"""The edge router program: reads the configuration, connects the parts, serves, and shuts down in order."""

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from paddlequay.config.loader import Config, read_config
from paddlequay.config.values import Address
from paddlequay.errors import ConfigError
from paddlequay.lifecycle import signals
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net import listener as listeners
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.console import Console
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.event_handover import EventHandover
from paddlequay.net.hot_restart import HotRestart
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.programs.handover import Handover
from paddlequay.programs.shutdown import shut_down
from paddlequay.protocol.endpoint_watch import EndpointWatchError
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas

if TYPE_CHECKING:
    from paddlequay.net.cluster.driver import ClusterDriver
    from paddlequay.net.endpoints.members import MemberSources

LOGGER = logging.getLogger("paddlequay.main")

DISCOVERY_VARIABLE = "PADDLEQUAY_DISCOVERY"
CLUSTER_VARIABLE = "PADDLEQUAY_CLUSTER"
# Requests create no reference cycles, and a full collection traverses every object of the routing policy.
GC_THRESHOLDS = (20_000, 20, 50)
EXIT_INVALID_CONFIG = 2


class RouterProgram:
    """Owns all components of one router, from their creation to the end of the process.

    Raises:
        ConfigError: If a setting is invalid or an address cannot be bound.

    Attributes:
        known_events: The known events of the configuration as last read.
        members: The member sources besides the endpoint list; None if `PADDLEQUAY_DISCOVERY` is not set.
        cluster: The cluster driver; None if `PADDLEQUAY_CLUSTER` is not set or peers are not allowed.
        listener: The bound socket for clients; it starts to listen when this process takes over.
        stop: Set by SIGTERM or SIGINT.
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.known_events = config.known_events
        self.limits = config.limits
        limits = config.limits
        counters = Counters()
        self.counters = counters
        self.background = TaskSupervisor(counters)
        operator_state = load_operator_state(config.file("json"))
        self.operator_state = operator_state
        quotas = ProcessQuotas(limits)
        self.quotas = quotas
        router = Router(config.settings, config.seed)
        scheduler = LoopScheduler(asyncio.get_running_loop())
        exchange = Exchange(router, operator_state, quotas, limits, scheduler, counters)
        self.exchange = exchange
        self.pool = ConnectionPool(exchange, quotas, limits, counters)
        self.endpoint_watch = EndpointWatch(
            config.endpoint_watch_address, exchange, self.pool, limits, counters
        )
        self.overload = OverloadGuard(limits, config.seed)
        self.clients = ClientFront(exchange, operator_state, quotas, limits, counters, self.overload)
        self.hot_restart = HotRestart(
            config.file("sock"), operator_state, quotas, exchange.executed_ids, limits, counters
        )
        self.handover = self.make_handover()
        self.console = Console(operator_state, self.clients, self.hot_restart, limits, counters)
        self.members = self.make_members()
        self.cluster = self.make_cluster()
        self.handover.cluster = self.cluster
        self.apply_known_events()
        self.listener = bind_setting("listen", config.listen)
        if config.console is not None:
            self.console.listen(bind_setting("console", config.console))
        self.stop = asyncio.Event()
        self.handle_signals()

    def make_handover(self) -> Handover:
        """Returns what takes over from a predecessor and yields to a successor."""
        return Handover(
            self.hot_restart,
            self.exchange,
            self.pool,
            self.clients,
            self.endpoint_watch,
            EventHandover(self.endpoint_watch, lambda: self.known_events),
            self.limits,
            self.background,
        )

    def apply_known_events(self) -> None:
        """Applies the endpoint list of the configuration. Raises `ConfigError` if it is invalid."""
        try:
            self.endpoint_watch.start_from(self.config.known_events)
        except EndpointWatchError as error:
            raise ConfigError(f"known: {error}") from None

    def make_members(self) -> "MemberSources | None":
        """Returns the member sources besides the endpoint list; None if `PADDLEQUAY_DISCOVERY` is not set."""
        path = os.environ.get(DISCOVERY_VARIABLE)
        if not path:
            return None
        from paddlequay.net.endpoints.members import MemberSources
        from paddlequay.schema.discovery import read_discovery

        settings = read_discovery(Path(path))
        name = self.config.name
        members = MemberSources(settings, self.endpoint_watch, self.exchange, self.pool, self.counters, name)
        self.console.pages["members"] = members.page
        self.console.queries["members"] = members.explain
        return members

    def make_cluster(self) -> "ClusterDriver | None":
        """Returns the cluster driver; None if `PADDLEQUAY_CLUSTER` is not set or peers are not allowed."""
        path = os.environ.get(CLUSTER_VARIABLE)
        if not path:
            return None
        from paddlequay.net.cluster.driver import ClusterDriver
        from paddlequay.net.cluster.status_page import status_page
        from paddlequay.schema.cluster import read_cluster

        settings = read_cluster(Path(path))
        if self.config.peering is None:
            log.event(LOGGER, logging.WARNING, "cluster_off", why="the platform allows or names no peers")
            return None
        try:
            cluster = ClusterDriver(settings, self.config.peering, self.config, self.exchange, self.counters)
        except ValueError as error:
            raise ConfigError(f"{path}: {error}") from None
        self.exchange.attempts.interceptor = cluster.interceptor
        self.console.pages["cluster"] = lambda: status_page(cluster)
        if cluster.placement is not None:
            self.console.queries["placement"] = cluster.placement.explain
        return cluster

    def handle_signals(self) -> None:
        """Installs the signal handlers, then unblocks the signals that were held back during start-up."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.counters.log_all, "signal")
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signals.release()

    def reload(self) -> None:
        """Reads the configuration again, on SIGHUP.

        The endpoint list's address, the member sources and the placement rules change while the router
        serves; all other settings change at the next start. An invalid configuration is refused and logged.
        """
        try:
            config = read_config(os.environ)
            if self.members is not None:
                from paddlequay.schema.discovery import read_discovery

                self.members.reload(read_discovery(Path(os.environ[DISCOVERY_VARIABLE])))
            if self.cluster is not None and self.cluster.placement is not None:
                self.cluster.placement.reload()
        except ConfigError as error:
            self.counters.add("reloads_refused")
            log.event(LOGGER, logging.WARNING, "reload_refused", why=str(error))
            return
        self.counters.add("reloads")
        self.known_events = config.known_events
        self.endpoint_watch.change_address(config.endpoint_watch_address)
        host, port = config.endpoint_watch_address
        log.event(LOGGER, logging.INFO, "reloaded", bulletin=f"{host}:{port}")

    async def sweep_periodically(self) -> None:
        """Periodically closes connections that have been idle for too long, and logs the counters."""
        printed_at = time.monotonic()
        while True:
            await asyncio.sleep(self.limits.sweep_interval)
            self.pool.sweep()
            self.clients.sweep()
            if time.monotonic() - printed_at >= self.limits.counters_interval:
                printed_at = time.monotonic()
                self.counters.log_all("period")

    async def heartbeat(self) -> None:
        """At each heartbeat, updates the handover, samples the load and closes unresponsive caches."""
        while True:
            self.handover.update()
            if self.hot_restart.replaced:
                self.handover.yield_to_successor()
            # After a late heartbeat, answers that have arrived may still be unread, so that caches only look
            # unresponsive.
            is_on_time = self.overload.sample(time.monotonic(), time.process_time())
            if is_on_time:
                self.pool.close_unresponsive()
            await asyncio.sleep(self.limits.heartbeat_interval)

    async def run_until_stop(self, work: Coroutine[Any, Any, None]) -> bool:
        """Runs `work` until it ends, or cancels it when the program is stopped.

        Returns:
            Whether `work` ended by itself; if it failed, its error is raised.
        """
        task = asyncio.ensure_future(work)
        stop_task = asyncio.ensure_future(self.stop.wait())
        try:
            await asyncio.wait((task, stop_task), return_when=asyncio.FIRST_COMPLETED)
        finally:
            stop_task.cancel()
            if not task.done():
                task.cancel()
        await asyncio.wait((task,))
        if task.cancelled():
            return False
        task.result()
        return True

    async def run(self) -> None:
        """Serves until SIGTERM, then shuts down in order."""
        self.background.supervise("follow", self.endpoint_watch.follow)
        self.background.supervise("sweep", self.sweep_periodically)
        self.background.supervise("heartbeat", self.heartbeat)
        if self.members is not None:
            self.members.start()
        if self.cluster is not None:
            await self.cluster.start()
        limits = self.limits
        log.event(LOGGER, logging.INFO, "started", cores=limits.cores, clients=limits.client_connections)
        if await self.run_until_stop(self.handover.take_over(self.listener)):
            await self.stop.wait()
        if self.cluster is not None:
            self.cluster.release()
        if self.clients.listener is not None:  # otherwise this process never accepted clients
            await shut_down(self.clients, self.hot_restart, self.limits)
        await self.close()

    async def close(self) -> None:
        """Stops all tasks and links; called after the client connections are closed."""
        await self.background.stop()
        if self.members is not None:
            self.members.stop()
        if self.cluster is not None:
            self.cluster.stop()
        self.hot_restart.close()
        self.counters.log_all("exit")
        signals.ignore(asyncio.get_running_loop())


def load_operator_state(path: Path) -> OperatorState:
    """Returns the saved operator overrides; if the file cannot be read, logs that and returns none."""
    state = OperatorState(path)
    try:
        state.load()
    except (OSError, ValueError) as error:
        log.event(LOGGER, logging.WARNING, "overrides_unreadable", path=state.path, why=str(error))
    return state


def bind_setting(name: str, address: Address) -> socket.socket:
    """Returns a socket bound to the address of a setting. Raises `ConfigError` that names the setting."""
    try:
        return listeners.bind(address)
    except OSError as error:
        raise ConfigError(f"{name}: {address[0]}:{address[1]}: {error.strerror}") from None


async def serve(config: Config) -> None:
    """Runs one router in the running event loop."""
    await RouterProgram(config).run()


def run_router() -> int:
    """Runs the router until it is stopped; returns the exit code: 0, or 2 for an invalid configuration."""
    log.set_up()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        config = read_config(os.environ, peers=bool(os.environ.get(CLUSTER_VARIABLE)))
        asyncio.run(serve(config))
    except ConfigError as error:
        print(f"paddlequay: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    return 0
