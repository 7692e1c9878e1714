"""Lines that are followed for as long as the program runs, over connections that end, hang or fall silent.

The bulletin writes a heartbeat each second, and what it has to tell counts as told 7 s after it is out,
whether it came or not. A watch is one connection; it tells something when a whole heartbeat or event comes on
it. One that tells nothing for `SUSPECT` is suspected, not ended: a further one is begun beside it, and
whichever tells first is kept alone. So nothing is given up for being late, and steps do not add up: with an
event out right after the last word, further watches begin 1.5, 3, 4.5 and 6 s later. Two of them may come up
late, be silent or hang, and the third still has 2.5 s to come up and tell. One that is refused, breaks off
or tells what cannot be is followed by the next after a pause.
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
from paddlequay.observability import log
from paddlequay.observability.counters import Counters
from paddlequay.protocol.bulletin import Heartbeat, MalformedError, Unusable, after

LOGGER = logging.getLogger(__name__)

SUSPECT = 1.5  # seconds without a word: a heartbeat's second, and half of one for the way and a late turn
WATCHES = 3  # at once: one begun 1.5 s ago, or 3, may only be late
PAUSE = 0.2  # seconds before the next watch where the last one was refused or has ended
PAUSE_MOST = 1.0  # it doubles while the same event cannot be had, up to this
TRIES = 3  # times that the same event is asked for anew, 1.4 s in all; then what cannot be had is passed over
TURN = 0.005  # seconds after which a read's further events wait for the loop's next turn


class Event(Protocol):
    """News with a number; numbers go up."""

    @property
    def number(self) -> int: ...


E = TypeVar("E", bound=Event)
N = TypeVar("N", covariant=True)


class Line(Protocol[N]):
    """Takes bytes as they come and gives what whole lines say. Raises nothing."""

    def feed(self, data: bytes) -> Iterator[N]: ...


class Watch(IOStream):
    """One connection. Its descriptor goes back to its follower in the very turn in which it closes: where all
    others are taken and clients wait for one, none is left a moment later."""

    def __init__(self, made: socket.socket, freed: Callable[[], None], now: float) -> None:
        self.freed, self.read_at = freed, now
        self.dropped = False  # given up by the follower: neither its news nor its end mean anything
        super().__init__(made)

    def close_fd(self) -> None:
        super().close_fd()
        self.freed()


class LineFollower(Generic[E]):
    """Connects, writes `after N`, takes in what comes. `name` stands in log lines and counters."""

    gapless = False  # whether numbers go up by one, so that one which does not come is asked for again

    def __init__(self, address: Address, limits: Limits, counters: Counters, name: str) -> None:
        self.address, self.limits, self.counters, self.name = address, limits, counters, name
        self.last = 0  # the last event that is in force, or passed over for good
        self.away = False  # since it was last heard, and told so
        self.stuck = 0  # watches in a row that ended as what came after `last` could not be had
        self.watches: list[Watch] = []  # open, the latest begun last
        self.spare: socket.socket | None = None  # for the next watch, where all descriptors are taken
        self.due = 0.0  # when the next watch begins, by the loop's clock
        self.woken = asyncio.Event()
        self.current = asyncio.Event()  # all events that were out at some time since the start have come

    # --- what a source of lines is ---

    def reader(self) -> Line[E | Heartbeat | Unusable]:
        raise NotImplementedError

    def take(self, event: E) -> None:
        """Put an event in force. Called again for one that failed: taken twice, it comes to the same."""
        raise NotImplementedError

    def pass_over(self, event: E) -> None:
        """An event failed each time: what can be saved of it. Raises nothing."""

    def heartbeat(self, number: int) -> None:
        """No event is out beyond those had."""

    # --- connections ---

    def move(self, address: Address) -> None:
        """Follow another address from now on. The numbers go on, so nothing is had anew."""
        if address != self.address:
            self.address = address
            self.anew(0.0)  # the old one tells nothing more

    def anew(self, pause: float) -> None:
        """Drop all watches; the next one asks from the number that stands then."""
        for watch in self.watches[:]:
            self.drop(watch)
        self.due = asyncio.get_running_loop().time() + pause
        self.woken.set()

    async def follow(self) -> None:
        """For as long as the program runs."""
        loop = asyncio.get_running_loop()
        self.hold()
        try:
            while True:
                wait = self.due - loop.time()
                if wait <= 0:
                    self.begin()
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.woken.wait()
                self.woken.clear()
        finally:
            for watch in self.watches[:]:
                self.drop(watch)
            if self.spare is not None:
                self.spare.close()
                self.spare = None
            self.due = 0.0  # followed again, it begins at once

    def hold(self) -> None:
        """Have a descriptor for the next watch, if there is one."""
        if self.spare is None:
            with contextlib.suppress(OSError):
                self.spare = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def begin(self) -> None:
        """One more watch; the one that read nothing for longest makes room."""
        now = asyncio.get_running_loop().time()
        self.due = now + SUSPECT
        if self.watches:
            self.lost("silent")
            if len(self.watches) >= WATCHES or self.spare is None:
                self.drop(min(self.watches, key=lambda watch: watch.read_at))
        try:
            made = self.spare or socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            self.due = now + PAUSE
            return self.lost(type(error).__name__)
        self.spare = None
        self.hold()
        watch = Watch(made, self.hold, now)
        self.watches.append(watch)
        task = asyncio.ensure_future(self.listen(watch, self.address))
        task.add_done_callback(functools.partial(self.ended, watch))

    def drop(self, watch: Watch) -> None:
        watch.dropped = True
        self.watches.remove(watch)
        watch.close()

    def lost(self, why: str) -> None:
        self.counters.add(f"{self.name}_lost")
        if not self.away:  # once: it is tried again five times a second
            log.event(LOGGER, logging.INFO, f"{self.name}_lost", why=why, last=self.last)
        self.away = True

    def ended(self, watch: Watch, task: asyncio.Task[None]) -> None:
        """A watch is over. If no later one is under way, the next one begins after a pause."""
        watch.close()
        error = None if task.cancelled() else task.exception()
        if watch.dropped:
            return
        latest = watch is self.watches[-1]
        self.watches.remove(watch)
        pause = PAUSE
        if isinstance(error, OSError | StreamClosedError):
            self.lost(type(error).__name__)
        elif error is not None:
            pause = min(PAUSE_MOST, PAUSE * 2**self.stuck)
            self.stuck = min(self.stuck + 1, 2 * TRIES)
            if not isinstance(error, MalformedError):
                self.failed(error)
            elif self.counters.add_once(f"bad_{self.name}_lines"):
                log.event(LOGGER, logging.WARNING, f"bad_{self.name}_line", why=str(error)[:200])
        if latest:
            self.due = asyncio.get_running_loop().time() + pause
            self.woken.set()

    def failed(self, error: BaseException) -> None:
        if self.counters.add_once(f"{self.name}_errors"):
            LOGGER.error(f"{self.name}_failed", exc_info=error)

    async def listen(self, watch: Watch, address: Address) -> None:
        """One watch, until it ends or is dropped."""
        now = asyncio.get_running_loop().time
        await watch.connect(address)
        await watch.write(after(self.last))
        reader = self.reader()
        while True:
            data = await watch.read_bytes(self.limits.read_size, partial=True)
            turn = watch.read_at = now()
            for news in reader.feed(data):
                self.apply(news)
                if watch.dropped:
                    return
                if not isinstance(news, Unusable) or news.number is not None:
                    self.told(watch)
                if now() - turn > TURN:
                    await asyncio.sleep(0)
                    turn = now()
                    if watch.dropped:
                        return
            await asyncio.sleep(0)

    def told(self, watch: Watch) -> None:
        """A whole heartbeat or event came: this watch is kept, and it alone."""
        self.due = asyncio.get_running_loop().time() + SUSPECT
        for other in self.watches[:]:
            if other is not watch:
                self.drop(other)
        if self.away:
            self.away = False
            log.event(LOGGER, logging.INFO, f"{self.name}_heard", last=self.last)

    # --- news ---

    def apply(self, news: E | Heartbeat | Unusable) -> None:
        """Take in one line's news; what has been had already is passed over.

        An event counts as had once it is in force. MalformedError: something is missing, cannot be read or
        cannot be put in force, and is to be asked for anew. It is asked for `TRIES` times, then passed over,
        so that what stands behind it is not lost with it.
        """
        if isinstance(news, Heartbeat):
            if news.number > self.last:
                raise MalformedError(f"{news.number} events are out, {self.last} came")
            self.heartbeat(news.number)
            self.stuck = 0
            self.current.set()
        elif news.number is None:
            if self.stuck < TRIES:
                raise MalformedError(getattr(news, "why", ""))
            self.counters.add(f"{self.name}_passed_over")
        elif news.number > self.last:
            self.next(news, news.number)

    def next(self, news: E | Unusable, number: int) -> None:
        """An event that was not had."""
        if self.gapless and number > self.last + 1:
            if self.stuck < TRIES:
                raise MalformedError(f"{number} came after {self.last}")
            # Told so by each of the last connections: these numbers do not exist, nor perhaps others.
            self.gapless = False
            log.event(LOGGER, logging.WARNING, f"{self.name}_gap", last=self.last, next=number)
        if isinstance(news, Unusable):
            # It was read whole, and another connection would bring the same.
            if self.counters.add_once(f"{self.name}_unusable"):
                log.event(LOGGER, logging.WARNING, f"{self.name}_unusable", number=number, why=news.why)
        else:
            try:
                self.take(news)
            except Exception as error:
                self.failed(error)
                if self.stuck < TRIES:
                    raise MalformedError(f"{number} failed: {type(error).__name__}") from None
                if self.counters.add_once(f"{self.name}_passed_over"):
                    log.event(LOGGER, logging.ERROR, f"{self.name}_passed_over", number=number)
                self.pass_over(news)
        self.last, self.stuck = number, 0
