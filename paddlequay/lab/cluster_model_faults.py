"""Random faults of the simulated fleet, drawn from the simulation's seed; most end after a duration."""

from collections import Counter
from collections.abc import Callable

from paddlequay.lab.cluster_model_auditor import Auditor
from paddlequay.lab.cluster_model_router import SimulatedRouter

# After a fault has ended, others may still suspect an affected router and declare it dead, until it refutes.
RECOVERY_S = 8.0
EXTRA_DELAY_S = 1.0
FAULT_DURATIONS_S = (0.5, 1.5, 3.0, 6.0)
FAULTS_PER_S = 1.2
LOSS_RATIOS = (0.1, 0.5, 0.9)
FOREIGN_DATAGRAMS_PER_S = 300.0
FLAP_END_S = 2.0  # time from the end of the flapping to the end of all faults
SURGE_CHARGES = 10  # at each router
SURGE_S = 0.01
SHIFTED_DEMAND_PER_S = 400.0
REMAINING_DEMAND_PER_S = 2.0

ApplyFault = Callable[[SimulatedRouter, float], None]


class FaultInjector:
    """Applies random faults until a true time. A fault takes a router and a duration in seconds."""

    def __init__(self, auditor: Auditor, until: float) -> None:
        self.auditor = auditor
        self.workload = auditor.workload
        self.simulation = auditor.simulation
        self.rng = self.simulation.rng
        self.until = until
        self.counts: Counter[str] = Counter()
        # The names appear in results and histories.
        self._faults: dict[str, ApplyFault] = {
            "stop": self._stall,
            "die": self._kill,
            "restart": self._restart,
            "crowd": self._share_core,
            "far": self._delay,
            "lossy": self._lose,
            "one_way": self._cut_one_way,
            "noise": self._inject_foreign,
            "flap": self._flap_zone,
            "split": self._split,
            "parent": self._end_parent,
            "shift": self._shift_demand,
            "surge": self._surge,
            "mass": self._restart_half,
        }

    def apply_next(self) -> None:
        """Applies one random fault, and schedules the next one."""
        simulation = self.simulation
        if simulation.now >= self.until:
            return
        router = self.rng.choice(simulation.routers)
        duration_s = self.rng.choice(FAULT_DURATIONS_S)
        name = self.rng.choice(tuple(self._faults))
        self.counts[name] += 1
        simulation.log_event("fault", name, router.number, duration_s)
        self._faults[name](router, min(duration_s, self.until - simulation.now))
        simulation.schedule(simulation.now + self.rng.expovariate(FAULTS_PER_S), self.apply_next)

    def _excuse_death(self, router: SimulatedRouter, duration_s: float) -> None:
        router.excuse_death(self.simulation.now + duration_s + RECOVERY_S)

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        self.simulation.schedule(self.simulation.now + seconds, call)

    def _stall(self, router: SimulatedRouter, duration_s: float) -> None:
        self._excuse_death(router, duration_s)
        if router.node is not None:
            self.simulation.stall(router, duration_s)

    def _kill(self, router: SimulatedRouter, duration_s: float) -> None:
        self._excuse_death(router, duration_s)
        if router.node is not None:
            self.simulation.kill_process(router)
            self._after(duration_s, lambda: self._start(router))

    def _start(self, router: SimulatedRouter) -> None:
        if router.node is None:
            self.simulation.start_process(router)

    def _restart(self, router: SimulatedRouter, duration_s: float) -> None:
        self._kill(router, 0.0)

    def _restart_half(self, router: SimulatedRouter, duration_s: float) -> None:
        """Restarts half of the routers at the same time, after a surge has used up all quotas."""
        self._surge(router, duration_s)
        for each in self.rng.sample(self.simulation.routers, self.simulation.size // 2):
            self.simulation.schedule(self.simulation.now + 0.02, self._kill_briefly, each)
        self._after(0.5, lambda: self._surge(router, duration_s))

    def _kill_briefly(self, router: SimulatedRouter) -> None:
        self._kill(router, self.rng.choice((0.0, 0.0, 0.3)))

    def _share_core(self, router: SimulatedRouter, duration_s: float) -> None:
        self._excuse_death(router, duration_s)
        router.shares_core = True
        self._after(duration_s, lambda: setattr(router, "shares_core", False))

    def _delay(self, router: SimulatedRouter, duration_s: float) -> None:
        self._excuse_death(router, duration_s + EXTRA_DELAY_S)
        router.extra_delay_s = EXTRA_DELAY_S
        self._after(duration_s, lambda: setattr(router, "extra_delay_s", 0.0))

    def _lose(self, router: SimulatedRouter, duration_s: float) -> None:
        self._excuse_death(router, duration_s)
        router.loss_ratio = self.rng.choice(LOSS_RATIOS)
        self._after(duration_s, lambda: setattr(router, "loss_ratio", 0.0))

    def _cut_one_way(self, router: SimulatedRouter, duration_s: float) -> None:
        """Blocks the links from a router to some or all others, or the links from them to it."""
        others = [other for other in self.simulation.routers if other is not router]
        others = self.rng.sample(others, self.rng.choice((1, len(others) // 2, len(others))))
        cuts = {(router.number, other.number) for other in others}
        if self.rng.random() < 0.5:
            cuts = {(receiver, sender) for sender, receiver in cuts}
        for each in (router, *others):
            self._excuse_death(each, duration_s)
        network = self.simulation.network
        network.blocked_links |= cuts
        self._after(duration_s, lambda: network.blocked_links.difference_update(cuts))

    def _inject_foreign(self, router: SimulatedRouter, duration_s: float) -> None:
        until = self.simulation.now + duration_s
        self.simulation.inject_foreign(router, FOREIGN_DATAGRAMS_PER_S, until)

    def _flap_zone(self, router: SimulatedRouter, duration_s: float) -> None:
        for each in self.simulation.routers:
            self._excuse_death(each, duration_s + 4)
        until = min(self.simulation.now + duration_s, self.until - FLAP_END_S)
        self.simulation.network.flap_zone(router.zone, until)

    def _split(self, router: SimulatedRouter, duration_s: float) -> None:
        """Partitions the network into two random sides."""
        for each in self.simulation.routers:
            self._excuse_death(each, duration_s)
            each.partition_side = self.rng.randrange(2)
        self._after(duration_s, self._end_split)

    def _end_split(self) -> None:
        for router in self.simulation.routers:
            router.partition_side = 0

    def _end_parent(self, router: SimulatedRouter, duration_s: float) -> None:
        parent = self.rng.choice(self.workload.parents)
        self.auditor.set_parent_state(parent, False, self.rng.random() < 0.5)
        self._after(duration_s, lambda: self.auditor.set_parent_state(parent, True))

    def _shift_demand(self, router: SimulatedRouter, duration_s: float) -> None:
        """Moves most of the demand to one or three routers; the fault does not end."""
        selected = self.rng.sample(self.simulation.routers, self.rng.choice((1, 3)))
        for each in self.simulation.routers:
            per_s = SHIFTED_DEMAND_PER_S / len(selected) if each in selected else REMAINING_DEMAND_PER_S
            self.workload.set_demand(each, per_s)

    def _surge(self, router: SimulatedRouter, duration_s: float) -> None:
        """Requests `SURGE_CHARGES` charges at each router within `SURGE_S`."""
        for each in self.simulation.routers:
            for _ in range(SURGE_CHARGES):
                when = self.simulation.now + self.rng.random() * SURGE_S
                self.simulation.schedule(when, self.workload.request_charge, each)
