"""The members of the last run, saved in the installation's folder."""

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

RECORD_KIND, RECORD_FORMAT = "members", 1


class SavedMembers:
    """One router's file of members; failures are counted and logged, and raise nothing."""

    def __init__(self, folder: Path, router: str, counters: Counters) -> None:
        self.path, self.counters = folder / f"members-{router}", counters

    def load(self) -> Any:
        """What was saved; None where there is nothing that can be read."""
        try:
            body = record_files.load(self.path, RECORD_KIND, RECORD_FORMAT)
            return None if body is None else json.loads(body)
        except (OSError, RecordError, ValueError) as error:
            self.report_unreadable(error)
            return None

    def report_unreadable(self, error: Exception) -> None:
        """What was saved cannot be used."""
        self.counters.add("members_unreadable")
        log.event(LOGGER, logging.WARNING, "members_unreadable", path=self.path, why=str(error)[:200])

    async def save(self, snapshot: dict[str, Any]) -> None:
        """Replace the file, off the loop: the flush of a disk may take long."""
        body = json.dumps(snapshot, separators=(",", ":")).encode()
        try:
            await asyncio.to_thread(record_files.save, self.path, RECORD_KIND, RECORD_FORMAT, body)
        except OSError as error:
            self.counters.add("members_not_saved")
            log.event(LOGGER, logging.WARNING, "members_not_saved", path=self.path, why=str(error))
