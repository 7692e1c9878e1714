"""Attempt time-outs: how long one attempt may take before the next one is sent."""

from paddlequay.policy.retry_rules import is_last_attempt
from paddlequay.routing.interface import Idempotency, RoutingSettings
from paddlequay.routing.latency import LatencyEstimator
from paddlequay.routing.state import RequestState

LATENCY_SLACK_FACTOR = 1.5  # time-out over the learned latency: a general slowdown must not abort attempts
MIN_TIMEOUTS_COUNT = 3.0  # if fewer time-outs fit into the time left, an attempt gets all of that time
TIMEOUT_GROWTH_FACTOR = 2.0  # time-out over the time already spent: a retry takes at least as long
RETRY_RESERVE_S = 0.2  # part of the dedup window that is reserved for connecting and sending the retry


class AttemptTimeouts:
    """Chooses time-outs by the learned latency of each class; it has no state of its own."""

    def __init__(self, settings: RoutingSettings, latency: LatencyEstimator) -> None:
        self.settings = settings
        self.latency = latency

    def attempt_timeout(self, request: RequestState, now: float) -> float:
        """Returns the time-out in seconds of the attempt sent now, which is the last in `request.attempts`.

        The attempt gets all the time left to the deadline if no retry could follow or be answered in time,
        because the work of an aborted attempt is lost. Otherwise, its time-out is longer than nearly all
        answers take.
        """
        time_left = request.deadline - now
        timeout = self.usual_timeout(request, time_left)
        is_final = is_last_attempt(request, self.settings) or not self.is_retry_in_window(
            request, timeout, now
        )
        if is_final or time_left < MIN_TIMEOUTS_COUNT * timeout:
            return time_left
        return timeout

    def usual_timeout(self, request: RequestState, time_left: float) -> float:
        """Returns the time in seconds after which an answer is unlikely to come.

        Args:
            request: The request; the longer its earlier attempts took, the longer the time-out.
            time_left: Seconds left to its deadline.
        """
        learned_ratio = self.latency.latency_ratio[request.request_class.name]
        timeout = self.latency.objective(request) * max(1.0, learned_ratio * LATENCY_SLACK_FACTOR)
        time_spent = request.received.time_left - time_left
        return max(timeout, TIMEOUT_GROWTH_FACTOR * time_spent)

    def is_retry_in_window(self, request: RequestState, timeout: float, now: float) -> bool:
        """Whether a retry after `timeout` seconds would still be allowed by the class of the request."""
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        window = (request_class.dedup_window or 0.0) if has_key else 0.0
        elapsed = now - request.possibly_executed.sent_at if request.possibly_executed else 0.0
        return elapsed + timeout <= window - RETRY_RESERVE_S
