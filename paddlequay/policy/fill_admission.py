"""Fill admission: whether a request may be filled through the incoming link of the zone.

All fills from outside a zone share one link. There are two estimates of its load, in transfers through the
link over the transfers that fit at full rate. Each decides where it is known:

- Load reports of edges give the load directly.
- A router that knows the size of the link multiplies its own fills in flight by the number of routers of the
  zone. It overestimates its fills, as it cannot tell hits apart without reply details, so this estimate has
  spans of its own.

If the link is full, the requests with the most bytes per priority weight are shed first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from paddlequay.policy.load_shedding import ZoneLoad
from paddlequay.policy.shedding_span import SheddingSpan
from paddlequay.routing.interface import RequestClass, RoutingSettings
from paddlequay.routing.latency import LatencyEstimator
from paddlequay.routing.state import RequestState

# Spans of the link's load. Objectives allow twice the sending time and a constant, so a fill that takes three
# times its sending time is late by itself. A fill runs at least twice as fast as a transfer to a client.
REPORTED_FILL_SPAN = SheddingSpan(2.0, 6.0)
ESTIMATED_FILL_SPAN = SheddingSpan(1.0, 3.0)
# Answers that no cache stores are fetched again for the next reader, so they get only what fills leave free.
REPORTED_BYPASS_SPAN = SheddingSpan(0.5, 1.0)
ESTIMATED_BYPASS_SPAN = SheddingSpan(1.0, 1.5)
# The square root of the cost counts, so that the class with most bytes does not bear all of the shedding.
ESTIMATED_COST_EXPONENT = 0.5


def relative_cost(
    request_class: RequestClass, classes: Iterable[RequestClass], work: Mapping[str, float]
) -> float:
    """Returns a class's work per priority weight, relative to the cacheable class with most, in (0, 1].

    Args:
        request_class: A cacheable class.
        classes: All classes, of which one at least is cacheable.
        work: Mean work of each class, in seconds.
    """
    highest = max(work[each.name] / (each.priority_weight or 1.0) for each in classes if not each.uncacheable)
    return work[request_class.name] / (request_class.priority_weight or 1.0) / highest


def admits_fill_by_report(
    zone_load: ZoneLoad, sampling_draw: float, now: float, cost: float = 1.0, cached: bool = True
) -> bool:
    """Whether the reported load of the link allows a fill; True without a fresh report.

    Args:
        zone_load: The load reports of the zone.
        sampling_draw: The request's random number in [0, 1).
        now: Seconds of the router's clock.
        cost: The request's `relative_cost`, in (0, 1].
        cached: Whether a cache stores the copy.
    """
    if not zone_load.is_contended or not zone_load.has_fresh_link_report(now):
        return True
    span = REPORTED_FILL_SPAN if cached else REPORTED_BYPASS_SPAN
    return not span.sheds(zone_load.link_multiple * cost, sampling_draw)


@dataclass(slots=True)
class LinkLoad:
    """The load of the link into a zone, estimated from this router's own fills.

    Attributes:
        transfer_capacity: Transfers that fit at full rate; None if unknown.
        router_count: Routers of the zone.
        fills_in_flight: Fills of this router through the link.
    """

    transfer_capacity: float | None = None
    router_count: float = 1.0
    fills_in_flight: int = 0

    @classmethod
    def from_settings(cls, settings: RoutingSettings) -> "LinkLoad":
        """Returns the idle link into the router's zone, as far as the settings describe it."""
        flow_kb_per_s = settings.flow_kb_per_s
        link_kb_per_s = settings.link_kb_per_s
        capacity = link_kb_per_s / flow_kb_per_s if link_kb_per_s and flow_kb_per_s else None
        return cls(capacity, settings.zone_router_count or 1)

    def add_fills(self, count: int) -> None:
        """Counts fills that begin; a negative `count` stands for fills that end."""
        self.fills_in_flight += count

    def utilization(self) -> float:
        """Returns transfers in flight through the link over those that fit; 0 if its size is unknown."""
        if not self.transfer_capacity:
            return 0.0
        return self.fills_in_flight * self.router_count / self.transfer_capacity

    def admits_fill(self, sampling_draw: float, cost: float = 1.0, cached: bool = True) -> bool:
        """Whether the fills in flight leave capacity for another; True if the size is unknown.

        Args:
            sampling_draw: The request's random number in [0, 1).
            cost: The request's `relative_cost`, in (0, 1], to which `ESTIMATED_COST_EXPONENT` is applied.
            cached: Whether a cache stores the copy.
        """
        span = ESTIMATED_FILL_SPAN if cached else ESTIMATED_BYPASS_SPAN
        return not span.sheds(self.utilization() * cost**ESTIMATED_COST_EXPONENT, sampling_draw)

    def has_spare_capacity(self, sampling_draw: float) -> bool:
        """Whether the link is known to have capacity for a request that bypasses busy edges."""
        return bool(self.transfer_capacity) and self.admits_fill(sampling_draw, cached=False)


class FillAdmission:
    """Admits fills that both estimates of the link's load allow; it has no state of its own."""

    def __init__(
        self, settings: RoutingSettings, zone_load: ZoneLoad, zone_link: LinkLoad, latency: LatencyEstimator
    ) -> None:
        self.settings = settings
        self.zone_load = zone_load
        self.zone_link = zone_link
        self.latency = latency

    def admits_fill(self, request: RequestState, now: float, cached: bool = True) -> bool:
        """Whether a request may be filled through the zone's link.

        Args:
            request: The request, with its sampling draw in [0, 1).
            now: Seconds of the router's clock.
            cached: Whether a cache stores the copy.
        """
        cost = self.cost(request)
        if not admits_fill_by_report(self.zone_load, request.sampling_draw, now, cost, cached):
            return False
        return self.zone_link.admits_fill(request.sampling_draw, cost, cached)

    def cost(self, request: RequestState) -> float:
        """Returns the relative cost of a request in (0, 1]; 1, the highest, without a load estimate."""
        sheds_load = self.zone_load.is_contended or self.zone_link.transfer_capacity
        if not (request.cacheable and sheds_load):
            return 1.0
        return relative_cost(request.request_class, self.settings.classes, self.latency.work)
