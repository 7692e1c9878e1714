"""Records as files, replaced atomically.

A record is written to a temporary file and flushed to disk; the file is renamed over the old one and then the
folder is flushed. A reader sees either the old record or the new one, even after a crash of the machine.
"""

import os
from pathlib import Path

from paddlequay.errors import RecordError
from paddlequay.store.record import decode, encode

MAX_FILE_BYTES = 64 * 1024 * 1024
TEMPORARY_SUFFIX = ".new"


def save(path: Path, kind: str, version: int, body: bytes) -> None:
    """Replaces the record at `path`.

    Args:
        path: The file.
        kind: The kind of the record, in lower-case letters and dashes.
        version: The version of the body's format.
        body: The record's contents.

    Raises:
        OSError: The record could not be written; the old one is unchanged.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}{TEMPORARY_SUFFIX}")
    try:
        _write_to_disk(temporary, encode(kind, version, body))
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    _flush_folder(path.parent)


def load(path: Path, kind: str, version: int) -> bytes | None:
    """Returns the body of the record at `path`; None if there is no such file.

    Also removes temporary files that a crash left behind.

    Args:
        path: The file.
        kind: The kind that the record must have.
        version: The format version that the record must have.

    Raises:
        RecordError: The file holds no complete record of this kind and version.
        OSError: The file could not be read.
    """
    for leftover in path.parent.glob(f"{path.name}.*{TEMPORARY_SUFFIX}"):
        leftover.unlink(missing_ok=True)
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    if len(data) > MAX_FILE_BYTES:
        raise RecordError(f"record file has more than {MAX_FILE_BYTES} bytes")
    return decode(data, kind, version)


def _write_to_disk(path: Path, data: bytes) -> None:
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _flush_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
