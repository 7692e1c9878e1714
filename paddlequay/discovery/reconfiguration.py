"""Replaces the sources of a membership while it is in service."""

from collections.abc import Iterable
from dataclasses import replace

from paddlequay.discovery.inheritance import export_state, inherit_state
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import MembershipChange, MembershipLimits, MembershipRule, SourceRule
from paddlequay.routing.interface import MemberState


def with_sources(
    old: Membership, rules: Iterable[SourceRule], limits: MembershipLimits, now: float
) -> tuple[Membership, list[MembershipChange]]:
    """Returns a membership with other sources, and the changes that follow.

    What the sources that remain have told is carried over, with omissions under way and pauses; the reports
    of the others are dropped. Members known before and after are not announced again, so that no connection
    in use is closed.

    Args:
        old: The membership in service.
        rules: The new sources, in order of priority.
        limits: The limits of the new membership.
        now: The time in seconds of the membership's clock.
    """
    new = Membership(rules, limits)
    inherit_state(new, export_state(old), now)
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
