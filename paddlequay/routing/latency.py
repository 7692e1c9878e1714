"""Estimates of the work of requests and of the latency of their answers, by class.

The work of a request is the time in seconds that sending its answer at the full rate of one transfer takes.
Attempt time-outs, concurrency limits, slow start and load shedding read these estimates.
"""

import math
from collections.abc import Mapping

from paddlequay.routing.interface import Request, RoutingSettings
from paddlequay.routing.state import RequestState

SLOW_ANSWER_RATIO = 0.02  # the share of answers above the estimated quantile, which is the 98th percentile
QUANTILE_STEP_RATIO = 0.03  # the step of the quantile estimate for each answer, as a share of the estimate
# Tolerance for answers of unknown size: large objects have a later objective, which is then not known.
UNKNOWN_SIZE_FACTOR = 1.2
MAX_COST_REQUESTS = 8.0  # in requests of mean work
# Share of the difference by which one request moves the mean work, which so follows some hundred requests.
WORK_STEP_RATIO = 0.01
MIN_WORK_S = 0.001
WORK_WINDOW_ANSWER_COUNT = 50  # without sizes, the lowest mean latency of this many answers is the work


class LowestWindowMean:
    """The lowest mean of consecutive values, for each name; its size is bounded by the number of names.

    Args:
        window: The number of consecutive values in one mean.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self.sums: dict[str, tuple[int, float]] = {}

    def update(self, name: str, value: float, lowest: float) -> float:
        """Adds a value; returns the lower of `lowest` and the mean of the window, once that is full."""
        count, total = self.sums.pop(name, (0, 0.0))
        if count + 1 >= self.window:
            return min(lowest, (total + value) / (count + 1))
        self.sums[name] = (count + 1, total + value)
        return lowest


class LatencyEstimator:
    """Estimates, for each class, the work in seconds and a high quantile of the latency.

    Attributes:
        latency_ratio: The estimated quantile of latency over objective, by class.
        work: The mean work of a request in seconds, by class.
        mean_work: The mean work over all classes.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.flow_kb_per_s = settings.flow_kb_per_s
        self.latency_ratio = {each.name: 1.0 for each in settings.classes}
        self.work = {each.name: each.latency_objective / 2 for each in settings.classes}
        self.lowest_mean_latency = LowestWindowMean(WORK_WINDOW_ANSWER_COUNT)
        self.mean_work = sum(self.work.values()) / len(self.work)

    def record_request(self, request: Request) -> float:
        """Counts a request; returns its work in seconds, by its size if known, else by its class."""
        work = self.work[request.class_name]
        if request.size_kb and self.flow_kb_per_s:
            work = request.size_kb / self.flow_kb_per_s
            self.work[request.class_name] += WORK_STEP_RATIO * (work - self.work[request.class_name])
        self.mean_work += WORK_STEP_RATIO * (work - self.mean_work)
        return work

    def cost(self, work: float) -> float:
        """Returns the cost of work in seconds, in requests of mean work; at most `MAX_COST_REQUESTS`."""
        return min(MAX_COST_REQUESTS, work / self.mean_work)

    def objective(self, request: RequestState) -> float:
        """Returns the latency objective of a request in seconds, with the part that depends on its work."""
        request_class = request.request_class
        by_work = (request_class.objective_per_work or 0.0) * request.work
        return min(request_class.deadline, request_class.latency_objective + by_work)

    def record_timeout(self, request: RequestState) -> None:
        """Counts an attempt that timed out as slower than the estimated quantile."""
        self._update_quantile(request.request_class.name, math.inf)

    def _update_quantile(self, name: str, ratio: float) -> None:
        """Moves the quantile estimate of a class by one step of stochastic approximation.

        Each answer above the estimate raises it by `1 - SLOW_ANSWER_RATIO` steps, each other one lowers it by
        `SLOW_ANSWER_RATIO` steps. The steps cancel out if the share of answers above the estimate is
        `SLOW_ANSWER_RATIO`.

        Args:
            name: The class.
            ratio: The latency of an answer over its objective; infinite for a time-out.
        """
        quantile = self.latency_ratio[name]
        is_above = ratio > quantile
        self.latency_ratio[name] = quantile + QUANTILE_STEP_RATIO * quantile * (is_above - SLOW_ANSWER_RATIO)

    def record_answer(self, request: RequestState, latency: float) -> bool:
        """Counts an answer after `latency` seconds; returns whether it was late."""
        name = request.request_class.name
        ratio = latency / self.objective(request)
        self._update_quantile(name, ratio)
        if request.received.size_kb:
            return ratio > 1.0
        # The lowest mean is used and not the last one: latency under overload says nothing about the size.
        self.work[name] = self.lowest_mean_latency.update(name, max(MIN_WORK_S, latency), self.work[name])
        return ratio > UNKNOWN_SIZE_FACTOR

    def export_state(self) -> dict[str, float]:
        """Returns the estimates for a successor process; other versions read these keys."""
        work = {f"work {name}": work for name, work in self.work.items()}
        return work | {f"slow {name}": ratio for name, ratio in self.latency_ratio.items()}

    def inherit_state(self, state: Mapping[str, float]) -> None:
        """Takes over the estimates that a predecessor exported; ignores unknown keys."""
        for name in self.work:
            self.work[name] = state.get(f"work {name}", self.work[name])
            self.latency_ratio[name] = state.get(f"slow {name}", self.latency_ratio[name])
        self.mean_work = sum(self.work.values()) / len(self.work)
