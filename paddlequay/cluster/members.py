"""The membership table: the state of each peer as this router knows it, and which peer is probed next."""

from dataclasses import dataclass
from random import Random

from paddlequay.cluster.types import NEVER, Peer, PeerChanged, PeerState


@dataclass(slots=True)
class PeerRecord:
    """The state of one peer as this router knows it. Times are seconds of this router's clock."""

    state: PeerState = PeerState.UNKNOWN
    incarnation: int = 0
    last_seen: float = -NEVER  # when the peer last showed that it is alive in this incarnation
    suspected_at: float = -NEVER  # while SUSPECT: when the suspicion began
    dead_at: float = NEVER  # while SUSPECT: when the peer will be declared dead
    next_probe_at: float = NEVER  # while SUSPECT: when it will be pinged next
    suspected_here: bool = False  # while SUSPECT: this router's probe failed; False if an update reported it
    notified_at: float = -NEVER  # when the peer was last told that it is suspect or dead


class MembershipTable:
    """The records of all peers, and the order in which they are probed."""

    def __init__(self, peers: list[Peer], rng: Random) -> None:
        self._records = {peer: PeerRecord() for peer in peers}
        self._rng = rng
        self._probe_order: list[Peer] = []
        self.suspects: set[Peer] = set()
        self.lost: set[Peer] = set(peers)  # dead and unknown peers

    def __len__(self) -> int:
        return len(self._records)

    def __getitem__(self, peer: Peer) -> PeerRecord:
        return self._records[peer]

    def get(self, peer: Peer) -> PeerRecord | None:
        """Returns a peer's record; None for this router itself or a number outside the fleet."""
        return self._records.get(peer)

    @property
    def alive_count(self) -> int:
        """Returns the number of alive peers, without suspects."""
        return len(self._records) - len(self.lost) - len(self.suspects)

    def alive_peers(self) -> list[Peer]:
        """Returns the alive peers, without suspects."""
        return [peer for peer, record in self._records.items() if record.state is PeerState.ALIVE]

    def sample_alive(self, max_count: int, excluding: Peer | None = None) -> list[Peer]:
        """Returns at most `max_count` random alive peers other than `excluding`."""
        candidates = [peer for peer in self.alive_peers() if peer != excluding]
        return self._rng.sample(candidates, min(max_count, len(candidates)))

    def change_state(self, peer: Peer, state: PeerState) -> PeerChanged:
        """Sets a peer's state, clears the timers of its suspicion, and returns the event for components."""
        record = self._records[peer]
        record.state = state
        record.dead_at = NEVER
        record.next_probe_at = NEVER
        self.suspects.discard(peer)
        self.lost.discard(peer)
        if state is PeerState.SUSPECT:
            self.suspects.add(peer)
        elif state is PeerState.DEAD:
            self.lost.add(peer)
        else:
            self._insert_into_round(peer)
        return PeerChanged(peer, record.incarnation, state)

    def _insert_into_round(self, peer: Peer) -> None:
        """Inserts a peer at a random position of the current round, as in SWIM."""
        if self._probe_order and peer not in self._probe_order:
            self._probe_order.insert(self._rng.randrange(len(self._probe_order) + 1), peer)

    def next_to_probe(self) -> Peer | None:
        """Returns the peer to probe next: each alive peer once per round, in a new random order per round."""
        if not self._probe_order:
            self._probe_order = [peer for peer in self._records if peer not in self.lost]
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            peer = self._probe_order.pop()
            if self._records[peer].state is PeerState.ALIVE:
                return peer
        return None
