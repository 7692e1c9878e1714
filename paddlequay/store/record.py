"""A record on disk: one line that says what it is, how long and with which checksum, then the bytes.

    paddlequay KIND FORMAT LENGTH SHA256

A record that is torn, altered, of another kind or of another format is told apart from a whole one, with a
line that says which. Knows no file.
"""

import hashlib
import re

from paddlequay.errors import RecordError

HEAD = re.compile(rb"paddlequay ([a-z-]{1,32}) (\d{1,9}) (\d{1,15}) ([0-9a-f]{64})\n")
HEAD_MOST = 160


def encode(kind: str, form: int, body: bytes) -> bytes:
    """A record's bytes."""
    return f"paddlequay {kind} {form} {len(body)} {hashlib.sha256(body).hexdigest()}\n".encode() + body


def decode(data: bytes, kind: str, form: int) -> bytes:
    """The body of a whole record."""
    head = HEAD.match(data[:HEAD_MOST])
    if head is None:
        raise RecordError("no record, or its first line is torn")
    found, version, length, digest = head.groups()
    if found.decode() != kind:
        raise RecordError(f"a record of {found.decode()}, expected {kind}")
    if int(version) != form:
        raise RecordError(f"of format {int(version)}, expected {form}")
    body = data[head.end() :]
    if len(body) != int(length):
        raise RecordError(f"{len(body)} bytes, expected {int(length)}: it is torn")
    if hashlib.sha256(body).hexdigest() != digest.decode():
        raise RecordError("the checksum does not hold")
    return body
