"""How much work requests are and how long their answers take, by class; time-outs follow that."""

import math
from collections.abc import Mapping

from paddlequay.routing.interface import Effect, Request, Settings
from paddlequay.routing.state import Open
from paddlequay.routing.history import LeastMean

SLOW_SHARE = 0.02  # a time-out lies past the latency that all but this share of answers keep
TIMEOUT_SLACK = 1.5  # room over that latency, so that a general slowing does not turn into cancelled work
TIMEOUT_ROOM = 3.0  # such waits must fit: cut at half its time, what needs more than that is never answered
TIMEOUT_GROWTH = 2.0  # of the time spent: what has outlasted one wait is cut again by as long a one
REPEAT_ROOM_S = 0.2  # of a keyed window, for the repeat's connection and its way: in less it comes too late
QUANTILE_STEP = 0.03  # how fast the learned latency moves; some hundred answers to settle
UNTOLD_SLACK = 1.2  # sizes untold: a large object's later aim is not seen, and it is no sign of a jam
COST_MOST = 8.0  # of the mean request: past it a transfer is too rare to be told apart by its size
WORK_STEP, WORK_LEAST_S = 0.01, 0.001  # mean work moves over some hundred requests, not with a burst
CALM_ANSWERS = 50  # untold sizes: the least mean latency of so many answers stands for the work


class Latency:
    """Work in seconds and latency as a multiple of the aim, for each class of the settings."""

    def __init__(self, settings: Settings) -> None:
        self.flow, self.most = settings.flow_kb_per_s, settings.max_attempts or math.inf
        self.slowness = {kind.name: 1.0 for kind in settings.classes}
        self.work = {kind.name: kind.aim / 2 for kind in settings.classes}
        self.calm = LeastMean(CALM_ANSWERS)
        self.mean_work = sum(self.work.values()) / len(self.work)

    def ask(self, request: Request) -> tuple[float, float]:
        """Count a request: its work, by its size where that is told, and its cost in mean requests."""
        work = self.work[request.class_name]
        if request.size_kb and self.flow:
            work = request.size_kb / self.flow
            self.work[request.class_name] += WORK_STEP * (work - self.work[request.class_name])
        self.mean_work += WORK_STEP * (work - self.mean_work)
        return work, min(COST_MOST, work / self.mean_work)

    def aim(self, item: Open) -> float:
        """When the answer is wanted, by the work if it is told, else by the class's; up to the deadline."""
        return min(item.kind.deadline, item.kind.aim + (item.kind.aim_stretch or 0.0) * item.work)

    def timeout(self, item: Open, now: float) -> float:
        """Past the aim and what nearly all answers take; all that is left where no repeat can follow."""
        left, kind = item.deadline - now, item.kind
        wait = self.aim(item) * max(1.0, self.slowness[kind.name] * TIMEOUT_SLACK)
        wait = max(wait, TIMEOUT_GROWTH * (item.request.left - left))
        window = (kind.repeat_window or 0.0) * (kind.effect is Effect.KEYED) - REPEAT_ROOM_S
        ran = now - item.may_have_run.sent if item.may_have_run else 0.0
        last = len(item.attempts) >= self.most or (kind.effect is not Effect.SAFE and ran + wait > window)
        return left if last or left < TIMEOUT_ROOM * wait else wait

    def slow_down(self, item: Open, ratio: float) -> None:
        """Move the learned latency of nearly all answers, as a multiple of the aim."""
        slow = self.slowness[item.kind.name]
        self.slowness[item.kind.name] = slow + QUANTILE_STEP * slow * ((ratio > slow) - SLOW_SHARE)

    def learn(self, item: Open, latency: float) -> bool:
        """An answer came after `latency` seconds; was it late?"""
        kind, ratio = item.kind.name, latency / self.aim(item)
        self.slow_down(item, ratio)
        if not item.request.size_kb:
            # The least, not the mean: a jam's latency must not pass for the size, or nothing is late.
            self.work[kind] = self.calm.heard(kind, max(WORK_LEAST_S, latency), self.work[kind])
        return ratio > (1.0 if item.request.size_kb else UNTOLD_SLACK)

    def knowledge(self) -> dict[str, float]:
        work = {f"work {kind}": work for kind, work in self.work.items()}
        return work | {f"slow {kind}": slow for kind, slow in self.slowness.items()}

    def inherit(self, told: Mapping[str, float]) -> None:
        for kind in self.work:
            self.work[kind] = told.get(f"work {kind}", self.work[kind])
            self.slowness[kind] = told.get(f"slow {kind}", self.slowness[kind])
        self.mean_work = sum(self.work.values()) / len(self.work)
