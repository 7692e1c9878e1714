"""The rule by which evidence of several routers becomes a verdict.

A verdict is a fault that at least `MIN_WITNESSES` routers have observed and that has more than half of the
weight of all valid evidence on the subject. A router weighs 1 after one attempt and `MAX_WEIGHT` after more.
"""

from dataclasses import dataclass

from paddlequay.cluster.types import Fault

MIN_WITNESSES = 2  # what a single router has observed stays its own business
MAX_WEIGHT = 2  # one attempt fails by chance, two in a row seldom; a busy router must not outvote others

DOWN_FAULTS = (Fault.FAILING, Fault.SILENT)


@dataclass(slots=True)
class Observation:
    """What one router, this one or a peer, has observed of a subject."""

    incarnation: int  # of the peer; 0 for this router itself
    subject_start_ms: int  # Unix time of the subject's start; 0 unknown
    fault: int  # a `Fault`, or 0 while the subject serves
    attempt_count: int  # attempts in a row with the same end
    observed_at: float  # by this router's clock, of peers after their stated age and the drift
    other_member_count: int  # members of the same kind that serve the observing router

    @property
    def weight(self) -> int:
        """Returns how much this observation counts."""
        return min(self.attempt_count, MAX_WEIGHT)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The fleet's verdict on a subject, as it counts for this router now."""

    fault: Fault
    witness_count: int
    age_s: float  # at most, of the oldest evidence in it


def fault_group(fault: int) -> int:
    """Returns what supports the same verdict: a dead member fails for one router and is silent to another."""
    return Fault.FAILING if fault == Fault.SILENT else fault


def find_witnesses(valid: list[Observation]) -> list[Observation] | None:
    """Returns the observations that carry a verdict; None where the evidence does not suffice for one.

    Args:
        valid: all evidence on a subject that counts now, at most one observation a router.
    """
    total_weight = sum(observation.weight for observation in valid)
    for group in {fault_group(observation.fault) for observation in valid if observation.fault}:
        witnesses = [observation for observation in valid if fault_group(observation.fault) == group]
        has_majority = 2 * sum(witness.weight for witness in witnesses) > total_weight
        if len(witnesses) >= MIN_WITNESSES and has_majority:
            return witnesses
    return None


def most_common_fault(witnesses: list[Observation]) -> Fault:
    """Returns the fault that most witnesses state; the lowest number of several."""
    faults = [witness.fault for witness in witnesses]
    return Fault(max(sorted(set(faults)), key=faults.count))


def is_outweighed(valid_of_peers: list[Observation]) -> bool:
    """Returns whether peers that are served have twice the weight of those with a fault, and more."""
    serving = sum(observation.weight for observation in valid_of_peers if not observation.fault)
    failing = sum(observation.weight for observation in valid_of_peers if observation.fault)
    return serving >= 2 * failing + 2 * MAX_WEIGHT
