"""Connects the components of one router: dispatches messages and events to them, queues what they send.

The node does no I/O, like its components: `net/cluster/session.py` passes datagrams and the time to it. Each
call returns the events that the router has to handle. For current state the router queries the components
(`limits`, `verdicts`) directly.
"""

import random
from collections.abc import Sequence

from paddlequay.cluster.fleet_limits import FleetLimits
from paddlequay.cluster.incarnations import first_incarnation
from paddlequay.cluster.leases import Leases
from paddlequay.cluster.liveness import Liveness
from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.outbox import Outbox
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    Action,
    Component,
    Fleet,
    LocalEvent,
    LogEvent,
    NameDigest,
    Peer,
    SendMessage,
    earliest,
)
from paddlequay.cluster.verdicts import Verdicts
from paddlequay.cluster.wire import Codec, Header, Wire
from paddlequay.errors import PaddlequayError

ClusterEvent = LocalEvent | LogEvent

# Actions that may follow from one call; more mean that components trigger each other in a loop.
MAX_FOLLOWING_ACTIONS = 10_000


class EndlessEventsError(PaddlequayError, RuntimeError):
    """Components trigger each other's events without end, which is a programming error."""

    def __init__(self, action: Action) -> None:
        super().__init__(
            f"more than {MAX_FOLLOWING_ACTIONS} actions followed from one call; the last was {action}"
        )
        self.action = action


class ClusterNode:
    """One router's node of the cluster. Components that the settings do not enable are None.

    No message of a peer makes a call raise an error.

    Args:
        settings: the installation's settings of the cluster.
        fleet: the routers.
        start_unix_s: Unix time of the process's start in seconds, from which the incarnation is derived.
        seed: seeds the random generator, together with the incarnation.
        now: the process's monotonic clock in seconds.
        max_request_s: the longest duration of a request, by which grants of concurrent requests are extended.
        is_first_process: whether no quota granted by an earlier process of this router can still be in use.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        fleet: Fleet,
        start_unix_s: float,
        seed: int,
        now: float,
        max_request_s: float = 10.0,
        is_first_process: bool = False,
    ) -> None:
        incarnation = first_incarnation(int(start_unix_s * 1000))
        rng = random.Random(seed << 64 | incarnation)  # no two processes draw the same sequence
        self.settings = settings
        self.fleet = fleet
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
                slot_grant_extension_s=max_request_s,
                max_request_s=max_request_s,
                is_first_process=is_first_process,
            )
        self.components: list[Component] = []
        self._component_by_message: dict[type[PeerMessage], Component] = {}
        self.initial_actions: list[Action] = []  # executed at the first tick
        for component in (self.liveness, self.verdicts, self.leases, self.limits):
            if component is not None:
                self.add_component(component, component.HANDLED_MESSAGES)
        self._request_limit_leases(now)

    def _request_limit_leases(self, now: float) -> None:
        """Bids for the leases of limits. Only acceptors do: bids of all routers would be too much traffic."""
        if self.limits is None or self.leases is None or self.fleet.me not in self.fleet.acceptors:
            return
        for lease in self.limits.leases:
            self.initial_actions += self.leases.request(lease, now)

    def add_component(self, component: Component, handled_messages: Sequence[type[PeerMessage]]) -> None:
        """Adds a component, which receives the messages of these types."""
        self.components.append(component)
        self._component_by_message.update(dict.fromkeys(handled_messages, component))

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease now; None if it does not."""
        return None if self.leases is None else self.leases.holds(lease, now)

    def handle_datagram(
        self, sender: Peer, header: Header, messages: Sequence[PeerMessage], now: float
    ) -> list[ClusterEvent]:
        """Handles an accepted datagram and returns the events that follow."""
        if self.leases is not None:
            self.leases.observe_counter(header.ballot_counter)
        events = self.execute(self.liveness.handle_datagram(sender, header.incarnation, now), now)
        for message in messages:
            component = self._component_by_message.get(type(message))
            if component is not None:
                events += self.execute(
                    component.handle_message(sender, header.incarnation, message, now), now
                )
        return events

    def tick(self, now: float) -> list[ClusterEvent]:
        """Calls the components that are due and returns the events that follow."""
        events = self.execute(self.initial_actions, now)
        self.initial_actions = []
        for component in self.components:
            if component.due() <= now:
                events += self.execute(component.tick(now), now)
        return events

    def release_leases(self, now: float) -> list[ClusterEvent]:
        """Releases the leases of limits, so that no router waits for them to expire, and stops bidding."""
        events: list[ClusterEvent] = []
        if self.leases is not None and self.limits is not None:
            for lease in self.limits.leases:
                events += self.execute(self.leases.release(lease, now), now)
        return events

    def due(self) -> float:
        """Returns when `tick` next has work."""
        return earliest(self.components) if not self.initial_actions else float("-inf")

    def execute(self, actions: Sequence[Action], now: float) -> list[ClusterEvent]:
        """Queues messages and passes events to all components until no further action follows.

        Returns:
            All events, in order.

        Raises:
            EndlessEventsError: the components trigger each other's events without end.
        """
        events: list[ClusterEvent] = []
        pending = list(actions)  # grows during the iteration, since events cause further actions
        for position, action in enumerate(pending):
            if position >= MAX_FOLLOWING_ACTIONS:
                raise EndlessEventsError(action)
            if isinstance(action, SendMessage):
                self.outbox.put(action, now)
                continue
            events.append(action)
            if not isinstance(action, LogEvent):
                for component in self.components:
                    pending += component.handle_event(action, now)
        self._update_header()
        return events

    def _update_header(self) -> None:
        """Sets the incarnation and ballot counter that the next datagrams carry."""
        self.wire.incarnation = self.liveness.incarnation
        if self.leases is not None:
            self.wire.ballot_counter = max(self.wire.ballot_counter, self.leases.highest_counter)
