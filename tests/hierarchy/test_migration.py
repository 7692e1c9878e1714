"""Migration after topology changes: earlier homes, the rate of look-ups, and ownership claims."""

import pytest
from rig_node import topology

from paddlequay.hierarchy.copy_cache import PartKey
from paddlequay.hierarchy.migration import MAX_EARLIER_GROUPS, LookupRate, MigrationLimits, MigrationPlan
from paddlequay.hierarchy.ownership_claims import MAX_CLAIMS, OwnershipClaims

HASH_KEY = 5


def may_ask_all(_: str) -> bool:
    return True


def may_ask_none(_: str) -> bool:
    return False


def test_earlier_homes_expire_are_limited_in_number_and_survive_a_restart() -> None:
    plan = MigrationPlan("c", MigrationLimits(earlier_home_s=60.0))
    plan.follow(topology(1, "a"), "aimag", 0.0)
    assert plan.follow(topology(2, "a", "c"), "aimag", 1.0)
    assert not plan.follow(topology(3, "a", "c"), "aimag", 2.0)
    assert plan.earlier_homes(HASH_KEY, may_ask_all, False, 3.0) == ["a"]
    assert plan.earlier_homes(HASH_KEY, may_ask_none, False, 3.0) == []
    restarted = MigrationPlan("c", MigrationLimits(earlier_home_s=60.0))
    restarted.restore_state(plan.export_state(), 3.0)
    restarted.follow(topology(3, "a", "c"), "aimag", 3.0)
    assert restarted.earlier_homes(HASH_KEY, may_ask_all, False, 3.0) == ["a"]
    assert plan.earlier_homes(HASH_KEY, may_ask_all, False, 62.0) == []
    for version in range(4, 40):
        plan.follow(topology(version, "a", "c", a=float(version)), "aimag", 70.0)
    assert len(plan.earlier_groups) == MAX_EARLIER_GROUPS
    with pytest.raises(ValueError, match="cannot be read"):
        plan.restore_state([{"version": "x"}], 0.0)


def test_lookups_stay_within_the_rate_of_each_node() -> None:
    rate = LookupRate(per_s=10.0, burst=5.0)
    admitted = sum(rate.admits("a", 0.0) for _ in range(100))
    admitted += sum(rate.admits("a", 0.001 * step) for step in range(1000))
    assert 14 <= admitted <= 15
    assert rate.admits("b", 0.0)


def test_ownership_claim_with_the_latest_version_is_valid_until_it_expires() -> None:
    claims = OwnershipClaims("a", lifetime_s=10.0)
    claims.topology_version = 5
    key = PartKey("x", 0)
    assert not claims.accept(key, "b", 4, 0.0)
    assert not claims.accept(key, "a", 9, 0.0)
    assert claims.accept(key, "b", 6, 0.0)
    assert not claims.accept(key, "c", 5, 1.0)
    assert claims.claimant(key, 9.0) == "b"
    assert claims.claimant(key, 10.0) is None
    claims.release(key, "c")
    assert claims.claimant(key, 1.0) == "b"
    claims.release(key, "b")
    assert claims.claimant(key, 1.0) is None
    for number in range(MAX_CLAIMS + 10):
        claims.accept(PartKey(f"{number}", 0), "b", 7, 1.0)
    assert len(claims) == MAX_CLAIMS
