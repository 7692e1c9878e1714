"""Which placement table is in use: all routers follow one epoch, or know in bounded time that they do not.

Each router compiles the same rules with its own endpoint list into a table, and tells the holder of the lease
`TABLES_LEASE` its digest. The holder declares the table that a majority of all routers has under an epoch;
each router takes it up as soon as it has that table itself. docs/cluster/tables.md has the argument and the
bounds.

A router counts on its epoch for `ClusterBounds.epoch_validity_s` of its own clock from when it last heard
that the epoch is in use, and is asked at the moment of use. After that it places objects as without rules,
which all routers can.
"""

from collections.abc import Callable
from typing import ClassVar

from paddlequay.cluster.ballots import router_of
from paddlequay.cluster.messages import PeerMessage, TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.table_epochs import (
    MAX_NUMBER,
    TABLES_LEASE,
    DeclaredEpoch,
    TableContent,
    epoch_of,
    number_of,
    short_epoch,
    term_of,
)
from paddlequay.cluster.table_follower import TableFollower
from paddlequay.cluster.table_proposer import TableProposer
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    HeldTerm,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LocalEvent,
    LogEvent,
    Peer,
    PeerChanged,
    PeerState,
    SelfChanged,
    SendMessage,
    Urgency,
)

MIN_ACKNOWLEDGE_INTERVAL_S = 0.1  # between two messages to the holder that it did not ask for
MIN_REACQUIRE_INTERVAL_S = 5.0  # between two times that a lease with too low a term is acquired anew

Reacquire = Callable[[float], list[Action]]


def never_reacquire(now: float) -> list[Action]:
    """Keeps a lease with too low a term."""
    return []


class PlacementEpochs:
    """The `Component` that says which epoch is in use here.

    `held_term` returns the term of `TABLES_LEASE`; `reacquire` gives that lease back and bids for it anew, as
    the order of terms is lost where all acceptors forget at once. `TableChanged.previous` is None where no
    table was in use before, or the same.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (TableAnnouncement, TableAcknowledgement)
    proposer_kind: ClassVar[type[TableProposer]] = TableProposer
    follower_kind: ClassVar[type[TableFollower]] = TableFollower

    def __init__(
        self, fleet: Fleet, bounds: ClusterBounds, held_term: HeldTerm, reacquire: Reacquire = never_reacquire
    ) -> None:
        self.fleet = fleet
        self.reacquire = reacquire
        self.proposer = self.proposer_kind(fleet, bounds, held_term)
        self.follower = self.follower_kind(bounds.epoch_validity_s)
        self.holder: Peer | None = None
        self.highest_term = 0  # heard of from a holder
        self.highest_epoch = 0  # heard of
        self._acknowledge_at = NEVER
        self._acknowledged_at = -NEVER
        self._reacquired_at = -NEVER

    # --- for the router ---

    def rules_changed(self, rules: int, now: float) -> list[Action]:
        """Withdraws this router's table until other rules are compiled; the epoch in use stays so."""
        if rules == self.follower.own.rules:
            return []
        return self._set_own(TableContent(0, rules), now)

    def compiled(self, rules: int, table: int, now: float) -> list[Action]:
        """Takes the digests of what this router has compiled; `table` 0: it cannot."""
        return self._set_own(TableContent(table, rules), now)

    def epoch_in_use(self, now: float) -> int | None:
        """Returns the epoch to follow at this moment; None to place objects as without rules."""
        return self.follower.epoch_in_use(now)

    def table_in_use(self, now: float) -> int | None:
        """Returns the digest of the table in use at this moment, or None."""
        return self.follower.table_in_use(now)

    def needed_tables(self, now: float) -> set[int]:
        """Returns the digests of the few tables that may still be used; all others need not be kept."""
        return self.follower.needed_tables(now)

    # --- as a component of the cluster ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a holder's announcement, or as the holder what a router has compiled."""
        match message:
            case TableAnnouncement(epoch_number=number, term=term) if term and 0 < number <= MAX_NUMBER:
                return self._handle_announcement(sender, message, now)
            case TableAcknowledgement(epoch_number=number) if number <= MAX_NUMBER:
                return self._handle_acknowledgement(sender, incarnation, message, now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Follows the lease of the tables and the reachability of routers."""
        match event:
            case LeaseAcquired(lease, term) if lease == TABLES_LEASE:
                active = self.follower.active if self.follower.is_valid(now) else None
                self.proposer.begin(term, active, now)
                self.holder = self.fleet.me
                self.highest_term = max(self.highest_term, term)
                return self._run_proposer(now)
            case LeaseLost(lease, term) if lease == TABLES_LEASE and term == self.proposer.term:
                self.proposer.end()
            case HolderObserved(lease, holder, term) if lease == TABLES_LEASE and term >= self.highest_term:
                if holder != self.holder:
                    self.holder = holder
                    self.highest_term = term
                    self._acknowledge_soon(now)
            case SelfChanged(receives, reaches) if receives and reaches:
                self._acknowledge_soon(now)
            case PeerChanged(peer, _, PeerState.ALIVE) if self.proposer.is_holder(now):
                return self.proposer.peer_alive(peer, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Does what is due as the holder and as a follower."""
        actions = self._run_proposer(now)
        if self._acknowledge_at <= now:
            self._acknowledge_at = NEVER
            self._acknowledged_at = now
            if self.holder is not None and self.holder != self.fleet.me:
                actions.append(SendMessage(self.holder, self._acknowledgement(), Urgency.CHANGE))
        return actions + self.follower.tick(now)

    def due(self) -> float:
        """Returns when `tick` next has something to do."""
        return min(self.proposer.due(), self._acknowledge_at, self.follower.due())

    # --- messages ---

    def _handle_announcement(self, sender: Peer, message: TableAnnouncement, now: float) -> list[Action]:
        """Takes a declaration up, and answers what this router has.

        Also a router that is no longer the holder is answered: it may not know of the later term.
        """
        epoch = epoch_of(message.term, message.epoch_number)
        if message.term >= self.highest_term and router_of(message.term) == sender:
            self.holder = sender
            self.highest_term = message.term
        self.highest_epoch = max(self.highest_epoch, epoch)
        actions: list[Action] = []
        if message.is_declaration:
            content = TableContent(message.table_digest, message.rules_digest)
            actions += self.follower.handle_declaration(DeclaredEpoch(epoch, content), now)
        if sender == self.holder:
            self._acknowledge_at = NEVER
        return [*actions, SendMessage(sender, self._acknowledgement(), Urgency.CHANGE)]

    def _handle_acknowledgement(
        self, sender: Peer, incarnation: int, message: TableAcknowledgement, now: float
    ) -> list[Action]:
        if not self.proposer.is_holder(now):
            return []
        may_reacquire = now - self._reacquired_at >= MIN_REACQUIRE_INTERVAL_S
        if message.term > self.proposer.term and may_reacquire:
            # Epochs of this term would be ignored there; the next term is above that one.
            self._reacquired_at = now
            return [LogEvent("table_term_low"), *self.reacquire(now)]
        actions = self.proposer.handle_acknowledgement(sender, incarnation, message, now)
        return actions + self._run_proposer(now)

    def _acknowledgement(self) -> TableAcknowledgement:
        """Returns this router's table and the highest epoch heard of, which ends earlier ones."""
        active = self.follower.active
        return TableAcknowledgement(
            number_of(self.highest_epoch),
            term_of(self.highest_epoch),
            self.follower.own.table,
            0 if active is None else short_epoch(active.epoch),
        )

    def _acknowledge_soon(self, now: float) -> None:
        soonest = max(now, self._acknowledged_at + MIN_ACKNOWLEDGE_INTERVAL_S)
        self._acknowledge_at = min(self._acknowledge_at, soonest)

    # --- changes ---

    def _set_own(self, own: TableContent, now: float) -> list[Action]:
        if own == self.follower.own:
            return []
        self._acknowledge_soon(now)
        self.proposer.set_own(own, now)
        actions = self.follower.set_own(own, now)
        return actions + self._run_proposer(now)

    def _run_proposer(self, now: float) -> list[Action]:
        """Does what is due as the holder; its declarations count for itself as for others."""
        step = self.proposer.tick(now)
        declared = self.proposer.declared
        if declared is None or (step.declared is None and not self.proposer.is_holder(now)):
            return step.actions
        self.highest_epoch = max(self.highest_epoch, declared.epoch)
        return step.actions + self.follower.handle_declaration(declared, now)
