"""Whether a connection to a cache still answers, by what is in flight on it and what came when."""

import math

from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.requests.messages import UpstreamAttempt


def unanswered_since(connection: UpstreamConnection, received_at: float) -> list[UpstreamAttempt]:
    """What is in flight and was written at or after a time, in monotonic seconds."""
    return [
        attempt
        for attempt in connection.in_flight.values()
        if attempt.written_at is not None and attempt.written_at >= received_at
    ]


def is_unresponsive(connection: UpstreamConnection, now: float) -> bool:
    """Whether what is in flight shows it: several written since the last byte, and long ago.

    Left to their time-outs, they counted against the sources of their fills, whose limits were cut for it.
    """
    limits, last = connection.limits, connection.last_received_at
    if now - last <= limits.silence_check_after:
        return False
    waiting = unanswered_since(connection, last)
    enough = len(waiting) >= limits.connection_unanswered
    return enough and connection.instance.is_unresponsive(waiting, now)


def is_stalled(connection: UpstreamConnection, now: float) -> bool:
    """Whether the answer that is coming has stopped, or comes too slowly to be waited for.

    All that is in flight behind it waits for its rest. At twice the rate so far, as an honest one may
    begin slowly, that has to come while its own request may wait, or within `silence_check_after`
    where nobody waits for it. Else a byte now and then holds a connection with thirty requests on it
    until their time-outs.
    """
    limits, parser = connection.limits, connection.parser
    elapsed = now - connection.answer_began_at
    if not parser.has_begun or elapsed <= limits.cache_stall_timeout:
        return False
    if now - connection.last_received_at > limits.cache_stall_timeout:
        return True
    rest = elapsed / parser.progress - elapsed if parser.progress else math.inf
    attempt = connection.in_flight.get(parser.current_id or "")
    left = 0.0 if attempt is None else attempt.expires_at - now
    return rest > 2 * max(left, limits.silence_check_after)
