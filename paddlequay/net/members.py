"""Discovery in the router: sources report to one membership, whose changes go to pool and exchange."""

import asyncio
import json
import logging
import random
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from paddlequay.discovery.answers import Name
from paddlequay.discovery.explanation import explain
from paddlequay.discovery.membership import Membership
from paddlequay.discovery.reports import MembershipChange, ReportedMember, TooManyMembersError
from paddlequay.discovery.resolver import Resolver
from paddlequay.discovery.resolver_types import RecordSetKnown, RecordType
from paddlequay.discovery.srv import ServiceWatch as ServiceFollower
from paddlequay.errors import RecordError
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.caches import ConnectionPool
from paddlequay.net.dns import ResolverDriver
from paddlequay.net.endpoint_watch import EndpointWatch, apply_one_by_one
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Member, MemberState
from paddlequay.schema.sources import DiscoverySettings
from paddlequay.store import files

LOGGER = logging.getLogger(__name__)

RECORD_KIND, RECORD_FORMAT = "members", 1
TICK_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 2.0
SAVE_INTERVAL_S = 5.0
MAX_SHOWN = 2000  # members that a call to the console lists


class MemberSources:
    """All sources of members of one router."""

    def __init__(
        self,
        settings: DiscoverySettings,
        follower: EndpointWatch,
        exchange: Exchange,
        pool: ConnectionPool,
        counters: Counters,
        name: str,
    ) -> None:
        self.exchange, self.pool, self.counters = exchange, pool, counters
        self.endpoint_watch, self.name = follower, name
        self.settings = settings
        self.membership = Membership(settings.rules, settings.limits)
        self.services: list[ServiceFollower] = []
        self.driver: ResolverDriver | None = None
        self.subscribed: set[tuple[Name, RecordType]] = set()
        self.pending_changes: dict[str, MembershipChange] = {}  # by id; bounded by the members
        self.dns_changed = False
        self.needs_save = False
        self.saved_at = self.dns_reported_at = 0.0
        self.background = TaskSupervisor(counters)
        self.make_resolver()
        follower.on_endpoint_list = self.on_endpoint_list
        follower.on_alive = self.on_alive
        self.recover()

    def now(self) -> float:
        """The decisions' clock: it never goes back, and stands on Unix time as start times do."""
        return self.exchange.scheduler.monotonic() + self.exchange.attempts.clock_offset

    def has_source(self, source: str) -> bool:
        """Whether the settings name a source."""
        return source in self.membership.sources

    def make_resolver(self) -> None:
        """The resolver and services that the settings name."""
        if self.driver is not None:
            self.driver.close()
        self.services = [ServiceFollower(service) for service in self.settings.services]
        self.subscribed = set()
        self.driver = None
        if self.settings.servers:
            resolver = Resolver(self.settings.servers, random.SystemRandom())
            self.driver = ResolverDriver(resolver, self.counters, self.now, self.on_record_set)

    def start(self) -> None:
        """Begin to look up and to keep time."""
        self.background.supervise("members", self.tick_periodically)
        if self.driver is not None:
            self.background.supervise("resolver", self.driver.run)
            self.update_subscriptions()

    def stop(self) -> None:
        """End all tasks and sockets."""
        for task in self.background.tasks:
            task.cancel()
        if self.driver is not None:
            self.driver.close()

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

    def on_record_set(self, known: RecordSetKnown) -> None:
        """A record set has changed."""
        for service in self.services:
            if service.update(known):
                self.dns_changed = True

    def update_subscriptions(self) -> None:
        """Subscribe to what the services need now, and no longer to what they do not."""
        assert self.driver is not None
        resolver, now = self.driver.resolver, self.now()
        required: set[tuple[Name, RecordType]] = set().union(
            *(service.required_names() for service in self.services)
        )
        for name, kind in self.subscribed - required:
            resolver.unsubscribe(name, kind)
        for name, kind in required - self.subscribed:
            try:
                self.driver.execute(resolver.subscribe(name, kind, now))
            except ValueError as error:
                if self.counters.add_once("names_refused"):
                    log.event(LOGGER, logging.WARNING, "names_refused", why=str(error))
        self.subscribed = required

    def is_dns_fresh(self) -> bool:
        """Whether all services are known by answers that still hold: else DNS says nothing new."""
        now = self.now()
        record_sets = [service.srv for service in self.services]
        return all(
            srv is not None and srv.records is not None and not srv.stale and now < srv.until
            for srv in record_sets
        )

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
        if self.driver is not None:
            self.update_subscriptions()
            if not self.is_dns_fresh():
                pass  # DNS says nothing: what it said holds as the rule has it
            elif self.dns_changed or now - self.dns_reported_at > REPORT_INTERVAL_S:
                # Tiers fall back and return by time as well: looked at now and then where nothing came.
                self.dns_changed, self.dns_reported_at = False, now
                self.report(
                    "dns", [member for service in self.services for member in service.members(now)], True
                )
            else:
                self.apply(self.membership.alive("dns", now))
        self.apply(self.membership.tick(now))
        if self.needs_save and now - self.saved_at > SAVE_INTERVAL_S and self.settings.folder is not None:
            self.needs_save, self.saved_at = False, now
            self.background.spawn("members_save", self.save())

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

    # --- kept over restarts ---

    @property
    def path(self) -> Path:
        """The file of members of the last run."""
        assert self.settings.folder is not None
        return self.settings.folder / f"members-{self.name}"

    def recover(self) -> None:
        """Begin with the members of the last run, in case no source can be reached."""
        if self.settings.folder is None:
            return
        try:
            body = files.load(self.path, RECORD_KIND, RECORD_FORMAT)
            if body is not None:
                self.apply(self.membership.recover(json.loads(body), "kept", self.now()))
                count = len(self.membership.members)
                log.event(LOGGER, logging.INFO, "members_from_file", count=count)
        except (OSError, RecordError, ValueError, TooManyMembersError) as error:
            self.counters.add("members_unreadable")
            log.event(LOGGER, logging.WARNING, "members_unreadable", path=self.path, why=str(error)[:200])

    async def save(self) -> None:
        """Save the members; a failure is counted and logged."""
        body = json.dumps(self.membership.snapshot(), separators=(",", ":")).encode()
        try:
            await asyncio.to_thread(files.save, self.path, RECORD_KIND, RECORD_FORMAT, body)
        except OSError as error:
            self.counters.add("members_not_saved")
            log.event(LOGGER, logging.WARNING, "members_not_saved", path=self.path, why=str(error))

    # --- changed while serving ---

    def reload(self, settings: DiscoverySettings) -> None:
        """Other sources from now on.

        What those that stay have reported holds; others' reports go as if never made. Members that both know
        are not announced anew, so that nothing in use is closed.
        """
        now, old = self.now(), self.membership
        new = Membership(settings.rules, settings.limits)
        for name, source in old.sources.items():
            if name in new.sources and source.reports:
                new.report(
                    name, [report.member for report in source.reports.values()], True, source.last_heard_at
                )
                new.sources[name].last_heard_at = source.last_heard_at
        for (name, id), report in old.index.removals.items():
            if name in new.sources and id not in new.sources[name].reports:
                new.index.record_removal(report)
        new.settle(dict.fromkeys([*new.index.reports_by_address]), now)
        new.started_at = old.started_at
        before = {change.member.id: change for change in old.members.values()}
        after = {change.member.id: change for change in new.members.values()}
        changes = [
            MembershipChange(as_removed(change.member), "authority", "its source was taken out")
            for id, change in before.items()
            if id not in after
        ]
        changes += [
            change for id, change in after.items() if id not in before or before[id].member != change.member
        ]
        dns_changed = (settings.servers, settings.services) != (self.settings.servers, self.settings.services)
        self.settings, self.membership = settings, new
        if dns_changed:
            self.stop()
            self.make_resolver()
            self.start()
        self.apply(changes)

    # --- told to people ---

    def page(self) -> str:
        """`GET /-/members`: sources and members, as one line of JSON."""
        now = self.now()
        sources = {
            name: {
                "live": source.is_live(now),
                "words": len(source.reports),
                "heard_s_ago": round(now - source.last_heard_at, 1) if source.has_reported else None,
                "left_out": sum(report.missing_since is not None for report in source.reports.values()),
                "refused": source.rejected_reports,
            }
            for name, source in self.membership.sources.items()
        }
        changes = list(self.membership.members.values())
        members = [
            {
                "id": change.member.id,
                "at": f"{change.member.address[0]}:{change.member.address[1]}",
                "state": change.member.state.value,
                "rule": change.rule,
                "why": change.reason,
            }
            for change in changes[:MAX_SHOWN]
        ]
        return json.dumps({"sources": sources, "count": len(changes), "members": members})

    def explain(self, id: str) -> str:
        """`GET /-/members/ID`: which source said what, and which rule won."""
        return "\n".join(explain(self.membership, id, self.now()))


def as_removed(member: ReportedMember) -> ReportedMember:
    """A member, removed."""
    return replace(member, state=MemberState.REMOVED)


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
