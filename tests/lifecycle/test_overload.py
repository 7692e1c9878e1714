"""The guard on the program's own core: seen once as thousands of answers lost and purges read too late."""

import pytest

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.overload import OverloadGuard


def test_a_full_core_sheds_more_at_each_heartbeat_and_a_free_one_less() -> None:
    limits = Limits()
    load = OverloadGuard(limits, seed=1)
    now = cpu = 0.0
    assert not load.should_shed()
    shares = []
    for _ in range(30):
        now, cpu = now + limits.heartbeat_interval, cpu + limits.heartbeat_interval
        load.sample(now, cpu)
        shares.append(load.shed_share)
    assert shares == sorted(shares) and 0.9 < load.shed_share < 1.0
    assert sum(load.should_shed() for _ in range(100)) > 80
    for _ in range(60):
        now, cpu = now + limits.heartbeat_interval, cpu + limits.heartbeat_interval / 2
        load.sample(now, cpu)
    assert load.shed_share == 0.0 and not load.should_shed()


def test_a_late_heartbeat_counts_as_overload_where_others_use_the_core() -> None:
    limits = Limits()
    load = OverloadGuard(limits, seed=1)
    load.sample(1.0, 0.5)
    load.sample(1.0 + limits.heartbeat_interval + 2 * limits.max_heartbeat_delay, 0.5)
    assert load.shed_share > 0.0


def test_a_full_part_of_a_core_counts_as_a_full_core() -> None:
    """Measured against a whole core, a router that is granted a third of one never seemed busy."""
    limits = Limits(cores=0.3)
    load = OverloadGuard(limits, seed=1)
    for number in range(10):
        load.sample(1.0 + number * limits.heartbeat_interval, 0.3 * number * limits.heartbeat_interval)
    assert load.shed_share > 0.0


def test_a_late_heartbeat_sheds_for_the_missed_time_and_logs_it() -> None:
    """term: at a core that was full, beats came late, so it was relieved late and took caches for silent."""
    limits = Limits()
    load = OverloadGuard(limits, seed=1)
    assert load.sample(1.0, 0.0) and load.sample(1.0 + limits.heartbeat_interval, 0.0)
    assert not load.sample(1.0 + 4 * limits.heartbeat_interval, 3 * limits.heartbeat_interval)
    assert load.shed_share == pytest.approx(3 * limits.shed_step)
