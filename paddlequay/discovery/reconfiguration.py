"""Replaces the sources of a membership while it is in service."""

from collections.abc import Iterable
from dataclasses import replace

from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import MembershipChange, MembershipLimits, MembershipRule, SourceRule
from paddlequay.routing.interface import MemberState


def with_sources(
    old: Membership, rules: Iterable[SourceRule], limits: MembershipLimits, now: float
) -> tuple[Membership, list[MembershipChange]]:
    """Returns a membership with other sources, and the changes that follow.

    The reports of sources that remain are carried over; those of the others are dropped. Members known
    before and after are not announced again, so that no connection in use is closed.

    Args:
        old: The membership in service.
        rules: The new sources, in order of priority.
        limits: The limits of the new membership.
        now: The time in seconds of the membership's clock.
    """
    new = Membership(rules, limits)
    for name, source in old.sources.items():
        if name in new.sources and source.reports:
            members = [report.member for report in source.reports.values()]
            new.report(name, members, True, source.last_heard_at)
            new.sources[name].last_heard_at = source.last_heard_at
    for (name, id), removal in old.index.removals.items():
        if name in new.sources and id not in new.sources[name].reports:
            new.index.record_removal(removal)
    new.update_members(dict.fromkeys([*new.index.reports_by_address]), now)
    new.start_times.first_report_at = old.start_times.first_report_at
    return new, changes_between(old, new)


def changes_between(old: Membership, new: Membership) -> list[MembershipChange]:
    """Returns the removals of members that left, then the members that were added or changed."""
    before = {change.member.id: change for change in old.members.values()}
    after = {change.member.id: change for change in new.members.values()}
    changes = []
    for id, change in before.items():
        if id not in after:
            removed = replace(change.member, state=MemberState.REMOVED)
            reason = "its source was taken out"
            changes.append(MembershipChange(removed, MembershipRule.AUTHORITY, reason))
    for id, change in after.items():
        if id not in before or before[id].member != change.member:
            changes.append(change)
    return changes
