"""The current topology, and deltas that arrive late, twice or out of order."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from paddlequay.hierarchy.errors import TopologyError
from paddlequay.hierarchy.topology import Topology, TopologyDelta, TopologyLimits, apply_delta


class DeltaOutcome(Enum):
    """What became of a delta; the values are part of counters' names."""

    APPLIED = "applied"
    OUTDATED = "old"  # it does not lead past the current version
    PENDING = "held"  # it waits for the delta that it is built on
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class DeltaResult:
    """The outcome of a delta, and the reason in one line where it was not applied."""

    outcome: DeltaOutcome
    reason: str = ""


class TopologyTracker:
    """Applies deltas in the order of their versions.

    A rejected delta leaves the topology as it was; deltas that are built on it wait for a full one, or for
    one that is built on the current version. Past the limits the pending delta furthest ahead is dropped; the
    feed makes up for it with a full delta.
    """

    def __init__(self, limits: TopologyLimits, topology: Topology | None = None) -> None:
        self.limits = limits
        self.topology = topology or Topology()
        self.pending: OrderedDict[int, TopologyDelta] = OrderedDict()  # by base version

    def receive(self, delta: TopologyDelta) -> DeltaResult:
        """Applies a delta, and the pending ones that follow it; returns what became of this one."""
        result = self._apply_or_keep(delta)
        if result.outcome is DeltaOutcome.APPLIED:
            self._apply_pending()
        self._drop_outdated()
        return result

    def _apply_or_keep(self, delta: TopologyDelta) -> DeltaResult:
        current = self.topology.version
        if delta.version <= current:
            return DeltaResult(DeltaOutcome.OUTDATED, f"version {delta.version} came after {current}")
        if delta.base_version is not None and delta.base_version > current:
            return self._keep(delta, delta.base_version)
        if delta.base_version is not None and delta.base_version < current:
            reason = f"version {delta.version} is built on {delta.base_version}, not on {current}"
            return DeltaResult(DeltaOutcome.REJECTED, reason)
        try:
            self.topology = apply_delta(self.topology, delta, self.limits)
        except TopologyError as error:
            return DeltaResult(DeltaOutcome.REJECTED, str(error))
        return DeltaResult(DeltaOutcome.APPLIED)

    def _keep(self, delta: TopologyDelta, base_version: int) -> DeltaResult:
        """Keeps a delta until its base is there, within the limits."""
        known = self.pending.get(base_version)
        if known is None or known.version < delta.version:
            self.pending[base_version] = delta
        current = self.topology.version
        while self._exceeds_limits():
            furthest = max(self.pending)
            del self.pending[furthest]
            if furthest == base_version:
                reason = f"version {delta.version} was dropped: too many wait for {current}"
                return DeltaResult(DeltaOutcome.REJECTED, reason)
        reason = f"version {delta.version} waits for {base_version}, {current} stands"
        return DeltaResult(DeltaOutcome.PENDING, reason)

    def _exceeds_limits(self) -> bool:
        pending_nodes = sum(len(delta.changed) for delta in self.pending.values())
        return len(self.pending) > self.limits.pending_deltas or pending_nodes > self.limits.pending_nodes

    def _apply_pending(self) -> None:
        """Applies pending deltas for as long as one is built on the current version."""
        while (following := self.pending.pop(self.topology.version, None)) is not None:
            if self._apply_or_keep(following).outcome is not DeltaOutcome.APPLIED:
                return

    def _drop_outdated(self) -> None:
        for base_version, delta in list(self.pending.items()):
            if delta.version <= self.topology.version:
                del self.pending[base_version]
