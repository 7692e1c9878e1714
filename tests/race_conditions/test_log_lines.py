"""What strangers send may stand in the log: each record stays one line, of a bounded length."""

import json
import logging

import pytest
from harness import platform

from paddlequay.observability.log import MAX_VALUE_CHARS, KeyValueFormatter, quoted


@pytest.mark.parametrize(
    "text", ["a\nb", "a\rb", "a\x0bb", "a\x85b", "a\u2028b", "\x00", "\ud800", "\x1b[2J"]
)
def test_nothing_ends_a_line_early_or_moves_the_readers_cursor(text: str) -> None:
    word = quoted(text)
    assert word.isprintable() and len(word.splitlines()) == 1 and word.encode()


@pytest.mark.parametrize(
    ("value", "word"),
    [
        ("a", "a"),
        ("", '""'),
        ("a b", '"a b"'),
        ('a"\\\n\t', '"a\\"\\\\\\n\\t"'),
        (0.123456789, "0.123457"),
        ("ü", "ü"),
    ],
)
def test_a_value_is_one_word_or_stands_in_quotes(value: object, word: str) -> None:
    assert quoted(value) == word


def test_a_long_value_is_shortened_in_the_middle() -> None:
    word = quoted("first" + "x" * 10**6 + "last")
    assert len(word) < MAX_VALUE_CHARS + 20 and word.startswith('"first') and word.endswith('last"')


def test_a_traceback_is_one_line_shortened_at_its_start() -> None:
    record = logging.LogRecord("paddlequay.x", logging.ERROR, "x.py", 1, "failed", (), None)
    try:
        raise ValueError("x" * 10**6 + "\nthe cause")
    except ValueError as error:
        record.exc_info = (type(error), error, error.__traceback__)
    line = KeyValueFormatter().format(record)
    assert len(line) < MAX_VALUE_CHARS + 200 and len(line.splitlines()) == 1 and "the cause" in line


def test_a_long_malformed_event_is_logged_as_a_short_line() -> None:
    with platform() as p:
        event = {"no": 2, "recall": {"item": "00", "issued": "x" * 10**6}}
        p.publish(event).sendall(json.dumps(event).encode())
        line = p.logged("event=endpoint_watch_")
        assert len(line) < MAX_VALUE_CHARS + 500
        client = p.client()
        number = client.ask()
        p.box.answer("HIT", "tag=0,minted=1764576000000", b"bytes")
        assert client.answer()[:3] == [1, number, None]
