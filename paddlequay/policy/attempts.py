"""Starts the attempts of requests; when an attempt ends, releases the capacity and the probes it held."""

from paddlequay.policy.copy_age import max_copy_age
from paddlequay.policy.retention import retention_rank
from paddlequay.policy.route_selection import Route
from paddlequay.policy.router_state import RouterState
from paddlequay.routing.interface import Fetch, Outcome
from paddlequay.routing.state import AttemptState, CacheTier, RequestState

# After these outcomes, the attempt cannot have been executed.
NOT_EXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)


class AttemptManager:
    """Starts and ends the attempts of pending requests; each attempt ends once."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def send(self, request: RequestState, route: Route, now: float) -> Fetch:
        """Starts the next attempt of a request; returns it with its time-out, retention and age limit."""
        state = self.state
        target = route.target
        source = route.source
        is_cached_read = target is source
        if not is_cached_read:
            state.retries.charge_retry(request)
        holders = state.hot_objects.holders(request.part_state, state.members.upstreams, now)
        fills = not is_cached_read and target.member.name not in holders
        retry_bound = request.retry_bound  # of an earlier attempt, so it is read before `register`
        attempt = AttemptState(target, source, now, fills, state.retries.retry_bound(request, target, now))
        self.register(request, attempt)
        without_origin = self.must_avoid_origin(request, attempt, now)
        if request.cacheable and target.tier is CacheTier.EDGE:
            state.hot_objects.add_holder(request.part_state, target.member.name, now)
        from_sibling = not is_cached_read and source.tier is CacheTier.EDGE
        return Fetch(
            request=request.received.id,
            target=target.member.name,
            source=source.member.name,
            retention=retention_rank(request),
            timeout=state.timeouts.attempt_timeout(request, now),
            max_age=max_copy_age(request, state.purges, without_origin or is_cached_read, now),
            coalesce=bool(state.settings.coalesces_fills) and request.cacheable,
            only_if_cached=without_origin or from_sibling,
            refresh=request.is_hot and bool(request.request_class.freshness_lifetime),
            retry_bound=retry_bound,
        )

    def register(self, request: RequestState, attempt: AttemptState) -> None:
        """Counts an attempt in the limits, slow start and probes of its target and source."""
        state = self.state
        work = state.latency.work[request.request_class.name]
        upstreams = [attempt.target] if attempt.target is attempt.source else [attempt.target, attempt.source]
        for upstream in upstreams:
            upstream.slow_start_bucket.take(work)
            state.outliers.begin_probe(upstream, request.received.id)
        state.limits.acquire(attempt, request.cost)
        request.attempts.append(attempt)
        request.possibly_executed = request.possibly_executed or attempt

    def must_avoid_origin(self, request: RequestState, attempt: AttemptState, now: float) -> bool:
        """Whether a parent may serve only what it has cached, because the origin is slow or ejected.

        Misses would otherwise wait for an origin that does not answer, and occupy capacity that hits need. A
        request that may reach an ejected origin becomes its probe.
        """
        if attempt.source.tier is not CacheTier.PARENT:
            return False
        avoids_origin = request.only_if_cached and attempt.fills
        for origin in self.state.members.origins:
            if not origin.ejected or attempt.target is origin:
                continue
            avoids_origin = not self.state.outliers.is_usable(origin, now)
            if not avoids_origin:
                self.state.outliers.begin_probe(origin, request.received.id)
        return avoids_origin

    def finish(self, request: RequestState, attempt: AttemptState, outcome: Outcome | None = None) -> None:
        """Releases what an attempt held; `outcome` is None if the request ended before the attempt."""
        self.state.limits.release(attempt, request.cost)
        for upstream in (attempt.target, attempt.source, *self.state.members.origins):
            self.state.outliers.end_probe(upstream, request.received.id)
        if outcome in NOT_EXECUTED_OUTCOMES and request.possibly_executed is attempt:
            request.possibly_executed = None
