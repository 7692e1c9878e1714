"""What liveness keeps: what is believed of each peer, the news to pass on, and the pings out."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from paddlequay.cluster.messages import MembershipUpdate
from paddlequay.cluster.types import NEVER, Action, Peer, PeerChanged, PeerState, SendMessage, Urgency

NEWS_MOST = 6  # rumours in a datagram: under 200 bytes
ASKED_MOST = 1024  # pings that wait for an answer, own and others'
LIFE_BITS = 16  # refutations of one life
INCARNATION_MOST = (1 << 63) - (1 << (LIFE_BITS + 1))


def first_incarnation(unix_ms: int) -> int:
    """The incarnation to start with: later starts are higher than all refutations of earlier lives."""
    return max(1, unix_ms) << LIFE_BITS


def life(incarnation: int) -> int:
    """What the incarnations of one process have in common."""
    return incarnation >> LIFE_BITS


def outdone(own: int, said: int) -> int:
    """The incarnation that refutes what is `said`, maybe of an earlier life with a later clock."""
    return (life(said) + 1) << LIFE_BITS if life(said) > life(own) else said + 1


@dataclass(slots=True)
class Member:
    """What is believed of a peer."""

    state: PeerState = PeerState.UNKNOWN
    incarnation: int = 0
    seen: float = -NEVER  # when a sign of life came, of this incarnation
    began: float = -NEVER  # SUSPECT: since when
    until: float = NEVER  # SUSPECT: when it is held to be dead
    retry: float = NEVER  # SUSPECT: when it is asked again
    own: bool = False  # SUSPECT by this router itself, not by what it was told
    warned: float = -NEVER  # when it was told what is said of it


class Members:
    """All peers, and whose turn it is to be asked."""

    def __init__(self, peers: list[Peer], rng: Random) -> None:
        self._members = {peer: Member() for peer in peers}
        self._rng = rng
        self._turns: list[Peer] = []
        self.suspects: set[Peer] = set()
        self.lost: set[Peer] = set(peers)  # dead and unknown ones

    def __len__(self) -> int:
        return len(self._members)

    def __getitem__(self, peer: Peer) -> Member:
        return self._members[peer]

    def get(self, peer: Peer) -> Member | None:
        return self._members.get(peer)

    @property
    def count_alive(self) -> int:
        return len(self._members) - len(self.lost) - len(self.suspects)

    def alive(self) -> list[Peer]:
        return [peer for peer, member in self._members.items() if member.state is PeerState.ALIVE]

    def some(self, most: int, but: Peer | None = None) -> list[Peer]:
        """A few of those alive, at random."""
        alive = [peer for peer in self.alive() if peer != but]
        return self._rng.sample(alive, min(most, len(alive)))

    def stand(self, peer: Peer, state: PeerState) -> PeerChanged:
        """It is believed from now on."""
        member = self._members[peer]
        member.state = state
        member.until = member.retry = NEVER
        self.suspects.discard(peer)
        self.lost.discard(peer)
        if state is PeerState.SUSPECT:
            self.suspects.add(peer)
        elif state is PeerState.DEAD:
            self.lost.add(peer)
        elif self._turns and peer not in self._turns:
            # As SWIM has it, so that new ones are asked after half a round on average.
            self._turns.insert(self._rng.randrange(len(self._turns) + 1), peer)
        return PeerChanged(peer, member.incarnation, state)

    def turn(self) -> Peer | None:
        """Who is asked next: each of the living once a round, in a new random order each round."""
        if not self._turns:
            self._turns = [peer for peer in self._members if peer not in self.lost]
            self._rng.shuffle(self._turns)
        while self._turns:
            peer = self._turns.pop()
            if self._members[peer].state is PeerState.ALIVE:
                return peer
        return None


class News:
    """Rumours to pass on, the last of each peer, each `times` times."""

    def __init__(self, times: int) -> None:
        self._times = times
        self._left: dict[Peer, tuple[MembershipUpdate, int]] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def spread(self, rumour: MembershipUpdate) -> None:
        self._left[rumour.peer] = (rumour, self._times)

    def drop(self, peer: Peer) -> None:
        self._left.pop(peer, None)

    def riders(self, to: Peer) -> Iterator[Action]:
        """What goes along with a datagram, what was told least first."""
        for peer, (rumour, left) in sorted(self._left.items(), key=lambda item: -item[1][1])[:NEWS_MOST]:
            if left > 1:
                self._left[peer] = (rumour, left - 1)
            else:
                del self._left[peer]
            yield SendMessage(to, rumour, Urgency.CHANGE)


@dataclass(frozen=True, slots=True)
class Question:
    """A ping that waits for its answer."""

    peer: Peer
    until: float
    asker: Peer | None  # None: this router itself
    number: int  # the asker's


@dataclass(slots=True)
class Questions:
    """The pings out, by their numbers, the oldest first; `wait` seconds each."""

    wait: float
    last: int  # where numbers go on from: at random, so that answers to an earlier life match nothing
    _out: dict[int, Question] = field(default_factory=dict)

    def ask(self, peer: Peer, now: float, asker: Peer | None, number: int) -> int:
        while self._out and (len(self._out) >= ASKED_MOST or next(iter(self._out.values())).until <= now):
            del self._out[next(iter(self._out))]
        self.last = (self.last + 1) & ((1 << 62) - 1)
        self._out[self.last] = Question(peer, now + self.wait, asker, number)
        return self.last

    def answered(self, number: int, peer: Peer) -> Question | None:
        """What was asked under a number, once."""
        question = self._out.get(number)
        return self._out.pop(number) if question is not None and question.peer == peer else None
