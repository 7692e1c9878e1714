"""Epochs of placement tables: how they are numbered, what they refer to, and how they are announced.

An epoch combines the term of a holder with a number that restarts under each term. No two runs share a term,
so no two holders ever create the same epoch, and a later holder's epochs are higher because its term is
higher. An epoch refers to one table and never to another; a rollback is a new epoch with the earlier table.
"""

from dataclasses import dataclass

from paddlequay.cluster.ballots import counter_of
from paddlequay.cluster.messages import TableAnnouncement
from paddlequay.cluster.types import NameDigest
from paddlequay.placement.homes import digest

TABLES_LEASE: NameDigest = digest("tables")

EPOCH_NUMBER_BITS = 32
MAX_EPOCH_NUMBER = (1 << EPOCH_NUMBER_BITS) - 1


def epoch_of(term: int, number: int) -> int:
    """Returns an epoch as a number of 95 bits that can be compared; messages carry both parts."""
    return term << EPOCH_NUMBER_BITS | number


def term_of(epoch: int) -> int:
    """Returns the term under which an epoch was created."""
    return epoch >> EPOCH_NUMBER_BITS


def number_of(epoch: int) -> int:
    """Returns the number of an epoch under its term."""
    return epoch & MAX_EPOCH_NUMBER


def short_epoch(epoch: int) -> int:
    """Returns an epoch in 63 bits, for messages and logs; the order is kept unless terms share a counter."""
    return counter_of(term_of(epoch)) << EPOCH_NUMBER_BITS | number_of(epoch)


@dataclass(frozen=True, slots=True)
class TableContent:
    """The digests of a compiled table and its rules: of a router's own, or of an epoch's.

    Attributes:
        table: The digest of the compiled table, 0 for none.
        rules: The digest of the text of the rules, 0 if unknown.
    """

    table: int
    rules: int = 0


NO_TABLE = TableContent(0)


@dataclass(frozen=True, slots=True)
class DeclaredEpoch:
    """An epoch whose table a majority of routers has, with the digests of that table and its rules."""

    epoch: int
    content: TableContent

    def announcement(self) -> TableAnnouncement:
        """Returns the message that declares it."""
        return announcement(self.epoch, self.content, is_declaration=True)


def announcement(epoch: int, content: TableContent, is_declaration: bool) -> TableAnnouncement:
    """Returns the message that proposes or declares an epoch."""
    return TableAnnouncement(
        number_of(epoch), term_of(epoch), content.table, content.rules, int(is_declaration)
    )
