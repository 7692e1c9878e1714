"""Closes client connections that exceed the stall, message, silence or idle time-out."""

from paddlequay.net.clients.session import ClientSession


def close_if_timed_out(session: ClientSession, now: float) -> None:
    """Closes a connection whose client has exceeded a time-out.

    The stall time-out limits how long a client may receive nothing of its answers, the silence time-out the
    wait for the first message or for the rest of a message, the idle time-out the time between messages.

    Args:
        session: The connection, with the limits of its front.
        now: The monotonic time in seconds.
    """
    limits = session.front.limits
    counters = session.front.counters
    silent_since = session.input.partial_since
    if silent_since is None and not session.has_sent_message:
        silent_since = session.connected_at
    if session.writer.stalled_s() > limits.client_stall_timeout:
        counters.add("slow_readers")
        counters.add("slow_readers.stalled")
        session.close_stream()
    elif session.front.input_quota.is_overdue(session):
        if session.end_at_rest():
            counters.add("slow_writers")
    elif silent_since is not None and now - silent_since > limits.client_silence_timeout:
        if session.end_at_rest():  # lets it linger: the rest of its message may still arrive
            counters.add("silent_clients")
    elif now - session.last_used_at > limits.client_idle_timeout and session.end_at_rest():
        counters.add("closed_idle_clients")
