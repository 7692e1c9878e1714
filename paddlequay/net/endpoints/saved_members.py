"""The file of saved members, from which a router restores the members of its last run."""

import asyncio
import json
import logging
from pathlib import Path
from typing import Any

from paddlequay.errors import RecordError
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.store import record_files

LOGGER = logging.getLogger(__name__)

RECORD_KIND = "members"
RECORD_FORMAT = 1
MAX_REASON_CHARS = 200  # of an error that a log line quotes


class SavedMembers:
    """The file of saved members of one router. Failures are counted and logged, and never raised."""

    def __init__(self, folder: Path, router: str, counters: Counters) -> None:
        self.path = folder / f"members-{router}"
        self.counters = counters

    def load(self) -> Any:
        """Returns the saved snapshot; None if there is none or it cannot be read."""
        try:
            body = record_files.load(self.path, RECORD_KIND, RECORD_FORMAT)
            return None if body is None else json.loads(body)
        except (OSError, RecordError, ValueError) as error:
            self.report_unreadable(error)
            return None

    def report_unreadable(self, error: Exception) -> None:
        """Counts and logs a file that cannot be used."""
        self.counters.add("members_unreadable")
        why = str(error)[:MAX_REASON_CHARS]
        log.event(LOGGER, logging.WARNING, "members_unreadable", path=self.path, why=why)

    async def save(self, snapshot: dict[str, Any]) -> None:
        """Replaces the file, in a thread because flushing a disk may take long."""
        body = json.dumps(snapshot, separators=(",", ":")).encode()
        try:
            await asyncio.to_thread(record_files.save, self.path, RECORD_KIND, RECORD_FORMAT, body)
        except OSError as error:
            self.counters.add("members_not_saved")
            log.event(LOGGER, logging.WARNING, "members_not_saved", path=self.path, why=str(error))
