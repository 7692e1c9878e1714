"""A hot restart of a router that places objects by a table of its cluster, made of the members."""

import json
import time
from pathlib import Path
from typing import Any

import pytest
from harness import SETTINGS, until
from rig_hot_restart import BINDS_AFTER_READY_S, RestartedRouter, end, restarted_router

from paddlequay.lab.fleet_rig import free_udp

BOXES = tuple(f"box-{number}" for number in range(1, 7))
GONE = BOXES[:3]
CLUSTER = 'cluster {\n  name: "alone"\n  acceptor: 0\n  rules: "table.rules"\n}\n'
RULES = """classes video, charge.
zones here, hub.
kinds box.
rule films, precedence 20, for class video:
    64 shards by object;
    2 copies;
    pin shard 5 to member "box-1".
otherwise:
    64 shards by object.
"""


def placement(router: RestartedRouter) -> dict[str, Any]:
    page: dict[str, Any] = json.loads(router.call("/-/cluster", "GET")[1])
    return page["placement"] or {}


def test_a_table_of_a_successor_has_no_members_that_are_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: shards and pins at members of the configuration that the predecessor knows to be gone.
    (tmp_path / "cluster.txtpb").write_text(CLUSTER)
    (tmp_path / "table.rules").write_text(RULES)
    monkeypatch.setenv("PADDLEQUAY_CLUSTER", str(tmp_path / "cluster.txtpb"))
    host, port = free_udp()
    settings = SETTINGS | {"me": 0, "limits": SETTINGS["limits"] | {"peers": True}}
    peers = {"peers": [f"{host}:{port}"], "peer_listen": f"{host}:{port}"}
    with restarted_router(*BOXES, "parent-1", "origin-1", settings=settings, **peers) as router:
        until(lambda: placement(router).get("follows"), "a table is in use")
        assert placement(router)["members"] == len(BOXES)
        router.remove(*GONE)
        time.sleep(0.3)
        router.first_list.go_down()
        older = router.process
        router.start_load()
        ready_at = router.start_successor()
        end(older)
        until(lambda: placement(router).get("follows"), "a table is in use")
        assert placement(router)["members"] == len(BOXES) - len(GONE)
        time.sleep(max(0.0, ready_at + BINDS_AFTER_READY_S - time.time()) + 1.0)
        assert [
            ask for name in GONE for ask in router.asked_after(name, ready_at + BINDS_AFTER_READY_S)
        ] == []
        asked = {ask.cache for ask in router.asks if ask.at > ready_at + BINDS_AFTER_READY_S}
        assert asked >= set(BOXES) - set(GONE)
