"""Detects repeated and outdated datagrams of a peer by their sequence numbers."""

from dataclasses import dataclass

# How many sequence numbers a datagram may lag behind the highest one. A sender counts its datagrams to all
# receivers: at the default byte rate and at least 25 bytes per datagram, this is 1.6 s of sending.
WINDOW_SIZE = 1024


@dataclass(slots=True)
class ReplayWindow:
    """Sequence numbers received from a peer's incarnation: the highest, and a bit for each one below it."""

    incarnation: int
    highest: int
    received_bits: int = 1

    def is_stale(self, incarnation: int, sequence: int) -> bool:
        """Returns whether a datagram is of an earlier incarnation, or older than the window."""
        if incarnation != self.incarnation:
            return incarnation < self.incarnation
        return self.highest - sequence >= WINDOW_SIZE

    def is_repeated(self, incarnation: int, sequence: int) -> bool:
        """Returns whether a datagram, which must not be stale, was received before."""
        distance = self.highest - sequence
        return incarnation == self.incarnation and distance >= 0 and bool(self.received_bits >> distance & 1)

    def record(self, incarnation: int, sequence: int) -> None:
        """Records a datagram, which must be neither stale nor repeated."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.highest = sequence
            self.received_bits = 1
            return
        advance = sequence - self.highest
        if advance <= 0:
            self.received_bits |= 1 << -advance
            return
        self.highest = sequence
        if advance >= WINDOW_SIZE:
            self.received_bits = 1
        else:
            self.received_bits = (self.received_bits << advance | 1) & ((1 << WINDOW_SIZE) - 1)
