"""The routers last observed to hold leases: hints where to send requests, never a proof."""

from dataclasses import dataclass

from paddlequay.cluster.messages import Promise
from paddlequay.cluster.types import NameDigest, Peer

MAX_HINTS = 8192


@dataclass(frozen=True, slots=True)
class HolderHint:
    """A holder, the ballot of its lock, and the end of that lock by this router's clock."""

    holder: Peer
    ballot: int
    valid_until: float


class HolderHints:
    """Keeps one hint for each lease; past `MAX_HINTS`, drops the oldest."""

    def __init__(self) -> None:
        self._hints: dict[NameDigest, HolderHint] = {}

    def __len__(self) -> int:
        return len(self._hints)

    def holder(self, lease: NameDigest, now: float) -> Peer | None:
        """Returns the router last observed to hold a lease; None without a hint or after the lock's end."""
        hint = self._hints.get(lease)
        return hint.holder if hint is not None and now < hint.valid_until else None

    def record(self, message: Promise, valid_until: float, now: float) -> bool:
        """Records the holder that an acceptor named; of two with running locks, keeps the higher ballot.

        Returns:
            Whether the lease had no hint before, or one with another ballot.
        """
        known = self._hints.pop(message.lease, None)
        if known is not None and known.ballot > message.holder_ballot and now < known.valid_until:
            self._hints[message.lease] = known
            return False
        self._hints[message.lease] = HolderHint(message.holder, message.holder_ballot, valid_until)
        if len(self._hints) > MAX_HINTS:
            del self._hints[next(iter(self._hints))]
        return known is None or known.ballot != message.holder_ballot

    def forget(self, lease: NameDigest) -> None:
        """Deletes the hint of a lease."""
        self._hints.pop(lease, None)
