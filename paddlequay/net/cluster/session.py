"""One membership of this process in the cluster: its node and its socket, from joining to leaving."""

import random
import time
from collections.abc import Callable, Sequence

from paddlequay.cluster.messages import PeerMessage
from paddlequay.cluster.node import ClusterEvent, ClusterNode
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import Action, Fleet, Peer
from paddlequay.cluster.wire import Header
from paddlequay.config.loader import Peering
from paddlequay.net.cluster.peer_transport import PeerTransport
from paddlequay.observability.counters import Counters

HandleEvents = Callable[[Sequence[ClusterEvent]], None]


class ClusterSession:
    """A new process in the eyes of the fleet, with a higher incarnation than the session before it.

    Raises `ValueError` where the peers cannot be used. `max_request_s` is the longest that a request takes.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        fleet: Fleet,
        peering: Peering,
        counters: Counters,
        seed: int,
        max_request_s: float,
        clock: Callable[[], float],
        handle_events: HandleEvents,
    ) -> None:
        self._clock = clock
        self._handle_events = handle_events
        self._seed = seed
        self.node = ClusterNode(settings, fleet, time.time(), seed, clock(), max_request_s)
        self.transport = PeerTransport(
            peering.listen,
            peering.peers,
            peering.broadcast_address,
            self.node.wire,
            self.node.outbox,
            counters,
            self,
            clock,
        )

    def random(self) -> random.Random:
        """Returns a generator of draws that no other session repeats."""
        return random.Random(self._seed ^ self.node.liveness.incarnation)

    def execute(self, actions: Sequence[Action]) -> None:
        """Executes actions of the cluster's components; what is to be sent waits for the next flush."""
        self._handle_events(self.node.execute(actions, self._clock()))

    def release_leases(self) -> None:
        """Gives the leases of limits back."""
        self._handle_events(self.node.release_leases(self._clock()))

    # --- DatagramHandler ---

    def handle_datagram(self, sender: Peer, header: Header, messages: tuple[PeerMessage, ...]) -> None:
        """Gives an accepted datagram to the node."""
        self._handle_events(self.node.handle_datagram(sender, header, messages, self._clock()))

    def tick(self) -> None:
        """Lets the node handle the passing of time."""
        self._handle_events(self.node.tick(self._clock()))

    def due(self) -> float:
        """Returns when the node next has work."""
        return self.node.due()
