"""Runs of the simulated fleet: with one gray failure each, or with a whole day of seeded random faults."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from paddlequay.cluster.node import ClusterNode
from paddlequay.cluster.settings import ClusterSettings, LimitRule, LimitScope
from paddlequay.cluster.types import PeerState
from paddlequay.lab.cluster_model_auditor import Auditor
from paddlequay.lab.cluster_model_faults import EXTRA_DELAY_S, FaultInjector
from paddlequay.lab.cluster_model_fleet import FleetSimulation
from paddlequay.lab.cluster_model_network import LinkModel
from paddlequay.lab.cluster_model_router import SimulatedRouter

MAX_ACCEPTORS = 5
# The holder sends 70 bytes 2.5 times a second to each router above its floor; other routers send less.
BASE_BYTES_PER_S = 16_000
BYTES_PER_S_FOR_EACH_ROUTER = 320
LIMIT_PER_S = 200.0
MIN_BURST = 20.0
MEAN_CHARGE_S = 0.28
FIRST_ATTEMPT_AT_S = 1.0

VICTIM = 7  # number of the router that a gray failure affects
FAILURE_BEGIN_S = 8.0
FAILURE_END_S = 20.0
STALL_S = 4.0

DAY_S = 28.0
FIRST_FAULT_AT_S = 3.0
FAULT_FREE_S = 12.0  # time without new faults at the end of a day
USED_SPAN_S = 3.0  # time at the end of a day over which the use of the limit is measured
MIN_USED_RATIO = 0.6


def make_rules(size: int, rate_per_s: float, burst: float, slot_ratio: float) -> tuple[LimitRule, ...]:
    """Returns two strict limits: on the rate of charges, and on the requests in flight.

    Args:
        size: the number of routers.
        rate_per_s: the limit of charges per second.
        burst: the burst for each router; with 5 or more a router has a floor, with fewer it has none.
        slot_ratio: the limit of requests in flight, as a ratio of the rate; below `MEAN_CHARGE_S` it is the
            lower of the two limits.
    """
    return (
        LimitRule("charges", LimitScope.CLASS, "charge", rate_per_s, max(MIN_BURST, burst * size)),
        LimitRule("places", LimitScope.SOURCE, "parent", max_in_flight=int(rate_per_s * slot_ratio)),
    )


def make_settings(size: int, limits: tuple[LimitRule, ...]) -> ClusterSettings:
    """Returns the cluster settings of a fleet of `size` routers with these limits."""
    acceptors = tuple(range(min(MAX_ACCEPTORS, size)))
    bytes_per_s = BASE_BYTES_PER_S + BYTES_PER_S_FOR_EACH_ROUTER * size
    return ClusterSettings("quay", acceptors, limits=limits, bytes_per_s=bytes_per_s)


def make_fleet(
    seed: int,
    size: int,
    links: LinkModel | None = None,
    demand_ratio: float = 2.0,
    rate_per_s: float = LIMIT_PER_S,
    attempts_per_s: float = 40.0,
    configure: Callable[[SimulatedRouter], None] = lambda router: None,
    node_class: type[ClusterNode] = ClusterNode,
    max_clock_drift: float | None = None,
    burst: float = 5.0,
    slot_ratio: float = 0.5,
) -> Auditor:
    """Returns the auditor of a new fleet with demand for `demand_ratio` of the limit and with attempts."""
    limits = make_rules(size, rate_per_s, burst, slot_ratio)
    simulation = FleetSimulation(
        seed,
        make_settings(size, limits),
        size,
        links,
        configure=configure,
        node_class=node_class,
        max_clock_drift=max_clock_drift,
    )
    auditor = Auditor(simulation, limits)
    workload = auditor.workload
    for router in simulation.routers:
        if demand_ratio:
            workload.set_demand(router, demand_ratio * rate_per_s / size)
        if attempts_per_s:
            simulation.schedule(FIRST_ATTEMPT_AT_S, workload.attempt_repeatedly, router, attempts_per_s)
    return auditor


def _kill(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    simulation.kill_process(victim)


def _restart(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    simulation.kill_process(victim)
    simulation.start_process(victim)


def _stall_once(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    simulation.stall(victim, STALL_S)


def _stall_each_second(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    for second in range(int(FAILURE_END_S - FAILURE_BEGIN_S)):
        simulation.schedule(FAILURE_BEGIN_S + second, simulation.stall, victim, 0.5)


def _share_core(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    victim.shares_core = True


def _leave_clock_fast(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    """Changes nothing: the clock has been fast since the start of the run."""


def _delay(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    victim.extra_delay_s = EXTRA_DELAY_S


def _cut_incoming(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    others = [other for other in simulation.routers if other is not victim]
    simulation.network.blocked_links |= {(other.number, victim.number) for other in others}


def _cut_outgoing(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    others = [other for other in simulation.routers if other is not victim]
    simulation.network.blocked_links |= {(victim.number, other.number) for other in others}


def _lose_half(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    victim.loss_ratio = 0.5


def _inject_foreign(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    for router in simulation.routers:
        simulation.inject_foreign(router, 500.0, FAILURE_END_S)


def _flap_zone(simulation: FleetSimulation, victim: SimulatedRouter) -> None:
    simulation.network.flap_zone(victim.zone, FAILURE_END_S)


FAST_CLOCK = "clock 2% fast"

# The gray failures, by the names that results give them.
GRAY_FAILURES: dict[str, Callable[[FleetSimulation, SimulatedRouter], None]] = {
    "killed": _kill,
    "restarted empty": _restart,
    "stops for 4 s": _stall_once,
    "stops for 0.5 s a second": _stall_each_second,
    "five times late": _share_core,
    FAST_CLOCK: _leave_clock_fast,
    "datagrams take 1 s": _delay,
    "hears nobody": _cut_incoming,
    "is not heard": _cut_outgoing,
    "half lost": _lose_half,
    "foreign 500/s": _inject_foreign,
    "zone flaps": _flap_zone,
}


def run_gray_failure(name: str, seed: int, size: int = 12) -> Mapping[str, Any]:
    """Runs a failure of one router or of its zone, and returns the row that describes it."""

    def configure(router: SimulatedRouter) -> None:
        if router.number == VICTIM and name == FAST_CLOCK:
            router.clock_rate = 1.02

    max_clock_drift = 0.0 if name == FAST_CLOCK else None
    auditor = make_fleet(seed, size, configure=configure, max_clock_drift=max_clock_drift)
    simulation = auditor.simulation
    simulation.run(FAILURE_BEGIN_S)
    GRAY_FAILURES[name](simulation, simulation.routers[VICTIM])
    simulation.run(FAILURE_END_S)
    return describe_gray_failure(name, auditor)


def describe_gray_failure(name: str, auditor: Auditor) -> Mapping[str, Any]:
    """Returns a row on how the fleet has detected and handled a gray failure; times are in seconds."""
    begin = FAILURE_BEGIN_S
    victim_zone = auditor.simulation.routers[VICTIM].zone
    deaths = [change for change in auditor.state_changes if change.state is PeerState.DEAD]
    others_dead = {
        change.peer
        for change in deaths
        if VICTIM not in (change.peer, change.router)
        and auditor.simulation.routers[change.peer].zone != victim_zone
        and change.at > begin
    }
    isolated_at = [
        change.at - begin
        for change in auditor.isolation_changes
        if change.router == VICTIM and change.is_isolated and change.at > begin
    ]
    used_per_s = auditor.workload.admitted_per_s(begin + 4, FAILURE_END_S)
    return {
        "failure": name,
        "suspected_s": rounded(auditor.time_until_state(VICTIM, PeerState.SUSPECT, begin)),
        "dead_first_s": rounded(auditor.time_until_state(VICTIM, PeerState.DEAD, begin)),
        "dead_95_s": rounded(auditor.time_until_state(VICTIM, PeerState.DEAD, begin, 0.95)),
        "knows_itself_s": rounded(min(isolated_at, default=None)),
        "dead_by": len({change.router for change in deaths if change.peer == VICTIM}),
        "others_dead": len(others_dead),
        "false_words": auditor.false_verdicts,
        "used": round(used_per_s / LIMIT_PER_S, 3),
        "most_of_limit": round(auditor.workload.max_limit_ratio, 3),
        "two_holders": auditor.double_holders,
        "terms_back": auditor.decreasing_terms,
    }


def rounded(value: float | None) -> float | None:
    """Returns a time rounded to hundredths of a second."""
    return None if value is None else round(value, 2)


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of a day, equal for equal seeds; `digest` covers the whole history."""

    digest: str
    event_count: int
    faults: Mapping[str, int]
    max_limit_ratio: float
    double_holders: int
    decreasing_terms: int
    wrong_deaths: int
    false_verdicts: int
    admitted_count: int
    acquisition_count: int
    recovered: bool  # at the end all routers consider all alive, and the limit is used

    @property
    def violations(self) -> list[str]:
        """Returns the names of the violated guarantees."""
        checks = {
            "limit": self.max_limit_ratio > 1 + 1e-6,
            "holders": self.double_holders > 0,
            "terms": self.decreasing_terms > 0,
            "healing": not self.recovered,
        }
        return [name for name, violated in checks.items() if violated]


def run_day(
    seed: int,
    size: int = 12,
    seconds: float = DAY_S,
    node_class: type[ClusterNode] = ClusterNode,
    demand_ratio: float = 1.5,
) -> DayResult:
    """Runs a simulated day with random faults of all kinds, until `FAULT_FREE_S` before its end."""
    burst, slot_ratio = ((5.0, 0.5), (1.0, 0.5), (5.0, 0.12))[seed % 3]
    auditor = make_fleet(
        seed,
        size,
        LinkModel(loss_ratio=0.01, duplicate_ratio=0.02),
        demand_ratio,
        attempts_per_s=5.0,
        node_class=node_class,
        burst=burst,
        slot_ratio=slot_ratio,
    )
    simulation = auditor.simulation
    faults = FaultInjector(auditor, seconds - FAULT_FREE_S)
    simulation.schedule(FIRST_FAULT_AT_S, faults.apply_next)
    simulation.run(seconds)
    workload = auditor.workload
    return DayResult(
        simulation.history.digest(),
        simulation.history.event_count,
        dict(sorted(faults.counts.items())),
        workload.max_limit_ratio,
        auditor.double_holders,
        auditor.decreasing_terms,
        auditor.wrong_deaths,
        auditor.false_verdicts,
        len(workload.admitted_at),
        sum(len(acquisitions) for acquisitions in auditor.acquisitions.values()),
        has_recovered(auditor, slot_ratio, seconds),
    )


def has_recovered(auditor: Auditor, slot_ratio: float, end: float) -> bool:
    """Returns whether all routers consider all routers alive, and the limit is used as far as possible."""
    routers = auditor.simulation.routers
    all_alive = all(
        router.node is not None and router.node.liveness.state_of(other.number) is PeerState.ALIVE
        for router in routers
        for other in routers
    )
    demand_per_s = sum(auditor.workload.demand_per_s.values())
    # In addition, up to a quarter stays unused if each router has little burst.
    slots_per_s = slot_ratio * LIMIT_PER_S / MEAN_CHARGE_S * 0.8
    usable_per_s = min(demand_per_s, LIMIT_PER_S, slots_per_s)
    used_per_s = auditor.workload.admitted_per_s(end - USED_SPAN_S, end)
    return all_alive and used_per_s > MIN_USED_RATIO * usable_per_s
