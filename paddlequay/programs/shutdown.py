"""The end in order after SIGTERM: all that was taken is answered, then the connections close."""

import asyncio
import logging

from paddlequay.config.limits import Limits
from paddlequay.net.clients import Front
from paddlequay.net.hot_restart import HotRestart
from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)

# Seconds before `limits.shutdown_timeout`, at which all that is open is abandoned:
DROP_PARTIAL_BEFORE_END = 1.0  # a message that is not whole is not waited for any more,
REJECT_BEFORE_END = 0.9  # and connections that are never quiet get nothing new done
# After it, to the end: it may be killed 0.2 s after.
FLUSH_TIME = 0.15
LINGER_TIME = 0.05  # the least of that for the peers to end their side


async def shut_down(front: Front, twin: HotRestart, limits: Limits) -> None:
    """End once all that was taken is answered.

    Beside a newer process, which takes what is new, connections close at their next quiet moment. Alone,
    connections keep coming for a while after SIGTERM, and requests on open ones a little longer. What is read
    near the end gets a refusal at once, as sent on it would be lost with the process. At last each connection
    ends in the turn in which all that came is answered, and those that never have one just before the process
    may be killed.
    """
    now = asyncio.get_running_loop().time
    began = now()
    exchange = front.exchange
    front.ending = True
    log.event(LOGGER, logging.INFO, "shutdown_started", open=len(exchange.pending), replaced=twin.replaced)
    while not twin.replaced and now() - began < limits.accept_after_term:
        await asyncio.sleep(0.01)
    front.replaced = twin.replaced
    while not front.close_door(last=now() - began >= limits.serve_after_term):
        await asyncio.sleep(0.01)
    while not twin.replaced and now() - began < limits.serve_after_term:
        await asyncio.sleep(0.01)
    front.closing = front.giving_way = True
    while now() - began < limits.shutdown_timeout:
        front.hurrying = now() - began > limits.shutdown_timeout - REJECT_BEFORE_END
        front.empty()
        patient = now() - began < limits.shutdown_timeout - DROP_PARTIAL_BEFORE_END
        if not exchange.pending and all(each.reader.rest and not patient for each in front.sessions):
            break
        await asyncio.sleep(0.01)
    front.hurrying = True
    front.empty()
    exchange.abandon_all()
    over_by = began + limits.shutdown_timeout + FLUSH_TIME
    left = len(front.sessions)
    while front.sessions and now() < over_by:
        last = now() >= over_by - LINGER_TIME
        for session in list(front.sessions):
            if last or session.at_rest():
                session.end()
        await asyncio.sleep(0.005)
    log.event(LOGGER, logging.INFO, "shutdown_ended", after=now() - began, connections=left)
