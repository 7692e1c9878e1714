"""Estimates of how much work requests are, and of how long their answers take, by class."""

from collections.abc import Mapping

from paddlequay.routing.interface import Request, RoutingSettings
from paddlequay.routing.state import RequestState

SLOW_SHARE = 0.02  # the learned latency is the one that all but this share of answers keep
QUANTILE_STEP = 0.03  # how fast the learned latency moves; some hundred answers to settle
UNKNOWN_SIZE_SLACK = 1.2  # sizes unknown: a large object's later objective is not seen, and it is no jam
MAX_COST = 8.0  # of the mean request: past it a transfer is too rare to be told apart by its size
WORK_STEP, MIN_WORK_S = 0.01, 0.001  # mean work moves over some hundred requests, not with a burst
CALM_ANSWERS = 50  # sizes unknown: the lowest mean latency of so many answers stands for the work


class LowestWindowMean:
    """The lowest mean of `window` values in a row, by name; bounded by the names."""

    def __init__(self, window: int) -> None:
        self.window = window
        self.sums: dict[str, tuple[int, float]] = {}

    def update(self, name: str, value: float, lowest: float) -> float:
        """Another value: the lesser of `lowest` and the mean of the window, where that is full."""
        count, total = self.sums.pop(name, (0, 0.0))
        if count + 1 >= self.window:
            return min(lowest, (total + value) / (count + 1))
        self.sums[name] = (count + 1, total + value)
        return lowest


class LatencyEstimator:
    """Work in seconds, and latency as a multiple of the objective, for each class of the settings."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.flow_kb_per_s = settings.flow_kb_per_s
        self.latency_ratio = {kind.name: 1.0 for kind in settings.classes}
        self.work = {kind.name: kind.latency_objective / 2 for kind in settings.classes}
        self.calm_latency = LowestWindowMean(CALM_ANSWERS)
        self.mean_work = sum(self.work.values()) / len(self.work)

    def record_request(self, request: Request) -> tuple[float, float]:
        """Count a request: its work in seconds, by its size where that is known, and its cost.

        The cost is in mean requests, at most `MAX_COST`.
        """
        work = self.work[request.class_name]
        if request.size_kb and self.flow_kb_per_s:
            work = request.size_kb / self.flow_kb_per_s
            self.work[request.class_name] += WORK_STEP * (work - self.work[request.class_name])
        self.mean_work += WORK_STEP * (work - self.mean_work)
        return work, min(MAX_COST, work / self.mean_work)

    def objective(self, request: RequestState) -> float:
        """Seconds within which the answer is wanted, by its work where settings say so."""
        kind = request.request_class
        by_work = (kind.objective_per_work or 0.0) * request.work
        return min(kind.deadline, kind.latency_objective + by_work)

    def adjust_ratio(self, request: RequestState, ratio: float) -> None:
        """Move the learned latency of nearly all answers, as a multiple of the objective."""
        name = request.request_class.name
        slow = self.latency_ratio[name]
        self.latency_ratio[name] = slow + QUANTILE_STEP * slow * ((ratio > slow) - SLOW_SHARE)

    def record_answer(self, request: RequestState, latency: float) -> bool:
        """Count an answer that came after `latency` seconds; whether it was late."""
        name, ratio = request.request_class.name, latency / self.objective(request)
        self.adjust_ratio(request, ratio)
        if request.received.size_kb:
            return ratio > 1.0
        # The lowest, not the mean: a jam's latency must not pass for the size, or nothing is late.
        self.work[name] = self.calm_latency.update(name, max(MIN_WORK_S, latency), self.work[name])
        return ratio > UNKNOWN_SIZE_SLACK

    def export_state(self) -> dict[str, float]:
        """What a successor takes over; its keys are read by other versions, and stay as they are."""
        work = {f"work {name}": work for name, work in self.work.items()}
        return work | {f"slow {name}": ratio for name, ratio in self.latency_ratio.items()}

    def inherit_state(self, state: Mapping[str, float]) -> None:
        """Take over what a predecessor exported; unknown keys are passed over."""
        for name in self.work:
            self.work[name] = state.get(f"work {name}", self.work[name])
            self.latency_ratio[name] = state.get(f"slow {name}", self.latency_ratio[name])
        self.mean_work = sum(self.work.values()) / len(self.work)
