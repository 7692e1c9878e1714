"""Edge weights: how objects are divided among edges of different capacity, by their reported utilization.

Capacities are unknown, and equal shares of the objects overload a small machine beside large idle ones. All
routers integrate the same reports and arrive at about the same weights. If the weights of two routers differ
by 1%, so do the homes of only about 1% of the objects, as placement is weighted rendezvous hashing.
"""

import math
from collections.abc import Sequence

WEIGHT_GAIN_PER_S = 0.5  # change of the bias of an edge whose utilization is 1 above the mean
MAX_WEIGHT_BIAS = 0.8  # in both directions: capacities of machines differ by a factor of five at most
MAX_ADJUSTMENT_S = 1.0  # longest time since the previous report for which a bias is changed


class EdgeWeights:
    """The weight of each edge that reports its load, stored as its logarithm, the bias."""

    def __init__(self) -> None:
        self.biases: dict[str, float] = {}
        self.max_bias = 0.0

    def adjust(
        self, name: str, utilization: float, all_utilizations: Sequence[float], elapsed: float
    ) -> None:
        """Moves objects away from an edge that is used more than the mean, and towards one used less.

        Args:
            name: The edge that reports.
            utilization: The used share of its outgoing link, 0 to 1.
            all_utilizations: The utilization of each edge whose last report is fresh.
            elapsed: Seconds since its last report.
        """
        bias = self.biases.setdefault(name, 0.0)
        if len(all_utilizations) < 2:
            return
        mean = sum(all_utilizations) / len(all_utilizations)
        bias = bias - WEIGHT_GAIN_PER_S * min(MAX_ADJUSTMENT_S, elapsed) * (utilization - mean)
        self.biases[name] = max(-MAX_WEIGHT_BIAS, min(MAX_WEIGHT_BIAS, bias))
        self.max_bias = max(self.biases.values())

    def forget(self, name: str) -> None:
        """Drops an edge that was removed or has restarted; ignores unknown names."""
        if self.biases.pop(name, None) is not None:
            self.max_bias = max(self.biases.values(), default=0.0)

    def relative_weight(self, name: str) -> float:
        """Returns the weight of an edge relative to the largest, in (0, 1]; 1 for an unknown edge."""
        bias = self.biases.get(name)
        return 1.0 if bias is None else math.exp(bias - self.max_bias)
