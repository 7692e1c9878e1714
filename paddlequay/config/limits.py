"""The limits of the program: every size, count and time, from the deployment, the settings or a default."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypedDict

from paddlequay.config.values import positive
from paddlequay.routing.interface import RoutingSettings

RESERVED_DESCRIPTORS = 40  # listeners, console, endpoint watch, hot restart link, event loop, log
NON_CONSOLE_DESCRIPTORS = 20  # of these, all but the connections of the console
# The platform sends SIGKILL this long after the longest deadline, counted up to a maximum; no setting
# gives them.
KILL_AFTER_DEADLINE_S = 0.7
MAX_KILL_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.2  # from the abandoned requests to SIGKILL
MAX_SERVE_AFTER_TERM_S = 0.75  # requests on open connections keep arriving for this long after SIGTERM
MAX_ACCEPT_AFTER_TERM_S = 0.5  # and new connections for this long
SERVE_MARGIN_S = 0.05  # from the last request read to the abandoned ones


@dataclass(frozen=True, slots=True)
class Limits:
    """Every size, count and time of the program outside the decisions. Times are seconds, sizes are bytes."""

    # Clients.
    client_connections: int = 341
    client_streams: int = 32
    max_client_frame: int = 64 * 1024
    max_client_unsent: int = 12 * 1024 * 1024
    max_unsent: int = 48 * 1024 * 1024
    client_stall_timeout: float = 10.0
    client_silence_timeout: float = 2.5  # without a byte, before the first one or inside a message
    recent_progress: float = 0.5  # a message received in part this recently keeps its connection open
    client_idle_timeout: float = 6.0  # clients themselves close after 4 s, by the platform's documentation
    max_client_body: int = 48_000
    max_consecutive_rejections: int = 32  # or errors, after which a client is read more slowly
    rejection_pause: float = 0.02  # between the reads from such a client
    max_time_to_live: float = 1.5  # of the class's deadline; only a faulty client asks for more
    max_part: int = 65_535
    max_group: int = 255
    max_open_requests: int = 20000
    max_body_bytes: int = 24 * 1024 * 1024
    answer_margin: float = 0.025  # of the time to live, for the transfer from and to the client
    busy_retry_after: float = 0.2  # if the router itself, not the decisions, rejects a request
    accepts_per_turn: int = 16  # connections accepted in one iteration of the event loop
    client_read_size: int = 4096  # some 25 requests, so that other connections and purges are handled soon
    heartbeat_interval: float = 0.05  # how often the program looks at its own load
    max_cpu_share: float = 0.96  # of the core: above it, load is shed, more at each heartbeat
    cores: float = 1.0
    max_heartbeat_delay: float = 0.03  # a heartbeat this late means the same
    shed_step: float = 0.06
    shed_retry_after: float = 1.0
    # Caches.
    connect_timeout: float = 0.4  # as the settings give
    cache_streams: int = 32  # as the settings give, up to `max_remembered_ids`
    cache_connections: int = 8  # to one instance
    max_reuse_idle: float = 0.1  # idle for longer, a connection takes no non-idempotent request
    requests_per_connection: int = 4  # in flight on a connection before another is opened
    all_cache_connections: int = 650
    cache_stall_timeout: float = 0.2  # without a byte inside an answer, which caches send at once
    connection_unanswered: int = 4  # requests written on a connection with nothing received on it,
    instance_unanswered: int = 6  # or on all to an instance with nothing received on any,
    silence_check_after: float = 0.5  # nothing for this long: policy/failure_detector.py decides
    assumed_latency: float = 0.3  # the assumed latency until answers are received
    cache_idle_timeout: float = 24.0  # the caches close at 30 s, or as the settings give
    max_remembered_ids: int = 512  # remembered by a connection, so that none is written twice on it
    max_cache_line: int = 4096
    max_object_size: int = 240_000
    # With less time left nothing is written, as the wire has whole milliseconds.
    min_time_left: float = 0.002
    max_attempts: int = 6
    # The endpoint watch.
    max_bulletin_line: int = 4 * 1024 * 1024
    # Graceful shutdown; see `shutdown_times`.
    accept_after_term: float = 0.5  # connections keep coming for 0.4 s after SIGTERM,
    serve_after_term: float = 0.75  # and requests on open ones 0.2 s longer
    shutdown_timeout: float = 3.5  # then all that is pending is abandoned
    flush_timeout: float = 0.5  # for what a tier has answered and not sent yet, after `shutdown_timeout`
    # A drain by operators, who look at 4 s after it whether any connection is left, whatever the deadlines.
    drain_accept_time: float = 0.45  # new connections still come, and are served, for this long
    drain_reject_after: float = 2.6  # connections that are never quiet get nothing new done,
    drain_abandon_after: float = 3.0  # what is pending then is abandoned,
    drain_close_after: float = 3.3  # and what is not closed by then is closed
    new_connection_age: float = 0.5  # a newer connection is expected to send its first request
    # Hot restart.
    max_link_line: int = 1024 * 1024
    link_connect_timeout: float = 1.0
    confirm_timeout: float = 0.6  # for an override; a console call must be answered within 1 s
    warm_up_timeout: float = 2.5  # of a successor, which must be ready within 6 s
    # The operators' console.
    console_connections: int = 16
    max_console_head: int = 8 * 1024
    max_console_body: int = 64 * 1024
    console_read_timeout: float = 5.0  # to a complete call
    console_timeout: float = 8.0
    console_linger: float = 0.3  # after the answer, for what the caller still sends
    # All.
    reserved_descriptors: int = RESERVED_DESCRIPTORS
    read_size: int = 64 * 1024
    sweep_interval: float = 0.25
    counters_interval: float = 5.0  # logs must be complete for processes that do not end by SIGTERM


class ShutdownTimes(TypedDict):
    """The limits that follow from the time of SIGKILL, in seconds after SIGTERM."""

    accept_after_term: float
    serve_after_term: float
    shutdown_timeout: float


def shutdown_times(longest_deadline: float) -> ShutdownTimes:
    """Returns the times of a graceful shutdown, in seconds after SIGTERM.

    All requests are answered or abandoned early enough to flush the answers before SIGKILL. With
    deadlines under 0.3 s SIGKILL comes while requests still arrive, and the shutdown waits less.

    Args:
        longest_deadline: The longest deadline of any request class, in seconds.
    """
    counted_deadline = min(MAX_KILL_DEADLINE_S, longest_deadline)
    abandoned_at = counted_deadline + KILL_AFTER_DEADLINE_S - KILL_MARGIN_S
    served_until = min(MAX_SERVE_AFTER_TERM_S, abandoned_at - SERVE_MARGIN_S)
    return {
        "accept_after_term": min(MAX_ACCEPT_AFTER_TERM_S, served_until),
        "serve_after_term": served_until,
        "shutdown_timeout": abandoned_at,
    }


def limits_from(data: Mapping[str, Any], settings: RoutingSettings) -> Limits:
    """Returns the limits by the deployment and the settings, else the defaults; raises `ConfigError`."""
    # Fewer descriptors do not suffice for a third for clients and a connection to each of a few caches.
    sockets = int(positive(data, "limits.sockets", 1024, lowest=36))
    memory = positive(data, "limits.memory_mb", 192, lowest=1) * 1024 * 1024
    wire = {"settings": data["settings"]}
    keepalive = positive(wire, "settings.limits.keepalive", 30.0)
    clients = int(sockets / 3) - 1
    own = min(RESERVED_DESCRIPTORS, sockets - clients - 4)
    mean_objective = sum(kind.latency_objective for kind in settings.classes) / len(settings.classes)
    longest = max(kind.deadline for kind in settings.classes)
    defaults = Limits()
    return Limits(
        client_connections=clients,
        # The rest is for the program itself, and for sockets about to be closed.
        all_cache_connections=sockets - clients - own,
        reserved_descriptors=own,
        # Accepted connections can be closed for others from the next iteration: more would be rejected.
        accepts_per_turn=max(1, min(defaults.accepts_per_turn, clients // 4)),
        console_connections=min(defaults.console_connections, own - NON_CONSOLE_DESCRIPTORS),
        cores=positive(data, "limits.cores", 1.0),
        max_unsent=int(memory / 4),
        max_client_unsent=int(memory / 8),
        max_body_bytes=int(memory / 8),
        max_open_requests=int(positive(wire, "settings.limits.maxOpen", 20000, lowest=1)),
        # No request waits longer for a connection.
        connect_timeout=min(longest, positive(wire, "settings.limits.dialTimeout", 0.4)),
        cache_streams=min(
            defaults.max_remembered_ids, int(positive(wire, "settings.limits.streamsPerConn", 32, lowest=1))
        ),
        # This side closes first, one sweep early: requests that cross the caches' close are reset.
        cache_idle_timeout=max(keepalive / 4, min(0.8 * keepalive, keepalive - 2 * defaults.sweep_interval)),
        max_reuse_idle=min(defaults.max_reuse_idle, keepalive / 4),
        # Scaled by the latency objectives, as larger objects take longer.
        silence_check_after=1.1 * mean_objective,
        assumed_latency=0.5 * mean_objective,
        max_attempts=int(positive(wire, "settings.limits.attemptsCap", 6, lowest=1)),
        **shutdown_times(longest),
    )
