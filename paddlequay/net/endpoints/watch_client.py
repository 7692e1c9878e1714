"""Follows an event stream for as long as the program runs, across connections that end or fall silent.

The source sends a heartbeat each second, and expects an event to be applied within 7 s of its publication. A
watch is one connection; it makes progress when it receives a complete heartbeat or event. If a watch makes no
progress for `SUSPECT_AFTER_S`, it stays open and the client starts another one; the first watch that makes
progress replaces all others. For an event that is published right after the last heartbeat, further watches
start after 1.5, 3, 4.5 and 6 s: two may be late, silent or hang, and the third has 2.5 s left to deliver the
event. After a watch that is refused, ends or sends invalid data, the next one starts after a pause.
"""

import asyncio
import contextlib
import functools
from typing import Generic, TypeVar

from tornado.iostream import StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.endpoints.spare_socket import SpareSocket
from paddlequay.net.endpoints.stream_report import StreamReport
from paddlequay.net.endpoints.watch_connection import EventParser, NumberedEvent, WatchConnection
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import (
    EndpointWatchError,
    UnusableLine,
    WatchHeartbeat,
    resume_request,
)

SUSPECT_AFTER_S = 1.5  # the interval of heartbeats, plus half of it for delays
MAX_WATCHES = 3  # open at once; the watches started 1.5 and 3 s ago may only be late
RETRY_PAUSE_S = 0.2  # from the end or refusal of a watch to the start of the next
MAX_RETRY_PAUSE_S = 1.0  # the pause doubles up to this while an event cannot be applied
MAX_ATTEMPTS = 3  # to apply the same event, within 1.4 s in all, before it is skipped
MAX_TIME_SLICE_S = 0.005  # for the events of one read; then other tasks of the event loop run

E = TypeVar("E", bound=NumberedEvent)


class WatchClient(Generic[E]):
    """Connects to the source, requests the events after the last one, and applies them in order.

    Args:
        address: The address of the source.
        limits: The bounds of connections.
        counters: The counters of the program.
        name: The name of the stream in log events and counters.

    Attributes:
        gapless: Whether event numbers increase by one, so that a missing event is requested again.
        last_number: The number of the last event that was applied or skipped.
        failed_watches: The number of consecutive watches that ended with an event that could not be applied.
        watches: The open connections, the latest last.
        spare_socket: The socket of the next watch, reserved in case no file descriptor is free by then.
        next_watch_at: When the next watch starts, by the event loop's clock.
        is_current: Set at the first heartbeat at which all published events are applied.
    """

    gapless = False

    def __init__(self, address: Address, limits: Limits, counters: Counters, name: str) -> None:
        self.address = address
        self.limits = limits
        self.counters = counters
        self.name = name
        self.last_number = 0
        self.report = StreamReport(name, counters)
        self.failed_watches = 0
        self.watches: list[WatchConnection] = []
        self.spare_socket = SpareSocket()
        self.next_watch_at = 0.0
        self.wake_up = asyncio.Event()
        self.is_current = asyncio.Event()

    def make_parser(self) -> EventParser[E | WatchHeartbeat | UnusableLine]:
        """Returns a parser for a new connection."""
        raise NotImplementedError

    def apply_event(self, event: E) -> None:
        """Applies an event. Must be idempotent, as it is called again for an event that failed."""
        raise NotImplementedError

    def skip_event(self, event: E) -> None:
        """Applies the valid part of an event that failed `MAX_ATTEMPTS` times. Raises nothing."""

    def heartbeat(self, number: int) -> None:
        """Handles a heartbeat at which all published events are applied."""

    def change_address(self, address: Address) -> None:
        """Follows another address. The event numbers continue, so no event is applied again."""
        if address != self.address:
            self.address = address
            self.restart(0.0)

    def restart(self, pause: float) -> None:
        """Drops all watches; after `pause` seconds, the next one resumes after the last event."""
        for watch in self.watches[:]:
            self.drop(watch)
        self.next_watch_at = asyncio.get_running_loop().time() + pause
        self.wake_up.set()

    async def follow(self) -> None:
        """Keeps at least one watch open until cancelled."""
        loop = asyncio.get_running_loop()
        self.spare_socket.reserve()
        try:
            while True:
                wait = self.next_watch_at - loop.time()
                if wait <= 0:
                    self.start_watch()
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.wake_up.wait()
                self.wake_up.clear()
        finally:
            for watch in self.watches[:]:
                self.drop(watch)
            self.spare_socket.close()
            self.next_watch_at = 0.0  # if `follow` runs again, it starts a watch at once

    def start_watch(self) -> None:
        """Starts one more watch.

        If `MAX_WATCHES` are open or no socket is reserved, the watch that has been silent longest is dropped.
        """
        now = asyncio.get_running_loop().time()
        self.next_watch_at = now + SUSPECT_AFTER_S
        if self.watches:
            self.report.lost("silent", self.last_number)
            if len(self.watches) >= MAX_WATCHES or self.spare_socket.socket is None:
                self.drop(min(self.watches, key=lambda watch: watch.read_at))
        try:
            connecting = self.spare_socket.take_socket()
        except OSError as error:
            self.next_watch_at = now + RETRY_PAUSE_S
            self.report.lost(type(error).__name__, self.last_number)
            return
        watch = WatchConnection(connecting, self.spare_socket.reserve, now)
        self.watches.append(watch)
        task = asyncio.ensure_future(self.listen(watch, self.address))
        task.add_done_callback(functools.partial(self.on_watch_ended, watch))

    def drop(self, watch: WatchConnection) -> None:
        """Closes a watch; its events and its end are ignored from then on."""
        watch.is_dropped = True
        self.watches.remove(watch)
        watch.close()

    def on_watch_ended(self, watch: WatchConnection, task: asyncio.Task[None]) -> None:
        """Reports the end of a watch; if it was the latest, schedules the next one after a pause."""
        watch.close()
        error = None if task.cancelled() else task.exception()
        if watch.is_dropped:
            return
        is_latest = watch is self.watches[-1]
        self.watches.remove(watch)
        pause = RETRY_PAUSE_S
        if isinstance(error, OSError | StreamClosedError):
            self.report.lost(type(error).__name__, self.last_number)
        elif error is not None:
            pause = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**self.failed_watches)
            self.failed_watches = min(self.failed_watches + 1, 2 * MAX_ATTEMPTS)
            if isinstance(error, EndpointWatchError):
                self.report.invalid(error)
            else:
                self.report.failed(error)
        if is_latest:
            self.next_watch_at = asyncio.get_running_loop().time() + pause
            self.wake_up.set()

    async def listen(self, watch: WatchConnection, address: Address) -> None:
        """Reads and handles the events of one watch until it is dropped. Raises the error that ends it."""
        now = asyncio.get_running_loop().time
        await watch.connect(address)
        await watch.write(resume_request(self.last_number))
        parser = self.make_parser()
        while True:
            data = await watch.read_bytes(self.limits.read_size, partial=True)
            slice_began_at = now()
            watch.read_at = slice_began_at
            for event in parser.feed(data):
                self.handle(event)
                if watch.is_dropped:
                    return
                is_complete = not isinstance(event, UnusableLine) or event.number is not None
                if is_complete:
                    self.keep_only(watch)
                if now() - slice_began_at > MAX_TIME_SLICE_S:
                    await asyncio.sleep(0)
                    slice_began_at = now()
                    if watch.is_dropped:
                        return
            await asyncio.sleep(0)

    def keep_only(self, watch: WatchConnection) -> None:
        """Drops all watches except one that has made progress."""
        self.next_watch_at = asyncio.get_running_loop().time() + SUSPECT_AFTER_S
        for other in self.watches[:]:
            if other is not watch:
                self.drop(other)
        self.report.restored(self.last_number)

    def handle(self, event: E | WatchHeartbeat | UnusableLine) -> None:
        """Handles an event or heartbeat; ignores an event that was applied before.

        A missing, invalid or failed event is requested again `MAX_ATTEMPTS` times and then skipped, so that
        the events after it are not lost as well.

        Raises:
            EndpointWatchError: The event must be requested again.
        """
        if isinstance(event, WatchHeartbeat):
            if event.number > self.last_number:
                raise EndpointWatchError(
                    f"heartbeat announces event {event.number}, but only event {self.last_number} came"
                )
            self.heartbeat(event.number)
            self.failed_watches = 0
            self.is_current.set()
        elif event.number is None:
            if self.failed_watches < MAX_ATTEMPTS:
                raise EndpointWatchError(getattr(event, "reason", ""))
            self.counters.add(f"{self.name}_skipped")
        elif event.number > self.last_number:
            self.handle_new(event, event.number)

    def handle_new(self, event: E | UnusableLine, number: int) -> None:
        """Handles a new event. Raises `EndpointWatchError` if it must be requested again."""
        if self.gapless and number > self.last_number + 1:
            self.accept_gap(number)
        if isinstance(event, UnusableLine):
            # The line was received completely; another connection would deliver the same.
            self.report.unusable(number, event.reason)
        else:
            self.apply_or_skip(event, number)
        self.last_number = number
        self.failed_watches = 0

    def accept_gap(self, number: int) -> None:
        """Accepts missing numbers after several failed watches; until then raises `EndpointWatchError`."""
        if self.failed_watches < MAX_ATTEMPTS:
            raise EndpointWatchError(
                f"event {number} received after event {self.last_number}; events between are missing"
            )
        # The source leaves out numbers, so later gaps are no sign of a lost event either.
        self.gapless = False
        self.report.gap(self.last_number, number)

    def apply_or_skip(self, event: E, number: int) -> None:
        """Applies an event; raises `EndpointWatchError` if it failed, or skips it after too many failures."""
        try:
            self.apply_event(event)
        except Exception as error:  # the events after it must still be applied
            self.report.failed(error)
            if self.failed_watches < MAX_ATTEMPTS:
                raise EndpointWatchError(f"event {number} failed: {type(error).__name__}") from None
            self.report.skipped(number)
            self.skip_event(event)
