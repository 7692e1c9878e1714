"""Saves the topology and the earlier homes in the node's folder, and loads them at the next start."""

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
    """A topology, and the migration plan's earlier groups in their saved form."""

    topology: Topology
    earlier_groups: list[Any]


class SavedTopology:
    """The topology file of a node. Failures are counted and logged, not raised.

    Args:
        path: The file.
        limits: Limits of topologies.
        counters: The program's counters.
    """

    def __init__(self, path: Path, limits: TopologyLimits, counters: Counters) -> None:
        self.path = path
        self.limits = limits
        self.counters = counters
        self.take_snapshot: Callable[[], TopologySnapshot] | None = None
        self.save_task: asyncio.Task[None] | None = None
        self.has_unsaved_changes = False

    def load(self, restore: Callable[[TopologySnapshot], None]) -> Topology | None:
        """Reads the file and passes its snapshot to `restore`, which may raise `ValueError`.

        Returns:
            The topology; None if there is no file or it cannot be used.
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
        """Saves a snapshot in the background; if a save is in progress, another one follows it."""
        self.take_snapshot = take_snapshot
        self.has_unsaved_changes = True
        if self.save_task is None or self.save_task.done():
            self.save_task = asyncio.ensure_future(self._save())

    async def flush(self) -> None:
        """Waits until the save in progress has ended."""
        if self.save_task is not None:
            await self.save_task

    async def _save(self) -> None:
        """Saves in a thread, because flushing to disk may block for long."""
        while self.has_unsaved_changes and self.take_snapshot is not None:
            self.has_unsaved_changes = False
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
        data = {"shape": encode_delta(full_delta(snapshot.topology)), "epochs": snapshot.earlier_groups}
        return json.dumps(data, separators=(",", ":")).encode()
