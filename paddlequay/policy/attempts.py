"""Attempts: whether a retry may go out, its time-out, retention and age limit, and what it occupies."""

import math

from paddlequay.policy.router_state import RouterState
from paddlequay.routing.interface import Fetch, Idempotency, Outcome, RetryBound
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

RETRY_BUDGET_RATIO = 0.2  # retries as a share of first attempts, so that a failing tier is not hit harder
MAX_RETRY_BUDGET = 20.0  # attempts saved up at most: covers the burst when one member dies
WINDOW_MARGIN_S = 0.1  # a keyed retry must arrive inside its window: this is its way to the member
MIN_AGE_S = 0.001  # an age limit of 0 would mean the default
TIMEOUT_SLACK = 1.5  # over that latency, so that a general slowing does not turn into cancelled work
TIMEOUTS_IN_TIME = 3.0  # such waits must fit: cut at half its time, what needs more is never answered
TIMEOUT_GROWTH = 2.0  # of the time spent: what has outlasted one wait is cut again by as long a one
RETRY_RESERVE_S = 0.2  # of a keyed window, for the retry's connection and its way: in less it is too late
NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)


def is_budget_exempt(request: RequestState) -> bool:
    """What one lost connection ended is bounded by what was out on it, and no sign of load.

    One retry is free of the budget, which a single connection with thirty requests on it used up.
    """
    return len(request.attempts) == 1 and request.connection_lost


class AttemptManager:
    """The attempts of open requests, each of which ends once, and the budget of retries."""

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.retry_budget = MAX_RETRY_BUDGET

    def may_retry(self, request: RequestState, now: float) -> bool:
        """Whether a retry is within the limits and what its class says of repeats."""
        spent = len(request.attempts) >= (self.state.settings.max_attempts or math.inf)
        over = spent or now >= request.deadline or request.streaming
        return not over and (request.retry_bound is None or now < request.retry_bound.until)

    def bound_retries(self, request: RequestState, target: Upstream, now: float) -> RetryBound | None:
        """What an attempt sent now binds retries to while it may have been executed."""
        kind = request.request_class
        if kind.idempotency is Idempotency.IDEMPOTENT:
            return None
        if kind.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return RetryBound(-math.inf, None, target.member)
        return RetryBound(now + (kind.dedup_window or 0.0) - WINDOW_MARGIN_S, kind.dedup_scope, target.member)

    def charge_budget(self, request: RequestState) -> None:
        """A first attempt adds to the retry budget; past it no source is asked again."""
        if not request.attempts:
            self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
        elif self.retry_budget < 1.0 and not is_budget_exempt(request):
            request.retry_budget_spent = True

    def register(self, request: RequestState, attempt: AttemptState) -> None:
        """Count an attempt at target and source: in their limits, slow start and probes."""
        target, source = attempt.target, attempt.source
        for upstream in {target.member.name: target, source.member.name: source}.values():
            upstream.slow_start_bucket.take(self.state.latency.work[request.request_class.name])
            self.state.outliers.begin_probe(upstream, request.received.id)
        self.state.limits.acquire(attempt, request.cost)
        request.attempts.append(attempt)
        request.possibly_executed = request.possibly_executed or attempt

    def send(self, request: RequestState, target: Upstream, source: Upstream, now: float) -> Fetch:
        """One attempt, with its time-out, retention and age limit chosen."""
        state, members = self.state, self.state.members
        if request.attempts and target is not source and not is_budget_exempt(request):
            self.retry_budget -= 1.0
        holders = state.hot_objects.holders(request.object_state, members.upstreams, now)
        fills = target is not source and target.member.name not in holders
        bound = request.retry_bound  # by an earlier attempt
        new_bound = self.bound_retries(request, target, now)
        self.register(request, AttemptState(target, source, now, fills, new_bound))
        cut_off = request.only_if_cached and fills and source.tier is CacheTier.PARENT
        for origin in members.origins:
            if origin.ejected and source.tier is CacheTier.PARENT and target is not origin:
                # What parents lack would wait at an origin that does not answer, in places that hits need.
                cut_off = not state.outliers.is_usable(origin, now)
                if not cut_off:
                    state.outliers.begin_probe(origin, request.received.id)
        if request.cacheable and target.tier is CacheTier.EDGE:
            state.hot_objects.add_holder(request.object_state, target.member.name, now)
        return Fetch(
            request=request.received.id,
            target=target.member.name,
            source=source.member.name,
            retention=state.hot_objects.retention(request),
            timeout=self.timeout(request, now),
            max_age=self.max_age(request, cut_off or target is source, now),
            coalesce=bool(state.settings.coalesces_fills) and request.cacheable,
            only_if_cached=cut_off or (source is not target and source.tier is CacheTier.EDGE),
            refresh=request.is_hot and bool(request.request_class.freshness_lifetime),
            retry_bound=bound,
        )

    def timeout(self, request: RequestState, now: float) -> float:
        """Past the objective and what nearly all answers take; all time left where no retry can follow."""
        left, kind, latency = request.deadline - now, request.request_class, self.state.latency
        wait = latency.objective(request) * max(1.0, latency.latency_ratio[kind.name] * TIMEOUT_SLACK)
        wait = max(wait, TIMEOUT_GROWTH * (request.received.time_left - left))
        keyed = kind.idempotency is Idempotency.IDEMPOTENCY_KEY
        window = (kind.dedup_window or 0.0) * keyed - RETRY_RESERVE_S
        ran = now - request.possibly_executed.sent_at if request.possibly_executed else 0.0
        last = len(request.attempts) >= (self.state.settings.max_attempts or math.inf)
        last = last or (kind.idempotency is not Idempotency.IDEMPOTENT and ran + wait > window)
        return left if last or left < TIMEOUTS_IN_TIME * wait else wait

    def max_age(self, request: RequestState, stale_allowed: bool, now: float) -> float | None:
        """Seconds. Purges bind until all older copies are cleared; a stale copy is for failing sources."""
        lifetime, stale = request.request_class.freshness_lifetime, request.request_class.stale_if_error
        limit = lifetime + stale if stale_allowed and lifetime and stale else None
        age = self.state.purges.age(request.received.group, request.received.key, now)
        if age is not None:
            limit = min(limit or lifetime or math.inf, max(MIN_AGE_S, age))
        return limit

    def finish(self, request: RequestState, attempt: AttemptState, outcome: Outcome | None = None) -> None:
        """Free what an attempt occupied: its share of the limits and a probe."""
        self.state.limits.release(attempt, request.cost)
        for upstream in (attempt.target, attempt.source, *self.state.members.origins):
            self.state.outliers.end_probe(upstream, request.received.id)
        if outcome in NOT_EXECUTED and request.possibly_executed is attempt:
            request.possibly_executed = None
