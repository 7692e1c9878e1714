"""The topology of the last run, saved with the earlier homes in the installation's folder."""

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from paddlequay.errors import RecordError
from paddlequay.hierarchy.topology import Topology, TopologyLimits, apply_delta, full_delta
from paddlequay.hierarchy.topology_json import decode_delta, encode_delta
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.store import record_files

LOGGER = logging.getLogger(__name__)

RECORD_KIND = "shape"
RECORD_VERSION = 1
MAX_REASON_CHARS = 200
UNREADABLE_EVENT = "shape_unreadable"
NOT_SAVED_EVENT = "shape_not_saved"


@dataclass(frozen=True, slots=True)
class TopologySnapshot:
    """A topology, and the migration plan's earlier homes as they are saved."""

    topology: Topology
    epochs: list[Any]


class SavedTopology:
    """One node's file. Failures are counted and logged, and raise nothing.

    Args:
        path: The file.
        limits: Bounds of topologies.
        counters: The program's counters.
    """

    def __init__(self, path: Path, limits: TopologyLimits, counters: Counters) -> None:
        self.path = path
        self.limits = limits
        self.counters = counters
        self.take_snapshot: Callable[[], TopologySnapshot] | None = None
        self.saving: asyncio.Task[None] | None = None
        self.has_unsaved = False

    def load(self, restore: Callable[[TopologySnapshot], None]) -> Topology | None:
        """Reads the file and hands its snapshot to `restore`, which may raise `ValueError`.

        Returns:
            The topology; None where there is no file or none that can be used.
        """
        try:
            body = record_files.load(self.path, RECORD_KIND, RECORD_VERSION)
            if body is None:
                return None
            snapshot = self._decode(body)
            restore(snapshot)
        except (OSError, RecordError, ValueError, KeyError, TypeError) as error:
            self.counters.add("shape_unreadable")
            reason = str(error)[:MAX_REASON_CHARS]
            log.event(LOGGER, logging.WARNING, UNREADABLE_EVENT, path=self.path, why=reason)
            return None
        return snapshot.topology

    def save_soon(self, take_snapshot: Callable[[], TopologySnapshot]) -> None:
        """Saves a snapshot; where a save is in progress, another one follows it."""
        self.take_snapshot = take_snapshot
        self.has_unsaved = True
        if self.saving is None or self.saving.done():
            self.saving = asyncio.ensure_future(self._save())

    async def flush(self) -> None:
        """Waits for the save in progress."""
        if self.saving is not None:
            await self.saving

    async def _save(self) -> None:
        """Saves off the loop: the flush of a disk may take long."""
        while self.has_unsaved and self.take_snapshot is not None:
            self.has_unsaved = False
            body = self._encode(self.take_snapshot())
            try:
                await asyncio.to_thread(record_files.save, self.path, RECORD_KIND, RECORD_VERSION, body)
                self.counters.add("shapes_saved")
            except OSError as error:
                self.counters.add("shapes_not_saved")
                log.event(LOGGER, logging.WARNING, NOT_SAVED_EVENT, path=self.path, why=str(error))

    def _decode(self, body: bytes) -> TopologySnapshot:
        data = json.loads(body)
        delta = decode_delta(data["shape"], self.limits)
        return TopologySnapshot(apply_delta(Topology(), delta, self.limits), data["epochs"])

    def _encode(self, snapshot: TopologySnapshot) -> bytes:
        data = {"shape": encode_delta(full_delta(snapshot.topology)), "epochs": snapshot.epochs}
        return json.dumps(data, separators=(",", ":")).encode()
