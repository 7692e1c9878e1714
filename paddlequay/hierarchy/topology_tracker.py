"""Tracks the current topology from deltas that may arrive late, twice or out of order."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.hierarchy.topology import Topology, TopologyDelta, TopologyLimits, apply_delta


class DeltaOutcome(Enum):
    """How a delta was handled; the values are part of the names of counters and log events."""

    APPLIED = "applied"
    OUTDATED = "old"  # its version is not above the current one
    PENDING = "held"  # it waits for its base version
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class DeltaResult:
    """The outcome of a delta, and the reason in one line if it was not applied."""

    outcome: DeltaOutcome
    reason: str = ""


class TopologyTracker:
    """Applies deltas in the order of their versions.

    A rejected delta does not change the topology. Deltas based on a rejected one stay pending until a full
    delta or one based on the current version replaces them. Above the limits, the pending delta with the
    highest base version is dropped; a later full delta from the feed makes up for it.
    """

    def __init__(self, limits: TopologyLimits, topology: Topology | None = None) -> None:
        self.limits = limits
        self.topology = topology or Topology()
        self.pending: OrderedDict[int, TopologyDelta] = OrderedDict()  # by base version

    def receive(self, delta: TopologyDelta) -> DeltaResult:
        """Applies a delta and the pending ones that follow it; returns the result of this delta."""
        result = self._apply_or_defer(delta)
        if result.outcome is DeltaOutcome.APPLIED:
            self._apply_pending()
        self._drop_outdated()
        return result

    def _apply_or_defer(self, delta: TopologyDelta) -> DeltaResult:
        current = self.topology.version
        if delta.version <= current:
            return DeltaResult(DeltaOutcome.OUTDATED, f"version {delta.version} is not above {current}")
        if delta.base_version is not None and delta.base_version > current:
            return self._defer(delta, delta.base_version)
        if delta.base_version is not None and delta.base_version < current:
            reason = f"version {delta.version} is based on {delta.base_version}, current version is {current}"
            return DeltaResult(DeltaOutcome.REJECTED, reason)
        try:
            self.topology = apply_delta(self.topology, delta, self.limits)
        except TopologyError as error:
            return DeltaResult(DeltaOutcome.REJECTED, str(error))
        return DeltaResult(DeltaOutcome.APPLIED)

    def _defer(self, delta: TopologyDelta, base_version: int) -> DeltaResult:
        """Keeps a delta, within the limits, until its base version has been applied."""
        known = self.pending.get(base_version)
        if known is None or known.version < delta.version:
            self.pending[base_version] = delta
        current = self.topology.version
        while self._exceeds_limits():
            furthest = max(self.pending)
            del self.pending[furthest]
            if furthest == base_version:
                reason = f"version {delta.version} dropped: too many pending, current version is {current}"
                return DeltaResult(DeltaOutcome.REJECTED, reason)
        reason = f"version {delta.version} waits for {base_version}, current version is {current}"
        return DeltaResult(DeltaOutcome.PENDING, reason)

    def _exceeds_limits(self) -> bool:
        pending_nodes = sum(len(delta.changed) for delta in self.pending.values())
        return len(self.pending) > self.limits.pending_deltas or pending_nodes > self.limits.pending_nodes

    def _apply_pending(self) -> None:
        """Applies pending deltas for as long as one is built on the current version."""
        while (following := self.pending.pop(self.topology.version, None)) is not None:
            if self._apply_or_defer(following).outcome is not DeltaOutcome.APPLIED:
                return

    def _drop_outdated(self) -> None:
        for base_version, delta in list(self.pending.items()):
            if delta.version <= self.topology.version:
                del self.pending[base_version]
