"""Pings that are not yet acknowledged: this router's own, and those sent on behalf of others."""

from dataclasses import dataclass, field

from paddlequay.cluster.types import Peer

MAX_PENDING_PINGS = 1024
MAX_PING_NUMBER = (1 << 62) - 1


@dataclass(frozen=True, slots=True)
class PendingPing:
    """A ping that is not yet acknowledged."""

    peer: Peer
    expires_at: float
    requester: Peer | None  # the router that asked for the ping; None: this router itself
    requester_number: int  # the number of the requester's own ping


@dataclass(slots=True)
class PendingPings:
    """The pending pings by number, oldest first. A ping expires after `timeout_s` seconds."""

    timeout_s: float
    # The first number is random, so that acknowledgements for an earlier process match no ping.
    last_number: int
    _pending: dict[int, PendingPing] = field(default_factory=dict)

    def register(self, peer: Peer, now: float, requester: Peer | None, requester_number: int) -> int:
        """Records a new ping and returns its number."""
        self._drop_expired(now)
        self.last_number = (self.last_number + 1) & MAX_PING_NUMBER
        self._pending[self.last_number] = PendingPing(peer, now + self.timeout_s, requester, requester_number)
        return self.last_number

    def _drop_expired(self, now: float) -> None:
        """Drops expired pings, and the oldest pings as long as there is no space for another one."""
        while self._pending:
            oldest = next(iter(self._pending))
            if len(self._pending) < MAX_PENDING_PINGS and self._pending[oldest].expires_at > now:
                return
            del self._pending[oldest]

    def resolve(self, number: int, peer: Peer) -> PendingPing | None:
        """Removes and returns the ping that an acknowledgement answers; None if there is none."""
        ping = self._pending.get(number)
        if ping is None or ping.peer != peer:
            return None
        return self._pending.pop(number)
