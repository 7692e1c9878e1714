"""Rejection: the final answer of a request that gets none from a cache, and its Retry-After."""

import random

from paddlequay.routing.interface import Fail, Reject, RejectCause
from paddlequay.routing.state import RequestState

# Capacity below a concurrency limit becomes free within tens of milliseconds; random values between these
# bounds keep clients from returning all at once.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 0.15


def final_answer(
    request: RequestState, cause: RejectCause, max_retry_after: float | None, rng: random.Random
) -> Reject | Fail:
    """Returns a rejection if the client may safely repeat the request anywhere, else a failure.

    Args:
        request: The request, with the bound on its retries if it may have been executed.
        cause: Why there is no answer.
        max_retry_after: The longest Retry-After in seconds; None for no Retry-After.
        rng: The seeded generator of the router.
    """
    if request.retry_bound is not None and request.retry_bound.scope != "all":
        return Fail(request.received.id)
    if max_retry_after is None:
        return Reject(request.received.id, None, cause)
    retry_after = min(max_retry_after, rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
    return Reject(request.received.id, retry_after, cause)
