"""The limits of the program: sizes, counts and times from the deployment, the settings or defaults."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypedDict

from paddlequay.config.values import positive
from paddlequay.routing.interface import RoutingSettings

RESERVED_DESCRIPTORS = 40  # for listeners, console, endpoint watch, hot restart link, event loop and log
NON_CONSOLE_DESCRIPTORS = 20  # the reserved descriptors that are not for connections of the console
# The platform sends SIGKILL this long after the longest deadline, of which it counts `MAX_KILL_DEADLINE_S` at
# most. The settings contain neither value.
KILL_AFTER_DEADLINE_S = 0.7
MAX_KILL_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.2  # between abandoning the requests and SIGKILL
MAX_SERVE_AFTER_TERM_S = 0.75  # requests on open connections keep arriving for this long after SIGTERM
MAX_ACCEPT_AFTER_TERM_S = 0.5  # new connections keep arriving for this long after SIGTERM
MAX_ANSWER_DELAY_S = 0.5  # a final answer is due this long after its deadline at the latest
SERVE_MARGIN_S = 0.05  # between reading the last request and abandoning those that are pending


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the program outside the routing policy. Times are in seconds, sizes in bytes."""

    # Clients.
    client_connections: int = 341
    client_streams: int = 32
    max_client_frame: int = 64 * 1024
    max_client_unsent: int = 12 * 1024 * 1024
    max_unsent: int = 48 * 1024 * 1024
    client_stall_timeout: float = 10.0
    # Incomplete messages of more than `client_read_size`, over all connections.
    max_input_bytes: int = 12 * 1024 * 1024
    # For such a message, while other connections wait to receive one.
    client_message_timeout: float = 9.0
    client_silence_timeout: float = 2.5  # without a byte, before the first message or inside one
    # A connection that received a part of a message this recently is closed last to make room for others.
    recent_progress_window: float = 0.5
    client_idle_timeout: float = 6.0  # clients close after 4 s themselves, by the platform's documentation
    max_client_body: int = 48_000
    # After this many rejections or errors in a row, the router reads from a client more slowly.
    max_consecutive_rejections: int = 32
    rejection_pause: float = 0.02  # between the reads from such a client
    max_time_to_live: float = 1.5  # as a multiple of the class's deadline; only a faulty client asks for more
    max_part: int = 65_535
    max_group: int = 255
    max_open_requests: int = 20000
    max_body_bytes: int = 24 * 1024 * 1024
    answer_margin: float = 0.025  # part of the time to live for the transfer from and to the client
    # For requests that the router rejects before the routing policy sees them.
    busy_retry_after: float = 0.2
    accepts_per_iteration: int = 16  # connections accepted in one iteration of the event loop
    client_read_size: int = 4096  # some 25 requests, so that other connections and purges are handled soon
    heartbeat_interval: float = 0.05  # between two measurements of the program's own load
    max_cpu_share: float = 0.96  # of the cores; above it, more load is shed at each heartbeat
    cores: float = 1.0
    max_heartbeat_delay: float = 0.03  # load is shed as well if a heartbeat is later than this
    shed_step: float = 0.06  # added to the share of shed load at each such heartbeat
    shed_retry_after: float = 1.0
    # Caches.
    connect_timeout: float = 0.4  # from the settings
    cache_streams: int = 32  # from the settings, at most `max_remembered_ids`
    cache_connections: int = 8  # to one instance
    max_reuse_idle: float = 0.1  # a connection idle for longer is not used for non-idempotent requests
    requests_per_connection: int = 4  # in flight on each connection before another one is opened
    all_cache_connections: int = 650
    cache_stall_timeout: float = 0.2  # without a byte inside an answer, which caches send without pauses
    # With at least this many unanswered requests on one connection, or on all connections to one instance,
    # and nothing received there for `silence_check_after`, policy/failure_detector.py checks the instance.
    min_unanswered_per_connection: int = 4
    min_unanswered_per_instance: int = 6
    silence_check_after: float = 0.5
    assumed_latency: float = 0.3  # used until answers are received
    cache_idle_timeout: float = 24.0  # the caches close after 30 s, or after the time in the settings
    max_remembered_ids: int = 512  # ids that a connection remembers, so that it writes none of them twice
    max_cache_line: int = 4096
    max_object_size: int = 240_000
    # With less time left no request is written, as the wire gives the time in whole milliseconds.
    min_time_left: float = 0.002
    max_attempts: int = 6
    # The endpoint watch.
    max_watch_line: int = 4 * 1024 * 1024
    # Graceful shutdown; see `shutdown_times`.
    accept_after_term: float = 0.5  # new connections keep arriving for 0.4 s after SIGTERM
    serve_after_term: float = 0.75  # requests on open connections keep arriving for another 0.2 s
    shutdown_timeout: float = 3.5  # all requests that are still pending then are abandoned
    delivery_timeout: float = 30.0  # after that, for clients that still receive their answers
    delivery_stall_timeout: float = 1.0  # a client that receives nothing for longer does not delay the end
    # A drain by operators, who check after 4 s whether any connection is left, whatever the deadlines are.
    drain_accept_time: float = 0.45  # new connections still arrive, and are served, for this long
    drain_reject_after: float = 2.6  # new requests on open connections are rejected from then on
    drain_abandon_after: float = 3.0  # requests that are still pending then are abandoned
    drain_close_after: float = 3.3  # connections that are still open then are closed
    new_connection_age: float = 0.5  # a younger connection is expected to send its first request soon
    # Hot restart.
    max_link_line: int = 1024 * 1024
    link_connect_timeout: float = 1.0
    confirm_timeout: float = 0.6  # for an override, as a console call must be answered within 1 s
    warm_up_timeout: float = 2.5  # for a successor, which must be ready within 6 s
    # The operators' console.
    console_connections: int = 16
    max_console_head: int = 8 * 1024
    max_console_body: int = 64 * 1024
    console_read_timeout: float = 5.0  # until a call is complete
    console_timeout: float = 8.0
    console_linger: float = 0.3  # after the answer, to read what the caller still sends
    # Of all parts.
    reserved_descriptors: int = RESERVED_DESCRIPTORS
    read_size: int = 64 * 1024
    sweep_interval: float = 0.25
    # Counters are logged periodically, as a process that does not end by SIGTERM logs none at its end.
    counters_interval: float = 5.0


class ShutdownTimes(TypedDict):
    """The limits that depend on the time of SIGKILL, in seconds after SIGTERM."""

    accept_after_term: float
    serve_after_term: float
    shutdown_timeout: float


def shutdown_times(longest_deadline: float) -> ShutdownTimes:
    """Returns the times of a graceful shutdown, in seconds after SIGTERM.

    All requests are answered or abandoned early enough to flush the answers before SIGKILL. With
    deadlines under 0.3 s, SIGKILL comes while requests still arrive, so the shutdown waits for less time.

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
    """Returns the limits from the deployment and the settings, and defaults for the rest.

    Raises:
        ConfigError: If a value of the deployment or the settings is invalid.
    """
    # Fewer than 36 do not suffice for clients, which get a third, and a connection to each of a few caches.
    sockets = int(positive(data, "limits.sockets", 1024, lowest=36))
    memory_bytes = positive(data, "limits.memory_mb", 192, lowest=1) * 1024 * 1024
    platform = {"settings": data["settings"]}
    keepalive_s = positive(platform, "settings.limits.keepalive", 30.0)
    client_connections = int(sockets / 3) - 1
    reserved_descriptors = min(RESERVED_DESCRIPTORS, sockets - client_connections - 4)
    mean_objective_s = sum(request_class.latency_objective for request_class in settings.classes) / len(
        settings.classes
    )
    longest_deadline = max(request_class.deadline for request_class in settings.classes)
    defaults = Limits()
    return Limits(
        client_connections=client_connections,
        # The remaining descriptors are for the program itself, and for sockets that are about to be closed.
        all_cache_connections=sockets - client_connections - reserved_descriptors,
        reserved_descriptors=reserved_descriptors,
        # An accepted connection can be closed in favour of another one only from the next iteration of the
        # event loop; if more were accepted in one, some would be rejected.
        accepts_per_iteration=max(1, min(defaults.accepts_per_iteration, client_connections // 4)),
        console_connections=min(defaults.console_connections, reserved_descriptors - NON_CONSOLE_DESCRIPTORS),
        cores=positive(data, "limits.cores", 1.0),
        max_unsent=int(memory_bytes / 4),
        max_client_unsent=int(memory_bytes / 8),
        max_body_bytes=int(memory_bytes / 8),
        max_input_bytes=int(memory_bytes / 16),
        # A client waits no longer than this for the answer to a request, counted from its first byte.
        client_message_timeout=defaults.max_time_to_live * longest_deadline,
        max_open_requests=int(positive(platform, "settings.limits.maxOpen", 20000, lowest=1)),
        # No request waits for a connection for longer than its deadline.
        connect_timeout=min(longest_deadline, positive(platform, "settings.limits.dialTimeout", 0.4)),
        cache_streams=min(
            defaults.max_remembered_ids,
            int(positive(platform, "settings.limits.streamsPerConn", 32, lowest=1)),
        ),
        # This side closes first, a sweep early, because requests that cross a close by the cache are reset.
        cache_idle_timeout=max(
            keepalive_s / 4, min(0.8 * keepalive_s, keepalive_s - 2 * defaults.sweep_interval)
        ),
        max_reuse_idle=min(defaults.max_reuse_idle, keepalive_s / 4),
        # In proportion to the latency objectives, as larger objects take longer.
        # A slow reader is closed only once it waits for none of its unsent answers any more.
        client_stall_timeout=max(
            defaults.client_stall_timeout, defaults.max_time_to_live * longest_deadline + MAX_ANSWER_DELAY_S
        ),
        silence_check_after=1.1 * mean_objective_s,
        assumed_latency=0.5 * mean_objective_s,
        max_attempts=int(positive(platform, "settings.limits.attemptsCap", 6, lowest=1)),
        **shutdown_times(longest_deadline),
    )
