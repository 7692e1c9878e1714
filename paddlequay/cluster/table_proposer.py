"""The holder's side of placement tables: proposes a table, and declares it once a majority has it.

The proposed table is the one that a majority last reported, or the holder's own if there is no such table.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from paddlequay.cluster.messages import TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.table_answers import DisagreementLog, TableAnswers
from paddlequay.cluster.table_epochs import (
    NO_TABLE,
    TABLES_LEASE,
    DeclaredEpoch,
    TableContent,
    announcement,
    epoch_of,
    short_epoch,
    term_of,
)
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    HeldTerm,
    LogEvent,
    Peer,
    SendMessage,
    Urgency,
)

PROPOSAL_INTERVAL_S = 0.25  # at most 4 epochs a second, however often the endpoint list changes
MIN_RESEND_S = 0.2  # first wait for an answer; doubled with each attempt, up to `MAX_RESEND_S`
MAX_RESEND_S = 3.2
DECLARATIONS_PER_VALIDITY = 6  # while an epoch is valid; each of them restarts its validity


@dataclass(slots=True)
class ResendTimer:
    """When a message is sent again to the routers that have not answered; `NEVER` if to none."""

    due_at: float = NEVER
    interval_s: float = MIN_RESEND_S

    def start(self, now: float) -> None:
        """Starts with the shortest interval."""
        self.due_at = now + MIN_RESEND_S
        self.interval_s = MIN_RESEND_S

    def back_off(self, now: float) -> None:
        """Doubles the interval."""
        self.interval_s = min(MAX_RESEND_S, 2 * self.interval_s)
        self.due_at = now + self.interval_s

    def stop(self) -> None:
        """Stops resending."""
        self.due_at = NEVER
        self.interval_s = MIN_RESEND_S


@dataclass(slots=True)
class TableProposal:
    """An epoch that is not declared yet.

    Attributes:
        epoch: The epoch.
        content: The digests of its table and rules.
        started_at: The time of the first proposal since the last declaration: a proposal that replaces an
            undeclared one keeps its time.
        resend: When it is sent again to the routers that have not agreed.
    """

    epoch: int
    content: TableContent
    started_at: float
    resend: ResendTimer

    def announcement(self) -> TableAnnouncement:
        """Returns the message that proposes it."""
        return announcement(self.epoch, self.content, is_declaration=False)


@dataclass(frozen=True, slots=True)
class ProposerStep:
    """The actions of one tick, and the epoch that it has declared, if any."""

    actions: list[Action]
    declared: DeclaredEpoch | None = None


class TableProposer:
    """Proposes and declares epochs while this router holds `TABLES_LEASE`.

    `own_content` is what this router itself has compiled. `term` is 0 while it is not the holder.
    """

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, held_term: HeldTerm) -> None:
        self.fleet = fleet
        self.held_term = held_term
        self.declaration_interval_s = bounds.epoch_validity_s / DECLARATIONS_PER_VALIDITY
        self.own_content = NO_TABLE
        self.term = 0
        self.last_number = 0
        self.proposal: TableProposal | None = None
        self.declared: DeclaredEpoch | None = None
        self.answers = TableAnswers(fleet)
        self.declaration_resend = ResendTimer()
        self._disagreement = DisagreementLog(self.answers)
        self._proposed_at = -NEVER
        self._declare_at = NEVER
        self._propose_at = NEVER

    def begin_term(self, term: int, active: DeclaredEpoch | None, now: float) -> None:
        """Starts a term. The epoch in use here is declared again until one of this term has a majority."""
        self.end_term()
        self.term = term
        self.declared = active
        self.last_number = 0
        self._proposed_at = -NEVER
        self.answers.record_own_table(self.own_content.table)
        self._declare_at = now
        self._propose_at = now

    def end_term(self) -> None:
        """Ends the term."""
        self.term = 0
        self.proposal = None
        self.declared = None
        self.answers.clear()
        self.declaration_resend.stop()
        self._disagreement.reset()
        self._declare_at = NEVER
        self._propose_at = NEVER

    def is_holder(self, now: float) -> bool:
        """Returns whether this router holds the lease under its term now; must be called before each use."""
        return self.term != 0 and self.held_term(TABLES_LEASE, now) == self.term

    def set_own_content(self, own_content: TableContent, now: float) -> None:
        """Records what this router has compiled."""
        self.own_content = own_content
        self.answers.record_own_table(own_content.table)
        self._propose_soon(now)

    def handle_acknowledgement(
        self, sender: Peer, incarnation: int, message: TableAcknowledgement, now: float
    ) -> list[Action]:
        """Records a router's answer; sends the declaration again to a router that is behind."""
        if self.answers.is_outdated(sender, incarnation, message):
            return []
        if self.answers.record(sender, incarnation, message):
            self._propose_soon(now)
        declared = self.declared
        if declared is None or message.active_epoch == short_epoch(declared.epoch):
            return []
        is_ahead = message.active_epoch > short_epoch(declared.epoch)
        if is_ahead and term_of(declared.epoch) != self.term:
            # The previous holder has declared a later epoch that has not reached this router.
            self.declared = None
            self.declaration_resend.stop()
        elif not is_ahead and epoch_of(message.term, message.epoch_number) < declared.epoch:
            return [SendMessage(sender, declared.announcement(), Urgency.CHANGE)]
        return []

    def peer_alive(self, peer: Peer, now: float) -> list[Action]:
        """Sends the current declaration and proposal to a router that has restarted or is reachable again."""
        self.answers.forget(peer)
        actions: list[Action] = []
        if self.declared is not None:
            actions.append(SendMessage(peer, self.declared.announcement(), Urgency.CHANGE))
            if self.declaration_resend.due_at == NEVER:
                self.declaration_resend.start(now)
        if self.proposal is not None:
            actions.append(SendMessage(peer, self.proposal.announcement(), Urgency.CHANGE))
        return actions

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        if not self.term:
            return NEVER
        resend_at = self.proposal.resend.due_at if self.proposal is not None else NEVER
        declare_at = NEVER
        if self.declared is not None:
            declare_at = min(self.declaration_resend.due_at, self._declare_at)
        return min(self._propose_at, resend_at, declare_at)

    def tick(self, now: float) -> ProposerStep:
        """Sends the declarations and proposals that are due, first or again."""
        if not self.term:
            return ProposerStep([])
        if not self.is_holder(now):
            self.end_term()
            return ProposerStep([])
        actions: list[Action] = []
        newly_declared = None
        if self.proposal is not None and self.is_agreed(self.proposal):
            actions += self._declare(self.proposal, now)
            newly_declared = self.declared
        if self._propose_at <= now:
            actions += self.propose(now)
        if self.proposal is not None and self.proposal.resend.due_at <= now:
            actions += self._resend_proposal(self.proposal, now)
        actions += self._repeat_declaration(now)
        return ProposerStep(actions, newly_declared)

    def is_agreed(self, proposal: TableProposal) -> bool:
        """Returns whether a majority has acknowledged a proposal and has its table."""
        return self.answers.has_majority(proposal.epoch, proposal.content.table)

    def propose(self, now: float) -> list[Action]:
        """Proposes a new epoch, unless its table is already declared under this term or already proposed."""
        self._propose_at = NEVER
        content = self.answers.content_to_propose(self.own_content)
        declared = self.declared
        is_own_term = declared is not None and term_of(declared.epoch) == self.term
        if declared is not None and is_own_term and content.table in (0, declared.content.table):
            self.proposal = None
            return []
        if self.proposal is not None and self.proposal.content.table == content.table:
            return []
        started_at = self.proposal.started_at if self.proposal is not None else now
        self.last_number += 1
        self.proposal = TableProposal(
            epoch_of(self.term, self.last_number), content, started_at, ResendTimer()
        )
        self.proposal.resend.start(now)
        self._proposed_at = now
        return [SendMessage(None, self.proposal.announcement(), Urgency.CHANGE)]

    def _propose_soon(self, now: float) -> None:
        """Schedules `propose` for the earliest time that the interval between proposals allows."""
        if self.term:
            self._propose_at = min(self._propose_at, max(now, self._proposed_at + PROPOSAL_INTERVAL_S))

    def _declare(self, proposal: TableProposal, now: float) -> list[Action]:
        declared = DeclaredEpoch(proposal.epoch, proposal.content)
        self.declared = declared
        self.proposal = None
        self.declaration_resend.start(now)
        self._declare_at = now + self.declaration_interval_s
        took_s = round(now - proposal.started_at, 3)
        return [
            LogEvent("table_declared", (("epoch", short_epoch(declared.epoch)), ("took_s", took_s))),
            SendMessage(None, declared.announcement(), Urgency.CHANGE),
        ]

    def _resend_proposal(self, proposal: TableProposal, now: float) -> list[Action]:
        """Sends a proposal again to the routers that have not agreed."""
        proposal.resend.back_off(now)
        disagreeing = self.answers.peers_not_agreeing(proposal.epoch, proposal.content.table)
        return [*_send(disagreeing, proposal.announcement()), *self._disagreement.check(now)]

    def _repeat_declaration(self, now: float) -> list[Action]:
        """Sends the declaration again: periodically to all, in between to those that have not confirmed."""
        if self.declared is None:
            return []
        message = self.declared.announcement()
        if self._declare_at <= now:
            self._declare_at = now + self.declaration_interval_s
            return [SendMessage(None, message, Urgency.ROUTINE), *self._disagreement.check(now)]
        if self.declaration_resend.due_at > now:
            return []
        unconfirmed = self.answers.peers_not_using(short_epoch(self.declared.epoch))
        self.declaration_resend.back_off(now)
        if not unconfirmed:
            self.declaration_resend.stop()
        return _send(unconfirmed, message)


def _send(receivers: Sequence[Peer], message: TableAnnouncement) -> list[Action]:
    return [SendMessage(peer, message, Urgency.CHANGE) for peer in receivers]
