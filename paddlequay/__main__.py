"""Start of the real edge router: read the configuration, wire the parts, serve, and end in order."""

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.netutil import bind_sockets

from paddlequay import log
from paddlequay.config import Config, ConfigError, read_config
from paddlequay.counters import Counters
from paddlequay.exchange import Exchange, Timer
from paddlequay.load import OwnLoad
from paddlequay.logic import Router
from paddlequay.net.bulletin import Follower
from paddlequay.net.caches import Pool
from paddlequay.net.clients import Front
from paddlequay.protocol import bulletin

LOGGER = logging.getLogger("paddlequay.main")


class LoopScheduler:
    """The system's clocks and the event loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        return self.loop.time()

    def unix(self) -> float:
        return time.time()

    def later(self, delay: float, call: Callable[[], None]) -> Timer:
        return self.loop.call_later(delay, call)


class Program:
    """All parts of one router."""

    def __init__(self, config: Config) -> None:
        loop = asyncio.get_running_loop()
        self.limits = config.limits
        self.counters = Counters()
        router = Router(config.settings, config.seed)
        self.exchange = Exchange(router, self.limits, LoopScheduler(loop), self.counters)
        self.pool = Pool(self.exchange, self.limits, self.counters)
        self.follower = Follower(config.bulletin, self.exchange, self.pool, self.limits, self.counters)
        self.load = OwnLoad(self.limits, config.seed)
        self.front = Front(self.exchange, self.limits, self.counters, self.load)
        try:
            self.follower.start_from(config.known)
        except bulletin.MalformedError as error:
            raise ConfigError(f"known: {error}") from None
        host, port = config.listen
        try:
            self.front.add_sockets(bind_sockets(port, host, backlog=1024))
        except OSError as error:
            raise ConfigError(f"listen: {host}:{port}: {error.strerror}") from None
        self.stop = asyncio.Event()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.counters.print, "asked")
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Read the configuration anew; of what changes, the bulletin's address can be taken up while serving.

        The signal's default action ended the program, and with it all requests it held.
        """
        try:
            config = read_config(os.environ)
        except ConfigError as error:
            self.counters.add("reloads_refused")
            return log.event(LOGGER, logging.WARNING, "reload_refused", why=str(error))
        self.counters.add("reloads")
        self.follower.move(config.bulletin)
        host, port = config.bulletin
        log.event(LOGGER, logging.INFO, "reloaded", bulletin=f"{host}:{port}")

    async def sweeping(self) -> None:
        """What is looked at now and then rather than at an event."""
        while True:
            await asyncio.sleep(self.limits.sweep)
            self.pool.sweep()
            self.front.sweep()

    async def beating(self) -> None:
        while True:
            # After a late beat, what has come is not read yet: no silence can be told from that.
            if self.load.beat(time.monotonic(), time.process_time()):
                self.pool.watch()
            await asyncio.sleep(self.limits.beat)

    async def run(self) -> None:
        """Serve until SIGTERM, then end in order."""
        work = (self.follower.follow(), self.sweeping(), self.beating())
        tasks = [self.background(each) for each in work]
        limits = self.limits
        log.event(LOGGER, logging.INFO, "started", cores=limits.cores, clients=limits.client_connections)
        await self.stop.wait()
        await self.end()
        for task in tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.counters.print("exit")

    @staticmethod
    def background(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        return asyncio.ensure_future(work)

    async def end(self) -> None:
        """Connections keep coming for a while after SIGTERM, and requests on open ones a little longer."""
        now = asyncio.get_running_loop().time
        began = now()
        self.front.ready = False
        log.event(LOGGER, logging.INFO, "ending", open=len(self.exchange.open))
        await asyncio.sleep(self.limits.accept_after_term)
        self.front.stop()
        await asyncio.sleep(self.limits.serve_after_term - self.limits.accept_after_term)
        while self.exchange.open and now() - began < self.limits.drain_longest:
            await asyncio.sleep(0.01)
        flushed_by = now() + self.limits.flush_longest
        while self.front.unsent and now() < flushed_by:
            await asyncio.sleep(0.01)


async def serve(config: Config) -> None:
    await Program(config).run()


def main() -> int:
    log.set_up()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the program can act on it
    # Requests leave no cycles behind, and a full collection walks the decisions' table of objects: be rare.
    gc.set_threshold(20_000, 20, 50)
    try:
        asyncio.run(serve(read_config(os.environ)))
    except ConfigError as error:
        print(f"paddlequay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
