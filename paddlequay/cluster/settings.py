"""The settings of the cluster, as its components take them; `schema/cluster.py` reads the file."""

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from paddlequay.cluster.types import ClusterBounds, Peer


class PartitionMode(Enum):
    """What a limit does where its holder cannot be reached."""

    STRICT = "strict"  # never exceeds the limit: an isolated router has its floor
    OPEN = "open"  # availability first: an isolated router retains a part of its last grant


class LimitScope(Enum):
    """What a limit is kept for, each value of it apart."""

    CLASS = "class"
    TENANT = "tenant"
    GROUP = "group"
    SOURCE = "source"  # a parent or the origin
    MEMBER = "member"  # a cache


@dataclass(frozen=True, slots=True)
class LimitRule:
    """A limit over all routers, on a rate or on requests in flight; exactly one of both is set.

    Attributes:
        name: Names the limit to all routers.
        scope: What it is kept for.
        match: A class, a tenant, a group's number, a member's name or kind; "*" for each of them.
        rate_per_s: Requests per second.
        burst: Requests at once, beside the rate.
        max_in_flight: Requests in flight.
        mode: What it does where the holder cannot be reached.
        open_factor: With `PartitionMode.OPEN`, the multiple of the limit that is never exceeded.
        floor_ratio: The part that is divided evenly among all routers, whatever their demand.
    """

    name: str
    scope: LimitScope
    match: str
    rate_per_s: float | None = None
    burst: float = 1.0
    max_in_flight: int | None = None
    mode: PartitionMode = PartitionMode.STRICT
    open_factor: float = 2.0
    floor_ratio: float = 0.2


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
    """One router's settings of the cluster.

    Attributes:
        name: Of the installation; datagrams of other installations are ignored.
        acceptors: The routers that vote on leases.
        bounds: The times that all routers share.
        bytes_per_s: What this router sends at most; a message to all counts for each receiver.
        pings_per_s: How often this router probes a peer.
        verdicts: Whether routers share verdicts on sources and caches.
        limits: The limits over all routers.
        channels: How live channels are owned, None where they are not.
        placement_rules: The file of the placement rules, None for plain homes.
    """

    name: str
    acceptors: tuple[Peer, ...]
    bounds: ClusterBounds = field(default_factory=ClusterBounds)
    bytes_per_s: int = 16_000
    pings_per_s: float = 1.0
    verdicts: bool = True
    limits: tuple[LimitRule, ...] = ()
    channels: ChannelRule | None = None
    placement_rules: Path | None = None
