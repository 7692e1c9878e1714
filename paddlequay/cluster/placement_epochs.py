"""Decides which placement table a router uses: that of the common epoch or, within bounded time, none.

Each router compiles the rules with its own endpoint list into a table, and sends the table's digest to the
holder of the lease `TABLES_LEASE`. Once a majority of all routers has a table, the holder declares it under
an epoch. Each router follows a declared epoch as soon as it has compiled that table itself.
docs/cluster/tables.md has the argument and the bounds.

At each router, an epoch expires when no message has confirmed it for `ClusterBounds.epoch_validity_s` by the
router's own clock. Expiry is checked whenever the table is used. Without a valid epoch a router places
objects as if it had no rules, which every router can do.
"""

from collections.abc import Callable
from typing import ClassVar

from paddlequay.cluster.ballots import router_of
from paddlequay.cluster.messages import PeerMessage, TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.table_epochs import (
    MAX_EPOCH_NUMBER,
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

MIN_ACKNOWLEDGE_INTERVAL_S = 0.1  # between two unrequested acknowledgements to the holder
MIN_REACQUIRE_INTERVAL_S = 5.0  # between two attempts to reacquire the lease under a higher term

Reacquire = Callable[[float], list[Action]]


def never_reacquire(now: float) -> list[Action]:
    """Keeps the lease even if its term is too low."""
    return []


class PlacementEpochs:
    """The cluster `Component` that determines which epoch this router uses.

    `held_term` returns the term under which this router holds `TABLES_LEASE`. `reacquire` releases that lease
    and bids for it again. It is needed when all acceptors have lost their state at once, since a new term can
    then be lower than that of an epoch in use. `TableChanged.previous` is None if no table, or the same
    table, was in use before.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (TableAnnouncement, TableAcknowledgement)
    proposer_class: ClassVar[type[TableProposer]] = TableProposer
    follower_class: ClassVar[type[TableFollower]] = TableFollower

    def __init__(
        self, fleet: Fleet, bounds: ClusterBounds, held_term: HeldTerm, reacquire: Reacquire = never_reacquire
    ) -> None:
        self.fleet = fleet
        self.reacquire = reacquire
        self.proposer = self.proposer_class(fleet, bounds, held_term)
        self.follower = self.follower_class(bounds.epoch_validity_s)
        self.holder: Peer | None = None
        self.highest_term = 0  # highest term of all holders known so far
        self.highest_epoch = 0  # highest of all epochs proposed or declared so far
        self._acknowledge_at = NEVER
        self._acknowledged_at = -NEVER
        self._reacquired_at = -NEVER

    def rules_changed(self, rules: int, now: float) -> list[Action]:
        """Withdraws this router's table until changed rules are compiled; the epoch in use stays valid."""
        if rules == self.follower.own_content.rules:
            return []
        return self._set_own_content(TableContent(0, rules), now)

    def table_compiled(self, rules: int, table: int, now: float) -> list[Action]:
        """Records the digests of the rules and of the compiled table; `table` is 0 if there is none."""
        return self._set_own_content(TableContent(table, rules), now)

    def epoch_in_use(self, now: float) -> int | None:
        """Returns the epoch that is valid now; None if objects are to be placed as if there were no rules."""
        return self.follower.epoch_in_use(now)

    def table_in_use(self, now: float) -> int | None:
        """Returns the digest of the table in use now, or None."""
        return self.follower.table_in_use(now)

    def needed_tables(self, now: float) -> set[int]:
        """Returns the digests of the tables that may still be used; others can be dropped."""
        return self.follower.needed_tables(now)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles a holder's announcement or, as the holder, an acknowledgement from a router."""
        match message:
            case TableAnnouncement(epoch_number=number, term=term) if term and 0 < number <= MAX_EPOCH_NUMBER:
                return self._handle_announcement(sender, message, now)
            case TableAcknowledgement(epoch_number=number) if number <= MAX_EPOCH_NUMBER:
                return self._handle_acknowledgement(sender, incarnation, message, now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Handles changes of `TABLES_LEASE` and of the reachability of routers."""
        match event:
            case LeaseAcquired(lease, term) if lease == TABLES_LEASE:
                active = self.follower.active if self.follower.is_valid(now) else None
                self.proposer.begin_term(term, active, now)
                self.holder = self.fleet.me
                self.highest_term = max(self.highest_term, term)
                return self._run_proposer(now)
            case LeaseLost(lease, term) if lease == TABLES_LEASE and term == self.proposer.term:
                self.proposer.end_term()
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
        """Runs the work that is due, as the holder and as a follower."""
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

    def _handle_announcement(self, sender: Peer, message: TableAnnouncement, now: float) -> list[Action]:
        """Handles a proposal or declaration, and answers with this router's table and epochs.

        A previous holder is answered as well: it learns of the later term from the answer.
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
            # The sender ignores epochs of this lower term. A lease acquired now gets a term above the
            # sender's.
            self._reacquired_at = now
            return [LogEvent("table_term_low"), *self.reacquire(now)]
        actions = self.proposer.handle_acknowledgement(sender, incarnation, message, now)
        return actions + self._run_proposer(now)

    def _acknowledgement(self) -> TableAcknowledgement:
        """Returns this router's table and the highest epoch that it knows, which supersedes earlier ones."""
        active = self.follower.active
        return TableAcknowledgement(
            number_of(self.highest_epoch),
            term_of(self.highest_epoch),
            self.follower.own_content.table,
            0 if active is None else short_epoch(active.epoch),
        )

    def _acknowledge_soon(self, now: float) -> None:
        soonest = max(now, self._acknowledged_at + MIN_ACKNOWLEDGE_INTERVAL_S)
        self._acknowledge_at = min(self._acknowledge_at, soonest)

    def _set_own_content(self, own_content: TableContent, now: float) -> list[Action]:
        if own_content == self.follower.own_content:
            return []
        self._acknowledge_soon(now)
        self.proposer.set_own_content(own_content, now)
        actions = self.follower.set_own_content(own_content, now)
        return actions + self._run_proposer(now)

    def _run_proposer(self, now: float) -> list[Action]:
        """Runs the holder's work that is due, and applies its declaration to this router's own follower."""
        step = self.proposer.tick(now)
        declared = self.proposer.declared
        if declared is None or (step.declared is None and not self.proposer.is_holder(now)):
            return step.actions
        self.highest_epoch = max(self.highest_epoch, declared.epoch)
        return step.actions + self.follower.handle_declaration(declared, now)
