"""Hot restart as the program sees it: one process takes over from another, and hands over to the next."""

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net import listener as listeners
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.hot_restart import HotRestart
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import MIN_CACHE_CONNECTIONS, QuotaInUse

if TYPE_CHECKING:
    from paddlequay.net.cluster.driver import ClusterDriver

LOGGER = logging.getLogger("paddlequay.main")


class Handover:
    """Prepares this process beside a predecessor, and yields to a successor.

    It owns no connection: it says to the clients' front, to the cluster of a fleet and to the link between
    the two processes what each has to do.
    """

    def __init__(
        self,
        hot_restart: HotRestart,
        exchange: Exchange,
        pool: ConnectionPool,
        clients: ClientFront,
        endpoint_watch: EndpointWatch,
        limits: Limits,
        background: TaskSupervisor,
    ) -> None:
        self.hot_restart = hot_restart
        self.exchange = exchange
        self.pool = pool
        self.clients = clients
        self.endpoint_watch = endpoint_watch
        self.limits = limits
        self.background = background
        self.cluster: ClusterDriver | None = None
        hot_restart.export_state = exchange.router.export_state
        hot_restart.on_inherited_state = exchange.inherit_state
        hot_restart.on_successor = self.reserve_for_successor
        hot_restart.on_replaced = self.yield_to_successor
        hot_restart.on_successor_gone = self.update

    # --- as the successor ---

    async def take_over(self, listener: socket.socket) -> None:
        """Begin to serve: at once, or beside a predecessor once this process has what it needs."""
        began = time.monotonic()
        beside_predecessor = await self.hot_restart.find_predecessor()
        if beside_predecessor:
            with contextlib.suppress(TimeoutError):
                # Where the predecessor ends before, clients have nobody else.
                async with asyncio.timeout(self.limits.warm_up_timeout):
                    await self.first_of(self.warm_up(), self.hot_restart.wait_until_alone())
        self.clients.listen(listener)
        if self.hot_restart.predecessor is not None:
            listeners.steer_to_newest(listener)
            self.hot_restart.announce_ready()
        after = time.monotonic() - began
        log.event(LOGGER, logging.INFO, "serving", beside_predecessor=beside_predecessor, after=after)

    async def warm_up(self) -> None:
        """Have a connection to each edge cache, and the endpoint list complete."""
        await self.pool.warm_up(self.exchange.router.edge_names())
        await self.endpoint_watch.is_current.wait()

    async def first_of(self, *work: Coroutine[Any, Any, None]) -> None:
        """Wait for the first that is done; the others are cancelled."""
        tasks = [self.background.spawn("take_over", each) for each in work]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    # --- as the predecessor ---

    def reserve_for_successor(self) -> None:
        """Beside a successor that is not ready yet: leave it half of what is free."""
        limits, sessions = self.limits, len(self.clients.sessions)
        client_connections = (sessions + limits.client_connections + 1) // 2
        free_for_caches = limits.all_cache_connections - limits.reserved_descriptors
        cache_connections = max(MIN_CACHE_CONNECTIONS, free_for_caches // 2)
        self.hot_restart.give_quota(QuotaInUse(client_connections, cache_connections))

    def yield_to_successor(self) -> None:
        """Beside a successor that takes clients: keep what there is, and have it become less."""
        self.clients.handing_over = True
        if self.cluster is not None:
            self.cluster.yield_to_successor()
        self.hot_restart.give_quota(QuotaInUse(len(self.clients.sessions), len(self.pool.connections())))

    def update(self) -> None:
        """Decide whether clients' connections are to close, at each heartbeat.

        Also at once where a successor has died: connections made until the next heartbeat would be closed.
        """
        self.clients.handing_over = self.clients.served_late_connections or self.hot_restart.replaced
        self.clients.close_quiet_connections()
        if self.cluster is not None and not self.hot_restart.replaced:
            self.cluster.resume()
