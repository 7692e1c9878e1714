"""Joins the components of one router's cluster: messages in, datagrams out, events of one to all others.

Pure like its components: `net/cluster/peers.py` brings datagrams and time. Each call returns the events that
the router itself has to know; what it asks at the moment of use it asks the components (`limits`,
`verdicts`).
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

MAX_FOLLOWING_ACTIONS = 10_000  # that follow from one event; more means that components loop


class EndlessEventsError(PaddlequayError, RuntimeError):
    """Components that send each other events without end, which is a fault of theirs."""

    def __init__(self, action: Action) -> None:
        super().__init__(f"{MAX_FOLLOWING_ACTIONS} actions after one event, the last {action}")
        self.action = action


class Node:
    """One router's cluster. Components that the settings leave out are None. A peer's message never raises.

    Args:
        settings: the installation's settings of the cluster.
        fleet: the routers.
        start_unix_s: Unix time of the process's start in seconds, from which the incarnation is made.
        seed: of the random draws, with the incarnation.
        now: the process's monotonic clock in seconds.
        max_request_s: the longest time that a request takes, which limits on concurrent requests allow for.
        is_first_process: whether no earlier process of this router can have granted quotas in use.
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
        rng = random.Random(seed << 64 | incarnation)  # no two processes draw the same numbers
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
        self.initial_actions: list[Action] = []  # taken at the first tick
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
        """Adds a component, which handles messages of these types."""
        self.components.append(component)
        self._component_by_message.update(dict.fromkeys(handled_messages, component))

    def holds(self, lease: NameDigest, now: float) -> int | None:
        """Returns the term under which this router holds a lease now; None where it does not."""
        return None if self.leases is None else self.leases.holds(lease, now)

    # --- inputs ---

    def handle_datagram(
        self, sender: Peer, header: Header, messages: Sequence[PeerMessage], now: float
    ) -> list[ClusterEvent]:
        """Handles an accepted datagram and returns what the components have found."""
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
        """Handles the passing of time and returns what the components have found."""
        events = self.execute(self.initial_actions, now)
        self.initial_actions = []
        for component in self.components:
            if component.due() <= now:
                events += self.execute(component.tick(now), now)
        return events

    def release_leases(self, now: float) -> list[ClusterEvent]:
        """Gives the leases of limits back, so that nobody has to wait for their end, and stops bidding."""
        events: list[ClusterEvent] = []
        if self.leases is not None and self.limits is not None:
            for lease in self.limits.leases:
                events += self.execute(self.leases.release(lease, now), now)
        return events

    def due(self) -> float:
        """Returns when `tick` next has work."""
        return earliest(self.components) if not self.initial_actions else float("-inf")

    # --- actions ---

    def execute(self, actions: Sequence[Action], now: float) -> list[ClusterEvent]:
        """Queues messages and gives events to all components, until no action follows; returns the events.

        Raises:
            EndlessEventsError: the components answer each other without end.
        """
        events: list[ClusterEvent] = []
        pending = list(actions)  # grows while it is iterated: events cause further actions
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
        """Makes the next datagrams carry the present incarnation and ballot counter."""
        self.wire.incarnation = self.liveness.incarnation
        if self.leases is not None:
            self.wire.ballot_counter = max(self.wire.ballot_counter, self.leases.highest_counter)
