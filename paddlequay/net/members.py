"""Discovery in the router: sources report to one membership, whose changes go to pool and exchange."""

import asyncio
import json
import logging
import random
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

from paddlequay.discovery.answers import Name
from paddlequay.discovery.membership import Box, Change, Membership, TooManyError
from paddlequay.discovery.resolver import Kind, Known, Resolver
from paddlequay.discovery.srv import Follower as ServiceFollower
from paddlequay.errors import RecordError
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.net.caches import ConnectionPool
from paddlequay.net.dns import Driver
from paddlequay.net.endpoint_watch import EndpointWatch, apply_one_by_one
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import Endpoint, EndpointList
from paddlequay.requests.exchange import Exchange
from paddlequay.routing.interface import Member, MemberState
from paddlequay.schema.sources import DiscoverySettings
from paddlequay.store import files

LOGGER = logging.getLogger(__name__)

KIND, FORM = "members", 1
BEAT = 0.25
REPORT = 2.0
SAVE_PAUSE = 5.0
SHOWN_MOST = 2000  # members that a call to the console lists


class Members:
    """All sources of one router."""

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
        self.bulletin, self.name = follower, name
        self.settings = settings
        self.membership = Membership(settings.rules, settings.limits)
        self.services: list[ServiceFollower] = []
        self.driver: Driver | None = None
        self.wanted: set[tuple[Name, Kind]] = set()
        self.untold: dict[str, Change] = {}  # by id; bounded by the members
        self.dirty = False
        self.unsaved = False
        self.saved_at = self.reported = 0.0
        self.background = TaskSupervisor(counters)
        self.set_up()
        follower.on_endpoint_list = self.roster
        follower.on_alive = self.alive
        self.recover()

    def now(self) -> float:
        """The decisions' clock: it never goes back, and stands on Unix time as start times do."""
        return self.exchange.scheduler.monotonic() + self.exchange.attempts.clock_offset

    def has(self, source: str) -> bool:
        return source in self.membership.sources

    def set_up(self) -> None:
        """The resolver and services that the settings name."""
        if self.driver is not None:
            self.driver.close()
        self.services = [ServiceFollower(service) for service in self.settings.services]
        self.wanted = set()
        self.driver = None
        if self.settings.servers:
            resolver = Resolver(self.settings.servers, random.SystemRandom())
            self.driver = Driver(resolver, self.counters, self.now, self.known)

    def start(self) -> None:
        """Begin to ask and to keep time."""
        self.background.supervise("members", self.beating)
        if self.driver is not None:
            self.background.supervise("resolver", self.driver.run)
            self.follow()

    def stop(self) -> None:
        for task in self.background.tasks:
            task.cancel()
        if self.driver is not None:
            self.driver.close()

    # --- what sources say ---

    def report(self, source: str, boxes: Iterable[Box], full: bool) -> None:
        if not self.has(source):
            return
        boxes, now = tuple(boxes), self.now()
        try:
            self.apply(self.membership.report(source, boxes, full, now))
        except TooManyError as error:
            if self.counters.add_once("members_refused"):
                log.event(LOGGER, logging.WARNING, "members_refused", why=str(error))
            # What it says of those that are members holds all the same: drains and ends above all.
            words = self.membership.sources[source].words
            named = [box for box in boxes if box.id in words]
            self.apply(self.membership.report(source, named, False, now))

    def roster(self, item: EndpointList) -> None:
        if not self.has("list"):
            return
        words = self.membership.sources["list"].words
        drained = [
            replace(words[id].box, state=MemberState.DRAINING) for id in item.draining_ids if id in words
        ]
        self.report("list", [*map(box_of, item.endpoints), *drained], item.full)

    def alive(self) -> None:
        if self.has("list"):
            self.apply(self.membership.alive("list", self.now()))

    def known(self, known: Known) -> None:
        """News of a set of records."""
        if any([service.known(known) for service in self.services]):  # each service hears of it
            self.dirty = True

    def follow(self) -> None:
        """Ask for what the services need now, and no longer for what they do not."""
        assert self.driver is not None
        resolver, now = self.driver.resolver, self.now()
        wants: set[tuple[Name, Kind]] = set().union(*(service.wants() for service in self.services))
        for name, kind in self.wanted - wants:
            resolver.unwant(name, kind)
        for name, kind in wants - self.wanted:
            try:
                self.driver.carry(resolver.want(name, kind, now))
            except ValueError as error:
                if self.counters.add_once("names_refused"):
                    log.event(LOGGER, logging.WARNING, "names_refused", why=str(error))
        self.wanted = wants

    def fresh(self) -> bool:
        """Whether all services are known by answers that still hold: else DNS says nothing new."""
        now = self.now()
        heard = [service.srv for service in self.services]
        return all(
            srv is not None and srv.records is not None and not srv.stale and now < srv.until for srv in heard
        )

    async def beating(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            try:
                self.beat()
            except Exception:
                if self.counters.add_once("members_errors"):
                    LOGGER.exception("members_failed")

    def beat(self) -> None:
        now = self.now()
        if self.driver is not None:
            self.follow()
            if not self.fresh():
                pass  # DNS says nothing: what it said holds as the rule has it
            elif self.dirty or now - self.reported > REPORT:
                # Tiers fall back and return by time as well: looked at now and then where nothing came.
                self.dirty, self.reported = False, now
                self.report("dns", [box for service in self.services for box in service.boxes(now)], True)
            else:
                self.apply(self.membership.alive("dns", now))
        self.apply(self.membership.tick(now))
        if self.unsaved and now - self.saved_at > SAVE_PAUSE and self.settings.folder is not None:
            self.unsaved, self.saved_at = False, now
            self.background.spawn("members_save", self.save())

    def apply(self, changes: list[Change]) -> None:
        """Changes to pool and exchange, the pool first: a decision may send to whom it names.

        Those that could not be told are told again at each beat: the membership has them already.
        """
        for change in changes:
            self.untold.pop(change.box.id, None)
            self.untold[change.box.id] = change
        if not self.untold:
            return
        self.unsaved = True
        changes, self.untold = list(self.untold.values()), {}
        listed = tuple(map(listed_of, changes))
        try:
            self.pool.update_endpoints(listed, False)
            self.exchange.update_members(tuple(entry.member for entry in listed), False)
        except Exception:
            if self.counters.add_once("members_errors"):
                LOGGER.exception("members_failed")
            failed = apply_one_by_one(self.pool, self.exchange, listed)
            self.untold = {change.box.id: change for change in changes if change.box.id in failed}
            changes = [change for change in changes if change.box.id not in failed]
        for change in changes:
            self.counters.add(f"members.{change.rule}")
            log.event(
                LOGGER,
                logging.INFO,
                "member",
                id=change.box.id,
                at=f"{change.box.address[0]}:{change.box.address[1]}",
                state=change.box.state.value,
                rule=change.rule,
                why=change.why,
            )

    # --- kept over restarts ---

    @property
    def path(self) -> Path:
        assert self.settings.folder is not None
        return self.settings.folder / f"members-{self.name}"

    def recover(self) -> None:
        """Begin with the members of the last run, in case no source can be reached."""
        if self.settings.folder is None:
            return
        try:
            body = files.load(self.path, KIND, FORM)
            if body is not None:
                self.apply(self.membership.recover(json.loads(body), "kept", self.now()))
                count = len(self.membership.members)
                log.event(LOGGER, logging.INFO, "members_from_file", count=count)
        except (OSError, RecordError, ValueError, TooManyError) as error:
            self.counters.add("members_unreadable")
            log.event(LOGGER, logging.WARNING, "members_unreadable", path=self.path, why=str(error)[:200])

    async def save(self) -> None:
        body = json.dumps(self.membership.snapshot(), separators=(",", ":")).encode()
        try:
            await asyncio.to_thread(files.save, self.path, KIND, FORM, body)
        except OSError as error:
            self.counters.add("members_not_saved")
            log.event(LOGGER, logging.WARNING, "members_not_saved", path=self.path, why=str(error))

    # --- changed while serving ---

    def reload(self, settings: DiscoverySettings) -> None:
        """Other sources from now on. What those that stay have said holds; others' words go as if never told.

        Members that both know are not told anew, so that nothing in use is closed.
        """
        now, old = self.now(), self.membership
        new = Membership(settings.rules, settings.limits)
        for name, source in old.sources.items():
            if name in new.sources and source.words:
                new.report(name, [word.box for word in source.words.values()], True, source.heard)
                new.sources[name].heard = source.heard
        for (name, id), word in old.ended.items():
            if name in new.sources and id not in new.sources[name].words:
                new.end((name, id), word)
        new.settle(dict.fromkeys([*new.at]), now)
        new.began = old.began
        before = {change.box.id: change for change in old.members.values()}
        after = {change.box.id: change for change in new.members.values()}
        changes = [
            Change(gone(change.box), "authority", "its source was taken out")
            for id, change in before.items()
            if id not in after
        ]
        changes += [
            change for id, change in after.items() if id not in before or before[id].box != change.box
        ]
        dns_changed = (settings.servers, settings.services) != (self.settings.servers, self.settings.services)
        self.settings, self.membership = settings, new
        if dns_changed:
            self.stop()
            self.set_up()
            self.start()
        self.apply(changes)

    # --- told to people ---

    def page(self) -> str:
        """`GET /-/members`: sources and members, as one line of JSON."""
        now = self.now()
        sources = {
            name: {
                "live": self.membership.live(source, now),
                "words": len(source.words),
                "heard_s_ago": round(now - source.heard, 1) if source.reported else None,
                "left_out": sum(word.missing_since is not None for word in source.words.values()),
                "refused": source.refused,
            }
            for name, source in self.membership.sources.items()
        }
        changes = list(self.membership.members.values())
        members = [
            {
                "id": change.box.id,
                "at": f"{change.box.address[0]}:{change.box.address[1]}",
                "state": change.box.state.value,
                "rule": change.rule,
                "why": change.why,
            }
            for change in changes[:SHOWN_MOST]
        ]
        return json.dumps({"sources": sources, "count": len(changes), "members": members})

    def explain(self, id: str) -> str:
        """`GET /-/members/ID`: which source said what, and which rule won."""
        return "\n".join(self.membership.explain(id, self.now()))


def gone(box: Box) -> Box:
    return replace(box, state=MemberState.REMOVED)


def box_of(listed: Endpoint) -> Box:
    member = listed.member
    return Box(
        member.name,
        listed.address,
        member.kind,
        member.zone,
        member.cell,
        member.weight,
        member.started,
        member.state or MemberState.READY,
    )


def listed_of(change: Change) -> Endpoint:
    box = change.box
    return Endpoint(
        Member(box.id, box.zone, box.kind, box.cell, box.state, box.weight, box.started or 0.0), box.address
    )
