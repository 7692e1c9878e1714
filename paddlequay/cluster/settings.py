"""What an installation sets of the cluster, as its parts take it; `schema/cluster.py` reads the file."""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from paddlequay.cluster.types import ClusterBounds, Peer


class Mode(Enum):
    """What a limit does where its holder cannot be reached."""

    STRICT = "strict"  # never over: a router that is cut off has its floor
    OPEN = "open"  # service first: it goes on with its last share, over the whole by a stated multiple


class By(Enum):
    """What a limit is kept for, one of each apart."""

    CLASS = "class"
    TENANT = "tenant"
    GROUP = "group"
    SOURCE = "source"  # a parent or the origin
    MEMBER = "member"  # a cache


@dataclass(frozen=True, slots=True)
class LimitRule:
    """A limit over all routers. Either `rate` (a second, with `burst`) or `at_once` is told."""

    name: str
    by: By
    match: str  # of what: a class, a tenant, a group's number, a member's name or kind; "*": each of them
    rate: float | None = None
    burst: float = 1.0
    at_once: int | None = None
    mode: Mode = Mode.STRICT
    over: float = 2.0  # with OPEN: the multiple of the limit that is never passed, whoever is cut off
    floor: float = 0.2  # share of the limit that is divided evenly among all routers, whatever they need


@dataclass(frozen=True, slots=True)
class ChannelRule:
    """Which requests make live channels, and how channels are owned."""

    classes: tuple[str, ...]
    bundles: int = 64  # leases of a zone that its channels share
    prefetch_parts: int = 1  # parts that the owner fills beyond the highest one read
    idle_timeout_s: float = 3.0  # a channel that is not read for so long ends
    max_channels: int = 4096  # remembered at a router
    rebalance_ratio: float = (
        1.5  # of the mean load of the zone's routers, above which an owner moves a bundle
    )


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """One router's settings of the cluster."""

    name: str  # of the installation: datagrams of others are foreign
    acceptors: tuple[Peer, ...]
    bounds: ClusterBounds = field(default_factory=ClusterBounds)
    bytes_per_s: int = 16_000  # sent by this router at most; what goes to all counts for each receiver
    pings: float = 1.0  # a second
    verdicts: bool = True
    limits: tuple[LimitRule, ...] = ()
    channels: ChannelRule | None = None
    rules: Path | None = None  # placement rules
