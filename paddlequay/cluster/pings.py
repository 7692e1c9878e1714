"""Pings that wait for their acknowledgement, this router's own and those sent on behalf of others."""

from dataclasses import dataclass, field

from paddlequay.cluster.types import Peer

MAX_PENDING_PINGS = 1024
MAX_PING_NUMBER = (1 << 62) - 1


@dataclass(frozen=True, slots=True)
class PendingPing:
    """A ping that waits for its acknowledgement."""

    peer: Peer
    expires_at: float
    requester: Peer | None  # the router that asked for it; None: this router itself
    requester_number: int  # the number under which the requester waits


@dataclass(slots=True)
class PendingPings:
    """The pings that wait, by their numbers, the oldest first; each for `timeout_s` seconds."""

    timeout_s: float
    # Starts at random, so that acknowledgements meant for an earlier process match nothing.
    last_number: int
    _pending: dict[int, PendingPing] = field(default_factory=dict)

    def register(self, peer: Peer, now: float, requester: Peer | None, requester_number: int) -> int:
        """Records a new ping and returns its number."""
        self._drop_expired(now)
        self.last_number = (self.last_number + 1) & MAX_PING_NUMBER
        self._pending[self.last_number] = PendingPing(peer, now + self.timeout_s, requester, requester_number)
        return self.last_number

    def _drop_expired(self, now: float) -> None:
        """Makes room for one more ping."""
        while self._pending:
            oldest = next(iter(self._pending))
            if len(self._pending) < MAX_PENDING_PINGS and self._pending[oldest].expires_at > now:
                return
            del self._pending[oldest]

    def resolve(self, number: int, peer: Peer) -> PendingPing | None:
        """Returns the ping that an acknowledgement answers, once; None where there is none."""
        ping = self._pending.get(number)
        if ping is None or ping.peer != peer:
            return None
        return self._pending.pop(number)
