"""The connection to the topology feed, made anew whenever it falls silent, breaks or restarts its numbers."""

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

FULL_REQUEST_INTERVAL_S = 5.0  # the feed is asked for everything at most this often
TOPOLOGY_EVENT = "shape"
TOPOLOGY_REPLACED_EVENT = "shape_replaced"
FEED_RESTARTED_EVENT = "feed_went_back"

FeedEvent = TopologyEvent | EndpointList | PurgeEvent


class TopologyFeed(WatchClient[FeedEvent]):
    """Keeps a node's topology current, and passes purges on to it.

    Args:
        address: The feed's address.
        tracker: Holds the current topology.
        topology_limits: Bounds of topologies.
        limits: Bounds of connections.
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
        # What the feed sends from its beginning, beside the topology in force, until all of it has come.
        self.catching_up: TopologyTracker | None = None
        self.start_over()

    def start_over(self) -> None:
        """Requests the feed from its beginning.

        Its versions may be lower than the one in force, which came from another feed or from before this one
        was set up anew; then the feed's holds. So its topologies are tracked apart until all have come: one
        by one, the old ones would be acted on in turn and those below the one in force be ignored.
        """
        self.last_number = 0
        self.must_request_all = False
        has_topology = bool(self.tracker.topology.version)
        self.catching_up = TopologyTracker(self.topology_limits) if has_topology else None

    def make_parser(self) -> EventParser[FeedEvent | WatchHeartbeat | UnusableLine]:
        """Returns a parser for a new connection."""
        return TopologyFeedParser(self.limits.max_watch_line, self.topology_limits)

    def handle(self, event: FeedEvent | WatchHeartbeat | UnusableLine) -> None:
        """Handles one line; a feed whose numbers go back is requested from its beginning."""
        if isinstance(event, WatchHeartbeat) and event.number < self.last_number:
            self.counters.add("feed_went_back")
            fields = {"had": self.last_number, "tells": event.number}
            log.event(LOGGER, logging.WARNING, FEED_RESTARTED_EVENT, **fields)
            self.must_request_all = True
        else:
            super().handle(event)
        if self.must_request_all:
            self.start_over()
            self.restart(RETRY_PAUSE_S)

    def heartbeat(self, number: int) -> None:
        """Acts on the topology that has been caught up with: the feed has sent everything."""
        tracker = self.catching_up
        self.catching_up = None
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
        """Applies a topology delta or passes a purge on; the feed's endpoint lists are for routers."""
        if isinstance(event, TopologyEvent):
            self._apply_topology_event(event)
        elif isinstance(event, PurgeEvent):
            self.counters.add("purges")
            self.on_purge(event)

    def _apply_topology_event(self, event: TopologyEvent) -> None:
        tracker = self.catching_up or self.tracker
        before = tracker.topology
        result = DeltaResult(DeltaOutcome.REJECTED, event.reason)
        if event.delta is not None:
            result = tracker.receive(event.delta)
        self.counters.add(f"shapes.{result.outcome.value}")
        if result.outcome in (DeltaOutcome.REJECTED, DeltaOutcome.PENDING):
            log.event(LOGGER, logging.WARNING, f"shape_{result.outcome.value}", why=result.reason)
            # A delta was missed, or never sent: everything from the start holds a full topology.
            if event.delta is not None and event.delta.base_version not in (None, before.version):
                self._request_all()
        topology = tracker.topology
        if tracker is self.tracker and topology is not before:
            fields = {"version": topology.version, "nodes": len(topology.nodes)}
            log.event(LOGGER, logging.INFO, TOPOLOGY_EVENT, **fields)
            self.on_topology(topology)

    def _request_all(self) -> None:
        """Requests everything once this event is applied, unless that was done shortly before."""
        now = self.monotonic()
        if now - self.full_requested_at >= FULL_REQUEST_INTERVAL_S:
            self.full_requested_at = now
            self.counters.add("feed_asked_for_all")
            self.must_request_all = True
