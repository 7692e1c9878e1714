"""Types that the cluster's components share: names, settings, actions, events and the component interface.

A component is a pure state machine: it receives messages, events of other components and the time, and
returns actions.
`now` is the process's monotonic clock in seconds, which also runs while the process is stopped; clocks of
different processes are never compared. Where safety rests on elapsed time, each side allows for the clock
drift `ClusterBounds.drift_ratio`: what a router holds ends early by it, what it waits for ends late by it.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from paddlequay.cluster.messages import PeerMessage

Peer = int  # a router's number: its index in `peers`, `me` in the settings
NameDigest = int  # 64-bit digest (placement.homes.digest) of a lease's, limit's, subject's or channel's name
HeldTerm = Callable[[NameDigest, float], int | None]  # term of a lease held by this router at a moment

MAX_PEERS = 4096
NEVER = math.inf


class Urgency(IntEnum):
    """The order in which messages leave while the byte rate is limited; old ones are dropped."""

    LEASE = 0  # leases, and answers that others wait for
    CHANGE = 1  # state that has changed
    ROUTINE = 2  # state that is repeated anyway


class PeerState(Enum):
    """What this router believes about a peer."""

    UNKNOWN = "unknown"  # not heard of since this process started
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class ClusterBounds:
    """Time limits that every router of the fleet has to share."""

    drift_ratio: float = 0.05  # the most by which one elapsed clock runs faster than another
    lease_s: float = 1.5  # the longest lease; a restarted acceptor abstains for as long
    grant_validity_s: float = 0.6  # the longest validity of a granted quota; a client renews it earlier
    suspicion_timeout_s: float = 1.0  # a suspected peer that has not refuted by then is dead
    evidence_s: float = 2.0  # older evidence is ignored
    overlap_s: float = 0.5  # of a planned handoff of a channel
    epoch_validity_s: float = 30.0  # for how long a router uses its placement epoch unconfirmed


@dataclass(frozen=True, slots=True)
class Fleet:
    """The routers: their numbers 0 to `size` - 1, this router's own, the acceptors of leases, its zone."""

    me: Peer
    size: int
    acceptors: tuple[Peer, ...] = ()
    zone: str = ""

    @property
    def majority(self) -> int:
        """Returns how many acceptors make a quorum."""
        return len(self.acceptors) // 2 + 1


# --- actions and events ---


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message to one peer, or to all others (`to` None), never to the component itself."""

    to: Peer | None
    message: PeerMessage
    urgency: Urgency = Urgency.ROUTINE


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """Liveness: a peer's state has changed, or the peer has restarted."""

    peer: Peer
    incarnation: int
    state: PeerState


@dataclass(frozen=True, slots=True)
class SelfChanged:
    """Liveness: whether this router is isolated has changed. It is connected while both are true."""

    receives: bool  # datagrams of others arrive here
    reaches: bool  # others confirm that this router's datagrams arrive there


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Leases: this router holds a lease from now until `until` at most, by its own clock, under a term.

    Sent once a term; renewals move the end without an event. `Leases.holds` decides at the moment of use.
    """

    lease: NameDigest
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Leases: this router no longer holds a lease: it was released, has expired or was rejected."""

    lease: NameDigest
    term: int


@dataclass(frozen=True, slots=True)
class HolderObserved:
    """Leases: another router appears to hold a lease. A hint where to send requests, never a proof."""

    lease: NameDigest
    holder: Peer
    term: int


@dataclass(frozen=True, slots=True)
class VerdictChanged:
    """Verdicts: the fleet's verdict on a subject, valid until `until` at most; None withdraws it."""

    subject: NameDigest
    fault: "Fault | None"
    until: float


@dataclass(frozen=True, slots=True)
class ChannelOwnership:
    """Channels: this router owns a channel from now on, or (`term` 0) no longer does."""

    channel: NameDigest
    term: int


@dataclass(frozen=True, slots=True)
class TableChanged:
    """Tables: the epoch in use, and until when the previous table's homes are asked first."""

    epoch: int
    digest: int
    previous: int | None  # digest of the previous table
    previous_until: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators' log; the driver limits the rate."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


class Fault(IntEnum):
    """What may be wrong with a source or a cache."""

    FAILING = 1  # answers with failures
    SILENT = 2  # does not answer
    COLD = 3  # restarted, before the endpoint list reports it
    FULL = 4  # its link is saturated


LocalEvent = (
    PeerChanged
    | SelfChanged
    | LeaseAcquired
    | LeaseLost
    | HolderObserved
    | VerdictChanged
    | ChannelOwnership
    | TableChanged
)
Action = SendMessage | LogEvent | LocalEvent


class Component(Protocol):
    """One component of the cluster. Each call returns the actions to take now, in order."""

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a message of one of the `HANDLED_MESSAGES`. Raises nothing, whatever the message holds."""
        ...

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Handles an event of another component."""
        ...

    def tick(self, now: float) -> list[Action]:
        """Handles the passing of time. Called at `due`, possibly earlier and, after a stall, much later."""
        ...

    def due(self) -> float:
        """Returns when `tick` next has work; `NEVER` while nothing is waited for."""
        ...


def earliest(components: Iterable[Component]) -> float:
    """Returns when the first of several components is due."""
    return min((component.due() for component in components), default=NEVER)
