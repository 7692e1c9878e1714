"""The format of a stored record: one header line with kind, version, length and checksum, then the body.

    paddlequay KIND VERSION LENGTH SHA256

Decoding detects records that are truncated, altered, or of another kind or version.
"""

import hashlib
import re

from paddlequay.errors import RecordError

HEADER = re.compile(rb"paddlequay ([a-z-]{1,32}) (\d{1,9}) (\d{1,15}) ([0-9a-f]{64})\n")
MAX_HEADER_BYTES = 160


def encode(kind: str, version: int, body: bytes) -> bytes:
    """Returns the bytes of a record."""
    checksum = hashlib.sha256(body).hexdigest()
    return f"paddlequay {kind} {version} {len(body)} {checksum}\n".encode() + body


def decode(data: bytes, kind: str, version: int) -> bytes:
    """Returns the body of a record.

    Args:
        data: All bytes of the record.
        kind: The kind that the record must have.
        version: The format version that the record must have.

    Raises:
        RecordError: The bytes are not a complete record of this kind and version.
    """
    header = HEADER.match(data[:MAX_HEADER_BYTES])
    if header is None:
        raise RecordError("record header is missing, truncated or malformed")
    found_kind, found_version, length, checksum = header.groups()
    if found_kind.decode() != kind:
        raise RecordError(f"record kind is {found_kind.decode()}, expected {kind}")
    if int(found_version) != version:
        raise RecordError(f"record format version is {int(found_version)}, expected {version}")
    body = data[header.end() :]
    if len(body) != int(length):
        raise RecordError(f"record body has {len(body)} bytes, expected {int(length)}")
    if hashlib.sha256(body).hexdigest() != checksum.decode():
        raise RecordError(f"record checksum mismatch: body does not match {checksum.decode()}")
    return body
