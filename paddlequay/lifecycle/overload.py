"""How much of its core the program uses, and what share of new requests that leaves no room for."""

import random

from paddlequay.config.limits import Limits


class OverloadGuard:
    """Guards against a core that is full: then answers came after their time and purges were read too late.

    Refusing costs a fraction of serving, so part of the new requests is turned away, more at each busy beat.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.shed_share = 0.0
        self.last_sample: tuple[float, float] | None = None

    def sample(self, now: float, cpu: float) -> bool:
        """Called every `limits.beat`: the clock, and the CPU time used so far. Whether it came in time."""
        before, self.last_sample = self.last_sample, (now, cpu)
        if before is None or now <= before[0]:
            return True
        # Of the cores that the deployment grants, which may be a part of one: measured against a whole one, a
        # part that is full never showed.
        busy = (cpu - before[1]) / (now - before[0]) > self.limits.max_cpu_share * self.limits.cores
        late = now - before[0] > self.limits.heartbeat_interval + self.limits.max_heartbeat_delay
        # By the time that has passed: a core so full that beats come late would else be relieved the slower.
        step = self.limits.shed_step * min(5.0, (now - before[0]) / self.limits.heartbeat_interval)
        step = step if busy or late else -step / 2
        self.shed_share = min(0.95, max(0.0, self.shed_share + step))
        return not late

    def should_shed(self) -> bool:
        """Whether a new request is turned away."""
        return self.shed_share > 0.0 and self.random.random() < self.shed_share
