"""Counts and logs the events of the cluster's components.

Operators rely on the names of counters, log lines and their fields. They are defined here, independently of
the names of types and attributes in the code.
"""

import logging
from collections.abc import Callable, Iterable

from paddlequay.cluster.node import ClusterEvent
from paddlequay.cluster.types import (
    ChannelOwnership,
    HolderObserved,
    LeaseAcquired,
    LeaseLost,
    LocalEvent,
    LogEvent,
    PeerChanged,
    SelfChanged,
    TableChanged,
    VerdictChanged,
)
from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_S = 5.0  # between two lines of the same event

# The names of events in counters and log lines.
EVENT_NAMES: dict[type[LocalEvent], str] = {
    PeerChanged: "PeerChanged",
    SelfChanged: "SelfChanged",
    LeaseAcquired: "LeaseTaken",
    LeaseLost: "LeaseLost",
    HolderObserved: "HolderSeen",
    VerdictChanged: "VerdictChanged",
    ChannelOwnership: "Owned",
    TableChanged: "TableChanged",
}

# The fields of log lines, in order, and the attribute that each shows.
EVENT_FIELDS: dict[type[LocalEvent], dict[str, str]] = {
    PeerChanged: {"peer": "peer", "incarnation": "incarnation", "standing": "state"},
    SelfChanged: {"heard": "receives", "reaches": "reaches"},
    LeaseAcquired: {"lease": "lease", "term": "term", "until": "until"},
    LeaseLost: {"lease": "lease", "term": "term"},
    HolderObserved: {"lease": "lease", "holder": "holder", "term": "term"},
    VerdictChanged: {"subject": "subject", "trouble": "fault", "until": "until"},
    ChannelOwnership: {"channel": "channel", "term": "term"},
    TableChanged: {
        "epoch": "epoch",
        "digest": "digest",
        "former": "previous",
        "former_until": "previous_until",
    },
}


def log_name(event: ClusterEvent) -> str:
    """Returns the name of an event in counters and log lines."""
    return event.event if isinstance(event, LogEvent) else EVENT_NAMES[type(event)]


def log_fields(event: ClusterEvent) -> Iterable[tuple[str, object]]:
    """Returns the fields of an event's log line."""
    if isinstance(event, LogEvent):
        return event.fields
    return [(name, getattr(event, attribute)) for name, attribute in EVENT_FIELDS[type(event)].items()]


class EventLog:
    """Counts each event, and logs at most one event of each name per `LOG_INTERVAL_S`."""

    def __init__(self, counters: Counters, clock: Callable[[], float]) -> None:
        self._counters = counters
        self._clock = clock
        self._logged_at: dict[str, float] = {}

    def record(self, event: ClusterEvent) -> None:
        """Counts an event, and logs it unless one of the same name was logged within `LOG_INTERVAL_S`."""
        name = log_name(event)
        self._counters.add(f"cluster.{name}")
        now = self._clock()
        if now - self._logged_at.get(name, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at[name] = now
            log.event(LOGGER, logging.INFO, f"cluster_{name}", **dict(log_fields(event)))
