"""Checks an attempt at the moment of writing against the endpoint list, overrides and purges.

A decision may be written long after it was made, once a connection is established or a socket accepts
bytes again.
"""

import math
from collections import OrderedDict
from dataclasses import replace

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.requests.messages import ClientRequest, Scheduler, UpstreamAttempt
from paddlequay.routing.interface import Fetch, Member, MemberState, RequestClass

MAX_PURGES = 4096  # the latest by object or group: more than an hour's at one a second
MIN_AGE_S = 0.001  # on the wire an age limit of 0 selects the cache's default


class WriteChecks:
    """Holds the latest members and purges, and answers whether an attempt may still be written.

    Memory is bounded by the endpoint list and by `MAX_PURGES`.
    """

    def __init__(self, operator_state: OperatorState, limits: Limits, scheduler: Scheduler) -> None:
        self.operator_state = operator_state
        self.limits = limits
        self.scheduler = scheduler
        self.members: dict[str, Member] = {}
        self.purged_at: OrderedDict[tuple[str, int | None], float] = OrderedDict()

    def update_members(self, members: tuple[Member, ...], full: bool) -> None:
        """Applies a complete endpoint list (`full`) or changes to it."""
        self.operator_state.record_listed(member.name for member in members)
        if full:
            self.members.clear()
        for member in members:
            if member.state is MemberState.REMOVED:
                self.members.pop(member.name, None)
            else:
                self.members[member.name] = member

    def with_overrides(self, member: Member) -> Member:
        """Returns the member as the decisions see it: draining if operators have ejected it."""
        if member.state is not MemberState.REMOVED and self.operator_state.is_ejected(member.name):
            return replace(member, state=MemberState.DRAINING)
        return member

    def record_purge(self, key: int | None, group: int | None, issued: float) -> float:
        """Records the purge of an object, or of a whole group if `key` is None.

        Args:
            key: The number of the object.
            group: The number of the group.
            issued: When the purge was issued, in Unix seconds.

        Returns:
            The age of the purge in seconds, never below 0.
        """
        scope = ("group", group) if key is None else ("key", key)
        previous = self.purged_at.pop(scope, -math.inf)
        self.purged_at[scope] = max(issued, previous)
        while len(self.purged_at) > MAX_PURGES:
            self.purged_at.popitem(last=False)
        return max(0.0, self.scheduler.unix() - issued)

    def max_age(
        self, request: ClientRequest, request_class: RequestClass, decided: float | None
    ) -> float | None:
        """Returns the maximum age in seconds of a copy that may serve the request; None for the default.

        The limit is the one decided, else the freshness lifetime of the class, lowered to the age of
        the last purge. A purge counts for as long as it is remembered, because a cache that hung while
        it was announced may still hold an older copy.

        Args:
            request: The request, with the number of its object and group.
            request_class: The class of the request.
            decided: The limit that the decisions have chosen, in seconds.
        """
        if request_class.uncacheable:
            return decided
        key_purged_at = self.purged_at.get(("key", request.key), -math.inf)
        group_purged_at = self.purged_at.get(("group", request.group), -math.inf)
        purge_age = max(MIN_AGE_S, self.scheduler.unix() - max(key_purged_at, group_purged_at))
        limit = decided or request_class.freshness_lifetime or math.inf
        return decided if purge_age >= limit else purge_age

    def is_usable(self, name: str) -> bool:
        """Returns whether requests may be sent to a member, or filled from it."""
        member = self.members.get(name)
        if member is None or member.state not in (None, MemberState.READY):
            return False
        return not self.operator_state.is_ejected(name)

    def chosen_members(self, fetch: Fetch) -> tuple[Member | None, ...]:
        """Returns the target and the source of a fetch as they are listed now."""
        return self.members.get(fetch.target), self.members.get(fetch.source)

    def allows(self, attempt: UpstreamAttempt, now: float) -> bool:
        """Returns whether an attempt may still be written.

        Its target and source must be usable and must not have restarted or moved since they were
        chosen. A retry of a request that may have been executed must be within the dedup window and
        scope of the first attempt.

        Args:
            attempt: The attempt, with the members that were chosen for it.
            now: The time in seconds of the decisions' clock.
        """
        fetch = attempt.fetch
        names = (fetch.target, fetch.source)
        for chosen, name in zip(attempt.chosen_members, names, strict=True):
            if chosen is None or not self.is_usable(name):
                return False
            if not is_same_instance(chosen, self.members[name]):
                return False
        return self.is_within_retry_bound(fetch, now)

    def is_within_retry_bound(self, fetch: Fetch, now: float) -> bool:
        """Returns whether the target still drops a duplicate of what an earlier attempt may have executed."""
        bound = fetch.retry_bound
        if bound is None:
            return True
        return now < bound.until and bound.covers(self.members[fetch.target])


def is_same_instance(chosen: Member, listed: Member) -> bool:
    """Returns whether a member has neither restarted nor moved since it was chosen.

    A restarted cache is empty and warming up. A retry is bound to the zone and cell of the first attempt.
    """
    restarted = (listed.started or 0) > (chosen.started or 0)
    moved = (listed.zone, listed.cell) != (chosen.zone, chosen.cell)
    return not restarted and not moved
