"""Load shedding over a span of load, by the sampling draw of each request.

Routers that see the same load shed the same share of their requests, chosen at random. So they neither stop
nor begin all at the same time.
"""

from typing import NamedTuple


class SheddingSpan(NamedTuple):
    """A range of load: nothing is shed up to `low`, everything from `high` on."""

    low: float
    high: float

    def shed_ratio(self, load: float) -> float:
        """Returns the share of requests to shed, in [0, 1], which grows linearly over the span."""
        return min(1.0, max(0.0, (load - self.low) / (self.high - self.low)))

    def sheds(self, load: float, sampling_draw: float) -> bool:
        """Whether to shed the request with this sampling draw in [0, 1)."""
        return sampling_draw < self.shed_ratio(load)
