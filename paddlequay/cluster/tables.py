"""Which table of placement is in use: all routers follow one epoch, or know in bounded time that they do not.

Each router compiles the same rules with its own list of members into a table, and tells the holder of the
lease `LEASE` its digest. What a majority of all routers has alike, the holder declares active under an epoch
(`epochs.py`); each router takes it up as soon as it has that table itself.

One table to an epoch. The epoch is made by one run under a term that no other run has, for one digest, and a
router takes an epoch up only with a table of that digest. None of this rests on the lease: two that both
take themselves for the holder make different epochs. Epochs in use only grow: a lower one is passed over.

Cut off. Each router counts on its epoch for `bounds.epoch_s` of its own clock from when it last heard that
this epoch is the one in use, and is asked at the moment of use (`in_use`); after that it places as without
a file, which all routers can. Nobody else has to know of it. A holder repeats its declaration six times in
that span.
So two routers follow different epochs for `bounds.epoch_s`, and what a declaration is under way, at most: one
that cannot agree, as with other rules, keeps to its epoch until then, too.

Memory: `KEPT_MOST` digests of own tables, one answer for each router at the holder.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import ClassVar

from paddlequay.cluster.acceptor import number as run_of
from paddlequay.cluster.epochs import LEASE, NUMBERS, Content, Declared, Declarer, Holds, epoch_of, mark
from paddlequay.cluster.messages import PeerMessage, TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
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
    TableChanged,
    Urgency,
)

KEPT_MOST = 4  # own tables that a declaration may still name: lists change faster than routers agree
LINGER = 60.0  # seconds for which a former table's homes are asked, as in a move of the hierarchy
LACKS = 3.0  # seconds that a router may lack a declared table before it says so: lists come seconds apart
TELL_PAUSE = 0.1  # seconds between two notes to the holder that nobody asked for
RETAKE_PAUSE = 5.0  # seconds between two times that a lease with too low a term is taken anew

Retake = Callable[[float], list[Action]]


def no_retake(now: float) -> list[Action]:
    return []


class Tables:
    """The part of the cluster that says which epoch is in use here: one `Part`.

    `holds` is asked for the term of `LEASE`; `retake` gives that lease back and bids for it anew: the order
    of terms is lost where all acceptors forget at once. `TableChanged.former` is the digest of the table in
    use before, `None` where none was or where it is the same table.
    """

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (TableAnnouncement, TableAcknowledgement)
    declarers: ClassVar[type[Declarer]] = Declarer

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, holds: Holds, retake: Retake = no_retake) -> None:
        self.fleet, self.bounds, self.retake = fleet, bounds, retake
        self.declarer = self.declarers(fleet, bounds, holds)
        self.own = Content(0)
        self.kept: OrderedDict[int, int] = OrderedDict()  # digests of own tables and of their rules
        self.active: Declared | None = None
        self.until = NEVER  # the epoch in use is counted on before that
        self.ended = True  # it was said that none is in use
        self.former: tuple[int, float] | None = None  # the digest of the former table, asked until then
        self.behind: Declared | None = None  # a later epoch was declared, and this router lacks its table
        self.lacks_at = NEVER  # it is said that its table is lacking
        self.holder: Peer | None = None
        self.term = 0  # the highest heard of from a holder
        self.asked = 0  # the highest epoch heard of
        self.tell_at = NEVER
        self.told_at = self.retaken_at = -NEVER

    # --- for the router ---

    def wanted(self, rules: int, now: float) -> list[Action]:
        """There is another file of rules here, not compiled yet: until it is, this router has no table to
        agree on. What is in use stays so."""
        return [] if rules == self.own.rules else self._owns(Content(0, rules), now)

    def compiled(self, rules: int, table: int, now: float) -> list[Action]:
        """What this router compiles has changed; digests, `table` 0: it cannot."""
        return self._owns(Content(table, rules), now)

    def in_use(self, now: float) -> int | None:
        """The epoch to follow at this moment; `None`: none, place as without a file."""
        return self.active.epoch if self.active is not None and now < self.until else None

    def table(self, now: float) -> int | None:
        """The digest of the table in use at this moment."""
        return self.active.content.table if self.active is not None and now < self.until else None

    def needed(self, now: float) -> set[int]:
        """The digests of tables that may still be used: all others need not be kept. Few."""
        digests = set(self.kept)
        if self.active is not None:
            digests.add(self.active.content.table)
        if self.former is not None and now < self.former[1]:
            digests.add(self.former[0])
        return digests

    # --- as a part ---

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        if (
            isinstance(message, TableAnnouncement)
            and message.term
            and 0 < message.epoch_number < 1 << NUMBERS
        ):
            return self._heard(sender, message, now)
        if (
            isinstance(message, TableAcknowledgement)
            and not message.epoch_number >> NUMBERS
            and self.declarer.held(now)
        ):
            if message.term > self.declarer.term and now - self.retaken_at >= RETAKE_PAUSE:
                # Epochs of this term would be passed over there; the next term is above that one.
                self.retaken_at = now
                return [LogEvent("table_term_low"), *self.retake(now)]
            return self.declarer.heard(sender, incarnation, message, now) + self._declares(now)
        return []

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        match event:
            case LeaseAcquired(lease, term) if lease == LEASE:
                self.declarer.begin(term, self.active if now < self.until else None, now)
                self.holder, self.term = self.fleet.me, max(self.term, term)
                return self._declares(now)
            case LeaseLost(lease, term) if lease == LEASE and term == self.declarer.term:
                self.declarer.end()
            case HolderObserved(lease, holder, term) if lease == LEASE and term >= self.term:
                if holder != self.holder:
                    self.holder, self.term = holder, term
                    self._tell_soon(now)
            case SelfChanged(heard, reaches) if heard and reaches:
                self._tell_soon(now)
            case PeerChanged(peer, _, PeerState.ALIVE) if self.declarer.held(now):
                return self.declarer.alive(peer, now)
        return []

    def tick(self, now: float) -> list[Action]:
        actions = self._declares(now)
        if self.tell_at <= now:
            self.tell_at, self.told_at = NEVER, now
            if self.holder is not None and self.holder != self.fleet.me:
                actions.append(SendMessage(self.holder, self._has(), Urgency.CHANGE))
        if self.lacks_at <= now:
            self.lacks_at = NEVER
            if self.behind is not None:
                rules, own = self.behind.content.rules, self.own.rules
                why = "other rules" if rules and own and rules != own else "another list"
                actions.append(LogEvent("table_lacking", (("epoch", mark(self.behind.epoch)), ("why", why))))
        if self.until <= now and not self.ended and self.active is not None:
            self.ended = True
            why = "cut off" if self.behind is None else "another table was declared"
            fields = (("epoch", mark(self.active.epoch)), ("why", why))
            actions.append(LogEvent("table_given_up", fields))
        return actions

    def due(self) -> float:
        until = NEVER if self.ended else self.until
        return min(self.declarer.due(), self.tell_at, self.lacks_at, until)

    # --- inside ---

    def _owns(self, own: Content, now: float) -> list[Action]:
        if own == self.own:
            return []
        self.own = own
        if own.table:
            self.kept[own.table] = own.rules
            self.kept.move_to_end(own.table)
            while len(self.kept) > KEPT_MOST:
                self.kept.popitem(last=False)
        self._tell_soon(now)
        self.declarer.compiled(own, now)
        actions: list[Action] = []
        if self.behind is not None and self.may(self.behind):
            actions += self._take(self.behind, now)
        return actions + self._declares(now)

    def _heard(self, sender: Peer, message: TableAnnouncement, now: float) -> list[Action]:
        """A proposal is answered; a declaration is taken up, or confirms what is in use."""
        epoch = epoch_of(message.term, message.epoch_number)
        if message.term >= self.term and run_of(message.term) == sender:
            self.holder, self.term = sender, message.term
        self.asked = max(self.asked, epoch)
        actions: list[Action] = []
        if message.is_declaration:
            actions += self._declared(
                Declared(epoch, Content(message.table_digest, message.rules_digest)), now
            )
        # Who asks is answered, also where it holds nothing any more: it may not know of the term.
        self.tell_at = NEVER if sender == self.holder else self.tell_at
        return [*actions, SendMessage(sender, self._has(), Urgency.CHANGE)]

    def _has(self) -> TableAcknowledgement:
        """The highest epoch heard of: an answer to it, or the sign that an earlier one is over."""
        number = self.asked & (1 << NUMBERS) - 1
        active = 0 if self.active is None else mark(self.active.epoch)
        return TableAcknowledgement(number, self.asked >> NUMBERS, self.own.table, active)

    def _declared(self, declared: Declared, now: float) -> list[Action]:
        if self.active is not None and declared.epoch == self.active.epoch:
            if self.behind is None:
                self._counts(now)
            return []
        if not self.later(declared.epoch):
            return []
        if self.may(declared):
            return self._take(declared, now)
        if self.behind is None:
            self.lacks_at = now + LACKS
        if self.behind is None or self.behind.epoch < declared.epoch:
            self.behind = declared
        return []

    def later(self, epoch: int) -> bool:
        return self.active is None or epoch > self.active.epoch

    def may(self, declared: Declared) -> bool:
        """Whether this router has that very table."""
        return declared.content.table in self.kept

    def _take(self, declared: Declared, now: float) -> list[Action]:
        """Another epoch is in use here from now on."""
        digest, before = declared.content.table, self.table(now)
        if before is not None and before != digest:
            self.former = (before, now + LINGER)
        elif before is None:
            self.former = None
        self.active = declared
        if self.behind is not None and self.behind.epoch <= declared.epoch:
            self.behind, self.lacks_at = None, NEVER
        self._counts(now)
        former, until = self.former or (None, now)
        if before == digest:
            former, until = None, now
        return [TableChanged(declared.epoch, digest, former, until)]

    def _counts(self, now: float) -> None:
        """The epoch in use was heard to be that of all."""
        self.until, self.ended = now + self.bounds.epoch_s, False

    def _declares(self, now: float) -> list[Action]:
        """What this router does where it is the holder."""
        actions, made = self.declarer.tick(now)
        declared = self.declarer.declared
        if made is not None or (declared is not None and self.declarer.held(now)):
            assert declared is not None
            self.asked = max(self.asked, declared.epoch)
            # Its own word counts for itself as for others, as long as it holds the lease.
            actions += self._declared(declared, now)
        return actions

    def _tell_soon(self, now: float) -> None:
        self.tell_at = min(self.tell_at, max(now, self.told_at + TELL_PAUSE))
