"""The clocks of the system and the timers of the event loop, for the exchange."""

import asyncio
import time
from collections.abc import Callable

from paddlequay.requests.messages import Timer


class LoopScheduler:
    """Provides `monotonic` for durations, `unix` for points in time, and timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        """Returns the event loop's time, in seconds."""
        return self.loop.time()

    def unix(self) -> float:
        """Returns the Unix time, in seconds."""
        return time.time()

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Calls back after `delay` seconds; the returned timer can be cancelled."""
        return self.loop.call_later(delay, call)
