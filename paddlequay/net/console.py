"""The operators' console: answers one HTTP call per connection, within a second."""

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
from paddlequay.net.listener import Acceptor
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol import console as wire

LOGGER = logging.getLogger(__name__)

BACKLOG = 64
MAX_LINGER_READS = 16  # of what the caller still sends after the answer


class ConsoleAnswer(NamedTuple):
    """The answer to a call.

    Attributes:
        status: The HTTP status.
        text: The line of the body.
        allow: The allowed methods, if the call's method is not one of them.
    """

    status: int
    text: str
    allow: str = ""


class ConsoleFront(Protocol):
    """The front that serves clients."""

    shutting_down: bool
    replaced: bool

    def closed_reason(self) -> str:
        """Returns why this process accepts no clients; empty while it does."""
        ...

    @property
    def open_summary(self) -> str:
        """The numbers of open connections and requests, as text."""
        ...


class OverrideConfirmer(Protocol):
    """The other processes of the same router, if there are any."""

    async def confirm(self, name: str, override: Override) -> bool:
        """Returns whether they all apply an override."""
        ...


class Console:
    """Answers operators' calls from the state of its owners, and passes overrides on to them.

    Attributes:
        pages: Functions by name, each of which returns one line of JSON.
        queries: Functions by name, each of which explains the state of an id.
        incomplete_calls: The connections without a complete call, the oldest first.
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
        """Serves an accepted connection; closes the oldest incomplete call for it if there are too many."""
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
        except TimeoutError:
            self.counters.add("console_half_calls")
        except (StreamClosedError, OSError):
            pass
        except Exception:  # the edge of one connection: its error must not affect another
            self.counters.add("console_errors")
            LOGGER.exception("console_failed")
        finally:
            self.open_calls -= 1
            self.incomplete_calls.pop(stream, None)
            stream.close()

    async def call(self, stream: IOStream) -> None:
        """Reads one call and answers it."""
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
        await stream.write(wire.format_answer(answer.status, answer.text, answer.allow, head_only))
        await self.linger(stream)

    async def linger(self, stream: IOStream) -> None:
        """Reads what the caller still sends, as closing over unread bytes resets the connection."""
        stream.socket.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(self.limits.console_linger):
            for _ in range(MAX_LINGER_READS):
                await stream.read_bytes(self.limits.read_size, partial=True)

    async def answer(self, call: wire.ConsoleCall) -> ConsoleAnswer:
        """Returns the answer to a call, and logs a call that changes something."""
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
        """Executes a call whose path and method are known to be valid."""
        match call.path:
            case ("-", "ready"):
                return self.readiness()
            case ("-", page) if page in self.pages:
                return ConsoleAnswer(200, self.pages[page]())
            case ("-", page, id) if page in self.queries:
                return ConsoleAnswer(200, self.queries[page](id))
            case ("-", command):
                return await self.drain(command == "drain")
            case ("-", "caches", cache, command):
                return await self.eject(cache, command == "disable")
        raise AssertionError(call.path)

    async def save(self) -> None:
        """Saves the overrides in a thread, as a slow disk would look like overload."""
        async with self.save_lock:
            await asyncio.to_thread(self.operator_state.write, self.operator_state.serialize_ejections())

    def readiness(self) -> ConsoleAnswer:
        """Returns whether this process accepts clients."""
        why = self.front.closed_reason()
        return ConsoleAnswer(503, why) if why else ConsoleAnswer(200, "ready")

    async def drain(self, on: bool) -> ConsoleAnswer:
        """Starts to drain the router (`on`), or resumes it."""
        if not on and self.front.shutting_down and not self.front.replaced:
            return ConsoleAnswer(409, "this process is ending")
        override = self.operator_state.set_override(DRAIN, on)
        if not await self.other_process.confirm(DRAIN, override):
            return ConsoleAnswer(503, "obeyed here, but the other process has not confirmed it; call again")
        return ConsoleAnswer(200, f"draining: {self.front.open_summary}" if on else "taking clients")

    async def eject(self, cache: str, on: bool) -> ConsoleAnswer:
        """Ejects a cache (`on`), or admits it again.

        The answer is positive once the other processes have applied it and it is saved.
        """
        if not self.operator_state.is_known(cache):
            return ConsoleAnswer(404, "no cache of that id was ever listed")
        try:
            override = self.operator_state.set_override(EJECTED_PREFIX + cache, on)
        except TooManyOverridesError as error:
            return ConsoleAnswer(409, str(error))
        confirmed = await self.other_process.confirm(EJECTED_PREFIX + cache, override)
        try:
            # Shielded from the timeout of the call: the next save must not meet a half-written file.
            await asyncio.shield(asyncio.ensure_future(self.save()))
        except OSError as error:
            return ConsoleAnswer(
                503, f"obeyed, but not saved for the next process: {error.strerror}; call again"
            )
        if not confirmed:
            return ConsoleAnswer(503, "obeyed here, but the other process has not confirmed it; call again")
        ejected = ", ".join(self.operator_state.ejected_ids) or "none"
        return ConsoleAnswer(200, f"{'out' if on else 'back'}; left out now: {ejected}")
