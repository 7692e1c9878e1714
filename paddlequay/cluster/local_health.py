"""This router's own health: whether it is isolated, and by which factor its timeouts for peers are extended.

The health score is that of Lifeguard (Dadgar, Phillips, Currey 2018): a router that was stalled or had to
refute a suspicion of itself may be slow, so it waits longer before it suspects others.
"""

from paddlequay.cluster.types import SelfChanged

MAX_SCORE = 7  # as in Lifeguard: timeouts are at most 8 times as long
# Probe periods without any datagram or acknowledgement after which this router is isolated.
ISOLATION_TIMEOUT_PERIODS = 2.5


class LocalHealth:
    """The health score, and when this router last received a datagram and an acknowledgement.

    Times are in seconds; `period_s` is the time between two probes.
    """

    def __init__(self, period_s: float, now: float) -> None:
        self._period_s = period_s
        self._score = 0
        self._reported = SelfChanged(receives=True, reaches=True)
        self.last_received_at = now
        self.last_acknowledged_at = now

    @property
    def wait_factor(self) -> int:
        """Returns the factor, from 1 to 8, by which all timeouts for peers are multiplied."""
        return 1 + self._score

    def worsen(self) -> None:
        """Records a stall of this process, or that it had to refute a report about itself."""
        self._score = min(MAX_SCORE, self._score + 1)

    def record_probe(self, acknowledged: bool) -> None:
        """Records the end of a probe; an acknowledged probe improves the score."""
        self._score = max(0, self._score - acknowledged)

    def was_unreachable(self, now: float) -> bool:
        """Returns whether no peer has acknowledged a ping of this router for two periods."""
        return now - self.last_acknowledged_at > 2 * self._period_s

    def detect_change(self, now: float) -> SelfChanged | None:
        """Returns an event if this router's connectivity has changed since the last call, else None."""
        timeout_s = ISOLATION_TIMEOUT_PERIODS * self._period_s * self.wait_factor
        current = SelfChanged(
            receives=now - self.last_received_at <= timeout_s,
            reaches=now - self.last_acknowledged_at <= timeout_s,
        )
        if current == self._reported:
            return None
        self._reported = current
        return current

    def shift_timers(self, seconds: float) -> None:
        """Postpones the times by the length of a stall, during which this process could receive nothing."""
        self.last_received_at += seconds
        self.last_acknowledged_at += seconds
