"""A location's link in where settings tell its size and no report comes unasked: by this router's own fills.

All fills from outside a location share one link, which is divided among them. Where answers carry no report,
nothing says that it is full: every fill is slow, edges and parents are late for it, and who cuts their limits
for that sheds what they hold as well. What this router has out through it, times the routers that meet there,
over the transfers that fit at full pace, is known without a word. It counts fills by belief, as no note tells
them from hits: it is above the truth rather than below, and is measured by spans of its own.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from paddlequay.routing.zone_load import past
from paddlequay.routing.interface import RequestClass, Settings

# Aims allow twice the sending time and a constant: three times as long is late by itself.
SPAN = (1.0, 3.0)
# For what is kept by no cache: its next reader draws it again, so only what fills leave.
PAST_SPAN = (1.0, 1.5)


def dear(kind: RequestClass, kinds: Iterable[RequestClass], work: Mapping[str, float]) -> float:
    """The bytes of a class that is kept for its worth, beside the class kept that has most, in (0, 1]."""
    most = max(work[each.name] / (each.worth or 1.0) for each in kinds if not each.uncacheable)
    return work[kind.name] / (kind.worth or 1.0) / most


@dataclass(slots=True)
class Link:
    """`fits`: transfers at full pace, None if not told; `sharers`: routers of the location; `out`: fills."""

    fits: float | None = None
    sharers: float = 1.0
    out: int = 0

    @classmethod
    def told(cls, settings: Settings) -> "Link":
        """The link into the router's zone, as far as settings tell it."""
        flow, link = settings.flow_kb_per_s, settings.link_kb_per_s
        return cls(link / flow if link and flow else None, settings.routers_here or 1)

    def use(self) -> float:
        """Transfers out through it over those that fit; 0 where its size is not told."""
        return self.out * self.sharers / self.fits if self.fits else 0.0

    def fills(self, luck: float, dear: float = 1.0, kept: bool = True) -> bool:
        """Whether a request with this luck in [0, 1) may draw its bytes through it; yes where not told.

        `dear` in (0, 1]: its bytes for its worth beside the class that has most, which is shed first; `kept`:
        a cache keeps the copy. By the root of `dear`: in full, the class with most bytes bears it all, and
        what the class served worst gets counts apart from the whole.
        """
        return past(self.use() * dear**0.5, SPAN if kept else PAST_SPAN) <= luck

    def spare(self, luck: float) -> bool:
        """Whether it is known to have room for what passes busy caches by."""
        return bool(self.fits) and self.fills(luck, kept=False)
