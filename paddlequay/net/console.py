"""The operators' console: one HTTP call to a connection, answered within a second."""

import asyncio
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

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

ConsoleAnswer = tuple[int, str]


class ConsoleFront(Protocol):
    """Who takes clients: `closed_reason` says why nobody should come, `open_summary` what is open yet."""

    shutting_down: bool
    replaced: bool

    def closed_reason(self) -> str:
        """Why this process takes no clients; empty while it does."""
        ...

    @property
    def open_summary(self) -> str:
        """What is open yet."""
        ...


class OverrideConfirmer(Protocol):
    """The other process of the same router, where there is one."""

    async def confirm(self, name: str, mark: Override) -> bool:
        """Whether it applies an override."""
        ...


class Console:
    """Answers operators' calls: reads what the owners of state say, and gives them overrides."""

    def __init__(
        self,
        operation: OperatorState,
        front: ConsoleFront,
        twin: OverrideConfirmer,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self.operator_state, self.front, self.other_process = operation, front, twin
        self.limits, self.counters = limits, counters
        self.pages: dict[str, Callable[[], str]] = {}  # by name: one line of JSON each
        self.queries: dict[str, Callable[[str], str]] = {}  # by name, about an id
        self.incomplete_calls: OrderedDict[IOStream, None] = OrderedDict()  # the oldest first
        self.save_lock = asyncio.Lock()
        self.open_calls = 0
        self.background = TaskSupervisor(counters)

    def listen(self, listener: socket.socket) -> None:
        """Take calls on a bound socket from now on."""
        listener.listen(64)
        Acceptor(listener, self.on_accept, lambda: self.limits.console_connections)

    def on_accept(self, connection: socket.socket) -> None:
        """A connection was accepted; an incomplete call is dropped for it where there are too many."""
        stream = IOStream(connection, max_buffer_size=2 * self.limits.max_console_head)
        if self.open_calls >= self.limits.console_connections:
            # Who holds a connection without a whole call makes room for who has just come.
            if not self.incomplete_calls:
                self.counters.add("console_turned_away")
                return stream.close()
            self.counters.add("console_half_calls")
            self.incomplete_calls.popitem(last=False)[0].close()
        self.open_calls += 1
        self.incomplete_calls[stream] = None
        self.background.spawn("console", self.serve(stream))

    async def serve(self, stream: IOStream) -> None:
        """One connection until its end."""
        try:
            async with asyncio.timeout(self.limits.console_timeout):
                await self.call(stream)
        except TimeoutError:
            self.counters.add("console_half_calls")
        except (StreamClosedError, OSError):
            pass
        except Exception:
            self.counters.add("console_errors")
            LOGGER.exception("console_failed")
        finally:
            self.open_calls -= 1
            self.incomplete_calls.pop(stream, None)
            stream.close()

    async def call(self, stream: IOStream) -> None:
        """Read one call and answer it."""
        reader = wire.ConsoleCallParser(self.limits.max_console_head, self.limits.max_console_body)
        call, allow = None, ""
        try:
            async with asyncio.timeout(self.limits.console_read_timeout):
                while call is None:
                    call = reader.feed(await stream.read_bytes(self.limits.max_console_head, partial=True))
            self.incomplete_calls.pop(stream, None)
            status, why, allow = await self.answer(call)
        except TimeoutError:
            self.counters.add("console_half_calls")
            status, why = 408, f"no whole call within {self.limits.console_read_timeout:g} s"
        except wire.ConsoleProtocolError as error:
            status, why = 400, str(error)
        self.incomplete_calls.pop(stream, None)
        self.counters.add(f"console.{status}")
        head_only = call is not None and call.method == "HEAD"
        await stream.write(wire.format_answer(status, why, allow, head_only))
        # What the caller still sends would make the close a reset, which can overtake the answer.
        stream.socket.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(self.limits.console_linger):
            for _ in range(16):
                await stream.read_bytes(self.limits.read_size, partial=True)

    async def answer(self, call: wire.ConsoleCall) -> tuple[int, str, str]:
        """The status, why, and the methods that are allowed where this one is not."""
        match call.path:
            case ("-", page) if page == "ready" or page in self.pages:
                allow = "GET, HEAD"
            case ("-", page, _) if page in self.queries:
                allow = "GET, HEAD"
            case ("-", "drain" | "resume") | ("-", "caches", _, "disable" | "enable"):
                allow = "POST"
            case _:
                return 404, "no such call", ""
        if call.method not in allow.split(", "):
            return 405, f"expected {allow}", allow
        match call.path:
            case ("-", "ready"):
                status, why = self.readiness()
            case ("-", page) if page in self.pages:
                status, why = 200, self.pages[page]()
            case ("-", page, id) if page in self.queries:
                status, why = 200, self.queries[page](id)
            case ("-", word):
                status, why = await self.drain(word == "drain")
            case ("-", "caches", cache, word):
                status, why = await self.eject(cache, word == "disable")
        if call.method == "POST":
            log.event(LOGGER, logging.INFO, "call", path="/".join(call.path), status=status, why=why)
        return status, why, ""

    async def save(self) -> None:
        """Save off the loop: a disk may flush for longer than a heartbeat, which would look like overload."""
        async with self.save_lock:
            await asyncio.to_thread(self.operator_state.write, self.operator_state.serialize_ejections())

    def readiness(self) -> ConsoleAnswer:
        """Whether this process takes clients."""
        why = self.front.closed_reason()
        return (503, why) if why else (200, "ready")

    async def drain(self, on: bool) -> ConsoleAnswer:
        """Drain the router, or have it resume."""
        if not on and self.front.shutting_down and not self.front.replaced:
            return 409, "this process is ending"
        mark = self.operator_state.set_override(DRAIN, on)
        if not await self.other_process.confirm(DRAIN, mark):
            return 503, "obeyed here, but the other process has not confirmed it; call again"
        return 200, f"draining: {self.front.open_summary}" if on else "taking clients"

    async def eject(self, cache: str, on: bool) -> ConsoleAnswer:
        """Eject a cache, or put it back: yes once the other process has applied it and once it is saved."""
        if not self.operator_state.is_known(cache):
            return 404, "no cache of that id was ever listed"
        try:
            mark = self.operator_state.set_override(EJECTED_PREFIX + cache, on)
        except TooManyOverridesError as error:
            return 409, str(error)
        confirmed = await self.other_process.confirm(EJECTED_PREFIX + cache, mark)
        try:
            # Goes on where the call's time is over: the next write must not meet this one's file half done.
            await asyncio.shield(asyncio.ensure_future(self.save()))
        except OSError as error:
            return 503, f"obeyed, but not saved for the next process: {error.strerror}; call again"
        if not confirmed:
            return 503, "obeyed here, but the other process has not confirmed it; call again"
        ejected = ", ".join(self.operator_state.ejected_ids) or "none"
        return 200, f"{'out' if on else 'back'}; left out now: {ejected}"
