"""The endpoints as the list has them, and those that it has removed."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import replace

from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.protocol.membership_records import endpoint_of
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import LIST_SOURCE, MembershipState

MAX_REMOVED = 4_000  # removed endpoints that are remembered; the oldest are dropped


class KnownEndpoints:
    """The endpoints and the removed ones.

    Attributes:
        listed: The endpoints by id.
        removed: The removed endpoints that are not listed again, by id; at most `MAX_REMOVED`.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}
        self.removed: OrderedDict[str, Endpoint] = OrderedDict()

    def update(self, item: EndpointList, omissions_are_removals: bool) -> tuple[Endpoint, ...]:
        """Applies a list or its changes.

        Args:
            item: The list or its changes.
            omissions_are_removals: Whether members that a complete list omits are removed; else that is
                decided elsewhere, unless they were draining.

        Returns:
            The changed endpoints; those that were removed have the state `REMOVED` and their address.
        """
        drained = [
            with_state(known, MemberState.DRAINING)
            for known in map(self.listed.get, item.draining_ids)
            if known is not None
        ]
        changed = [*item.endpoints, *drained]
        if item.full:
            for omitted in self.omitted_by(changed):
                if omissions_are_removals or omitted.member.state is MemberState.DRAINING:
                    changed.append(with_state(omitted, MemberState.REMOVED))
                else:
                    del self.listed[omitted.member.name]
        return tuple(map(self.update_endpoint, changed))

    def omitted_by(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Returns the listed endpoints that are not among these."""
        names = {endpoint.member.name for endpoint in endpoints}
        return [known for name, known in self.listed.items() if name not in names]

    def update_endpoint(self, endpoint: Endpoint) -> Endpoint:
        """Updates one endpoint and returns it; a removed one has the address that it was listed with."""
        name = endpoint.member.name
        if endpoint.member.state is not MemberState.REMOVED:
            self.removed.pop(name, None)
            self.listed[name] = endpoint
            return endpoint
        known = self.listed.pop(name, None)
        if known is not None:
            endpoint = with_state(known, MemberState.REMOVED)
        if known is not None or name not in self.removed:
            self.remember_removal(endpoint)
        return endpoint

    def remember_removal(self, endpoint: Endpoint) -> None:
        """Remembers a removed endpoint unless its id is listed."""
        if endpoint.member.name in self.listed:
            return
        self.removed[endpoint.member.name] = endpoint
        while len(self.removed) > MAX_REMOVED:
            self.removed.popitem(last=False)

    def inherit_removals(self, state: MembershipState) -> None:
        """Remembers the removals of the list that a predecessor was told of."""
        for record in state.reports:
            if record.source == LIST_SOURCE and record.member.state is MemberState.REMOVED:
                self.remember_removal(endpoint_of(record.member))

    def withdrawn(self) -> list[Endpoint]:
        """Returns the draining and the removed endpoints."""
        draining = [each for each in self.listed.values() if each.member.state is MemberState.DRAINING]
        return [*draining, *self.removed.values()]


def with_state(endpoint: Endpoint, state: MemberState) -> Endpoint:
    """Returns an endpoint with another state."""
    return replace(endpoint, member=replace(endpoint.member, state=state))
