"""Fill leases: which requests may wait for a fill, and which purges concern its waiters."""

from rig_node import PART

from paddlequay.hierarchy.fill_leases import FillLeases, LeaseDecision, SourceKind
from paddlequay.hierarchy.fill_path import FillPath


def test_only_older_fills_may_wait_for_a_fill_that_waits_for_a_node() -> None:
    leases: FillLeases[str] = FillLeases(10, 3)
    lease = leases.begin(PART, FillPath(5, ("n",)), 0.0, "first")
    older = FillPath(4, ("m",))
    younger = FillPath(6, ("m",))
    # The fill only asks for a cached copy yet, so it waits for no other node's fill.
    assert leases.decide(PART, younger) is LeaseDecision.JOIN
    leases.join(PART, "second", younger)
    path = lease.wait_for(SourceKind.NODE, "x")
    assert path.started_us == 7  # younger than all fills that wait for this one
    assert leases.decide(PART, older) is LeaseDecision.JOIN
    assert leases.decide(PART, FillPath(9, ("m",))) is LeaseDecision.ABORT
    assert leases.decide(PART, None) is LeaseDecision.JOIN
    assert leases.decide(PART, None, only_if_cached=True) is LeaseDecision.ABORT
    lease.wait_for(SourceKind.ORIGIN, "store")
    assert leases.decide(PART, FillPath(9, ("m",)), only_if_cached=True) is LeaseDecision.JOIN
    leases.join(PART, "third", None)
    assert leases.decide(PART, None) is LeaseDecision.REJECT
    assert leases.end(lease.number) is lease
    assert leases.end(lease.number) is None
    assert leases.decide(PART, None) is LeaseDecision.BEGIN


def test_a_purge_during_a_fill_concerns_later_waiters_and_surplus_purges_are_merged() -> None:
    leases: FillLeases[str] = FillLeases(10, 1000)
    lease = leases.begin(PART, FillPath(5, ("n",)), 0.0, "before")
    leases.purge(None, 4, 50.0)
    leases.join(PART, "after", None)
    assert lease.latest_purge_before(0, 4) == -float("inf")
    assert lease.latest_purge_before(1, 4) == 50.0
    assert lease.latest_purge_before(1, 3) == -float("inf")
    assert lease.latest_purge_before(1, None) == 50.0
    for group in range(100):
        leases.purge(None, group, 60.0 + group)
    leases.join(PART, "last", None)
    assert len(lease.purges) <= 64
    assert lease.latest_purge_before(2, 3) >= 150.0
