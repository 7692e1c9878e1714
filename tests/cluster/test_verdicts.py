"""The fleet's word: quorum, age, lives, routers that are cut off, bounds; and over a simulated network."""

from itertools import product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simnet import Net

from paddlequay.cluster import verdicts
from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.members import first_incarnation
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
SET = ClusterSettings("test", ())
BAD = int(Fault.FAILING)


class Bench:
    """One router's part, ticked as it is due, and its clock."""

    def __init__(self, size: int = 5) -> None:
        self.part = Verdicts(Fleet(0, size), SET, 0.0)
        self.now = 0.0
        self.told: list[Evidence] = []
        self.found: list[VerdictChanged] = []

    def do(self, actions: list) -> None:  # type: ignore[type-arg]
        self.told += [
            a.message for a in actions if isinstance(a, SendMessage) and isinstance(a.message, Evidence)
        ]
        self.found += [a for a in actions if isinstance(a, VerdictChanged)]

    def past(self, seconds: float = SETTLE_S + 0.01) -> None:
        until = self.now + seconds
        while self.part.due() <= until:
            self.now = self.part.due()
            self.do(self.part.tick(self.now))
        self.now = until

    def says(self, peer: int, fault: int = BAD, **fields: int) -> None:
        note = {"start": 0, "count": 1, "age_ms": 10, "others": 1} | fields
        incarnation = note.pop("incarnation", 1)
        self.do(self.part.handle_message(peer, incarnation, Evidence(PARENT, fault=fault, **note), self.now))

    def saw(self, ok: bool, subject: int = PARENT, start: int = 0, fault: Fault | None = None) -> None:
        self.do(self.part.saw(subject, start, "parent", ok, fault, self.now))

    @property
    def word(self) -> Fault | None:
        word = self.part.word(PARENT, self.now)
        return word.fault if word else None


def test_two_witnesses_and_more_than_half_of_the_weight_are_a_word() -> None:
    for troubles, served in product(range(4), range(4)):
        bench = Bench(9)
        for peer in range(troubles + served):
            bench.says(peer + 1, BAD if peer < troubles else 0)
        bench.past()
        assert (bench.word is not None) == (troubles >= 2 and troubles > served)
        assert len(bench.found) == (bench.word is not None)


def test_one_router_whatever_its_count_is_no_fleet_and_no_two() -> None:
    bench = Bench()
    bench.says(1, count=1000)
    bench.past()
    assert bench.word is None
    bench.says(2, 0, count=2)
    bench.says(3, 0, count=2)
    bench.says(4)
    bench.past()
    assert bench.word is None  # 2 and 1 against 4, not 1000 against 4


def test_word_waits_for_those_who_are_served() -> None:
    bench = Bench()
    bench.says(1)
    bench.says(2)
    assert bench.word is None
    for peer in (3, 4):
        bench.says(peer, 0)
    bench.past()
    assert bench.word is None and bench.found == []


def test_own_evidence_is_a_voice_and_being_served_since_overrules() -> None:
    bench = Bench()
    bench.saw(True, OTHER)
    bench.saw(False)
    bench.says(1)
    bench.past()
    assert bench.word is Fault.FAILING and bench.part.earlier_skip(PARENT, bench.now)
    bench.says(2)
    bench.says(3)
    bench.saw(True)
    assert bench.word is None and not bench.part.earlier_skip(PARENT, bench.now)
    assert [a.fault for a in bench.found] == [Fault.FAILING, None]


def test_served_before_the_word_fell_does_not_overrule() -> None:
    bench = Bench()
    bench.saw(True)
    for peer in (1, 2, 3):
        bench.says(peer)
    bench.past()
    assert bench.word is Fault.FAILING


def test_nothing_is_used_that_may_be_older_than_the_bound() -> None:
    """Asked for without any tick in between: age is seen at use. 10 ms, and 0.5 s for the way."""
    bench = Bench()
    bench.says(1)
    bench.says(2)
    bench.past()
    assert bench.part.word(PARENT, 1.40) is not None
    assert bench.part.word(PARENT, 1.45) is None  # (1.45 + 0.01) * 1.05 + 0.5 > 2
    bench.past(2.0)
    assert [a.fault for a in bench.found] == [Fault.FAILING, None]
    assert bench.found[0].until <= 2.0
    late = Bench()
    late.says(1, age_ms=1500)
    late.says(2, age_ms=1500)
    late.past()
    assert late.word is None


def test_what_lay_here_while_the_process_stood_still_is_no_news() -> None:
    bench = Bench()
    bench.past(1.0)
    bench.now = 4.0  # read before any tick, and again after one
    bench.says(1)
    bench.do(bench.part.tick(4.0))
    bench.says(2)
    bench.past()
    assert bench.word is None
    bench.past(0.5)
    bench.says(1)
    bench.says(2)
    bench.past()
    assert bench.word is Fault.FAILING


def test_earlier_lives_of_subject_and_witness_are_void() -> None:
    for void in ("subject", "witness", "list", "stale note"):
        bench = Bench()
        bench.says(1, start=5, incarnation=7)
        bench.says(2, start=5, incarnation=7)
        if void == "stale note":
            bench.says(2, 0, start=5, incarnation=6)
        bench.past()
        assert bench.word is Fault.FAILING
        if void == "subject":
            bench.says(3, 0, start=6)
        elif void == "witness":
            bench.do(bench.part.handle_event(PeerChanged(2, 8, PeerState.ALIVE), bench.now))
        elif void == "list":
            bench.do(bench.part.began(PARENT, 6, bench.now))
        assert (bench.word is None) == (void != "stale note")


def test_who_is_cut_off_convinces_nobody() -> None:
    bench = Bench()
    bench.says(1, others=0)
    bench.says(2, others=0)
    bench.past()
    assert bench.word is None
    for state in (PeerState.SUSPECT, PeerState.DEAD):
        bench = Bench()
        bench.says(1)
        bench.says(2)
        bench.do(bench.part.handle_event(PeerChanged(2, 1, state), bench.now))
        bench.past()
        assert bench.word is None


@pytest.mark.parametrize("how", ["nothing serves", "last served has failed", "told so"])
def test_router_that_is_cut_off_itself_tells_nothing_and_counts_nothing(how: str) -> None:
    bench = Bench()
    if how != "nothing serves":
        bench.saw(True, OTHER)
    if how == "last served has failed":
        bench.saw(False, OTHER)
    if how == "told so":
        bench.do(bench.part.handle_event(SelfChanged(True, False), 0.0))
    bench.saw(False)
    bench.says(1)
    bench.past()
    assert bench.told == [] and bench.word is None


def test_served_are_silent_until_asked_and_when_enough_have_answered() -> None:
    bench = Bench(9)
    bench.saw(True)
    bench.says(1)
    bench.past()
    assert bench.told == []
    bench.says(2)
    bench.past()
    assert [note.fault for note in bench.told] == [0]
    quiet = Bench(9)
    quiet.saw(True)
    for peer in (4, 5, 6, 7):
        quiet.says(peer, 0, count=2)
    quiet.says(1)
    quiet.says(2)
    quiet.past()
    assert quiet.told == []


def test_however_often_it_flaps_few_tells_go_out() -> None:
    bench = Bench()
    for turn in range(500):  # 5 s
        bench.saw(True, OTHER)
        bench.saw(turn % 2 == 0)
        bench.past(0.01)
    assert 10 <= len(bench.told) <= 5 / verdicts.GAP_S + 1


def test_full_and_cold_are_words_but_no_skips() -> None:
    bench = Bench()
    bench.says(1, int(Fault.FULL))
    bench.saw(True, fault=Fault.FULL)
    bench.past()
    assert bench.word is Fault.FULL and not bench.part.earlier_skip(PARENT, bench.now)


EVIDENCE = st.builds(
    Evidence,
    st.integers(0, 2**64 - 1),
    *(st.one_of(st.integers(0, 5), st.integers(0, 2**63 - 1)) for _ in range(5)),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(-1, 99), st.integers(0, 9), EVIDENCE, st.floats(0, 1)), max_size=30))
def test_whatever_is_heard_raises_nothing(steps: list[tuple[int, int, Evidence, float]]) -> None:
    bench = Bench()
    for sender, incarnation, note, step in steps:
        bench.do(bench.part.handle_message(sender, incarnation, note, bench.now))
        bench.past(step)
        assert bench.part.due() >= bench.now


def test_what_makes_no_sense_is_not_taken_in() -> None:
    bench = Bench()
    for peer, fault, count in ((1, 9, 1), (2, 9, 1), (3, BAD, 0), (0, BAD, 1), (5, BAD, 1), (-1, BAD, 1)):
        bench.says(peer, fault, count=count)
    assert not bench.part._subjects


def test_subjects_and_witnesses_have_bounds() -> None:
    bench = Bench(200)
    for subject in range(1000):
        bench.do(bench.part.handle_message(1, 1, Evidence(subject, 0, BAD, 1, 0, 1), 0.0))
    for peer in range(1, 200):
        bench.says(peer)
    assert len(bench.part._subjects) <= verdicts.SUBJECTS_MOST >= len(bench.part._active)
    assert len(bench.part._subjects[PARENT].said) <= verdicts.WITNESSES_MOST


@pytest.mark.parametrize("cut_off", [False, True])
def test_twelve_routers_know_of_a_dead_parent_in_a_second_and_none_from_one_cut_off(cut_off: bool) -> None:
    net, parts = Net(4, drop=0.05), {}
    for peer in range(12):
        live = Liveness(Fleet(peer, 12), SET, first_incarnation(peer + 1), Random(peer), 0.0)
        parts[peer] = Verdicts(Fleet(peer, 12), SET, 0.0)
        net.add(peer, [live, parts[peer]], lambda live=live: live.incarnation)  # type: ignore[misc]

    def attempt(peer: int, subject: int) -> None:
        net.at(net.now + net.rng.expovariate(2.0), lambda: attempt(peer, subject))
        fails = net.now >= 4.0 and (peer == 3 if cut_off else subject == PARENT)
        saw = parts[peer].saw(subject, 0, "parent", not fails, None, net.now)
        net.act(peer, net.routers[peer], saw)

    for peer, subject in product(range(12), (PARENT, OTHER)):
        attempt(peer, subject)
    net.run(5.0)
    words = {p for _, p, a in net.log if isinstance(a, VerdictChanged) and a.subject == PARENT}
    assert words == (set() if cut_off else set(range(12)))
