"""Origin shedding: whether a miss may be fetched from the origin, by how long recent fills waited for it.

The fills of all routers end at one origin, which does less work under contention. No router knows what the
others have in flight there, but each fill from the origin reports how long it waited for its first byte, and
that wait is the same for all routers. An answer that waited longer than its latency objective has almost no
value. A request for an object that no parent holds is therefore rejected at once, which leaves the origin to
requests that can still be answered in time.
"""

import math
from dataclasses import dataclass

from paddlequay.policy.fill_admission import REPORTED_FILL_SPAN
from paddlequay.policy.load_shedding import EDGE_SPAN, MAX_REPORT_AGE_S, ZoneLoad
from paddlequay.policy.shedding_span import SheddingSpan

WAIT_DECAY_S = 1.0  # time constant of the mean wait: contention builds up within a second or two
# Span of the wait over the latency objective. Above the low end, an answer is late once its sending time,
# about half an objective, is added. If the wait alone takes the whole objective, half of the misses are shed.
WAIT_SPAN = SheddingSpan(0.5, 1.5)
# The time constant of the decay without new fills: a wait is out of date as quickly as a load report.
WAIT_EXPIRY_S = MAX_REPORT_AGE_S


def is_origin_slow(zone_load: ZoneLoad, target: str, now: float) -> bool:
    """Whether only the origin can have delayed an abandoned fill, as the edge and the link are healthy.

    Args:
        zone_load: The load reports of the zone.
        target: The name of the edge that was filling.
        now: Seconds of the router's clock.
    """
    link_healthy = zone_load.has_fresh_link_report(now) and zone_load.link_multiple <= REPORTED_FILL_SPAN.low
    edge_healthy = (
        zone_load.has_fresh_report(target, now) and zone_load.slowness(target, now) <= EDGE_SPAN.low
    )
    return link_healthy and edge_healthy


@dataclass(slots=True)
class OriginWait:
    """The mean wait in seconds of recent fills from the origin."""

    mean: float = 0.0
    updated_at: float = -math.inf

    def record(self, wait: float, now: float) -> None:
        """Records a fill from the origin that waited for `wait` seconds."""
        self.mean += (wait - self.mean) * (1.0 - math.exp(-(now - self.updated_at) / WAIT_DECAY_S))
        self.updated_at = now

    def record_abandoned(self, wait: float, now: float) -> None:
        """Records a fill that was abandoned after `wait` seconds, and would have waited longer.

        It never lowers the mean: impatient clients would otherwise make a stalled origin look idle.
        """
        self.record(max(wait, self.recent(now)), now)

    def recent(self, now: float) -> float:
        """Returns the mean wait in seconds, decayed by the time since the last record."""
        return self.mean * math.exp(-(now - self.updated_at) / WAIT_EXPIRY_S)

    def sheds(self, objective: float, sampling_draw: float, now: float) -> bool:
        """Whether a request must not be filled from the origin.

        The mean decays without new fills, so that routers resume fills gradually and not all at once.

        Args:
            objective: The request's latency objective in seconds.
            sampling_draw: The request's random number in [0, 1).
            now: Seconds of the router's clock.
        """
        return WAIT_SPAN.sheds(self.recent(now) / objective, sampling_draw)
