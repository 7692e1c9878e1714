"""The cluster settings: the example in deploy/ is valid, and errors name the line and the field."""

from pathlib import Path

import pytest

from paddlequay.cluster.settings import LimitScope, PartitionMode
from paddlequay.errors import ConfigError
from paddlequay.schema.cluster import read_cluster

ROOT = Path(__file__).parents[2]
VALID_SETTINGS = """cluster {
  name: "here"
  acceptor: 0
  acceptor: 1
  acceptor: 2
  limit { name: "a" by: CLASS match: "video" rate: 10 }
  limit { name: "b" by: SOURCE match: "parent" at_once: 5 mode: OPEN over: 3 }
  channels { class: "video" bundles: 8 }
}
"""


def read_settings_text(folder: Path, text: str) -> None:
    file = folder / "cluster.txtpb"
    file.write_text(text)
    read_cluster(file)


def test_the_example_settings_in_deploy_are_valid() -> None:
    settings = read_cluster(ROOT / "deploy/cluster.txtpb")
    assert settings.acceptors == (0, 1, 2) and settings.bounds.lease_s == 1.5
    charge_limit, tenant_limit = settings.limits
    assert (
        charge_limit.scope is LimitScope.CLASS
        and charge_limit.mode is PartitionMode.STRICT
        and charge_limit.rate_per_s == 40
    )
    assert (
        tenant_limit.match == "*"
        and tenant_limit.mode is PartitionMode.OPEN
        and tenant_limit.max_in_flight is None
    )


@pytest.mark.parametrize(
    ("old", "new", "error_text"),
    [
        ('name: "here"', 'name: "not here"', ":2: cluster.name: expected 1 to 64 letters"),
        ("acceptor: 2\n", "", "cluster.acceptor: expected 1, 3, 5, 7 or 9 numbers, got 2"),
        ("acceptor: 2\n", "acceptor: 1\n", "cluster.acceptor: expected each number once"),
        ('name: "b"', 'name: "a"', "cluster.limit.name: 'a' is used more than once"),
        ("rate: 10", "rate: nan", ":6: cluster.limit[0].rate: expected 0.001 to 1e+06, got nan"),
        ("rate: 10", "rate: 10 at_once: 2", "a: expected either rate or at_once"),
        ("rate: 10", "", "a: expected either rate or at_once"),
        ("rate: 10", "rate: 10 over: 2", "a: over is only allowed with mode OPEN"),
        ("at_once: 5", "at_once: 5 burst: 2", "b: burst is only allowed with rate"),
        ('match: "video"', "", 'expected a text of 1 to 200 characters, or "*"'),
        ("by: CLASS", "by: GROUP", "expected a group's number, got 'video'"),
        ("by: CLASS", "by: 99", "cluster.limit[0].by: expected a name that the schema defines, got 99"),
        ("mode: OPEN", "mode: 99", "cluster.limit[1].mode: expected a name that the schema defines, got 99"),
        ('by: CLASS match: "video"', 'by: GROUP match: "007"', "expected a group's number, got '007'"),
        (
            'name: "here"',
            r'name: "here" rules: "a\0b"',
            "cluster.rules: expected a path without NUL characters",
        ),
        ("bundles: 8", "bundles: 5000", "cluster.channels.bundles: expected 1 to 1024, got 5000"),
        ('class: "video" ', "", "cluster.channels.class: expected at least one class"),
        ('name: "here"', 'name: "here" bounds { grant_s: 2 }', "expected at most the lease, 1.5"),
        (
            "acceptor: 0\n  acceptor: 1\n  acceptor: 2\n",
            "",
            "limits, channels and rules use leases, which need acceptors",
        ),
        ("limit {", "limits {", 'no field named "limits"'),
    ],
)
def test_invalid_cluster_settings_are_reported_with_their_field(
    tmp_path: Path, old: str, new: str, error_text: str
) -> None:
    read_settings_text(tmp_path, VALID_SETTINGS)
    assert old in VALID_SETTINGS
    with pytest.raises(ConfigError) as error:
        read_settings_text(tmp_path, VALID_SETTINGS.replace(old, new, 1))
    assert error_text in str(error.value)
