"""The failure detector: whether requests without an answer show that a connection or member is unresponsive.

It is an accrual failure detector (Hayashibara and others, "The phi accrual failure detector", 2004). The
number of unanswered requests shows little by itself. Four requests that have waited for 0.6 s prove a failure
if most answers take tens of milliseconds, but may be due to chance if each router has only a few large
requests in flight. The detector therefore estimates how likely waits of that length are at a healthy member,
from the latencies of recent answers of each class.
"""

import math
from collections.abc import Iterable, Mapping

BIN_GROWTH_FACTOR = 1.25
LOG_BIN_WIDTH = math.log(BIN_GROWTH_FACTOR)
MIN_LATENCY_S = 0.001
BIN_COUNT = 48  # the last bin begins at 36 s
MAX_SAMPLES = 400.0  # answers of a class; older ones decay, as the load may have changed since
PRIOR_SAMPLES = 12.0  # the weight of the assumed distribution, in answers
SLOWDOWN_FACTOR = 1.5  # tolerated slowdown, which shows in waiting requests before it shows in answers
SUSPICION_THRESHOLD = 7.0  # minus the natural logarithm of the probability of chance, about 0.001


def bin_of(latency: float) -> int:
    """Returns the bin of a latency in seconds, from 0 to `BIN_COUNT` - 1."""
    position = math.log(max(latency, MIN_LATENCY_S) / MIN_LATENCY_S) / LOG_BIN_WIDTH
    return min(BIN_COUNT - 1, max(0, int(position)))


class LatencyDistribution:
    """Histograms of the latencies of recent answers, one of `BIN_COUNT` bins for each class.

    Args:
        assumed_mean: The mean in seconds of the exponential distribution that is assumed until answers come.
        classes: The names of the classes; other classes are not counted.
    """

    def __init__(self, assumed_mean: float, classes: Iterable[str]) -> None:
        self.assumed_mean = assumed_mean
        self.counts: Mapping[str, list[float]] = {name: [0.0] * BIN_COUNT for name in classes}
        self.totals = dict.fromkeys(self.counts, 0.0)

    def record(self, class_name: str, latency: float) -> None:
        """Counts an answer, or the end of a request, after `latency` seconds; ignores unknown classes."""
        counts = self.counts.get(class_name)
        if counts is None:
            return
        if self.totals[class_name] >= MAX_SAMPLES:
            counts[:] = [count / 2 for count in counts]
            self.totals[class_name] /= 2
        counts[bin_of(latency)] += 1.0
        self.totals[class_name] += 1.0

    def suspicion(self, class_name: str, age: float) -> float:
        """Returns minus the logarithm of the share of answers that take longer than `age` seconds; 0 or more.

        The number of counted answers bounds it: if none of a hundred took longer, one in a hundred still may.
        """
        counts = self.counts.get(class_name)
        total = self.totals.get(class_name, 0.0)
        assumed = PRIOR_SAMPLES * math.exp(-max(0.0, age) / self.assumed_mean)
        longer = sum(counts[bin_of(age) :]) if counts is not None else 0.0
        share = (longer + assumed) / (total + PRIOR_SAMPLES)
        min_share = 1.0 / (total + PRIOR_SAMPLES)
        return -math.log(max(share, min_share))

    def is_unresponsive(self, waiting: Iterable[tuple[str, float]], slowness: float = 1.0) -> bool:
        """Whether the waits of requests without an answer are too long to be explained by chance.

        Args:
            waiting: The class and the age in seconds of each request.
            slowness: How many times as long as usual the answers of this member take. An overloaded member is
                slow, but not unresponsive.
        """
        allowed_slowness = SLOWDOWN_FACTOR * max(1.0, slowness)
        suspicion = sum(self.suspicion(class_name, age / allowed_slowness) for class_name, age in waiting)
        return suspicion > SUSPICION_THRESHOLD


class MeanLatency:
    """The mean latency of one member's recent answers, beginning at its first answer.

    Args:
        max_samples: The weight of the mean, in answers.
    """

    def __init__(self, max_samples: float = 10.0) -> None:
        self.max_samples = max_samples
        self.count = 0.0
        self.mean = 0.0

    def record(self, latency: float) -> None:
        """Adds a latency, in any unit."""
        self.count = min(self.max_samples, self.count + 1.0)
        self.mean += (latency - self.mean) / self.count

    def ratio_to(self, typical: "MeanLatency") -> float:
        """Returns this mean over another; 1 while either is unknown."""
        return self.mean / typical.mean if self.count and typical.mean > 0 else 1.0
