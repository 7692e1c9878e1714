"""The clocks of the system and the timers of the event loop, for the modules in `requests`."""

import asyncio
import time
from collections.abc import Callable

from paddlequay.requests.messages import Timer


class LoopScheduler:
    """Provides a monotonic clock for durations, Unix time for points in time, and timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        """Returns the event loop's time, in seconds."""
        return self.loop.time()

    def unix(self) -> float:
        """Returns the Unix time, in seconds."""
        return time.time()

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Calls `call` after `delay` seconds; the returned timer can be cancelled."""
        return self.loop.call_later(delay, call)
