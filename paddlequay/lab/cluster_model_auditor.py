"""Checks the guarantees of the simulated fleet from outside, in true time.

The auditor does not rely on the routers' own view of a guarantee: it counts charges when they are admitted,
it knows the state of the parents, and it asks all acceptors for their leases after each call in which one of
them could have acquired a lease. Between two calls of a router, its hold on a lease can only end.
"""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from paddlequay.cluster.node import ClusterEvent
from paddlequay.cluster.settings import LimitRule
from paddlequay.cluster.types import (
    LeaseAcquired,
    NameDigest,
    Peer,
    PeerChanged,
    PeerState,
    SelfChanged,
    VerdictChanged,
)
from paddlequay.cluster.verdict_rules import DOWN_FAULTS
from paddlequay.lab.cluster_model_fleet import FleetSimulation
from paddlequay.lab.cluster_model_router import SimulatedRouter
from paddlequay.lab.cluster_model_workload import Parent, Workload

# The maximum age of evidence with drift, and the time that a change waits in an outbox. There must be no
# verdict against a parent that has been up for longer.
MAX_VERDICT_DELAY_S = 2.4


@dataclass(frozen=True, slots=True)
class Acquisition:
    """A router acquired a lease under a term, at a true time in seconds."""

    at: float
    router: Peer
    term: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """A router changed the state that it assumes for a peer."""

    at: float
    router: Peer
    peer: Peer
    state: PeerState


@dataclass(frozen=True, slots=True)
class IsolationChange:
    """A router detected that it is isolated, or that it is connected again."""

    at: float
    router: Peer
    is_isolated: bool


class Auditor:
    """Observes a simulation and its workload, and counts the violations of guarantees."""

    def __init__(self, simulation: FleetSimulation, rules: Sequence[LimitRule]) -> None:
        self.simulation = simulation
        self.workload = Workload(simulation, rules)
        self._parents = {parent.subject: parent for parent in self.workload.parents}
        self.acquisitions: dict[NameDigest, list[Acquisition]] = defaultdict(list)
        self.double_holders = 0
        self.decreasing_terms = 0
        self._verdict_since: dict[NameDigest, dict[Peer, float]] = defaultdict(dict)
        self.false_verdicts = 0
        self.state_changes: list[StateChange] = []
        self.isolation_changes: list[IsolationChange] = []
        self.wrong_deaths = 0
        simulation.observers.append(self._observe)

    @property
    def violations(self) -> int:
        """Returns the number of violations: exceeded limit, two holders, decreasing terms, wrong deaths."""
        limit_exceeded = self.workload.max_limit_ratio > 1 + 1e-6
        return limit_exceeded + self.double_holders + self.decreasing_terms + self.wrong_deaths

    def set_parent_state(self, parent: Parent, is_up: bool, is_silent: bool = True) -> None:
        """Stops or starts a parent; a stopped one is silent or refuses connections."""
        parent.is_up = is_up
        parent.changed_at = self.simulation.now
        parent.is_silent = is_silent
        self._verdict_since[parent.subject].clear()
        self.simulation.log_event("parent", parent.name, is_up)

    def _observe(self, router: SimulatedRouter, events: Sequence[ClusterEvent]) -> None:
        for event in events:
            match event:
                case LeaseAcquired():
                    self._handle_acquisition(router, event)
                case VerdictChanged():
                    self._handle_verdict(router, event)
                case PeerChanged():
                    self._handle_peer_change(router, event)
                case SelfChanged():
                    is_isolated = not (event.receives and event.reaches)
                    change = IsolationChange(self.simulation.now, router.number, is_isolated)
                    self.isolation_changes.append(change)
        if router.number in self.simulation.settings.acceptors:
            self._check_holders(router)

    def _handle_acquisition(self, router: SimulatedRouter, event: LeaseAcquired) -> None:
        earlier = self.acquisitions[event.lease]
        self.decreasing_terms += bool(earlier) and event.term <= earlier[-1].term
        earlier.append(Acquisition(self.simulation.now, router.number, event.term))

    def _check_holders(self, router: SimulatedRouter) -> None:
        """Counts the other acceptors, also stalled ones, that hold a lease that a router holds now."""
        simulation = self.simulation
        node = router.node
        assert node is not None
        if node.leases is None or node.limits is None:
            return
        for lease in node.limits.leases:
            if node.holds(lease, router.local_time(simulation.now)) is None:
                continue
            for number in simulation.settings.acceptors:
                other = simulation.routers[number]
                if other is not router and other.node is not None:
                    term = other.node.holds(lease, other.local_time(simulation.now))
                    self.double_holders += term is not None

    def _handle_verdict(self, router: SimulatedRouter, event: VerdictChanged) -> None:
        routers_with_verdict = self._verdict_since[event.subject]
        if event.fault not in DOWN_FAULTS:
            routers_with_verdict.pop(router.number, None)
            return
        routers_with_verdict.setdefault(router.number, self.simulation.now)
        if self._is_false_verdict(router, self._parents[event.subject]):
            self.false_verdicts += 1

    def _is_false_verdict(self, router: SimulatedRouter, parent: Parent) -> bool:
        """Returns whether a router has a verdict against a parent that it and most of the fleet can use.

        Routers of a separated zone reach no parent. If they are most of the fleet, a verdict is correct.
        """
        delayed_since = self.simulation.now - MAX_VERDICT_DELAY_S
        separated = [
            other
            for other in self.simulation.routers
            if other.zone_partition_count or other.zone_partition_ended_at > delayed_since
        ]
        has_served_long = parent.is_up and parent.changed_at < delayed_since
        is_minority = 2 * len(separated) < self.simulation.size
        return has_served_long and router not in separated and is_minority

    def _handle_peer_change(self, router: SimulatedRouter, event: PeerChanged) -> None:
        now = self.simulation.now
        peer = self.simulation.routers[event.peer]
        self.state_changes.append(StateChange(now, router.number, event.peer, event.state))
        is_up = peer.node is not None and peer.stalled_until <= now
        is_excused = now <= max(peer.death_excused_until, router.death_excused_until)
        if event.state is PeerState.DEAD and is_up and not is_excused:
            self.wrong_deaths += 1

    def time_until_state(
        self, peer: Peer, state: PeerState, since: float, ratio: float | None = None
    ) -> float | None:
        """Returns the seconds until a ratio of the other routers assume a state for a peer; None: never.

        Without a ratio, returns the seconds until the first router does.
        """
        first_seen: dict[Peer, float] = {}
        for change in self.state_changes:
            if change.peer == peer and change.state is state and change.at >= since:
                first_seen.setdefault(change.router, change.at - since)
        times = sorted(first_seen.values())
        other_count = self.simulation.size - 1
        needed = 1 if ratio is None else int(ratio * other_count + 0.999)
        return times[needed - 1] if len(times) >= needed else None

    def time_until_verdict(self, parent: Parent, ratio: float) -> float | None:
        """Returns the seconds from a parent's stop until a ratio of the running routers have the verdict."""
        times = sorted(at - parent.changed_at for at in self._verdict_since[parent.subject].values())
        running_count = sum(router.node is not None for router in self.simulation.routers)
        needed = int(ratio * running_count + 0.999)
        return times[needed - 1] if len(times) >= needed else None
