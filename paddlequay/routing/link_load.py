"""A location's link in where settings tell its size and no report comes unasked: by this router's own fills.

All fills from outside a location share one link, which is divided among them. Where answers carry no report,
nothing says that it is full: every fill is slow, edges and parents are late for it, and who cuts their limits
for that sheds what they hold as well. What this router has out through it, times the routers that meet there,
over the transfers that fit at full pace, is known without a word. It counts fills by belief, as no note tells
them from hits: it is above the truth rather than below, and is measured by spans of its own.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from paddlequay.routing.interface import RequestClass, RoutingSettings
from paddlequay.routing.zone_load import position_in_span

# Aims allow twice the sending time and a constant: three times as long is late by itself.
FILL_SPAN = (1.0, 3.0)
# For what is kept by no cache: its next reader draws it again, so only what fills leave.
BYPASS_SPAN = (1.0, 1.5)


def cost_per_weight(kind: RequestClass, kinds: Iterable[RequestClass], work: Mapping[str, float]) -> float:
    """The bytes of a class that is kept for its worth, beside the class kept that has most, in (0, 1]."""
    most = max(work[each.name] / (each.priority_weight or 1.0) for each in kinds if not each.uncacheable)
    return work[kind.name] / (kind.priority_weight or 1.0) / most


@dataclass(slots=True)
class LinkLoad:
    """`fits`: transfers at full pace, None if not told; `sharers`: routers of the location; `out`: fills."""

    transfer_capacity: float | None = None
    router_count: float = 1.0
    fills_in_flight: int = 0

    @classmethod
    def from_settings(cls, settings: RoutingSettings) -> "LinkLoad":
        """The link into the router's zone, as far as settings tell it."""
        flow, link = settings.flow_kb_per_s, settings.link_kb_per_s
        return cls(link / flow if link and flow else None, settings.zone_router_count or 1)

    def utilization(self) -> float:
        """Transfers out through it over those that fit; 0 where its size is not told."""
        return (
            self.fills_in_flight * self.router_count / self.transfer_capacity
            if self.transfer_capacity
            else 0.0
        )

    def admits_fill(self, luck: float, dear: float = 1.0, kept: bool = True) -> bool:
        """Whether a request with this luck in [0, 1) may draw its bytes through it; yes where not told.

        `dear` in (0, 1]: its bytes for its worth beside the class that has most, which is shed first; `kept`:
        a cache keeps the copy. By the root of `dear`: in full, the class with most bytes bears it all, and
        what the class served worst gets counts apart from the whole.
        """
        return position_in_span(self.utilization() * dear**0.5, FILL_SPAN if kept else BYPASS_SPAN) <= luck

    def has_spare_capacity(self, luck: float) -> bool:
        """Whether it is known to have room for what passes busy caches by."""
        return bool(self.transfer_capacity) and self.admits_fill(luck, kept=False)
