"""Which epoch of placement tables one router uses, and until when it counts on it."""

from collections import OrderedDict
from dataclasses import dataclass

from paddlequay.cluster.table_epochs import NO_TABLE, DeclaredEpoch, TableContent, short_epoch
from paddlequay.cluster.types import NEVER, Action, LogEvent, TableChanged

MAX_OWN_TABLES = 4  # that a declaration may still name: lists change faster than routers agree
FORMER_TABLE_S = 60.0  # for which a former table's homes are asked, as in a migration of the hierarchy
LACKING_LOG_DELAY_S = 3.0  # before a lacking table is logged: endpoint lists come seconds apart


@dataclass(frozen=True, slots=True)
class FormerTable:
    """The digest of the table in use before, and until when its homes are asked."""

    digest: int
    asked_until: float


class TableFollower:
    """Uses the epochs that are declared, as soon as this router has their tables.

    An epoch is counted on for `validity_s` from when this router last heard that it is in use.
    """

    def __init__(self, validity_s: float) -> None:
        self.validity_s = validity_s
        self.own = NO_TABLE
        self.active: DeclaredEpoch | None = None
        self._own_tables: OrderedDict[int, int] = OrderedDict()  # digests of tables and of their rules
        self._valid_until = NEVER
        self._expiry_logged = True
        self._former: FormerTable | None = None
        self._lacking: DeclaredEpoch | None = None  # a later declared epoch whose table is not here
        self._log_lacking_at = NEVER

    # --- use ---

    def is_valid(self, now: float) -> bool:
        """Returns whether an epoch is in use at this moment."""
        return self.active is not None and now < self._valid_until

    def epoch_in_use(self, now: float) -> int | None:
        """Returns the epoch to follow at this moment, or None."""
        return self.active.epoch if self.active is not None and now < self._valid_until else None

    def table_in_use(self, now: float) -> int | None:
        """Returns the digest of the table in use at this moment, or None."""
        return self.active.content.table if self.active is not None and now < self._valid_until else None

    def needed_tables(self, now: float) -> set[int]:
        """Returns the digests of the tables that may still be used."""
        digests = set(self._own_tables)
        if self.active is not None:
            digests.add(self.active.content.table)
        if self._former is not None and now < self._former.asked_until:
            digests.add(self._former.digest)
        return digests

    # --- changes ---

    def set_own(self, own: TableContent, now: float) -> list[Action]:
        """Records what this router has compiled, and takes up a declared epoch that waited for it."""
        self.own = own
        if own.table:
            self._own_tables[own.table] = own.rules
            self._own_tables.move_to_end(own.table)
            while len(self._own_tables) > MAX_OWN_TABLES:
                self._own_tables.popitem(last=False)
        if self._lacking is not None and self.has_table_of(self._lacking):
            return self.take_up(self._lacking, now)
        return []

    def handle_declaration(self, declared: DeclaredEpoch, now: float) -> list[Action]:
        """Takes a declared epoch up, or counts on the one in use for longer."""
        if self.active is not None and declared.epoch == self.active.epoch:
            if self._lacking is None:
                self._extend(now)
            return []
        if not self.is_later(declared.epoch):
            return []
        if self.has_table_of(declared):
            return self.take_up(declared, now)
        if self._lacking is None:
            self._log_lacking_at = now + LACKING_LOG_DELAY_S
        if self._lacking is None or self._lacking.epoch < declared.epoch:
            self._lacking = declared
        return []

    def is_later(self, epoch: int) -> bool:
        """Returns whether an epoch is higher than the one in use: epochs in use only grow."""
        return self.active is None or epoch > self.active.epoch

    def has_table_of(self, declared: DeclaredEpoch) -> bool:
        """Returns whether this router has the table that an epoch names."""
        return declared.content.table in self._own_tables

    def take_up(self, declared: DeclaredEpoch, now: float) -> list[Action]:
        """Uses an epoch from now on."""
        digest = declared.content.table
        former_digest = self.table_in_use(now)
        if former_digest is None:
            self._former = None
        elif former_digest != digest:
            self._former = FormerTable(former_digest, now + FORMER_TABLE_S)
        self.active = declared
        if self._lacking is not None and self._lacking.epoch <= declared.epoch:
            self._lacking = None
            self._log_lacking_at = NEVER
        self._extend(now)
        if self._former is None or former_digest == digest:
            return [TableChanged(declared.epoch, digest, None, now)]
        return [TableChanged(declared.epoch, digest, self._former.digest, self._former.asked_until)]

    def _extend(self, now: float) -> None:
        """Counts on the epoch in use anew: it was heard to be that of all."""
        self._valid_until = now + self.validity_s
        self._expiry_logged = False

    # --- time ---

    def due(self) -> float:
        """Returns when `tick` next has something to log."""
        return min(self._log_lacking_at, NEVER if self._expiry_logged else self._valid_until)

    def tick(self, now: float) -> list[Action]:
        """Logs that a declared table is lacking here, and that the epoch in use was given up."""
        actions: list[Action] = []
        if self._log_lacking_at <= now:
            self._log_lacking_at = NEVER
            if self._lacking is not None:
                actions.append(self._lacking_event(self._lacking))
        if self._valid_until <= now and not self._expiry_logged and self.active is not None:
            self._expiry_logged = True
            why = "cut off" if self._lacking is None else "another table was declared"
            fields = (("epoch", short_epoch(self.active.epoch)), ("why", why))
            actions.append(LogEvent("table_given_up", fields))
        return actions

    def _lacking_event(self, lacking: DeclaredEpoch) -> LogEvent:
        rules = lacking.content.rules
        own_rules = self.own.rules
        has_other_rules = rules and own_rules and rules != own_rules
        why = "other rules" if has_other_rules else "another list"
        return LogEvent("table_lacking", (("epoch", short_epoch(lacking.epoch)), ("why", why)))
