"""During a hot restart, only one process of a router takes part in the cluster at a time."""

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
    settings_file = tmp_path / "cluster.txtpb"
    settings_file.write_text(CLUSTER)
    monkeypatch.setenv("PADDLEQUAY_CLUSTER", str(settings_file))
    host, port = free_udp()
    settings = SETTINGS | {"me": 0, "limits": SETTINGS["limits"] | {"peers": True}}
    peers = {"peers": [f"{host}:{port}"], "peer_listen": f"{host}:{port}"}
    with platform(settings=settings, **peers) as p:

        def is_in_cluster(console: tuple[str, int]) -> bool:
            return "out" not in json.loads(p.call("/-/cluster", "GET", console)[1])

        p.publish({"no": 1})
        p.ready()
        older = p.console
        until(lambda: is_in_cluster(older), "the first process has joined the cluster")
        newer = p.start()
        p.publish({"no": 1})
        p.ready()
        p.logged("event=successor_ready")
        until(
            lambda: not is_in_cluster(older) and is_in_cluster(p.console),
            "the newer process has joined, and the older one has left",
        )
        newer.kill()
        newer.wait(5.0)
        until(lambda: is_in_cluster(older), "the older process has joined again")
