"""Shuts the router down after SIGTERM: answers all accepted requests, then closes the connections."""

import asyncio
import logging

from paddlequay.config.limits import Limits
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)

# Before `limits.shutdown_timeout`, when all pending requests are abandoned:
DROP_PARTIAL_BEFORE_END_S = 1.0  # stop waiting for incomplete messages
REJECT_BEFORE_END_S = 0.9  # reject new requests on connections that are never idle
# After it; the process may be killed 0.2 s later:
FLUSH_TIME_S = 0.15  # for the last answers
LINGER_TIME_S = 0.05  # of that, for the peers to close their side
POLL_INTERVAL_S = 0.01
FINAL_POLL_INTERVAL_S = 0.005


async def shut_down(front: ClientFront, hot_restart: HotRestart, limits: Limits) -> None:
    """Returns once all accepted requests are answered and the connections are closed.

    Beside a successor, which accepts new connections, each connection closes as soon as it is idle.
    Without one, new connections are accepted for a while after SIGTERM, and requests on open ones a
    little longer. Requests read near the end are rejected, because a forwarded one would be lost with
    the process. Finally each connection closes once everything received on it is answered, and the
    others just before the process may be killed.

    Args:
        front: The client connections and the exchange.
        hot_restart: Whether a successor has taken over.
        limits: The times of the shutdown, in seconds after SIGTERM.
    """
    now = asyncio.get_running_loop().time
    began = now()
    pending = len(front.exchange.pending)
    front.shutting_down = True
    log.event(LOGGER, logging.INFO, "shutdown_started", open=pending, replaced=hot_restart.replaced)
    await stop_accepting(front, hot_restart, limits, began)
    front.served_late_connections = front.handing_over = True
    await answer_pending(front, limits, began)
    front.near_end = True
    front.close_quiet_connections()
    front.exchange.abandon_all()
    left = len(front.sessions)
    await flush(front, began + limits.shutdown_timeout + FLUSH_TIME_S)
    log.event(LOGGER, logging.INFO, "shutdown_ended", after=now() - began, connections=left)


async def stop_accepting(front: ClientFront, hot_restart: HotRestart, limits: Limits, began: float) -> None:
    """Accepts until no new connection is expected, closes the listener, and reads on for a little longer."""
    now = asyncio.get_running_loop().time
    while not hot_restart.replaced and now() - began < limits.accept_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)
    front.replaced = hot_restart.replaced
    while not front.stop_accepting(force=now() - began >= limits.serve_after_term):
        await asyncio.sleep(POLL_INTERVAL_S)
    while not hot_restart.replaced and now() - began < limits.serve_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)


async def answer_pending(front: ClientFront, limits: Limits, began: float) -> None:
    """Waits until no request is pending or half received, or until the time-out."""
    now = asyncio.get_running_loop().time
    while now() - began < limits.shutdown_timeout:
        front.near_end = now() - began > limits.shutdown_timeout - REJECT_BEFORE_END_S
        front.close_quiet_connections()
        awaits_partial = now() - began < limits.shutdown_timeout - DROP_PARTIAL_BEFORE_END_S
        only_partial = all(session.input.parser.partial and not awaits_partial for session in front.sessions)
        if not front.exchange.pending and only_partial:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def flush(front: ClientFront, deadline: float) -> None:
    """Closes each connection once it is at rest, and all of them just before the deadline."""
    now = asyncio.get_running_loop().time
    while front.sessions and now() < deadline:
        is_last_chance = now() >= deadline - LINGER_TIME_S
        for session in list(front.sessions):
            if is_last_chance or session.at_rest():
                session.end()
        await asyncio.sleep(FINAL_POLL_INTERVAL_S)
