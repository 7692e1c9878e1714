"""Passes the reports of member sources to the membership, and its changes to the pool and the exchange."""

import asyncio
import json
import logging
from collections.abc import Iterable
from dataclasses import replace

from paddlequay.discovery.explanation import explain, membership_page
from paddlequay.discovery.inheritance import export_state, inherit_state
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reconfiguration import with_sources
from paddlequay.discovery.reports import MembershipChange, TooManyMembersError
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.endpoints.dns_source import DnsSource
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch
from paddlequay.net.endpoints.member_changes import MemberChanges
from paddlequay.net.endpoints.saved_members import SavedMembers
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import EndpointList
from paddlequay.protocol.membership_records import reported_member
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import MemberState
from paddlequay.routing.membership_state import LIST_SOURCE, MembershipState, ReportedMember
from paddlequay.schema.discovery import DiscoverySettings

LOGGER = logging.getLogger(__name__)

# The names of the sources in the settings.
DNS_SOURCE = "dns"
SAVED_SOURCE = "kept"

TICK_INTERVAL_S = 0.25
SAVE_INTERVAL_S = 5.0


class MemberSources:
    """The member sources of one router: the endpoint list, DNS and the saved file.

    Attributes:
        membership: Decides which reported members are in service.
        changes: Applies the changes of the membership.
        needs_save: Whether the membership has changed since it was saved.
        saved_at: When the membership was last saved, in seconds of the clock `now`.
    """

    def __init__(
        self,
        settings: DiscoverySettings,
        endpoint_watch: EndpointWatch,
        exchange: Exchange,
        pool: ConnectionPool,
        counters: Counters,
        name: str,
    ) -> None:
        self.exchange = exchange
        self.pool = pool
        self.counters = counters
        self.endpoint_watch = endpoint_watch
        self.name = name
        self.settings = settings
        self.membership = Membership(settings.rules, settings.limits)
        self.dns = DnsSource(settings, counters, self.now)
        self.saved = self.make_saved_members()
        self.changes = MemberChanges(pool, exchange, counters)
        self.needs_save = False
        self.saved_at = 0.0
        self.background = TaskSupervisor(counters)
        endpoint_watch.on_endpoint_list = self.on_endpoint_list
        endpoint_watch.on_heartbeat = self.on_heartbeat
        endpoint_watch.on_inherited = self.inherit
        endpoint_watch.export_members = self.export_members
        self.recover()

    def now(self) -> float:
        """Returns the time of the routing policy's clock: Unix seconds that never go back."""
        return self.exchange.scheduler.monotonic() + self.exchange.attempts.clock_offset

    def has_source(self, source: str) -> bool:
        """Returns whether the settings contain a source."""
        return source in self.membership.sources

    def make_saved_members(self) -> SavedMembers | None:
        """Returns the file of saved members; None if the settings name no folder."""
        folder = self.settings.folder
        return None if folder is None else SavedMembers(folder, self.name, self.counters)

    def recover(self) -> None:
        """Restores the saved members of the last run, in case no source can be reached."""
        data = self.saved.load() if self.saved is not None else None
        if self.saved is None or data is None:
            return
        try:
            self.apply(self.membership.recover(data, SAVED_SOURCE, self.now()))
        except ValueError as error:
            self.saved.report_unreadable(error)
            return
        count = len(self.membership.members)
        log.event(LOGGER, logging.INFO, "members_from_file", count=count)

    def start(self) -> None:
        """Starts the periodic ticks and the DNS lookups."""
        self.background.supervise("members", self.tick_periodically)
        self.dns.start(self.background)

    def stop(self) -> None:
        """Cancels all tasks and closes all sockets."""
        for task in self.background.tasks:
            task.cancel()
        self.dns.close()

    def report(self, source: str, members: Iterable[ReportedMember], full: bool) -> None:
        """Applies a report of a source; if it has too many members, only the part about known members."""
        if not self.has_source(source):
            return
        members = tuple(members)
        now = self.now()
        try:
            self.apply(self.membership.report(source, members, full, now))
        except TooManyMembersError as error:
            if self.counters.add_once("members_refused"):
                log.event(LOGGER, logging.WARNING, "members_refused", why=str(error))
            # Reports on known members must still be applied, above all drains and removals.
            reports = self.membership.sources[source].reports
            known = [member for member in members if member.id in reports]
            self.apply(self.membership.report(source, known, False, now))

    def on_endpoint_list(self, item: EndpointList) -> None:
        """Reports the members of an endpoint list to the membership."""
        if not self.has_source(LIST_SOURCE):
            return
        reports = self.membership.sources[LIST_SOURCE].reports
        drained = [
            replace(reports[id].member, state=MemberState.DRAINING)
            for id in item.draining_ids
            if id in reports
        ]
        self.report(LIST_SOURCE, [*map(reported_member, item.endpoints), *drained], item.full)

    def export_members(self) -> MembershipState:
        """Returns what the sources have told, for a successor."""
        return export_state(self.membership)

    def inherit(self, listed: EndpointList | None, state: MembershipState) -> None:
        """Takes over what the predecessor was told.

        Args:
            listed: The predecessor's endpoint list; None if that of this process is later, or if the events
                of the two processes have different numbers.
            state: What the predecessor's sources have told.
        """
        later_sources = {LIST_SOURCE} if listed is None else set()
        dns = self.membership.sources.get(DNS_SOURCE)
        if dns is not None and dns.has_reported:
            later_sources.add(DNS_SOURCE)
        heard = dict(state.last_heard_at)
        now = self.now()
        if heard:
            # A membership in service knows better than the saved members of a process that has started.
            heard = {SAVED_SOURCE: now} | heard
        known = replace(state, last_heard_at=tuple(heard.items()))
        self.apply(inherit_state(self.membership, known, now, later_sources))
        if listed is not None and LIST_SOURCE not in heard:
            self.inherit_list(listed)
        if state.record_count:
            self.log_inherited(state)

    def inherit_list(self, listed: EndpointList) -> None:
        """Takes over the list of a predecessor without a membership.

        What the list lacks, the predecessor was told to remove.
        """
        if not self.has_source(LIST_SOURCE):
            return
        names = {endpoint.member.name for endpoint in listed.endpoints}
        reports = self.membership.sources[LIST_SOURCE].reports
        removed = [report.as_removed().member for id, report in reports.items() if id not in names]
        self.report(LIST_SOURCE, [*removed, *map(reported_member, listed.endpoints)], False)

    def log_inherited(self, state: MembershipState) -> None:
        """Logs how much of what kind the predecessor has handed over."""
        states = [record.member.state for record in state.reports]
        log.event(
            LOGGER,
            logging.INFO,
            "members_inherited",
            sources=",".join(name for name, _ in state.last_heard_at) or "none",
            ready=states.count(MemberState.READY),
            draining=states.count(MemberState.DRAINING),
            removed=states.count(MemberState.REMOVED),
            omitted=sum(record.missing_since is not None for record in state.reports),
            flapping=len(state.flaps),
        )

    def on_heartbeat(self) -> None:
        """Reports a heartbeat of the endpoint list to the membership."""
        if self.has_source(LIST_SOURCE):
            self.apply(self.membership.record_heartbeat(LIST_SOURCE, self.now()))

    async def tick_periodically(self) -> None:
        """Calls `tick` every `TICK_INTERVAL_S` seconds until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.tick()
            except Exception:  # an error of one tick must not end the task
                if self.counters.add_once("members_errors"):
                    LOGGER.exception("members_failed")

    def tick(self) -> None:
        """Applies the report of DNS if it is due, and the changes that come with time; saves the members."""
        now = self.now()
        if self.dns.driver is not None:
            self.tick_dns(now)
        self.apply(self.membership.tick(now))
        is_save_due = self.needs_save and now - self.saved_at > SAVE_INTERVAL_S
        if is_save_due and self.saved is not None:
            self.needs_save = False
            self.saved_at = now
            self.background.spawn("members_save", self.saved.save(self.membership.snapshot()))

    def tick_dns(self, now: float) -> None:
        """Reports the members of DNS, or a heartbeat if no report is due.

        While DNS answers are not valid, DNS is silent: `retain_for` limits how long its reports stay valid.
        """
        self.dns.update_subscriptions()
        if not self.dns.is_fresh():
            return
        if self.dns.is_report_due():
            self.report(DNS_SOURCE, self.dns.report(), True)
        else:
            self.apply(self.membership.record_heartbeat(DNS_SOURCE, now))

    def apply(self, changes: list[MembershipChange]) -> None:
        """Applies changes of the membership, and those that failed before."""
        if self.changes.apply(changes):
            self.needs_save = True

    def reload(self, settings: DiscoverySettings) -> None:
        """Replaces the sources.

        The reports of sources that remain are carried over; those of the others are dropped. Members known
        before and after are not announced again, so that their connections stay open.
        """
        membership, changes = with_sources(self.membership, settings.rules, settings.limits, self.now())
        has_new_list = not self.has_source(LIST_SOURCE)
        dns_changed = (settings.servers, settings.services) != (self.settings.servers, self.settings.services)
        self.settings = settings
        self.membership = membership
        self.saved = self.make_saved_members()
        if dns_changed:
            self.stop()
            self.dns = DnsSource(settings, self.counters, self.now)
            self.start()
        self.apply(changes)
        if has_new_list:
            self.on_endpoint_list(self.endpoint_watch.whole_list())

    def page(self) -> str:
        """Returns the sources and members as one line of JSON, for `GET /-/members`."""
        return json.dumps(membership_page(self.membership, self.now()))

    def explain(self, id: str) -> str:
        """Returns the reports on a member and the rule that decided on it, for `GET /-/members/ID`."""
        return "\n".join(explain(self.membership, id, self.now()))
