"""The tier's front: boxes, routers and other nodes ask it in the caches' protocol; its fills go by the
exchange."""

import asyncio
import logging
import re
import socket
from collections import OrderedDict
from collections.abc import Mapping

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.hierarchy.copies import CachedCopy
from paddlequay.hierarchy.fill_path import FillPathError, Keyring
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    FillResult,
    OwnershipClaim,
    PeerIntroduction,
    Reply,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.node import Node
from paddlequay.hierarchy.source_fallback import FallbackRouter
from paddlequay.hierarchy.topology import NAME
from paddlequay.net.listener import Acceptor
from paddlequay.net.upstreams.pool import ConnectionPool
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import object_key
from paddlequay.protocol import cache_server as wire
from paddlequay.protocol.caches import Buffer, CacheProtocolError
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer
from paddlequay.routing.interface import Member, ReplyDetail, RequestClass

LOGGER = logging.getLogger(__name__)

HEX = re.compile("[0-9a-f]{1,16}")


class FieldError(ValueError):
    """A field of a request that cannot be used."""


def whole_number(fields: Mapping[str, str], name: str, most: int) -> int | None:
    text = fields.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 16 and int(text) <= most):
        raise FieldError(f"{name}: expected a number up to {most}, got {text[:30]!r}")
    return int(text)


def read_channel(fields: Mapping[str, str]) -> tuple[int, int] | None:
    """The channel that a fill is ahead for, and its owner's term: both or none, hex digits, 64 bits."""
    if "chan" not in fields and "term" not in fields:
        return None
    texts = fields.get("chan", ""), fields.get("term", "")
    if not all(HEX.fullmatch(text) for text in texts):
        raise FieldError(f"chan, term: expected up to 16 hex digits, got {' '.join(texts)[:60]!r}")
    return int(texts[0], 16), int(texts[1], 16)


def about(id: str, fields: Mapping[str, str]) -> str:
    """What a trail is signed for: this request and no other, and what it claims."""
    return " ".join((id, *(fields.get(name, "") for name in ("queue", "path", "blk", "claim"))))


def read_claim(text: str) -> OwnershipClaim:
    version, at, address = text.partition("@")
    host, colon, port = address.rpartition(":")
    if not (at and colon and host and version.isdigit() and port.isdigit() and len(version) < 19):
        raise FieldError(f"claim: expected VERSION@HOST:PORT, got {text[:60]!r}")
    return OwnershipClaim(int(version), (host, int(port)))


class Session:
    """One connection from a box, a router or another node."""

    def __init__(self, front: "TierFront", stream: IOStream) -> None:
        self.front, self.stream, self.limits = front, stream, front.limits
        self.reader = wire.Reader(self.limits.max_cache_line, self.limits.max_client_body)
        self.wants: dict[str, FillRequest] = {}
        self.unsent = 0
        self.heard = front.now()

    async def run(self) -> None:
        self.stream.set_nodelay(True)
        try:
            while True:
                data = await self.stream.read_bytes(self.limits.read_size, partial=True)
                self.heard = self.front.now()
                for line in self.reader.feed(data):
                    self.take(line)
                await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except CacheProtocolError as error:
            if self.front.counters.add_once("bad_asker_lines"):
                log.event(LOGGER, logging.WARNING, "bad_asker_line", why=str(error))
        except Exception:
            self.front.counters.add("asker_errors")
            LOGGER.exception("asker_failed")
        finally:
            self.close()

    def close(self) -> None:
        """Closing the connection gives up all that is open on it."""
        self.stream.close()
        self.front.sessions.pop(self, None)
        for want in self.wants.values():
            self.front.node.quit(want)
        self.wants.clear()

    def take(self, line: wire.Line) -> None:
        match line:
            case wire.Asked():
                self.asked(line)
            case wire.Given():
                want = self.wants.pop(line.id, None)
                if want is not None:
                    self.front.node.quit(want)
            case wire.Probe():
                word = "SICK" if self.front.closed_reason() else "PONG"
                self.write(line.tag, word, {"use": self.front.report()})

    def asked(self, line: wire.Asked) -> None:
        front = self.front
        if line.id in self.wants:
            # Its answer could not be told from the first one's.
            front.counters.add("rejected.id_open")
            return self.write(line.id, "FAULT", {"detail": "ID_OPEN"})
        if len(self.wants) >= front.open_most:
            front.counters.add("rejected.too_many_open")
            return self.write(line.id, "SHED", {"detail": "NO_FILL"})
        try:
            want = front.want(self, line)
        except FillPathError as error:
            front.counters.add("bad_trails")
            log.event(LOGGER, logging.WARNING, "bad_trail", why=str(error))
            return self.write(line.id, "FAULT", {"detail": "BAD_HOPS"})
        except FieldError as error:
            if front.counters.add_once("bad_fields"):
                log.event(LOGGER, logging.WARNING, "bad_field", why=str(error))
            return self.write(line.id, "FAULT", {"detail": "BAD_FIELD"})
        self.wants[line.id] = want
        front.carry(front.node.ask(want, front.unix()))

    def write(self, id: str, word: str, fields: Mapping[str, str], body: Buffer = b"") -> None:
        """Write an answer; who takes nothing while much is unsent is closed."""
        if self.stream.closed():
            return
        if self.unsent + len(body) > self.limits.max_client_unsent:
            self.front.counters.add("slow_readers")
            return self.stream.close()
        size = len(body)
        self.unsent += size
        head, body, end = wire.answer(id, word, fields, body)
        try:
            done = self.stream.write(b"".join((head, body, end)))
        except StreamClosedError:
            return
        done.add_done_callback(lambda future: self.sent(size, future))

    def sent(self, size: int, future: "asyncio.Future[None]") -> None:
        self.unsent -= size
        if not future.cancelled():
            future.exception()  # a closed stream is told by the read


class TierFront:
    """Who asks this node, and the fills that it has out."""

    shutting_down = False
    replaced = False

    def __init__(
        self,
        node: Node,
        climber: FallbackRouter,
        exchange: Exchange,
        pool: ConnectionPool,
        keyring: Keyring,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.node, self.climber, self.exchange, self.pool = node, climber, exchange, pool
        self.keyring, self.limits, self.counters = keyring, limits, counters
        self.classes: dict[str, RequestClass] = climber.classes
        self.sessions: OrderedDict[Session, None] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_most = 4096  # requests open on one connection: routers and boxes share few connections
        self.fill_ids = 0
        self.fills_out = 0
        self.address = ("", 0)
        self.waiting_for = "the feed"  # why nobody should come yet
        self.hits, self.asks = 0.0, 0.0
        self.busy = 0.0
        self.acceptor: Acceptor | None = None

    def now(self) -> float:
        return self.exchange.scheduler.monotonic()

    def unix(self) -> float:
        return self.exchange.scheduler.unix()

    # --- connections ---

    def listen(self, listener: socket.socket) -> None:
        listener.listen(1024)
        self.address = listener.getsockname()[:2]
        self.acceptor = Acceptor(listener, self.accepted, lambda: self.limits.accepts_per_turn)

    def accepted(self, connection: socket.socket) -> None:
        if len(self.sessions) >= self.limits.client_connections:
            idle = next((session for session in self.sessions if not session.wants), None)
            if idle is None:
                self.counters.add("turned_away")
                return connection.close()
            self.counters.add("closed_idle_askers")
            idle.close()
        session = Session(self, IOStream(connection))
        self.sessions[session] = None
        task = asyncio.ensure_future(session.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def sweep(self) -> None:
        """Now and then: who has been idle for long, or stopped inside a request."""
        now = self.now()
        for session in list(self.sessions):
            quiet = now - session.heard
            half = session.reader.begun and quiet > self.limits.client_stall_timeout
            if half or (not session.wants and quiet > 2 * self.limits.cache_idle_timeout):
                self.counters.add("stalled_askers" if half else "closed_idle_askers")
                session.close()
            elif self.emptying and not session.wants and not session.unsent:
                session.close()

    # --- requests ---

    def want(self, session: Session, line: wire.Asked) -> FillRequest:
        """What is asked, in the node's terms. FieldError, TrailError."""
        fields = line.fields
        kind = self.classes.get(fields.get("queue", ""))
        name = fields.get("path", "")
        if kind is None:
            raise FieldError(f"queue: not known: {fields.get('queue', '')[:60]!r}")
        if not NAME.fullmatch(name):
            raise FieldError(f"path: expected letters and digits, got {name[:60]!r}")
        if kind.uncacheable:
            raise FieldError(f"queue: {kind.name} passes no cache")
        now = self.unix()
        budget = (whole_number(fields, "budget", 3_600_000) or 0) / 1000.0 or kind.deadline
        fresh = (whole_number(fields, "fresh", 10**14) or 0) / 1000.0 or (kind.freshness_lifetime or 0.0)
        options = fields.get("opts", "").split("+")
        trail = None
        if "hops" in fields:
            trail = self.keyring.read(fields["hops"], about(line.id, fields), now)
        elif "claim" in fields:
            raise FieldError("claim: nobody has signed for it")
        return FillRequest(
            token=(session, line.id),
            name=name,
            part=whole_number(fields, "blk", self.limits.max_part),
            class_name=kind.name,
            floor=now - fresh if fresh else 0.0,
            until=now + budget,
            fill="via" in fields and "held" not in options,
            trail=trail,
            claim=read_claim(fields["claim"]) if "claim" in fields else None,
            channel=read_channel(fields),
            known=fields.get("known"),
            rank=min(3, whole_number(fields, "tier", 3) or 0),
            keep="nocopy" not in options,
            renew="renew" in options,
            grace=(kind.stale_if_error or 0.0) if "renew" in options else 0.0,
        )

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Reply():
                    self.answer(action)
                case StartFill():
                    self.fill(action)
                case PeerIntroduction():
                    self.meet(action)

    def answer(self, action: Reply) -> None:
        if action.want.token is None:
            return
        session, id = action.want.token
        session.wants.pop(id, None)
        self.asks += 1.0
        self.hits += action.detail == "HIT"
        fields = {"detail": action.detail} if action.detail else {}
        body: Buffer = b""
        copy = action.copy
        if copy is not None:
            fields |= {"tag": copy.tag, "minted": str(round(copy.minted * 1000))}
            if copy.group is not None:
                fields["lot"] = str(copy.group)
            body = copy.body if action.word is ReplyStatus.HIT else b""
            if action.lag:
                fields["lag"] = f"{action.lag * 1000:.1f}"
        if action.hint:
            fields["next"] = action.hint
        fields["use"] = self.report()
        session.write(id, action.word.value, fields, body)

    def fill(self, action: StartFill) -> None:
        """A fill is a request of this node's own to the exchange: the same rules, limits and one answer."""
        self.fill_ids += 1
        self.fills_out += 1
        name, part = action.place
        id = f"{self.node.name}.{self.fill_ids:x}"
        ask = ClientRequest(
            id=id,
            class_name=action.class_name,
            time_to_live=action.longest,
            object_name=name,
            key=object_key(name),
            part=part,
            group=None,
            fill=action.number,
            extra_fields=lambda target: self.extra(action, id, target),
        )
        self.exchange.submit(ask, lambda reply: self.filled(action, reply))

    def extra(self, action: StartFill, id: str, target: str) -> Mapping[str, str]:
        """What a fill tells another node beside the order: its trail, and its claim. Nothing to a store."""
        lease = self.node.leases.by_number.get(action.number)
        listed = self.node.shape.nodes.get(target)
        if lease is None or (listed is not None and listed.store):
            return {}
        name, part = action.place
        fields = {"queue": action.class_name, "path": name, "blk": "" if part is None else str(part)}
        told = {}
        if lease.toward.value == "look":
            told["claim"] = f"{action.claim}@{self.address[0]}:{self.address[1]}"
        told["hops"] = self.keyring.write(lease.trail, about(id, fields | told), self.unix())
        return told

    def filled(self, action: StartFill, reply: FinalAnswer) -> None:
        self.fills_out -= 1
        got = FillResult(note=reply.detail, refused=reply.status is AnswerStatus.REJECTED)
        if reply.status is AnswerStatus.SERVED and reply.stamp is not None:
            stamp = reply.stamp
            listed = self.node.shape.nodes.get(reply.served_by)
            got = FillResult(
                CachedCopy(reply.body, stamp.tag, stamp.issued_at, stamp.group),
                from_store=listed is not None and listed.store,
            )
        elif reply.status is AnswerStatus.SERVED:
            # No word on which copy it is: it could be from before any purge.
            self.counters.add("fills_without_stamp")
            got = FillResult(note=ReplyDetail.ORIGIN_FAILED)
        self.carry(self.node.ended(action.number, got, self.unix()))

    def meet(self, action: PeerIntroduction) -> None:
        """A claimant that the shape does not name yet may be asked from now on."""
        met = Member(action.name, None, "node", None, None, 1.0, self.unix())
        self.counters.add("met")
        self.pool.update_endpoints((Endpoint(met, action.address),), False)
        self.exchange.update_members((met,), False)

    # --- how it stands ---

    @property
    def emptying(self) -> bool:
        return self.exchange.operator_state.draining or self.shutting_down

    def closed_reason(self) -> str:
        """Why nobody should come; empty where all may."""
        if self.shutting_down:
            return "this process is ending"
        if self.exchange.operator_state.draining:
            return f"draining: {self.open_summary}"
        return f"starting: waits for {self.waiting_for}" if self.waiting_for else ""

    @property
    def open_summary(self) -> str:
        return f"{len(self.sessions)} connections, {self.node.waiting} requests open"

    def report(self) -> str:
        """The load report of the platform's parents: requests held, cores, hits, fetches out."""
        hits = self.hits / self.asks if self.asks else 0.0
        return f"inflight:{self.node.waiting};util:{self.busy:.2f};x0:{hits:.2f};x1:{self.fills_out}"

    def beat(self, busy: float) -> None:
        """At each beat: what is over is told, and the report ages."""
        self.busy += 0.2 * (min(1.0, busy) - self.busy)
        self.hits *= 0.98
        self.asks *= 0.98
        self.carry(self.node.tick(self.unix()))
