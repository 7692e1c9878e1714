"""The limits, the actions and the state records of the resolver."""

import math
from collections import Counter
from dataclasses import dataclass, field

import dns.rdatatype

from paddlequay.discovery.answers import DnsAnswer, DnsQuestion, Name, Record

RecordType = dns.rdatatype.RdataType
Key = tuple[Name, RecordType]
Server = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ResolverLimits:
    """The bounds of a resolver. Times are seconds; a spread is a range of factors of a lifetime.

    The first refresh is spread more widely, because all routers may have started or recovered at once.

    Attributes:
        max_names: Record sets subscribed at the same time.
        max_cached: Record sets kept.
        min_lifetime: No record set is looked up more often than this, whatever its lifetime.
        max_lifetime: No record set is kept for longer.
        max_negative_lifetime: No negative answer is kept for longer.
        stale: How long records are used past their lifetime while no server answers.
        udp_timeout: For the answer of one server over UDP.
        max_attempts: Queries of one lookup, over all servers.
        failure_backoff: From a lookup that failed everywhere to the next; doubles with each failure.
        max_failure_backoff: The bound of that backoff.
        refresh: When in its lifetime a record set is looked up again.
        first_refresh: The same for its first answer, and the first after a failure.
        min_server_backoff: How long a failing server is avoided; doubles with each failure.
        max_server_backoff: The bound of that backoff.
        max_lookups: Queries in flight.
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
    max_lookups: int = 256


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Orders a query over TCP, or from a new UDP port; its answer or failure is reported under its number.

    Attributes:
        number: The number of the lookup.
        server: The host and port of the server.
        data: The bytes of the query.
        tcp: Whether the query must use TCP.
        timeout: For the answer, in seconds.
    """

    number: int
    server: Server
    data: bytes
    tcp: bool
    timeout: float


@dataclass(frozen=True, slots=True)
class RecordSetKnown:
    """What is known of a record set.

    Attributes:
        name: The canonical name.
        type: The type of the records.
        records: Empty if the name or the type does not exist; None if nothing is known.
        until: When that ends, in seconds of the resolver's clock.
        stale: Whether the lifetime is over and no server answers.
        reason: Why there are no records, or why the lookup failed.
    """

    name: Name
    type: RecordType
    records: tuple[Record, ...] | None
    until: float
    stale: bool = False
    reason: str = ""


ResolverAction = SendQuery | RecordSetKnown


@dataclass(slots=True)
class ServerHealth:
    """The health of one server.

    Attributes:
        smoothed_latency: In seconds.
        failures: Failures in a row.
        backoff_until: Until when the server is avoided, in seconds of the resolver's clock.
        edns: Whether it is queried with EDNS.
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
        failures: Failed lookups in a row.
        in_flight: Whether a lookup is under way.
        announced: What was announced last.
    """

    answer: DnsAnswer | None = None
    received_at: float = -math.inf
    expires_at: float = -math.inf
    refresh_at: float = -math.inf
    references: int = 0
    failures: int = 0
    in_flight: bool = False
    announced: RecordSetKnown | None = None

    @property
    def is_idle(self) -> bool:
        """Whether it has no subscriber and no lookup is under way."""
        return not self.references and not self.in_flight


@dataclass(slots=True, eq=False)
class Lookup:
    """One query in flight. Times are seconds of the resolver's clock.

    Attributes:
        key: The record set that is looked up.
        question: What the answer must repeat.
        tcp: Whether the query was sent over TCP.
        sent_at: When the query was sent.
        attempts: The queries sent for this lookup so far.
        tried_servers: Their servers, in order.
        edns: Whether the query was sent with EDNS.
        times_out_at: When the server is given up.
    """

    key: Key
    question: DnsQuestion
    tcp: bool
    sent_at: float
    attempts: int
    tried_servers: list[Server]
    edns: bool
    times_out_at: float = 0.0
