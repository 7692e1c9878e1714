"""The real edge router: read the configuration, wire the parts, serve, and end in order."""

import asyncio
import contextlib
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
from paddlequay.net import listener as door
from paddlequay.net.bulletin import Follower
from paddlequay.net.caches import Pool
from paddlequay.net.clients import Front
from paddlequay.net.console import Console
from paddlequay.net.hot_restart import HotRestart
from paddlequay.net.scheduler import LoopScheduler
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy import Router
from paddlequay.programs.shutdown import shut_down
from paddlequay.protocol import bulletin
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse

if TYPE_CHECKING:
    from paddlequay.net.members import Members
    from paddlequay.net.sharing import Sharing

LOGGER = logging.getLogger("paddlequay.main")


class RouterProgram:
    """All parts of one router."""

    def __init__(self, config: Config) -> None:
        loop = asyncio.get_running_loop()
        self.config = config
        self.limits = config.limits
        self.counters = Counters()
        self.background = TaskSupervisor(self.counters)
        self.operator_state = OperatorState(config.file("json"))
        try:
            self.operator_state.load()
        except (OSError, ValueError) as error:
            log.event(
                LOGGER, logging.WARNING, "overrides_unreadable", path=self.operator_state.path, why=str(error)
            )
        self.quotas = ProcessQuotas(self.limits)
        router = Router(config.settings, config.seed)
        scheduler = LoopScheduler(loop)
        self.exchange = Exchange(
            router, self.operator_state, self.quotas, self.limits, scheduler, self.counters
        )
        self.pool = Pool(self.exchange, self.quotas, self.limits, self.counters)
        self.endpoint_watch = Follower(config.bulletin, self.exchange, self.pool, self.limits, self.counters)
        self.overload = OverloadGuard(self.limits, config.seed)
        self.clients = Front(
            self.exchange, self.operator_state, self.quotas, self.limits, self.counters, self.overload
        )
        self.hot_restart = HotRestart(
            config.file("sock"), self.operator_state, self.quotas, self.limits, self.counters
        )
        self.hot_restart.export_state, self.hot_restart.on_inherited_state = (
            router.export_state,
            self.exchange.inherit_state,
        )
        self.hot_restart.on_successor, self.hot_restart.on_replaced = (
            self.make_room_for_successor,
            self.hand_over,
        )
        self.hot_restart.on_successor_gone = self.update_handover
        self.console = Console(
            self.operator_state, self.clients, self.hot_restart, self.limits, self.counters
        )
        self.members = self.make_members()
        self.sharing = self.make_sharing()
        try:
            self.endpoint_watch.start_from(config.known)
        except bulletin.MalformedError as error:
            raise ConfigError(f"known: {error}") from None
        self.listener = self.bind("listen", config.listen)
        if config.console is not None:
            self.console.listen(self.bind("console", config.console))
        self.stop = asyncio.Event()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.counters.print, "signal")
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signals.let_through()

    def make_members(self) -> "Members | None":
        """Other sources of members than the bulletin, where a settings file of the installation names
        them."""
        path = os.environ.get("PADDLEQUAY_DISCOVERY")
        if not path:
            return None
        from paddlequay.net.members import Members
        from paddlequay.schema.sources import read_discovery

        settings = read_discovery(Path(path))
        members = Members(
            settings, self.endpoint_watch, self.exchange, self.pool, self.counters, self.config.name
        )
        self.console.pages["members"] = members.page
        self.console.queries["members"] = members.explain
        return members

    def make_sharing(self) -> "Sharing | None":
        """What the routers share, where a settings file of the installation says so and peers are allowed."""
        path = os.environ.get("PADDLEQUAY_CLUSTER")
        if not path:
            return None
        from paddlequay.net.sharing import Sharing
        from paddlequay.net.sharing_page import page
        from paddlequay.schema.cluster import read_cluster

        settings = read_cluster(Path(path))
        if self.config.peering is None:
            log.event(LOGGER, logging.WARNING, "cluster_off", why="the platform allows or names no peers")
            return None
        try:
            sharing = Sharing(settings, self.config.peering, self.config, self.exchange, self.counters)
        except ValueError as error:
            raise ConfigError(f"{path}: {error}") from None
        self.exchange.attempts.interceptor = sharing
        self.console.pages["cluster"] = lambda: page(sharing)
        if sharing.placing is not None:
            self.console.queries["placement"] = sharing.placing.explain
        return sharing

    @staticmethod
    def bind(name: str, address: Address) -> socket.socket:
        try:
            return door.bound(address)
        except OSError as error:
            raise ConfigError(f"{name}: {address[0]}:{address[1]}: {error.strerror}") from None

    def reload(self) -> None:
        """Read the configuration anew; of what changes, the bulletin's address can be taken up while serving.

        The signal's default action ended the program, and with it all requests it held.
        """
        try:
            config = read_config(os.environ)
            if self.members is not None:
                from paddlequay.schema.sources import read_discovery

                self.members.reload(read_discovery(Path(os.environ["PADDLEQUAY_DISCOVERY"])))
            if self.sharing is not None and self.sharing.placing is not None:
                self.sharing.placing.reload()
        except ConfigError as error:
            self.counters.add("reloads_refused")
            return log.event(LOGGER, logging.WARNING, "reload_refused", why=str(error))
        self.counters.add("reloads")
        self.endpoint_watch.move(config.bulletin)
        host, port = config.bulletin
        log.event(LOGGER, logging.INFO, "reloaded", bulletin=f"{host}:{port}")

    def hand_over(self) -> None:
        """Beside a newer process that takes clients: keep what there is, and have it become less."""
        self.clients.giving_way = True
        if self.sharing is not None:
            self.sharing.give_way()
        self.hot_restart.give_quota(QuotaInUse(len(self.clients.sessions), len(self.pool.held())))

    def make_room_for_successor(self) -> None:
        """Beside a newer process that is not ready yet: leave it half of what is free."""
        limits, held = self.limits, len(self.clients.sessions)
        caches = (limits.all_cache_connections - limits.reserved_descriptors) // 2
        self.hot_restart.give_quota(QuotaInUse((held + limits.client_connections + 1) // 2, max(4, caches)))

    def update_handover(self) -> None:
        """Whether clients' connections are to go. Asked at each beat, and at once where a newer process has
        died: who connects here until the next beat would be closed on."""
        self.clients.giving_way = self.clients.closing or self.hot_restart.replaced
        self.clients.empty()
        if self.sharing is not None and not self.hot_restart.replaced:
            self.sharing.come_back()

    async def sweep_periodically(self) -> None:
        """What is looked at now and then rather than at an event."""
        printed = time.monotonic()
        while True:
            await asyncio.sleep(self.limits.sweep_interval)
            self.pool.sweep()
            self.clients.sweep()
            if time.monotonic() - printed >= self.limits.counters_interval:
                printed = time.monotonic()
                self.counters.print("period")

    async def heartbeat(self) -> None:
        while True:
            self.update_handover()
            if self.hot_restart.replaced:
                self.hand_over()
            # After a late beat, what has come is not read yet: no silence can be told from that.
            if self.overload.sample(time.monotonic(), time.process_time()):
                self.pool.watch()
            await asyncio.sleep(self.limits.heartbeat_interval)

    async def take_over(self) -> None:
        """Begin to serve: at once, or beside an older process once this one knows and holds what it needs."""
        began = time.monotonic()
        older = await self.hot_restart.find_predecessor()
        if older:
            with contextlib.suppress(TimeoutError):
                # Where the older one ends before, clients have nobody else.
                async with asyncio.timeout(self.limits.warm_up_timeout):
                    await self.first_of(self.prepare(), self.hot_restart.wait_until_alone())
        self.clients.listen(self.listener)
        if self.hot_restart.predecessor is not None:
            door.steer(self.listener)
            self.hot_restart.announce_ready()
        log.event(LOGGER, logging.INFO, "serving", beside_predecessor=older, after=time.monotonic() - began)

    async def prepare(self) -> None:
        """Have a connection to each edge cache, and the bulletin's word that nothing is missing."""
        await self.pool.warm(self.exchange.router.edge_names())
        await self.endpoint_watch.current.wait()

    async def run_until_stop(self, work: Coroutine[Any, Any, None]) -> bool:
        """Whether this was done before the program is to stop; else it is given up. Raises what it raises."""
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

    async def first_of(self, *work: Coroutine[Any, Any, None]) -> None:
        """Wait for the first that is done; the others are given up."""
        tasks = [self.background.spawn("take_over", each) for each in work]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self) -> None:
        """Serve until SIGTERM, then end in order."""
        self.background.supervise("follow", self.endpoint_watch.follow)
        self.background.supervise("sweeping", self.sweep_periodically)
        self.background.supervise("beating", self.heartbeat)
        limits = self.limits
        if self.members is not None:
            self.members.start()
        if self.sharing is not None:
            await self.sharing.start()
        log.event(LOGGER, logging.INFO, "started", cores=limits.cores, clients=limits.client_connections)
        if await self.run_until_stop(self.take_over()):
            await self.stop.wait()
        if self.sharing is not None:
            self.sharing.leave()
        if self.clients.listener is not None:  # else nothing was taken, and an older process goes on alone
            await shut_down(self.clients, self.hot_restart, self.limits)
        await self.background.stop()
        if self.members is not None:
            self.members.stop()
        if self.sharing is not None:
            self.sharing.stop()
        self.hot_restart.close()
        self.counters.print("exit")
        signals.end(asyncio.get_running_loop())


async def serve(config: Config) -> None:
    await RouterProgram(config).run()


def run_router() -> int:
    """Run the router until its end; the exit code."""
    log.set_up()
    # Requests leave no cycles behind, and a full collection walks the decisions' table of objects: be rare.
    gc.set_threshold(20_000, 20, 50)
    try:
        asyncio.run(serve(read_config(os.environ, peers=bool(os.environ.get("PADDLEQUAY_CLUSTER")))))
    except ConfigError as error:
        print(f"paddlequay: {error}", file=sys.stderr)
        return 2
    return 0
