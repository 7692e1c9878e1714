"""Encoding and decoding of MessagePack, and parsing of client messages that are received in parts."""

from typing import Any

import pytest

from paddlequay.protocol.clients import ClientMessageParser, readiness_answer, served_answer
from paddlequay.protocol.msgpack import IncompleteMessageError, MalformedMessageError, pack, unpack

NUMBERS = [
    0,
    127,
    128,
    255,
    256,
    65535,
    65536,
    2**32 - 1,
    2**32,
    2**64 - 1,
    -1,
    -32,
    -33,
    -129,
    -32769,
    -(2**63),
]
VALUES = [
    None,
    True,
    False,
    1.5,
    *NUMBERS,
    "",
    "a" * 31,
    "ü" * 200,
    "b" * 70000,
    b"",
    b"c" * 300,
    b"d" * 70000,
    [],
    [1, [2, ["x"]]],
    list(range(20)),
    {},
    {"k": b"v", 3: None},
    {str(number): number for number in range(40)},
]


@pytest.mark.parametrize("value", VALUES, ids=lambda value: repr(value)[:20])
def test_packed_value_unpacks_to_itself_and_its_prefixes_are_incomplete(value: Any) -> None:
    raw = pack(value)
    assert unpack(b"\xc0" + raw + b"\xc0", 1, 1 << 20) == (value, len(raw) + 1)
    for end in {0, 1, len(raw) // 2, len(raw) - 1} - {len(raw)}:
        with pytest.raises(IncompleteMessageError):
            unpack(raw[:end], 0, 1 << 20)


@pytest.mark.parametrize(
    "raw", [b"\xc1", b"\xd4\x01\x02", b"\xa1\xff", b"\x81\x90\x01", b"\x91" * 20, b"\xdd\xff" * 3]
)
def test_bytes_that_no_further_bytes_can_complete_are_malformed(raw: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        unpack(raw, 0, 1 << 20)


def test_message_over_the_limit_is_malformed_before_all_of_it_is_received() -> None:
    with pytest.raises(MalformedMessageError):
        unpack(b"\xc6\x00\x02\x00\x00", 0, 1000)


def test_messages_received_byte_by_byte_are_parsed_and_packed_answers_unpack() -> None:
    raw = (
        pack([0, 7, "video", [{"call": "x"}, b"body"]])
        + pack([2, "cancelRequest", [7]])
        + pack([0, 8, "alive", []])
    )
    expected = list(ClientMessageParser(1000).feed(raw))
    parser = ClientMessageParser(1000)
    messages = [message for index in range(len(raw)) for message in parser.feed(raw[index : index + 1])]
    assert messages == expected and [type(message).__name__ for message in expected] == [
        "ClientCall",
        "CallsCancelled",
        "ReadinessQuery",
    ]
    assert unpack(readiness_answer(8, True), 0, 100)[0] == [1, 8, None, [True, {}]]
    assert unpack(b"".join(served_answer(300, b"xy", {"a": "b"})), 0, 100)[0] == [
        1,
        300,
        None,
        [b"xy", {"a": "b"}],
    ]
