"""Audits the guarantees of real routers from the records of stand-ins, clients' answers and status pages.

The audit does not rely on a router's own claim that a guarantee holds. Admitted requests are counted where
they arrive, and answers at the clients. Two routers count as holders of a lease at once only if one was
observed to hold it between two observations of the other.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from paddlequay.lab.fleet_rig import FleetSnapshot


def max_excess(times: Iterable[float], rate_per_s: float, burst: float, max_delay_s: float) -> float:
    """Returns the greatest number of requests by which a limit was exceeded in any window; 0 if it held.

    The requests are read once, as by a leaky bucket: the level falls at the limit's rate, and each request
    adds one to it.

    Args:
        times: when requests arrived, in seconds.
        rate_per_s: the limit's rate.
        burst: the limit's burst, in requests.
        max_delay_s: the longest time between the admission and the arrival.
    """
    max_level = 0.0
    level = 0.0
    previous: float | None = None
    for at in sorted(times):
        level = 1.0 if previous is None else max(0.0, level - rate_per_s * (at - previous)) + 1.0
        max_level = max(max_level, level)
        previous = at
    return max(0.0, max_level - burst - rate_per_s * max_delay_s)


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """What a router's status page showed of a lease; `term` is None if the router did not hold it."""

    at: float
    router: int
    term: int | None


def observe_lease(snapshots: Iterable[FleetSnapshot], lease: str) -> list[LeaseObservation]:
    """Returns all observations of a lease, in order of time."""
    observations = []
    for snapshot in snapshots:
        for router, page in snapshot.pages.items():
            shown = page.get("leases", {}).get(lease)
            if shown is not None:
                observations.append(LeaseObservation(float(page["at"]), router, shown["term"]))
    return sorted(observations, key=lambda observation: observation.at)


def count_double_holders(observations: Sequence[LeaseObservation]) -> int:
    """Returns how often a router held a lease between two observations of another in one term of that one."""
    spans: dict[tuple[int, int], list[float]] = {}
    for observation in observations:
        if observation.term is not None:
            key = (observation.router, observation.term)
            span = spans.setdefault(key, [observation.at, observation.at])
            span[1] = observation.at
    return sum(
        1
        for observation in observations
        if observation.term is not None
        for (router, _), (first, last) in spans.items()
        if router != observation.router and first < observation.at < last
    )


def count_decreasing_terms(observations: Sequence[LeaseObservation]) -> int:
    """Returns how often a lease was first observed under a term lower than an earlier one."""
    known: set[int] = set()
    count = 0
    for observation in observations:
        if observation.term is not None and observation.term not in known:
            count += bool(known) and observation.term < max(known)
            known.add(observation.term)
    return count


def longest_without_holder(observations: Sequence[LeaseObservation], begin: float, end: float) -> float:
    """Returns the longest time in seconds in which no router was observed to hold a lease."""
    held_at = sorted(
        {
            observation.at
            for observation in observations
            if observation.term is not None and begin <= observation.at <= end
        }
    )
    return max(after - before for before, after in zip([begin, *held_at], [*held_at, end], strict=True))


def find_repeated(charges: Mapping[str, int]) -> list[str]:
    """Returns the charges that the origin has executed more than once."""
    return [name for name, count in charges.items() if count > 1]


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """One answer that a client has received. Times are Unix seconds."""

    requested_at: float
    received_at: float
    request_id: str
    status: str


def find_wrong_answers(
    requests: Iterable[str], answers: Iterable[ClientAnswer], excused: Iterable[str]
) -> list[str]:
    """Returns the requests with several answers, or with none although their router was not killed.

    Args:
        requests: the ids of all requests.
        answers: all answers.
        excused: the ids of requests whose router was killed or stopped meanwhile.
    """
    counts = Counter(answer.request_id for answer in answers)
    may_have_none = set(excused)
    return [
        request
        for request in requests
        if counts[request] > 1 or (counts[request] == 0 and request not in may_have_none)
    ]
