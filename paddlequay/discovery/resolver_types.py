"""The limits, the actions and the state records of the resolver."""

import math
from collections import Counter
from dataclasses import dataclass, field

import dns.rdatatype

from paddlequay.discovery.answers import DnsAnswer, DnsQuestion, Name, Record

RecordType = dns.rdatatype.RdataType
RecordSetKey = tuple[Name, RecordType]
Server = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ResolverLimits:
    """The limits of a resolver. Times are seconds.

    The first refresh is spread more widely, because all routers may have started or recovered at once.

    Attributes:
        max_names: The most record sets that are subscribed at the same time.
        max_cached: The number of cached record sets beyond which idle ones are evicted.
        min_lifetime: The shortest time for which an answer is cached, whatever its TTL.
        max_lifetime: The longest time for which records are cached.
        max_negative_lifetime: The longest time for which a negative answer is cached.
        stale: How long expired records are used while no server answers.
        udp_timeout: The time to wait for an answer over UDP.
        max_attempts: The most queries of one lookup, over all servers.
        failure_backoff: The wait after a failed lookup; doubles with each consecutive failure.
        max_failure_backoff: The bound of that backoff.
        refresh: The range, as fractions of the lifetime, within which a record set is refreshed.
        first_refresh: The same after the first answer, and after the first answer that follows a failure.
        min_server_backoff: How long a failing server is avoided; doubles with each consecutive failure.
        max_server_backoff: The bound of that backoff.
        max_pending_queries: The number of queries in flight at which no new lookup starts.
    """

    max_names: int = 4096
    max_cached: int = 16_384
    min_lifetime: float = 1.0
    max_lifetime: float = 3600.0
    max_negative_lifetime: float = 300.0
    stale: float = 3600.0
    udp_timeout: float = 0.8
    max_attempts: int = 4
    failure_backoff: float = 5.0
    max_failure_backoff: float = 30.0
    refresh: tuple[float, float] = (0.6, 0.95)
    first_refresh: tuple[float, float] = (0.15, 0.95)
    min_server_backoff: float = 1.0
    max_server_backoff: float = 60.0
    max_pending_queries: int = 256


@dataclass(frozen=True, slots=True)
class SendQuery:
    """An action: send a query over TCP or from a new UDP port, and report the result under its number.

    Attributes:
        number: The number of the query.
        server: The host and port of the server.
        data: The bytes of the query.
        tcp: Whether the query must use TCP.
        timeout: How long to wait for the answer, in seconds.
    """

    number: int
    server: Server
    data: bytes
    tcp: bool
    timeout: float


@dataclass(frozen=True, slots=True)
class RecordSetUpdate:
    """An action: announces the current state of a record set.

    Attributes:
        name: The canonical name.
        type: The type of the records.
        records: The records; empty if the name has none of the type, None if no answer is valid.
        until: When this state ends, in seconds of the resolver's clock.
        stale: Whether the records have expired and are used because no server answers.
        reason: Why there are no records, or why the lookup failed.
    """

    name: Name
    type: RecordType
    records: tuple[Record, ...] | None
    until: float
    stale: bool = False
    reason: str = ""


ResolverAction = SendQuery | RecordSetUpdate


@dataclass(slots=True)
class ServerHealth:
    """The health of one server.

    Attributes:
        smoothed_latency: The smoothed latency of its answers, in seconds.
        failures: The number of consecutive failures.
        backoff_until: Until when the server is avoided, in seconds of the resolver's clock.
        edns: Whether the server is queried with EDNS.
        counts: The queries sent (`asked`) and the failures by reason.
    """

    smoothed_latency: float = 0.05
    failures: int = 0
    backoff_until: float = -math.inf
    edns: bool = True
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class CacheEntry:
    """One record set in the cache. Times are seconds of the resolver's clock.

    Attributes:
        answer: The last answer; None before the first.
        received_at: When it was received.
        expires_at: When its lifetime ends.
        refresh_at: When the next lookup is due.
        references: The number of subscribers.
        failures: The number of consecutive failed lookups.
        in_flight: Whether a lookup is in flight.
        announced: The last announcement.
    """

    answer: DnsAnswer | None = None
    received_at: float = -math.inf
    expires_at: float = -math.inf
    refresh_at: float = -math.inf
    references: int = 0
    failures: int = 0
    in_flight: bool = False
    announced: RecordSetUpdate | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the entry has no subscriber and no lookup in flight."""
        return not self.references and not self.in_flight


@dataclass(slots=True, eq=False)
class PendingQuery:
    """One query in flight. Times are seconds of the resolver's clock.

    Attributes:
        key: The record set that is looked up.
        question: The question, and the values that the answer must match.
        tcp: Whether the query was sent over TCP.
        sent_at: When the query was sent.
        attempts: The number of queries of this lookup, including this one.
        tried_servers: The servers that the lookup has queried, in order.
        edns: Whether the query was sent with EDNS.
        times_out_at: When the query times out.
    """

    key: RecordSetKey
    question: DnsQuestion
    tcp: bool
    sent_at: float
    attempts: int
    tried_servers: list[Server]
    edns: bool
    times_out_at: float = 0.0
