"""The tables that the routers of a fleet have compiled, as reported to the holder of the tables' lease."""

from collections import Counter
from dataclasses import dataclass

from paddlequay.cluster.messages import TableAcknowledgement
from paddlequay.cluster.table_epochs import TableContent, epoch_of
from paddlequay.cluster.types import NEVER, Fleet, LogEvent, Peer

LOG_INTERVAL_S = 5.0  # between two `tables_differ` log events


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """A router's last acknowledgement: the highest epoch it knew, and the digest of its compiled table."""

    incarnation: int
    epoch: int
    table: int


class TableAnswers:
    """The last answer of each router, and the epoch that each router uses, as returned by `short_epoch`."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.by_peer: dict[Peer, TableAnswer] = {}
        self.used_epochs: dict[Peer, int] = {}

    @property
    def majority(self) -> int:
        """The number of routers that must have a table before it is declared."""
        return self.fleet.size // 2 + 1

    def clear(self) -> None:
        """Drops all answers."""
        self.by_peer.clear()
        self.used_epochs.clear()

    def forget(self, peer: Peer) -> None:
        """Drops the answer of a router that has restarted or was unreachable."""
        self.by_peer.pop(peer, None)
        self.used_epochs.pop(peer, None)

    def record_own_table(self, table: int) -> None:
        """Records what this router itself has compiled."""
        self.by_peer[self.fleet.me] = TableAnswer(0, 0, table)

    def is_outdated(self, sender: Peer, incarnation: int, message: TableAcknowledgement) -> bool:
        """Returns whether a later answer of the same router has already been recorded."""
        known = self.by_peer.get(sender)
        if known is None:
            return False
        epoch = epoch_of(message.term, message.epoch_number)
        return (incarnation, epoch) < (known.incarnation, known.epoch)

    def record(self, sender: Peer, incarnation: int, message: TableAcknowledgement) -> bool:
        """Records an answer; returns whether the router's table differs from its previous one."""
        former = self.by_peer.get(sender)
        epoch = epoch_of(message.term, message.epoch_number)
        self.by_peer[sender] = TableAnswer(incarnation, epoch, message.table_digest)
        self.used_epochs[sender] = message.active_epoch
        return former is None or former.table != message.table_digest

    def content_to_propose(self, own_content: TableContent) -> TableContent:
        """Returns the table that a majority has, or this router's own if there is none.

        A holder with an outdated endpoint list or with different rules therefore does not block the fleet.
        """
        counts = Counter(answer.table for answer in self.by_peer.values() if answer.table)
        if counts:
            table, count = counts.most_common(1)[0]
            if count >= self.majority and table != own_content.table:
                return TableContent(table)
        return own_content

    def has_majority(self, epoch: int, table: int) -> bool:
        """Returns whether a majority has acknowledged this epoch and has this table."""
        agreeing = sum(
            peer == self.fleet.me or answer.epoch == epoch
            for peer, answer in self.by_peer.items()
            if answer.table == table
        )
        return table != 0 and agreeing >= self.majority

    def peers_not_agreeing(self, epoch: int, table: int) -> list[Peer]:
        """Returns the other routers that have not acknowledged an epoch, or that have another table."""
        agreeing = {
            peer for peer, answer in self.by_peer.items() if (answer.epoch, answer.table) == (epoch, table)
        }
        return [peer for peer in self._others() if peer not in agreeing]

    def peers_not_using(self, short_epoch: int) -> list[Peer]:
        """Returns the other routers that have not confirmed that they use the epoch with this short form."""
        return [peer for peer in self._others() if self.used_epochs.get(peer) != short_epoch]

    def table_counts(self) -> Counter[int]:
        """Returns how many routers have each table."""
        return Counter(answer.table for answer in self.by_peer.values())

    def _others(self) -> list[Peer]:
        return [peer for peer in range(self.fleet.size) if peer != self.fleet.me]


class DisagreementLog:
    """Logs that routers have different tables if that lasts longer than endpoint lists usually differ."""

    def __init__(self, answers: TableAnswers) -> None:
        self.answers = answers
        self._differing_since = NEVER
        self._logged_at = -NEVER

    def reset(self) -> None:
        """Starts measuring again, for a new term."""
        self._differing_since = NEVER

    def check(self, now: float) -> list[LogEvent]:
        """Returns a log event if the tables differ and an event is due."""
        counts = self.answers.table_counts()
        if len(counts) < 2:
            self._differing_since = NEVER
            return []
        self._differing_since = min(self._differing_since, now)
        if now - self._differing_since < LOG_INTERVAL_S / 2 or now - self._logged_at < LOG_INTERVAL_S:
            return []
        self._logged_at = now
        fields = (
            ("for_s", round(now - self._differing_since, 1)),
            ("answered", len(self.answers.by_peer)),
            ("tables", len(counts)),
            ("most_alike", max(counts.values())),
            ("needed", self.answers.majority),
        )
        return [LogEvent("tables_differ", fields)]
