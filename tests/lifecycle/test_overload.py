"""The overload guard sheds requests on a saturated core.

Without it, thousands of answers missed their deadlines there and purges were read too late.
"""

import pytest

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.overload import OverloadGuard


def test_saturated_core_sheds_more_at_each_heartbeat_and_a_half_used_one_less() -> None:
    limits = Limits()
    guard = OverloadGuard(limits, seed=1)
    now = cpu = 0.0
    assert not guard.should_shed()
    shares = []
    for _ in range(30):
        now, cpu = now + limits.heartbeat_interval, cpu + limits.heartbeat_interval
        guard.sample(now, cpu)
        shares.append(guard.shed_share)
    assert shares == sorted(shares) and 0.9 < guard.shed_share < 1.0
    assert sum(guard.should_shed() for _ in range(100)) > 80
    for _ in range(60):
        now, cpu = now + limits.heartbeat_interval, cpu + limits.heartbeat_interval / 2
        guard.sample(now, cpu)
    assert guard.shed_share == 0.0 and not guard.should_shed()


def test_late_heartbeat_counts_as_overload_even_without_own_processor_time() -> None:
    """Other processes may use the core."""
    limits = Limits()
    guard = OverloadGuard(limits, seed=1)
    guard.sample(1.0, 0.5)
    guard.sample(1.0 + limits.heartbeat_interval + 2 * limits.max_heartbeat_delay, 0.5)
    assert guard.shed_share > 0.0


def test_saturated_part_of_a_core_counts_as_overload_if_no_more_is_granted() -> None:
    """If usage is compared with a whole core, a router that is granted a third of one never appears busy."""
    limits = Limits(cores=0.3)
    guard = OverloadGuard(limits, seed=1)
    for number in range(10):
        guard.sample(1.0 + number * limits.heartbeat_interval, 0.3 * number * limits.heartbeat_interval)
    assert guard.shed_share > 0.0


def test_late_heartbeat_sheds_for_the_missed_time_and_is_reported_as_late() -> None:
    """On a saturated core heartbeats were late: shedding began late and the router judged caches silent."""
    limits = Limits()
    guard = OverloadGuard(limits, seed=1)
    assert guard.sample(1.0, 0.0) and guard.sample(1.0 + limits.heartbeat_interval, 0.0)
    assert not guard.sample(1.0 + 4 * limits.heartbeat_interval, 3 * limits.heartbeat_interval)
    assert guard.shed_share == pytest.approx(3 * limits.shed_step)
