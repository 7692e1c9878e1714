"""Whether requests without an answer tell of a dead machine: by how seldom answers take so long.

A count of unanswered requests tells little by itself. Four that wait for 0.6 s are proof where most answers
take tens of milliseconds, and chance where each router has few large ones out: on the calm day at full size
185 live connections were ended for silence, and 706 requests with them. What is asked here is how likely so
long a silence is while all is well, from how long answers of each class have taken lately, as an accrual
failure detector does (Hayashibara and others, "The phi accrual failure detector", 2004).
"""

import math
from collections.abc import Iterable, Mapping

BIN_WIDTH = math.log(1.25)  # a bin of times is a quarter longer than the one before
MIN_LATENCY_S, BIN_COUNT = 0.001, 48  # seconds; the last bin begins at 36 s
MAX_SAMPLES = 400.0  # answers of a class: what was usual before, under another load, fades
PRIOR_SAMPLES = 12.0  # answers' weight of what is assumed until answers tell
SLOWDOWN_SLACK = 1.5  # a general slowing shows in waits before it shows in answers: no silence yet
SUSPICION_THRESHOLD = 7.0  # natural logarithm of the odds against chance: one in a thousand


def bin_of(time: float) -> int:
    """The bin of a time in seconds; all times have one."""
    return min(BIN_COUNT - 1, max(0, int(math.log(max(time, MIN_LATENCY_S) / MIN_LATENCY_S) / BIN_WIDTH)))


class LatencyDistribution:
    """How long answers have taken, by class, in `BINS` counters each.

    `usual`: a mean, in seconds, for classes not heard of yet. Bounded by the classes given.
    """

    def __init__(self, usual: float, classes: Iterable[str]) -> None:
        self.assumed_mean = usual
        self.counts: Mapping[str, list[float]] = {name: [0.0] * BIN_COUNT for name in classes}
        self.totals = dict.fromkeys(self.counts, 0.0)

    def record(self, kind: str, time: float) -> None:
        """An answer came, or its request was given up, after `time` seconds; unknown classes tell nothing."""
        counts = self.counts.get(kind)
        if counts is None:
            return
        if self.totals[kind] >= MAX_SAMPLES:
            counts[:] = [count / 2 for count in counts]
            self.totals[kind] /= 2
        counts[bin_of(time)] += 1.0
        self.totals[kind] += 1.0

    def suspicion(self, kind: str, age: float) -> float:
        """Minus the logarithm of the share of answers that take longer than `age` seconds; 0 or more.

        Never more than what as many answers can tell: where none of a hundred took so long, one in a hundred
        may.
        """
        counts, total = self.counts.get(kind), self.totals.get(kind, 0.0)
        assumed = PRIOR_SAMPLES * math.exp(-max(0.0, age) / self.assumed_mean)
        longer = sum(counts[bin_of(age) :]) if counts is not None else 0.0
        return -math.log(max((longer + assumed) / (total + PRIOR_SAMPLES), 1.0 / (total + PRIOR_SAMPLES)))

    def is_unresponsive(self, waiting: Iterable[tuple[str, float]], slowness: float = 1.0) -> bool:
        """Whether so many requests, of (class, age in seconds), waiting in vain are no chance any more.

        `slowness`: how many times as long as elsewhere answers take of whoever is asked, 1 or more: in a jam
        of its own a member is slow, and not dead.
        """
        slowness = SLOWDOWN_SLACK * max(1.0, slowness)
        return sum(self.suspicion(kind, age / slowness) for kind, age in waiting) > SUSPICION_THRESHOLD


class RelativeLatency:
    """How long the answers of one member take, as a multiple of what is usual, over the last `memory`.

    A mean that begins at the first value: one that began at zero took members for fast until dozens of
    answers had come, and their silence for death.
    """

    def __init__(self, memory: float = 10.0) -> None:
        self.max_samples = memory
        self.count = 0.0
        self.mean = 0.0

    def record(self, time: float) -> None:
        """Another value, in any unit."""
        self.count = min(self.max_samples, self.count + 1.0)
        self.mean += (time - self.mean) / self.count

    def ratio_to(self, usual: "RelativeLatency") -> float:
        """This mean over another's, 1 while either is unknown."""
        return self.mean / usual.mean if self.count and usual.mean > 0 else 1.0
