"""The connection to the feed of shapes, made anew whenever it falls silent, breaks or goes back."""

import logging
from collections.abc import Callable

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.hierarchy.topology import DeltaOutcome, Topology, TopologyLimits, TopologyTracker
from paddlequay.net.endpoints.watch_client import RETRY_PAUSE_S, EventParser, WatchClient
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import endpoint_watch as bulletin
from paddlequay.protocol import topology_feed as feed
from paddlequay.protocol.endpoint_watch import UnusableLine, WatchHeartbeat

LOGGER = logging.getLogger(__name__)

WHOLE_PAUSE = 5.0  # the feed is asked for everything at most this often


class Feed(WatchClient[feed.Shaped | bulletin.EndpointList | bulletin.PurgeEvent]):
    """Keeps a node's shape up to date, and tells it of purges."""

    def __init__(
        self,
        address: Address,
        shaper: TopologyTracker,
        shape_limits: TopologyLimits,
        limits: Limits,
        counters: Counters,
        now: Callable[[], float],
    ) -> None:
        super().__init__(address, limits, counters, "feed")
        self.shaper, self.shape_limits, self.now = shaper, shape_limits, now
        self.on_shape: Callable[[Topology], None] = lambda _: None
        self.on_purge: Callable[[bulletin.PurgeEvent], None] = lambda _: None
        self.whole_at = -WHOLE_PAUSE
        # What a feed tells from its beginning, until all of it has come: beside the shape that stands.
        self.beside: TopologyTracker | None = None
        self.begin_anew()

    def begin_anew(self) -> None:
        """Ask the feed from its beginning.

        Its versions may be lower than the one that stands, which was kept from another feed or from before
        this one was set up anew: the feed's word holds. Taken one by one its old shapes would be acted on in
        turn, and those lower than the one kept be passed over: a tier then held on to addresses long gone.
        """
        self.last_number = 0
        self.asks = False
        self.beside = TopologyTracker(self.shape_limits) if self.shaper.shape.version else None

    def make_parser(
        self,
    ) -> EventParser[
        feed.Shaped | bulletin.EndpointList | bulletin.PurgeEvent | WatchHeartbeat | UnusableLine
    ]:
        return feed.Reader(self.limits.max_bulletin_line, self.shape_limits)

    def handle(
        self, news: feed.Shaped | bulletin.EndpointList | bulletin.PurgeEvent | WatchHeartbeat | UnusableLine
    ) -> None:
        """Take in one line's news. A feed whose numbers go back has begun anew: asked for everything."""
        if isinstance(news, WatchHeartbeat) and news.number < self.last_number:
            self.counters.add("feed_went_back")
            log.event(LOGGER, logging.WARNING, "feed_went_back", had=self.last_number, tells=news.number)
            self.asks = True
        else:
            super().handle(news)
        if self.asks:
            self.begin_anew()
            self.restart(RETRY_PAUSE_S)

    def heartbeat(self, number: int) -> None:
        self.adopt()

    def apply_event(self, event: feed.Shaped | bulletin.EndpointList | bulletin.PurgeEvent) -> None:
        if isinstance(event, feed.Shaped):
            self.shaped(event)
        elif isinstance(event, bulletin.PurgeEvent):
            self.counters.add("purges")
            self.on_purge(event)

    def adopt(self) -> None:
        """All that the feed has told from its beginning has come: act on that."""
        beside, self.beside = self.beside, None
        if beside is None or not beside.shape.version or beside.shape == self.shaper.shape:
            return
        had, now = self.shaper.shape.version, beside.shape.version
        self.shaper.shape, self.shaper.held = beside.shape, beside.held
        if now <= had:
            self.counters.add("shapes.replaced")
            log.event(LOGGER, logging.WARNING, "shape_replaced", had=had, now=now)
        self.on_shape(beside.shape)

    def shaped(self, item: feed.Shaped) -> None:
        shaper = self.beside or self.shaper
        before = shaper.shape
        took, why = DeltaOutcome.REFUSED, item.why
        if item.delta is not None:
            took = shaper.take(item.delta)
            why = shaper.said
        self.counters.add(f"shapes.{took.value}")
        if took in (DeltaOutcome.REFUSED, DeltaOutcome.HELD):
            log.event(LOGGER, logging.WARNING, f"shape_{took.value}", why=why)
            # Something was missed, or never told: everything from the start holds a whole shape.
            if item.delta is not None and item.delta.base not in (None, before.version):
                self.ask_for_all()
        if shaper is self.shaper and shaper.shape is not before:
            version, nodes = shaper.shape.version, len(shaper.shape.nodes)
            log.event(LOGGER, logging.INFO, "shape", version=version, nodes=nodes)
            self.on_shape(shaper.shape)

    def ask_for_all(self) -> None:
        if self.now() - self.whole_at >= WHOLE_PAUSE:
            self.whole_at = self.now()
            self.counters.add("feed_asked_for_all")
            self.asks = True  # once this event is had
