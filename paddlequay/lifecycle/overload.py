"""Overload protection: sheds a share of new requests while the program's processor core is saturated."""

import random

from paddlequay.config.limits import Limits

MAX_SHED_RATIO = 0.95  # some requests always pass, so that recovery is noticed
MAX_STEP_INTERVALS = 5.0  # a late heartbeat counts as at most this many heartbeats
RECOVERY_FACTOR = 0.5  # the share shrinks half as fast as it grows


class OverloadGuard:
    """Sets the share of new requests to shed, from the processor time used between heartbeats.

    On a saturated core, answers miss their deadlines and purges are read late. Rejecting a request costs only
    a fraction of serving it. So the share grows at each heartbeat at which the core was busy or the heartbeat
    was late, and shrinks at each other one.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.shed_share = 0.0
        self.last_sample: tuple[float, float] | None = None

    def sample(self, now: float, cpu: float) -> bool:
        """Updates the share of requests to shed; called at each heartbeat.

        Args:
            now: The monotonic time in seconds.
            cpu: The processor time that the process has used so far, in seconds.

        Returns:
            Whether the heartbeat was on time.
        """
        previous = self.last_sample
        self.last_sample = (now, cpu)
        if previous is None or now <= previous[0]:
            return True
        elapsed = now - previous[0]
        # The deployment may grant less than one core, so usage is compared with the granted cores.
        is_busy = (cpu - previous[1]) / elapsed > self.limits.max_cpu_share * self.limits.cores
        is_late = elapsed > self.limits.heartbeat_interval + self.limits.max_heartbeat_delay
        # The step grows with the elapsed time, so that late heartbeats do not delay shedding.
        step = self.limits.shed_step * min(MAX_STEP_INTERVALS, elapsed / self.limits.heartbeat_interval)
        if not (is_busy or is_late):
            step = -step * RECOVERY_FACTOR
        self.shed_share = min(MAX_SHED_RATIO, max(0.0, self.shed_share + step))
        return not is_late

    def should_shed(self) -> bool:
        """Returns whether to shed a new request; draws from a seeded random generator."""
        return self.shed_share > 0.0 and self.random.random() < self.shed_share
