"""Connections to caches, parents and the origin: few, shared by many attempts, one pool an instance."""

import asyncio
import logging
import math
import socket
from collections import OrderedDict, deque
from collections.abc import Iterable

from tornado.iostream import IOStream, StreamClosedError

from paddlequay import log
from paddlequay.asks import Attempt, End
from paddlequay.config import Address, Limits
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.fleet.silence import Pace, Waits
from paddlequay.interface import Outcome, State
from paddlequay.net.cache_words import order_fields, read_end
from paddlequay.operation import OUT
from paddlequay.protocol import caches as wire
from paddlequay.protocol.bulletin import Listed
from paddlequay.shares import Shares

LOGGER = logging.getLogger(__name__)


class Connection:
    """One connection to an instance, with the attempts that wait for it and those that are out on it."""

    def __init__(self, pool: "Pool", instance: "Instance") -> None:
        self.pool, self.instance, self.limits = pool, instance, pool.limits
        family = socket.AF_INET6 if ":" in instance.address[0] else socket.AF_INET
        self.stream = IOStream(socket.socket(family, socket.SOCK_STREAM))
        self.reader = wire.Reader(self.limits.cache_line, self.limits.cache_object)
        self.waiting: deque[Attempt] = deque()
        self.out: dict[str, Attempt] = {}
        self.written: OrderedDict[str, None] = OrderedDict()  # ids, the latest `cache_ids` of them
        self.up = False
        self.silent = False
        self.once = False  # all that went out on it must not run twice
        self.heard = self.used = pool.now()
        self.read_at = -math.inf  # the last byte, which an accepted connection is not

    def takes(self, attempt: Attempt) -> bool:
        """Room for it, on a connection that answers.

        An id that was written here never comes again on this connection: an answer to the first attempt may
        be on its way, late or for the second time, and nothing would tell it from the second's.
        """
        if attempt.once and self.up and self.pool.now() - self.used > self.limits.cache_fresh:
            return False  # a peer may be closing an idle one just now: that is a reset, and may have run
        if self.load >= self.limits.cache_streams or self.silent or self.stream.closed():
            return False
        return attempt.id not in self.written and all(other.id != attempt.id for other in self.waiting)

    @property
    def load(self) -> int:
        return len(self.out) + len(self.waiting)

    async def run(self) -> None:
        """Connect, then read until the end."""
        try:
            await asyncio.wait_for(self.stream.connect(self.instance.address), self.limits.connect_timeout)
        except (TimeoutError, StreamClosedError, OSError) as error:
            self.pool.counters.add("connect_failed")
            log.event(LOGGER, logging.INFO, "connect_failed", to=self.instance.name, why=type(error).__name__)
            self.stream.close()
            self.instance.forget(self)
            for attempt in self.take_waiting():
                self.pool.exchange.end(attempt, End(Outcome.UNREACHED))
            return
        self.stream.set_nodelay(True)
        self.pool.counters.add("connected")
        self.up = True
        self.heard = self.pool.now()
        self.write_waiting()
        reads = 0
        try:
            while True:
                data = await self.stream.read_bytes(self.limits.read_chunk, partial=True)
                self.heard = self.read_at = self.pool.now()
                self.silent = False
                for answer in self.reader.feed(data):
                    self.answered(answer)
                reads += 1
                if len(data) == self.limits.read_chunk or reads % 4 == 0:
                    await asyncio.sleep(0)  # a read of what is there does not yield: others have a turn
        except StreamClosedError:
            pass
        except wire.MalformedError as error:
            if self.pool.counters.add_once("bad_cache_lines"):
                log.event(LOGGER, logging.WARNING, "bad_cache_line", at=self.instance.name, why=str(error))
        except Exception:
            self.pool.counters.add("cache_errors")
            LOGGER.exception("cache_connection_failed")
        self.lost()

    def lost(self) -> None:
        """The connection is over: what is out may have run, what waits has not."""
        self.stream.close()
        self.instance.forget(self)
        out, self.out = list(self.out.values()), {}
        waiting = self.take_waiting()
        for attempt in out:
            self.pool.exchange.end(attempt, End(Outcome.RESET))
        for attempt in waiting:
            self.pool.exchange.end(attempt, End(Outcome.UNREACHED))

    def take_waiting(self) -> list[Attempt]:
        waiting = list(self.waiting)
        self.waiting.clear()
        return waiting

    def write_waiting(self) -> None:
        """Write what waits, one at a time and only while the socket takes it, so that checks are fresh."""
        while self.up and self.waiting and not self.stream.closed() and not self.stream.writing():
            attempt = self.waiting.popleft()
            order = self.pool.exchange.order(attempt)
            if order is None:
                continue
            line = wire.ask(order.id, order_fields(order), len(order.body))
            self.out[attempt.id] = attempt
            self.once = attempt.once and (self.once or not self.written)
            self.written[attempt.id] = None
            if len(self.written) > self.limits.cache_ids:
                self.written.popitem(last=False)
            self.used = self.pool.now()
            self.pool.exchange.written(attempt)
            try:
                done = self.stream.write(b"".join((line, order.body, b"\r\n")))
            except StreamClosedError:
                return
            if self.stream.writing():
                done.add_done_callback(lambda _: self.write_waiting())

    def answered(self, answer: wire.Answer) -> None:
        attempt = self.out.get(answer.id)
        self.used = self.pool.now()
        if attempt is not None:
            # Read before it is taken off: what cannot be read ends the connection and all that is out on it,
            # this attempt too, which else would have waited for its time-out.
            end = read_end(answer)
            if end.unchanged and attempt.owner.ask.known is None:
                raise wire.MalformedError("VALID to a request that named no copy")
            del self.out[answer.id]
            if attempt.written is not None:
                self.instance.answer_took(attempt, self.used - attempt.written)
            self.pool.counters.add("received_bytes", len(answer.body))
            self.pool.exchange.end(attempt, end)
        else:
            # Given up, answered before, or never asked: whole and well-formed, it harms nothing else. Taken
            # as a spoilt connection, one such answer ended all good ones that were on their way.
            self.pool.counters.add("answers_not_asked")

    def abandon(self, attempt: Attempt) -> bool:
        """Give an attempt up; and has nothing at all come since it was written?"""
        quiet = attempt.written is not None and self.heard <= attempt.written
        if self.out.get(attempt.id) is attempt:
            del self.out[attempt.id]
            # A machine that vanished leaves its connections open and says nothing on them: one that has
            # brought no byte since this attempt was written takes nothing new until it does.
            # Where its client gave less time than an answer may take, its time-out is no word on the machine.
            now, kind = self.pool.now(), self.pool.exchange.router.kinds.get(attempt.owner.ask.class_name)
            in_vain = now >= attempt.expires
            in_vain = in_vain and (kind is None or attempt.expires - attempt.began >= kind.aim)
            if in_vain and quiet:
                self.silent = True
            elif in_vain and attempt.written is not None:
                # At least so long: leaving out what was given up would make all waits look short in a jam.
                self.pool.waits.took(attempt.owner.ask.class_name, now - attempt.written)
            if not self.stream.closed():
                self.stream.write(wire.quit_(attempt.id))
        elif attempt in self.waiting:
            self.waiting.remove(attempt)
        return quiet

    def unheard(self, heard: float) -> list[Attempt]:
        """What is out and was written after the byte heard last."""
        return [each for each in self.out.values() if each.written is not None and each.written >= heard]

    def dead(self, now: float) -> bool:
        """Whether what is out tells of silence: several written since the last byte, and long ago.

        Left to their time-outs, they were blamed on the sources of their fills, whose limits were cut for it.
        """
        if now - self.heard <= self.limits.cache_silence:
            return False
        since = self.unheard(self.heard)
        return len(since) >= self.limits.cache_unheard and self.instance.silence_of(since, now)

    @property
    def idle(self) -> bool:
        return self.up and not self.out and not self.waiting


class Instance:
    """One run of a cache, parent or the origin. A new run, or a new one at the same address, is another."""

    def __init__(self, pool: "Pool", listed: Listed) -> None:
        self.pool = pool
        self.name = listed.member.name
        self.started = listed.member.started
        self.address: Address = listed.address
        self.connections: list[Connection] = []
        self.gone = False
        self.pace = Pace()

    def answer_took(self, attempt: Attempt, time: float) -> None:
        self.pace.took(time)
        self.pool.pace.took(time)
        self.pool.waits.took(attempt.owner.ask.class_name, time)

    def silence_of(self, attempts: list[Attempt], now: float) -> bool:
        """Whether so long a silence under these is no chance; in a jam of its own a member may be slower."""
        ages = [(each.owner.ask.class_name, now - (each.written or now)) for each in attempts]
        if max((age for _, age in ages), default=0.0) <= self.pool.limits.cache_silence:
            return False
        return self.pool.waits.silent(ages, self.pace.over(self.pool.pace))

    def start(self, attempt: Attempt) -> None:
        connection = self.choose(attempt)
        if connection is None:
            self.pool.counters.add("no_connection_left")
            return self.pool.exchange.end(attempt, End(Outcome.NOT_SENT))
        connection.waiting.append(attempt)
        attempt.carrier = connection
        connection.write_waiting()

    def choose(self, attempt: Attempt) -> Connection | None:
        """The fullest connection that has few out, a new one, or the emptiest that takes it.

        One spoilt answer ends all that is out on its connection: with thirty requests on one and the others
        idle, each cost thirty. So many connections as are needed are used, and the rest close as idle.
        """
        limits = self.pool.limits
        few = spare = None
        few_load, spare_load = -1, limits.cache_streams
        for connection in self.connections:  # one pass, as each attempt makes it
            load = connection.load
            if few_load < load < limits.cache_share:
                if connection.takes(attempt):
                    few, few_load = connection, load
            elif few is None and limits.cache_share <= load < spare_load and connection.takes(attempt):
                spare, spare_load = connection, load
        if few is not None:
            return few
        if attempt.once and spare is None and len(self.connections) >= limits.cache_connections:
            for connection in [each for each in self.connections if each.idle][:1]:
                self.forget(connection)
                connection.stream.close()
        if len(self.connections) < limits.cache_connections and self.pool.has_room():
            connection = Connection(self.pool, self)
            self.connections.append(connection)
            self.pool.spawn(connection)
            return connection
        return spare

    def forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)

    def watch(self, now: float) -> None:
        """Close what has fallen silent under requests, and what stopped inside an answer: whatever comes next
        on that one would be read as its rest."""
        limits = self.pool.limits
        heard = max((connection.read_at for connection in self.connections), default=now)
        all_silent = False
        if now - heard > limits.cache_silence:
            since = [each for connection in self.connections for each in connection.unheard(heard)]
            all_silent = len(since) >= limits.instance_unheard and self.silence_of(since, now)
        for connection in self.connections[:]:
            if connection.reader.begun and now - connection.heard > self.pool.limits.cache_stall:
                self.pool.counters.add("stalled_answers")
            elif connection.dead(now) or (all_silent and connection.out):
                self.pool.counters.add("silent_connections")
            else:
                continue
            connection.stream.close()

    def sweep(self, now: float) -> None:
        """Close what has been idle for long, what is silent and empty, and what a gone instance left.

        A connection that only charges went to is too old for the next one, which makes its own. Kept for
        the usual time, those of forty routers filled the origin's table within seconds, and it turned all
        charges away from then on.
        """
        limits = self.pool.limits
        for connection in [c for c in self.connections if c.idle]:
            idle = now - connection.used > (limits.cache_fresh if connection.once else limits.cache_idle)
            if self.gone or idle or connection.silent:
                connection.stream.close()


class Pool:
    """All instances by name; carries attempts for the exchange."""

    def __init__(self, exchange: Exchange, shares: Shares, limits: Limits, counters: Counters) -> None:
        self.exchange, self.shares, self.limits, self.counters = exchange, shares, limits, counters
        self.instances: dict[str, Instance] = {}
        self.leaving: list[Instance] = []
        self.waits = Waits(limits.cache_usual, exchange.router.kinds)
        self.pace = Pace(memory=200.0)
        self.tasks: set[asyncio.Task[None]] = set()
        exchange.caches = self
        exchange.operation.changed.append(self.ordered)

    def now(self) -> float:
        return self.exchange.scheduler.monotonic()

    def spawn(self, connection: Connection) -> None:
        task = asyncio.ensure_future(connection.run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def list_changed(self, listed: Iterable[Listed], full: bool) -> None:
        """Follow the list. A cache may take the address of one that has gone: instances are told apart by
        name and start, never by address."""
        listed = tuple(listed)
        if full:
            for name in self.instances.keys() - {entry.member.name for entry in listed}:
                self.leave(name)
        for entry in listed:
            known = self.instances.get(entry.member.name)
            if entry.member.state is State.GONE:
                self.leave(entry.member.name)
            elif known is None:
                self.instances[entry.member.name] = Instance(self, entry)
            elif (entry.member.started or 0) > (known.started or 0) or entry.address != known.address:
                self.leave(entry.member.name, at_once=True)
                self.instances[entry.member.name] = Instance(self, entry)

    def leave(self, name: str, at_once: bool = False) -> None:
        """Take an instance out of use; one that has started anew can no longer answer on old connections."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.gone = True
        self.leaving.append(instance)
        for connection in instance.connections[:]:
            if at_once or connection.idle:
                connection.stream.close()

    def ordered(self, name: str) -> None:
        """Operators leave a cache out, or put it back: what is idle to it may lead nowhere any more."""
        instance = self.instances.get(name.removeprefix(OUT)) if name.startswith(OUT) else None
        for connection in instance.connections[:] if instance is not None else ():
            if connection.idle or connection.silent:
                connection.stream.close()

    def held(self) -> list[Connection]:
        return [c for each in [*self.instances.values(), *self.leaving] for c in each.connections]

    async def warm(self, names: Iterable[str]) -> None:
        """Have a connection to each of these before the first request comes."""
        made = []
        for instance in [self.instances[name] for name in names if name in self.instances]:
            if not instance.connections and self.has_room():
                made.append(Connection(self, instance))
                instance.connections.append(made[-1])
                self.spawn(made[-1])
        while any(not each.up and not each.stream.closed() for each in made):
            await asyncio.sleep(0.01)

    def shrink(self) -> None:
        """Close idle connections beyond the share, the longest idle first."""
        held = self.held()
        idle = sorted((c for c in held if c.idle), key=lambda connection: connection.used)
        for connection in idle[: max(0, len(held) - self.shares.caches)]:
            connection.stream.close()

    def has_room(self) -> bool:
        """Room for one more connection to any instance; the one that has been idle for longest makes it."""
        held = self.held()
        if len(held) < self.shares.caches:
            return True
        idle = [connection for connection in held if connection.idle and not connection.stream.closed()]
        if idle:
            min(idle, key=lambda connection: connection.used).stream.close()
        return bool(idle)

    def start(self, attempt: Attempt) -> None:
        instance = self.instances.get(attempt.fetch.target)
        if instance is None:
            return self.exchange.end(attempt, End(Outcome.NOT_SENT))
        instance.start(attempt)

    def watch(self) -> None:
        """At each beat: connections that no longer answer."""
        now = self.now()
        for instance in [*self.instances.values(), *self.leaving]:
            instance.watch(now)

    def sweep(self) -> None:
        """Now and then: idle connections, and what is left of gone instances."""
        now = self.now()
        self.shrink()
        for instance in [*self.instances.values(), *self.leaving]:
            instance.sweep(now)
        self.leaving = [instance for instance in self.leaving if instance.connections]
