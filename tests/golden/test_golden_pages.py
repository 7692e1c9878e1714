"""Checks that the JSON pages of the console keep their field names in the same order."""

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from golden_samples import DATA
from harness import until
from rig_tier import Rig, rig_with_ready_tier, tier_rig
from test_discovery import DISCOVERY_SETTINGS, DiscoveryPlatform, DnsZone

from paddlequay.lab.cluster import CLUSTER_RULES
from paddlequay.lab.fleet_rig import FleetRig
from paddlequay.lab.zone_cluster import ZonePlan

rig = pytest.fixture(tier_rig, name="rig")
ready = pytest.fixture(rig_with_ready_tier, name="ready")
DATA_KEYED = {"sources", "peers", "leases", "limits", "words", "sent", "counts", "home_shares", "channels"}


def key_tree(value: Any) -> Any:
    """Returns the field names; of a list, or of a map whose keys are data, those of the first entry only."""
    if isinstance(value, list):
        return [key_tree(each) for each in value[:1]]
    if not isinstance(value, dict):
        return None
    tree = {}
    for name, inner in value.items():
        if name in DATA_KEYED and isinstance(inner, dict):
            inner = list(inner.values())[:1]
        tree[name] = key_tree(inner)
    return tree


def expected_key_tree(page: str) -> Any:
    """Returns the expected field names of a page, in their order."""
    return json.loads((DATA / "console_pages.json").read_text(encoding="utf-8"))[page]


def assert_same_fields(page: str, value: Any) -> None:
    assert json.dumps(key_tree(value)) == json.dumps(expected_key_tree(page))


def test_hierarchy_page_keeps_its_fields(ready: Rig) -> None:
    assert_same_fields("hierarchy", ready.hierarchy_page())


def test_members_page_keeps_its_fields(tmp_path: Path) -> None:
    zone = DnsZone()
    router = DiscoveryPlatform(zone, tmp_path, DISCOVERY_SETTINGS)
    try:
        router.ready()
        until(
            lambda: len(router.states()) > 1 and router.page()["sources"]["dns"]["heard_s_ago"] is not None,
            "members are known",
        )
        assert_same_fields("members", router.page())
    finally:
        router.close()
        zone.close()


def cluster_page(folder: Path, check: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Runs three routers and returns the page of the first once it passes a check."""

    async def fetch_page() -> dict[str, Any]:
        rig = FleetRig(
            ZonePlan(routers=3, boxes=2, tiers=0, regional=0, rate=30.0, seed=1), folder, CLUSTER_RULES, 1
        )
        try:
            await rig.up()
            for _ in range(200):
                page = await rig.page(0)
                if check(page):
                    return page
                await asyncio.sleep(0.05)
            raise AssertionError("the cluster page did not pass the check within 200 attempts")
        finally:
            await rig.down()

    return asyncio.run(fetch_page())


def test_cluster_page_keeps_its_fields(tmp_path: Path) -> None:
    def has_lease_holder(page: dict[str, Any]) -> bool:
        return any(lease["holder"] is not None for lease in page["leases"].values())

    assert_same_fields("cluster", cluster_page(tmp_path, has_lease_holder))
