"""How much of its core the program uses, and what share of new requests that leaves no room for."""

import random

from paddlequay.config.loader import Limits


class OwnLoad:
    """Guards against a core that is full: then answers came after their time and purges were read too late.

    Refusing costs a fraction of serving, so part of the new requests is turned away, more at each busy beat.
    """

    def __init__(self, limits: Limits, seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.share = 0.0
        self.at: tuple[float, float] | None = None

    def beat(self, now: float, cpu: float) -> bool:
        """Called every `limits.beat`: the clock, and the CPU time used so far. Whether it came in time."""
        before, self.at = self.at, (now, cpu)
        if before is None or now <= before[0]:
            return True
        # Of the cores that the deployment grants, which may be a part of one: measured against a whole one, a
        # part that is full never showed.
        busy = (cpu - before[1]) / (now - before[0]) > self.limits.busy_share * self.limits.cores
        late = now - before[0] > self.limits.beat + self.limits.late_beat
        # By the time that has passed: a core so full that beats come late would else be relieved the slower.
        step = self.limits.shed_step * min(5.0, (now - before[0]) / self.limits.beat)
        step = step if busy or late else -step / 2
        self.share = min(0.95, max(0.0, self.share + step))
        return not late

    def sheds(self) -> bool:
        """Whether a new request is turned away."""
        return self.share > 0.0 and self.random.random() < self.share
