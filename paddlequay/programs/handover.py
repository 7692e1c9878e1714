"""The handover of a hot restart: this process takes over from a predecessor, and yields to a successor."""

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
from paddlequay.net.endpoints.event_handover import EventHandover
from paddlequay.net.hot_restart import HotRestart
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.quotas import MIN_CACHE_CONNECTIONS, QuotaInUse

if TYPE_CHECKING:
    from paddlequay.net.cluster.driver import ClusterDriver

LOGGER = logging.getLogger("paddlequay.main")


class Handover:
    """Takes over from a predecessor process, and later yields to a successor process.

    It owns no connections: it tells the client front, the cluster driver and the hot-restart link what to do.

    Attributes:
        cluster: The cluster driver; None if this router is not part of a cluster.
    """

    def __init__(
        self,
        hot_restart: HotRestart,
        exchange: Exchange,
        pool: ConnectionPool,
        clients: ClientFront,
        endpoint_watch: EndpointWatch,
        events: EventHandover,
        limits: Limits,
        background: TaskSupervisor,
    ) -> None:
        self.hot_restart = hot_restart
        self.exchange = exchange
        self.pool = pool
        self.clients = clients
        self.endpoint_watch = endpoint_watch
        self.events = events
        self.limits = limits
        self.background = background
        self.cluster: ClusterDriver | None = None
        hot_restart.events = events
        hot_restart.export_state = exchange.router.export_state
        hot_restart.on_inherited_state = exchange.inherit_state
        hot_restart.on_successor = self.reserve_for_successor
        hot_restart.on_replaced = self.yield_to_successor
        hot_restart.on_successor_gone = self.update

    async def take_over(self, listener: socket.socket) -> None:
        """Starts to accept clients: at once, or after the warm-up if a predecessor is still serving."""
        started_at = time.monotonic()
        beside_predecessor = await self.hot_restart.find_predecessor()
        if beside_predecessor:
            with contextlib.suppress(TimeoutError):
                # If the predecessor ends first, no other process serves clients, so the warm-up is cut short.
                async with asyncio.timeout(self.limits.warm_up_timeout):
                    await self.first_of(self.warm_up(), self.hot_restart.wait_until_alone())
            if not self.knows_all_purges:
                self.distrust_older_copies()
        self.clients.listen(listener)
        if self.hot_restart.predecessor is not None:
            listeners.steer_to_newest(listener)
            self.hot_restart.announce_ready()
        elapsed_s = time.monotonic() - started_at
        log.event(
            LOGGER,
            logging.INFO,
            "serving",
            beside_predecessor=beside_predecessor,
            last_event=self.endpoint_watch.last_number,
            current=self.endpoint_watch.is_current.is_set(),
            inherited=self.events.inherited.is_set(),
            after=elapsed_s,
        )

    @property
    def knows_all_purges(self) -> bool:
        """Returns whether the purges since the start of the predecessor are known."""
        return self.endpoint_watch.is_current.is_set() or self.events.inherited.is_set()

    def distrust_older_copies(self) -> None:
        """Accepts no copy from before this moment until the endpoint watch has delivered all purges."""
        log.event(LOGGER, logging.WARNING, "purges_unknown", last_event=self.endpoint_watch.last_number)
        self.exchange.purge_all()
        self.events.set_purges_unknown(True)
        self.background.spawn("purges", self.trust_copies_when_current())

    async def trust_copies_when_current(self) -> None:
        """Accepts older copies again once all purges are known."""
        await self.endpoint_watch.is_current.wait()
        self.exchange.end_purge_of_all()
        self.events.set_purges_unknown(False)

    async def warm_up(self) -> None:
        """Opens a connection to each edge cache, and waits for the complete endpoint list."""
        if self.events.expected:
            await self.events.inherited.wait()
        await self.pool.warm_up(self.exchange.router.edge_names())
        await self.endpoint_watch.is_current.wait()

    async def first_of(self, *work: Coroutine[Any, Any, None]) -> None:
        """Runs the coroutines until one of them ends, then cancels the others."""
        tasks = [self.background.spawn("take_over", each) for each in work]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def reserve_for_successor(self) -> None:
        """Reserves half of the unused descriptors for a successor that is not ready yet."""
        limits = self.limits
        session_count = len(self.clients.sessions)
        client_connections = (session_count + limits.client_connections + 1) // 2
        free_for_caches = limits.all_cache_connections - limits.reserved_descriptors
        cache_connections = max(MIN_CACHE_CONNECTIONS, free_for_caches // 2)
        self.hot_restart.report_quota(QuotaInUse(client_connections, cache_connections))

    def yield_to_successor(self) -> None:
        """Closes client connections gradually and opens no new ones, as a successor accepts the clients."""
        self.clients.handing_over = True
        if self.cluster is not None:
            self.cluster.yield_to_successor()
        self.hot_restart.report_quota(QuotaInUse(len(self.clients.sessions), len(self.pool.connections())))

    def update(self) -> None:
        """Updates whether client connections are to be closed; called at each heartbeat.

        Also called as soon as a successor has died: connections that are accepted before the next heartbeat
        must stay open.
        """
        self.clients.handing_over = self.clients.served_late_connections or self.hot_restart.replaced
        self.clients.close_quiet_connections()
        if self.cluster is not None and not self.hot_restart.replaced:
            self.cluster.resume()
