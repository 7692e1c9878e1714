"""The system's clocks and the event loop's timers, as the exchange uses them."""

import asyncio
import time
from collections.abc import Callable

from paddlequay.requests.messages import Timer


class LoopScheduler:
    """`monotonic` for durations, `unix` for the times of the rules."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def monotonic(self) -> float:
        """The loop's clock, in seconds."""
        return self.loop.time()

    def unix(self) -> float:
        """Unix time, in seconds."""
        return time.time()

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Call back after so many seconds."""
        return self.loop.call_later(delay, call)
