"""Applies the changes of the membership to the pool and the exchange."""

import logging
from collections.abc import Iterable

from paddlequay.discovery.reports import MembershipChange
from paddlequay.net.endpoints.endpoint_watch import apply_one_by_one
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.protocol.membership_records import endpoint_of
from paddlequay.requests.exchange import Exchange

LOGGER = logging.getLogger(__name__)


class MemberChanges:
    """Applies changes of members, and retries those that failed at the next call.

    Attributes:
        pending: The changes that have failed, by member id; at most one per member.
    """

    def __init__(self, pool: ConnectionPool, exchange: Exchange, counters: Counters) -> None:
        self.pool = pool
        self.exchange = exchange
        self.counters = counters
        self.pending: dict[str, MembershipChange] = {}

    def apply(self, changes: Iterable[MembershipChange]) -> bool:
        """Applies changes, and those that failed before; returns whether there were any.

        A failed change is retried, because the membership already contains it and does not report it again.
        """
        for change in changes:
            self.pending.pop(change.member.id, None)
            self.pending[change.member.id] = change
        if not self.pending:
            return False
        due = list(self.pending.values())
        self.pending = {}
        failed = self.announce(tuple(endpoint_of(change.member) for change in due))
        if failed:
            self.pending = {change.member.id: change for change in due if change.member.id in failed}
        for change in due:
            if change.member.id not in failed:
                self.log_change(change)
        return True

    def announce(self, endpoints: tuple[Endpoint, ...]) -> set[str]:
        """Passes endpoints to the pool and the exchange; returns the names of those that failed.

        The pool is updated first, because a request may be sent to any member once the exchange knows it.
        """
        try:
            self.pool.update_endpoints(endpoints, False)
            self.exchange.update_members(tuple(entry.member for entry in endpoints), False)
        except Exception:  # the other members must still be applied
            if self.counters.add_once("members_errors"):
                LOGGER.exception("members_failed")
            return apply_one_by_one(self.pool, self.exchange, endpoints)
        return set()

    def log_change(self, change: MembershipChange) -> None:
        """Counts and logs an applied change."""
        member = change.member
        self.counters.add(f"members.{change.rule}")
        log.event(
            LOGGER,
            logging.INFO,
            "member",
            id=member.id,
            at=f"{member.address[0]}:{member.address[1]}",
            state=member.state.value,
            rule=change.rule,
            why=change.reason,
        )
