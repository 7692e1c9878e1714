"""The load on the simulated fleet: charges under its limits, and attempts at parents that are up or down."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from paddlequay.cluster.fleet_limits import Permit
from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.settings import LimitRule, LimitScope
from paddlequay.cluster.types import Fault, NameDigest, Peer
from paddlequay.lab.cluster_model_fleet import FleetSimulation
from paddlequay.lab.cluster_model_router import LONG_AGO_S, SimulatedRouter
from paddlequay.lab.limit_audit import LimitAudit
from paddlequay.placement.homes import digest

CHARGE_SUBJECTS = ((LimitScope.CLASS, "charge"), (LimitScope.SOURCE, "parent"))
PARENT_COUNT = 4
CONNECTION_REFUSED_S = 0.005  # until an attempt fails at a parent that refuses connections
ATTEMPT_TIMEOUT_S = 0.25  # until an attempt at a silent parent times out
CHANCE_FAILURE_RATIO = 0.01  # share of the attempts at a parent that is up
WAKE_SPREAD_S = 0.002  # longest time from the end of a stall to the request of a delayed charge


@dataclass(slots=True)
class Parent:
    """A parent that all routers use. Times are true seconds."""

    name: str
    subject: NameDigest
    is_up: bool = True
    changed_at: float = LONG_AGO_S
    is_silent: bool = True  # while down, it does not answer instead of refusing connections


class Workload:
    """Requests charges and makes attempts at random times, and audits the limits in true time."""

    def __init__(self, simulation: FleetSimulation, rules: Sequence[LimitRule]) -> None:
        self.simulation = simulation
        self.rng = simulation.rng
        self.audits = {rule.name: LimitAudit(rule) for rule in rules}
        self.demand_per_s: dict[Peer, float] = {}
        self.admitted_at: list[float] = []
        self.counts: Counter[str] = Counter()
        names = [f"p{number}" for number in range(PARENT_COUNT)]
        self.parents = [Parent(name, digest(name)) for name in names]

    def set_demand(self, router: SimulatedRouter, per_s: float) -> None:
        """Sets the rate at which charges are requested at a router; 0 stops them."""
        is_running = self.demand_per_s.get(router.number, 0.0) > 0
        self.demand_per_s[router.number] = per_s
        if per_s and not is_running:
            self._schedule_charges(router, per_s)

    def _schedule_charges(self, router: SimulatedRouter, per_s: float) -> None:
        next_at = self.simulation.now + self.rng.expovariate(per_s)
        self.simulation.schedule(next_at, self._charge_repeatedly, router)

    def _charge_repeatedly(self, router: SimulatedRouter) -> None:
        per_s = self.demand_per_s[router.number]
        if per_s:
            self._schedule_charges(router, per_s)
            self.request_charge(router)

    def request_charge(self, router: SimulatedRouter) -> None:
        """Requests one charge at a router; a stalled process receives the request when it runs again."""
        simulation = self.simulation
        node = router.node
        if node is None or node.limits is None:
            self.counts["unreached"] += 1
            return
        ready_at = router.next_run_time(simulation.now)
        if ready_at > simulation.now:
            wake_at = ready_at + self.rng.random() * WAKE_SPREAD_S
            simulation.schedule(wake_at, self.request_charge, router)
            return
        duration_s = simulation.max_request_s * self.rng.uniform(0.1, 1.0)
        local_now = router.local_time(simulation.now)
        answer = node.limits.admit_all(CHARGE_SUBJECTS, local_now, duration_s)
        self.counts["admitted" if isinstance(answer, Permit) else "refused"] += 1
        if isinstance(answer, Permit):
            self._begin_charge(router, node, answer, duration_s / router.clock_rate)
        simulation.flush(router, ())

    def _begin_charge(
        self, router: SimulatedRouter, node: ClusterNode, permit: Permit, true_duration_s: float
    ) -> None:
        simulation = self.simulation
        end = simulation.now + true_duration_s
        self.admitted_at.append(simulation.now)
        for audit in self.audits.values():
            audit.add(simulation.now, end)
        simulation.log_event(router.number, "admitted")
        simulation.schedule(end, self._end_charge, router, node, permit)

    def _end_charge(self, router: SimulatedRouter, node: ClusterNode, permit: Permit) -> None:
        is_same_process = router.node is node
        if is_same_process and node.limits is not None and router.is_running(self.simulation.now):
            node.limits.release(permit, router.local_time(self.simulation.now))

    def admitted_per_s(self, begin: float, end: float) -> float:
        """Returns the mean number of charges admitted per second between two true times."""
        return sum(begin <= at < end for at in self.admitted_at) / (end - begin)

    @property
    def max_limit_ratio(self) -> float:
        """Returns the highest use of any limit, as a multiple of what it allows; above 1 it is exceeded."""
        ratios = (audit.max_ratio / audit.allowed_ratio for audit in self.audits.values())
        return max(ratios, default=0.0)

    def attempt_repeatedly(self, router: SimulatedRouter, per_s: float) -> None:
        """Makes a router's attempts at random parents, until the end of the simulation."""
        next_at = self.simulation.now + self.rng.expovariate(per_s)
        self.simulation.schedule(next_at, self.attempt_repeatedly, router, per_s)
        if router.is_running(self.simulation.now):
            self._attempt(router, self.rng.choice(self.parents))

    def _attempt(self, router: SimulatedRouter, parent: Parent) -> None:
        """Makes an attempt, which succeeds at once, or fails after a refused connection or a time-out."""
        zone_separated = bool(router.zone_partition_count)  # parents are in other zones
        fails_by_chance = self.rng.random() < CHANCE_FAILURE_RATIO
        process_count = router.process_count
        if parent.is_up and not zone_separated and not fails_by_chance:
            self._record_attempt(router, process_count, parent, True, None)
            return
        silent = parent.is_silent or zone_separated
        fault = Fault.SILENT if silent else Fault.FAILING
        end = self.simulation.now + (ATTEMPT_TIMEOUT_S if silent else CONNECTION_REFUSED_S)
        self.simulation.schedule(end, self._record_attempt, router, process_count, parent, False, fault)

    def _record_attempt(
        self,
        router: SimulatedRouter,
        process_count: int,
        parent: Parent,
        served: bool,
        fault: Fault | None,
    ) -> None:
        node = router.node
        is_same_process = router.process_count == process_count
        if node is None or node.verdicts is None or not is_same_process:
            return
        if not router.is_running(self.simulation.now):
            return
        local_now = router.local_time(self.simulation.now)
        actions = node.verdicts.record_attempt(parent.subject, 0, "parent", served, fault, local_now)
        self.simulation.flush(router, node.execute(actions, local_now))
