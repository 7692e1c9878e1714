"""The failure detector, which compares the waits of requests with the latencies of recent answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from paddlequay.policy.failure_detector import MAX_SAMPLES, LatencyDistribution, MeanLatency


def test_many_small_unanswered_requests_are_suspicious_and_few_large_ones_are_not() -> None:
    """Four large requests in flight for 0.9 s made routers close 185 live connections, with 706 requests."""
    latencies = LatencyDistribution(0.3, ("video", "photo"))
    for number in range(200):
        latencies.record("video", 0.5 + (number % 20) * 0.1)
        latencies.record("photo", 0.02 + (number % 20) * 0.01)
    assert not latencies.is_unresponsive([("video", 0.9)] * 4)
    assert latencies.is_unresponsive([("photo", 0.9)] * 4)
    assert latencies.is_unresponsive([("video", 6.0)] * 4)


def test_a_slow_member_is_allowed_proportionally_longer() -> None:
    latencies = LatencyDistribution(0.3, ("photo",))
    for _ in range(100):
        latencies.record("photo", 0.1)
    assert latencies.is_unresponsive([("photo", 0.9)] * 4) and not latencies.is_unresponsive(
        [("photo", 0.9)] * 4, slowness=9.0
    )


def test_a_latency_ratio_starts_at_its_first_sample() -> None:
    """A mean that starts at zero would make a member look fast until dozens of answers have come."""
    member, usual = MeanLatency(), MeanLatency()
    assert member.ratio_to(usual) == 1.0
    member.record(2.0)
    for _ in range(500):
        usual.record(0.5)
    assert member.ratio_to(usual) == pytest.approx(4.0)


def test_latency_distributions_decay_and_stay_bounded_per_class() -> None:
    latencies = LatencyDistribution(0.3, ("photo",))
    for _ in range(10 * int(MAX_SAMPLES)):
        latencies.record("photo", 0.1)
        latencies.record("nosuch", 0.1)
    assert set(latencies.counts) == {"photo"} and latencies.totals["photo"] <= MAX_SAMPLES + 1
    before = latencies.suspicion("photo", 1.0)
    for _ in range(int(MAX_SAMPLES)):
        latencies.record("photo", 2.0)
    assert latencies.suspicion("photo", 1.0) < before / 2


@given(st.floats(0, 100), st.floats(0, 100), st.lists(st.floats(0, 100), max_size=50))
def test_longer_waits_never_lower_the_suspicion(age: float, more: float, samples: list[float]) -> None:
    latencies = LatencyDistribution(0.3, ("a",))
    for sample in samples:
        latencies.record("a", sample)
    assert 0.0 <= latencies.suspicion("a", age) <= latencies.suspicion("a", age + more) + 1e-9
