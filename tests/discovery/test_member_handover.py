"""What one process of a router was told of members holds in its successor: on real processes."""

import time

from rig_hot_restart import (
    BINDS_AFTER_READY_S,
    RestartedRouter,
    end,
    restarted_router,
)

BOXES = ("box-1", "box-2", "box-3", "box-4", "box-5")
PARENTS = ("parent-1", "parent-2", "parent-3")
ALL = (*BOXES, *PARENTS, "origin-1")
GONE = ("box-1", "box-2", "box-3", "parent-1")


def watch(router: RestartedRouter, gone: tuple[str, ...], bound: float, seconds: float = 1.5) -> None:
    """Lets requests come for a while after a bound, and expects that none names a member that is gone."""
    time.sleep(max(0.0, bound - time.time()) + seconds)
    assert [ask for name in gone for ask in router.asked_after(name, bound)] == []
    assert any(ask.at > bound for ask in router.asks)


def test_members_that_were_removed_before_a_hot_restart_stay_out() -> None:
    # Guards against: gone members in service again by rule `mass`, as the handed-over list lacks them.
    with restarted_router(*ALL) as router:
        for name in GONE:
            router.drain(name)
            router.remove(name)
        router.wait_for(parent_1=None)
        older = router.process
        router.start_load()
        ready_at = router.start_successor()
        end(older)
        assert not router.states().keys() & set(GONE)
        watch(router, GONE, ready_at + BINDS_AFTER_READY_S)
