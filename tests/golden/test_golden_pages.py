"""The JSON pages of the console keep their field names, in their order."""

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
NAMED_BY_DATA = {"sources", "peers", "leases", "limits", "words", "sent", "counts", "home_shares", "channels"}


def key_tree(value: Any) -> Any:
    """Field names alone; of a map whose keys are data, and of a list, the first entry stands for all."""
    if isinstance(value, list):
        return [key_tree(each) for each in value[:1]]
    if not isinstance(value, dict):
        return None
    tree = {}
    for name, inner in value.items():
        if name in NAMED_BY_DATA and isinstance(inner, dict):
            inner = list(inner.values())[:1]
        tree[name] = key_tree(inner)
    return tree


def expected(page: str) -> Any:
    """The sample of a page, with the order of its fields."""
    return json.loads((DATA / "console_pages.json").read_text(encoding="utf-8"))[page]


def same(page: str, value: Any) -> None:
    assert json.dumps(key_tree(value)) == json.dumps(expected(page))


def test_the_page_of_a_tier_node_keeps_its_fields(ready: Rig) -> None:
    same("hierarchy", ready.hierarchy_page())


def test_the_page_of_members_keeps_its_fields(tmp_path: Path) -> None:
    zone = DnsZone()
    router = DiscoveryPlatform(zone, tmp_path, DISCOVERY_SETTINGS)
    try:
        router.ready()
        until(
            lambda: len(router.states()) > 1 and router.page()["sources"]["dns"]["heard_s_ago"] is not None,
            "members are known",
        )
        same("members", router.page())
    finally:
        router.close()
        zone.close()


def cluster_page(folder: Path, check: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """The page of one of three routers, once it passes a check."""

    async def look() -> dict[str, Any]:
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
            raise AssertionError("the page does not show what is waited for")
        finally:
            await rig.down()

    return asyncio.run(look())


def test_the_page_of_the_cluster_keeps_its_fields(tmp_path: Path) -> None:
    def held(page: dict[str, Any]) -> bool:
        return any(lease["holder"] is not None for lease in page["leases"].values())

    same("cluster", cluster_page(tmp_path, held))
