"""How much work cold members may be sent, so that it adds up over all routers to what they can bear.

A member that has just started does a part of its work, and falls over when all routers together send it
more than a multiple of that for some seconds. Its capacity is told to nobody. Warm members bear the load:
a router's own load for each of them, scaled by the cold share, adds up over all routers to what a cold
one can do, whatever the unit.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from paddlequay.routing.interface import SlowStart

RATE_SAFETY_SHARE = (
    0.7  # of the rule's multiple: what a cold member is sent, as the load borne may near capacity
)
MIN_WARM_SHARE = (
    0.75  # of the members count as bearing the load at least: where all are cold, none has shown it
)
REPORTED_CAPACITY_SHARE = (
    0.6  # of the multiple, where members' own words tell their capacity: less, as they differ in it
)
MIN_REPORTED_USE = 0.2  # ways out in use, over all members, from which on that can be told
BURST_SHARE = 0.25  # of the rule's window: a start is met evenly, not with a burst
MEMORY_S = 10.0  # memory of the load served by a warm member; longer than a burst


@dataclass(slots=True)
class TokenBucket:
    """Work that may be sent to one cold member now; `at` None while it is warm."""

    tokens: float = 0.0
    updated_at: float | None = None

    def take(self, work: float) -> None:
        """Work goes to the member, or comes back where it was not done."""
        if self.updated_at is not None:
            self.tokens -= work


class SlowStartLimiter:
    """The ramp of one kind of member, and the load that the warm ones of it are seen to bear.

    Bounded by the members of `reset`. Times are seconds, work is in any unit.
    """

    def __init__(self, ramp: SlowStart) -> None:
        self.slow_start = ramp
        self.load_per_member = 0.0  # work served a second for each member that bears the load
        self.total_load = 0.0  # the same, by all of them
        self.reported_use = 0.0  # of all ways out, by the members' own words, over the same time
        self.updated_at = -math.inf
        self.member_count = 0
        self.warming_starts: list[float] = []  # of members that are cold yet

    def set_members(self, starts: Iterable[float | None], now: float) -> None:
        """The members that work may go to, by their starts."""
        told = list(starts)
        self.member_count = len(told)
        self.warming_starts = [start for start in told if start and self.capacity_share(start, now) < 1.0]

    def capacity_share(self, started: float | None, now: float) -> float:
        """The share of its capacity that a member can give at least; 1 when warm."""
        ramp = self.slow_start
        if not started or not ramp.duration or ramp.initial_share is None:
            return 1.0
        age = max(0.0, now - started)
        return min(1.0, ramp.initial_share + (1.0 - ramp.initial_share) * age / ramp.duration)

    def warm_equivalents(self, now: float) -> float:
        """How many warm members the load is spread over, as nearly as a mix of cold and warm ones tells."""
        if not self.warming_starts:
            return max(1.0, self.member_count)
        shares = [self.capacity_share(start, now) for start in self.warming_starts]
        if 1.0 in shares:
            self.warming_starts = [
                start for start in self.warming_starts if self.capacity_share(start, now) < 1.0
            ]
        return max(1.0, MIN_WARM_SHARE * self.member_count, self.member_count + sum(shares) - len(shares))

    def record_served(self, work: float, now: float, used: float = 0.0) -> None:
        """Count work that was done while members said that they `used` so many of their ways out, 0 untold.

        What was only sent does not count: repeats and looks are most where members bear least. Each answer is
        shared out when it comes: members that leave the list must not raise what the rest seem to bear. A new
        router counts from nothing.
        """
        if not self.member_count:
            # Others did it, past a plaza that is lost: no word on what its members bear when they are back.
            self.updated_at = now
            return
        since = now - self.updated_at if self.updated_at > -math.inf else 0.0
        fade = math.exp(-since / MEMORY_S)
        self.load_per_member = self.load_per_member * fade + work / MEMORY_S / self.warm_equivalents(now)
        self.total_load = self.total_load * fade + work / MEMORY_S
        self.reported_use = self.reported_use * fade + used * (1.0 - fade)
        self.updated_at = now

    def allowed_rate(self, started: float | None, now: float) -> float | None:
        """Work a second that this router may send a cold member; None when it is warm."""
        share = self.capacity_share(started, now)
        if share >= 1.0:
            return None
        # What served work and used ways out come to does not fall with what is turned away, as the load does.
        whole = self.total_load / self.reported_use if self.reported_use >= MIN_REPORTED_USE else 0.0
        return (
            share
            * (self.slow_start.overload_multiple or 1.0)
            * max(RATE_SAFETY_SHARE * self.load_per_member, REPORTED_CAPACITY_SHARE * whole)
        )

    def admits(
        self, bucket: TokenBucket, started: float | None, work: float, luck: float, now: float
    ) -> bool:
        """Whether a member may be sent `work` now, by a request's `luck` in [0, 1); yes when it is warm.

        Part of a request saved up admits one by that chance: a whole one each, from two hundred routers at
        once, would push a parent over.
        """
        pace = self.allowed_rate(started, now)
        if pace is None:
            bucket.updated_at = None
            return True
        since = 0.0 if bucket.updated_at is None else now - bucket.updated_at
        most = pace * (self.slow_start.overload_window or 1.0) * BURST_SHARE
        bucket.tokens, bucket.updated_at = min(most, bucket.tokens + pace * since), now
        return bucket.tokens > luck * work
