"""Event streams that are followed for as long as the program runs, over connections that end or fall silent.

The endpoint list comes with a heartbeat each second, and what it has to say counts as known 7 s after it is
out, whether it came or not. A watch is one connection; it brings something when a complete heartbeat or event
comes on it. One that brings nothing for `SUSPECT_AFTER_S` is suspected, not ended: a further one is begun
beside it, and whichever brings something first is kept alone. So nothing is given up for being late, and
steps do not add up: with an event out right after the last heartbeat, further watches begin 1.5, 3, 4.5 and 6
s later. Two of them may come up late, be silent or hang, and the third still has 2.5 s to come up and bring
it. One that is refused, breaks off or brings what cannot be is followed by the next after a pause.
"""

import asyncio
import contextlib
import functools
import logging
import socket
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from tornado.iostream import IOStream, StreamClosedError

from paddlequay.config.limits import Limits
from paddlequay.config.values import Address
from paddlequay.net.endpoints.loss_report import LossReport
from paddlequay.net.endpoints.spare_socket import SpareSocket
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.endpoint_watch import (
    EndpointWatchError,
    UnusableLine,
    WatchHeartbeat,
    resume_request,
)

LOGGER = logging.getLogger(__name__)

SUSPECT_AFTER_S = 1.5  # a heartbeat's second, and half of one for the way and a late turn
MAX_WATCHES = 3  # at once: one begun 1.5 s ago, or 3, may only be late
RETRY_PAUSE_S = 0.2  # seconds before the next watch where the last one was refused or has ended
MAX_RETRY_PAUSE_S = 1.0  # it doubles while the same event cannot be applied, up to this
MAX_ATTEMPTS = 3  # at the same event, 1.4 s in all; then it is skipped
MAX_TURN_S = 0.005  # seconds after which a read's further events wait for the loop's next turn


class NumberedEvent(Protocol):
    """An event with a number; numbers go up."""

    @property
    def number(self) -> int:
        """Its place in the sequence of events."""
        ...


E = TypeVar("E", bound=NumberedEvent)
N = TypeVar("N", covariant=True)


class EventParser(Protocol[N]):
    """Takes bytes as they come and gives the events of complete lines. Raises nothing."""

    def feed(self, data: bytes) -> Iterator[N]:
        """The events that are complete with these bytes."""
        ...


class WatchConnection(IOStream):
    """One connection. Its descriptor goes back to its client in the very turn in which it closes.

    Where all others are taken and clients wait for one, none is left a moment later.
    """

    def __init__(self, made: socket.socket, freed: Callable[[], None], now: float) -> None:
        self.on_closed, self.read_at = freed, now
        self.is_dropped = False  # neither its events nor its end count any more
        super().__init__(made)

    def close_fd(self) -> None:
        """Close, and notify the client."""
        super().close_fd()
        self.on_closed()


class WatchClient(Generic[E]):
    """Connects, writes `after N`, applies what comes. `name` stands in log lines and counters."""

    gapless = False  # whether numbers go up by one, so that a missing one is requested again

    def __init__(self, address: Address, limits: Limits, counters: Counters, name: str) -> None:
        self.address, self.limits, self.counters, self.name = address, limits, counters, name
        self.last_number = 0  # the last event that is in force, or skipped for good
        self.loss = LossReport(name, counters)
        self.failed_watches = 0  # in a row, for an event that could not be applied
        self.watches: list[WatchConnection] = []  # open, the latest begun last
        self.spare_socket = SpareSocket()  # for the next watch, where all descriptors are taken
        self.next_watch_at = 0.0  # when the next watch begins, by the loop's clock
        self.wake_up = asyncio.Event()
        self.is_current = asyncio.Event()  # all events that were out at some time since the start have come

    # --- what a subclass says of its events ---

    def make_parser(self) -> EventParser[E | WatchHeartbeat | UnusableLine]:
        """A parser for a new connection."""
        raise NotImplementedError

    def apply_event(self, event: E) -> None:
        """Put an event in force. Called again for one that failed: applied twice, it comes to the same."""
        raise NotImplementedError

    def skip_event(self, event: E) -> None:
        """An event failed each time: apply what can be saved of it. Raises nothing."""

    def heartbeat(self, number: int) -> None:
        """No event is out beyond those applied."""

    # --- connections ---

    def change_address(self, address: Address) -> None:
        """Follow another address from now on. The numbers go on, so nothing is applied anew."""
        if address != self.address:
            self.address = address
            self.restart(0.0)  # the old one brings nothing more

    def restart(self, pause: float) -> None:
        """Drop all watches; the next one, after `pause` seconds, begins at the number that stands then."""
        for watch in self.watches[:]:
            self.drop(watch)
        self.next_watch_at = asyncio.get_running_loop().time() + pause
        self.wake_up.set()

    async def follow(self) -> None:
        """Keep a watch up for as long as the program runs."""
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
            self.next_watch_at = 0.0  # followed again, it begins at once

    def start_watch(self) -> None:
        """Begin one more watch; the one that read nothing for longest is dropped for it."""
        now = asyncio.get_running_loop().time()
        self.next_watch_at = now + SUSPECT_AFTER_S
        if self.watches:
            self.loss.lost("silent", self.last_number)
            if len(self.watches) >= MAX_WATCHES or self.spare_socket.socket is None:
                self.drop(min(self.watches, key=lambda watch: watch.read_at))
        try:
            made = self.spare_socket.take()
        except OSError as error:
            self.next_watch_at = now + RETRY_PAUSE_S
            return self.loss.lost(type(error).__name__, self.last_number)
        watch = WatchConnection(made, self.spare_socket.reserve, now)
        self.watches.append(watch)
        task = asyncio.ensure_future(self.listen(watch, self.address))
        task.add_done_callback(functools.partial(self.on_watch_ended, watch))

    def drop(self, watch: WatchConnection) -> None:
        """End a watch; neither its events nor its end count any more."""
        watch.is_dropped = True
        self.watches.remove(watch)
        watch.close()

    def on_watch_ended(self, watch: WatchConnection, task: asyncio.Task[None]) -> None:
        """A watch is over. If no later one is under way, the next one begins after a pause."""
        watch.close()
        error = None if task.cancelled() else task.exception()
        if watch.is_dropped:
            return
        latest = watch is self.watches[-1]
        self.watches.remove(watch)
        pause = RETRY_PAUSE_S
        if isinstance(error, OSError | StreamClosedError):
            self.loss.lost(type(error).__name__, self.last_number)
        elif error is not None:
            pause = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2**self.failed_watches)
            self.failed_watches = min(self.failed_watches + 1, 2 * MAX_ATTEMPTS)
            if not isinstance(error, EndpointWatchError):
                self.report_failure(error)
            elif self.counters.add_once(f"bad_{self.name}_lines"):
                log.event(LOGGER, logging.WARNING, f"bad_{self.name}_line", why=str(error)[:200])
        if latest:
            self.next_watch_at = asyncio.get_running_loop().time() + pause
            self.wake_up.set()

    def report_failure(self, error: BaseException) -> None:
        """An error that is no fault of the other end: count it, and log the first."""
        if self.counters.add_once(f"{self.name}_errors"):
            LOGGER.error(f"{self.name}_failed", exc_info=error)

    async def listen(self, watch: WatchConnection, address: Address) -> None:
        """One watch, until it ends or is dropped."""
        now = asyncio.get_running_loop().time
        await watch.connect(address)
        await watch.write(resume_request(self.last_number))
        reader = self.make_parser()
        while True:
            data = await watch.read_bytes(self.limits.read_size, partial=True)
            turn = watch.read_at = now()
            for event in reader.feed(data):
                self.handle(event)
                if watch.is_dropped:
                    return
                if not isinstance(event, UnusableLine) or event.number is not None:
                    self.keep_only(watch)
                if now() - turn > MAX_TURN_S:
                    await asyncio.sleep(0)
                    turn = now()
                    if watch.is_dropped:
                        return
            await asyncio.sleep(0)

    def keep_only(self, watch: WatchConnection) -> None:
        """A complete heartbeat or event came: this watch is kept, and it alone."""
        self.next_watch_at = asyncio.get_running_loop().time() + SUSPECT_AFTER_S
        for other in self.watches[:]:
            if other is not watch:
                self.drop(other)
        self.loss.restored(self.last_number)

    # --- events ---

    def handle(self, event: E | WatchHeartbeat | UnusableLine) -> None:
        """Handle one line; what has been applied already is passed over.

        An event counts as received once it is in force. Raises `EndpointWatchError` where something is
        missing, cannot be read or cannot be put in force, and is to be requested anew. That happens
        `MAX_ATTEMPTS` times, then it is skipped, so that what stands behind it is not lost with it.
        """
        if isinstance(event, WatchHeartbeat):
            if event.number > self.last_number:
                raise EndpointWatchError(f"{event.number} events are out, {self.last_number} came")
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
        """An event that was not applied yet; raises `EndpointWatchError` to have it requested anew."""
        if self.gapless and number > self.last_number + 1:
            if self.failed_watches < MAX_ATTEMPTS:
                raise EndpointWatchError(f"{number} came after {self.last_number}")
            # So by each of the last connections: these numbers do not exist, nor perhaps others.
            self.gapless = False
            log.event(LOGGER, logging.WARNING, f"{self.name}_gap", last=self.last_number, next=number)
        if isinstance(event, UnusableLine):
            # It was read whole, and another connection would bring the same.
            if self.counters.add_once(f"{self.name}_unusable"):
                log.event(LOGGER, logging.WARNING, f"{self.name}_unusable", number=number, why=event.reason)
        else:
            try:
                self.apply_event(event)
            except Exception as error:
                self.report_failure(error)
                if self.failed_watches < MAX_ATTEMPTS:
                    raise EndpointWatchError(f"{number} failed: {type(error).__name__}") from None
                if self.counters.add_once(f"{self.name}_skipped"):
                    log.event(LOGGER, logging.ERROR, f"{self.name}_skipped", number=number)
                self.skip_event(event)
        self.last_number, self.failed_watches = number, 0
