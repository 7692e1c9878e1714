"""The load of a zone's incoming link, by this router's own fills, where no load report covers it.

All fills from outside a zone share one link. Where answers carry no load report, nothing shows that it is
full: every fill is slow, edges and parents are late for it, and cutting their limits for that sheds hits as
well. What this router has in flight through it, times the routers of the zone, over the transfers that fit at
full rate, is known without a report. Fills are estimated, as no detail tells them from hits: the figure is
above the true one rather than below, and is measured by spans of its own.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from paddlequay.policy.load_shedding import position_in_span
from paddlequay.routing.interface import RequestClass, RoutingSettings

# Objectives allow twice the sending time and a constant: three times as long is late by itself.
FILL_SPAN = (1.0, 3.0)
# For what no cache keeps: its next reader fetches it again, so only what fills leave.
BYPASS_SPAN = (1.0, 1.5)


def cost_per_weight(kind: RequestClass, kinds: Iterable[RequestClass], work: Mapping[str, float]) -> float:
    """A class's bytes for its priority weight, relative to the cacheable class with most, in (0, 1]."""
    highest = max(work[each.name] / (each.priority_weight or 1.0) for each in kinds if not each.uncacheable)
    return work[kind.name] / (kind.priority_weight or 1.0) / highest


@dataclass(slots=True)
class LinkLoad:
    """The link into a zone, by this router's own fills.

    `transfer_capacity`: transfers that fit at full rate, None where unknown; `router_count`: routers of the
    zone.
    """

    transfer_capacity: float | None = None
    router_count: float = 1.0
    fills_in_flight: int = 0

    @classmethod
    def from_settings(cls, settings: RoutingSettings) -> "LinkLoad":
        """The link into the router's zone, as far as settings describe it."""
        flow_kb_per_s, link_kb_per_s = settings.flow_kb_per_s, settings.link_kb_per_s
        capacity = link_kb_per_s / flow_kb_per_s if link_kb_per_s and flow_kb_per_s else None
        return cls(capacity, settings.zone_router_count or 1)

    def utilization(self) -> float:
        """Transfers in flight through the link over those that fit; 0 where its size is unknown."""
        if not self.transfer_capacity:
            return 0.0
        return self.fills_in_flight * self.router_count / self.transfer_capacity

    def admits_fill(self, sampling_draw: float, cost: float = 1.0, kept: bool = True) -> bool:
        """Whether a request with this sampling draw in [0, 1) may fill through it; yes where unknown.

        `cost` in (0, 1]: its bytes for its priority weight, relative to the class with most, which is shed
        first; `kept`: a cache keeps the copy. By the root of `cost`: in full, the class with most bytes bears
        it all, and the class that is served worst counts apart from the total.
        """
        span = FILL_SPAN if kept else BYPASS_SPAN
        return position_in_span(self.utilization() * cost**0.5, span) <= sampling_draw

    def has_spare_capacity(self, sampling_draw: float) -> bool:
        """Whether it is known to have capacity for what bypasses busy caches."""
        return bool(self.transfer_capacity) and self.admits_fill(sampling_draw, kept=False)
