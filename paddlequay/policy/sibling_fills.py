"""Sibling fills: whether an edge fills a miss from another edge of its zone."""

from collections.abc import Iterable

from paddlequay.policy.member_directory import MemberDirectory
from paddlequay.routing.state import RequestState, Upstream


def find_sibling(
    request: RequestState, holders: Iterable[str], members: MemberDirectory, now: float
) -> Upstream | None:
    """Returns the first holder that is ready, not ejected and warm, and has not failed this request.

    A fill from a sibling uses no capacity of the zone's link. An edge in slow start has no capacity to spare.

    Args:
        request: The request to fill.
        holders: The names of the edges that probably hold the part.
        members: The member directory, which knows the holders.
        now: Seconds of the router's clock.
    """
    for name in holders:
        if name in request.failed_members:
            continue
        sibling = members.upstreams[name]
        if sibling.ready and not sibling.ejected and members.capacity_share(sibling, now) >= 1.0:
            return sibling
    return None
