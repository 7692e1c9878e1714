"""Graceful shutdown after SIGTERM: all that was taken is answered, then the connections close."""

import asyncio
import logging

from paddlequay.config.limits import Limits
from paddlequay.net.clients.client_front import ClientFront
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)

# Seconds before `limits.shutdown_timeout`, at which all that is pending is abandoned:
DROP_PARTIAL_BEFORE_END = 1.0  # an incomplete message is not waited for any more,
REJECT_BEFORE_END = 0.9  # and connections that are never quiet get nothing new done
# After it, to the end: the process may be killed 0.2 s after.
FLUSH_TIME = 0.15
LINGER_TIME = 0.05  # the least of that for the peers to end their side
POLL_INTERVAL_S = 0.01
FINAL_POLL_INTERVAL_S = 0.005


async def shut_down(front: ClientFront, hot_restart: HotRestart, limits: Limits) -> None:
    """End once all that was taken is answered.

    Beside a successor, which takes what is new, connections close at their next quiet moment. Alone,
    connections keep coming for a while after SIGTERM, and requests on open ones a little longer. What is read
    near the end is rejected at once, as forwarded it would be lost with the process. At last each connection
    ends in the turn in which all that came is answered, and those that never have one just before the process
    may be killed.
    """
    now = asyncio.get_running_loop().time
    began = now()
    pending = len(front.exchange.pending)
    front.shutting_down = True
    log.event(LOGGER, logging.INFO, "shutdown_started", open=pending, replaced=hot_restart.replaced)
    await stop_accepting(front, hot_restart, limits, began)
    front.refusing_new = front.handing_over = True
    await answer_pending(front, limits, began)
    front.near_end = True
    front.close_quiet_connections()
    front.exchange.abandon_all()
    left = len(front.sessions)
    await flush(front, began + limits.shutdown_timeout + FLUSH_TIME)
    log.event(LOGGER, logging.INFO, "shutdown_ended", after=now() - began, connections=left)


async def stop_accepting(front: ClientFront, hot_restart: HotRestart, limits: Limits, began: float) -> None:
    """Accept for as long as connections may come, then close the listener; go on reading a little longer."""
    now = asyncio.get_running_loop().time
    while not hot_restart.replaced and now() - began < limits.accept_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)
    front.replaced = hot_restart.replaced
    while not front.stop_accepting(last=now() - began >= limits.serve_after_term):
        await asyncio.sleep(POLL_INTERVAL_S)
    while not hot_restart.replaced and now() - began < limits.serve_after_term:
        await asyncio.sleep(POLL_INTERVAL_S)


async def answer_pending(front: ClientFront, limits: Limits, began: float) -> None:
    """Wait until nothing is pending and no connection is inside a message, until the time-out at most."""
    now = asyncio.get_running_loop().time
    while now() - began < limits.shutdown_timeout:
        front.near_end = now() - began > limits.shutdown_timeout - REJECT_BEFORE_END
        front.close_quiet_connections()
        patient = now() - began < limits.shutdown_timeout - DROP_PARTIAL_BEFORE_END
        only_partial = all(session.input.parser.partial and not patient for session in front.sessions)
        if not front.exchange.pending and only_partial:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def flush(front: ClientFront, deadline: float) -> None:
    """Let each connection end once it is at rest, and all of them just before the deadline."""
    now = asyncio.get_running_loop().time
    while front.sessions and now() < deadline:
        last = now() >= deadline - LINGER_TIME
        for session in list(front.sessions):
            if last or session.at_rest():
                session.end()
        await asyncio.sleep(FINAL_POLL_INTERVAL_S)
