"""What binds at the moment of writing: the list, operators' overrides and purges, as they stand then."""

import math
from collections import OrderedDict
from dataclasses import replace

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.requests.messages import ClientRequest, Scheduler, UpstreamAttempt
from paddlequay.routing.interface import Fetch, Member, MemberState, RequestClass

MAX_PURGES = 4096  # the latest are remembered, by object or group: an hour's at one a second
MIN_AGE_S = 0.001  # an age limit of 0 would mean the default


class WriteChecks:
    """Notified of each change, and consulted before each write. Bounded by the list and by `MAX_PURGES`."""

    def __init__(self, operator_state: OperatorState, limits: Limits, scheduler: Scheduler) -> None:
        self.operator_state = operator_state
        self.limits = limits
        self.scheduler = scheduler
        self.members: dict[str, Member] = {}
        self.purged_at: OrderedDict[tuple[str, int | None], float] = OrderedDict()

    def update_members(self, members: tuple[Member, ...], full: bool) -> None:
        """The list, or changes to it."""
        self.operator_state.record_listed(member.name for member in members)
        if full:
            self.members.clear()
        for member in members:
            if member.state is MemberState.REMOVED:
                self.members.pop(member.name, None)  # its name never comes again
            else:
                self.members[member.name] = member

    def with_overrides(self, member: Member) -> Member:
        """A member as the decisions see it: what operators eject drains, whatever the list says."""
        if member.state is not MemberState.REMOVED and self.operator_state.is_ejected(member.name):
            return replace(member, state=MemberState.DRAINING)
        return member

    def record_purge(self, key: int | None, group: int | None, issued: float) -> float:
        """An object, or without `key` a group, was purged at `issued`, in Unix seconds; returns its age."""
        place = ("group", group) if key is None else ("key", key)
        self.purged_at[place] = max(issued, self.purged_at.pop(place, -math.inf))
        while len(self.purged_at) > MAX_PURGES:
            self.purged_at.popitem(last=False)
        return max(0.0, self.scheduler.unix() - issued)

    def max_age(self, request: ClientRequest, kind: RequestClass, decided: float | None) -> float | None:
        """The age limit that was decided, else the class's own, narrowed by purges; in seconds.

        Also long after all caches have had the time to drop older copies: one that hung meanwhile has not,
        and no copy that may be served is older than the last purge.
        """
        if kind.uncacheable:
            return decided
        at = max(
            self.purged_at.get(("key", request.key), -math.inf),
            self.purged_at.get(("group", request.group), -math.inf),
        )
        age = max(MIN_AGE_S, self.scheduler.unix() - at)
        return decided if age >= (decided or kind.freshness_lifetime or math.inf) else age

    def is_usable(self, name: str) -> bool:
        """Whether anything may be sent to a member, or filled from it."""
        member = self.members.get(name)
        if member is None or member.state not in (None, MemberState.READY):
            return False
        return not self.operator_state.is_ejected(name)

    def chosen_members(self, fetch: Fetch) -> tuple[Member | None, ...]:
        """Target and source as listed now."""
        return self.members.get(fetch.target), self.members.get(fetch.source)

    def allows(self, attempt: UpstreamAttempt, now: float) -> bool:
        """Whether an attempt may still be written at `now`, in seconds of the decisions' clock.

        Target and source may be used, neither has restarted or moved since they were chosen, and a retry of
        what may have been executed is inside the window and the scope of the first attempt.
        """
        fetch = attempt.fetch
        for then, name in zip(attempt.chosen_members, (fetch.target, fetch.source), strict=True):
            if then is None or not self.is_usable(name):
                return False
            listed = self.members[name]
            if (listed.started or 0) > (then.started or 0):
                return False  # cold and empty now, and chosen as it was before
            if (listed.zone, listed.cell) != (then.zone, then.cell):
                return False  # other zones' caches are not used; a retry is bound to the first one's place
        bound = fetch.retry_bound
        return bound is None or (now < bound.until and bound.covers(self.members[fetch.target]))
