"""The times of a bidder for leases, all in proportion to the longest lease."""

import random

from paddlequay.cluster.types import ClusterBounds

# As multiples of the longest lease.
ELECTION_PHASE_RATIO = 0.2  # for answers of a majority, before an election is given up
RESEND_RATIO = 1 / 15  # for an answer, before a message is sent again
BACKOFF_RATIO = 1 / 30  # after a lost election, doubled from one to the next
UNLOCK_SPREAD_RATIO = 0.2  # over which bidders that wait for the same lock's end are spread
PRIORITY_RATIO = 0.4  # for how long a successor's bid has priority

MAX_BACKOFF_DOUBLINGS = 4
JITTER_FACTORS = (0.5, 1.5)


class LeaseTiming:
    """Computes durations in seconds, and draws those that are random."""

    def __init__(self, bounds: ClusterBounds, rng: random.Random) -> None:
        self.bounds = bounds
        self.rng = rng
        self.duration_ms = int(bounds.lease_s * 1000)

    def held_duration(self) -> float:
        """Returns for how long a holder counts on its lease: less than acceptors lock it, by the drift."""
        return self.duration_ms / 1000 * (1 - self.bounds.drift_ratio)

    def renewal_interval(self) -> float:
        """Returns the time from one round of a held lease to the next, so that two may be lost."""
        return self.held_duration() / 3

    def election_phase(self) -> float:
        """Returns how long a phase of an election waits for a majority."""
        return self.bounds.lease_s * ELECTION_PHASE_RATIO

    def resend_interval(self) -> float:
        """Returns how long an acceptor may take to answer before it is sent the same again."""
        return self.bounds.lease_s * RESEND_RATIO

    def priority_window(self) -> float:
        """Returns for how long a successor starts elections without waiting for the rate limit."""
        return self.bounds.lease_s * PRIORITY_RATIO

    def bounded_wait(self, milliseconds: int) -> float:
        """Returns the seconds that an acceptor told; none can truly tell more than two leases."""
        return min(milliseconds / 1000, 2 * self.bounds.lease_s)

    def draw_jittered_backoff(self) -> float:
        """Draws a wait around the base of the backoff, spread by `JITTER_FACTORS`."""
        return self.bounds.lease_s * BACKOFF_RATIO * self.rng.uniform(*JITTER_FACTORS)

    def draw_backoff(self, lost_elections: int) -> float:
        """Draws the wait after this many elections lost in a row, at least 1."""
        return self.draw_jittered_backoff() * 2.0 ** (lost_elections - 1)

    def draw_priority_backoff(self) -> float:
        """Draws the shorter wait of a successor after a lost election."""
        return self.draw_jittered_backoff() / 2

    def draw_unlock_spread(self) -> float:
        """Draws how long a bidder waits after the end of the lock that it waits for."""
        return self.rng.uniform(0, UNLOCK_SPREAD_RATIO * self.bounds.lease_s)
