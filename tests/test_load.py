"""The guard on the program's own core: seen once as thousands of answers lost and purges read too late."""

import pytest

from paddlequay.config.loader import Limits
from paddlequay.lifecycle.overload import OwnLoad


def test_a_full_core_sheds_more_at_each_beat_and_a_free_one_less_until_none() -> None:
    limits = Limits()
    load = OwnLoad(limits, seed=1)
    now = cpu = 0.0
    assert not load.sheds()
    shares = []
    for _ in range(30):
        now, cpu = now + limits.beat, cpu + limits.beat
        load.beat(now, cpu)
        shares.append(load.share)
    assert shares == sorted(shares) and 0.9 < load.share < 1.0
    assert sum(load.sheds() for _ in range(100)) > 80
    for _ in range(60):
        now, cpu = now + limits.beat, cpu + limits.beat / 2
        load.beat(now, cpu)
    assert load.share == 0.0 and not load.sheds()


def test_a_late_beat_tells_the_same_where_others_use_the_core() -> None:
    limits = Limits()
    load = OwnLoad(limits, seed=1)
    load.beat(1.0, 0.5)
    load.beat(1.0 + limits.beat + 2 * limits.late_beat, 0.5)
    assert load.share > 0.0


def test_a_part_of_a_core_that_is_full_is_full() -> None:
    """Measured against a whole core, a router that is granted a third of one never seemed busy."""
    limits = Limits(cores=0.3)
    load = OwnLoad(limits, seed=1)
    for number in range(10):
        load.beat(1.0 + number * limits.beat, 0.3 * number * limits.beat)
    assert load.share > 0.0


def test_a_beat_that_comes_late_sheds_for_all_the_time_it_missed_and_says_so() -> None:
    """term: at a core that was full, beats came late, so it was relieved late and took caches for silent."""
    limits = Limits()
    load = OwnLoad(limits, seed=1)
    assert load.beat(1.0, 0.0) and load.beat(1.0 + limits.beat, 0.0)
    assert not load.beat(1.0 + 4 * limits.beat, 3 * limits.beat)
    assert load.share == pytest.approx(3 * limits.shed_step)
