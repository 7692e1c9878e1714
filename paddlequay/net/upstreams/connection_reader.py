"""The task of one connection to a cache, a parent or the origin: connects, then reads until the end."""

import asyncio
import logging

from tornado.iostream import StreamClosedError

from paddlequay.net.upstreams.connection import UpstreamConnection
from paddlequay.observability import log
from paddlequay.protocol import caches as wire

LOGGER = logging.getLogger(__name__)

MAX_READS_PER_ITERATION = 4  # reads of bytes already received, before the reader yields to the event loop


class ConnectionReader:
    """Connects one connection, reads from it, and calls its `finish` when connecting or reading ends.

    The connection does not refer to its reader, because a reference cycle would delay the release of both.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection
        self.pool = connection.pool
        self.limits = connection.limits

    async def run(self) -> None:
        """Connects, then reads until the connection closes or an answer is invalid."""
        connection = self.connection
        try:
            await asyncio.wait_for(
                connection.stream.connect(connection.instance.address), self.limits.connect_timeout
            )
        except (TimeoutError, StreamClosedError, OSError) as error:
            self.pool.counters.add("connect_failed")
            log.event(
                LOGGER,
                logging.INFO,
                "connect_failed",
                to=connection.instance.name,
                why=type(error).__name__,
            )
            connection.finish()
            return
        try:
            connection.stream.set_nodelay(True)
            self.pool.counters.add("connected")
            connection.is_up = True
            now = self.pool.now()
            connection.last_received_at = now
            connection.last_used_at = now
            connection.write_waiting()
            await self.read()
        except StreamClosedError:
            pass
        except wire.CacheProtocolError as error:
            if self.pool.counters.add_once("bad_cache_lines"):
                name = connection.instance.name
                log.event(LOGGER, logging.WARNING, "bad_cache_line", at=name, why=str(error))
        except Exception:  # error boundary: a failure of one connection must not end another
            self.pool.counters.add("cache_errors")
            LOGGER.exception("cache_connection_failed")
        connection.finish()

    async def read(self) -> None:
        """Reads answers while the connection is open. Raises what the stream or `handle_data` raises."""
        connection = self.connection
        reads = 0
        while True:
            # Only the attribute refers to the future, so that clearing it below releases the future.
            connection.pending_read = asyncio.ensure_future(
                connection.stream.read_bytes(self.limits.read_size, partial=True)
            )
            try:
                data = await connection.pending_read
            except BaseException:
                connection.pending_read = None  # breaks the reference cycle of future, error and frame
                raise
            connection.handle_data(data)
            reads += 1
            if len(data) == self.limits.read_size or reads % MAX_READS_PER_ITERATION == 0:
                await asyncio.sleep(0)  # reading bytes already received does not yield to the event loop
