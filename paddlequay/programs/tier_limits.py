"""Derives the limits of a tier node's components from its settings."""

from paddlequay.config.limits import RESERVED_DESCRIPTORS, Limits
from paddlequay.schema.tier import TierSettings

MIN_CACHE_CONNECTIONS = 4
MAX_BODY_BYTES = 1024 * 1024
MAX_ATTEMPTS = 32
SILENCE_CHECK_FACTOR = 1.1  # multiple of the classes' mean latency objective
MAX_SHUTDOWN_S = 3.0
SHUTDOWN_SLACK_S = 0.5


def tier_limits(settings: TierSettings) -> Limits:
    """Returns the limits of the components that a tier node has in common with the router."""
    classes = settings.classes
    client_connections = max(1, int(settings.sockets / 2) - 1)
    cache_connections = settings.sockets - client_connections - RESERVED_DESCRIPTORS
    latency_objectives = sum(request_class.latency_objective for request_class in classes)
    longest_deadline = max(request_class.deadline for request_class in classes)
    return Limits(
        client_connections=client_connections,
        all_cache_connections=max(MIN_CACHE_CONNECTIONS, cache_connections),
        cores=settings.cores,
        max_open_requests=settings.node.max_fills,
        max_body_bytes=MAX_BODY_BYTES,
        answer_margin=0.0,
        max_attempts=MAX_ATTEMPTS,
        silence_check_after=SILENCE_CHECK_FACTOR * latency_objectives / len(classes),
        shutdown_timeout=min(MAX_SHUTDOWN_S, longest_deadline) + SHUTDOWN_SLACK_S,
    )
