"""This router's own health: whether it is isolated, and how patient it has to be with others.

The health score is Lifeguard's (Dadgar, Phillips, Currey 2018): a router that runs late or had to refute a
claim waits longer before it suspects others.
"""

from paddlequay.cluster.types import SelfChanged

MAX_SCORE = 7  # as Lifeguard has it: waits are at most 8 times as long
ISOLATED_PERIODS = 2.5  # without any datagram or acknowledgement: two whole rounds and a half


class LocalHealth:
    """The health score, and when this router last heard from others and was heard by them.

    Times are seconds; `period_s` is the time between two probes.
    """

    def __init__(self, period_s: float, now: float) -> None:
        self._period_s = period_s
        self._score = 0
        self._reported = SelfChanged(receives=True, reaches=True)
        self.last_received_at = now
        self.last_acknowledged_at = now

    @property
    def wait_factor(self) -> int:
        """Returns the factor, from 1 to 8, by which all waits for others are longer."""
        return 1 + self._score

    def worsen(self) -> None:
        """Records a stall of this process, or a claim that it had to refute."""
        self._score = min(MAX_SCORE, self._score + 1)

    def record_probe(self, acknowledged: bool) -> None:
        """Records the end of a probe: an acknowledged one improves the score."""
        self._score = max(0, self._score - acknowledged)

    def was_unreachable(self, now: float) -> bool:
        """Returns whether nobody has acknowledged a ping of this router for two periods."""
        return now - self.last_acknowledged_at > 2 * self._period_s

    def detect_change(self, now: float) -> SelfChanged | None:
        """Returns an event where this router has become isolated or connected again."""
        patience_s = ISOLATED_PERIODS * self._period_s * self.wait_factor
        current = SelfChanged(
            receives=now - self.last_received_at <= patience_s,
            reaches=now - self.last_acknowledged_at <= patience_s,
        )
        if current == self._reported:
            return None
        self._reported = current
        return current

    def shift_timers(self, seconds: float) -> None:
        """Moves all times by the length of a stall, in which nobody could have been heard."""
        self.last_received_at += seconds
        self.last_acknowledged_at += seconds
