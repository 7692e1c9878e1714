"""What the routers of a fleet have compiled, as far as the holder of the tables' lease was told."""

from collections import Counter
from dataclasses import dataclass

from paddlequay.cluster.messages import TableAcknowledgement
from paddlequay.cluster.table_epochs import TableContent, epoch_of
from paddlequay.cluster.types import NEVER, Fleet, LogEvent, Peer

LOG_INTERVAL_S = 5.0  # between two lines on tables that differ


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The highest epoch that a router had heard of, and the digest of what it had compiled then."""

    incarnation: int
    epoch: int
    table: int


class TableAnswers:
    """One answer for each router, and the epoch that each router uses, shortened."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.by_peer: dict[Peer, TableAnswer] = {}
        self.used_epochs: dict[Peer, int] = {}

    @property
    def majority(self) -> int:
        """How many of all routers have to have a table before it is declared."""
        return self.fleet.size // 2 + 1

    def clear(self) -> None:
        """Forgets all answers."""
        self.by_peer.clear()
        self.used_epochs.clear()

    def forget(self, peer: Peer) -> None:
        """Forgets the answer of a router that has restarted, or was unreachable."""
        self.by_peer.pop(peer, None)
        self.used_epochs.pop(peer, None)

    def record_own(self, table: int) -> None:
        """Records what this router itself has compiled."""
        self.by_peer[self.fleet.me] = TableAnswer(0, 0, table)

    def is_outdated(self, sender: Peer, incarnation: int, message: TableAcknowledgement) -> bool:
        """Returns whether a later answer of a router is known."""
        known = self.by_peer.get(sender)
        if known is None:
            return False
        epoch = epoch_of(message.term, message.epoch_number)
        return (incarnation, epoch) < (known.incarnation, known.epoch)

    def record(self, sender: Peer, incarnation: int, message: TableAcknowledgement) -> bool:
        """Records an answer; returns whether the router's table is another than before."""
        former = self.by_peer.get(sender)
        epoch = epoch_of(message.term, message.epoch_number)
        self.by_peer[sender] = TableAnswer(incarnation, epoch, message.table_digest)
        self.used_epochs[sender] = message.active_epoch
        return former is None or former.table != message.table_digest

    def content_to_propose(self, own: TableContent) -> TableContent:
        """Returns the table that a majority has, else this router's own.

        So a holder whose endpoint list is late, or whose rules are others, does not stop the fleet.
        """
        counts = Counter(answer.table for answer in self.by_peer.values() if answer.table)
        if counts:
            table, count = counts.most_common(1)[0]
            if count >= self.majority and table != own.table:
                return TableContent(table)
        return own

    def has_majority(self, epoch: int, table: int) -> bool:
        """Returns whether a majority has answered, asked about this epoch, that it has this table."""
        agreeing = sum(
            peer == self.fleet.me or answer.epoch == epoch
            for peer, answer in self.by_peer.items()
            if answer.table == table
        )
        return table != 0 and agreeing >= self.majority

    def not_agreeing(self, epoch: int, table: int) -> list[Peer]:
        """Returns the other routers that have not answered about an epoch, or with another table."""
        agreeing = {
            peer for peer, answer in self.by_peer.items() if (answer.epoch, answer.table) == (epoch, table)
        }
        return [peer for peer in self._others() if peer not in agreeing]

    def not_using(self, short: int) -> list[Peer]:
        """Returns the other routers that have not confirmed to use an epoch."""
        return [peer for peer in self._others() if self.used_epochs.get(peer) != short]

    def table_counts(self) -> Counter[int]:
        """Returns how many routers have each table."""
        return Counter(answer.table for answer in self.by_peer.values())

    def _others(self) -> list[Peer]:
        return [peer for peer in range(self.fleet.size) if peer != self.fleet.me]


class DisagreementLog:
    """Logs for how long routers have had different tables, where that lasts longer than lists differ."""

    def __init__(self, answers: TableAnswers) -> None:
        self.answers = answers
        self._since = NEVER
        self._logged_at = -NEVER

    def reset(self) -> None:
        """Starts anew with a term."""
        self._since = NEVER

    def check(self, now: float) -> list[LogEvent]:
        """Returns a log event where one is due."""
        counts = self.answers.table_counts()
        if len(counts) < 2:
            self._since = NEVER
            return []
        self._since = min(self._since, now)
        if now - self._since < LOG_INTERVAL_S / 2 or now - self._logged_at < LOG_INTERVAL_S:
            return []
        self._logged_at = now
        fields = (
            ("for_s", round(now - self._since, 1)),
            ("answered", len(self.answers.by_peer)),
            ("tables", len(counts)),
            ("most_alike", max(counts.values())),
            ("needed", self.answers.majority),
        )
        return [LogEvent("tables_differ", fields)]
