"""What the fleet of `rig_slow_start` is made of: classes of requests, and the numbers of a site."""

from dataclasses import dataclass

from paddlequay.routing.interface import (
    Idempotency,
    RequestClass,
    SlowStart,
)


@dataclass(frozen=True)
class Kind:
    """A class of requests: what the settings say of it, its part of the requests, its mean sending time."""

    told: RequestClass
    part: float
    work: float


KINDS = (
    Kind(RequestClass("films", 0.6, 3.0, Idempotency.IDEMPOTENT, 2.0, 2.0), 5.0, 0.41),
    Kind(
        RequestClass("pages", 0.25, 2.0, Idempotency.IDEMPOTENT, 1.0, 2.0, freshness_lifetime=8.0), 3.9, 0.07
    ),
    Kind(RequestClass("orders", 0.7, 3.0, Idempotency.NON_IDEMPOTENT, 3.0, uncacheable=True), 0.3, 0.02),
)
MEAN = sum(kind.part * kind.work for kind in KINDS[:2]) / sum(kind.part for kind in KINDS[:2])


@dataclass
class Site:
    """The numbers that matter of one site and one size of the fleet."""

    edge: SlowStart
    parent: SlowStart
    routers: int
    plazas: int = 1
    edges: int = 5  # of each plaza
    parents: int = 3
    capacity: float = 6.0  # transfers at full pace of a mean edge
    unequal: float = 0.0  # edges' capacities lie evenly so far about the mean
    tells: str = "all"
    reports: bool = True
