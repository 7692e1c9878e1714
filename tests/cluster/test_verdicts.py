"""Verdicts: majority, age of evidence, restarts, isolated routers and bounds; also on a simulated network."""

from itertools import product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simnet import ComponentNetwork

from paddlequay.cluster import evidence_reports, evidence_store
from paddlequay.cluster.incarnations import first_incarnation
from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.messages import Evidence
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    Fault,
    Fleet,
    PeerChanged,
    PeerState,
    SelfChanged,
    SendMessage,
    VerdictChanged,
)
from paddlequay.cluster.verdicts import SETTLE_S, Verdicts

PARENT, OTHER = 1, 2
SETTINGS = ClusterSettings("test", ())
FAILING = int(Fault.FAILING)


class VerdictsRig:
    """One router's verdicts with a simulated clock; `advance` calls `tick` whenever it is due."""

    def __init__(self, size: int = 5) -> None:
        self.verdicts = Verdicts(Fleet(0, size), SETTINGS, 0.0)
        self.now = 0.0
        self.sent: list[Evidence] = []
        self.verdict_events: list[VerdictChanged] = []

    def execute(self, actions: list) -> None:  # type: ignore[type-arg]
        self.sent += [
            a.message for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Evidence)
        ]
        self.verdict_events += [a for a in actions if isinstance(a, VerdictChanged)]

    def advance(self, seconds: float = SETTLE_S + 0.01) -> None:
        until = self.now + seconds
        while self.verdicts.due() <= until:
            self.now = self.verdicts.due()
            self.execute(self.verdicts.tick(self.now))
        self.now = until

    def receive_evidence(
        self, peer: int, fault: int = FAILING, incarnation: int = 1, **overrides: int
    ) -> None:
        """Receives evidence of a peer on `PARENT`, by default fresh and after one attempt."""
        fields = {
            "subject_start_ms": 0,
            "attempt_count": 1,
            "age_ms": 10,
            "other_member_count": 1,
        } | overrides
        evidence = Evidence(PARENT, fault=fault, **fields)
        self.execute(self.verdicts.handle_message(peer, incarnation, evidence, self.now))

    def record_attempt(
        self, served: bool, subject: int = PARENT, start_ms: int = 0, fault: Fault | None = None
    ) -> None:
        self.execute(self.verdicts.record_attempt(subject, start_ms, "parent", served, fault, self.now))

    @property
    def verdict(self) -> Fault | None:
        verdict = self.verdicts.verdict_on(PARENT, self.now)
        return verdict.fault if verdict else None


def test_a_verdict_needs_two_witnesses_and_more_than_half_of_the_weight() -> None:
    for failing_count, served_count in product(range(4), range(4)):
        rig = VerdictsRig(9)
        for peer in range(failing_count + served_count):
            rig.receive_evidence(peer + 1, FAILING if peer < failing_count else 0)
        rig.advance()
        assert (rig.verdict is not None) == (failing_count >= 2 and failing_count > served_count)
        assert len(rig.verdict_events) == (rig.verdict is not None)


def test_the_weight_of_one_router_is_limited() -> None:
    rig = VerdictsRig()
    rig.receive_evidence(1, attempt_count=1000)
    rig.advance()
    assert rig.verdict is None
    rig.receive_evidence(2, 0, attempt_count=2)
    rig.receive_evidence(3, 0, attempt_count=2)
    rig.receive_evidence(4)
    rig.advance()
    assert rig.verdict is None  # weights of 2 + 1 against 4, not 1000 + 1 against 4


def test_a_verdict_waits_for_answers_of_routers_that_are_served() -> None:
    rig = VerdictsRig()
    rig.receive_evidence(1)
    rig.receive_evidence(2)
    assert rig.verdict is None
    for peer in (3, 4):
        rig.receive_evidence(peer, 0)
    rig.advance()
    assert rig.verdict is None and rig.verdict_events == []


def test_own_evidence_counts_once_and_being_served_since_overrules_a_verdict() -> None:
    rig = VerdictsRig()
    rig.record_attempt(True, OTHER)
    rig.record_attempt(False)
    rig.receive_evidence(1)
    rig.advance()
    assert rig.verdict is Fault.FAILING and rig.verdicts.should_probe_early(PARENT, rig.now)
    rig.receive_evidence(2)
    rig.receive_evidence(3)
    rig.record_attempt(True)
    assert rig.verdict is None and not rig.verdicts.should_probe_early(PARENT, rig.now)
    assert [a.fault for a in rig.verdict_events] == [Fault.FAILING, None]


def test_being_served_before_a_verdict_does_not_overrule_it() -> None:
    rig = VerdictsRig()
    rig.record_attempt(True)
    for peer in (1, 2, 3):
        rig.receive_evidence(peer)
    rig.advance()
    assert rig.verdict is Fault.FAILING


def test_evidence_beyond_its_maximum_age_does_not_count_at_use() -> None:
    """The age is checked at use, without a tick in between. Stated age 10 ms, transit allowance 0.5 s."""
    rig = VerdictsRig()
    rig.receive_evidence(1)
    rig.receive_evidence(2)
    rig.advance()
    assert rig.verdicts.verdict_on(PARENT, 1.40) is not None
    assert rig.verdicts.verdict_on(PARENT, 1.45) is None  # (1.45 + 0.01) * 1.05 + 0.5 > 2
    rig.advance(2.0)
    assert [a.fault for a in rig.verdict_events] == [Fault.FAILING, None]
    assert rig.verdict_events[0].until <= 2.0
    late_rig = VerdictsRig()
    late_rig.receive_evidence(1, age_ms=1500)
    late_rig.receive_evidence(2, age_ms=1500)
    late_rig.advance()
    assert late_rig.verdict is None


def test_evidence_that_waited_during_a_stall_is_considered_as_old_as_the_stall() -> None:
    rig = VerdictsRig()
    rig.advance(1.0)
    rig.now = 4.0  # one message is read before the first tick after the stall, one after it
    rig.receive_evidence(1)
    rig.execute(rig.verdicts.tick(4.0))
    rig.receive_evidence(2)
    rig.advance()
    assert rig.verdict is None
    rig.advance(0.5)
    rig.receive_evidence(1)
    rig.receive_evidence(2)
    rig.advance()
    assert rig.verdict is Fault.FAILING


def test_evidence_from_before_a_restart_of_subject_or_witness_does_not_count() -> None:
    for restarted in ("subject", "witness", "list", "stale message"):
        rig = VerdictsRig()
        rig.receive_evidence(1, subject_start_ms=5, incarnation=7)
        rig.receive_evidence(2, subject_start_ms=5, incarnation=7)
        if restarted == "stale message":
            rig.receive_evidence(2, 0, subject_start_ms=5, incarnation=6)
        rig.advance()
        assert rig.verdict is Fault.FAILING
        if restarted == "subject":
            rig.receive_evidence(3, 0, subject_start_ms=6)
        elif restarted == "witness":
            rig.execute(rig.verdicts.handle_event(PeerChanged(2, 8, PeerState.ALIVE), rig.now))
        elif restarted == "list":
            rig.execute(rig.verdicts.record_restart(PARENT, 6, rig.now))
        assert (rig.verdict is None) == (restarted != "stale message")


def test_evidence_of_isolated_suspect_or_dead_routers_does_not_count() -> None:
    rig = VerdictsRig()
    rig.receive_evidence(1, other_member_count=0)
    rig.receive_evidence(2, other_member_count=0)
    rig.advance()
    assert rig.verdict is None
    for state in (PeerState.SUSPECT, PeerState.DEAD):
        rig = VerdictsRig()
        rig.receive_evidence(1)
        rig.receive_evidence(2)
        rig.execute(rig.verdicts.handle_event(PeerChanged(2, 1, state), rig.now))
        rig.advance()
        assert rig.verdict is None


@pytest.mark.parametrize("cause", ["nothing serves", "last served has failed", "reported by liveness"])
def test_an_isolated_router_sends_no_evidence_and_does_not_count_its_own(cause: str) -> None:
    rig = VerdictsRig()
    if cause != "nothing serves":
        rig.record_attempt(True, OTHER)
    if cause == "last served has failed":
        rig.record_attempt(False, OTHER)
    if cause == "reported by liveness":
        rig.execute(rig.verdicts.handle_event(SelfChanged(True, False), 0.0))
    rig.record_attempt(False)
    rig.receive_evidence(1)
    rig.advance()
    assert rig.sent == [] and rig.verdict is None


def test_a_served_router_answers_two_witnesses_unless_others_outweigh_them() -> None:
    rig = VerdictsRig(9)
    rig.record_attempt(True)
    rig.receive_evidence(1)
    rig.advance()
    assert rig.sent == []
    rig.receive_evidence(2)
    rig.advance()
    assert [evidence.fault for evidence in rig.sent] == [0]
    outweighed = VerdictsRig(9)
    outweighed.record_attempt(True)
    for peer in (4, 5, 6, 7):
        outweighed.receive_evidence(peer, 0, attempt_count=2)
    outweighed.receive_evidence(1)
    outweighed.receive_evidence(2)
    outweighed.advance()
    assert outweighed.sent == []


def test_reports_on_a_flapping_subject_are_rate_limited() -> None:
    rig = VerdictsRig()
    for turn in range(500):  # 5 s
        rig.record_attempt(True, OTHER)
        rig.record_attempt(turn % 2 == 0)
        rig.advance(0.01)
    assert 10 <= len(rig.sent) <= 5 / evidence_reports.MIN_REPORT_INTERVAL_S + 1


def test_a_verdict_of_a_full_link_causes_no_early_probe() -> None:
    rig = VerdictsRig()
    rig.receive_evidence(1, int(Fault.FULL))
    rig.record_attempt(True, fault=Fault.FULL)
    rig.advance()
    assert rig.verdict is Fault.FULL and not rig.verdicts.should_probe_early(PARENT, rig.now)


EVIDENCE = st.builds(
    Evidence,
    st.integers(0, 2**64 - 1),
    *(st.one_of(st.integers(0, 5), st.integers(0, 2**63 - 1)) for _ in range(5)),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(-1, 99), st.integers(0, 9), EVIDENCE, st.floats(0, 1)), max_size=30))
def test_no_evidence_message_raises_an_error(steps: list[tuple[int, int, Evidence, float]]) -> None:
    rig = VerdictsRig()
    for sender, incarnation, evidence, step in steps:
        rig.execute(rig.verdicts.handle_message(sender, incarnation, evidence, rig.now))
        rig.advance(step)
        assert rig.verdicts.due() >= rig.now


def test_unusable_evidence_is_ignored() -> None:
    rig = VerdictsRig()
    for peer, fault, count in (
        (1, 9, 1),
        (2, 9, 1),
        (3, FAILING, 0),
        (0, FAILING, 1),
        (5, FAILING, 1),
        (-1, FAILING, 1),
    ):
        rig.receive_evidence(peer, fault, attempt_count=count)
    assert not rig.verdicts._store._records


def test_subjects_and_witnesses_are_bounded() -> None:
    rig = VerdictsRig(200)
    for subject in range(1000):
        rig.execute(rig.verdicts.handle_message(1, 1, Evidence(subject, 0, FAILING, 1, 0, 1), 0.0))
    for peer in range(1, 200):
        rig.receive_evidence(peer)
    assert (
        len(rig.verdicts._store._records)
        <= evidence_store.MAX_SUBJECTS
        >= len(rig.verdicts._store.open_subjects)
    )
    assert len(rig.verdicts._store._records[PARENT].by_peer) <= evidence_store.MAX_WITNESSES_PER_SUBJECT


@pytest.mark.parametrize("isolated", [False, True])
def test_twelve_routers_reach_a_verdict_in_a_second_and_none_on_an_isolated_routers_evidence(
    isolated: bool,
) -> None:
    net, verdicts = ComponentNetwork(4, loss_ratio=0.05), {}
    for peer in range(12):
        liveness = Liveness(Fleet(peer, 12), SETTINGS, first_incarnation(peer + 1), Random(peer), 0.0)
        verdicts[peer] = Verdicts(Fleet(peer, 12), SETTINGS, 0.0)
        net.start_router(peer, [liveness, verdicts[peer]], lambda liveness=liveness: liveness.incarnation)  # type: ignore[misc]

    def attempt(peer: int, subject: int) -> None:
        net.schedule(net.now + net.rng.expovariate(2.0), lambda: attempt(peer, subject))
        fails = net.now >= 4.0 and (peer == 3 if isolated else subject == PARENT)
        actions = verdicts[peer].record_attempt(subject, 0, "parent", not fails, None, net.now)
        net.execute(peer, net.routers[peer], actions)

    for peer, subject in product(range(12), (PARENT, OTHER)):
        attempt(peer, subject)
    net.run(5.0)
    reached = {p for _, p, a in net.events if isinstance(a, VerdictChanged) and a.subject == PARENT}
    assert reached == (set() if isolated else set(range(12)))
