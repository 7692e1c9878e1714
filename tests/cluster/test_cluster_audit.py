"""The audit of runs with real routers reports violations, and no correct behaviour as one."""

import random

from hypothesis import given
from hypothesis import strategies as st

from paddlequay.lab.cluster_audit import (
    ClientAnswer,
    LeaseObservation,
    count_decreasing_terms,
    count_double_holders,
    find_repeated,
    find_wrong_answers,
    longest_without_holder,
    max_excess,
)


@given(st.lists(st.floats(0, 10), max_size=40), st.floats(0.5, 20), st.floats(1, 5))
def test_the_limit_audit_agrees_with_checking_every_window(
    times: list[float], rate: float, burst: float
) -> None:
    ordered = sorted(times)
    worst = max(
        (
            (later - first + 1) - rate * (ordered[later] - ordered[first])
            for first in range(len(ordered))
            for later in range(first, len(ordered))
        ),
        default=0.0,
    )
    assert abs(max_excess(times, rate, burst, 0.0) - max(0.0, worst - burst)) < 1e-6


def test_a_token_bucket_passes_the_limit_audit_and_a_burst_fails_it() -> None:
    rng, now, tokens, times = random.Random(3), 0.0, 4.0, []
    for _ in range(500):
        wait = rng.expovariate(30)
        now, tokens = now + wait, min(4.0, tokens + 10 * wait)
        if tokens >= 1:
            tokens -= 1
            times.append(now)
    assert max_excess(times, 10, 4, 0) < 1e-9
    assert max_excess([*times, *([times[100]] * 5)], 10, 4, 0) > 1


def test_double_holder_is_counted_only_for_an_observation_between_two_of_another_holder() -> None:
    handed_over = [
        LeaseObservation(1, 0, 5),
        LeaseObservation(2, 0, 5),
        LeaseObservation(2.1, 1, 6),
        LeaseObservation(3, 0, None),
        LeaseObservation(4, 1, 6),
    ]
    assert count_double_holders(handed_over) == 0 and count_decreasing_terms(handed_over) == 0
    assert count_double_holders([*handed_over[:3], LeaseObservation(3, 0, 5)]) == 1
    assert (
        count_decreasing_terms(
            [LeaseObservation(1, 0, 5), LeaseObservation(2, 1, 4), LeaseObservation(3, 0, 5)]
        )
        == 1
    )
    assert (
        longest_without_holder(
            [LeaseObservation(1, 0, 5), LeaseObservation(4, 1, 6), LeaseObservation(4.5, 1, 6)], 0.5, 5
        )
        == 3
    )


def test_repeated_charges_and_missing_or_duplicate_answers_are_found() -> None:
    answers = [
        ClientAnswer(0, 1, "a", "served"),
        ClientAnswer(0, 1, "b", "served"),
        ClientAnswer(0, 2, "b", "served"),
    ]
    assert find_wrong_answers(["a", "b", "c", "d"], answers, ["d"]) == ["b", "c"]
    assert find_repeated({"a": 1, "b": 2}) == ["b"]
