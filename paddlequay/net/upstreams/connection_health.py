"""Decides whether a connection still answers, from its attempts in flight and the times of its reads."""

import math

from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.requests.messages import UpstreamAttempt

MAX_SPEEDUP_FACTOR = 2.0  # the rest of an answer may arrive at up to this multiple of the rate so far


def unanswered_since(connection: UpstreamConnection, received_at: float) -> list[UpstreamAttempt]:
    """Returns the attempts in flight that were written at or after a time, in monotonic seconds."""
    return [
        attempt
        for attempt in connection.in_flight.values()
        if attempt.written_at is not None and attempt.written_at >= received_at
    ]


def is_unresponsive(connection: UpstreamConnection, now: float) -> bool:
    """Returns whether too many attempts have waited too long since bytes were last received.

    If the connection is closed, its attempts do not have to time out; their time-outs would count against the
    sources of their fills.

    Args:
        connection: The connection to check.
        now: The time in monotonic seconds.
    """
    limits = connection.limits
    received_at = connection.last_received_at
    if now - received_at <= limits.silence_check_after:
        return False
    unanswered = unanswered_since(connection, received_at)
    if len(unanswered) < limits.min_unanswered_per_connection:
        return False
    return connection.instance.is_unresponsive(unanswered, now)


def is_stalled(connection: UpstreamConnection, now: float) -> bool:
    """Returns whether the current, incomplete answer has stopped or arrives too slowly.

    All later answers on the connection wait for the rest of this one. At `MAX_SPEEDUP_FACTOR` times the rate
    so far, the rest must arrive within the time that its attempt has left, or within `silence_check_after`
    if that is longer.

    Args:
        connection: The connection to check.
        now: The time in monotonic seconds.
    """
    limits = connection.limits
    parser = connection.parser
    elapsed_s = now - connection.answer_began_at
    if not parser.has_begun or elapsed_s <= limits.cache_stall_timeout:
        return False
    if now - connection.last_received_at > limits.cache_stall_timeout:
        return True
    remaining_s = elapsed_s / parser.progress - elapsed_s if parser.progress else math.inf
    attempt = connection.in_flight.get(parser.current_id or "")
    time_left_s = 0.0 if attempt is None else attempt.expires_at - now
    return remaining_s > MAX_SPEEDUP_FACTOR * max(time_left_s, limits.silence_check_after)
