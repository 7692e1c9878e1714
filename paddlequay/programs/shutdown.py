"""Shuts the router down after SIGTERM: answers all accepted requests, then closes the connections."""

import asyncio
import logging

from paddlequay.config.limits import Limits
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)

# The first two are seconds before `limits.shutdown_timeout`, at which all pending requests are abandoned.
DROP_PARTIAL_BEFORE_END_S = 1.0  # from then on, incomplete messages are not waited for
REJECT_BEFORE_END_S = 0.9  # from then on, new requests on connections that are never idle are rejected
# Seconds after `limits.shutdown_timeout` for sending the last answers; 0.2 s after that time-out, the process
# may be killed.
FLUSH_TIME_S = 0.15
LINGER_TIME_S = 0.05  # the last part of `FLUSH_TIME_S`, in which clients close their side
POLL_INTERVAL_S = 0.01
FINAL_POLL_INTERVAL_S = 0.005


async def shut_down(front: ClientFront, hot_restart: HotRestart, limits: Limits) -> None:
    """Answers all accepted requests and closes the connections, then returns.

    If a successor accepts new connections, each connection closes as soon as it is idle. Without a
    successor, new connections are accepted for a while after SIGTERM, and requests on open connections a
    little longer. Requests that are read near the end are rejected, because a forwarded request would be
    lost with the process. Finally each connection closes once everything received on it is answered; the
    remaining connections close just before the process may be killed, but for those whose clients still
    receive answers: a process that ends by itself loses these, and the platform may kill it later.

    Args:
        front: The front that holds the client connections and the exchange.
        hot_restart: The link between the processes, which tells whether a successor has taken over.
        limits: The time limits of the shutdown, in seconds after SIGTERM.
    """
    now = asyncio.get_running_loop().time
    started_at = now()
    pending = len(front.exchange.pending)
    front.shutting_down = True
    log.event(LOGGER, logging.INFO, "shutdown_started", open=pending, replaced=hot_restart.replaced)
    await stop_accepting(front, hot_restart, limits, started_at)
    front.served_late_connections = front.handing_over = True
    await answer_pending(front, limits, started_at)
    front.near_end = True
    front.close_quiet_connections()
    front.exchange.abandon_all()
    unclosed_count = len(front.sessions)
    flush_deadline = started_at + limits.shutdown_timeout + FLUSH_TIME_S
    await flush(front, flush_deadline)
    await deliver(front, limits, flush_deadline + limits.delivery_timeout)
    log.event(LOGGER, logging.INFO, "shutdown_ended", after=now() - started_at, connections=unclosed_count)


async def stop_accepting(
    front: ClientFront, hot_restart: HotRestart, limits: Limits, started_at: float
) -> None:
    """Accepts connections until no more are expected, then closes the listener.

    Without a successor, it then waits until `limits.serve_after_term`, while requests on open connections are
    still read.
    """
    now = asyncio.get_running_loop().time
    while not hot_restart.replaced and now() - started_at < limits.accept_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)
    front.replaced = hot_restart.replaced
    while not front.stop_accepting(force=now() - started_at >= limits.serve_after_term):
        await asyncio.sleep(POLL_INTERVAL_S)
    while not hot_restart.replaced and now() - started_at < limits.serve_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)


async def answer_pending(front: ClientFront, limits: Limits, started_at: float) -> None:
    """Closes quiet connections until none is open and no request is pending, or until the shutdown time-out.

    From `DROP_PARTIAL_BEFORE_END_S` before the time-out, it no longer waits for connections that hold an
    incomplete message. From `REJECT_BEFORE_END_S` before it, new requests are rejected.
    """
    now = asyncio.get_running_loop().time
    while now() - started_at < limits.shutdown_timeout:
        front.near_end = now() - started_at > limits.shutdown_timeout - REJECT_BEFORE_END_S
        front.close_quiet_connections()
        awaits_partial = now() - started_at < limits.shutdown_timeout - DROP_PARTIAL_BEFORE_END_S
        only_partial = all(session.input.parser.partial and not awaits_partial for session in front.sessions)
        if not front.exchange.pending and only_partial:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def flush(front: ClientFront, deadline: float) -> None:
    """Ends each connection once all its requests are answered, and the others just before the deadline.

    Connections whose clients still receive answers stay open.
    """
    now = asyncio.get_running_loop().time
    while front.sessions and now() < deadline:
        is_last_chance = now() >= deadline - LINGER_TIME_S
        for session in list(front.sessions):
            if is_last_chance or session.at_rest():
                session.end_if_up_to_date()
        await asyncio.sleep(FINAL_POLL_INTERVAL_S)


async def deliver(front: ClientFront, limits: Limits, deadline: float) -> None:
    """Waits until no client receives answers any more, then ends the remaining connections."""
    now = asyncio.get_running_loop().time
    max_stall_s = limits.delivery_stall_timeout
    while now() < deadline and any(session.writer.is_receiving(max_stall_s) for session in front.sessions):
        front.close_quiet_connections()
        await asyncio.sleep(POLL_INTERVAL_S)
    for session in list(front.sessions):
        session.end()
