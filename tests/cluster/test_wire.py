"""Datagrams: what is packed reads back, and everything else is rejected."""

import time
from dataclasses import dataclass
from typing import Any, ClassVar

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster import wire as w
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

SIZE = 5
QUICK = settings(max_examples=60, derandomize=True, deadline=None)


@dataclass(frozen=True, slots=True)
class Label(PeerMessage):
    KIND: ClassVar[int] = 200
    text: str
    blob: bytes


@dataclass(frozen=True, slots=True)
class LongerPing(PeerMessage):
    """A ping as a later release may have it."""

    KIND: ClassVar[int] = 1
    number: int
    about: int
    rest: int = 7


KINDS: dict[int, type[PeerMessage]] = MESSAGE_TYPES | {200: Label}
CODEC = Codec("quay", SIZE, KINDS)
HEAD = Header(1, 1, 1, 1, 0)


def values_of(field: FieldFormat) -> st.SearchStrategy[Any]:
    if field.type is int:
        return st.integers(field.minimum, field.maximum) | st.sampled_from([field.minimum, field.maximum])
    texts = st.text(max_size=16) | st.just("x" * MAX_TEXT_BYTES)
    return texts if field.type is str else st.binary(max_size=field.maximum)


ANY_MESSAGE = st.sampled_from(list(KINDS)).flatmap(
    lambda kind: st.builds(KINDS[kind], *(values_of(field) for field in CODEC.formats[kind].fields))
)
COUNTS = st.integers(0, MAX_FIELD_VALUE)
HEADS = st.builds(Header, st.just(1), st.integers(0, SIZE - 1), COUNTS, COUNTS, COUNTS)


def signed(items: object, codec: Codec = CODEC) -> bytes:
    body = items if isinstance(items, bytes) else msgpack.packb(items)
    return codec.tag(body) + body


def read_or_reason(data: bytes, codec: Codec = CODEC) -> RejectReason | ReceivedDatagram:
    try:
        return codec.read(data)
    except w.RejectedDatagramError as error:
        return error.reason


def pack(*messages: PeerMessage, codec: Codec = CODEC, head: Header = HEAD) -> bytes:
    return codec.pack(head, [codec.pack_message(message) for message in messages])


def ends() -> tuple[Wire, Wire]:
    return Wire(CODEC, Fleet(0, SIZE), 10), Wire(CODEC, Fleet(1, SIZE), 20)


@QUICK
@given(HEADS, st.lists(ANY_MESSAGE, max_size=w.MAX_MESSAGES))
def test_a_packed_datagram_reads_back_and_stays_within_the_size_limit(
    head: Header, messages: list[PeerMessage]
) -> None:
    packed = [CODEC.pack_message(message) for message in messages]
    length = (
        w.TAG_BYTES + (1 if len(messages) < 11 else 3) + len(CODEC.pack_header(head)) + sum(map(len, packed))
    )
    if length > w.MAX_DATAGRAM_BYTES:
        with pytest.raises(ValueError):
            CODEC.pack(head, packed)
        return
    for many in ([b"\x91\x63"] * (w.MAX_MESSAGES + 1), [bytes(w.MAX_MESSAGE_BYTES), bytes(99)]):
        with pytest.raises(ValueError):
            CODEC.pack(head, many)
    data = CODEC.pack(head, packed)
    assert len(data) == length
    assert CODEC.read(data) == ReceivedDatagram(head, tuple(messages), 0)


JUNK = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers(-(1 << 63), MAX_DIGEST) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=20,
)


@QUICK
@given(st.binary(max_size=240) | st.lists(JUNK, max_size=8))
def test_random_bytes_are_rejected_and_a_valid_tag_does_not_skip_the_checks(
    items: object,
) -> None:
    if isinstance(items, bytes):
        assert read_or_reason(items) is RejectReason.FOREIGN
    told = read_or_reason(signed(items))
    if isinstance(told, ReceivedDatagram):  # valid by chance: then it holds just these items
        assert (
            told.skipped_count + len(told.messages)
            == len(msgpack.unpackb(signed(items)[8:])) - w.HEADER_ITEM_COUNT
        )


@QUICK
@given(st.lists(ANY_MESSAGE, min_size=1, max_size=2), st.data())
def test_an_altered_or_truncated_datagram_is_rejected(
    messages: list[PeerMessage], data: st.DataObject
) -> None:
    whole = pack(*messages)
    at = data.draw(st.integers(0, len(whole) - 1))
    flipped = bytearray(whole)
    flipped[at] ^= data.draw(st.integers(1, 255))
    assert read_or_reason(bytes(flipped)) is RejectReason.FOREIGN
    assert read_or_reason(whole[:at]) is RejectReason.FOREIGN
    assert read_or_reason(whole + b"\x00") in (RejectReason.FOREIGN, RejectReason.OVERSIZED)
    assert read_or_reason(pack(*messages, codec=Codec("quay2", SIZE, KINDS))) is RejectReason.FOREIGN


@pytest.mark.parametrize("kind", KINDS)
def test_one_field_out_of_range_rejects_the_whole_datagram(kind: int) -> None:
    format_ = CODEC.formats[kind]
    right: list[Any] = [
        {int: field.maximum, str: "é" * 32, bytes: bytes(64)}[field.type] for field in format_.fields
    ]
    assert CODEC.read(pack(format_.message_type(*right))).messages == (format_.message_type(*right),)
    for at, field in enumerate(format_.fields):
        wrong: list[object] = [None, True, 0.5, [1], -1, "é" * 33, bytes(65)]
        wrong += [field.maximum + 1] if field.maximum < MAX_DIGEST else []
        for value in wrong:
            values = [*right[:at], value, *right[at + 1 :]]
            assert (
                read_or_reason(signed([1, 1, 1, 1, 0, [2, 1, 1, 1], [kind, *values]]))
                is RejectReason.MALFORMED
            )
            with pytest.raises(ValueError):
                CODEC.pack_message(format_.message_type(*values))


DEEP, HUGE_ARRAY, HUGE_MAP, EXTENSION = (
    b"\x91" * 248,
    b"\xdd" + b"\xff" * 9,
    b"\xdf" + b"\xff" * 9,
    b"\xc7\xff\x01",
)
HEAD5: list[object] = [1, 1, 1, 1, 1]
HEADLESS, TRUTH, MAP, EMPTY = HEAD5[1:], [1, True, 1, 1, 0], [*HEAD5, {}], [*HEAD5, []]
NESTED, SHORT, MANY = [*HEAD5, [[1]]], [*HEAD5, [2, 1, 1]], [*HEAD5, *[[99]] * (w.MAX_MESSAGES + 1)]


@pytest.mark.parametrize(
    "items", [b"", DEEP, HUGE_ARRAY, HUGE_MAP, EXTENSION, HEADLESS, TRUTH, MAP, EMPTY, NESTED, SHORT, MANY]
)
def test_a_malformed_datagram_is_rejected_in_bounded_time(items: object) -> None:
    begun = time.process_time()
    assert read_or_reason(signed(items)) is RejectReason.MALFORMED
    assert time.process_time() - begun < 0.05


def test_releases_read_the_versions_next_to_their_own() -> None:
    one, preparing, two, three = (
        Codec("quay", SIZE, writes=writes, reads=reads) for writes, reads in ((1, 1), (1, 2), (2, 2), (3, 3))
    )
    old, new = (pack(Ping(1, 2), codec=each, head=Header(each.writes, 1, 1, 1, 0)) for each in (one, two))
    assert read_or_reason(new, one) is RejectReason.NEWER
    assert read_or_reason(old, three) is RejectReason.OLDER
    assert all(isinstance(read_or_reason(old, each), ReceivedDatagram) for each in (one, preparing, two))
    assert all(isinstance(read_or_reason(new, each), ReceivedDatagram) for each in (preparing, two, three))
    # Whatever follows the number of a later version.
    assert read_or_reason(signed([2, {"a": 1.5}])) is RejectReason.NEWER
    with pytest.raises(ValueError):
        Codec("quay", SIZE, writes=1, reads=3)


def test_unknown_kinds_are_skipped_and_missing_fields_take_their_defaults() -> None:
    newer = Codec("quay", SIZE, KINDS | {1: LongerPing})
    assert CODEC.read(pack(LongerPing(3, 4, 5), codec=newer)).messages == (Ping(3, 4),)
    assert newer.read(pack(Ping(3, 4))).messages == (LongerPing(3, 4, 7),)
    older = Codec("quay", SIZE)
    (evidence,) = older.read(pack(Evidence(1, 2, Fault.COLD, 3, 4, 5))).messages
    assert isinstance(evidence, Evidence) and type(evidence.fault) is int  # an enum is sent as a number
    ranges = {
        (f.minimum, f.maximum) for format_ in older.formats.values() for f in format_.fields if f.type is int
    }
    small = {(0, 1), (1, 3), (0, int(max(Fault))), (0, SIZE - 1)}
    assert ranges == small | {(0, MAX_FIELD_VALUE), (0, MAX_DIGEST)}
    assert older.read(pack(Ping(1, 0), Label("a", b""), OwnerLoad(1, 2))) == ReceivedDatagram(
        HEAD, (Ping(1, 0), OwnerLoad(1, 2)), 1
    )


@given(st.lists(st.integers(0, 3 * WINDOW_SIZE), max_size=60))
@QUICK
def test_the_replay_window_agrees_with_a_model(order: list[int]) -> None:
    a, b = ends()
    come: set[int] = set()
    for number in order:
        a.sequence = number
        stale, seen = bool(come) and number <= max(come) - WINDOW_SIZE, number in come
        told = b.read(a.write([]), 0)
        assert (
            told is RejectReason.STALE
            if stale
            else told is RejectReason.REPEATED
            if seen
            else isinstance(told, ReceivedDatagram)
        )
        come |= set() if stale else {number}
        assert all(window.received_bits < 1 << WINDOW_SIZE for window in b.windows.values())
    assert isinstance(b.read(Wire(CODEC, Fleet(0, SIZE), 11).write([]), 0), ReceivedDatagram)
    assert b.read(a.write([]), 0) is RejectReason.STALE  # of the incarnation before


def test_a_datagram_from_another_address_than_its_senders_is_rejected() -> None:
    a, b = ends()
    for source in (2, None, SIZE, -1):
        assert b.read(a.write([]), source) is RejectReason.SENDER
    assert b.read(b.write([]), 1) is RejectReason.OWN
    beyond = Wire(CODEC, Fleet(SIZE, SIZE + 1), 1)
    assert b.read(beyond.write([]), SIZE) is RejectReason.SENDER
    assert not b.windows


def test_a_received_ballot_counter_raises_the_own_one_and_a_jump_is_rejected() -> None:
    a, b = ends()
    c = Wire(CODEC, Fleet(2, SIZE), 1)
    # A router that starts late takes the fleet's counter, however far it is.
    a.ballot_counter = 9 * w.MAX_BALLOT_COUNTER_JUMP
    assert isinstance(b.read(a.write([]), 0), ReceivedDatagram)
    assert b.ballot_counter == a.ballot_counter
    c.ballot_counter = b.ballot_counter + w.MAX_BALLOT_COUNTER_JUMP + 1
    refused = c.write([])
    assert (b.read(refused, 2), b.ballot_counter, list(b.windows)) == (
        RejectReason.CLOCK,
        a.ballot_counter,
        [0],
    )
    c.ballot_counter -= 1
    assert isinstance(b.read(c.write([]), 2), ReceivedDatagram)
    assert b.ballot_counter == c.ballot_counter
    a.ballot_counter = w.MAX_INITIAL_BALLOT_COUNTER + 1
    assert Wire(CODEC, Fleet(1, SIZE), 1).read(a.write([]), 0) is RejectReason.CLOCK
