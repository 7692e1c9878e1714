"""One session of this process in the cluster, from joining to leaving: its node and its socket."""

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
    """One session in the cluster. Its incarnation is higher than before, so peers see it as a new process.

    Raises `ValueError` if the peers are invalid. `max_request_s` is the longest duration of a request.
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
        """Returns a random generator whose sequence no other session repeats."""
        return random.Random(self._seed ^ self.node.liveness.incarnation)

    def execute(self, actions: Sequence[Action]) -> None:
        """Executes actions of the cluster's components; messages are queued until the next flush."""
        self._handle_events(self.node.execute(actions, self._clock()))

    def release_leases(self) -> None:
        """Releases the leases of limits."""
        self._handle_events(self.node.release_leases(self._clock()))

    def handle_datagram(self, sender: Peer, header: Header, messages: tuple[PeerMessage, ...]) -> None:
        """Passes an accepted datagram to the node."""
        self._handle_events(self.node.handle_datagram(sender, header, messages, self._clock()))

    def tick(self) -> None:
        """Lets the node handle its timers."""
        self._handle_events(self.node.tick(self._clock()))

    def due(self) -> float:
        """Returns when the node next has work."""
        return self.node.due()
