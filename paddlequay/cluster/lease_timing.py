"""The durations used in a router's bids for leases, all in proportion to the longest lease."""

import random

from paddlequay.cluster.types import ClusterBounds

# As multiples of the longest lease.
ELECTION_PHASE_RATIO = 0.2  # how long a phase waits for the answers of a majority
RESEND_RATIO = 1 / 15  # how long to wait for an answer before a message is repeated
BACKOFF_RATIO = 1 / 30  # mean wait after a lost election; doubles with each further loss
UNLOCK_SPREAD_RATIO = 0.2  # bidders blocked by one lock bid at random times in this span after its end
PRIORITY_RATIO = 0.4  # how long a successor's bid bypasses the rate limit

MAX_BACKOFF_DOUBLINGS = 4
JITTER_FACTORS = (0.5, 1.5)


class LeaseTiming:
    """Computes durations in seconds, and draws those that are random."""

    def __init__(self, bounds: ClusterBounds, rng: random.Random) -> None:
        self.bounds = bounds
        self.rng = rng
        self.duration_ms = int(bounds.lease_s * 1000)

    def held_duration(self) -> float:
        """Returns how long a holder relies on its lease.

        That is shorter, by the clock drift, than the time for which acceptors lock it.
        """
        return self.duration_ms / 1000 * (1 - self.bounds.drift_ratio)

    def renewal_interval(self) -> float:
        """Returns the time between rounds of a held lease, such that two rounds may be lost."""
        return self.held_duration() / 3

    def election_phase(self) -> float:
        """Returns how long a phase of an election waits for the answers of a majority."""
        return self.bounds.lease_s * ELECTION_PHASE_RATIO

    def resend_interval(self) -> float:
        """Returns how long to wait for an acceptor's answer before the message is repeated."""
        return self.bounds.lease_s * RESEND_RATIO

    def priority_window(self) -> float:
        """Returns for how long a successor may start elections without waiting for the rate limit."""
        return self.bounds.lease_s * PRIORITY_RATIO

    def bounded_wait(self, milliseconds: int) -> float:
        """Returns the wait that an acceptor asked for, in seconds.

        It is limited to twice the longest lease, as no acceptor needs a longer wait.
        """
        return min(milliseconds / 1000, 2 * self.bounds.lease_s)

    def draw_jittered_backoff(self) -> float:
        """Draws a wait: the base backoff times a random factor within `JITTER_FACTORS`."""
        return self.bounds.lease_s * BACKOFF_RATIO * self.rng.uniform(*JITTER_FACTORS)

    def draw_backoff(self, lost_elections: int) -> float:
        """Draws the wait after `lost_elections` (1 or more) elections lost in a row."""
        return self.draw_jittered_backoff() * 2.0 ** (lost_elections - 1)

    def draw_priority_backoff(self) -> float:
        """Draws the shorter wait of a successor after a lost election."""
        return self.draw_jittered_backoff() / 2

    def draw_unlock_spread(self) -> float:
        """Draws how long a bidder waits after the end of the lock that blocked it before it bids again."""
        return self.rng.uniform(0, UNLOCK_SPREAD_RATIO * self.bounds.lease_s)
