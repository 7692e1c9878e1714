"""Availability: whether a member may be used now, by outlier ejection and slow start."""

from paddlequay.policy.router_state import RouterState
from paddlequay.routing.state import RequestState, Upstream


def is_available(state: RouterState, upstream: Upstream, request: RequestState, now: float) -> bool:
    """Whether a member may be sent a request, by outlier ejection and by slow start.

    The member must be usable, that is not ejected or due for a probe, and its slow start must allow the work
    of the request. The call refills the tokens of a member in slow start.

    Args:
        state: The state of the router.
        upstream: The member.
        request: The request, with its sampling draw in [0, 1).
        now: Seconds of the router's clock.
    """
    if not state.outliers.is_usable(upstream, now):
        return False
    work = state.latency.work[request.request_class.name]
    limiter = state.members.slow_start[upstream.tier]
    return limiter.admits(upstream.slow_start_bucket, upstream.started, work, request.sampling_draw, now)
