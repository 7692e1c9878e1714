"""Types that the cluster's components share: names, settings, actions, events and the component interface.

A component is a pure state machine: it receives messages, events of other components and the time, and
returns actions.

`now` is the process's monotonic clock in seconds, which also advances while the process is stopped. Clocks of
different processes are never compared. Where safety depends on elapsed time, each side allows for the clock
drift `ClusterBounds.drift_ratio`: a router ends what it holds itself (a lease or a quota) earlier by this
ratio, and waits longer by this ratio for what others hold to end.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol

from paddlequay.cluster.messages import PeerMessage

Peer = int  # a router's number: its index in the setting `peers`; its own number is the setting `me`
NameDigest = int  # 64-bit digest (placement.homes.digest) of a lease's, limit's, subject's or channel's name
# Returns the term under which this router holds a lease at the given time; None if it does not hold it.
HeldTerm = Callable[[NameDigest, float], int | None]

MAX_PEERS = 4096
NEVER = math.inf


class Urgency(IntEnum):
    """The order in which the outbox sends messages while the byte limit delays them; old ones are dropped."""

    LEASE = 0  # lease messages, and replies that a peer waits for
    CHANGE = 1  # reports of changed state
    ROUTINE = 2  # state that is sent again periodically


class PeerState(Enum):
    """What this router believes about a peer."""

    UNKNOWN = "unknown"  # nothing received about the peer since this process started
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class ClusterBounds:
    """Time limits, which must be the same in all routers of the fleet."""

    drift_ratio: float = 0.05  # how much faster one monotonic clock may run than another, at most
    lease_s: float = 1.5  # the longest lease; a restarted acceptor does not vote for as long
    grant_validity_s: float = 0.6  # the longest validity of a quota grant; routers renew it earlier
    suspicion_timeout_s: float = 1.0  # a suspect that has not refuted by then is declared dead
    evidence_s: float = 2.0  # evidence older than this is ignored
    overlap_s: float = 0.5  # how long a channel's previous owner may still fill after a planned handoff
    epoch_validity_s: float = 30.0  # how long a router uses its placement epoch without confirmation


@dataclass(frozen=True, slots=True)
class Fleet:
    """The routers of the fleet, numbered 0 to `size` - 1; `me` is this router, `acceptors` vote on leases."""

    me: Peer
    size: int
    acceptors: tuple[Peer, ...] = ()
    zone: str = ""

    @property
    def majority(self) -> int:
        """Returns the number of acceptors that form a quorum."""
        return len(self.acceptors) // 2 + 1


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message to one peer or, if `to` is None, to all other routers."""

    to: Peer | None
    message: PeerMessage
    urgency: Urgency = Urgency.ROUTINE


@dataclass(frozen=True, slots=True)
class PeerChanged:
    """From liveness: a peer's state has changed, or the peer has restarted."""

    peer: Peer
    incarnation: int
    state: PeerState


@dataclass(frozen=True, slots=True)
class SelfChanged:
    """From liveness: this router's own connectivity has changed. It is isolated unless both are true."""

    receives: bool  # datagrams of peers arrive at this router
    reaches: bool  # peers acknowledge pings of this router


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """From leases: this router has acquired a lease that ends at `until` by its own clock, unless renewed.

    Emitted once per term; a renewal extends the lease without an event. Before relying on the lease, ask
    `Leases.holds`.
    """

    lease: NameDigest
    term: int
    until: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """From leases: this router no longer holds a lease, which was released, has expired or was rejected."""

    lease: NameDigest
    term: int


@dataclass(frozen=True, slots=True)
class HolderObserved:
    """From leases: another router appears to hold a lease. A hint where to send requests, not a proof."""

    lease: NameDigest
    holder: Peer
    term: int


@dataclass(frozen=True, slots=True)
class VerdictChanged:
    """From verdicts: the fleet's verdict on a subject, valid until `until`; `fault` None withdraws it."""

    subject: NameDigest
    fault: "Fault | None"
    until: float


@dataclass(frozen=True, slots=True)
class ChannelOwnership:
    """From channels: this router now owns a channel under `term` or, if `term` is 0, no longer owns it."""

    channel: NameDigest
    term: int


@dataclass(frozen=True, slots=True)
class TableChanged:
    """From tables: the epoch now in use, and until when the previous table's homes are asked first."""

    epoch: int
    digest: int
    previous: int | None  # digest of the previous table
    previous_until: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the operators' log; `EventLog` limits the rate of lines."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()


class Fault(IntEnum):
    """A fault that routers may observe in a source or a cache."""

    FAILING = 1  # its answers fail
    SILENT = 2  # does not answer
    COLD = 3  # restarted, though the endpoint list does not show it yet
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
    """One component of the cluster. Each call returns the actions to execute now, in order."""

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a message of one of its `HANDLED_MESSAGES`. Raises no error, even for invalid content."""
        ...

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Handles an event of another component."""
        ...

    def tick(self, now: float) -> list[Action]:
        """Handles timers. Called when `due` is reached, possibly earlier or, after a stall, much later."""
        ...

    def due(self) -> float:
        """Returns when `tick` next has work; `NEVER` while no timer is set."""
        ...


def earliest(components: Iterable[Component]) -> float:
    """Returns the earliest time at which one of the components is due."""
    return min((component.due() for component in components), default=NEVER)
