"""Whether a limit was exceeded, judged from outside: by when requests were admitted, in true time."""

import heapq

from paddlequay.cluster.settings import LimitRule, PartitionMode

ROUNDING_RATIO = 1e-6


class LimitAudit:
    """Checks that admitted <= burst + rate * w over every window of w seconds, or the requests in flight.

    Both checks are exact: a bucket that drains at the rate overflows if and only if some window has too many.

    Attributes:
        allowed_ratio: The multiple of the limit that may be used.
        max_ratio: The multiple of the limit that was used at most.
        admitted: When requests were admitted.
    """

    def __init__(self, rule: LimitRule) -> None:
        self.rule = rule
        self.allowed_ratio = rule.open_factor if rule.mode is PartitionMode.OPEN else 1.0
        self.max_ratio = 0.0
        self.admitted: list[float] = []
        self._level = 0.0
        self._drained_at = 0.0
        self._ends: list[float] = []

    def add(self, now: float, ends_at: float) -> None:
        """Records an admitted request, and when it ends."""
        self.admitted.append(now)
        if self.rule.max_in_flight is not None:
            self._add_in_flight(now, ends_at, self.rule.max_in_flight)
        else:
            self._add_to_rate(now, self.rule.rate_per_s or 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the allowed multiple was used."""
        return self.max_ratio > self.allowed_ratio + ROUNDING_RATIO

    def _add_in_flight(self, now: float, ends_at: float, max_in_flight: int) -> None:
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        heapq.heappush(self._ends, ends_at)
        self.max_ratio = max(self.max_ratio, len(self._ends) / max_in_flight)

    def _add_to_rate(self, now: float, rate_per_s: float) -> None:
        allowed_rate = rate_per_s * self.allowed_ratio
        allowed_burst = self.rule.burst * self.allowed_ratio
        self._level = max(0.0, self._level - allowed_rate * (now - self._drained_at)) + 1
        self._drained_at = now
        self.max_ratio = max(self.max_ratio, self._level / allowed_burst * self.allowed_ratio)
