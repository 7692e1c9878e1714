"""Compares messages, files and handed-over state with the bytes that an earlier version wrote to `data/`."""

import json

import pytest
from driver import ALL_MEMBERS, settings
from golden_samples import (
    DATA,
    FLEET_SIZE,
    OVERRIDES,
    SAMPLES,
    link_messages,
    member_messages,
    sample_membership,
    sample_topology,
    trained_router,
)

from paddlequay.cluster.wire import Codec
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import SourceRule
from paddlequay.errors import RecordError
from paddlequay.hierarchy.migration import MigrationLimits, MigrationPlan
from paddlequay.hierarchy.topology import Topology, TopologyLimits, apply_delta, full_delta
from paddlequay.hierarchy.topology_json import decode_delta, encode_delta
from paddlequay.lifecycle.operator_state import OperatorState
from paddlequay.policy import Router
from paddlequay.protocol import hot_restart
from paddlequay.routing.interface import MembersChanged, StateInherited
from paddlequay.store.record import decode


def read_sample(name: str) -> str:
    """Returns the text of a sample file."""
    return (DATA / name).read_text(encoding="utf-8")


@pytest.mark.parametrize("name", SAMPLES)
def test_written_output_equals_the_sample_byte_for_byte(name: str) -> None:
    assert "".join(f"{line}\n" for line in SAMPLES[name]()) == read_sample(name)


@pytest.mark.parametrize(
    ("name", "expected"), [("link.jsonl", link_messages()), ("link_members.jsonl", member_messages())]
)
def test_link_messages_of_an_earlier_version_are_read_and_rewritten_unchanged(
    name: str, expected: list[hot_restart.LinkMessage]
) -> None:
    lines = read_sample(name).encode().splitlines()
    messages = [hot_restart.unpack(line) for line in lines]
    assert messages == expected
    assert [hot_restart.pack(message) for message in messages] == [line + b"\n" for line in lines]


def test_datagrams_of_an_earlier_version_are_read_and_rewritten_unchanged() -> None:
    codec = Codec("golden", FLEET_SIZE)
    for line in read_sample("datagrams.jsonl").splitlines():
        number, required, _, text = json.loads(line)
        datagram = codec.read(bytes.fromhex(text))
        assert [each.KIND for each in datagram.messages] == [number, number] and datagram.skipped_count == 0
        assert codec.formats[number].required_count == required
        assert (
            codec.pack(datagram.header, [codec.pack_message(each) for each in datagram.messages]).hex()
            == text
        )


def test_file_of_ejected_caches_is_read_and_rewritten_unchanged(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp("marks") / "marks.json"
    path.write_text(read_sample("left_out.json"), encoding="utf-8")
    operation = OperatorState(path)
    operation.load()
    assert operation.overrides == {name: override for name, override in OVERRIDES.items() if name != "drain"}
    assert operation.serialize_ejections() + "\n" == read_sample("left_out.json")


def test_saved_members_are_read_and_rewritten_unchanged() -> None:
    data = json.loads(read_sample("saved_members.json"))
    restored = Membership((SourceRule("list"), SourceRule("kept", retain_for=60.0)))
    restored.recover(data, "kept", 20.0)
    before = [change.member for change in sample_membership().members.values()]
    assert [change.member for change in restored.members.values()] == before
    assert restored.snapshot() == data


def test_saved_topology_is_read_and_rewritten_unchanged() -> None:
    body, head = read_sample("saved_shape.txt").splitlines()
    data = json.loads(body)
    restored = apply_delta(Topology(), decode_delta(data["shape"], TopologyLimits()), TopologyLimits())
    assert restored == sample_topology() and encode_delta(full_delta(restored)) == data["shape"]
    migration = MigrationPlan("a", MigrationLimits())
    migration.restore_state(data["epochs"], 2.0)
    assert migration.export_state() == data["epochs"]
    record = head.encode() + b"\n" + body.encode()
    assert decode(record, "shape", 1) == body.encode()
    with pytest.raises(RecordError):
        decode(record, "members", 1)


def test_learned_state_of_an_earlier_version_is_inherited_under_the_same_keys() -> None:
    inherited = json.loads(read_sample("knowledge.json"))
    router = Router(settings(), seed=2)
    router.handle(MembersChanged(ALL_MEMBERS, full=True), 100.0)
    initial = router.export_state()
    router.handle(StateInherited(inherited), 100.0)
    exported = router.export_state()
    assert exported.keys() == inherited.keys() == trained_router().export_state().keys()
    # A router does not inherit a concurrency limit below the one that it starts with.
    assert exported == {
        name: max(value, initial[name]) if name.startswith("limit ") else value
        for name, value in inherited.items()
    }
