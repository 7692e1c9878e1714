"""Retry rules: whether a request may be sent again, by its class, its bounds and the retry budget."""

import math

from paddlequay.routing.interface import Idempotency, RetryBound, RoutingSettings
from paddlequay.routing.state import RequestState, Upstream

RETRY_BUDGET_RATIO = 0.2  # retries for each first attempt, so that a failing tier gets little extra load
MAX_RETRY_BUDGET_ATTEMPTS = 20.0  # covers the burst of retries when one member fails
RETRY_COST_ATTEMPTS = 1.0
WINDOW_MARGIN_S = 0.1  # a retry must arrive inside its dedup window


def is_last_attempt(request: RequestState, settings: RoutingSettings) -> bool:
    """Whether a request has no attempt left of those that the settings allow."""
    return len(request.attempts) >= (settings.max_attempts or math.inf)


def is_budget_exempt(request: RequestState) -> bool:
    """Whether the next attempt is the first retry after a lost connection, which needs no budget.

    The requests on one connection bound such retries, and a lost connection is no sign of load.
    """
    return len(request.attempts) == 1 and request.connection_lost


class RetryRules:
    """Decides on retries and keeps the retry budget, in attempts."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.budget = MAX_RETRY_BUDGET_ATTEMPTS

    def may_retry(self, request: RequestState, now: float) -> bool:
        """Whether a request may be sent again.

        It needs an attempt left, time to its deadline, an answer that has not begun, and an open retry bound.
        """
        if is_last_attempt(request, self.settings) or now >= request.deadline or request.streaming:
            return False
        return request.retry_bound is None or now < request.retry_bound.until

    def retry_bound(self, request: RequestState, target: Upstream, now: float) -> RetryBound | None:
        """Returns the bound on retries after an attempt at `target`, which may be executed.

        It is None for an idempotent request, which may always be repeated. For a non-idempotent one, which is
        never repeated, it ends at -inf. A request with an idempotency key may be repeated within the dedup
        window of its class, which starts now.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return RetryBound(-math.inf, None, target.member)
        until = now + (request_class.dedup_window or 0.0) - WINDOW_MARGIN_S
        return RetryBound(until, request_class.dedup_scope, target.member)

    def update_budget(self, request: RequestState) -> None:
        """Credits the budget for a first attempt; marks the request if the budget does not cover a retry."""
        if not request.attempts:
            self._credit_budget()
        elif not self._covers_retry(request):
            request.retry_budget_exhausted = True  # only cached copies may be read from here on

    def _credit_budget(self) -> None:
        """Adds the share of a retry that each first attempt earns."""
        self.budget = min(MAX_RETRY_BUDGET_ATTEMPTS, self.budget + RETRY_BUDGET_RATIO)

    def _covers_retry(self, request: RequestState) -> bool:
        """Whether the budget has enough left for a retry of a request, or the retry is exempt."""
        return self.budget >= RETRY_COST_ATTEMPTS or is_budget_exempt(request)

    def charge_retry(self, request: RequestState) -> None:
        """Takes the cost of a retry that asks a source from the budget, unless the retry is exempt."""
        if request.attempts and not is_budget_exempt(request):
            self.budget -= RETRY_COST_ATTEMPTS
