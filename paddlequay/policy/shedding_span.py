"""Load shedding over a span of load, by the sampling draw of each request.

Routers that see the same load shed the same share of requests, and each its own: so they neither stop nor
begin all together.
"""

from typing import NamedTuple


class SheddingSpan(NamedTuple):
    """A range of load: nothing is shed up to `low`, everything from `high` on."""

    low: float
    high: float

    def position(self, load: float) -> float:
        """Returns how far a load has come through the span, in [0, 1]: the share of requests to shed."""
        return min(1.0, max(0.0, (load - self.low) / (self.high - self.low)))

    def sheds(self, load: float, sampling_draw: float) -> bool:
        """Whether to shed the request with this sampling draw in [0, 1)."""
        return sampling_draw < self.position(load)
