"""An accrual failure detector: whether requests without an answer show an unresponsive machine.

A count of unanswered requests shows little by itself. Four that wait for 0.6 s are proof where most answers
take tens of milliseconds, and chance where each router has few large ones in flight: on the calm day at full
size 185 live connections were closed as unresponsive, and 706 requests with them. The question is how likely
so long a wait is while all is well, from how long answers of each class have taken lately (Hayashibara and
others, "The phi accrual failure detector", 2004).
"""

import math
from collections.abc import Iterable, Mapping

BIN_WIDTH = math.log(1.25)  # a bin of times is a quarter longer than the one before
MIN_LATENCY_S, BIN_COUNT = 0.001, 48  # seconds; the last bin begins at 36 s
MAX_SAMPLES = 400.0  # answers of a class: those from under another load decay
PRIOR_SAMPLES = 12.0  # the weight, in answers, of what is assumed until answers come
SLOWDOWN_SLACK = 1.5  # a general slowing shows in waits before it shows in answers
SUSPICION_THRESHOLD = 7.0  # natural logarithm of the odds against chance: one in a thousand


def bin_of(latency: float) -> int:
    """The bin of a latency in seconds, from 0 to `BIN_COUNT` - 1."""
    return min(BIN_COUNT - 1, max(0, int(math.log(max(latency, MIN_LATENCY_S) / MIN_LATENCY_S) / BIN_WIDTH)))


class LatencyDistribution:
    """How long answers have taken, by class, in `BIN_COUNT` counters each.

    `assumed_mean`: a mean, in seconds, for classes without answers yet. Bounded by the classes given.
    """

    def __init__(self, assumed_mean: float, classes: Iterable[str]) -> None:
        self.assumed_mean = assumed_mean
        self.counts: Mapping[str, list[float]] = {name: [0.0] * BIN_COUNT for name in classes}
        self.totals = dict.fromkeys(self.counts, 0.0)

    def record(self, class_name: str, latency: float) -> None:
        """An answer came, or its request was abandoned, after so many seconds; ignores unknown classes."""
        counts = self.counts.get(class_name)
        if counts is None:
            return
        if self.totals[class_name] >= MAX_SAMPLES:
            counts[:] = [count / 2 for count in counts]
            self.totals[class_name] /= 2
        counts[bin_of(latency)] += 1.0
        self.totals[class_name] += 1.0

    def suspicion(self, class_name: str, age: float) -> float:
        """Minus the logarithm of the share of answers that take longer than `age` seconds; 0 or more.

        Never more than what as many answers can show: where none of a hundred took so long, one in a hundred
        may.
        """
        counts, total = self.counts.get(class_name), self.totals.get(class_name, 0.0)
        assumed = PRIOR_SAMPLES * math.exp(-max(0.0, age) / self.assumed_mean)
        longer = sum(counts[bin_of(age) :]) if counts is not None else 0.0
        return -math.log(max((longer + assumed) / (total + PRIOR_SAMPLES), 1.0 / (total + PRIOR_SAMPLES)))

    def is_unresponsive(self, waiting: Iterable[tuple[str, float]], slowness: float = 1.0) -> bool:
        """Whether so many requests, of (class, age in seconds), without an answer are no chance any more.

        `slowness`: how many times as long as elsewhere answers of this member take, 1 or more: in a jam of
        its own it is slow, and not unresponsive.
        """
        slowness = SLOWDOWN_SLACK * max(1.0, slowness)
        suspicion = sum(self.suspicion(class_name, age / slowness) for class_name, age in waiting)
        return suspicion > SUSPICION_THRESHOLD


class RelativeLatency:
    """How long the answers of one member take, over its last `max_samples`.

    A mean that begins at the first value: one that began at zero took members for fast until dozens of
    answers had come, and a pause for a failure.
    """

    def __init__(self, max_samples: float = 10.0) -> None:
        self.max_samples = max_samples
        self.count = 0.0
        self.mean = 0.0

    def record(self, latency: float) -> None:
        """Another value, in any unit."""
        self.count = min(self.max_samples, self.count + 1.0)
        self.mean += (latency - self.mean) / self.count

    def ratio_to(self, typical: "RelativeLatency") -> float:
        """This mean over another's, 1 while either is unknown."""
        return self.mean / typical.mean if self.count and typical.mean > 0 else 1.0
