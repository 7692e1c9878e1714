"""Hot restart: the link between two processes of one router while a successor replaces its predecessor.

The predecessor listens on a Unix socket in its folder for temporary files; the successor connects to it.
Each process sends operators' overrides to the other one, which confirms them once they are applied. The
predecessor reports how much of the router's quotas it still uses.
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
from paddlequay.net.endpoints.event_handover import EventHandover
from paddlequay.net.listener import Acceptor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import hot_restart as wire
from paddlequay.requests.executed_ids import ExecutedIds
from paddlequay.requests.quotas import ProcessQuotas, QuotaInUse

LOGGER = logging.getLogger(__name__)

LINK_BACKLOG = 4  # for a successor, and for other processes that look for a predecessor
SOCKET_FILE_MODE = 0o600
SEARCH_INTERVAL_S = 0.02  # between two checks whether there is a predecessor


class ProcessLink:
    """The connection of this process to its predecessor or its successor.

    Attributes:
        owner: The hot restart of this process, which has all its links.
        state_received: Set once the other process has sent its state, or the link has ended.
        successor_ready: Whether the other process is a successor that accepts clients.
        has_state: Whether the other process has sent its state.
        exchanges_ids: Whether the other process understands ids of executed requests.
        awaiting_confirmation: Futures of the overrides that are sent and not confirmed yet, by number.
    """

    def __init__(self, owner: "HotRestart", stream: IOStream) -> None:
        self.owner = owner
        self.stream = stream
        self.parser = wire.LinkParser(owner.limits.max_link_line)
        self.state_received = asyncio.Event()
        self.successor_ready = False
        self.has_state = False
        self.exchanges_ids = False
        self.awaiting_confirmation: dict[int, asyncio.Future[bool]] = {}

    def send(self, message: wire.LinkMessage) -> None:
        """Sends a message. If that fails, `run` ends, because it reads from the same stream."""
        if not self.stream.closed():
            self.stream.write(wire.pack(message)).add_done_callback(lambda written: written.exception())

    async def confirm(self, name: str, override: Override) -> bool:
        """Sends an override; returns whether the other process has applied it in time or has ended."""
        if self.stream.closed():
            return True
        self.owner.last_override_number += 1
        number = self.owner.last_override_number
        confirmed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.awaiting_confirmation[number] = confirmed
        self.send(wire.OverrideMessage(number, name, override))
        try:
            return await asyncio.wait_for(confirmed, self.owner.limits.confirm_timeout)
        except TimeoutError:
            return False
        finally:
            del self.awaiting_confirmation[number]

    async def run(self) -> None:
        """Sends the state of this process, then handles messages until the link ends."""
        operator_state = self.owner.operator_state
        learned = self.owner.export_state() if self is self.owner.successor else {}
        known_ids = tuple(operator_state.known_ids)
        events = self.owner.events
        sequence = "" if events is None else events.sequence
        executed_ids = self.owner.executed_ids.recent()
        self.send(
            wire.StateMessage(
                operator_state.overrides, known_ids, learned, sequence, executed_ids, exchanges_members=True
            )
        )
        try:
            while True:
                data = await self.stream.read_bytes(self.owner.limits.read_size, partial=True)
                for message in self.parser.feed(data):
                    self.handle(message)
        except StreamClosedError:
            pass
        except wire.LinkProtocolError as error:
            log.event(LOGGER, logging.WARNING, "bad_link_line", why=str(error))
        except Exception:  # error boundary of the link: it is closed, and no longer counts as open
            self.owner.counters.add("hot_restart_errors")
            LOGGER.exception("hot_restart_failed")
        finally:
            self.stream.close()
            self.state_received.set()
            if events is not None:
                events.close(self)
            for confirmed in self.awaiting_confirmation.values():
                if not confirmed.done():
                    confirmed.set_result(True)

    def handle(self, message: wire.LinkMessage) -> None:
        """Handles one message from the other process."""
        operator_state = self.owner.operator_state
        events = self.owner.events
        match message:
            case wire.StateMessage():
                self.receive_state(message)
            case wire.KnownEvents() if events is not None:
                events.receive_known(message)
            case wire.NewEvent() if events is not None:
                events.receive_new(message.event)
            case wire.InheritedMembers() if events is not None:
                events.receive_members(message)
            case wire.ListChanges() if events is not None:
                events.receive_changes(message)
            case wire.OverrideMessage():
                operator_state.apply(message.name, message.override)
                self.owner.counters.add("overrides_from_other_process")
                self.owner.background.spawn("twin", self.relay(message))
            case wire.OverrideConfirmed():
                confirmed = self.awaiting_confirmation.get(message.number)
                if confirmed is not None and not confirmed.done():
                    confirmed.set_result(True)
            case wire.RequestExecuted():
                self.owner.executed_ids.inherit(message.id)
            case wire.SuccessorReady():
                self.successor_ready = True
                self.owner.report_successor_ready()
            case QuotaInUse():
                self.owner.quotas.use_rest_of(message)

    def receive_state(self, message: wire.StateMessage) -> None:
        """Applies the state that the other process has when the link begins."""
        operator_state = self.owner.operator_state
        self.has_state = True
        operator_state.record_listed(message.known_ids)
        operator_state.apply_all(message.overrides)
        self.exchanges_ids = message.executed_ids is not None
        for id in message.executed_ids or ():
            self.owner.executed_ids.inherit(id)
        if self is self.owner.predecessor:
            self.owner.on_inherited_state(message.state)
        if self.owner.events is not None:
            to_successor = self is self.owner.successor
            self.owner.events.open(
                self, message.event_sequence, to_successor, exchanges_members=message.exchanges_members
            )
        self.state_received.set()

    async def relay(self, message: wire.OverrideMessage) -> None:
        """Confirms an override to its sender once a third process, if there is one, has applied it too."""
        if await self.owner.confirm(message.name, message.override, excluded=self):
            self.send(wire.OverrideConfirmed(message.number))


class HotRestart:
    """The links of one process: it finds its predecessor when it starts, and accepts a successor later.

    Attributes:
        path: The path of the Unix socket.
        last_override_number: The number of the last override sent.
        last_reported_quota: The quotas that this process keeps, as last reported to the successor; None
            without a report.
        closed: Whether this process ends.
        search_done: Set once it is known whether there is a predecessor.
        events: Exchanges endpoints and purges with the other process; None to exchange none.
        export_state: Returns the learned state for the successor.
        on_inherited_state: Receives the learned state of the predecessor.
        on_successor: Called once a successor has connected.
        on_replaced: Called once the successor accepts clients.
        on_successor_gone: Called once the link to the successor has ended.
    """

    def __init__(
        self,
        path: Path,
        operator_state: OperatorState,
        quotas: ProcessQuotas,
        executed_ids: ExecutedIds,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.path = path
        self.executed_ids = executed_ids
        executed_ids.on_add = self.report_executed
        self.operator_state = operator_state
        self.quotas = quotas
        self.limits = limits
        self.counters = counters
        self.predecessor: ProcessLink | None = None
        self.successor: ProcessLink | None = None
        self.last_override_number = 0
        self.last_reported_quota: QuotaInUse | None = None
        self.background = TaskSupervisor(counters)
        self.closed = False
        self.search_done = asyncio.Event()
        self.events: EventHandover | None = None
        self.export_state: Callable[[], dict[str, float]] = dict
        self.on_inherited_state: Callable[[dict[str, float]], None] = lambda learned: None
        self.on_successor: Callable[[], None] = lambda: None
        self.on_replaced: Callable[[], None] = lambda: None
        self.on_successor_gone: Callable[[], None] = lambda: None
        self.acceptor: Acceptor | None = None
        self.listener: socket.socket | None = None

    @property
    def replaced(self) -> bool:
        """Whether a successor accepts clients."""
        return self.successor is not None and self.successor.successor_ready

    async def find_predecessor(self) -> bool:
        """Looks for a predecessor, receives its state, and then listens for successors in its place.

        Returns:
            Whether there is a predecessor, and its link has not ended.
        """
        now = asyncio.get_running_loop().time
        deadline = now() + self.limits.link_connect_timeout
        while (link := await self.connect()) is not None:
            self.predecessor = link
            self.background.spawn("twin", self.follow_predecessor(link))
            try:
                await asyncio.wait_for(link.state_received.wait(), self.limits.link_connect_timeout)
            except TimeoutError:
                log.event(LOGGER, logging.WARNING, "predecessor_unresponsive")
            if link.has_state or not link.stream.closed() or now() >= deadline:
                break
            # The link ended before the first message: the process exits, or a newer one is about to listen
            # in its place.
            await asyncio.sleep(SEARCH_INTERVAL_S)
        self.search_done.set()
        self.listen()
        return self.predecessor is not None

    async def connect(self) -> ProcessLink | None:
        """Returns a link to the process that listens at the path; None if there is none."""
        stream = IOStream(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(stream.connect(str(self.path)), self.limits.link_connect_timeout)
        except (TimeoutError, StreamClosedError, OSError):
            stream.close()
            return None
        return ProcessLink(self, stream)

    async def follow_predecessor(self, link: ProcessLink) -> None:
        """Runs the link until the predecessor has ended."""
        await link.run()
        self.predecessor = None
        self.quotas.take_all()
        log.event(LOGGER, logging.INFO, "predecessor_ended")

    def listen(self) -> None:
        """Listens at the path.

        The socket first listens under a temporary name and is then renamed, so that a process that finds the
        path can always connect.
        """
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        listener.setblocking(False)
        try:
            temporary.unlink(missing_ok=True)
            listener.bind(str(temporary))
            temporary.chmod(SOCKET_FILE_MODE)
            listener.listen(LINK_BACKLOG)
            temporary.replace(self.path)
        except OSError as error:
            # A successor starts all the same, with the overrides from the saved file.
            listener.close()
            log.event(LOGGER, logging.WARNING, "link_not_listening", path=self.path, why=str(error))
            return
        self.stop()
        self.listener = listener
        self.acceptor = Acceptor(listener, self.on_accept, lambda: LINK_BACKLOG)

    async def wait_until_alone(self) -> None:
        """Waits until the predecessor has ended."""
        while self.predecessor is not None:
            await asyncio.sleep(SEARCH_INTERVAL_S)

    def stop(self) -> None:
        """Stops listening."""
        if self.acceptor is not None and self.listener is not None:
            self.acceptor.stop()
            self.listener.close()
            self.acceptor = None
            self.listener = None

    def on_accept(self, connection: socket.socket) -> None:
        """Starts the link to a successor that has connected."""
        if self.successor is not None:
            # A process has one successor at a time; others find that successor at the path by now.
            connection.close()
            return
        self.successor = ProcessLink(self, IOStream(connection))
        self.counters.add("successors")
        log.event(LOGGER, logging.INFO, "successor_connected")
        self.on_successor()
        self.background.spawn("twin", self.follow_successor(self.successor))

    async def follow_successor(self, link: ProcessLink) -> None:
        """Runs the link until the successor has ended, then listens for another one."""
        await link.run()
        self.successor = None
        self.last_reported_quota = None
        self.quotas.take_all()
        self.on_successor_gone()
        log.event(LOGGER, logging.INFO, "successor_ended")
        if not self.closed:  # an ending process must not take the path from the one that remains
            self.listen()

    def report_successor_ready(self) -> None:
        """Reports to this process that the successor accepts clients."""
        self.on_replaced()
        log.event(LOGGER, logging.INFO, "successor_ready")

    def report_quota(self, used: QuotaInUse) -> None:
        """Limits this process to the quotas that it uses, and reports them to the successor.

        During one hot restart these quotas are never raised again.
        """
        if self.successor is None:
            return
        if self.last_reported_quota is not None:
            used = QuotaInUse(
                min(used.client_connections, self.last_reported_quota.client_connections),
                min(used.cache_connections, self.last_reported_quota.cache_connections),
            )
        if used != self.last_reported_quota:
            self.last_reported_quota = used
            self.quotas.limit_to(used)
            self.successor.send(used)

    async def confirm(self, name: str, override: Override, excluded: ProcessLink | None = None) -> bool:
        """Sends an override to all other processes but `excluded`; returns whether all have applied it."""
        try:
            await asyncio.wait_for(self.search_done.wait(), self.limits.confirm_timeout)
        except TimeoutError:
            return False
        links = [
            link for link in (self.predecessor, self.successor) if link is not None and link is not excluded
        ]
        return all(await asyncio.gather(*(link.confirm(name, override) for link in links)))

    def report_executed(self, id: str) -> None:
        """Reports to the other processes that an attempt of a request that must run once was written."""
        for link in (self.predecessor, self.successor):
            if link is not None and link.exchanges_ids:
                link.send(wire.RequestExecuted(id))

    def announce_ready(self) -> None:
        """Reports to the predecessor that this process accepts clients."""
        if self.predecessor is not None:
            self.predecessor.send(wire.SuccessorReady())

    def close(self) -> None:
        """Ends the links and stops listening."""
        self.closed = True
        self.stop()
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.stream.close()
