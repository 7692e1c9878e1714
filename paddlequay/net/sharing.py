"""Joins a router's cluster with its exchange: what happens here goes in, what the fleet decides comes out.

The cluster's parts decide; this carries. It is asked by the exchange at the moment of use (`Watch`), by the
socket between routers (`Owner`), and by operators for a page. Where nothing is shared it does not exist.
"""

import asyncio
import json
import logging
import time
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from paddlequay import log
from paddlequay.asks import Ask, Attempt, End, Open
from paddlequay.cluster import evidence
from paddlequay.cluster.limits import Ticket
from paddlequay.cluster.node import News, Node
from paddlequay.cluster.notes import Note as PeerNote
from paddlequay.cluster.settings import By, ClusterSettings, Mode
from paddlequay.cluster.types import Action, Fleet, Local, Name, Peer, Say, VerdictChanged
from paddlequay.cluster.wire import Head
from paddlequay.config import Config, Peering
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.interface import FleetWord, Member, Note
from paddlequay.net.peers import Peers
from paddlequay.placement.homes import digest

LOGGER = logging.getLogger(__name__)

LOG_PAUSE = 5.0  # seconds between two lines of a kind
NAMES_MOST = 20_000  # of members by digest
TRY_PAUSE = 0.1  # seconds between two tries to join beside an older process
OUT_PAUSE = 0.3  # told a client whose request falls under a strict limit meanwhile
LEAVE_S = 0.1  # a leave that was not written on for so long is asked for anew
PAGE_WORDS = 200  # subjects on the operators' page


@dataclass(slots=True)
class Leave:
    """What a request was let through by, when, and whether it was written since."""

    ticket: Ticket
    at: float
    used: bool = False


class Sharing:
    """One router's share in the cluster. Raises ValueError where settings and peers do not fit.

    There is no `node` while another process of this router has the peers' address, as when one process
    replaces another: two would use one share. Until it is free, requests under strict limits are refused.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        peering: Peering,
        config: Config,
        exchange: Exchange,
        counters: Counters,
    ) -> None:
        acceptors = settings.acceptors
        if any(number >= len(peering.peers) for number in acceptors):
            raise ValueError(f"acceptors {list(acceptors)}: there are {len(peering.peers)} peers")
        self.settings, self.exchange, self.counters = settings, exchange, counters
        self.loop = asyncio.get_running_loop()
        self.peering, self.seed = peering, config.seed
        self.fleet = Fleet(peering.me, len(peering.peers), acceptors, config.settings.zone)
        self.longest = max(kind.deadline for kind in config.settings.classes)
        self.node: Node | None = None
        self.peers: Peers | None = None
        self.waiting: asyncio.Task[None] | None = None
        self.made()  # what cannot be used is said now
        self.requests: dict[str, Leave] = {}  # by serial; ends with the request
        self.writes: dict[str, list[tuple[Attempt, Ticket]]] = {}  # the same, for what is out
        self.names: OrderedDict[Name, str] = OrderedDict()
        self.logged: dict[str, float] = {}
        self.matches = {rule.match for rule in settings.limits}

    # --- its life ---

    def made(self) -> tuple[Node, Peers]:
        """A new life in the cluster: nothing of an earlier one is left, and its number is higher."""
        now = self.loop.time()
        node = Node(self.settings, self.fleet, time.time(), self.seed, now, self.longest)
        told = self.peering
        clock, wire = self.loop.time, node.wire
        owner = Life(self, node)
        peers = Peers(told.listen, told.peers, told.to_all, wire, node.outbox, self.counters, owner, clock)
        return node, peers

    async def start(self) -> None:
        """Join, or wait for the address beside a process that has it."""
        if not await self.join():
            log.event(LOGGER, logging.INFO, "cluster_waits", why="another process has the peers' address")
            self.waiting = asyncio.ensure_future(self.wait())

    async def wait(self) -> None:
        while not await self.join():
            await asyncio.sleep(TRY_PAUSE)

    async def join(self) -> bool:
        """Whether the address could be had; the floors of limits fill from then on."""
        node, peers = self.made()
        try:
            await peers.start()
        except OSError:
            peers.close()
            return False
        self.node, self.peers = node, peers
        log.event(LOGGER, logging.INFO, "cluster_joined", me=self.fleet.me, of=self.fleet.size)
        return True

    def leave(self) -> None:
        """Give back what others would have to wait for; the rest goes on, as in a drain."""
        if self.node is not None and self.peers is not None:
            self.told(self.node.leave(self.loop.time()))
            self.peers.flush()

    def stop(self) -> None:
        """Leave for good: the address is free, and nothing more is admitted under strict limits."""
        self.leave()
        if self.waiting is not None:
            self.waiting.cancel()
        if self.peers is not None:
            self.peers.close()
        self.node = self.peers = None

    # --- the exchange's Watch ---

    def asked(self, item: Open, left: float) -> float | None:
        limits = self.node.limits if self.node is not None else None
        if limits is None:
            return OUT_PAUSE if self.node is None and self.shut(item.ask) else None
        answer = limits.admit_all(self.under(item.ask), self.loop.time(), left)
        self.wake()
        if isinstance(answer, Ticket):
            if answer.limits:
                self.requests[item.serial] = Leave(answer, self.loop.time())
                self.counters.add("limit.admitted")
            return None
        self.counters.add(f"limit.refused.{answer.rule}")
        return answer.retry_in

    @staticmethod
    def under(ask: Ask) -> list[tuple[By, str]]:
        """What a request falls under."""
        under: list[tuple[By, str]] = [(By.CLASS, ask.class_name)]
        if ask.group is not None:
            under.append((By.GROUP, str(ask.group)))
        if ask.tenant is not None:
            under.append((By.TENANT, ask.tenant))
        return under

    def renewed(self, attempt: Attempt, left: float) -> bool:
        """Whether the request's leave still stands for its first write.

        One that was given longer ago than `LEAVE_S` has to be given anew: a process that was stopped between,
        or waited for a connection, may not act on what it held.
        """
        leave, now = self.requests.get(attempt.owner.serial), self.loop.time()
        if leave is None or leave.used or self.node is None or self.node.limits is None:
            return True
        leave.used = True
        if now - leave.at <= LEAVE_S:
            return True
        self.give_back(leave.ticket)
        del self.requests[attempt.owner.serial]
        answer = self.node.limits.admit_all(self.under(attempt.owner.ask), now, left)
        if not isinstance(answer, Ticket):
            return False
        self.requests[attempt.owner.serial] = Leave(answer, now, used=True)
        return True

    def shut(self, ask: Ask) -> bool:
        """Whether it falls under a strict limit, of which an earlier process may still use the share."""
        told = {By.CLASS: ask.class_name, By.TENANT: ask.tenant, By.GROUP: str(ask.group)}
        return any(
            rule.mode is Mode.STRICT and told.get(rule.by) is not None and rule.match in ("*", told[rule.by])
            for rule in self.settings.limits
        )

    def writing(self, attempt: Attempt, left: float) -> Note | None:
        limits = self.node.limits if self.node is not None else None
        if limits is None:
            return None
        if not self.renewed(attempt, left):
            self.counters.add("limit.too_late")
            return Note.FILLS_FULL
        fetch, members = attempt.fetch, self.exchange.members
        under = [*self.of(By.MEMBER, members.get(fetch.target))]
        if fetch.source != fetch.target:
            under += self.of(By.SOURCE, members.get(fetch.source))
        elif fetch.target not in self.exchange.router.names_of_edges():
            under = [*self.of(By.SOURCE, members.get(fetch.target))]  # asked past the caches
        answer = limits.admit_all(under, self.loop.time(), left)
        self.wake()
        if not isinstance(answer, Ticket):
            self.counters.add(f"limit.refused.{answer.rule}")
            return Note.SOURCE_REFUSED if fetch.source != fetch.target else Note.FILLS_FULL
        if answer.limits:
            self.writes.setdefault(attempt.owner.serial, []).append((attempt, answer))
        return None

    def of(self, by: By, member: Member | None) -> Iterable[tuple[By, str]]:
        """A member falls under the limits of its name, and of its kind where one is set for that."""
        if member is not None:
            yield by, member.name
            if member.kind is not None and member.kind in self.matches:
                yield by, member.kind

    def ended(self, attempt: Attempt, end: End) -> None:
        for place, (out, ticket) in enumerate(self.writes.get(attempt.owner.serial, ())):
            if out is attempt:
                self.give_back(ticket)
                del self.writes[attempt.owner.serial][place]
                break
        if self.node is None or self.node.verdicts is None or attempt.written is None:
            return
        verdicts = self.node.verdicts
        origins = self.exchange.router.know.members.origins
        origin = origins[0].entry.name if origins else None
        now = self.loop.time()
        actions: list[Action] = []
        for name, ok, trouble in evidence.found(attempt.fetch, end.outcome, end.note, end.silent, origin):
            member = self.exchange.members.get(name)
            if member is not None:
                start = int((member.started or 0.0) * 1000)
                actions += verdicts.saw(self.name(name), start, member.kind or "", ok, trouble, now)
        if actions:
            self.told(self.node.settle(actions, now))
        self.wake(bool(actions))

    def over(self, item: Open) -> None:
        leave = self.requests.pop(item.serial, None)
        if leave is not None:
            self.give_back(leave.ticket)
        for _, out in self.writes.pop(item.serial, ()):
            self.give_back(out)

    def give_back(self, ticket: Ticket) -> None:
        if self.node is not None and self.node.limits is not None:
            self.node.limits.done(ticket, self.loop.time())

    def wake(self, now: bool = False) -> None:
        """What was asked may have to be told earlier than the timer is set for."""
        if self.peers is not None and self.node is not None:
            timer = self.peers.timer
            if now or timer is None or self.node.due() < timer.when():
                self.peers.flush()

    # --- what the cluster has found ---

    def told(self, news: Sequence[News]) -> None:
        for each in news:
            self.say(each)
            if isinstance(each, VerdictChanged):
                self.pass_on(each)

    def pass_on(self, word: VerdictChanged) -> None:
        """A word goes to the decisions, if it still holds now."""
        verdicts, name = self.node.verdicts if self.node else None, self.name_of(word.subject)
        if verdicts is None or name is None:
            return
        self.counters.add(f"cluster.word.{word.trouble.name.lower() if word.trouble else 'none'}")
        if verdicts.earlier_skip(word.subject, self.loop.time()):
            self.counters.add("cluster.words_passed_on")
            self.exchange.deliver(FleetWord(name))

    def name(self, name: str) -> Name:
        """A member's digest, remembered so that words on it can be told apart."""
        number = digest(name)
        self.names[number] = name
        self.names.move_to_end(number)
        if len(self.names) > NAMES_MOST:
            self.names.popitem(last=False)
        return number

    def name_of(self, subject: Name) -> str | None:
        """The member that a subject is: also one that this router has had nothing from yet."""
        if subject not in self.names:
            for name in self.exchange.members:
                self.name(name)
        return self.names.get(subject)

    def say(self, news: News) -> None:
        """A line for what changes, at most one of a kind in some seconds."""
        name = news.event if isinstance(news, Say) else type(news).__name__
        self.counters.add(f"cluster.{name}")
        now = self.loop.time()
        if now - self.logged.get(name, -LOG_PAUSE) >= LOG_PAUSE:
            self.logged[name] = now
            log.event(LOGGER, logging.INFO, f"cluster_{name}", **dict(fields(news)))

    # --- for operators ---

    def page(self) -> str:
        """What this router believes and holds now, as JSON."""
        node, now = self.node, self.loop.time()
        if node is None:
            return json.dumps({"me": self.fleet.me, "at": time.time(), "out": True})
        page: dict[str, Any] = {
            "me": node.fleet.me,
            "incarnation": node.liveness.incarnation,
            "at": time.time(),
            "peers": {peer: node.liveness.standing(peer).value for peer in range(node.fleet.size)},
            "leases": {},
            "limits": {},
            "words": {},
            "sent": dict(node.outbox.counts),
        }
        if node.leases is not None and node.limits is not None:
            for rule, kept in node.limits.rules.values():
                holder = node.leases.holder(kept.lease, now)
                term = node.leases.holds(kept.lease, now)
                page["leases"][f"limit/{rule.name}"] = {"holder": holder, "term": term}
            kept_now = Counter(line.rule.name for line in node.limits.lines.values())
            for rule in self.settings.limits:
                refused = self.counters.counts[f"limit.refused.{rule.name}"]
                page["limits"][rule.name] = {"values": kept_now[rule.name], "refused": refused}
        if node.verdicts is not None:
            for subject, name in list(self.names.items())[-PAGE_WORDS:]:
                word = node.verdicts.word(subject, now)
                if word is not None:
                    trouble = word.trouble.name.lower()
                    page["words"][name] = {"is": trouble, "by": word.witnesses, "age_s": round(word.age, 3)}
        return json.dumps(page)


class Life:
    """One life's side of the socket: what still comes for an earlier one has no effect."""

    def __init__(self, sharing: Sharing, node: Node) -> None:
        self.sharing, self.node = sharing, node

    def hear(self, sender: Peer, head: Head, notes: tuple[PeerNote, ...]) -> None:
        self.sharing.told(self.node.hear(sender, head, notes, self.sharing.loop.time()))

    def tick(self) -> None:
        self.sharing.told(self.node.tick(self.sharing.loop.time()))

    def due(self) -> float:
        return self.node.due()


def fields(news: Local | Say) -> Iterable[tuple[str, object]]:
    """What a line shows of it."""
    if isinstance(news, Say):
        return news.fields
    return [(name, getattr(news, name)) for name in news.__slots__]
