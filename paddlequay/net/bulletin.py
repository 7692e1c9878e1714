"""The connection to the bulletin: one at a time, made anew whenever it falls silent."""

import asyncio
import logging
import socket
from collections.abc import Iterable, Mapping
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from paddlequay import log
from paddlequay.config import Address, Limits
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange
from paddlequay.net.caches import Pool
from paddlequay.protocol import bulletin as wire

LOGGER = logging.getLogger(__name__)


class Follower:
    """Keeps exchange and pool up to date with the bulletin."""

    def __init__(
        self, address: Address, exchange: Exchange, pool: Pool, limits: Limits, counters: Counters
    ) -> None:
        self.address, self.exchange, self.pool = address, exchange, pool
        self.limits, self.counters = limits, counters
        self.last = 0
        self.stream: IOStream | None = None
        self.current = asyncio.Event()  # all events that were out at some time since the start have come

    def move(self, address: Address) -> None:
        """Follow the bulletin at another address from now on. The numbers go on, so nothing is had anew."""
        if address != self.address:
            self.address = address
            if self.stream is not None:
                self.stream.close()  # the old bulletin tells nothing more: the next connection is the new one

    def start_from(self, known: Mapping[str, Any]) -> None:
        """The events that stand in the configuration."""
        self.apply(wire.read_news(item) for item in known["items"])
        self.last = max(self.last, int(known.get("no", 0)))

    def apply(self, news: Iterable[wire.News]) -> None:
        """Take in events in their order; what has been had already is passed over."""
        for item in news:
            if isinstance(item, wire.Heartbeat):
                if item.number > self.last:
                    raise wire.MalformedError(f"{item.number} events are out, {self.last} came")
                self.current.set()
                continue
            if item.number <= self.last:
                continue
            self.last = item.number
            if isinstance(item, wire.Roster):
                self.counters.add("rosters")
                # The pool first: a decision that follows from the news may send to whom it names.
                self.pool.list_changed(item.listed, item.full)
                self.exchange.list_changed(tuple(entry.member for entry in item.listed), item.full)
            else:
                self.counters.add("purges")
                self.exchange.purged(item.key, item.group, item.issued)

    async def follow(self) -> None:
        """For as long as the program runs."""
        while True:
            address = self.address
            stream = self.stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            try:
                await self.listen(stream)
            except (TimeoutError, StreamClosedError, OSError) as error:
                self.counters.add("bulletin_lost")
                log.event(LOGGER, logging.INFO, "bulletin_lost", why=type(error).__name__, last=self.last)
            except wire.MalformedError as error:
                if self.counters.add_once("bad_bulletin_lines"):
                    log.event(LOGGER, logging.WARNING, "bad_bulletin_line", why=str(error))
            except Exception:
                self.counters.add("bulletin_errors")
                LOGGER.exception("bulletin_failed")
            finally:
                stream.close()
            if address == self.address:  # moved while it was open: the new one is asked at once
                await asyncio.sleep(self.limits.bulletin_pause)

    async def listen(self, stream: IOStream) -> None:
        """One connection, until it ends or misses its heartbeats: cut off, it would stay open and silent."""
        await asyncio.wait_for(stream.connect(self.address), self.limits.bulletin_connect)
        await stream.write(wire.after(self.last))
        reader = wire.Reader(self.limits.bulletin_line)
        while True:
            data = await asyncio.wait_for(
                stream.read_bytes(self.limits.read_chunk, partial=True), self.limits.bulletin_silence
            )
            self.apply(reader.feed(data))
            await asyncio.sleep(0)
