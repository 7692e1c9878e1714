"""Lets a router join and leave the cluster, and dispatches the events of the cluster's components.

All decisions are made by the components. The driver is created only if the settings contain a cluster.
"""

import asyncio
import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from paddlequay.cluster.node import ClusterEvent, ClusterNode
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import MAX_PEERS, Action, Fleet, TableChanged, VerdictChanged
from paddlequay.config.loader import Config, Peering
from paddlequay.net.cluster.event_log import EventLog
from paddlequay.net.cluster.interceptor import ClusterInterceptor
from paddlequay.net.cluster.limit_permits import LimitPermits
from paddlequay.net.cluster.session import ClusterSession
from paddlequay.net.cluster.verdict_exchange import VerdictExchange
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange

if TYPE_CHECKING:
    from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher
    from paddlequay.net.cluster.placement_tables import PlacementTables

LOGGER = logging.getLogger(__name__)

JOIN_INTERVAL_S = 0.1  # between attempts to join while another process of this router has the address


def make_fleet(settings: ClusterSettings, peering: Peering, zone: str) -> Fleet:
    """Returns the routers of the fleet. Raises `ValueError` if the settings do not match the peers."""
    if len(peering.peers) > MAX_PEERS:
        raise ValueError(f"expected at most {MAX_PEERS} peers, got {len(peering.peers)}")
    acceptors = settings.acceptors
    if any(number >= len(peering.peers) for number in acceptors):
        raise ValueError(f"acceptors {list(acceptors)}: there are {len(peering.peers)} peers")
    return Fleet(peering.own_index, len(peering.peers), acceptors, zone)


class ClusterDriver:
    """One router's membership in the cluster. Raises `ValueError` if the settings do not match the peers.

    `session` is None while another process of this router has the address for peers, as during a hot restart:
    otherwise both processes would use the same quota. Meanwhile requests under strict limits are rejected.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        peering: Peering,
        config: Config,
        exchange: Exchange,
        counters: Counters,
    ) -> None:
        self.settings = settings
        self.exchange = exchange
        self.counters = counters
        self.clock = asyncio.get_running_loop().time
        self.fleet = make_fleet(settings, peering, config.settings.zone)
        self.verdicts = VerdictExchange(exchange, counters, self.clock)
        self.permits = LimitPermits(settings, exchange, counters, self.clock)
        self.interceptor = ClusterInterceptor(self, self.permits, self.verdicts, counters)
        self.session: ClusterSession | None = None
        self.prefetcher: ChannelPrefetcher | None = None
        self.placement: PlacementTables | None = None
        self._peering = peering
        self._seed = config.seed
        max_deadline_s = max(request_class.deadline for request_class in config.settings.classes)
        self._max_request_s = config.limits.max_time_to_live * max_deadline_s
        self._event_log = EventLog(counters, self.clock)
        self._joining: asyncio.Task[None] | None = None
        self._is_stopped = True
        self._has_yielded = False
        self._make_session()  # raises `ValueError` now if the peers are invalid
        if settings.placement_rules is not None:
            from paddlequay.net.cluster import placement_tables

            self.placement = placement_tables.PlacementTables(
                settings.placement_rules, config.settings, exchange, counters, self.execute, self.clock
            )

    @property
    def node(self) -> ClusterNode | None:
        """Returns the node of the current session; None without a session."""
        return self.session.node if self.session is not None else None

    def _make_session(self) -> ClusterSession:
        return ClusterSession(
            self.settings,
            self.fleet,
            self._peering,
            self.counters,
            self._seed,
            self._max_request_s,
            self.clock,
            self._handle_events,
        )

    async def start(self) -> None:
        """Joins the cluster, or keeps trying while another process has the address.

        It may be called again after `stop`.
        """
        self._is_stopped = False
        if self.placement is not None:
            self.placement.start()
        if not await self._join():
            log.event(LOGGER, logging.INFO, "cluster_waits", why="another process has the peers' address")
            self._joining = asyncio.ensure_future(self._keep_joining())

    async def _keep_joining(self) -> None:
        while not await self._join():
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _join(self) -> bool:
        """Joins if the peers' address is free; returns whether it was.

        The floors of rate limits gain tokens from then on.
        """
        session = self._make_session()
        try:
            await session.transport.start()
        except OSError:
            session.transport.close()
            return False
        self.session = session
        self.permits.use_limits(session.node.limits)
        if self.placement is not None:
            self.placement.join(session.node)
        self._join_channels(session)
        session.transport.flush()
        log.event(LOGGER, logging.INFO, "cluster_joined", me=self.fleet.me, of=self.fleet.size)
        return True

    def _join_channels(self, session: ClusterSession) -> None:
        """Adds the component for live channels if the settings name classes of them."""
        node = session.node
        rule = self.settings.channels
        if rule is None or node.leases is None:
            return
        from paddlequay.cluster.channels import Channels
        from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher

        now = self.clock()
        channels = Channels(self.fleet, self.settings.bounds, rule, node.leases, session.random(), now)
        node.add_component(channels, Channels.HANDLED_MESSAGES)

        def execute(actions: Sequence[Action]) -> None:
            self.execute(node, actions)

        self.prefetcher = ChannelPrefetcher(
            channels, self.fleet.zone, self.exchange, self.counters, execute, self.clock
        )

    def release(self) -> None:
        """Releases leases that other routers would have to wait for; the router remains in the cluster."""
        session = self.session
        if session is None:
            return
        session.release_leases()
        if self.placement is not None:
            session.execute(self.placement.release_lease(self.clock()))
        if self.prefetcher is not None:
            session.execute(self.prefetcher.channels.drain(self.clock()))
        session.transport.flush()

    def stop(self) -> None:
        """Leaves the cluster and frees the address; strict limits reject all requests until `start`."""
        if self._is_stopped:
            return
        self._is_stopped = True
        self.release()
        if self._joining is not None:
            self._joining.cancel()
        if self.session is not None:
            self.session.transport.close()
        if self.placement is not None:
            self.placement.leave_cluster()
            self.placement.stop()
        self.permits.use_limits(None)
        self.session = None

    def yield_to_successor(self) -> None:
        """Leaves the cluster to a newer process of this router."""
        self.stop()
        self._has_yielded = True

    def resume(self) -> None:
        """Joins again in a new session if this process left the cluster to a successor that has ended."""
        if self._has_yielded:
            self._has_yielded = False
            self._joining = asyncio.ensure_future(self.start())

    def execute(self, node: ClusterNode, actions: Sequence[Action]) -> None:
        """Executes actions and sends the messages, unless `node` belongs to an earlier session."""
        if self.session is not None and node is self.session.node:
            self.session.execute(actions)
            self.session.transport.flush()

    def _handle_events(self, events: Sequence[ClusterEvent]) -> None:
        for event in events:
            self._event_log.record(event)
            if isinstance(event, VerdictChanged):
                self._deliver_verdict(event)
            elif isinstance(event, TableChanged) and self.placement is not None:
                self.placement.table_changed(event)

    def _deliver_verdict(self, event: VerdictChanged) -> None:
        verdicts = self.node.verdicts if self.node is not None else None
        if verdicts is not None:
            self.verdicts.deliver(verdicts, event)
