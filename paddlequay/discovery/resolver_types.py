"""The resolver's limits and actions, and its records of servers, record sets and lookups."""

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
    """Bounds; times in seconds."""

    max_names: int = 4096  # wanted at the same time
    max_cached: int = 16_384  # sets that are kept
    min_lifetime: float = 1.0  # no set is asked for more often than this, whatever its lifetime
    max_lifetime: float = 3600.0  # nor kept for longer
    max_negative_lifetime: float = 300.0
    stale: float = 3600.0  # past its lifetime, while no server answers
    udp_timeout: float = 0.8  # for one server's answer by UDP; three times that by TCP
    max_attempts: int = 4  # for one question, over all servers
    failure_backoff: float = (
        5.0  # until a question that failed everywhere is asked again; twice as long each time,
    )
    max_failure_backoff: float = 30.0
    refresh: tuple[float, float] = (0.6, 0.95)  # of the lifetime: when in it a set is asked for again,
    first_refresh: tuple[float, float] = (
        0.15,
        0.95,
    )  # and where it is had for the first time, or after an outage:
    # routers that start, or hear of a server again, in one moment must not go on in step
    min_server_backoff: float = 1.0  # a failing server is passed over for this long; twice as long each time
    max_server_backoff: float = 60.0
    max_lookups: int = 256  # questions on their way


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Send this to a server, by TCP or from a new UDP port; its answer or failure comes with this number."""

    number: int
    server: Server
    data: bytes
    tcp: bool
    timeout: float


@dataclass(frozen=True, slots=True)
class RecordSetKnown:
    """What is known of a name now. `until`: the second, by the clock of `tick`, at which it ends.

    `records` are empty where the name or the type is not there; `stale` where no server could be queried and
    the lifetime is over; `None` where nothing at all is known.
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
    """How a server does: smoothed latency in seconds, and until when it is passed over."""

    smoothed_latency: float = 0.05
    failures: int = 0
    backoff_until: float = -math.inf
    edns: bool = True
    counts: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class CacheEntry:
    """What is known of one record set."""

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
        """Whether nobody subscribes to it and no lookup is under way."""
        return not self.references and not self.in_flight


@dataclass(slots=True, eq=False)
class Lookup:
    """One query in flight."""

    key: Key
    question: DnsQuestion
    tcp: bool
    sent_at: float
    attempts: int
    tried_servers: list[Server]
    edns: bool
    times_out_at: float = 0.0
