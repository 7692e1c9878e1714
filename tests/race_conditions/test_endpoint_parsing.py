"""What the bulletin may write that cannot be used: one line, or one entry, is lost and no other."""

from typing import Any

import pytest
from rig_endpoints import entry, roster

from paddlequay.protocol.endpoint_watch import (
    EndpointList,
    UnusableLine,
    WatchEventParser,
    WatchHeartbeat,
    parse_event,
)

DEEP = b'{"no":2,"roster":' + b"[" * 200_000 + b"]" * 200_000 + b"}"
NUMBERLESS: list[bytes] = [
    b"garbage",
    b"\xff\xfe\x00",
    DEEP,
    b"1" * 5000,
    b"-1",
    b"true",
    b"null",
    b"NaN",
    b"2.5",
    b"[]",
    b'{"no":true}',
    b'{"no":"2","roster":{"instances":[]}}',
    b'{"no":1e999}',
    b'{"no":18446744073709551616}',
    b'{"roster":{"instances":[]}}',
]
NUMBERED: list[bytes] = [
    b'{"no":2,"roster":{"generation":"x","reset":false,"instances":null}}',
    b'{"no":2,"roster":null}',
    b'{"no":2,"roster":7}',
    b'{"no":2,"hello":{}}',
    b'{"no":2,"recall":{}}',
    b'{"no":2,"recall":{"lot":1,"item":"7f","issued":1}}',
    b'{"no":2,"recall":{"lot":true,"issued":1}}',
    b'{"no":2,"recall":{"item":"-7","issued":1}}',
    b'{"no":2,"recall":{"lot":1,"issued":NaN}}',
    b'{"no":2,"recall":{"lot":1,"issued":1e999}}',
    b'{"no":2,"recall":{"lot":1,"issued":1' + b"0" * 400 + b"}}",
]


@pytest.mark.parametrize("line", NUMBERLESS + NUMBERED, ids=lambda line: line[:24].decode("latin-1"))
def test_an_invalid_line_is_logged_and_later_lines_apply(line: bytes) -> None:
    first, second = WatchEventParser(1 << 20).feed(line + b'\n{"no":3}\n')
    assert isinstance(first, UnusableLine) and first.number == (2 if line in NUMBERED else None)
    assert len(first.reason) <= 200 and second == WatchHeartbeat(3)


def test_a_too_long_line_is_skipped_without_buffering() -> None:
    reader = WatchEventParser(1000)
    assert not list(reader.feed(b"x" * 900)) and not list(reader.feed(b"x" * 900))
    assert not reader.buffer
    assert not list(reader.feed(b"x" * 900))
    (long, beat) = reader.feed(b'x\n{"no":3}\n')
    assert isinstance(long, UnusableLine) and beat == WatchHeartbeat(3)


ENTRIES: list[tuple[Any, bool]] = [  # an entry that cannot be used, and whether it drains all the same
    (entry("bad", lifecycle="terminating", hostPort=None), True),
    ({"instanceId": "bad", "lifecycle": "terminating"}, True),
    (entry("bad", lifecycle="terminating", weight="heavy"), True),
    (entry("bad", lifecycle="resting"), True),
    (entry("bad", lifecycle=["in_service"]), True),
    (entry("bad", hostPort="nowhere"), False),
    (entry("bad", hostPort="a.name:80"), False),
    (entry("bad", hostPort="10.0.0.1:0"), False),
    (entry("bad", hostPort="10.0.0.1:1" + "0" * 5000), False),
    (entry("bad", weight=-1), False),
    (entry("bad", weight=float("nan")), False),
    (entry("bad", startedAtMs=10**400), False),
    (entry("bad", startedAtMs=float("inf")), False),
    (entry("bad", zone=["here"]), False),
    (entry("bad", cell="2"), False),
    (entry("b a d"), False),
    (entry("b,ad"), False),
    (entry(""), False),
    ({"lifecycle": "terminating"}, False),
    (None, False),
    ([], False),
]


@pytest.mark.parametrize(("bad", "drains"), ENTRIES)
def test_an_invalid_entry_does_not_affect_the_others(bad: Any, drains: bool) -> None:
    news = parse_event(roster(2, entry("box-1"), bad, entry("box-2", lifecycle="terminated", hostPort=None)))
    assert isinstance(news, EndpointList) and news.unusable_count == 1 and news.unusable_reason
    assert [one.member.name for one in news.endpoints] == ["box-1", "box-2"]
    assert news.draining_ids == (("bad",) if drains else ())


def test_the_last_of_duplicate_entries_in_an_event_applies() -> None:
    drain, use = entry("a", lifecycle="terminating"), entry("a", weight=3)
    for words, state in (([drain, use], "ready"), ([use, drain], "draining")):
        news = parse_event(roster(2, *words))
        assert isinstance(news, EndpointList) and [
            one.member.state.value for one in news.endpoints if one.member.state
        ] == [state]
    news = parse_event(roster(2, use, {"instanceId": "a", "lifecycle": "terminating"}))
    assert isinstance(news, EndpointList) and (news.endpoints, news.draining_ids) == ((), ("a",))
    news = parse_event(roster(2, {"instanceId": "a", "lifecycle": "terminating"}, use))
    assert isinstance(news, EndpointList) and len(news.endpoints) == 1 and news.draining_ids == ()
