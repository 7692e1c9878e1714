"""Slow start: how much work members that warm up may be sent, so that it adds up over all routers.

A member that has just started does a part of its work, and falls over when all routers together send it more
than a multiple of that for some seconds. Its capacity is unknown to all. Warm members bear the load: a
router's own load for each of them, scaled by the share of a cold one, adds up over all routers to what that
can do, in any unit.
"""

import math
from collections.abc import Iterable

from paddlequay.routing.interface import SlowStart
from paddlequay.routing.state import TokenBucket

# Of the settings' multiple: what a cold member is sent, as the load that warm ones bear may near capacity.
RATE_SAFETY_SHARE = 0.7
# Of the members: so many count as bearing the load at least, as where all are cold none has shown it.
MIN_WARM_SHARE = 0.75
# Of the multiple, where load reports show members' capacity: less, as they differ in it.
REPORTED_CAPACITY_SHARE = 0.6
MIN_REPORTED_USE = 0.2  # outgoing links in use, over all members, from which on capacity shows
BURST_SHARE = 0.25  # of the settings' window: a start is met evenly, not with a burst
DECAY_S = 10.0  # of the load served by a warm member; longer than a burst


class SlowStartLimiter:
    """Slow start for one tier of members, by the load that the warm ones of it bear.

    Bounded by the members of `set_members`. Times are seconds, work is in any unit.
    """

    def __init__(self, slow_start: SlowStart) -> None:
        self.slow_start = slow_start
        self.load_per_member = 0.0  # work served a second for each member that bears the load
        self.total_load = 0.0  # the same, by all of them
        self.reported_use = 0.0  # of all outgoing links, by the members' reports, over the same time
        self.updated_at = -math.inf
        self.member_count = 0
        self.warming_starts: list[float] = []  # of members that are cold yet

    def set_members(self, starts: Iterable[float | None], now: float) -> None:
        """The members that work may go to, by their starts; None where a start is unknown."""
        known_starts = list(starts)
        self.member_count = len(known_starts)
        self.warming_starts = [
            start for start in known_starts if start and self.capacity_share(start, now) < 1.0
        ]

    def capacity_share(self, started: float | None, now: float) -> float:
        """The share of its capacity that a member can give at least; 1 when warm."""
        slow_start = self.slow_start
        if not started or not slow_start.duration or slow_start.initial_share is None:
            return 1.0
        age = max(0.0, now - started)
        return min(
            1.0, slow_start.initial_share + (1.0 - slow_start.initial_share) * age / slow_start.duration
        )

    def warm_equivalents(self, now: float) -> float:
        """How many warm members the load is spread over, at least 1, as a mix of cold and warm ones shows."""
        if not self.warming_starts:
            return max(1.0, self.member_count)
        shares = [self.capacity_share(start, now) for start in self.warming_starts]
        if 1.0 in shares:
            self.warming_starts = [
                start for start in self.warming_starts if self.capacity_share(start, now) < 1.0
            ]
        return max(1.0, MIN_WARM_SHARE * self.member_count, self.member_count + sum(shares) - len(shares))

    def record_served(self, work: float, now: float, reported_use: float = 0.0) -> None:
        """Count work that was done while members reported that so much of their outgoing links was in use.

        `reported_use` is 0 where there is no report. Only work done counts: retries are most where members
        bear least. Each answer is shared out when it comes: members that leave the list must not raise what
        the rest seem to bear. A new router counts from nothing.
        """
        if not self.member_count:
            # Others did it, beside a zone that is lost: this says nothing of what its members bear later.
            self.updated_at = now
            return
        since = now - self.updated_at if self.updated_at > -math.inf else 0.0
        fade = math.exp(-since / DECAY_S)
        self.load_per_member = self.load_per_member * fade + work / DECAY_S / self.warm_equivalents(now)
        self.total_load = self.total_load * fade + work / DECAY_S
        self.reported_use = self.reported_use * fade + reported_use * (1.0 - fade)
        self.updated_at = now

    def allowed_rate(self, started: float | None, now: float) -> float | None:
        """Work a second that this router may send a member that warms up; None when it is warm."""
        share = self.capacity_share(started, now)
        if share >= 1.0:
            return None
        # Served work over links in use does not fall with what is rejected, as the load does.
        reported = self.reported_use >= MIN_REPORTED_USE
        reported_capacity = self.total_load / self.reported_use if reported else 0.0
        by_load = RATE_SAFETY_SHARE * self.load_per_member
        by_report = REPORTED_CAPACITY_SHARE * reported_capacity
        return share * (self.slow_start.overload_multiple or 1.0) * max(by_load, by_report)

    def admits(
        self, bucket: TokenBucket, started: float | None, work: float, sampling_draw: float, now: float
    ) -> bool:
        """Whether a member may be sent `work` now, by a sampling draw in [0, 1); yes when it is warm.

        A part of a request saved up admits one by that chance: a full one each, from two hundred routers at
        once, would push a parent over.
        """
        rate = self.allowed_rate(started, now)
        if rate is None:
            bucket.updated_at = None
            return True
        since = 0.0 if bucket.updated_at is None else now - bucket.updated_at
        burst = rate * (self.slow_start.overload_window or 1.0) * BURST_SHARE
        bucket.tokens, bucket.updated_at = min(burst, bucket.tokens + rate * since), now
        return bucket.tokens > sampling_draw * work
