"""Overload protection: sheds a share of new requests while the program's own processor core is saturated."""

import random

from paddlequay.config.limits import Limits

MAX_SHED_RATIO = 0.95  # some requests always pass, so that recovery is noticed
MAX_STEP_INTERVALS = 5.0  # a late heartbeat counts for this many heartbeats at most
RECOVERY_FACTOR = 0.5  # of the step up: load returns half as fast as it was shed


class OverloadGuard:
    """Decides which share of new requests is shed, from the processor time used between heartbeats.

    On a saturated core answers miss their deadlines and purges are read late. To reject a request costs a
    fraction of serving it, so the share grows at each busy heartbeat and shrinks at each other one.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.shed_share = 0.0
        self.last_sample: tuple[float, float] | None = None

    def sample(self, now: float, cpu: float) -> bool:
        """Updates the share of requests to shed; called at each heartbeat.

        Args:
            now: The monotonic clock in seconds.
            cpu: The processor time that the process has used so far, in seconds.

        Returns:
            Whether the heartbeat came in time.
        """
        previous = self.last_sample
        self.last_sample = (now, cpu)
        if previous is None or now <= previous[0]:
            return True
        elapsed = now - previous[0]
        # The deployment may grant less than one core, so use is measured against what it grants.
        is_busy = (cpu - previous[1]) / elapsed > self.limits.max_cpu_share * self.limits.cores
        is_late = elapsed > self.limits.heartbeat_interval + self.limits.max_heartbeat_delay
        # The step follows the elapsed time, so that late heartbeats do not slow the shedding.
        step = self.limits.shed_step * min(MAX_STEP_INTERVALS, elapsed / self.limits.heartbeat_interval)
        if not (is_busy or is_late):
            step = -step * RECOVERY_FACTOR
        self.shed_share = min(MAX_SHED_RATIO, max(0.0, self.shed_share + step))
        return not is_late

    def should_shed(self) -> bool:
        """Returns whether to shed a new request, by a seeded random draw."""
        return self.shed_share > 0.0 and self.random.random() < self.shed_share
