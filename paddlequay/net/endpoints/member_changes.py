"""Applies the changes of the membership to the pool and the exchange."""

import logging
from collections.abc import Iterable

from paddlequay.discovery.reports import MembershipChange
from paddlequay.net.endpoints.endpoint_watch import apply_one_by_one
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Member

LOGGER = logging.getLogger(__name__)


class MemberChanges:
    """Applies changes of members, and keeps those that fail for the next time.

    Attributes:
        pending: The changes that are not applied yet, by member; bounded by the members.
    """

    def __init__(self, pool: ConnectionPool, exchange: Exchange, counters: Counters) -> None:
        self.pool = pool
        self.exchange = exchange
        self.counters = counters
        self.pending: dict[str, MembershipChange] = {}

    def apply(self, changes: Iterable[MembershipChange]) -> bool:
        """Applies changes, and those that failed before; returns whether there were any.

        A change that fails is kept, as the membership contains it already.
        """
        for change in changes:
            self.pending.pop(change.member.id, None)
            self.pending[change.member.id] = change
        if not self.pending:
            return False
        due = list(self.pending.values())
        self.pending = {}
        failed = self.announce(tuple(map(endpoint_of, due)))
        if failed:
            self.pending = {change.member.id: change for change in due if change.member.id in failed}
        for change in due:
            if change.member.id not in failed:
                self.log_change(change)
        return True

    def announce(self, listed: tuple[Endpoint, ...]) -> set[str]:
        """Passes endpoints to the pool and the exchange; returns the names of those that failed.

        The pool comes first, as a decision that follows may send to any listed member.
        """
        try:
            self.pool.update_endpoints(listed, False)
            self.exchange.update_members(tuple(entry.member for entry in listed), False)
        except Exception:  # the edge of one change of members: the other members must still be applied
            if self.counters.add_once("members_errors"):
                LOGGER.exception("members_failed")
            return apply_one_by_one(self.pool, self.exchange, listed)
        return set()

    def log_change(self, change: MembershipChange) -> None:
        """Counts and logs a change that is applied."""
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


def endpoint_of(change: MembershipChange) -> Endpoint:
    """Returns the changed member as an endpoint."""
    member = change.member
    return Endpoint(
        Member(
            member.id,
            member.zone,
            member.kind,
            member.cell,
            member.state,
            member.weight,
            member.started or 0.0,
        ),
        member.address,
    )
