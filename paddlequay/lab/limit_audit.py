"""Whether a limit was passed, judged from outside: by when requests were admitted and ended, in true time."""

import heapq

from paddlequay.cluster.settings import LimitRule, PartitionMode


class Audit:
    """One limit as it may be: admitted <= burst + rate * w over every window, or so many at once.

    Both are exact: a bucket that drains at the rate runs over if and only if some window has too many.
    """

    def __init__(self, rule: LimitRule) -> None:
        self.times = rule.open_factor if rule.mode is PartitionMode.OPEN else 1.0
        self.rule = rule
        self.level = self.at = 0.0
        self.ends: list[float] = []
        self.most = 0.0  # of the limit, as a multiple
        self.admitted: list[float] = []

    def add(self, now: float, end: float) -> None:
        self.admitted.append(now)
        if self.rule.max_in_flight is not None:
            while self.ends and self.ends[0] <= now:
                heapq.heappop(self.ends)
            heapq.heappush(self.ends, end)
            self.most = max(self.most, len(self.ends) / self.rule.max_in_flight)
            return
        rate, burst = (self.rule.rate_per_s or 0) * self.times, self.rule.burst * self.times
        self.level = max(0.0, self.level - rate * (now - self.at)) + 1
        self.at = now
        self.most = max(self.most, self.level / burst * self.times)

    @property
    def over(self) -> bool:
        return self.most > self.times + 1e-6
