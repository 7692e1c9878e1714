"""One process of a router replaces another: its share in the cluster is one process's at a time."""

import json
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent))  # for `harness`

from harness import SETTINGS, platform, until

from paddlequay.lab.fleet_rig import free_udp

CLUSTER = """cluster {
  name: "alone"
  acceptor: 0
  limit { name: "charges" by: CLASS match: "charge" rate: 5 burst: 2 floor: 1 }
}
"""


def test_a_predecessor_leaves_the_cluster_first_and_joins_again_when_its_successor_dies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "cluster.txtpb"
    file.write_text(CLUSTER)
    monkeypatch.setenv("PADDLEQUAY_CLUSTER", str(file))
    host, port = free_udp()
    settings = SETTINGS | {"me": 0, "limits": SETTINGS["limits"] | {"peers": True}}
    peers = {"peers": [f"{host}:{port}"], "peer_listen": f"{host}:{port}"}
    with platform(settings=settings, **peers) as p:

        def shares(console: tuple[str, int]) -> bool:
            return "out" not in json.loads(p.call("/-/cluster", "GET", console)[1])

        p.publish({"no": 1})
        p.ready()
        older = p.console
        until(lambda: shares(older), "the first process has its share")
        newer = p.start()
        p.publish({"no": 1})
        p.ready()
        p.logged("event=successor_ready")
        until(lambda: not shares(older) and shares(p.console), "the newer one has it")
        newer.kill()
        newer.wait(5.0)
        until(lambda: shares(older), "the older one has it again")
