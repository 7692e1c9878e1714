"""The holder's side of tables: asks what the routers have compiled, and declares what a majority has alike.

An epoch is the holder's term with a number that starts anew under each: no two runs share a term, so no two
holders ever make the same epoch, and a later holder's are higher, as its term is. One epoch names one table
for good; a rollback is a new epoch with the earlier table.

What is proposed is what a majority was last heard to have, or else the holder's own. So a holder whose own
list is late, or whose rules are others than the fleet's, does not stand in the way of the others.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from paddlequay.cluster.acceptor import counter
from paddlequay.cluster.messages import TableAcknowledgement, TableAnnouncement
from paddlequay.cluster.types import (
    NEVER,
    Action,
    ClusterBounds,
    Fleet,
    LogEvent,
    NameDigest,
    Peer,
    SendMessage,
    Urgency,
)
from paddlequay.placement.homes import digest

LEASE: NameDigest = digest("tables")

PAUSE = 0.25  # seconds from one proposal to the next: a list that changes often makes 4 epochs a second
RESEND = 0.2  # seconds for an answer, doubled from one try to the next up to `RESEND_MOST`
RESEND_MOST = 3.2
SAY = 5.0  # seconds between two lines on what is still not alike
ROUTINES = 6  # declarations in the time for which a router keeps to its table without one
NUMBERS = 32  # bits of an epoch that count under its term

Holds = Callable[[NameDigest, float], int | None]


def epoch_of(term: int, number: int) -> int:
    """Epochs are compared as numbers; 95 bits, never on the wire as one."""
    return term << NUMBERS | number


def mark(epoch: int) -> int:
    """Returns an epoch shortened to 63 bits for the wire, in order but for terms of the same counter."""
    return counter(epoch >> NUMBERS) << NUMBERS | epoch & (1 << NUMBERS) - 1


@dataclass(frozen=True, slots=True)
class Content:
    """What a router has compiled, or an epoch names. Digests; `table` 0: nothing, `rules` 0: not told."""

    table: int
    rules: int = 0


@dataclass(slots=True)
class Tries:
    """When notes go out again to those who have not answered; `NEVER`: to nobody."""

    at: float = NEVER
    gap: float = RESEND

    def start(self, now: float) -> None:
        self.at, self.gap = now + RESEND, RESEND

    def again(self, now: float) -> None:
        self.gap = min(RESEND_MOST, 2 * self.gap)
        self.at = now + self.gap


@dataclass(slots=True)
class Proposal:
    """An epoch that is not declared yet."""

    epoch: int
    content: Content
    since: float  # when the first of the proposals that came to nothing in a row was made
    tries: Tries


@dataclass(frozen=True, slots=True)
class Answer:
    """The highest epoch that a router had heard of, and what it had compiled then."""

    incarnation: int
    epoch: int
    table: int


@dataclass(frozen=True, slots=True)
class Declared:
    """An epoch that is active."""

    epoch: int
    content: Content

    def message(self) -> TableAnnouncement:
        return told(self.epoch, self.content, 1)


def told(epoch: int, content: Content, stage: int) -> TableAnnouncement:
    number = epoch & (1 << NUMBERS) - 1
    return TableAnnouncement(number, epoch >> NUMBERS, content.table, content.rules, stage)


class Declarer:
    """What the holder of the lease does. Memory: a digest for each router of the fleet.

    `own` is what this router itself has compiled. `declare` makes the actions of this router's own taking up.
    """

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, holds: Holds) -> None:
        self.fleet, self.holds = fleet, holds
        self.routine = bounds.epoch_s / ROUTINES
        self.own = Content(0)
        self.term = 0  # 0: this router is not the holder
        self.number = 0
        self.proposed = -math.inf
        self.proposal: Proposal | None = None
        self.declared: Declared | None = None
        self.answers: dict[Peer, Answer] = {}
        self.confirmed: dict[Peer, int] = {}  # marks of epochs in use
        self.tries = Tries()  # of the declaration
        self.routine_at = NEVER
        self.next = NEVER  # when another proposal may be made, or is looked for
        self.differs = NEVER  # since when tables differ
        self.said = -math.inf

    @property
    def majority(self) -> int:
        return self.fleet.size // 2 + 1

    # --- its life ---

    def begin(self, term: int, active: Declared | None, now: float) -> None:
        """The lease was taken. The epoch in use here is repeated until one of this term is agreed on."""
        self.end()
        self.term, self.declared = term, active
        self.number, self.proposed = 0, -math.inf
        self.answers[self.fleet.me] = Answer(0, 0, self.own.table)
        self.routine_at = self.next = now

    def end(self) -> None:
        self.term = 0
        self.proposal = self.declared = None
        self.answers.clear()
        self.confirmed.clear()
        self.tries = Tries()
        self.routine_at = self.next = self.differs = NEVER

    def held(self, now: float) -> bool:
        """Asked at each use: what a stopped process believed to hold may be another's."""
        return self.term != 0 and self.holds(LEASE, now) == self.term

    # --- what routers have ---

    def compiled(self, own: Content, now: float) -> None:
        self.own = own
        self.answers[self.fleet.me] = Answer(0, 0, own.table)
        self.look(now)

    def look(self, now: float) -> None:
        """Something has changed: see as soon as the pace allows."""
        if self.term:
            self.next = min(self.next, max(now, self.proposed + PAUSE))

    def heard(
        self, sender: Peer, incarnation: int, message: TableAcknowledgement, now: float
    ) -> list[Action]:
        """What a router has. Who is behind is told at once, whatever is waited for."""
        epoch = epoch_of(message.term, message.epoch_number)
        before = self.answers.get(sender)
        if before is not None and (incarnation, epoch) < (before.incarnation, before.epoch):
            return []  # overtaken by a later one
        self.answers[sender] = Answer(incarnation, epoch, message.table_digest)
        self.confirmed[sender] = message.active_epoch
        if before is None or before.table != message.table_digest:
            self.look(now)
        declared = self.declared
        if declared is not None and message.active_epoch != mark(declared.epoch):
            if message.active_epoch > mark(declared.epoch) and declared.epoch >> NUMBERS != self.term:
                # The holder before this one has declared a later epoch, which has not come here.
                self.declared, self.tries = None, Tries()
            elif epoch < declared.epoch and message.active_epoch < mark(declared.epoch):
                return [SendMessage(sender, declared.message(), Urgency.CHANGE)]
        return []

    def alive(self, peer: Peer, now: float) -> list[Action]:
        """A router is back, or has started anew: what it had is not known any more."""
        self.answers.pop(peer, None)
        self.confirmed.pop(peer, None)
        actions: list[Action] = []
        if self.declared is not None:
            actions.append(SendMessage(peer, self.declared.message(), Urgency.CHANGE))
            if self.tries.at == NEVER:
                self.tries.start(now)
        if self.proposal is not None:
            actions.append(
                SendMessage(peer, told(self.proposal.epoch, self.proposal.content, 0), Urgency.CHANGE)
            )
        return actions

    # --- what follows ---

    def wanted(self) -> Content:
        """What is to be declared: what a majority has, else the holder's own."""
        counts = Counter(answer.table for answer in self.answers.values() if answer.table)
        if counts:
            table, count = counts.most_common(1)[0]
            if count >= self.majority and table != self.own.table:
                return Content(table)
        return self.own

    def agreed(self, proposal: Proposal) -> bool:
        """A majority has said, asked about this epoch, that it has the table."""
        table = proposal.content.table
        alike = sum(
            peer == self.fleet.me or answer.epoch == proposal.epoch
            for peer, answer in self.answers.items()
            if answer.table == table
        )
        return table != 0 and alike >= self.majority

    def tick(self, now: float) -> tuple[list[Action], Declared | None]:
        """What is sent, and the epoch that was just declared."""
        if not self.term:
            return [], None
        if not self.held(now):
            self.end()
            return [], None
        actions: list[Action] = []
        made = None
        if self.proposal is not None and self.agreed(self.proposal):
            made = self.declared = Declared(self.proposal.epoch, self.proposal.content)
            actions += self.settled(self.proposal, now)
            self.proposal = None
            actions.append(SendMessage(None, made.message(), Urgency.CHANGE))
            self.tries.start(now)
            self.routine_at = now + self.routine
        if self.next <= now:
            actions += self.propose(now)
        if self.proposal is not None and self.proposal.tries.at <= now:
            self.proposal.tries.again(now)
            actions += self.ask_again(self.proposal, now)
        actions += self.repeat(now)
        return actions, made

    def propose(self, now: float) -> list[Action]:
        """A new epoch, where what is wanted is neither declared under this term nor proposed."""
        self.next = NEVER
        wanted, declared = self.wanted(), self.declared
        own = declared if declared is not None and declared.epoch >> NUMBERS == self.term else None
        if own is not None and wanted.table in (0, own.content.table):
            self.proposal = None
            return []
        if self.proposal is not None and self.proposal.content.table == wanted.table:
            return []
        since = self.proposal.since if self.proposal is not None else now
        self.number += 1
        self.proposal = Proposal(epoch_of(self.term, self.number), wanted, since, Tries())
        self.proposal.tries.start(now)
        self.proposed = now
        return [SendMessage(None, told(self.proposal.epoch, wanted, 0), Urgency.CHANGE)]

    def ask_again(self, proposal: Proposal, now: float) -> list[Action]:
        """Those who have not answered, or had something else then."""
        message = told(proposal.epoch, proposal.content, 0)
        agreeing = (proposal.epoch, proposal.content.table)
        alike = {peer for peer, each in self.answers.items() if (each.epoch, each.table) == agreeing}
        asked = [peer for peer in self.others() if peer not in alike]
        actions: list[Action] = [SendMessage(peer, message, Urgency.CHANGE) for peer in asked]
        return actions + self.differ(now)

    def differ(self, now: float) -> list[Action]:
        """Says for how long routers have had different tables, where that is no mere matter of lists."""
        counts = Counter(answer.table for answer in self.answers.values())
        if len(counts) < 2:
            self.differs = NEVER
            return []
        self.differs = min(self.differs, now)
        if now - self.differs < SAY / 2 or now - self.said < SAY:
            return []
        self.said = now
        fields = (
            ("for_s", round(now - self.differs, 1)),
            ("answered", len(self.answers)),
            ("tables", len(counts)),
            ("most_alike", max(counts.values())),
            ("needed", self.majority),
        )
        return [LogEvent("tables_differ", fields)]

    def settled(self, proposal: Proposal, now: float) -> list[Action]:
        took = round(now - proposal.since, 3)
        return [LogEvent("table_declared", (("epoch", mark(proposal.epoch)), ("took_s", took)))]

    def repeat(self, now: float) -> list[Action]:
        """The declaration: again to who has not confirmed it, now and then to all."""
        if self.declared is None:
            return []
        message = self.declared.message()
        if self.routine_at <= now:
            self.routine_at = now + self.routine
            return [SendMessage(None, message, Urgency.ROUTINE), *self.differ(now)]
        if self.tries.at <= now:
            active = mark(self.declared.epoch)
            left = [peer for peer in self.others() if self.confirmed.get(peer) != active]
            self.tries.again(now)
            if not left:
                self.tries = Tries()
            return [SendMessage(peer, message, Urgency.CHANGE) for peer in left]
        return []

    def others(self) -> list[Peer]:
        return [peer for peer in range(self.fleet.size) if peer != self.fleet.me]

    def due(self) -> float:
        if not self.term:
            return NEVER
        proposed = self.proposal.tries.at if self.proposal is not None else NEVER
        declared = min(self.tries.at, self.routine_at) if self.declared is not None else NEVER
        return min(self.next, proposed, declared)
