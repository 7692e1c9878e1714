"""Records as files: written beside, flushed to the disk, then renamed, so that one whole record always
stands.

The order is SQLite's and every database's: the bytes are on the disk before the name points to them, and the
folder is flushed after. A reader sees the old record or the new one, whenever the machine stops.
"""

import os
from pathlib import Path

from paddlequay.errors import RecordError
from paddlequay.store.record import decode, encode

MOST = 64 * 1024 * 1024


def save(path: Path, kind: str, form: int, body: bytes) -> None:
    """Replace the record at `path`. Raises OSError, and then the old one stands."""
    beside = path.with_name(f"{path.name}.{os.getpid()}.new")
    try:
        with open(beside, "wb") as file:
            file.write(encode(kind, form, body))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, kind: str, form: int) -> bytes | None:
    """The record at `path`; None where there is none. Raises RecordError or OSError where it cannot be used.

    What a crash left beside the record is of no use and is removed.
    """
    for left in path.parent.glob(f"{path.name}.*.new"):
        left.unlink(missing_ok=True)
    try:
        with open(path, "rb") as file:
            data = file.read(MOST + 1)
    except FileNotFoundError:
        return None
    if len(data) > MOST:
        raise RecordError(f"more than {MOST} bytes")
    return decode(data, kind, form)
