"""The failure detector: whether requests without an answer show that a connection or member is unresponsive.

It is an accrual failure detector (Hayashibara and others, "The phi accrual failure detector", 2004). A
count of unanswered requests shows little by itself: four that wait for 0.6 s are proof where most answers
take tens of milliseconds, and chance where each router has few large requests in flight. So the question is
how likely waits of that length are while all is well, judged by how long recent answers of each class have
taken.
"""

import math
from collections.abc import Iterable, Mapping

BIN_GROWTH_FACTOR = 1.25
LOG_BIN_WIDTH = math.log(BIN_GROWTH_FACTOR)
MIN_LATENCY_S = 0.001
BIN_COUNT = 48  # the last bin begins at 36 s
MAX_SAMPLES = 400.0  # answers of a class; older ones decay, as they may be from another load
PRIOR_SAMPLES = 12.0  # the weight of the assumed distribution, in answers
SLOWDOWN_FACTOR = 1.5  # a general slowdown shows in waits before it shows in answers
SUSPICION_THRESHOLD = 7.0  # natural logarithm of the odds against chance: one in a thousand


def bin_of(latency: float) -> int:
    """Returns the bin of a latency in seconds, from 0 to `BIN_COUNT` - 1."""
    position = math.log(max(latency, MIN_LATENCY_S) / MIN_LATENCY_S) / LOG_BIN_WIDTH
    return min(BIN_COUNT - 1, max(0, int(position)))


class LatencyDistribution:
    """How long recent answers have taken, by class, in `BIN_COUNT` counters each.

    Args:
        assumed_mean: The mean in seconds of an assumed exponential distribution, until answers come.
        classes: The names of the classes, which bound the counters.
    """

    def __init__(self, assumed_mean: float, classes: Iterable[str]) -> None:
        self.assumed_mean = assumed_mean
        self.counts: Mapping[str, list[float]] = {name: [0.0] * BIN_COUNT for name in classes}
        self.totals = dict.fromkeys(self.counts, 0.0)

    def record(self, class_name: str, latency: float) -> None:
        """Counts an answer, or the end of a request, after so many seconds; ignores unknown classes."""
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

        It is bounded by the number of answers seen: if none of a hundred took so long, one in a hundred may.
        """
        counts = self.counts.get(class_name)
        total = self.totals.get(class_name, 0.0)
        assumed = PRIOR_SAMPLES * math.exp(-max(0.0, age) / self.assumed_mean)
        longer = sum(counts[bin_of(age) :]) if counts is not None else 0.0
        share = (longer + assumed) / (total + PRIOR_SAMPLES)
        min_share = 1.0 / (total + PRIOR_SAMPLES)
        return -math.log(max(share, min_share))

    def is_unresponsive(self, waiting: Iterable[tuple[str, float]], slowness: float = 1.0) -> bool:
        """Whether so many requests without an answer cannot be explained by chance.

        Args:
            waiting: The class and the age in seconds of each request.
            slowness: How many times as long as usual the answers of this member take. An overloaded member is
                slow and not unresponsive.
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
