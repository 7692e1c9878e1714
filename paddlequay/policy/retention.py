"""Retention: the rank at which an edge retains a copy."""

from paddlequay.routing.state import RequestState

# The cache protocol has the ranks 0 to 3, of which the router does not use 2.
UNCACHED_RANK = 0  # the answer passes through
LOW_RANK = 1
HOT_RANK = 3


def retention_rank(request: RequestState) -> int:
    """Returns the rank of a request's copy, 0 to 3: a part that was read before is retained longest."""
    if not request.cacheable:
        return UNCACHED_RANK
    return HOT_RANK if request.is_hot else LOW_RANK
