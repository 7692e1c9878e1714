"""Overload protection: how much of its core the program uses, and what share of new requests it sheds."""

import random

from paddlequay.config.limits import Limits


class OverloadGuard:
    """Sheds load where the core is full: else answers come after their time and purges are read too late.

    Rejecting costs a fraction of serving, so a part of the new requests is rejected, more at each busy
    heartbeat.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.shed_share = 0.0
        self.last_sample: tuple[float, float] | None = None

    def sample(self, now: float, cpu: float) -> bool:
        """The clock and the processor time used so far, in seconds, at each heartbeat.

        Whether the heartbeat came in time.
        """
        before, self.last_sample = self.last_sample, (now, cpu)
        if before is None or now <= before[0]:
            return True
        # Of the cores that the deployment grants, which may be a part of one: measured against a full one, a
        # part that is used up never showed.
        busy = (cpu - before[1]) / (now - before[0]) > self.limits.max_cpu_share * self.limits.cores
        late = now - before[0] > self.limits.heartbeat_interval + self.limits.max_heartbeat_delay
        # By the time that has passed: a core so full that heartbeats come late would else be relieved slower.
        step = self.limits.shed_step * min(5.0, (now - before[0]) / self.limits.heartbeat_interval)
        step = step if busy or late else -step / 2
        self.shed_share = min(0.95, max(0.0, self.shed_share + step))
        return not late

    def should_shed(self) -> bool:
        """Whether a new request is to be rejected."""
        return self.shed_share > 0.0 and self.random.random() < self.shed_share
