"""Instances of caches, parents and the origin: which connection carries an attempt, and the pool of all."""

import asyncio
import errno
import logging
from collections.abc import Iterable

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.lifecycle.operator_state import EJECTED_PREFIX
from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.net.upstreams.connection_health import is_stalled, is_unresponsive, unanswered_since
from paddlequay.net.upstreams.connection_reader import ConnectionReader
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.policy.failure_detector import LatencyDistribution, MeanLatency
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.requests.quotas import ProcessQuotas
from paddlequay.routing.interface import MemberState, Outcome

LOGGER = logging.getLogger(__name__)


class UpstreamInstance:
    """One run of a cache, parent or the origin; after a restart, or at the same address, another."""

    def __init__(self, pool: "ConnectionPool", listed: Endpoint) -> None:
        self.pool = pool
        self.name = listed.member.name
        self.started = listed.member.started
        self.address: Address = listed.address
        self.connections: list[UpstreamConnection] = []
        self.removed = False
        self.restarted = False  # nothing more is written by this instance
        self.relative_latency = MeanLatency()

    def record_latency(self, attempt: UpstreamAttempt, time: float) -> None:
        """An attempt was answered after so many seconds."""
        self.relative_latency.record(time)
        self.pool.typical_latency.record(time)
        self.pool.latencies.record(attempt.pending.request.class_name, time)

    def is_unresponsive(self, attempts: list[UpstreamAttempt], now: float) -> bool:
        """Whether so long a wait under these is no chance; in a jam of its own a member may be slower."""
        ages = [(each.pending.request.class_name, now - (each.written_at or now)) for each in attempts]
        if max((age for _, age in ages), default=0.0) <= self.pool.limits.silence_check_after:
            return False
        return self.pool.latencies.is_unresponsive(
            ages, self.relative_latency.ratio_to(self.pool.typical_latency)
        )

    def start(self, attempt: UpstreamAttempt) -> None:
        """Have an attempt wait for a connection; without one it ends as not sent."""
        connection = None if self.removed else self.choose_connection(attempt)
        if connection is None:
            self.pool.counters.add("no_connection_left")
            return self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
        connection.waiting.append(attempt)
        attempt.carrier = connection
        connection.write_waiting()

    def choose_connection(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """The fullest connection that has little in flight, a new one, or the emptiest that accepts it.

        One corrupt answer ends all that is in flight on its connection: with thirty requests on one and the
        others idle, each cost thirty. So many connections as are needed are used, and the rest close as idle.
        """
        limits = self.pool.limits
        lightly_loaded = spare = None
        best_load, spare_load = -1, limits.cache_streams
        for connection in self.connections:  # one pass, as each attempt makes it
            load = connection.load
            if best_load < load < limits.requests_per_connection:
                if connection.accepts(attempt):
                    lightly_loaded, best_load = connection, load
            elif (
                lightly_loaded is None
                and limits.requests_per_connection <= load < spare_load
                and connection.accepts(attempt)
            ):
                spare, spare_load = connection, load
        if lightly_loaded is not None:
            return lightly_loaded
        if attempt.never_resend and spare is None and len(self.connections) >= limits.cache_connections:
            for connection in [each for each in self.connections if each.is_idle][:1]:
                self.forget(connection)
                connection.stream.close()
        if len(self.connections) < limits.cache_connections and self.pool.has_capacity():
            return self.connect() or spare
        return spare

    def connect(self) -> UpstreamConnection | None:
        """One more connection, which comes up later; None where the system gives no socket for it.

        That is no fault of the member's: what was to go on it counts as not sent. The limits leave capacity
        for all connections, but clients about to be closed, or a limit lowered in service, may have used it
        up.
        """
        for _ in range(2):
            try:
                connection = UpstreamConnection(self.pool, self)
            except OSError as error:
                if self.pool.counters.add_once("no_socket"):
                    log.event(LOGGER, logging.WARNING, "no_socket", to=self.name, why=str(error))
                if error.errno not in (errno.EMFILE, errno.ENFILE) or not self.pool.close_idle():
                    break
            else:
                self.connections.append(connection)
                self.pool.spawn(connection)
                return connection
        return None

    def forget(self, connection: UpstreamConnection) -> None:
        """Use a connection no more; one that is not used is no error."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close_unresponsive(self, now: float) -> None:
        """Close what is unresponsive, what stopped inside an answer, and what an older instance left.

        Never over unread bytes: they are read first, and judged at the next heartbeat.
        """
        limits = self.pool.limits
        last = max((connection.last_read_at for connection in self.connections), default=now)
        all_unresponsive = False
        if now - last > limits.silence_check_after:
            waiting = [each for connection in self.connections for each in unanswered_since(connection, last)]
            enough = len(waiting) >= limits.instance_unanswered
            all_unresponsive = enough and self.is_unresponsive(waiting, now)
        for connection in self.connections[:]:
            if is_stalled(connection, now):
                cause = "stalled_answers"
            elif is_unresponsive(connection, now) or (all_unresponsive and connection.in_flight):
                cause = "unresponsive_connections"
            elif self.restarted and connection.in_flight:
                cause = "restarted_connections"
            else:
                continue
            if not connection.stream.closed() and not connection.has_unread:
                self.pool.counters.add(cause)
                connection.stream.close()

    def sweep(self, now: float) -> None:
        """Close what has been idle for long, what is unresponsive, and what a removed instance left.

        A connection that only charges went to is too old for the next one, which makes its own. Kept for the
        usual time, those of forty routers filled the origin's table within seconds, and it rejected all
        charges from then on.
        """
        limits = self.pool.limits
        for connection in [c for c in self.connections if c.is_idle]:
            timeout = limits.max_reuse_idle if connection.only_never_resend else limits.cache_idle_timeout
            idle = now - connection.last_used_at > timeout
            if self.removed or idle or connection.unresponsive:
                connection.stream.close()


class ConnectionPool:
    """All instances by name; carries attempts for the exchange."""

    def __init__(self, exchange: Exchange, quotas: ProcessQuotas, limits: Limits, counters: Counters) -> None:
        self.exchange, self.quotas, self.limits, self.counters = exchange, quotas, limits, counters
        self.instances: dict[str, UpstreamInstance] = {}
        self.removed_instances: list[UpstreamInstance] = []
        self.latencies = LatencyDistribution(limits.assumed_latency, exchange.router.classes)
        self.typical_latency = MeanLatency(max_samples=200.0)
        self.tasks: set[asyncio.Task[None]] = set()
        exchange.attempts.upstreams = self
        exchange.operator_state.on_change.append(self.override_changed)

    def now(self) -> float:
        """Monotonic seconds."""
        return self.exchange.scheduler.monotonic()

    def spawn(self, connection: UpstreamConnection) -> None:
        """Run a connection until its end."""
        task = asyncio.ensure_future(ConnectionReader(connection).run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def update_endpoints(self, listed: Iterable[Endpoint], full: bool) -> None:
        """Follow the endpoint list.

        A cache may take the address of a removed one: instances are told apart by name and start, never by
        address.
        """
        listed = tuple(listed)
        if full:
            for name in self.instances.keys() - {entry.member.name for entry in listed}:
                self.remove(name)
        for entry in listed:
            known = self.instances.get(entry.member.name)
            if entry.member.state is MemberState.REMOVED:
                self.remove(entry.member.name)
            elif known is None:
                self.instances[entry.member.name] = UpstreamInstance(self, entry)
            elif (entry.member.started or 0) > (known.started or 0) or entry.address != known.address:
                self.remove(entry.member.name, at_once=True)
                self.instances[entry.member.name] = UpstreamInstance(self, entry)

    def remove(self, name: str, at_once: bool = False) -> None:
        """Take an instance out of use; one that has restarted can no longer answer on old connections."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        instance.removed, instance.restarted = True, at_once
        self.removed_instances.append(instance)
        for connection in instance.connections[:]:
            if connection.is_idle or (at_once and not connection.has_unread):
                connection.stream.close()

    def override_changed(self, name: str) -> None:
        """Operators eject a cache, or put it back: what is idle to it may lead nowhere any more."""
        if not name.startswith(EJECTED_PREFIX):
            return
        instance = self.instances.get(name.removeprefix(EJECTED_PREFIX))
        for connection in instance.connections[:] if instance is not None else ():
            if connection.is_idle or (connection.unresponsive and not connection.has_unread):
                connection.stream.close()

    def connections(self) -> list[UpstreamConnection]:
        """All connections of all instances."""
        return [c for each in [*self.instances.values(), *self.removed_instances] for c in each.connections]

    async def warm_up(self, names: Iterable[str]) -> None:
        """Have a connection to each of these before the first request comes."""
        made = []
        for instance in [self.instances[name] for name in names if name in self.instances]:
            if not instance.connections and self.has_capacity() and (connection := instance.connect()):
                made.append(connection)
        while any(not each.is_up and not each.stream.closed() for each in made):
            await asyncio.sleep(0.01)

    def close_excess_idle(self) -> None:
        """Close idle connections beyond the quota, the longest idle first."""
        connections = self.connections()
        idle = sorted((c for c in connections if c.is_idle), key=lambda connection: connection.last_used_at)
        for connection in idle[: max(0, len(connections) - self.quotas.cache_connections)]:
            connection.stream.close()

    def has_capacity(self) -> bool:
        """Whether one more connection may be made; the one idle for longest is closed for it."""
        return len(self.connections()) < self.quotas.cache_connections or self.close_idle()

    def close_idle(self) -> bool:
        """Close the connection that has been idle for longest, if there is one."""
        idle = [each for each in self.connections() if each.is_idle and not each.stream.closed()]
        if idle:
            min(idle, key=lambda connection: connection.last_used_at).stream.close()
        return bool(idle)

    def start(self, attempt: UpstreamAttempt) -> None:
        """Have an attempt carried to its target; one that is not listed ends it as not sent."""
        instance = self.instances.get(attempt.fetch.target)
        if instance is None:
            return self.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
        instance.start(attempt)

    def close_unresponsive(self) -> None:
        """At each heartbeat: close connections that no longer answer."""
        now = self.now()
        for instance in [*self.instances.values(), *self.removed_instances]:
            instance.close_unresponsive(now)

    def sweep(self) -> None:
        """Now and then: close idle connections, and what is left of removed instances."""
        now = self.now()
        self.close_excess_idle()
        for instance in [*self.instances.values(), *self.removed_instances]:
            instance.sweep(now)
        self.removed_instances = [instance for instance in self.removed_instances if instance.connections]
