"""Slow start: how much work one router may send to a member that warms up, so that the sum over all is safe.

A member that has just started has a share of its full capacity, which grows with its age. It fails if its
load exceeds a multiple of its present capacity for some seconds. Its full capacity is unknown, but a warm
member serves its load without failing. The rate that a router allows itself is therefore the product of three
factors: its own load for each warm member, the new member's share of capacity, and a safe fraction of that
multiple. Summed over all routers, the first factor is the load of a warm member, so no router needs to know
the rates of the others.
"""

import math
from collections.abc import Iterable

from paddlequay.routing.interface import SlowStart
from paddlequay.routing.state import TokenBucket

# Fraction of the overload multiple that is used; warm members may themselves be close to their capacity.
LOAD_SAFETY_RATIO = 0.7
# The least share of the members that counts as warm. Otherwise, the load of a warm member would be
# overestimated while most members warm up.
MIN_WARM_RATIO = 0.75
# Fraction of the overload multiple that is used with a reported load, as members differ in capacity.
REPORTED_CAPACITY_RATIO = 0.6
MIN_REPORTED_LINKS = 0.2  # least sum of outgoing links in use that shows the capacity of members
BURST_RATIO = 0.25  # fraction of the overload window whose work may be sent in one burst
LOAD_DECAY_S = 10.0  # time constant of the load served by a warm member; longer than a burst


class SlowStartLimiter:
    """Limits the work sent to the members of one tier that warm up, by the load that the warm ones serve.

    Its size is bounded by the members of `set_members`. Times are in seconds, work is in any unit.
    """

    def __init__(self, slow_start: SlowStart) -> None:
        self.slow_start = slow_start
        self.load_per_member = 0.0  # work served a second by each warm member
        self.total_load = 0.0  # work served a second by all members
        self.reported_links = 0.0  # outgoing links in use by the members' reports, over the same time
        self.updated_at = -math.inf
        self.member_count = 0
        self.warming_starts: list[float] = []

    def set_members(self, starts: Iterable[float | None], now: float) -> None:
        """Sets the members that work may go to, by their start times; None for an unknown start."""
        known_starts = list(starts)
        self.member_count = len(known_starts)
        self.warming_starts = [
            start for start in known_starts if start and self.capacity_share(start, now) < 1.0
        ]

    def capacity_share(self, started: float | None, now: float) -> float:
        """Returns the least share of its capacity that a member may have, in (0, 1]; 1 once it is warm."""
        slow_start = self.slow_start
        if not started or not slow_start.duration or slow_start.initial_share is None:
            return 1.0
        age = max(0.0, now - started)
        missing_share = 1.0 - slow_start.initial_share
        return min(1.0, slow_start.initial_share + missing_share * age / slow_start.duration)

    def warm_member_equivalents(self, now: float) -> float:
        """Returns the sum of all shares of capacity, at least 1 and `MIN_WARM_RATIO` of the member count."""
        if not self.warming_starts:
            return max(1.0, self.member_count)
        shares = [self.capacity_share(start, now) for start in self.warming_starts]
        if 1.0 in shares:
            self.warming_starts = [
                start for start in self.warming_starts if self.capacity_share(start, now) < 1.0
            ]
        return max(1.0, MIN_WARM_RATIO * self.member_count, self.member_count + sum(shares) - len(shares))

    def record_served(self, work: float, now: float, reported_links: float = 0.0) -> None:
        """Counts work that members have served.

        Answers count and attempts do not, as the members that serve least cause most retries. The work of an
        answer is divided by the number of members at that time, so that members that leave the endpoint list
        do not raise the load of the rest.

        Args:
            work: The work of one answer; 0 if another tier did it.
            now: Seconds of the router's clock.
            reported_links: Outgoing links that members report in use; 0 without reports.
        """
        if not self.member_count:
            # Members of other zones served the work, which says nothing about the capacity of this tier.
            self.updated_at = now
            return
        elapsed = now - self.updated_at if self.updated_at > -math.inf else 0.0
        decay = math.exp(-elapsed / LOAD_DECAY_S)
        self.load_per_member = (
            self.load_per_member * decay + work / LOAD_DECAY_S / self.warm_member_equivalents(now)
        )
        self.total_load = self.total_load * decay + work / LOAD_DECAY_S
        self.reported_links = self.reported_links * decay + reported_links * (1.0 - decay)
        self.updated_at = now

    def allowed_rate(self, started: float | None, now: float) -> float | None:
        """Returns the work a second that this router may send to a member; None once it is warm."""
        share = self.capacity_share(started, now)
        if share >= 1.0:
            return None
        by_load = LOAD_SAFETY_RATIO * self.load_per_member
        by_report = REPORTED_CAPACITY_RATIO * self.load_per_link()
        return share * (self.slow_start.overload_multiple or 1.0) * max(by_load, by_report)

    def load_per_link(self) -> float:
        """Returns the work a second that this router sends for each outgoing link in use; 0 without reports.

        A member has one outgoing link, so this is the router's part of a full load for one member. Unlike
        `load_per_member`, it does not fall while requests are rejected.
        """
        return self.total_load / self.reported_links if self.reported_links >= MIN_REPORTED_LINKS else 0.0

    def admits(
        self, bucket: TokenBucket, started: float | None, work: float, sampling_draw: float, now: float
    ) -> bool:
        """Whether this router may send `work` to a member now; always True for a warm member.

        Tokens for a fraction of the work admit the request with that probability. If routers saved up tokens
        for a whole request instead, two hundred of them could overload the member at once.

        Args:
            bucket: The tokens of the member, which this call refills.
            started: The start of the member, in Unix seconds; None if unknown.
            work: The work of the request.
            sampling_draw: The request's random number in [0, 1).
            now: Seconds of the router's clock.
        """
        rate = self.allowed_rate(started, now)
        if rate is None:
            bucket.disable()
            return True
        elapsed = 0.0 if bucket.updated_at is None else now - bucket.updated_at
        burst = rate * (self.slow_start.overload_window or 1.0) * BURST_RATIO
        bucket.tokens = min(burst, bucket.tokens + rate * elapsed)
        bucket.updated_at = now
        return bucket.tokens > sampling_draw * work
