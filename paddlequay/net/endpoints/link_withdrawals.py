"""Drains and removals that the other process of a hot restart was told of, and this process not yet.

A withdrawal holds against the endpoints of this process until its own list names the member later than the
withdrawal. A withdrawal with the number of an event is later than events with lower numbers; one without a
number is earlier than any event that comes from now on.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from paddlequay.net.endpoints.known_endpoints import with_state
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.routing.interface import MemberState

MAX_WITHDRAWALS = 4_000  # the oldest are dropped
NO_COMMON_NUMBER = 0


@dataclass(frozen=True, slots=True)
class LinkWithdrawal:
    """A member that drains or was removed; `number` is that of the event that told it, if it is common."""

    endpoint: Endpoint
    number: int


class LinkWithdrawals:
    """The withdrawals by id, at most `MAX_WITHDRAWALS`."""

    def __init__(self) -> None:
        self.entries: OrderedDict[str, LinkWithdrawal] = OrderedDict()

    def add(self, endpoint: Endpoint, number: int) -> None:
        """Records a withdrawal."""
        name = endpoint.member.name
        self.entries.pop(name, None)
        self.entries[name] = LinkWithdrawal(endpoint, number)
        while len(self.entries) > MAX_WITHDRAWALS:
            self.entries.popitem(last=False)

    def revoke(self, name: str) -> bool:
        """Drops the withdrawal of a member if it has no number; returns whether it had such a one."""
        entry = self.entries.get(name)
        if entry is None or entry.number != NO_COMMON_NUMBER:
            return False
        del self.entries[name]
        return True

    def forget_until(self, number: int) -> None:
        """Drops the withdrawals that events up to a number have told."""
        for name, entry in list(self.entries.items()):
            if NO_COMMON_NUMBER < entry.number <= number:
                del self.entries[name]

    def apply_to(self, listed: EndpointList) -> EndpointList:
        """Returns a list of the own source with the members withdrawn that it tells earlier.

        Withdrawals of members that the list names later are dropped.
        """
        if not self.entries:
            return listed
        for name in (*(endpoint.member.name for endpoint in listed.endpoints), *listed.draining_ids):
            entry = self.entries.get(name)
            if entry is not None and listed.number >= entry.number:
                del self.entries[name]
        return replace(listed, endpoints=tuple(map(self.withdrawn, listed.endpoints)))

    def withdrawn(self, endpoint: Endpoint) -> Endpoint:
        """Returns an endpoint in the state that its withdrawal, if there is one, gives it."""
        entry = self.entries.get(endpoint.member.name)
        if entry is None or endpoint.member.state is MemberState.REMOVED:
            return endpoint
        return with_state(endpoint, entry.endpoint.member.state or MemberState.READY)

    def endpoints(self) -> Iterator[Endpoint]:
        """Yields the withdrawn endpoints."""
        return (entry.endpoint for entry in self.entries.values())
