"""The task of one connection to a cache, parent or the origin: it connects and reads until the end."""

import asyncio
import logging

from tornado.iostream import StreamClosedError

from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.observability import log
from paddlequay.protocol import caches as wire

LOGGER = logging.getLogger(__name__)

READS_PER_TURN = 4  # of what is there already, before other connections have their turn


class ConnectionReader:
    """Connects and reads for one connection, and finishes it at the end.

    The connection does not refer to it: connections that refer to themselves are freed late.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection
        self.pool, self.limits = connection.pool, connection.limits

    async def run(self) -> None:
        """Connect, then read until the end."""
        connection = self.connection
        try:
            await asyncio.wait_for(
                connection.stream.connect(connection.instance.address), self.limits.connect_timeout
            )
        except (TimeoutError, StreamClosedError, OSError) as error:
            to, why = connection.instance.name, type(error).__name__
            self.pool.counters.add("connect_failed")
            log.event(LOGGER, logging.INFO, "connect_failed", to=to, why=why)
            return connection.finish()
        try:
            connection.stream.set_nodelay(True)
            self.pool.counters.add("connected")
            connection.is_up = True
            connection.last_received_at = connection.last_used_at = self.pool.now()
            connection.write_waiting()
            await self.read()
        except StreamClosedError:
            pass
        except wire.CacheProtocolError as error:
            at = connection.instance.name
            if self.pool.counters.add_once("bad_cache_lines"):
                log.event(LOGGER, logging.WARNING, "bad_cache_line", at=at, why=str(error))
        except Exception:  # this connection ends, and no other
            self.pool.counters.add("cache_errors")
            LOGGER.exception("cache_connection_failed")
        connection.finish()

    async def read(self) -> None:
        """Read answers for as long as the connection is open."""
        connection, reads = self.connection, 0
        while True:
            # Not in a local name as well, see below.
            connection.pending_read = asyncio.ensure_future(
                connection.stream.read_bytes(self.limits.read_size, partial=True)
            )
            try:
                data = await connection.pending_read
            except BaseException:
                connection.pending_read = None  # it keeps the error, which keeps the frames that lead here
                raise
            connection.handle_data(data)
            reads += 1
            if len(data) == self.limits.read_size or reads % READS_PER_TURN == 0:
                await asyncio.sleep(0)  # a read of what is there does not yield: others have a turn
