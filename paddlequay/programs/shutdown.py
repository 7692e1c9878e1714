"""The end in order after SIGTERM: all that was taken is answered, then the connections close."""

import asyncio
import logging

from paddlequay.observability import log
from paddlequay.config.loader import Limits
from paddlequay.net.clients import Front
from paddlequay.net.hot_restart import Twin

LOGGER = logging.getLogger(__name__)

# Seconds before all that is open is given up, at `limits.drain_longest`, which goes by the longest deadline:
WAIT_NO_HALF = 1.0  # a message that is not whole is not waited for any more,
REFUSE = 0.9  # and connections that are never quiet get nothing new done
# After it, to the end: it may be killed 0.2 s after.
LAST_WORDS = 0.15
LINGERS = 0.05  # the least of that for the peers to end their side


async def end(front: Front, twin: Twin, limits: Limits) -> None:
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
    log.event(LOGGER, logging.INFO, "ending", open=len(exchange.open), replaced=twin.replaced)
    while not twin.replaced and now() - began < limits.accept_after_term:
        await asyncio.sleep(0.01)
    front.replaced = twin.replaced
    while not front.close_door(last=now() - began >= limits.serve_after_term):
        await asyncio.sleep(0.01)
    while not twin.replaced and now() - began < limits.serve_after_term:
        await asyncio.sleep(0.01)
    front.closing = front.giving_way = True
    while now() - began < limits.drain_longest:
        front.hurrying = now() - began > limits.drain_longest - REFUSE
        front.empty()
        patient = now() - began < limits.drain_longest - WAIT_NO_HALF
        if not exchange.open and all(each.reader.rest and not patient for each in front.sessions):
            break
        await asyncio.sleep(0.01)
    front.hurrying = True
    front.empty()
    exchange.surrender()
    over_by = began + limits.drain_longest + LAST_WORDS
    left = len(front.sessions)
    while front.sessions and now() < over_by:
        last = now() >= over_by - LINGERS
        for session in list(front.sessions):
            if last or session.at_rest():
                session.end()
        await asyncio.sleep(0.005)
    log.event(LOGGER, logging.INFO, "ended", after=now() - began, connections=left)
