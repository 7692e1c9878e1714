"""All parts of one router's cluster as one: notes in, datagrams out, what one part finds told to the others.

Pure like its parts: `net/cluster/peers.py` brings datagrams and time. What the router itself is to know comes
back from each call as news; what it asks at the moment of use it asks of the parts (`limits`, `verdicts`).
"""

import random
from collections.abc import Sequence

from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.members import first_incarnation
from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    Action,
    Fleet,
    LocalEvent,
    LogEvent,
    NameDigest,
    Part,
    Peer,
    SendMessage,
    earliest,
)
from paddlequay.cluster.verdicts import Verdicts
from paddlequay.cluster.wire import Codec, Head, Wire

ClusterEvent = LocalEvent | LogEvent

MAX_FOLLOWING_ACTIONS = (
    10_000  # actions that follow from one event: past it a part answers itself without end
)


class UnsettledError(RuntimeError):
    """Parts that tell each other news without end: a fault of theirs."""


class Node:
    """One router's cluster. `unix` is the start's Unix time in seconds: it names this process's life.

    `longest` is the longest that a request takes: a limit on requests out at once reckons with it. The parts
    that the settings leave out are None. Nothing here raises for what peers say.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        fleet: Fleet,
        unix: float,
        seed: int,
        now: float,
        longest: float = 10.0,
        first: bool = False,
    ) -> None:
        incarnation = first_incarnation(int(unix * 1000))
        rng = random.Random(seed << 64 | incarnation)  # each life draws anew: a nonce is used by one alone
        self.settings, self.fleet = settings, fleet
        self.wire = Wire(Codec(settings.name, fleet.size), fleet, incarnation)
        self.outbox = Outbox(self.wire, settings.bytes_per_s, settings.bounds, now)
        self.liveness = Liveness(fleet, settings, incarnation, rng, now)
        self.verdicts = Verdicts(fleet, settings, now) if settings.verdicts else None
        self.leases = Leases(fleet, settings.bounds, rng, now) if fleet.acceptors else None
        self.limits: FleetLimits | None = None
        if settings.limits and self.leases is not None:
            self.limits = FleetLimits(
                fleet,
                settings.bounds,
                settings.limits,
                self.holds,
                incarnation,
                now,
                slot_grant_extension_s=longest,
                max_request_s=longest,
                is_first_process=first,
            )
        self.parts: list[Part] = [self.liveness]
        self.hears: dict[type[PeerMessage], Part] = dict.fromkeys(Liveness.HANDLED_MESSAGES, self.liveness)
        self.begun: list[Action] = []
        for part in (self.verdicts, self.leases, self.limits):
            if part is not None:
                self.join(part, part.HANDLED_MESSAGES)
        if self.limits is not None and self.leases is not None and fleet.me in fleet.acceptors:
            # Only those who vote bid: two hundred bidders for each lease would be all the traffic there is.
            for lease in self.limits.leases:
                self.begun += self.leases.request(lease, now)

    def join(self, part: Part, hears: Sequence[type[PeerMessage]]) -> None:
        """One more part, which hears notes of these kinds."""
        self.parts.append(part)
        self.hears.update(dict.fromkeys(hears, part))

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """The term under which this router holds a lease now."""
        return None if self.leases is None else self.leases.holds(lease, now)

    # --- events ---

    def handle_message(
        self, sender: Peer, head: Head, messages: Sequence[PeerMessage], now: float
    ) -> list[ClusterEvent]:
        """A datagram has come, and was taken in."""
        if self.leases is not None:
            self.leases.observe_counter(head.clock)
        events = self.settle(self.liveness.seen(sender, head.incarnation, now), now)
        for message in messages:
            part = self.hears.get(type(message))
            if part is not None:
                events += self.settle(part.handle_message(sender, head.incarnation, message, now), now)
        return events

    def tick(self, now: float) -> list[ClusterEvent]:
        """Time has passed."""
        events = self.settle(self.begun, now)
        self.begun = []
        for part in self.parts:
            if part.due() <= now:
                events += self.settle(part.tick(now), now)
        return events

    def leave(self, now: float) -> list[ClusterEvent]:
        """Give back all leases, so that nobody has to wait for their end; bids are over."""
        events: list[ClusterEvent] = []
        if self.leases is not None and self.limits is not None:
            for lease in self.limits.leases:
                events += self.settle(self.leases.release(lease, now), now)
        return events

    def due(self) -> float:
        """When `tick` is next to be called."""
        return earliest(self.parts) if not self.begun else float("-inf")

    def settle(self, actions: Sequence[Action], now: float) -> list[ClusterEvent]:
        """Let notes go, and tell all parts what one has found, until nothing follows any more."""
        events: list[ClusterEvent] = []
        waiting = list(actions)
        for place, action in enumerate(waiting):
            if place >= MAX_FOLLOWING_ACTIONS:
                raise UnsettledError(f"{MAX_FOLLOWING_ACTIONS} actions after one event, the last {action}")
            if isinstance(action, SendMessage):
                self.outbox.put(action, now)
                continue
            events.append(action)
            if not isinstance(action, LogEvent):
                for part in self.parts:
                    waiting += part.handle_event(action, now)
        self.wire.incarnation = self.liveness.incarnation
        if self.leases is not None:
            self.wire.clock = max(self.wire.clock, self.leases.highest_counter)
        return events
