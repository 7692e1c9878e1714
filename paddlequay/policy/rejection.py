"""Giving up: the final answer at once, and when a retry by the client makes sense."""

import random

from paddlequay.routing.interface import Action, Fail, Reject, RejectCause
from paddlequay.routing.state import RequestState

RETRY_AFTER_S = (0.05, 0.15)  # at a limit places come free within tens of ms; spread, not to return as one


def give_up(request: RequestState, cause: RejectCause, longest: float | None, rng: random.Random) -> Action:
    """Reject where a retry is harmless, with a Retry-After of `longest` seconds at most if any; else fail."""
    if request.retry_bound is not None and request.retry_bound.scope != "all":
        return Fail(request.received.id)
    retry_after = None if longest is None else min(longest, rng.uniform(*RETRY_AFTER_S))
    return Reject(request.received.id, retry_after, cause)
