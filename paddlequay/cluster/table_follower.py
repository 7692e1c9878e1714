"""Tracks which epoch of placement tables this router uses, and until when that epoch is valid."""

from collections import OrderedDict
from dataclasses import dataclass

from paddlequay.cluster.table_epochs import NO_TABLE, DeclaredEpoch, TableContent, short_epoch
from paddlequay.cluster.types import NEVER, Action, LogEvent, TableChanged

MAX_OWN_TABLES = 4  # endpoint lists change faster than routers agree: an earlier one may be declared
PREVIOUS_TABLE_S = 60.0  # during which its homes are still asked, as in a migration of the hierarchy
# Routers receive endpoint lists seconds apart, so that a table often arrives a little later than its epoch.
PENDING_LOG_DELAY_S = 3.0


@dataclass(frozen=True, slots=True)
class PreviousTable:
    """The digest of the table in use before, and the time until which its homes are still asked."""

    digest: int
    used_until: float


class TableFollower:
    """Follows declared epochs, each as soon as this router has compiled its table.

    An epoch stays valid for `validity_s` seconds after the last declaration that confirmed it.
    """

    def __init__(self, validity_s: float) -> None:
        self.validity_s = validity_s
        self.own_content = NO_TABLE
        self.active: DeclaredEpoch | None = None
        self._own_tables: OrderedDict[int, int] = OrderedDict()  # rules digest by table digest
        self._valid_until = NEVER
        self._expiry_logged = True
        self._previous: PreviousTable | None = None
        self._pending_epoch: DeclaredEpoch | None = None  # a later one without its table
        self._log_pending_at = NEVER

    def is_valid(self, now: float) -> bool:
        """Returns whether an epoch is valid now."""
        return self.active is not None and now < self._valid_until

    def epoch_in_use(self, now: float) -> int | None:
        """Returns the epoch that is valid now, or None."""
        return self.active.epoch if self.active is not None and now < self._valid_until else None

    def table_in_use(self, now: float) -> int | None:
        """Returns the digest of the table in use now, or None."""
        return self.active.content.table if self.active is not None and now < self._valid_until else None

    def needed_tables(self, now: float) -> set[int]:
        """Returns the digests of the tables that may still be used."""
        digests = set(self._own_tables)
        if self.active is not None:
            digests.add(self.active.content.table)
        if self._previous is not None and now < self._previous.used_until:
            digests.add(self._previous.digest)
        return digests

    def set_own_content(self, own_content: TableContent, now: float) -> list[Action]:
        """Records what this router has compiled, and activates a declared epoch that waited for it."""
        self.own_content = own_content
        if own_content.table:
            self._own_tables[own_content.table] = own_content.rules
            self._own_tables.move_to_end(own_content.table)
            while len(self._own_tables) > MAX_OWN_TABLES:
                self._own_tables.popitem(last=False)
        if self._pending_epoch is not None and self.has_table_of(self._pending_epoch):
            return self.activate(self._pending_epoch, now)
        return []

    def handle_declaration(self, declared: DeclaredEpoch, now: float) -> list[Action]:
        """Activates a later epoch once its table is here, or extends the validity of the one in use."""
        if self.active is not None and declared.epoch == self.active.epoch:
            if self._pending_epoch is None:
                self._extend(now)
            return []
        if not self.is_later(declared.epoch):
            return []
        if self.has_table_of(declared):
            return self.activate(declared, now)
        if self._pending_epoch is None:
            self._log_pending_at = now + PENDING_LOG_DELAY_S
        if self._pending_epoch is None or self._pending_epoch.epoch < declared.epoch:
            self._pending_epoch = declared
        return []

    def is_later(self, epoch: int) -> bool:
        """Returns whether an epoch is higher than the one in use, which must never decrease."""
        return self.active is None or epoch > self.active.epoch

    def has_table_of(self, declared: DeclaredEpoch) -> bool:
        """Returns whether this router has compiled the table of an epoch."""
        return declared.content.table in self._own_tables

    def activate(self, declared: DeclaredEpoch, now: float) -> list[Action]:
        """Makes an epoch the one in use."""
        digest = declared.content.table
        previous_digest = self.table_in_use(now)
        if previous_digest is None:
            self._previous = None
        elif previous_digest != digest:
            self._previous = PreviousTable(previous_digest, now + PREVIOUS_TABLE_S)
        self.active = declared
        if self._pending_epoch is not None and self._pending_epoch.epoch <= declared.epoch:
            self._pending_epoch = None
            self._log_pending_at = NEVER
        self._extend(now)
        if self._previous is None or previous_digest == digest:
            return [TableChanged(declared.epoch, digest, None, now)]
        return [TableChanged(declared.epoch, digest, self._previous.digest, self._previous.used_until)]

    def _extend(self, now: float) -> None:
        """Restarts the validity of the epoch in use, which a declaration has just confirmed."""
        self._valid_until = now + self.validity_s
        self._expiry_logged = False

    def due(self) -> float:
        """Returns when `tick` next has something to log."""
        return min(self._log_pending_at, NEVER if self._expiry_logged else self._valid_until)

    def tick(self, now: float) -> list[Action]:
        """Logs that a declared table is still missing here, or that the epoch in use has expired."""
        actions: list[Action] = []
        if self._log_pending_at <= now:
            self._log_pending_at = NEVER
            if self._pending_epoch is not None:
                actions.append(self._pending_epoch_event(self._pending_epoch))
        if self._valid_until <= now and not self._expiry_logged and self.active is not None:
            self._expiry_logged = True
            why = "cut off" if self._pending_epoch is None else "another table was declared"
            fields = (("epoch", short_epoch(self.active.epoch)), ("why", why))
            actions.append(LogEvent("table_given_up", fields))
        return actions

    def _pending_epoch_event(self, pending: DeclaredEpoch) -> LogEvent:
        rules = pending.content.rules
        own_rules = self.own_content.rules
        has_other_rules = rules and own_rules and rules != own_rules
        why = "other rules" if has_other_rules else "another list"
        return LogEvent("table_lacking", (("epoch", short_epoch(pending.epoch)), ("why", why)))
