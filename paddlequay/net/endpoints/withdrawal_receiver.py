"""Applies drains and removals of members that the other process of a hot restart was told of."""

from collections.abc import Iterable

from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.known_endpoints import with_state
from paddlequay.net.endpoints.link_withdrawals import NO_COMMON_NUMBER
from paddlequay.protocol.endpoint_watch import UNKNOWN_ADDRESS, Endpoint
from paddlequay.routing.interface import MemberState


class WithdrawalReceiver:
    """Applies withdrawals, and their revocation, to the members of one process.

    Args:
        watch: The endpoint watch, which keeps the withdrawals until its list names the members.
    """

    def __init__(self, watch: EndpointWatch) -> None:
        self.watch = watch

    def withdraw(self, endpoints: Iterable[Endpoint], number: int) -> None:
        """Withdraws members of which the other process was told that they drain or are removed.

        Args:
            endpoints: The members, as draining or removed.
            number: The number of the event that told it; 0 if the other process has other numbers.
        """
        if NO_COMMON_NUMBER < number <= self.watch.last_number:
            return
        if number == NO_COMMON_NUMBER:
            endpoints = [each for each in endpoints if not self.is_replaced(each)]
        withdrawn = list(map(self.as_withdrawn, endpoints))
        for endpoint in withdrawn:
            self.watch.withdrawals.add(endpoint, number)
        if withdrawn:
            self.watch.try_to_apply_changes(withdrawn)

    def as_withdrawn(self, endpoint: Endpoint) -> Endpoint:
        """Returns a withdrawn endpoint with the fields of the own one of the same id, if there is one."""
        own = self.watch.endpoints.get(endpoint.member.name)
        if own is None:
            return endpoint
        return with_state(own, endpoint.member.state or MemberState.READY)

    def is_replaced(self, endpoint: Endpoint) -> bool:
        """Returns whether the own endpoint of the same id started after a withdrawn one."""
        own = self.watch.endpoints.get(endpoint.member.name)
        if own is None or endpoint.address == UNKNOWN_ADDRESS:
            return False
        return (own.member.started or 0.0) > (endpoint.member.started or 0.0)

    def revoke(self, endpoints: Iterable[Endpoint]) -> None:
        """Puts members back in service of which the other process was told so."""
        returned = []
        for endpoint in endpoints:
            name = endpoint.member.name
            if self.watch.withdrawals.revoke(name):
                returned.append(self.watch.endpoints.setdefault(name, endpoint))
        if returned:
            self.watch.try_to_apply_changes(returned)
