"""One instance of a cache, a parent or the origin, which assigns each attempt to one of its connections."""

import errno
import logging
from typing import Protocol

from paddlequay.config.values import Address
from paddlequay.net.upstreams.connection import ConnectionOwner, UpstreamConnection
from paddlequay.net.upstreams.connection_health import is_stalled, is_unresponsive, unanswered_since
from paddlequay.observability import log
from paddlequay.policy.failure_detector import MeanLatency
from paddlequay.protocol.endpoint_watch import Endpoint
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome

LOGGER = logging.getLogger(__name__)

MAX_CONNECT_ATTEMPTS = 2  # the second attempt follows after an idle connection has released its descriptor


class InstanceOwner(ConnectionOwner, Protocol):
    """The pool of all instances."""

    typical_latency: MeanLatency

    def spawn(self, connection: UpstreamConnection) -> None:
        """Starts the task that runs a connection until its end."""
        ...

    def has_capacity(self) -> bool:
        """Returns whether one more connection may be opened, closing an idle one if needed."""
        ...

    def close_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns whether there was one."""
        ...


class UpstreamInstance:
    """One run of a member, until it restarts or moves to another address. Times are monotonic seconds.

    Attributes:
        started: When the member started, in Unix seconds; None if unknown.
        connections: The connections to which attempts may be assigned.
        removed: Whether the instance is no longer listed, so that no more attempts are written to it.
        restarted: Whether another instance of the same name has replaced it.
        relative_latency: The mean latency of its recent answers.
    """

    def __init__(self, pool: InstanceOwner, endpoint: Endpoint) -> None:
        self.pool = pool
        self.name = endpoint.member.name
        self.started = endpoint.member.started
        self.address: Address = endpoint.address
        self.connections: list[UpstreamConnection] = []
        self.removed = False
        self.restarted = False
        self.relative_latency = MeanLatency()

    def is_replaced_by(self, endpoint: Endpoint) -> bool:
        """Returns whether a listed endpoint of this name has a later start time or another address."""
        has_restarted = (endpoint.member.started or 0) > (self.started or 0)
        return has_restarted or endpoint.address != self.address

    def record_latency(self, attempt: UpstreamAttempt, latency: float) -> None:
        """Records the latency of an answered attempt, in seconds."""
        self.relative_latency.record(latency)
        self.pool.typical_latency.record(latency)
        self.pool.latencies.record(attempt.pending.request.class_name, latency)

    def is_unresponsive(self, attempts: list[UpstreamAttempt], now: float) -> bool:
        """Returns whether these unanswered attempts have waited too long to be explained by chance.

        A member whose recent answers were slow is allowed more time.
        """
        ages = [(each.pending.request.class_name, now - (each.written_at or now)) for each in attempts]
        max_age_s = max((age for _, age in ages), default=0.0)
        if max_age_s <= self.pool.limits.silence_check_after:
            return False
        slowness = self.relative_latency.ratio_to(self.pool.typical_latency)
        return self.pool.latencies.is_unresponsive(ages, slowness)

    def start(self, attempt: UpstreamAttempt) -> None:
        """Assigns an attempt to a connection; ends it as not sent if there is no connection for it."""
        connection = None if self.removed else self.choose_connection(attempt)
        if connection is None:
            self.pool.counters.add("no_connection_left")
            self.pool.exchange.attempts.end(attempt, AttemptResult(Outcome.NOT_SENT))
            return
        connection.waiting.append(attempt)
        attempt.carrier = connection
        connection.write_waiting()

    def choose_connection(self, attempt: UpstreamAttempt) -> UpstreamConnection | None:
        """Returns the connection for an attempt; None if there is none.

        Chooses the most loaded connection with fewer than `requests_per_connection` attempts, else a new
        connection, else the least loaded of the others. Few attempts share a connection, because one invalid
        answer ends all that are in flight on it. Connections are filled one after the other, so that those
        not needed become idle and close.
        """
        limits = self.pool.limits
        lightly_loaded = None
        fallback = None
        best_load = -1
        fallback_load = limits.cache_streams
        for connection in self.connections:  # a single pass, because this runs for each attempt
            load = connection.load
            if load < limits.requests_per_connection:
                if load > best_load and connection.accepts(attempt):
                    lightly_loaded = connection
                    best_load = load
            elif lightly_loaded is None and load < fallback_load and connection.accepts(attempt):
                fallback = connection
                fallback_load = load
        if lightly_loaded is not None:
            return lightly_loaded
        if attempt.never_resend and fallback is None and len(self.connections) >= limits.cache_connections:
            self.close_first_idle()
        if len(self.connections) < limits.cache_connections and self.pool.has_capacity():
            return self.connect() or fallback
        return fallback

    def close_first_idle(self) -> None:
        """Closes the oldest idle connection, so that an attempt that must not be repeated gets a new one."""
        for connection in self.connections:
            if connection.is_idle:
                self.forget(connection)
                connection.stream.close()
                return

    def connect(self) -> UpstreamConnection | None:
        """Opens one more connection; returns None if the system provides no socket.

        The lack of a socket is not counted against the member. The quotas leave descriptors for all
        connections, but client connections that are about to close, or a limit that was lowered while the
        process runs, may have exhausted them.
        """
        for _ in range(MAX_CONNECT_ATTEMPTS):
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
        """Removes a connection, so that no more attempts are assigned to it; ignores one already removed."""
        if connection in self.connections:
            self.connections.remove(connection)

    def close_unresponsive(self, now: float) -> None:
        """Closes connections that no longer answer, or that lead to a replaced instance.

        A connection with unread bytes is left until the next heartbeat, so that they are read first.
        """
        is_silent = self.is_silent(now)
        for connection in self.connections[:]:
            cause = self.cause_to_close(connection, is_silent, now)
            if cause is not None and not connection.stream.closed() and not connection.has_unread:
                self.pool.counters.add(cause)
                connection.stream.close()

    def is_silent(self, now: float) -> bool:
        """Returns whether the instance has answered on none of its connections for too long.

        At least `min_unanswered_per_instance` attempts must have been written since it last answered on any
        of them.
        """
        limits = self.pool.limits
        read_at = max((connection.last_read_at for connection in self.connections), default=now)
        if now - read_at <= limits.silence_check_after:
            return False
        unanswered = [
            attempt for connection in self.connections for attempt in unanswered_since(connection, read_at)
        ]
        return len(unanswered) >= limits.min_unanswered_per_instance and self.is_unresponsive(unanswered, now)

    def cause_to_close(self, connection: UpstreamConnection, is_silent: bool, now: float) -> str | None:
        """Returns the name of the counter for the cause to close a connection; None if it may stay open."""
        if is_stalled(connection, now):
            return "stalled_answers"
        if is_unresponsive(connection, now) or (is_silent and connection.in_flight):
            return "unresponsive_connections"
        if self.restarted and connection.in_flight:
            return "restarted_connections"
        return None

    def sweep(self, now: float) -> None:
        """Closes idle connections that are unused for too long, unresponsive or to a removed instance.

        A connection whose attempts must all not be repeated is closed after `max_reuse_idle`: such attempts
        do not reuse it any more, and it would only occupy its peer's connection table.
        """
        limits = self.pool.limits
        for connection in [each for each in self.connections if each.is_idle]:
            timeout = limits.max_reuse_idle if connection.only_never_resend else limits.cache_idle_timeout
            has_expired = now - connection.last_used_at > timeout
            if self.removed or has_expired or connection.unresponsive:
                connection.stream.close()
