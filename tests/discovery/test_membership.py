"""The membership while sources disagree, fall silent, omit many members or report flapping members."""

import random
import time
from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from paddlequay.discovery.explanation import explain
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import MembershipChange, MembershipLimits, SourceRule, TooManyMembersError
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import ReportedMember

READY, DRAINING, REMOVED = MemberState.READY, MemberState.DRAINING, MemberState.REMOVED
RULES = (
    SourceRule("list", retain_for=60.0, silent_after=5.0),
    SourceRule("dns", retain_for=60.0, silent_after=5.0),
)


def reported(id: str, port: int = 1, state: MemberState = READY, **fields: object) -> ReportedMember:
    return replace(ReportedMember(id, ("127.0.0.1", port), state=state), **fields)  # type: ignore[arg-type]


def fleet(count: int) -> list[ReportedMember]:
    return [reported(f"b{n}", 100 + n) for n in range(count)]


def states_by_id(changes: list[MembershipChange]) -> dict[str, MemberState]:
    return {change.member.id: change.member.state for change in changes}


def current_states(members: Membership) -> dict[str, MemberState]:
    return {change.member.id: change.member.state for change in members.members.values()}


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
@pytest.mark.parametrize("other", ["s-1", "host-1"])
def test_a_drain_or_removal_applies_although_the_other_source_lists_it(
    state: MemberState, other: str
) -> None:
    members = Membership(RULES)
    members.report("list", [reported("s-1")], True, 0.0)
    members.report("dns", [reported(other)], True, 0.0)
    assert current_states(members) == {"s-1": READY}
    assert states_by_id(members.report("list", [reported("s-1", state=state)], False, 1.0)) == {"s-1": state}
    for now in range(2, 200):
        assert not members.report("dns", [reported(other)], True, float(now))
        assert READY not in states_by_id(members.tick(float(now))).values()
        assert READY not in current_states(members).values()
    assert "by drain" in "\n".join(explain(members, other, 200.0))
    assert states_by_id(members.report("list", [reported("s-1")], False, 201.0)) == {"s-1": READY}


def test_a_removal_that_is_told_again_applies_where_the_member_was() -> None:
    # Guards against: a gone member that DNS still names, in service again as the list repeats its removal.
    members = Membership(RULES)
    members.report("dns", [reported("host-1")], True, 0.0)
    members.report("list", [reported("s-1")], True, 0.0)
    gone = reported("s-1", state=REMOVED, address=("", 0))  # the entry of a removed member has no address
    for now in (1.0, 2.0, 3.0):
        members.report("list", [gone], False, now)
        members.report("dns", [reported("host-1", weight=now)], True, now)  # evaluates the address again
        assert current_states(members) == {}


def test_a_removal_after_a_confirmed_omission_applies_where_the_member_was() -> None:
    # Guards against: a gone member that DNS names, as its list has left it out before it tells the removal.
    members = Membership(RULES)
    members.report("dns", [reported("host-1")], True, 0.0)
    members.report("list", [reported("s-1")], True, 0.0)
    members.report("list", [], True, 1.0)
    assert current_states(members) == {"host-1": READY}
    members.report("list", [reported("s-1", state=REMOVED, address=("", 0))], False, 2.0)
    assert current_states(members) == {}


def test_a_drain_applies_to_an_id_with_another_address_in_another_source() -> None:
    members = Membership(RULES)
    members.report("dns", [reported("s-1", 2)], True, 0.0)
    assert states_by_id(members.report("list", [reported("s-1", 1, DRAINING)], True, 1.0)) == {
        "s-1": DRAINING
    }
    assert [change.member.address[1] for change in members.members.values()] == [1]
    members.report("list", [reported("s-1", 1, REMOVED)], False, 2.0)
    assert current_states(members) == {}


def test_the_first_source_decides_the_address_and_a_move_is_announced_once() -> None:
    members = Membership(RULES)
    members.report("dns", [reported("s-1", 2)], True, 0.0)
    (change,) = members.report("list", [reported("s-1", 1)], True, 0.0)
    assert change.member.address[1] == 1
    (change,) = members.report("list", [reported("s-1", 3)], False, 1.0)
    assert (change.member.id, change.member.state, change.member.address[1]) == ("s-1", READY, 3)
    (change,) = members.report("list", [], True, 2.0)
    assert change.member.address[1] == 2  # the list no longer reports it, so the address from DNS applies
    assert "dns" in explain(members, "s-1", 2.0)[0]


def test_one_address_under_two_ids_is_one_member_with_the_first_sources_id() -> None:
    members = Membership(RULES)
    members.report("dns", [reported("host-1")], True, 0.0)
    assert states_by_id(members.report("list", [reported("s-1")], True, 1.0)) == {
        "host-1": REMOVED,
        "s-1": READY,
    }
    # A new member at the address of a removed one.
    members.report("list", [reported("s-1", state=REMOVED)], False, 2.0)
    assert states_by_id(members.report("list", [reported("s-2")], False, 3.0)) == {"s-2": READY}


def test_only_a_source_that_may_add_adds_a_member_and_any_may_drain_it() -> None:
    members = Membership((SourceRule("list"), SourceRule("dns", may_add=False)))
    assert members.report("dns", [reported("b")], True, 0.0) == []
    assert explain(members, "b", 0.0)[-1].endswith("authority: only sources that may not add name it")
    members.report("list", [reported("b")], True, 0.0)
    assert states_by_id(members.report("dns", [reported("b", state=DRAINING)], True, 1.0)) == {"b": DRAINING}


def test_members_of_a_silent_source_stay_for_a_time_and_then_leave_one_by_one() -> None:
    members = Membership(RULES, MembershipLimits(expiry_interval=2.0))
    members.report("dns", fleet(10), True, 0.0)
    members.report("list", [reported("b0", 100)], True, 0.0)
    left_counts = []
    for now in range(1, 200):
        members.record_heartbeat("list", float(now))
        left = 10 - len(members.members)
        left_counts.append(left)
    assert max(left_counts[:64]) == 0 and left_counts[-1] == 9  # the list still reports one of them
    assert all(later - earlier <= 1 for earlier, later in pairwise(left_counts))


def test_an_empty_report_takes_effect_only_after_it_is_confirmed() -> None:
    members = Membership(RULES, MembershipLimits(confirm_after=30.0))
    members.report("dns", fleet(10), True, 0.0)
    for now in range(1, 30):
        assert members.report("dns", [], True, float(now)) == []
    assert "by mass" in explain(members, "b3", 29.0)[-1]
    assert members.report("dns", fleet(10), True, 30.0) == []  # the empty report was a fault
    for now in range(31, 61):
        members.report("dns", [], True, float(now))
    assert len(members.report("dns", [], True, 61.0)) == 10


@pytest.mark.parametrize(
    ("omitted_count", "is_delayed"), [(1, False), (2, False), (3, False), (4, True), (10, True)]
)
def test_few_removals_apply_at_once_and_many_are_delayed(omitted_count: int, is_delayed: bool) -> None:
    members = Membership(RULES)
    members.report("dns", fleet(10), True, 0.0)
    assert (members.report("dns", fleet(10 - omitted_count), True, 1.0) == []) == is_delayed
    # Reported drains are not omissions, however many there are.
    drains = [reported(f"b{n}", 100 + n, DRAINING) for n in range(10)]
    assert len(members.report("dns", drains, False, 2.0)) >= 10 - omitted_count


def test_many_successive_removals_within_the_window_are_delayed() -> None:
    members = Membership(RULES, MembershipLimits(mass_window=10.0))
    members.report("dns", fleet(10), True, 0.0)
    for step in range(1, 8):
        members.report("dns", fleet(10 - step), True, float(step))
    assert len(members.members) == 7


def test_a_flapping_member_returns_later_each_time_but_leaves_at_once() -> None:
    members = Membership(RULES, MembershipLimits(min_mass=100))
    now, removal_count = 0.0, 0
    members.report("list", [reported("b")], True, now)
    for step in range(1, 400):
        now += 1.0
        changes = members.report("list", [reported("b")] if step % 2 else [], True, now)
        removal_count += any(change.member.state is REMOVED for change in changes)
        if step % 2 == 0:
            assert current_states(members) == {}
    assert removal_count < 40
    members.report("list", [reported("b")], True, now + 1)
    for wait in range(400):
        members.record_heartbeat("list", now + 1 + wait)
    assert current_states(members) == {"b": READY}


def test_a_clock_that_goes_back_neither_removes_nor_readmits_a_member() -> None:
    members = Membership(RULES)
    members.report("list", [reported("a", 1), reported("b", 2, DRAINING)], True, 4000.0)
    members.record_heartbeat("list", 400.0)
    members.report("dns", [reported("b", 2)], True, 401.0)
    assert current_states(members) == {"a": READY, "b": DRAINING}


def test_a_later_member_of_unknown_age_starts_in_slow_start_and_a_known_one_does_not() -> None:
    members = Membership(RULES)
    members.report("dns", [reported("a", 1)], True, 100.0)
    members.report("dns", [reported("a", 1), reported("b", 2), reported("c", 3, started=7.0)], True, 200.0)
    start_times = {change.member.id: change.member.started for change in members.members.values()}
    assert start_times == {"a": 0.0, "b": 200.0, "c": 7.0}
    restored = Membership((*RULES, SourceRule("kept", retain_for=60.0)))
    assert len(restored.recover(members.snapshot(), "kept", 300.0)) == 3
    restored.report("dns", [reported("b", 2), reported("d", 4)], True, 350.0)
    start_times = {change.member.id: change.member.started for change in restored.members.values()}
    assert (
        start_times["b"] == 200.0
        and start_times["d"] == 350.0
        and "by kept" in explain(restored, "a", 350.0)[-1]
    )
    with pytest.raises(ValueError, match="cannot be read"):
        restored.recover({"members": [1]}, "kept", 351.0)


def test_a_report_with_too_many_members_is_rejected_completely() -> None:
    members = Membership(RULES, MembershipLimits(max_members=10))
    members.report("dns", fleet(8), True, 0.0)
    with pytest.raises(TooManyMembersError):
        members.report("dns", [reported(f"x{n}", 900 + n) for n in range(3)], False, 1.0)
    assert len(members.members) == 8 and members.sources["dns"].rejected_reports == 1


def test_a_delta_evaluates_only_the_addresses_that_it_names() -> None:
    """Counts evaluations rather than time: a delta costs the same with 100 and 20,000 members."""
    counts = []
    for size in (100, 20_000):
        members = Membership(RULES)
        members.report("list", [reported(f"b{n}", n) for n in range(size)], True, 0.0)
        evaluation_count = 0
        original = members.decide

        def counting_decide(address: tuple[str, int], now: float) -> MembershipChange | None:
            nonlocal evaluation_count
            evaluation_count += 1
            return original(address, now)  # noqa: B023

        members.decide = counting_decide  # type: ignore[method-assign]
        members.report("list", [reported(f"b{n}", n, DRAINING) for n in range(10)], False, 1.0)
        counts.append(evaluation_count)
    assert counts[0] == counts[1] == 10


class MembershipMachine(RuleBasedStateMachine):
    """Two sources report anything in any order.

    A member that a source has drained or removed must not be usable until that source revokes it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.members = Membership(RULES, MembershipLimits(min_mass=2, confirm_after=5.0))
        self.now = 0.0
        self.withdrawn_ports: dict[tuple[str, str], int] = {}  # of members a source has drained or removed
        self.last_reports: dict[str, dict[str, ReportedMember]] = {"list": {}, "dns": {}}

    @rule(
        source=st.sampled_from(["list", "dns"]),
        entries=st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.sampled_from([READY, DRAINING, REMOVED])),
            max_size=3,
            unique_by=(lambda each: each[0], lambda each: each[1]),
        ),
        full=st.booleans(),
    )
    def report(self, source: str, entries: list[tuple[str, int, MemberState]], full: bool) -> None:
        self.now += 0.5
        reports = [reported(id, port, state) for id, port, state in entries]
        self.members.report(source, reports, full, self.now)
        for each in reports:
            known = self.last_reports[source].get(each.id)
            if each.state is READY:
                self.withdrawn_ports.pop((source, each.id), None)
                self.last_reports[source][each.id] = each
            elif each.state is DRAINING:
                self.withdrawn_ports[source, each.id] = each.address[1]
                self.last_reports[source][each.id] = each
            else:
                self.withdrawn_ports[source, each.id] = known.address[1] if known else each.address[1]
                self.last_reports[source].pop(each.id, None)

    @rule(pause=st.floats(0.1, 200.0))
    def wait(self, pause: float) -> None:
        self.now += pause
        self.members.tick(self.now)

    @invariant()
    def no_drained_or_removed_member_is_usable_by_its_id(self) -> None:
        for source, id in self.withdrawn_ports:
            report = self.members.sources[source].reports.get(id)
            is_removed = (source, id) in self.members.index.removals
            assert report is not None or is_removed, "a drain was forgotten"
            for change in self.members.members.values():
                if change.member.id == id and change.member.state is READY:
                    reporters = {s for (s, _) in self.members.index.reports_by_address[change.member.address]}
                    assert is_removed and source in reporters, (source, id, change)

    @invariant()
    def the_index_matches_members_and_reports(self) -> None:
        assert {c.member.id: a for a, c in self.members.members.items()} == self.members.address_by_id
        for source in self.members.sources.values():
            for id, report in source.reports.items():
                assert (
                    self.members.index.reports_by_address[report.member.address][source.rule.name, id]
                    is report
                )


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)


def test_without_the_drain_rule_a_drained_member_stays_usable() -> None:
    """Shows that the invariants above can fail: without the drain rule, a drained member stays usable."""
    members = Membership(RULES)
    members.index.reports_about = lambda address, reports: iter(())  # type: ignore[method-assign]
    members.report("dns", [reported("s-1")], True, 0.0)
    members.report("list", [reported("s-1", state=DRAINING)], True, 1.0)
    assert current_states(members) == {"s-1": READY}


def test_after_random_reports_each_member_has_its_last_reported_state() -> None:
    rng = random.Random(5)
    members = Membership(RULES, MembershipLimits(min_mass=10_000, max_flaps=10_000))
    last: dict[str, ReportedMember] = {}
    began = time.process_time()
    for step in range(500):
        batch = [
            reported(f"b{n}", 1000 + n, rng.choice([READY, DRAINING])) for n in rng.sample(range(2000), 20)
        ]
        members.report("list", batch, False, float(step))
        last |= {each.id: each for each in batch}
    assert current_states(members) == {id: each.state for id, each in last.items()}
    assert time.process_time() - began < 60  # a generous bound, only to detect a run that does not end
