"""The graceful shutdown of a tier node."""

import asyncio
import logging
import math
import socket

from paddlequay.config.limits import Limits
from paddlequay.net.hierarchy.saved_topology import SavedTopology
from paddlequay.net.hierarchy.tier_front import TierFront
from paddlequay.observability import log

LOGGER = logging.getLogger("paddlequay.programs.tier")

POLL_INTERVAL_S = 0.01
SHUTDOWN_STARTED_EVENT = "shutdown_started"
SHUTDOWN_ENDED_EVENT = "shutdown_ended"


async def shut_down(
    front: TierFront, listener: socket.socket, saved_topology: SavedTopology | None, limits: Limits
) -> None:
    """Stops accepting, answers open requests until the time-out, and waits until all answers are received.

    Args:
        front: The front, whose sessions are flushed at the end.
        listener: The front's listening socket, which is closed.
        saved_topology: The saved topology, whose last save is waited for; None if the node saves none.
        limits: How long open requests and undelivered answers may take, in seconds.
    """
    monotonic = asyncio.get_running_loop().time
    started_at = monotonic()
    front.shutting_down = True
    log.event(LOGGER, logging.INFO, SHUTDOWN_STARTED_EVENT, open=front.node.waiting_count)
    if front.acceptor is not None:
        front.acceptor.stop()
    listener.close()
    answer_deadline = started_at + limits.shutdown_timeout
    while monotonic() < answer_deadline and (
        front.node.waiting_count or front.is_delivering(limits.delivery_stall_timeout)
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    front.exchange.abandon_all()
    front.execute(front.node.expire(math.inf))
    delivery_deadline = monotonic() + limits.delivery_timeout
    while monotonic() < delivery_deadline and front.is_delivering(limits.delivery_stall_timeout):
        await asyncio.sleep(POLL_INTERVAL_S)
    if saved_topology is not None:
        await saved_topology.flush()
    log.event(LOGGER, logging.INFO, SHUTDOWN_ENDED_EVENT, after=monotonic() - started_at)
