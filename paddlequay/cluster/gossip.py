"""Membership updates that are gossiped to peers, each a limited number of times."""

from collections.abc import Iterator

from paddlequay.cluster.messages import MembershipUpdate
from paddlequay.cluster.types import Action, Peer, SendMessage, Urgency

MAX_UPDATES_PER_DATAGRAM = 6  # under 200 bytes


class GossipQueue:
    """The latest update about each peer. Each update is sent `transmissions` times."""

    def __init__(self, transmissions: int) -> None:
        self._transmissions = transmissions
        self._pending: dict[
            Peer, tuple[MembershipUpdate, int]
        ] = {}  # by peer: the update, and the number of transmissions left

    def __bool__(self) -> bool:
        return bool(self._pending)

    def enqueue(self, update: MembershipUpdate) -> None:
        """Adds an update to send; it replaces an earlier update about the same peer."""
        self._pending[update.peer] = (update, self._transmissions)

    def discard(self, peer: Peer) -> None:
        """Stops sending the update about a peer."""
        self._pending.pop(peer, None)

    def piggyback(self, to: Peer) -> Iterator[Action]:
        """Returns updates to send along in a datagram to a peer, those sent least often first."""
        least_sent_first = sorted(self._pending.items(), key=lambda item: -item[1][1])
        for peer, (update, transmissions_left) in least_sent_first[:MAX_UPDATES_PER_DATAGRAM]:
            if transmissions_left > 1:
                self._pending[peer] = (update, transmissions_left - 1)
            else:
                del self._pending[peer]
            yield SendMessage(to, update, Urgency.CHANGE)
