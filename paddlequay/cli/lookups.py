"""Looks up an SRV service as the router does, for `paddlequay discovery resolve`."""

import asyncio
import random
import time
from collections.abc import Iterable, Iterator

import dns.name

from paddlequay.config.values import Address
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetUpdate, RecordType
from paddlequay.discovery.srv import Service, ServiceWatch
from paddlequay.net.endpoints.dns import ResolverDriver
from paddlequay.observability.counters import Counters
from paddlequay.routing.membership_state import ReportedMember

POLL_INTERVAL_S = 0.01
MEMBER_KIND = "box"


class ServiceLookup:
    """One lookup of a service and of its targets.

    Args:
        name: The name of the service, `_service._proto.zone`.
        servers: The DNS servers to query.

    Raises:
        dns.exception.DNSException, UnicodeError: The name is invalid.
    """

    def __init__(self, name: str, servers: Iterable[Address]) -> None:
        self.service = ServiceWatch(Service(dns.name.from_text(name), MEMBER_KIND))
        self.resolver = Resolver(servers, random.SystemRandom())
        self.known: list[RecordSetUpdate] = []

    async def run(self, seconds: float) -> None:
        """Queries for at most `seconds`, until all record sets that the service needs are known."""
        driver = ResolverDriver(self.resolver, Counters(), time.monotonic, self.known.append)
        driver_task = asyncio.ensure_future(driver.run())
        subscribed: set[tuple[dns.name.Name, RecordType]] = set()
        update_count = 0
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for key in self.service.required_names() - subscribed:
                subscribed.add(key)
                driver.execute(self.resolver.subscribe(*key, time.monotonic()))
            for known in self.known[update_count:]:
                self.service.update(known)
            update_count = len(self.known)
            if self._is_complete(subscribed):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        driver_task.cancel()
        driver.close()

    def _is_complete(self, subscribed: set[tuple[dns.name.Name, RecordType]]) -> bool:
        """Returns whether every record set that the service needs has been looked up."""
        known = {(each.name, each.type) for each in self.known}
        return subscribed == self.service.required_names() and known >= subscribed

    def members(self) -> list[ReportedMember]:
        """Returns the members that the router would use."""
        return self.service.members(time.monotonic())

    def describe(self) -> Iterator[str]:
        """Yields the lines that show the record sets and their remaining lifetimes in seconds."""
        now = time.monotonic()
        for known in self.known:
            remaining = f"{max(0.0, known.until - now):.0f} s"
            if known.records is None:
                remaining = f"nothing: {known.reason}"
            yield f"{known.name} {known.type.name} {remaining}"
            for record in known.records or ():
                yield f"    {record.data}"
        if self.service.not_offered:
            yield "the service is not offered here"
