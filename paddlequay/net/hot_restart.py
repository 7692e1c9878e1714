"""Hot restart: the link to the other process of this router, while a successor takes over from a predecessor.

The predecessor listens on a socket file in its folder for temporary files; the successor finds it there.
Operators' overrides go both ways, each confirmed once it is applied. The predecessor says what it still uses
of the quotas.
"""

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from pathlib import Path

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.lifecycle.operator_state import OperatorState, Override
from paddlequay.net.listener import Acceptor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import hot_restart as wire
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse

LOGGER = logging.getLogger(__name__)

LINK_BACKLOG = 4  # a successor, and whoever else looks for this process
SEARCH_INTERVAL_S = 0.02


class ProcessLink:
    """One connection to the predecessor or the successor."""

    def __init__(self, twin: "HotRestart", stream: IOStream) -> None:
        self.owner, self.stream = twin, stream
        self.parser = wire.LinkParser(twin.limits.max_link_line)
        self.state_received = asyncio.Event()  # the other's state has come, or the link has ended
        self.successor_ready = self.has_state = False
        self.awaiting_confirmation: dict[int, asyncio.Future[bool]] = {}

    def send(self, message: wire.LinkMessage) -> None:
        """Write a message; its failure shows in `run`, which reads the same stream."""
        if not self.stream.closed():
            # Its failure shows in `run`, which reads the same stream.
            self.stream.write(wire.pack(message)).add_done_callback(lambda done: done.exception())

    async def confirm(self, name: str, mark: Override) -> bool:
        """Whether the other process applies an override; one that has ended sends nothing and so does."""
        if self.stream.closed():
            return True
        number = self.owner.last_number = self.owner.last_number + 1
        done = self.awaiting_confirmation[number] = asyncio.get_running_loop().create_future()
        self.send(wire.OverrideMessage(number, name, mark))
        try:
            return await asyncio.wait_for(done, self.owner.limits.confirm_timeout)
        except TimeoutError:
            return False
        finally:
            del self.awaiting_confirmation[number]

    async def run(self) -> None:
        """Read until the end."""
        operation = self.owner.operator_state
        learned = self.owner.export_state() if self is self.owner.successor else {}
        self.send(wire.StateMessage(operation.overrides, tuple(operation.known_ids), learned))
        try:
            while True:
                data = await self.stream.read_bytes(self.owner.limits.read_size, partial=True)
                for message in self.parser.feed(data):
                    self.handle(message)
        except StreamClosedError:
            pass
        except wire.LinkProtocolError as error:
            log.event(LOGGER, logging.WARNING, "bad_link_line", why=str(error))
        except Exception:
            # The link ends, and what follows its end is done: else it would count as open for good.
            self.owner.counters.add("hot_restart_errors")
            LOGGER.exception("hot_restart_failed")
        finally:
            self.stream.close()
            self.state_received.set()
            for done in self.awaiting_confirmation.values():
                if not done.done():
                    done.set_result(True)

    def handle(self, message: wire.LinkMessage) -> None:
        """One message of the other process."""
        operation = self.owner.operator_state
        match message:
            case wire.StateMessage():
                self.has_state = True
                operation.record_listed(message.known_ids)
                operation.apply_all(message.overrides)
                if self is self.owner.predecessor:
                    self.owner.on_inherited_state(message.state)
                self.state_received.set()
            case wire.OverrideMessage():
                operation.apply(message.name, message.override)
                self.owner.counters.add("overrides_from_other_process")
                self.owner.background.spawn("twin", self.relay(message))
            case wire.OverrideConfirmed():
                done = self.awaiting_confirmation.get(message.number)
                if done is not None and not done.done():
                    done.set_result(True)
            case wire.SuccessorReady():
                self.successor_ready = True
                self.owner.successor_ready()
            case QuotaInUse():
                self.owner.quotas.use_rest_of(message)

    async def relay(self, order: wire.OverrideMessage) -> None:
        """Confirm an override once a third process, if there is one, applies it as well."""
        if await self.owner.confirm(order.name, order.override, but=self):
            self.send(wire.OverrideConfirmed(order.number))


class HotRestart:
    """Finds the predecessor at the start, and is found by a successor later."""

    def __init__(
        self, path: Path, operation: OperatorState, shares: ProcessQuotas, limits: Limits, counters: Counters
    ) -> None:
        self.path, self.operator_state, self.quotas = path, operation, shares
        self.limits, self.counters = limits, counters
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        self.last_number = 0
        self.quota_given: QuotaInUse | None = None
        self.background = TaskSupervisor(counters)
        self.closed = False
        self.search_done = asyncio.Event()  # whether there is an older process is known
        self.export_state: Callable[[], dict[str, float]] = dict
        self.on_inherited_state: Callable[[dict[str, float]], None] = lambda learned: None
        self.on_successor: Callable[[], None] = lambda: None
        self.on_replaced: Callable[[], None] = lambda: None
        self.on_successor_gone: Callable[[], None] = lambda: None
        self.acceptor: Acceptor | None = None
        self.listener: socket.socket | None = None

    @property
    def replaced(self) -> bool:
        """Whether a successor takes clients."""
        return self.successor is not None and self.successor.successor_ready

    async def find_predecessor(self) -> bool:
        """Look for a predecessor and learn what it knows; then be found in its place."""
        now = asyncio.get_running_loop().time
        until = now() + self.limits.link_connect_timeout
        while (link := await self.connect()) is not None:
            self.predecessor = link
            self.background.spawn("twin", self.follow_predecessor(link))
            try:
                await asyncio.wait_for(link.state_received.wait(), self.limits.link_connect_timeout)
            except TimeoutError:
                log.event(LOGGER, logging.WARNING, "predecessor_unresponsive")
            if link.has_state or not link.stream.closed() or now() >= until:
                break
            # Ended without a word: it is going, or has a newer one beside it, soon to be found in its place.
            await asyncio.sleep(SEARCH_INTERVAL_S)
        self.search_done.set()
        self.listen()
        return self.predecessor is not None

    async def connect(self) -> ProcessLink | None:
        """A link to whoever listens at the path; None where nobody does."""
        stream = IOStream(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(stream.connect(str(self.path)), self.limits.link_connect_timeout)
        except (TimeoutError, StreamClosedError, OSError):
            stream.close()
            return None
        return ProcessLink(self, stream)

    async def follow_predecessor(self, link: ProcessLink) -> None:
        """Serve the link until the predecessor has ended."""
        await link.run()
        self.predecessor = None
        self.quotas.take_all()
        log.event(LOGGER, logging.INFO, "predecessor_ended")

    def listen(self) -> None:
        """Be found at the path. Under a name of its own first: whoever connects there meets a listener."""
        beside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            beside.unlink(missing_ok=True)
            listener.bind(str(beside))
            beside.chmod(0o600)
            listener.listen(LINK_BACKLOG)
            beside.replace(self.path)
        except OSError as error:
            # Without it a newer process still starts, and takes over the bans from the file.
            listener.close()
            log.event(LOGGER, logging.WARNING, "link_not_listening", path=self.path, why=str(error))
            return
        self.stop()
        self.listener = listener
        self.acceptor = Acceptor(listener, self.accepted, lambda: LINK_BACKLOG)

    async def wait_until_alone(self) -> None:
        """Wait until the predecessor has ended."""
        while self.predecessor is not None:
            await asyncio.sleep(SEARCH_INTERVAL_S)

    def stop(self) -> None:
        """Be found no more."""
        if self.acceptor is not None and self.listener is not None:
            self.acceptor.stop()
            self.listener.close()
            self.acceptor = self.listener = None

    def accepted(self, connection: socket.socket) -> None:
        """A successor has connected."""
        if self.successor is not None:
            return connection.close()  # one at a time: that one is found in this one's place by now
        self.successor = ProcessLink(self, IOStream(connection))
        self.counters.add("successors")
        log.event(LOGGER, logging.INFO, "successor_connected")
        self.on_successor()
        self.background.spawn("twin", self.follow_successor(self.successor))

    async def follow_successor(self, link: ProcessLink) -> None:
        """Serve the link until the successor has ended."""
        await link.run()
        self.successor = self.quota_given = None
        self.quotas.take_all()
        self.on_successor_gone()
        log.event(LOGGER, logging.INFO, "successor_ended")
        if not self.closed:  # at its own end it must not take the place of the one that goes on
            self.listen()

    def successor_ready(self) -> None:
        """The successor takes clients."""
        self.on_replaced()
        log.event(LOGGER, logging.INFO, "successor_ready")

    def give_quota(self, held: QuotaInUse) -> None:
        """As the predecessor: keep this much from now on, at most what was kept before, and say so."""
        if self.successor is None:
            return
        if self.quota_given is not None:
            held = QuotaInUse(
                min(held.client_connections, self.quota_given.client_connections),
                min(held.cache_connections, self.quota_given.cache_connections),
            )
        if held != self.quota_given:
            self.quota_given = held
            self.quotas.limit_to(held)
            self.successor.send(held)

    async def confirm(self, name: str, mark: Override, but: ProcessLink | None = None) -> bool:
        """Whether every other process applies an override, once it is known whether there is one."""
        try:
            await asyncio.wait_for(self.search_done.wait(), self.limits.confirm_timeout)
        except TimeoutError:
            return False
        links = [link for link in (self.predecessor, self.successor) if link is not None and link is not but]
        return all(await asyncio.gather(*(link.confirm(name, mark) for link in links)))

    def announce_ready(self) -> None:
        """As the successor: clients are taken from now on."""
        if self.predecessor is not None:
            self.predecessor.send(wire.SuccessorReady())

    def close(self) -> None:
        """End the links, and be found no more."""
        self.closed = True
        self.stop()
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.stream.close()
