"""The real edge router: read the configuration, wire the parts, serve, and shut down in order."""

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
from paddlequay.net.hot_restart import HotRestart
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.programs.handover import Handover
from paddlequay.programs.shutdown import shut_down
from paddlequay.protocol import endpoint_watch as bulletin
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas

if TYPE_CHECKING:
    from paddlequay.net.cluster.driver import ClusterDriver
    from paddlequay.net.endpoints.members import MemberSources

LOGGER = logging.getLogger("paddlequay.main")

DISCOVERY_VARIABLE = "PADDLEQUAY_DISCOVERY"
CLUSTER_VARIABLE = "PADDLEQUAY_CLUSTER"
# Requests leave no cycles behind, and a full collection walks the decisions' table of objects: be rare.
COLLECTOR_THRESHOLDS = (20_000, 20, 50)


class RouterProgram:
    """All parts of one router, from their wiring to the end of the process."""

    def __init__(self, config: Config) -> None:
        """Wire the parts and bind the addresses. Raises `ConfigError` where that cannot be done."""
        self.config, self.limits = config, config.limits
        limits = config.limits
        self.counters = counters = Counters()
        self.background = TaskSupervisor(counters)
        self.operator_state = operator_state = self.load_operator_state()
        self.quotas = quotas = ProcessQuotas(limits)
        router = Router(config.settings, config.seed)
        scheduler = LoopScheduler(asyncio.get_running_loop())
        self.exchange = exchange = Exchange(router, operator_state, quotas, limits, scheduler, counters)
        self.pool = ConnectionPool(exchange, quotas, limits, counters)
        self.endpoint_watch = EndpointWatch(config.bulletin, exchange, self.pool, limits, counters)
        self.overload = OverloadGuard(limits, config.seed)
        self.clients = ClientFront(exchange, operator_state, quotas, limits, counters, self.overload)
        self.hot_restart = HotRestart(config.file("sock"), operator_state, quotas, limits, counters)
        self.handover = Handover(
            self.hot_restart, exchange, self.pool, self.clients, self.endpoint_watch, limits, self.background
        )
        self.console = Console(operator_state, self.clients, self.hot_restart, limits, counters)
        self.members = self.make_members()
        self.cluster = self.handover.cluster = self.make_cluster()
        try:
            self.endpoint_watch.start_from(config.known)
        except bulletin.EndpointWatchError as error:
            raise ConfigError(f"known: {error}") from None
        self.listener = self.bind("listen", config.listen)
        if config.console is not None:
            self.console.listen(self.bind("console", config.console))
        self.stop = asyncio.Event()
        self.handle_signals()

    def load_operator_state(self) -> OperatorState:
        """What operators have ordered before; nothing where the file cannot be read."""
        state = OperatorState(self.config.file("json"))
        try:
            state.load()
        except (OSError, ValueError) as error:
            log.event(LOGGER, logging.WARNING, "overrides_unreadable", path=state.path, why=str(error))
        return state

    def make_members(self) -> "MemberSources | None":
        """Further sources of members, where a settings file of the installation names them."""
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
        """What the routers share, where a settings file of the installation says so and peers are allowed."""
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

    @staticmethod
    def bind(name: str, address: Address) -> socket.socket:
        """A socket bound to the address of a setting; raises `ConfigError` with its name."""
        try:
            return listeners.bind(address)
        except OSError as error:
            raise ConfigError(f"{name}: {address[0]}:{address[1]}: {error.strerror}") from None

    def handle_signals(self) -> None:
        """Act on signals from now on, those that have come meanwhile too."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.counters.print, "signal")
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signals.release()

    def reload(self) -> None:
        """Read the configuration anew, on SIGHUP.

        The address of the endpoint list, the sources of members and the placement rules are taken up while
        serving; the rest holds from the next start. One that cannot be used leaves all as it was.
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
            return log.event(LOGGER, logging.WARNING, "reload_refused", why=str(error))
        self.counters.add("reloads")
        self.endpoint_watch.change_address(config.bulletin)
        host, port = config.bulletin
        log.event(LOGGER, logging.INFO, "reloaded", bulletin=f"{host}:{port}")

    async def sweep_periodically(self) -> None:
        """Look for what has been idle for too long, and print the counters now and then."""
        printed_at = time.monotonic()
        while True:
            await asyncio.sleep(self.limits.sweep_interval)
            self.pool.sweep()
            self.clients.sweep()
            if time.monotonic() - printed_at >= self.limits.counters_interval:
                printed_at = time.monotonic()
                self.counters.print("period")

    async def heartbeat(self) -> None:
        """Look at the process's own load, at the handover and at unresponsive caches."""
        while True:
            self.handover.update()
            if self.hot_restart.replaced:
                self.handover.yield_to_successor()
            # After a late heartbeat, what has come is not read yet: no cache is taken for unresponsive then.
            if self.overload.sample(time.monotonic(), time.process_time()):
                self.pool.close_unresponsive()
            await asyncio.sleep(self.limits.heartbeat_interval)

    async def run_until_stop(self, work: Coroutine[Any, Any, None]) -> bool:
        """Whether `work` ended before the program is to stop, else it is cancelled; raises its error."""
        task, stopped = asyncio.ensure_future(work), asyncio.ensure_future(self.stop.wait())
        try:
            await asyncio.wait((task, stopped), return_when=asyncio.FIRST_COMPLETED)
        finally:
            stopped.cancel()
            if not task.done():
                task.cancel()
        await asyncio.wait((task,))
        if task.cancelled():
            return False
        task.result()
        return True

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down in order."""
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
        if self.clients.listener is not None:  # else nothing was taken, and a predecessor goes on alone
            await shut_down(self.clients, self.hot_restart, self.limits)
        await self.close()

    async def close(self) -> None:
        """End all tasks and links, after the clients' connections."""
        await self.background.stop()
        if self.members is not None:
            self.members.stop()
        if self.cluster is not None:
            self.cluster.stop()
        self.hot_restart.close()
        self.counters.print("exit")
        signals.ignore(asyncio.get_running_loop())


async def serve(config: Config) -> None:
    """Run one router in the running loop."""
    await RouterProgram(config).run()


def run_router() -> int:
    """Run the router until its end; the exit code, 2 for a configuration that cannot be used."""
    log.set_up()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    try:
        config = read_config(os.environ, peers=bool(os.environ.get(CLUSTER_VARIABLE)))
        asyncio.run(serve(config))
    except ConfigError as error:
        print(f"paddlequay: {error}", file=sys.stderr)
        return 2
    return 0
