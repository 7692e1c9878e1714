"""Datagrams: packed datagrams are read back unchanged, and all others are rejected."""

import time
from dataclasses import dataclass
from typing import Any, ClassVar

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster import wire
from paddlequay.cluster.message_formats import FieldFormat
from paddlequay.cluster.messages import (
    MAX_DIGEST,
    MAX_FIELD_VALUE,
    MAX_TEXT_BYTES,
    MESSAGE_TYPES,
    Evidence,
    OwnerLoad,
    PeerMessage,
    Ping,
)
from paddlequay.cluster.replay_window import WINDOW_SIZE
from paddlequay.cluster.types import Fault, Fleet
from paddlequay.cluster.wire import Codec, Header, ReceivedDatagram, RejectReason, Wire

FLEET_SIZE = 5
FUZZ_SETTINGS = settings(max_examples=60, derandomize=True, deadline=None)


@dataclass(frozen=True, slots=True)
class Label(PeerMessage):
    KIND: ClassVar[int] = 200
    text: str
    blob: bytes


@dataclass(frozen=True, slots=True)
class LongerPing(PeerMessage):
    """A ping as a later release may define it, with a new field at the end."""

    KIND: ClassVar[int] = 1
    number: int
    known_incarnation: int
    added_field: int = 7


TEST_MESSAGE_TYPES: dict[int, type[PeerMessage]] = MESSAGE_TYPES | {200: Label}
CODEC = Codec("quay", FLEET_SIZE, TEST_MESSAGE_TYPES)
HEADER = Header(1, 1, 1, 1, 0)


def valid_values(field: FieldFormat) -> st.SearchStrategy[Any]:
    if field.type is int:
        return st.integers(field.minimum, field.maximum) | st.sampled_from([field.minimum, field.maximum])
    texts = st.text(max_size=16) | st.just("x" * MAX_TEXT_BYTES)
    return texts if field.type is str else st.binary(max_size=field.maximum)


ANY_MESSAGE = st.sampled_from(list(TEST_MESSAGE_TYPES)).flatmap(
    lambda kind: st.builds(
        TEST_MESSAGE_TYPES[kind], *(valid_values(field) for field in CODEC.formats[kind].fields)
    )
)
FIELD_VALUES = st.integers(0, MAX_FIELD_VALUE)
HEADERS = st.builds(
    Header, st.just(1), st.integers(0, FLEET_SIZE - 1), FIELD_VALUES, FIELD_VALUES, FIELD_VALUES
)


def tagged(items: object, codec: Codec = CODEC) -> bytes:
    body = items if isinstance(items, bytes) else msgpack.packb(items)
    return codec.tag(body) + body


def read_or_reason(data: bytes, codec: Codec = CODEC) -> RejectReason | ReceivedDatagram:
    try:
        return codec.read(data)
    except wire.RejectedDatagramError as error:
        return error.reason


def pack(*messages: PeerMessage, codec: Codec = CODEC, header: Header = HEADER) -> bytes:
    return codec.pack(header, [codec.pack_message(message) for message in messages])


def make_wires() -> tuple[Wire, Wire]:
    return Wire(CODEC, Fleet(0, FLEET_SIZE), 10), Wire(CODEC, Fleet(1, FLEET_SIZE), 20)


@FUZZ_SETTINGS
@given(HEADERS, st.lists(ANY_MESSAGE, max_size=wire.MAX_MESSAGES))
def test_a_packed_datagram_reads_back_and_stays_within_the_size_limit(
    header: Header, messages: list[PeerMessage]
) -> None:
    packed = [CODEC.pack_message(message) for message in messages]
    length = (
        wire.TAG_BYTES
        + (1 if len(messages) < 11 else 3)
        + len(CODEC.pack_header(header))
        + sum(map(len, packed))
    )
    if length > wire.MAX_DATAGRAM_BYTES:
        with pytest.raises(ValueError):
            CODEC.pack(header, packed)
        return
    for too_much in ([b"\x91\x63"] * (wire.MAX_MESSAGES + 1), [bytes(wire.MAX_MESSAGE_BYTES), bytes(99)]):
        with pytest.raises(ValueError):
            CODEC.pack(header, too_much)
    data = CODEC.pack(header, packed)
    assert len(data) == length
    assert CODEC.read(data) == ReceivedDatagram(header, tuple(messages), 0)


ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers(-(1 << 63), MAX_DIGEST) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=20,
)


@FUZZ_SETTINGS
@given(st.binary(max_size=240) | st.lists(ANY_VALUE, max_size=8))
def test_random_bytes_are_rejected_and_a_valid_tag_does_not_skip_the_checks(
    items: object,
) -> None:
    if isinstance(items, bytes):
        assert read_or_reason(items) is RejectReason.FOREIGN
    result = read_or_reason(tagged(items))
    if isinstance(result, ReceivedDatagram):  # valid by chance: then it contains exactly these items
        assert (
            result.skipped_count + len(result.messages)
            == len(msgpack.unpackb(tagged(items)[8:])) - wire.HEADER_ITEM_COUNT
        )


@FUZZ_SETTINGS
@given(st.lists(ANY_MESSAGE, min_size=1, max_size=2), st.data())
def test_an_altered_or_truncated_datagram_is_rejected(
    messages: list[PeerMessage], data: st.DataObject
) -> None:
    datagram = pack(*messages)
    position = data.draw(st.integers(0, len(datagram) - 1))
    flipped = bytearray(datagram)
    flipped[position] ^= data.draw(st.integers(1, 255))
    assert read_or_reason(bytes(flipped)) is RejectReason.FOREIGN
    assert read_or_reason(datagram[:position]) is RejectReason.FOREIGN
    assert read_or_reason(datagram + b"\x00") in (RejectReason.FOREIGN, RejectReason.OVERSIZED)
    assert (
        read_or_reason(pack(*messages, codec=Codec("quay2", FLEET_SIZE, TEST_MESSAGE_TYPES)))
        is RejectReason.FOREIGN
    )


@pytest.mark.parametrize("kind", TEST_MESSAGE_TYPES)
def test_one_field_out_of_range_rejects_the_whole_datagram(kind: int) -> None:
    format_ = CODEC.formats[kind]
    valid: list[Any] = [
        {int: field.maximum, str: "é" * 32, bytes: bytes(64)}[field.type] for field in format_.fields
    ]
    assert CODEC.read(pack(format_.message_type(*valid))).messages == (format_.message_type(*valid),)
    for position, field in enumerate(format_.fields):
        invalid_values: list[object] = [None, True, 0.5, [1], -1, "é" * 33, bytes(65)]
        invalid_values += [field.maximum + 1] if field.maximum < MAX_DIGEST else []
        for value in invalid_values:
            values = [*valid[:position], value, *valid[position + 1 :]]
            assert (
                read_or_reason(tagged([1, 1, 1, 1, 0, [2, 1, 1, 1], [kind, *values]]))
                is RejectReason.MALFORMED
            )
            with pytest.raises(ValueError):
                CODEC.pack_message(format_.message_type(*values))


DEEP_NESTING, HUGE_ARRAY, HUGE_MAP, EXTENSION = (
    b"\x91" * 248,
    b"\xdd" + b"\xff" * 9,
    b"\xdf" + b"\xff" * 9,
    b"\xc7\xff\x01",
)
HEADER_ITEMS: list[object] = [1, 1, 1, 1, 1]
MISSING_HEADER_ITEM, BOOL_IN_HEADER, MAP_AS_MESSAGE, EMPTY_MESSAGE = (
    HEADER_ITEMS[1:],
    [1, True, 1, 1, 0],
    [*HEADER_ITEMS, {}],
    [*HEADER_ITEMS, []],
)
NESTED_KIND, MISSING_FIELD, TOO_MANY_MESSAGES = (
    [*HEADER_ITEMS, [[1]]],
    [*HEADER_ITEMS, [2, 1, 1]],
    [*HEADER_ITEMS, *[[99]] * (wire.MAX_MESSAGES + 1)],
)


@pytest.mark.parametrize(
    "items",
    [
        b"",
        DEEP_NESTING,
        HUGE_ARRAY,
        HUGE_MAP,
        EXTENSION,
        MISSING_HEADER_ITEM,
        BOOL_IN_HEADER,
        MAP_AS_MESSAGE,
        EMPTY_MESSAGE,
        NESTED_KIND,
        MISSING_FIELD,
        TOO_MANY_MESSAGES,
    ],
)
def test_a_malformed_datagram_is_rejected_in_bounded_time(items: object) -> None:
    started_at = time.process_time()
    assert read_or_reason(tagged(items)) is RejectReason.MALFORMED
    assert time.process_time() - started_at < 0.05


def test_releases_read_the_versions_next_to_their_own() -> None:
    one, preparing, two, three = (
        Codec("quay", FLEET_SIZE, written_version=written_version, max_read_version=max_read_version)
        for written_version, max_read_version in ((1, 1), (1, 2), (2, 2), (3, 3))
    )
    old, new = (
        pack(Ping(1, 2), codec=each, header=Header(each.written_version, 1, 1, 1, 0)) for each in (one, two)
    )
    assert read_or_reason(new, one) is RejectReason.NEWER
    assert read_or_reason(old, three) is RejectReason.OLDER
    assert all(isinstance(read_or_reason(old, each), ReceivedDatagram) for each in (one, preparing, two))
    assert all(isinstance(read_or_reason(new, each), ReceivedDatagram) for each in (preparing, two, three))
    # A later version is recognized whatever follows its number.
    assert read_or_reason(tagged([2, {"a": 1.5}])) is RejectReason.NEWER
    with pytest.raises(ValueError):
        Codec("quay", FLEET_SIZE, written_version=1, max_read_version=3)


def test_unknown_kinds_are_skipped_and_missing_fields_take_their_defaults() -> None:
    newer = Codec("quay", FLEET_SIZE, TEST_MESSAGE_TYPES | {1: LongerPing})
    assert CODEC.read(pack(LongerPing(3, 4, 5), codec=newer)).messages == (Ping(3, 4),)
    assert newer.read(pack(Ping(3, 4))).messages == (LongerPing(3, 4, 7),)
    older = Codec("quay", FLEET_SIZE)
    (evidence,) = older.read(pack(Evidence(1, 2, Fault.COLD, 3, 4, 5))).messages
    assert isinstance(evidence, Evidence) and type(evidence.fault) is int  # an enum is packed as its number
    ranges = {
        (f.minimum, f.maximum) for format_ in older.formats.values() for f in format_.fields if f.type is int
    }
    small = {(0, 1), (1, 3), (0, int(max(Fault))), (0, FLEET_SIZE - 1)}
    assert ranges == small | {(0, MAX_FIELD_VALUE), (0, MAX_DIGEST)}
    assert older.read(pack(Ping(1, 0), Label("a", b""), OwnerLoad(1, 2))) == ReceivedDatagram(
        HEADER, (Ping(1, 0), OwnerLoad(1, 2)), 1
    )


@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=60))
@FUZZ_SETTINGS
def test_the_replay_window_agrees_with_a_model(numbers: list[int]) -> None:
    a, b = make_wires()
    received_numbers: set[int] = set()
    for number in numbers:
        a.sequence = number
        is_stale, is_repeated = (
            bool(received_numbers) and number <= max(received_numbers) - WINDOW_SIZE,
            number in received_numbers,
        )
        result = b.read(a.write([]), 0)
        assert (
            result is RejectReason.STALE
            if is_stale
            else result is RejectReason.REPEATED
            if is_repeated
            else isinstance(result, ReceivedDatagram)
        )
        received_numbers |= set() if is_stale else {number}
        assert all(window.received_bits < 1 << WINDOW_SIZE for window in b.windows.values())
    assert isinstance(b.read(Wire(CODEC, Fleet(0, FLEET_SIZE), 11).write([]), 0), ReceivedDatagram)
    assert b.read(a.write([]), 0) is RejectReason.STALE  # of the earlier incarnation


def test_a_datagram_from_another_address_than_its_senders_is_rejected() -> None:
    a, b = make_wires()
    for source in (2, None, FLEET_SIZE, -1):
        assert b.read(a.write([]), source) is RejectReason.SENDER
    assert b.read(b.write([]), 1) is RejectReason.OWN
    outside_fleet = Wire(CODEC, Fleet(FLEET_SIZE, FLEET_SIZE + 1), 1)
    assert b.read(outside_fleet.write([]), FLEET_SIZE) is RejectReason.SENDER
    assert not b.windows


def test_a_received_ballot_counter_raises_the_routers_own_and_a_large_jump_is_rejected() -> None:
    a, b = make_wires()
    c = Wire(CODEC, Fleet(2, FLEET_SIZE), 1)
    # A router that has received nothing yet takes over the fleet's counter, however high it is.
    a.ballot_counter = 9 * wire.MAX_BALLOT_COUNTER_JUMP
    assert isinstance(b.read(a.write([]), 0), ReceivedDatagram)
    assert b.ballot_counter == a.ballot_counter
    c.ballot_counter = b.ballot_counter + wire.MAX_BALLOT_COUNTER_JUMP + 1
    rejected = c.write([])
    assert (b.read(rejected, 2), b.ballot_counter, list(b.windows)) == (
        RejectReason.CLOCK,
        a.ballot_counter,
        [0],
    )
    c.ballot_counter -= 1
    assert isinstance(b.read(c.write([]), 2), ReceivedDatagram)
    assert b.ballot_counter == c.ballot_counter
    a.ballot_counter = wire.MAX_INITIAL_BALLOT_COUNTER + 1
    assert Wire(CODEC, Fleet(1, FLEET_SIZE), 1).read(a.write([]), 0) is RejectReason.CLOCK
