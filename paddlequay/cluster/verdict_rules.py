"""The rule by which evidence of several routers becomes a verdict.

A fault becomes a verdict if at least `MIN_WITNESSES` routers have observed it and their evidence has more
than half of the weight of all valid evidence on the subject. Evidence has weight 1 after one attempt and
`MAX_WEIGHT` after more attempts.
"""

from dataclasses import dataclass

from paddlequay.cluster.types import Fault

MIN_WITNESSES = 2  # what only one router observes is left to that router
# One attempt may fail by chance, two in a row rarely do. With a higher weight, a busy router would outvote
# other routers.
MAX_WEIGHT = 2

DOWN_FAULTS = (Fault.FAILING, Fault.SILENT)


@dataclass(slots=True)
class Observation:
    """The evidence of one router, this one or a peer, on a subject."""

    incarnation: int  # of the peer; 0 for this router itself
    subject_start_ms: int  # Unix time of the subject's start; 0 unknown
    fault: int  # a `Fault`, or 0 if the subject serves
    attempt_count: int  # attempts in a row with the same result
    observed_at: float  # by this router's clock; for peers derived from the stated age and the clock drift
    other_member_count: int  # members of the same kind that serve the observing router

    @property
    def weight(self) -> int:
        """Returns the weight of this observation in a vote."""
        return min(self.attempt_count, MAX_WEIGHT)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The fleet's verdict on a subject, as this router evaluates it now."""

    fault: Fault
    witness_count: int
    age_s: float  # the highest possible age of the oldest evidence that supports it


def fault_group(fault: int) -> int:
    """Returns the group of a fault; faults of one group support the same verdict.

    FAILING and SILENT are one group, since a dead member may fail for one router and be silent to another.
    """
    return Fault.FAILING if fault == Fault.SILENT else fault


def find_witnesses(valid: list[Observation]) -> list[Observation] | None:
    """Returns the observations that support a verdict; None if the evidence does not suffice for one.

    Args:
        valid: all valid evidence on a subject, at most one observation per router.
    """
    total_weight = sum(observation.weight for observation in valid)
    for group in {fault_group(observation.fault) for observation in valid if observation.fault}:
        witnesses = [observation for observation in valid if fault_group(observation.fault) == group]
        has_majority = 2 * sum(witness.weight for witness in witnesses) > total_weight
        if len(witnesses) >= MIN_WITNESSES and has_majority:
            return witnesses
    return None


def most_common_fault(witnesses: list[Observation]) -> Fault:
    """Returns the fault that most witnesses report; on a tie, the one with the lowest number."""
    faults = [witness.fault for witness in witnesses]
    return Fault(max(sorted(set(faults)), key=faults.count))


def is_outweighed(valid_of_peers: list[Observation]) -> bool:
    """Returns whether peers without a fault outweigh those with one: by 2 to 1, plus two full weights."""
    serving = sum(observation.weight for observation in valid_of_peers if not observation.fault)
    failing = sum(observation.weight for observation in valid_of_peers if observation.fault)
    return serving >= 2 * failing + 2 * MAX_WEIGHT
