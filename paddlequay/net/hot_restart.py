"""The link to the other process of this router, while a newer one takes over from an older one.

The older process listens on a socket file in its folder for temporary files; the newer one finds it there.
Orders of operators go both ways, each confirmed once it is obeyed. The older one tells what it still holds.
"""

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.observability import log
from paddlequay.lifecycle.background import Background
from paddlequay.config.loader import Limits
from paddlequay.observability.counters import Counters
from paddlequay.net import listener as door
from paddlequay.lifecycle.operator_state import Mark, Operation
from paddlequay.protocol import hot_restart as wire
from paddlequay.requests.quotas import Held, Shares

LOGGER = logging.getLogger(__name__)


class Link:
    """One connection to an older or a newer process."""

    def __init__(self, twin: "Twin", stream: IOStream) -> None:
        self.twin, self.stream = twin, stream
        self.reader = wire.Reader(twin.limits.twin_line)
        self.known = asyncio.Event()  # the other's state has come, or the link has ended
        self.ready = self.told = False
        self.awaited: dict[int, asyncio.Future[bool]] = {}

    def send(self, message: wire.Message) -> None:
        if not self.stream.closed():
            # Its failure shows in `run`, which reads the same stream.
            self.stream.write(wire.pack(message)).add_done_callback(lambda done: done.exception())

    async def confirm(self, name: str, mark: Mark) -> bool:
        """Whether the other process obeys an order; one that has ended sends nothing and so obeys it."""
        if self.stream.closed():
            return True
        number = self.twin.numbers = self.twin.numbers + 1
        done = self.awaited[number] = asyncio.get_running_loop().create_future()
        self.send(wire.Order(number, name, mark))
        try:
            return await asyncio.wait_for(done, self.twin.limits.confirm_longest)
        except TimeoutError:
            return False
        finally:
            del self.awaited[number]

    async def run(self) -> None:
        """Read until the end."""
        operation = self.twin.operation
        learned = self.twin.knowledge() if self is self.twin.newer else {}
        self.send(wire.State(operation.marks, tuple(operation.listed), learned))
        try:
            while True:
                data = await self.stream.read_bytes(self.twin.limits.read_chunk, partial=True)
                for message in self.reader.feed(data):
                    self.heard(message)
        except StreamClosedError:
            pass
        except wire.MalformedError as error:
            log.event(LOGGER, logging.WARNING, "bad_twin_line", why=str(error))
        except Exception:
            # The link ends, and what follows its end is done: else it would count as open for good.
            self.twin.counters.add("twin_errors")
            LOGGER.exception("twin_failed")
        finally:
            self.stream.close()
            self.known.set()
            for done in self.awaited.values():
                if not done.done():
                    done.set_result(True)

    def heard(self, message: wire.Message) -> None:
        operation = self.twin.operation
        match message:
            case wire.State():
                self.told = True
                operation.saw(message.listed)
                operation.take_all(message.marks)
                if self is self.twin.older:
                    self.twin.on_knowledge(message.knowledge)
                self.known.set()
            case wire.Order():
                operation.take(message.name, message.mark)
                self.twin.counters.add("orders_from_twin")
                self.twin.background.spawn("twin", self.pass_on(message))
            case wire.Confirmed():
                done = self.awaited.get(message.number)
                if done is not None and not done.done():
                    done.set_result(True)
            case wire.Ready():
                self.ready = True
                self.twin.newer_ready()
            case Held():
                self.twin.shares.beside(message)

    async def pass_on(self, order: wire.Order) -> None:
        """Confirm an order once a third process, if there is one, obeys it as well."""
        if await self.twin.confirm(order.name, order.mark, but=self):
            self.send(wire.Confirmed(order.number))


class Twin:
    """Finds the older process at the start, and is found by a newer one later."""

    def __init__(
        self, path: Path, operation: Operation, shares: Shares, limits: Limits, counters: Counters
    ) -> None:
        self.path, self.operation, self.shares = path, operation, shares
        self.limits, self.counters = limits, counters
        self.older: Link | None = None
        self.newer: Link | None = None
        self.numbers = 0
        self.held: Held | None = None
        self.background = Background(counters)
        self.closed = False
        self.found = asyncio.Event()  # whether there is an older process is known
        self.knowledge: Callable[[], dict[str, float]] = dict
        self.on_knowledge: Callable[[dict[str, float]], None] = lambda learned: None
        self.on_newer: Callable[[], None] = lambda: None
        self.on_replaced: Callable[[], None] = lambda: None
        self.on_alone: Callable[[], None] = lambda: None
        self.stop_listening: Callable[[], None] | None = None
        self.listener: socket.socket | None = None

    @property
    def replaced(self) -> bool:
        """Whether a newer process takes clients."""
        return self.newer is not None and self.newer.ready

    async def find(self) -> bool:
        """Look for an older process and learn what it knows; then be found in its place."""
        now = asyncio.get_running_loop().time
        until = now() + self.limits.twin_connect
        while (link := await self.reach()) is not None:
            self.older = link
            self.background.spawn("twin", self.follow_older(link))
            try:
                await asyncio.wait_for(link.known.wait(), self.limits.twin_connect)
            except TimeoutError:
                log.event(LOGGER, logging.WARNING, "older_process_silent")
            if link.told or not link.stream.closed() or now() >= until:
                break
            # Ended without a word: it is going, or has a newer one beside it, soon to be found in its place.
            await asyncio.sleep(0.02)
        self.found.set()
        self.listen()
        return self.older is not None

    async def reach(self) -> Link | None:
        """A link to whoever listens at the path."""
        stream = IOStream(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(stream.connect(str(self.path)), self.limits.twin_connect)
        except (TimeoutError, StreamClosedError, OSError):
            stream.close()
            return None
        return Link(self, stream)

    async def follow_older(self, link: Link) -> None:
        await link.run()
        self.older = None
        self.shares.alone()
        log.event(LOGGER, logging.INFO, "older_process_ended")

    def listen(self) -> None:
        """Be found at the path. Under a name of its own first: whoever connects there meets a listener."""
        beside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            beside.unlink(missing_ok=True)
            listener.bind(str(beside))
            beside.chmod(0o600)
            listener.listen(4)
            beside.replace(self.path)
        except OSError as error:
            # Without it a newer process still starts, and takes over the bans from the file.
            listener.close()
            log.event(LOGGER, logging.WARNING, "not_to_be_found", path=self.path, why=str(error))
            return
        self.stop()
        self.listener = listener
        self.stop_listening = door.on_connection(listener, self.accepted, lambda: 4)

    async def alone(self) -> None:
        """Wait until the older process has ended."""
        while self.older is not None:
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        if self.stop_listening is not None and self.listener is not None:
            self.stop_listening()
            self.listener.close()
            self.stop_listening = self.listener = None

    def accepted(self, connection: socket.socket) -> None:
        if self.newer is not None:
            return connection.close()  # one at a time: that one is found in this one's place by now
        self.newer = Link(self, IOStream(connection))
        self.counters.add("newer_processes")
        log.event(LOGGER, logging.INFO, "newer_process")
        self.on_newer()
        self.background.spawn("twin", self.follow_newer(self.newer))

    async def follow_newer(self, link: Link) -> None:
        await link.run()
        self.newer = self.held = None
        self.shares.alone()
        self.on_alone()
        log.event(LOGGER, logging.INFO, "newer_process_ended")
        if not self.closed:  # at its own end it must not take the place of the one that goes on
            self.listen()

    def newer_ready(self) -> None:
        self.on_replaced()
        log.event(LOGGER, logging.INFO, "newer_process_ready")

    def give(self, held: Held) -> None:
        """As the older process: keep this much from now on, at most what was kept before, and say so."""
        if self.newer is None:
            return
        if self.held is not None:
            held = Held(min(held.clients, self.held.clients), min(held.caches, self.held.caches))
        if held != self.held:
            self.held = held
            self.shares.give(held)
            self.newer.send(held)

    async def confirm(self, name: str, mark: Mark, but: Link | None = None) -> bool:
        """Whether every other process obeys an order; at a start it is first seen whether there is one."""
        try:
            await asyncio.wait_for(self.found.wait(), self.limits.confirm_longest)
        except TimeoutError:
            return False
        links = [link for link in (self.older, self.newer) if link is not None and link is not but]
        return all(await asyncio.gather(*(link.confirm(name, mark) for link in links)))

    def tell_ready(self) -> None:
        if self.older is not None:
            self.older.send(wire.Ready())

    def close(self) -> None:
        self.closed = True
        self.stop()
        for link in (self.older, self.newer):
            if link is not None:
                link.stream.close()
