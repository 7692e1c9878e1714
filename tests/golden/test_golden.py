"""Wires, files and handed-over state keep their bytes, as an earlier version wrote them to `data/`."""

import json

import pytest
from driver import EVERYBODY, settings
from golden_samples import (
    DATA,
    FLEET_SIZE,
    MARKS,
    SAMPLES,
    link_messages,
    membership,
    shape,
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
from paddlequay.protocol import hot_restart as twin
from paddlequay.routing.interface import MembersChanged, StateInherited
from paddlequay.store.record import decode


def sample(name: str) -> str:
    """The text of a sample file."""
    return (DATA / name).read_text(encoding="utf-8")


@pytest.mark.parametrize("name", SAMPLES)
def test_what_is_written_equals_the_sample_byte_for_byte(name: str) -> None:
    assert "".join(f"{line}\n" for line in SAMPLES[name]()) == sample(name)


def test_link_messages_of_an_earlier_version_are_read_and_written_alike() -> None:
    lines = sample("link.jsonl").encode().splitlines()
    messages = [twin.unpack(line) for line in lines]
    assert messages == link_messages()
    assert [twin.pack(message) for message in messages] == [line + b"\n" for line in lines]


def test_datagrams_of_an_earlier_version_are_read_and_written_alike() -> None:
    codec = Codec("golden", FLEET_SIZE)
    for line in sample("datagrams.jsonl").splitlines():
        number, required, _, text = json.loads(line)
        read = codec.read(bytes.fromhex(text))
        assert [note.KIND for note in read.messages] == [number, number] and read.skipped_count == 0
        assert codec.formats[number].required_count == required
        assert codec.pack(read.header, [codec.pack_message(note) for note in read.messages]).hex() == text


def test_the_file_of_left_out_caches_is_read_and_written_alike(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp("marks") / "marks.json"
    path.write_text(sample("left_out.json"), encoding="utf-8")
    operation = OperatorState(path)
    operation.load()
    assert operation.overrides == {name: mark for name, mark in MARKS.items() if name != "drain"}
    assert operation.serialize_ejections() + "\n" == sample("left_out.json")


def test_saved_members_are_read_and_written_alike() -> None:
    data = json.loads(sample("saved_members.json"))
    read = Membership((SourceRule("list"), SourceRule("kept", retain_for=60.0)))
    read.recover(data, "kept", 20.0)
    before = [change.member for change in membership().members.values()]
    assert [change.member for change in read.members.values()] == before
    assert read.snapshot() == data


def test_a_saved_shape_is_read_and_written_alike() -> None:
    body, head = sample("saved_shape.txt").splitlines()
    data = json.loads(body)
    read = apply_delta(Topology(), decode_delta(data["shape"], TopologyLimits()), TopologyLimits())
    assert read == shape() and encode_delta(full_delta(read)) == data["shape"]
    migration = MigrationPlan("a", MigrationLimits())
    migration.restore_state(data["epochs"], 2.0)
    assert migration.export_state() == data["epochs"]
    record = head.encode() + b"\n" + body.encode()
    assert decode(record, "shape", 1) == body.encode()
    with pytest.raises(RecordError):
        decode(record, "members", 1)


def test_knowledge_of_an_earlier_version_is_taken_over_under_its_keys() -> None:
    told = json.loads(sample("knowledge.json"))
    router = Router(settings(), seed=2)
    router.handle(MembersChanged(EVERYBODY, full=True), 100.0)
    fresh = router.export_state()
    router.handle(StateInherited(told), 100.0)
    taken = router.export_state()
    assert taken.keys() == told.keys() == trained_router().export_state().keys()
    # A limit below the one that a start begins with is not taken over.
    assert taken == {
        name: max(value, fresh[name]) if name.startswith("limit ") else value for name, value in told.items()
    }
