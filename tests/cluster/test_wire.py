"""Datagrams: what goes in comes out, and nothing else gets in."""

import time
from dataclasses import dataclass
from typing import Any, ClassVar

import msgpack  # type: ignore[import-untyped]
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from paddlequay.cluster import wire as w
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
from paddlequay.cluster.types import Fault, Fleet
from paddlequay.cluster.wire import Codec, Head, Heard, Refusal, Wire

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
HEAD = Head(1, 1, 1, 1, 0)


def made(field: w.Field) -> st.SearchStrategy[Any]:
    if field.type is int:
        return st.integers(field.least, field.most) | st.sampled_from([field.least, field.most])
    texts = st.text(max_size=16) | st.just("x" * MAX_TEXT_BYTES)
    return texts if field.type is str else st.binary(max_size=field.most)


ANY_NOTE = st.sampled_from(list(KINDS)).flatmap(
    lambda kind: st.builds(KINDS[kind], *(made(field) for field in CODEC.shapes[kind].fields))
)
COUNTS = st.integers(0, MAX_FIELD_VALUE)
HEADS = st.builds(Head, st.just(1), st.integers(0, SIZE - 1), COUNTS, COUNTS, COUNTS)


def signed(items: object, codec: Codec = CODEC) -> bytes:
    body = items if isinstance(items, bytes) else msgpack.packb(items)
    return codec.tag(body) + body


def refusal(data: bytes, codec: Codec = CODEC) -> Refusal | Heard:
    try:
        return codec.read(data)
    except w.RefusedError as error:
        return error.refusal


def sent(*notes: PeerMessage, codec: Codec = CODEC, head: Head = HEAD) -> bytes:
    return codec.pack(head, [codec.pack_message(note) for note in notes])


def ends() -> tuple[Wire, Wire]:
    return Wire(CODEC, Fleet(0, SIZE), 10), Wire(CODEC, Fleet(1, SIZE), 20)


@QUICK
@given(HEADS, st.lists(ANY_NOTE, max_size=w.NOTES_MOST))
def test_what_is_packed_is_read_and_never_over_the_bound(head: Head, notes: list[PeerMessage]) -> None:
    packed = [CODEC.pack_message(note) for note in notes]
    length = w.TAG_SIZE + (1 if len(notes) < 11 else 3) + len(CODEC.pack_head(head)) + sum(map(len, packed))
    if length > w.DATAGRAM_MOST:
        with pytest.raises(ValueError):
            CODEC.pack(head, packed)
        return
    for many in ([b"\x91\x63"] * (w.NOTES_MOST + 1), [bytes(w.NOTE_MOST), bytes(99)]):
        with pytest.raises(ValueError):
            CODEC.pack(head, many)
    data = CODEC.pack(head, packed)
    assert len(data) == length
    assert CODEC.read(data) == Heard(head, tuple(notes), 0)


JUNK = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers(-(1 << 63), MAX_DIGEST) | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=20,
)


@QUICK
@given(st.binary(max_size=240) | st.lists(JUNK, max_size=8))
def test_random_bytes_are_refused_and_what_the_tag_vouches_for_is_checked_none_the_less(
    items: object,
) -> None:
    if isinstance(items, bytes):
        assert refusal(items) is Refusal.FOREIGN
    told = refusal(signed(items))
    if isinstance(told, Heard):  # by chance it says something: then it says just this
        assert told.skipped + len(told.messages) == len(msgpack.unpackb(signed(items)[8:])) - w.HEAD_ITEMS


@QUICK
@given(st.lists(ANY_NOTE, min_size=1, max_size=2), st.data())
def test_a_changed_or_cut_datagram_is_refused(notes: list[PeerMessage], data: st.DataObject) -> None:
    whole = sent(*notes)
    at = data.draw(st.integers(0, len(whole) - 1))
    flipped = bytearray(whole)
    flipped[at] ^= data.draw(st.integers(1, 255))
    assert refusal(bytes(flipped)) is Refusal.FOREIGN
    assert refusal(whole[:at]) is Refusal.FOREIGN
    assert refusal(whole + b"\x00") in (Refusal.FOREIGN, Refusal.OVERSIZED)
    assert refusal(sent(*notes, codec=Codec("quay2", SIZE, KINDS))) is Refusal.FOREIGN


@pytest.mark.parametrize("kind", KINDS)
def test_one_field_that_does_not_fit_refuses_all(kind: int) -> None:
    shape = CODEC.shapes[kind]
    right: list[Any] = [
        {int: field.most, str: "é" * 32, bytes: bytes(64)}[field.type] for field in shape.fields
    ]
    assert CODEC.read(sent(shape.make(*right))).messages == (shape.make(*right),)
    for at, field in enumerate(shape.fields):
        wrong: list[object] = [None, True, 0.5, [1], -1, "é" * 33, bytes(65)]
        wrong += [field.most + 1] if field.most < MAX_DIGEST else []
        for value in wrong:
            values = [*right[:at], value, *right[at + 1 :]]
            assert refusal(signed([1, 1, 1, 1, 0, [2, 1, 1, 1], [kind, *values]])) is Refusal.MALFORMED
            with pytest.raises(ValueError):
                CODEC.pack_message(shape.make(*values))


DEEP, HUGE_ARRAY, HUGE_MAP, EXTENSION = (
    b"\x91" * 248,
    b"\xdd" + b"\xff" * 9,
    b"\xdf" + b"\xff" * 9,
    b"\xc7\xff\x01",
)
HEAD5: list[object] = [1, 1, 1, 1, 1]
HEADLESS, TRUTH, MAP, EMPTY = HEAD5[1:], [1, True, 1, 1, 0], [*HEAD5, {}], [*HEAD5, []]
NESTED, SHORT, MANY = [*HEAD5, [[1]]], [*HEAD5, [2, 1, 1]], [*HEAD5, *[[99]] * (w.NOTES_MOST + 1)]


@pytest.mark.parametrize(
    "items", [b"", DEEP, HUGE_ARRAY, HUGE_MAP, EXTENSION, HEADLESS, TRUTH, MAP, EMPTY, NESTED, SHORT, MANY]
)
def test_malformed(items: object) -> None:
    begun = time.process_time()
    assert refusal(signed(items)) is Refusal.MALFORMED
    assert time.process_time() - begun < 0.05


def test_versions_side_by_side() -> None:
    one, preparing, two, three = (
        Codec("quay", SIZE, writes=writes, reads=reads) for writes, reads in ((1, 1), (1, 2), (2, 2), (3, 3))
    )
    old, new = (sent(Ping(1, 2), codec=each, head=Head(each.writes, 1, 1, 1, 0)) for each in (one, two))
    assert refusal(new, one) is Refusal.NEWER
    assert refusal(old, three) is Refusal.OLDER
    assert all(isinstance(refusal(old, each), Heard) for each in (one, preparing, two))
    assert all(isinstance(refusal(new, each), Heard) for each in (preparing, two, three))
    # Whatever else a later version has after its number.
    assert refusal(signed([2, {"a": 1.5}])) is Refusal.NEWER
    with pytest.raises(ValueError):
        Codec("quay", SIZE, writes=1, reads=3)


def test_kinds_and_fields_of_other_releases() -> None:
    newer = Codec("quay", SIZE, KINDS | {1: LongerPing})
    assert CODEC.read(sent(LongerPing(3, 4, 5), codec=newer)).messages == (Ping(3, 4),)
    assert newer.read(sent(Ping(3, 4))).messages == (LongerPing(3, 4, 7),)
    older = Codec("quay", SIZE)
    (note,) = older.read(sent(Evidence(1, 2, Fault.COLD, 3, 4, 5))).messages
    assert isinstance(note, Evidence) and type(note.fault) is int  # a named number is sent as a number
    ranges = {(f.least, f.most) for shape in older.shapes.values() for f in shape.fields if f.type is int}
    small = {(0, 1), (1, 3), (0, int(max(Fault))), (0, SIZE - 1)}
    assert ranges == small | {(0, MAX_FIELD_VALUE), (0, MAX_DIGEST)}
    assert older.read(sent(Ping(1, 0), Label("a", b""), OwnerLoad(1, 2))) == Heard(
        HEAD, (Ping(1, 0), OwnerLoad(1, 2)), 1
    )


@given(st.lists(st.integers(0, 3 * w.WINDOW), max_size=60))
@QUICK
def test_the_window_is_that_of_a_model(order: list[int]) -> None:
    a, b = ends()
    come: set[int] = set()
    for number in order:
        a.sequence = number
        stale, seen = bool(come) and number <= max(come) - w.WINDOW, number in come
        told = b.read(a.write([]), 0)
        assert (
            told is Refusal.STALE if stale else told is Refusal.REPEATED if seen else isinstance(told, Heard)
        )
        come |= set() if stale else {number}
        assert all(window.bits < 1 << w.WINDOW for window in b.windows.values())
    assert isinstance(b.read(Wire(CODEC, Fleet(0, SIZE), 11).write([]), 0), Heard)
    assert b.read(a.write([]), 0) is Refusal.STALE  # of the incarnation before


def test_a_sender_must_come_from_its_own_address() -> None:
    a, b = ends()
    for source in (2, None, SIZE, -1):
        assert b.read(a.write([]), source) is Refusal.SENDER
    assert b.read(b.write([]), 1) is Refusal.OWN
    beyond = Wire(CODEC, Fleet(SIZE, SIZE + 1), 1)
    assert b.read(beyond.write([]), SIZE) is Refusal.SENDER
    assert not b.windows


def test_the_clock_grows_by_what_is_heard_and_does_not_jump() -> None:
    a, b = ends()
    c = Wire(CODEC, Fleet(2, SIZE), 1)
    a.clock = 9 * w.CLOCK_JUMP  # a router that starts late takes the fleet's clock, however far it is
    assert isinstance(b.read(a.write([]), 0), Heard)
    assert b.clock == a.clock
    c.clock = b.clock + w.CLOCK_JUMP + 1
    refused = c.write([])
    assert (b.read(refused, 2), b.clock, list(b.windows)) == (Refusal.CLOCK, a.clock, [0])
    c.clock -= 1
    assert isinstance(b.read(c.write([]), 2), Heard)
    assert b.clock == c.clock
    a.clock = w.CLOCK_MOST + 1
    assert Wire(CODEC, Fleet(1, SIZE), 1).read(a.write([]), 0) is Refusal.CLOCK
