"""What one membership was told belongs to the next one: of a successor process, or with other sources."""

from dataclasses import replace

import pytest

from paddlequay.discovery.explanation import explain
from paddlequay.discovery.inheritance import export_state, inherit_state
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reconfiguration import with_sources
from paddlequay.discovery.reports import MembershipLimits, SourceRule
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import ReportedMember

READY, DRAINING, REMOVED = MemberState.READY, MemberState.DRAINING, MemberState.REMOVED
RULES = (
    SourceRule("list", retain_for=60.0, silent_after=5.0),
    SourceRule("dns", retain_for=60.0, silent_after=5.0),
)
LIMITS = MembershipLimits(confirm_after=30.0)


def reported(id: str, port: int, state: MemberState = READY) -> ReportedMember:
    return ReportedMember(id, ("127.0.0.1", port), state=state)


def fleet(count: int) -> list[ReportedMember]:
    return [reported(f"b{n}", 100 + n) for n in range(count)]


def states(members: Membership) -> dict[str, MemberState]:
    return {change.member.id: change.member.state for change in members.members.values()}


def started_from_known(count: int, now: float) -> Membership:
    """Returns the membership of a process that has just started with the list of its configuration."""
    members = Membership(RULES, LIMITS)
    members.report("list", fleet(count), True, now)
    return members


def flapping_membership() -> tuple[Membership, float]:
    """Returns a membership that holds `b0` back for flapping, and the time."""
    members = Membership(RULES, LIMITS)
    members.report("list", fleet(2), True, 0.0)
    for now in range(1, 9):
        state = REMOVED if now % 2 else READY
        members.report("list", [reported("b0", 100, state)], False, float(now))
    assert states(members) == {"b1": READY} and "by flapping" in explain(members, "b0", 8.0)[-1]
    return members, 8.0


def omitting_membership() -> Membership:
    """Returns a membership whose list has omitted six of nine members since second 10."""
    members = Membership(RULES, LIMITS)
    members.report("list", fleet(9), True, 0.0)
    members.report("list", fleet(3), True, 10.0)
    assert len(members.members) == 9
    return members


def test_sources_that_are_replaced_keep_an_omission_under_way() -> None:
    # Guards against: an omission that begins anew at each SIGHUP, so that gone members stay.
    members, _ = with_sources(omitting_membership(), RULES[:1], LIMITS, 25.0)
    assert "left out for 15 s" in explain(members, "b5", 25.0)[0]
    members.report("list", fleet(3), True, 39.0)
    assert len(members.members) == 9
    members.report("list", fleet(3), True, 40.0)
    assert len(members.members) == 3


def test_sources_that_are_replaced_keep_the_pause_of_a_flapping_member() -> None:
    # Guards against: a flapping member that returns at once after a SIGHUP.
    old, now = flapping_membership()
    members, changes = with_sources(old, RULES[:1], LIMITS, now)
    assert changes == [] and states(members) == {"b1": READY}
    members.tick(now + LIMITS.flap_pause)
    assert states(members) == {"b0": READY, "b1": READY}


def test_a_successor_knows_removals_and_drains_of_members_that_its_configuration_has() -> None:
    # Guards against: members that were told to be gone, in service again by `mass` after a hot restart.
    old = started_from_known(9, 0.0)
    old.report("list", [reported(f"b{n}", 100 + n, REMOVED) for n in range(4)], False, 5.0)
    old.report("list", [reported("b4", 104, DRAINING)], False, 6.0)
    old.report("dns", [reported("b0", 100), reported("host4", 104)], True, 7.0)
    members = started_from_known(9, 20.0)
    changes = inherit_state(members, export_state(old), 20.0)
    assert states(members) == states(old) == {"b4": DRAINING} | {f"b{n}": READY for n in range(5, 9)}
    assert {change.rule for change in changes if change.member.state is REMOVED} == {"drain"}
    members.report("dns", [reported("b0", 100), reported("host4", 104)], True, 21.0)
    assert states(members) == states(old)


def test_a_successor_continues_an_omission_and_a_pause() -> None:
    members = started_from_known(9, 25.0)
    assert inherit_state(members, export_state(omitting_membership()), 25.0) == []
    members.report("list", fleet(3), True, 39.0)
    assert len(members.members) == 9
    members.report("list", fleet(3), True, 40.0)
    assert len(members.members) == 3
    old, now = flapping_membership()
    members = started_from_known(2, now)
    (change,) = inherit_state(members, export_state(old), now)
    assert (change.member.id, change.member.state, change.rule) == ("b0", REMOVED, "flapping")
    members.tick(now + LIMITS.flap_pause)
    assert states(members) == {"b0": READY, "b1": READY}


def test_later_omissions_are_counted_with_those_of_the_predecessor() -> None:
    # Guards against: members that a faulty source omits one after another across a hot restart.
    old = Membership(RULES, LIMITS)
    old.report("list", fleet(10), True, 0.0)
    old.report("list", fleet(6), True, 10.0)
    members = started_from_known(10, 12.0)
    inherit_state(members, export_state(old), 12.0)
    members.report("list", fleet(5), True, 13.0)
    assert len(members.members) == 10


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_later_reports_of_a_source_hold_against_what_is_taken_over(state: MemberState) -> None:
    # Guards against: a member that is back and that the predecessor was not told of.
    old = started_from_known(9, 0.0)
    old.report("list", [reported("b0", 100, state), reported("x", 900, REMOVED)], False, 5.0)
    members = started_from_known(9, 20.0)
    assert inherit_state(members, export_state(old), 20.0, later_sources={"list"}) == []
    assert states(members)["b0"] is READY
    # The own reports do not name this one, and DNS must not bring it back.
    members.report("dns", [reported("x", 900)], True, 21.0)
    assert "x" not in states(members)


def test_a_member_of_unknown_age_keeps_its_slow_start() -> None:
    old = Membership(RULES, LIMITS)
    old.report("dns", fleet(1), True, 0.0)
    old.report("dns", fleet(2), True, 100.0)
    members = Membership(RULES, LIMITS)
    changes = inherit_state(members, export_state(old), 101.0)
    assert {change.member.id: change.member.started for change in changes} == {"b0": 0.0, "b1": 100.0}
    (change,) = members.report("dns", fleet(3), True, 102.0)
    assert change.member.started == 102.0


def test_times_after_now_count_as_now() -> None:
    state = export_state(omitting_membership())
    later = replace(state, reports=tuple(replace(each, missing_since=1e9) for each in state.reports))
    members = started_from_known(9, 25.0)
    inherit_state(members, later, 25.0)
    members.report("list", fleet(3), True, 55.0)
    assert len(members.members) == 3
