"""The operators' console: answers one HTTP call per connection, within one second."""

import asyncio
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.lifecycle.background import TaskSupervisor
from paddlequay.lifecycle.operator_state import (
    DRAIN,
    EJECTED_PREFIX,
    OperatorState,
    Override,
    TooManyOverridesError,
)
from paddlequay.net.delivery import close_when_delivered
from paddlequay.net.listener import Acceptor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import console as wire

LOGGER = logging.getLogger(__name__)

BACKLOG = 64


class ConsoleAnswer(NamedTuple):
    """The answer to a call.

    Attributes:
        status: The HTTP status.
        text: The line of the body.
        allow: The allowed methods, if the method of the call is not one of them; else empty.
    """

    status: int
    text: str
    allow: str = ""


class ConsoleFront(Protocol):
    """The server for clients, as the console uses it.

    Attributes:
        shutting_down: Whether this process ends.
        replaced: Whether a successor accepts clients instead of this process.
    """

    shutting_down: bool
    replaced: bool

    def closed_reason(self) -> str:
        """Returns why this process accepts no clients; empty while it accepts them."""
        ...

    @property
    def open_summary(self) -> str:
        """The numbers of open connections and requests, as text."""
        ...


class OverrideConfirmer(Protocol):
    """The other processes of the same router, if there are any."""

    async def confirm(self, name: str, override: Override) -> bool:
        """Sends an override to them; returns whether they have all applied it."""
        ...


class Console:
    """Answers operators' calls, and passes their overrides to this and the other process of the router.

    Attributes:
        pages: Functions by name of a page; each returns one line of JSON.
        queries: Functions by name of a query; each returns an explanation of the state of an id.
        incomplete_calls: The connections whose call is not complete yet, the oldest first.
        save_lock: Held while the overrides are saved.
        open_calls: The number of open connections.
    """

    def __init__(
        self,
        operator_state: OperatorState,
        front: ConsoleFront,
        other_process: OverrideConfirmer,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.operator_state = operator_state
        self.front = front
        self.other_process = other_process
        self.limits = limits
        self.counters = counters
        self.pages: dict[str, Callable[[], str]] = {}
        self.queries: dict[str, Callable[[str], str]] = {}
        self.incomplete_calls: OrderedDict[IOStream, None] = OrderedDict()
        self.save_lock = asyncio.Lock()
        self.open_calls = 0
        self.background = TaskSupervisor(counters)

    def listen(self, listener: socket.socket) -> None:
        """Accepts calls on a bound socket."""
        listener.listen(BACKLOG)
        Acceptor(listener, self.on_accept, lambda: self.limits.console_connections)

    def on_accept(self, connection: socket.socket) -> None:
        """Serves an accepted connection.

        If too many are open, closes the one with the oldest incomplete call, or else the accepted one.
        """
        stream = IOStream(connection, max_buffer_size=2 * self.limits.max_console_head)
        if self.open_calls >= self.limits.console_connections:
            if not self.incomplete_calls:
                self.counters.add("console_turned_away")
                stream.close()
                return
            self.counters.add("console_half_calls")
            oldest, _ = self.incomplete_calls.popitem(last=False)
            oldest.close()
        self.open_calls += 1
        self.incomplete_calls[stream] = None
        self.background.spawn("console", self.serve(stream))

    async def serve(self, stream: IOStream) -> None:
        """Serves one connection until its end."""
        try:
            async with asyncio.timeout(self.limits.console_timeout):
                await self.call(stream)
            await self.deliver(stream)
        except TimeoutError:
            self.counters.add("console_half_calls")
        except (StreamClosedError, OSError):
            pass
        except Exception:  # error boundary of one connection: no other one is affected
            self.counters.add("console_errors")
            LOGGER.exception("console_failed")
        finally:
            self.open_calls -= 1
            self.incomplete_calls.pop(stream, None)
            stream.close()

    async def call(self, stream: IOStream) -> None:
        """Reads one call and writes its answer, without waiting for the caller to read it."""
        parser = wire.ConsoleCallParser(self.limits.max_console_head, self.limits.max_console_body)
        call = None
        try:
            async with asyncio.timeout(self.limits.console_read_timeout):
                while call is None:
                    call = parser.feed(await stream.read_bytes(self.limits.max_console_head, partial=True))
            self.incomplete_calls.pop(stream, None)
            answer = await self.answer(call)
        except TimeoutError:
            self.counters.add("console_half_calls")
            answer = ConsoleAnswer(408, f"no whole call within {self.limits.console_read_timeout:g} s")
        except wire.ConsoleProtocolError as error:
            answer = ConsoleAnswer(400, str(error))
        self.incomplete_calls.pop(stream, None)
        self.counters.add(f"console.{answer.status}")
        head_only = call is not None and call.method == "HEAD"
        stream.write(wire.format_answer(answer.status, answer.text, answer.allow, head_only))

    async def deliver(self, stream: IOStream) -> None:
        """Closes the connection once the caller has received the answer, after `console_timeout` at most."""
        try:
            async with asyncio.timeout(self.limits.console_timeout):
                await close_when_delivered(stream, self.limits.console_linger, self.limits.console_timeout)
        except TimeoutError:
            self.counters.add("console_slow_readers")

    async def answer(self, call: wire.ConsoleCall) -> ConsoleAnswer:
        """Returns the answer to a call; logs the call if its method is POST."""
        match call.path:
            case ("-", page) if page == "ready" or page in self.pages:
                allow = "GET, HEAD"
            case ("-", page, _) if page in self.queries:
                allow = "GET, HEAD"
            case ("-", "drain" | "resume") | ("-", "caches", _, "disable" | "enable"):
                allow = "POST"
            case _:
                return ConsoleAnswer(404, "no such call")
        if call.method not in allow.split(", "):
            return ConsoleAnswer(405, f"expected {allow}", allow)
        answer = await self.execute(call)
        if call.method == "POST":
            path = "/".join(call.path)
            log.event(LOGGER, logging.INFO, "call", path=path, status=answer.status, why=answer.text)
        return answer

    async def execute(self, call: wire.ConsoleCall) -> ConsoleAnswer:
        """Executes a call whose path and method have been validated, and returns its answer."""
        match call.path:
            case ("-", "ready"):
                return self.readiness()
            case ("-", page) if page in self.pages:
                return ConsoleAnswer(200, self.pages[page]())
            case ("-", page, id) if page in self.queries:
                return ConsoleAnswer(200, self.queries[page](id))
            case ("-", command):
                return await self.set_draining(command == "drain")
            case ("-", "caches", cache, command):
                return await self.set_ejected(cache, command == "disable")
        raise AssertionError(call.path)

    async def save(self) -> None:
        """Saves the overrides in a thread, as a slow disk in the event loop would look like overload."""
        async with self.save_lock:
            await asyncio.to_thread(self.operator_state.write, self.operator_state.serialize_ejections())

    def readiness(self) -> ConsoleAnswer:
        """Returns whether this process accepts clients."""
        reason = self.front.closed_reason()
        return ConsoleAnswer(503, reason) if reason else ConsoleAnswer(200, "ready")

    async def set_draining(self, draining: bool) -> ConsoleAnswer:
        """Starts to drain the router (`draining`), or lets it accept clients again."""
        if not draining and self.front.shutting_down and not self.front.replaced:
            return ConsoleAnswer(409, "this process is ending")
        override = self.operator_state.set_override(DRAIN, draining)
        if not await self.other_process.confirm(DRAIN, override):
            return ConsoleAnswer(503, "obeyed here, but the other process has not confirmed it; call again")
        return ConsoleAnswer(200, f"draining: {self.front.open_summary}" if draining else "taking clients")

    async def set_ejected(self, cache: str, ejected: bool) -> ConsoleAnswer:
        """Ejects a cache (`ejected`), or admits it again.

        The answer is positive if the other processes have applied the override and it is saved.
        """
        if not self.operator_state.is_known(cache):
            return ConsoleAnswer(404, "no cache of that id was ever listed")
        try:
            override = self.operator_state.set_override(EJECTED_PREFIX + cache, ejected)
        except TooManyOverridesError as error:
            return ConsoleAnswer(409, str(error))
        confirmed = await self.other_process.confirm(EJECTED_PREFIX + cache, override)
        try:
            # Shielded from the timeout of the call, so that the next save cannot meet a half-written file.
            await asyncio.shield(asyncio.ensure_future(self.save()))
        except OSError as error:
            return ConsoleAnswer(
                503, f"obeyed, but not saved for the next process: {error.strerror}; call again"
            )
        if not confirmed:
            return ConsoleAnswer(503, "obeyed here, but the other process has not confirmed it; call again")
        ejected_ids = ", ".join(self.operator_state.ejected_ids) or "none"
        return ConsoleAnswer(200, f"{'out' if ejected else 'back'}; left out now: {ejected_ids}")
