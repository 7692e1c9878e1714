"""Checks from outside whether a limit was exceeded, by the true times at which requests were admitted."""

import heapq

from paddlequay.cluster.settings import LimitRule, PartitionMode

ROUNDING_RATIO = 1e-6


class LimitAudit:
    """Checks one limit: on the rate, or on the requests in flight.

    For a rate, admitted <= burst + rate * w must hold in every window of w seconds. Both checks are exact: a
    bucket that drains at the rate overflows if and only if some window has too many requests.

    Attributes:
        allowed_ratio: The multiple of the limit that may be used.
        max_ratio: The highest multiple of the limit that was used.
        admitted: The true times at which requests were admitted.
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
        """Records a request that is admitted at `now` and ends at `ends_at`."""
        self.admitted.append(now)
        if self.rule.max_in_flight is not None:
            self._add_in_flight(now, ends_at, self.rule.max_in_flight)
        else:
            self._add_to_rate(now, self.rule.rate_per_s or 0)

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the allowed multiple of the limit was used."""
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
