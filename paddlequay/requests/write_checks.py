"""Checks an attempt immediately before it is written, against the endpoint list, overrides and purges.

An attempt may be written long after the routing policy has chosen it, because its connection must be
established first or its socket must accept bytes again.
"""

import math
from collections import OrderedDict
from dataclasses import replace

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.requests.messages import ClientRequest, Scheduler, UpstreamAttempt
from paddlequay.routing.interface import Fetch, Member, MemberState, RequestClass

MAX_PURGES = 4096  # purges of objects or groups that are remembered: over an hour at one per second
MIN_AGE_LIMIT_S = 0.001  # on the wire, a limit of 0 selects the cache's default


class WriteChecks:
    """Tracks the members and the latest purges, and decides whether an attempt may still be written.

    Its memory is bounded by the size of the endpoint list and by `MAX_PURGES`.
    """

    def __init__(self, operator_state: OperatorState, limits: Limits, scheduler: Scheduler) -> None:
        self.operator_state = operator_state
        self.limits = limits
        self.scheduler = scheduler
        self.members: dict[str, Member] = {}
        self.purged_at: OrderedDict[tuple[str, int | None], float] = OrderedDict()
        self.all_purged_at = -math.inf  # every object counts as purged at this Unix second

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
        """Returns the member as the routing policy is to see it: draining if operators have ejected it."""
        if member.state is not MemberState.REMOVED and self.operator_state.is_ejected(member.name):
            return replace(member, state=MemberState.DRAINING)
        return member

    def record_purge(self, key: int | None, group: int | None, issued_at: float) -> float:
        """Records the purge of an object, or of a whole group if `key` is None.

        Args:
            key: The number of the object; None for a whole group.
            group: The number of the group.
            issued_at: When the purge was issued, in Unix seconds.

        Returns:
            The age of the purge in seconds, never below 0.
        """
        scope = ("group", group) if key is None else ("key", key)
        previous = self.purged_at.pop(scope, -math.inf)
        self.purged_at[scope] = max(issued_at, previous)
        while len(self.purged_at) > MAX_PURGES:
            self.purged_at.popitem(last=False)
        return max(0.0, self.scheduler.unix() - issued_at)

    def max_age(
        self, request: ClientRequest, request_class: RequestClass, chosen_limit: float | None
    ) -> float | None:
        """Returns the maximum age in seconds of a copy that may serve the request; None for the default.

        This is the time since the last purge, if that is shorter than `chosen_limit` or, without one, than
        the freshness lifetime of the class. Otherwise it is `chosen_limit`. A purge counts for as long as it
        is remembered, because a cache that hung while the purge was announced may still hold an older copy.

        Args:
            request: The request, with the number of its object and group.
            request_class: The class of the request.
            chosen_limit: The limit that the routing policy has chosen, in seconds.
        """
        if request_class.uncacheable:
            return chosen_limit
        key_purged_at = self.purged_at.get(("key", request.key), -math.inf)
        group_purged_at = self.purged_at.get(("group", request.group), -math.inf)
        purged_at = max(key_purged_at, group_purged_at, self.all_purged_at)
        purge_age = max(MIN_AGE_LIMIT_S, self.scheduler.unix() - purged_at)
        limit = chosen_limit or request_class.freshness_lifetime or math.inf
        return chosen_limit if purge_age >= limit else purge_age

    def is_usable(self, name: str) -> bool:
        """Returns whether a member may be the target of a request or the source of a fill."""
        member = self.members.get(name)
        if member is None or member.state not in (None, MemberState.READY):
            return False
        return not self.operator_state.is_ejected(name)

    def chosen_members(self, fetch: Fetch) -> tuple[Member | None, ...]:
        """Returns the target and the source of a fetch, as the endpoint list has them now."""
        return self.members.get(fetch.target), self.members.get(fetch.source)

    def allows(self, attempt: UpstreamAttempt, now: float) -> bool:
        """Returns whether an attempt may still be written.

        Its target and source must be usable, and must not have restarted or moved since they were
        chosen. If an earlier attempt of the same request may have been executed, this one must be within
        the dedup window and scope of that attempt.

        Args:
            attempt: The attempt, with the members that were chosen for it.
            now: The time in seconds, by the clock of the routing policy.
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
        """Returns whether the target drops duplicates, or no earlier attempt may have been executed."""
        bound = fetch.retry_bound
        if bound is None:
            return True
        return now < bound.until and bound.covers(self.members[fetch.target])


def is_same_instance(chosen: Member, listed: Member) -> bool:
    """Returns whether a member has neither restarted nor moved since it was chosen.

    A restarted cache is empty and warming up. A member that has moved may be outside the zone and cell within
    which duplicates of the first attempt are dropped.
    """
    restarted = (listed.started or 0) > (chosen.started or 0)
    moved = (listed.zone, listed.cell) != (chosen.zone, chosen.cell)
    return not restarted and not moved
