"""Discovery in the router: sources report to one membership, whose changes go to pool and exchange."""

import asyncio
import json
import logging
from collections.abc import Iterable
from dataclasses import replace

from paddlequay.discovery.explanation import explain, membership_page
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reconfiguration import with_sources
from paddlequay.discovery.reports import MembershipChange, ReportedMember, TooManyMembersError
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.endpoints.dns_source import DnsSource
from paddlequay.net.endpoints.endpoint_watch import EndpointWatch, apply_one_by_one
from paddlequay.net.endpoints.saved_members import SavedMembers
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Member, MemberState
from paddlequay.schema.discovery import DiscoverySettings

LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25
SAVE_INTERVAL_S = 5.0


class MemberSources:
    """All sources of members of one router."""

    def __init__(
        self,
        settings: DiscoverySettings,
        endpoint_watch: EndpointWatch,
        exchange: Exchange,
        pool: ConnectionPool,
        counters: Counters,
        name: str,
    ) -> None:
        self.exchange, self.pool, self.counters = exchange, pool, counters
        self.endpoint_watch, self.name = endpoint_watch, name
        self.settings = settings
        self.membership = Membership(settings.rules, settings.limits)
        self.dns = DnsSource(settings, counters, self.now)
        self.saved = self.make_saved()
        self.pending_changes: dict[str, MembershipChange] = {}  # by id; bounded by the members
        self.needs_save = False
        self.saved_at = 0.0
        self.background = TaskSupervisor(counters)
        endpoint_watch.on_endpoint_list = self.on_endpoint_list
        endpoint_watch.on_alive = self.on_alive
        self.recover()

    def now(self) -> float:
        """The decisions' clock: it never goes back, and stands on Unix time as start times do."""
        return self.exchange.scheduler.monotonic() + self.exchange.attempts.clock_offset

    def has_source(self, source: str) -> bool:
        """Whether the settings name a source."""
        return source in self.membership.sources

    def make_saved(self) -> SavedMembers | None:
        """The file of members, where the settings name a folder."""
        folder = self.settings.folder
        return None if folder is None else SavedMembers(folder, self.name, self.counters)

    def recover(self) -> None:
        """Begin with the members of the last run, in case no source can be reached."""
        data = self.saved.load() if self.saved is not None else None
        if self.saved is None or data is None:
            return
        try:
            self.apply(self.membership.recover(data, "kept", self.now()))
        except ValueError as error:
            return self.saved.report_unreadable(error)
        count = len(self.membership.members)
        log.event(LOGGER, logging.INFO, "members_from_file", count=count)

    def start(self) -> None:
        """Begin to look up and to keep time."""
        self.background.supervise("members", self.tick_periodically)
        self.dns.start(self.background)

    def stop(self) -> None:
        """End all tasks and sockets."""
        for task in self.background.tasks:
            task.cancel()
        self.dns.close()

    # --- what sources say ---

    def report(self, source: str, members: Iterable[ReportedMember], full: bool) -> None:
        """A report of a source; one of too many members still binds those that are known."""
        if not self.has_source(source):
            return
        members, now = tuple(members), self.now()
        try:
            self.apply(self.membership.report(source, members, full, now))
        except TooManyMembersError as error:
            if self.counters.add_once("members_refused"):
                log.event(LOGGER, logging.WARNING, "members_refused", why=str(error))
            # What it says of those that are members holds all the same: drains and ends above all.
            reports = self.membership.sources[source].reports
            named = [member for member in members if member.id in reports]
            self.apply(self.membership.report(source, named, False, now))

    def on_endpoint_list(self, item: EndpointList) -> None:
        """The endpoint list has changed."""
        if not self.has_source("list"):
            return
        reports = self.membership.sources["list"].reports
        drained = [
            replace(reports[id].member, state=MemberState.DRAINING)
            for id in item.draining_ids
            if id in reports
        ]
        self.report("list", [*map(reported_member, item.endpoints), *drained], item.full)

    def on_alive(self) -> None:
        """The endpoint list has no news."""
        if self.has_source("list"):
            self.apply(self.membership.alive("list", self.now()))

    async def tick_periodically(self) -> None:
        """Tick for as long as the program runs."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.tick()
            except Exception:
                if self.counters.add_once("members_errors"):
                    LOGGER.exception("members_failed")

    def tick(self) -> None:
        """What time alone changes, and a report of DNS where it is due."""
        now = self.now()
        if self.dns.driver is not None:
            self.tick_dns(now)
        self.apply(self.membership.tick(now))
        if self.needs_save and now - self.saved_at > SAVE_INTERVAL_S and self.saved is not None:
            self.needs_save, self.saved_at = False, now
            self.background.spawn("members_save", self.saved.save(self.membership.snapshot()))

    def tick_dns(self, now: float) -> None:
        """What DNS says now. While it says nothing, its reports hold as the rules have it."""
        self.dns.update_subscriptions()
        if not self.dns.is_fresh():
            return
        if self.dns.is_report_due():
            self.report("dns", self.dns.report(), True)
        else:
            self.apply(self.membership.alive("dns", now))

    def apply(self, changes: list[MembershipChange]) -> None:
        """Changes to pool and exchange, the pool first: a decision may send to whom it names.

        Those that could not be announced are announced again at each tick: the membership has them already.
        """
        for change in changes:
            self.pending_changes.pop(change.member.id, None)
            self.pending_changes[change.member.id] = change
        if not self.pending_changes:
            return
        self.needs_save = True
        changes, self.pending_changes = list(self.pending_changes.values()), {}
        listed = tuple(map(endpoint_of, changes))
        try:
            self.pool.update_endpoints(listed, False)
            self.exchange.update_members(tuple(entry.member for entry in listed), False)
        except Exception:
            if self.counters.add_once("members_errors"):
                LOGGER.exception("members_failed")
            failed = apply_one_by_one(self.pool, self.exchange, listed)
            self.pending_changes = {
                change.member.id: change for change in changes if change.member.id in failed
            }
            changes = [change for change in changes if change.member.id not in failed]
        for change in changes:
            self.counters.add(f"members.{change.rule}")
            log.event(
                LOGGER,
                logging.INFO,
                "member",
                id=change.member.id,
                at=f"{change.member.address[0]}:{change.member.address[1]}",
                state=change.member.state.value,
                rule=change.rule,
                why=change.reason,
            )

    # --- changed while serving ---

    def reload(self, settings: DiscoverySettings) -> None:
        """Other sources from now on.

        What those that stay have reported holds; others' reports go as if never made. Members that both know
        are not announced anew, so that nothing in use is closed.
        """
        membership, changes = with_sources(self.membership, settings.rules, settings.limits, self.now())
        dns_changed = (settings.servers, settings.services) != (self.settings.servers, self.settings.services)
        self.settings, self.membership = settings, membership
        self.saved = self.make_saved()
        if dns_changed:
            self.stop()
            self.dns = DnsSource(settings, self.counters, self.now)
            self.start()
        self.apply(changes)

    # --- for operators ---

    def page(self) -> str:
        """`GET /-/members`: sources and members, as one line of JSON."""
        return json.dumps(membership_page(self.membership, self.now()))

    def explain(self, id: str) -> str:
        """`GET /-/members/ID`: which source said what, and which rule won."""
        return "\n".join(explain(self.membership, id, self.now()))


def reported_member(listed: Endpoint) -> ReportedMember:
    """An endpoint as a source's report."""
    member = listed.member
    return ReportedMember(
        member.name,
        listed.address,
        member.kind,
        member.zone,
        member.cell,
        member.weight,
        member.started,
        member.state or MemberState.READY,
    )


def endpoint_of(change: MembershipChange) -> Endpoint:
    """A change as an endpoint."""
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
