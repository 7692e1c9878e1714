"""A router's bid for one lease, from the first election to the renewals of the holder."""

from dataclasses import dataclass, field
from enum import Enum

from paddlequay.cluster.types import NameDigest, Peer


class Phase(Enum):
    """Where a bid stands."""

    WAITING = "waiting"  # for its next election
    QUEUED = "queued"  # for the rate limit of elections
    PREPARING = "preparing"
    PROPOSING = "proposing"
    HOLDING = "holding"


@dataclass(slots=True)
class Round:
    """One round of a proposal: when it was first sent, and the acceptors that have accepted it."""

    sent_at: float
    accepted_by: set[Peer] = field(default_factory=set)


@dataclass(slots=True)
class Bid:
    """A lease that this router wants or holds. Times are seconds of its own clock.

    Attributes:
        next_action_at: When there is something to do next.
        ballot_spent: Whether the ballot cannot win any more.
        lost_elections: Elections lost in a row.
        election_ends_at: When the election is given up.
        promised_by: The acceptors that have promised the ballot.
        refused_by: The acceptors that refused, and for how many seconds; 0 where they may be asked at will.
        round_number: The last round of the proposal.
        rounds: The rounds whose answers still count, by number.
        held_until: The lease is held before that.
        renew_at: When the next round is due.
        priority_until: Until then the bid skips the rate limit, as this router is the successor.
    """

    lease: NameDigest
    next_action_at: float
    phase: Phase = Phase.WAITING
    ballot: int = 0
    ballot_spent: bool = True
    lost_elections: int = 0
    election_ends_at: float = 0.0
    promised_by: set[Peer] = field(default_factory=set)
    refused_by: dict[Peer, float] = field(default_factory=dict)
    round_number: int = 0
    rounds: dict[int, Round] = field(default_factory=dict)
    held_until: float = 0.0
    renew_at: float = 0.0
    priority_until: float = 0.0

    @property
    def is_in_election(self) -> bool:
        """Whether acceptors are being asked for the lease."""
        return self.phase in (Phase.PREPARING, Phase.PROPOSING)

    def begin_election(self, ends_at: float) -> None:
        """Forgets the answers of former elections."""
        self.phase = Phase.PREPARING
        self.promised_by.clear()
        self.refused_by.clear()
        self.election_ends_at = ends_at

    def begin_proposal(self, now: float, ends_at: float) -> None:
        """Starts the first round of a proposal, which spends the ballot."""
        self.phase = Phase.PROPOSING
        self.ballot_spent = True
        self.refused_by.clear()
        self.round_number = 0
        self.rounds = {0: Round(now)}
        self.election_ends_at = ends_at

    def begin_round(self, now: float, max_rounds: int) -> None:
        """Starts another round, and forgets the one whose answers are too old to count."""
        self.round_number += 1
        self.rounds[self.round_number] = Round(now)
        self.rounds.pop(self.round_number - max_rounds, None)

    def begin_waiting(self) -> None:
        """Ends an election or a lease."""
        self.phase = Phase.WAITING
        self.rounds = {}
