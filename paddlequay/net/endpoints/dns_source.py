"""DNS as a source of members: the services of the settings, what they subscribe to, and their reports."""

import logging
import random
from collections.abc import Callable

from paddlequay.discovery.answers import Name
from paddlequay.discovery.reports import ReportedMember
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetKnown, RecordType
from paddlequay.discovery.srv import ServiceWatch
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.endpoints.dns import ResolverDriver
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.schema.discovery import DiscoverySettings

LOGGER = logging.getLogger(__name__)

REPORT_INTERVAL_S = 2.0


class DnsSource:
    """The services of one router and the resolver that looks them up; without servers it does nothing."""

    def __init__(self, settings: DiscoverySettings, counters: Counters, now: Callable[[], float]) -> None:
        self.counters, self.now = counters, now
        self.services = [ServiceWatch(service) for service in settings.services]
        self.subscribed: set[tuple[Name, RecordType]] = set()
        self.has_changed = False
        self.reported_at = 0.0
        self.driver: ResolverDriver | None = None
        if settings.servers:
            resolver = Resolver(settings.servers, random.SystemRandom())
            self.driver = ResolverDriver(resolver, counters, now, self.on_record_set)

    def start(self, background: TaskSupervisor) -> None:
        """Begin to look up."""
        if self.driver is not None:
            background.supervise("resolver", self.driver.run)
            self.update_subscriptions()

    def close(self) -> None:
        """Close all sockets."""
        if self.driver is not None:
            self.driver.close()

    def on_record_set(self, known: RecordSetKnown) -> None:
        """A record set has changed."""
        for service in self.services:
            if service.update(known):
                self.has_changed = True

    def update_subscriptions(self) -> None:
        """Subscribe to what the services need now, and no longer to what they do not."""
        if self.driver is None:
            return
        resolver, now = self.driver.resolver, self.now()
        needed = (service.required_names() for service in self.services)
        required: set[tuple[Name, RecordType]] = set().union(*needed)
        for name, kind in self.subscribed - required:
            resolver.unsubscribe(name, kind)
        for name, kind in required - self.subscribed:
            try:
                self.driver.execute(resolver.subscribe(name, kind, now))
            except ValueError as error:
                if self.counters.add_once("names_refused"):
                    log.event(LOGGER, logging.WARNING, "names_refused", why=str(error))
        self.subscribed = required

    def is_fresh(self) -> bool:
        """Whether all services are known by answers that still hold: else DNS says nothing new."""
        now = self.now()
        for service in self.services:
            known = service.srv
            if known is None or known.records is None or known.stale or now >= known.until:
                return False
        return True

    def is_report_due(self) -> bool:
        """Whether something has changed, or the last report is `REPORT_INTERVAL_S` old.

        Tiers fall back and return by time as well: looked at now and then where nothing came.
        """
        return self.has_changed or self.now() - self.reported_at > REPORT_INTERVAL_S

    def report(self) -> list[ReportedMember]:
        """The members that the services give now."""
        now = self.now()
        self.has_changed, self.reported_at = False, now
        return [member for service in self.services for member in service.members(now)]
