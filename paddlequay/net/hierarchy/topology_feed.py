"""The topology feed's client; it reconnects if the feed is silent, disconnects or resets its numbering."""

import logging
from collections.abc import Callable

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.hierarchy.topology import Topology, TopologyLimits
from paddlequay.hierarchy.topology_tracker import DeltaOutcome, DeltaResult, TopologyTracker
from paddlequay.net.endpoints.watch_client import RETRY_PAUSE_S, WatchClient
from paddlequay.net.endpoints.watch_connection import EventParser
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import EndpointList, PurgeEvent, UnusableLine, WatchHeartbeat
from paddlequay.protocol.topology_feed import TopologyEvent, TopologyFeedParser

LOGGER = logging.getLogger(__name__)

FULL_REQUEST_INTERVAL_S = 5.0  # the least time between two requests for all events of the feed
TOPOLOGY_EVENT = "shape"
TOPOLOGY_REPLACED_EVENT = "shape_replaced"
FEED_RESTARTED_EVENT = "feed_went_back"

FeedEvent = TopologyEvent | EndpointList | PurgeEvent


class TopologyFeed(WatchClient[FeedEvent]):
    """Keeps a node's topology up to date, and passes purges to the node.

    Args:
        address: The feed's address.
        tracker: Tracks the current topology.
        topology_limits: Limits of topologies.
        limits: Limits of connections.
        counters: The program's counters.
        monotonic: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        address: Address,
        tracker: TopologyTracker,
        topology_limits: TopologyLimits,
        limits: Limits,
        counters: Counters,
        monotonic: Callable[[], float],
    ) -> None:
        super().__init__(address, limits, counters, "feed")
        self.tracker = tracker
        self.topology_limits = topology_limits
        self.monotonic = monotonic
        self.on_topology: Callable[[Topology], None] = lambda _: None
        self.on_purge: Callable[[PurgeEvent], None] = lambda _: None
        self.full_requested_at = -FULL_REQUEST_INTERVAL_S
        self.must_request_all = False
        # Tracks the topologies that the feed sends from its beginning, until the feed has sent all of them.
        # Meanwhile the current topology stays in force.
        self.catch_up_tracker: TopologyTracker | None = None
        self.restart_from_beginning()

    def restart_from_beginning(self) -> None:
        """Requests the feed from its beginning.

        The feed's versions may be lower than the current one, if that came from another feed or the feed has
        been reset; then the feed's topology replaces it. Therefore the feed's topologies are tracked apart
        until all have arrived. Applied one by one, each old topology would take effect for a moment, and
        those with versions below the current one would be ignored.
        """
        self.last_number = 0
        self.must_request_all = False
        has_topology = bool(self.tracker.topology.version)
        self.catch_up_tracker = TopologyTracker(self.topology_limits) if has_topology else None

    def make_parser(self) -> EventParser[FeedEvent | WatchHeartbeat | UnusableLine]:
        """Returns a parser for a new connection."""
        return TopologyFeedParser(self.limits.max_watch_line, self.topology_limits)

    def handle(self, event: FeedEvent | WatchHeartbeat | UnusableLine) -> None:
        """Handles one line; requests the feed from its beginning if its event numbers have gone back."""
        if isinstance(event, WatchHeartbeat) and event.number < self.last_number:
            self.counters.add("feed_went_back")
            fields = {"had": self.last_number, "tells": event.number}
            log.event(LOGGER, logging.WARNING, FEED_RESTARTED_EVENT, **fields)
            self.must_request_all = True
        else:
            super().handle(event)
        if self.must_request_all:
            self.restart_from_beginning()
            self.restart(RETRY_PAUSE_S)

    def heartbeat(self, number: int) -> None:
        """Adopts the topology tracked from the feed's beginning; a heartbeat follows the last event."""
        tracker = self.catch_up_tracker
        self.catch_up_tracker = None
        if tracker is None or not tracker.topology.version or tracker.topology == self.tracker.topology:
            return
        old_version = self.tracker.topology.version
        new_version = tracker.topology.version
        self.tracker.topology = tracker.topology
        self.tracker.pending = tracker.pending
        if new_version <= old_version:
            self.counters.add("shapes.replaced")
            log.event(LOGGER, logging.WARNING, TOPOLOGY_REPLACED_EVENT, had=old_version, now=new_version)
        self.on_topology(tracker.topology)

    def apply_event(self, event: FeedEvent) -> None:
        """Applies a topology delta or passes on a purge; endpoint lists are for routers and are ignored."""
        if isinstance(event, TopologyEvent):
            self._apply_topology_event(event)
        elif isinstance(event, PurgeEvent):
            self.counters.add("purges")
            self.on_purge(event)

    def _apply_topology_event(self, event: TopologyEvent) -> None:
        tracker = self.catch_up_tracker or self.tracker
        before = tracker.topology
        result = DeltaResult(DeltaOutcome.REJECTED, event.reason)
        if event.delta is not None:
            result = tracker.receive(event.delta)
        self.counters.add(f"shapes.{result.outcome.value}")
        if result.outcome in (DeltaOutcome.REJECTED, DeltaOutcome.PENDING):
            log.event(LOGGER, logging.WARNING, f"shape_{result.outcome.value}", why=result.reason)
            # The delta's base version was missed or never sent. The feed from its beginning contains a full
            # topology.
            if event.delta is not None and event.delta.base_version not in (None, before.version):
                self._request_all()
        topology = tracker.topology
        if tracker is self.tracker and topology is not before:
            fields = {"version": topology.version, "nodes": len(topology.nodes)}
            log.event(LOGGER, logging.INFO, TOPOLOGY_EVENT, **fields)
            self.on_topology(topology)

    def _request_all(self) -> None:
        """Requests all events of the feed after this one, unless that was done within the last seconds."""
        now = self.monotonic()
        if now - self.full_requested_at >= FULL_REQUEST_INTERVAL_S:
            self.full_requested_at = now
            self.counters.add("feed_asked_for_all")
            self.must_request_all = True
