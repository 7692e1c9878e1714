"""DNS as a member source: follows the services in the settings and reports their members."""

import logging
import random
from collections.abc import Callable

from paddlequay.discovery.answers import Name
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetUpdate, RecordType
from paddlequay.discovery.srv import ServiceWatch
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.endpoints.dns import ResolverDriver
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.routing.membership_state import ReportedMember
from paddlequay.schema.discovery import DiscoverySettings

LOGGER = logging.getLogger(__name__)

REPORT_INTERVAL_S = 2.0


class DnsSource:
    """Follows the services of one router with a resolver; does nothing if the settings name no DNS server.

    Attributes:
        subscribed: The record sets that this source subscribes to at the resolver.
        has_changed: Whether a record set has changed since the last report.
        reported_at: When the last report was made, in seconds of the clock `now`.
    """

    def __init__(self, settings: DiscoverySettings, counters: Counters, now: Callable[[], float]) -> None:
        self.counters = counters
        self.now = now
        self.services = [ServiceWatch(service) for service in settings.services]
        self.subscribed: set[tuple[Name, RecordType]] = set()
        self.has_changed = False
        self.reported_at = 0.0
        self.driver: ResolverDriver | None = None
        if settings.servers:
            resolver = Resolver(settings.servers, random.SystemRandom())
            self.driver = ResolverDriver(resolver, counters, now, self.on_record_set)

    def start(self, background: TaskSupervisor) -> None:
        """Starts the resolver and the first lookups."""
        if self.driver is not None:
            background.supervise("resolver", self.driver.run)
            self.update_subscriptions()

    def close(self) -> None:
        """Closes all sockets."""
        if self.driver is not None:
            self.driver.close()

    def on_record_set(self, record_set: RecordSetUpdate) -> None:
        """Passes a changed record set to the services."""
        for service in self.services:
            if service.update(record_set):
                self.has_changed = True

    def update_subscriptions(self) -> None:
        """Subscribes to the record sets that the services need now, and unsubscribes from all others."""
        if self.driver is None:
            return
        resolver = self.driver.resolver
        now = self.now()
        needed = (service.required_names() for service in self.services)
        required: set[tuple[Name, RecordType]] = set().union(*needed)
        for name, record_type in self.subscribed - required:
            resolver.unsubscribe(name, record_type)
        for name, record_type in required - self.subscribed:
            try:
                self.driver.execute(resolver.subscribe(name, record_type, now))
            except ValueError as error:
                if self.counters.add_once("names_refused"):
                    log.event(LOGGER, logging.WARNING, "names_refused", why=str(error))
        self.subscribed = required

    def is_fresh(self) -> bool:
        """Returns whether the SRV records of all services are valid; otherwise DNS counts as silent."""
        now = self.now()
        for service in self.services:
            record_set = service.srv
            if (
                record_set is None
                or record_set.records is None
                or record_set.stale
                or now >= record_set.until
            ):
                return False
        return True

    def is_report_due(self) -> bool:
        """Returns whether a record set has changed or `REPORT_INTERVAL_S` has passed since the last report.

        The interval is needed because the SRV priority in use may change with time alone.
        """
        return self.has_changed or self.now() - self.reported_at > REPORT_INTERVAL_S

    def report(self) -> list[ReportedMember]:
        """Returns the current members of all services."""
        now = self.now()
        self.has_changed = False
        self.reported_at = now
        return [member for service in self.services for member in service.members(now)]
