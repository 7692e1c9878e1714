"""A router's bid for one lease, from the first election to the renewals of the holder."""

from dataclasses import dataclass, field
from enum import Enum

from paddlequay.cluster.types import NameDigest, Peer


class Phase(Enum):
    """The state of a bid."""

    WAITING = "waiting"  # until its next election
    QUEUED = "queued"  # until the rate limit admits its election
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
    """A lease that this router bids for or holds. Times are seconds of its own clock.

    Attributes:
        next_action_at: When the bid has to act next.
        ballot_spent: Whether the ballot can no longer win an election.
        lost_elections: The number of elections lost in a row.
        election_ends_at: When the current phase of the election times out.
        promised_by: The acceptors that have promised the ballot.
        refused_by: The acceptors that refused, and for how many seconds; 0 where they may be asked again at
            any time.
        round_number: The number of the latest round of the proposal.
        rounds: The rounds whose acceptances still count, by number.
        held_until: When the lease ends by this router's count.
        renew_at: When the next round is due.
        priority_until: Until then the bid bypasses the rate limit, since this router is the successor.
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
        """Whether an election for the lease is in progress."""
        return self.phase in (Phase.PREPARING, Phase.PROPOSING)

    def begin_election(self, ends_at: float) -> None:
        """Starts the prepare phase, and discards the answers of earlier elections."""
        self.phase = Phase.PREPARING
        self.promised_by.clear()
        self.refused_by.clear()
        self.election_ends_at = ends_at

    def begin_proposal(self, now: float, ends_at: float) -> None:
        """Starts the first round of a proposal. The ballot cannot be used for a further election."""
        self.phase = Phase.PROPOSING
        self.ballot_spent = True
        self.refused_by.clear()
        self.round_number = 0
        self.rounds = {0: Round(now)}
        self.election_ends_at = ends_at

    def begin_round(self, now: float, max_rounds: int) -> None:
        """Starts the next round, and discards the round whose acceptances no longer count."""
        self.round_number += 1
        self.rounds[self.round_number] = Round(now)
        self.rounds.pop(self.round_number - max_rounds, None)

    def begin_waiting(self) -> None:
        """Returns to `WAITING` when an election or a lease has ended."""
        self.phase = Phase.WAITING
        self.rounds = {}
