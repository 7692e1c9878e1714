"""Supervised tasks: those that nobody waits for, none of which ends unseen.

One that is to run for as long as the program is begun again whenever it ends, after a backoff; of others, an
error is logged. The first trace under a name is logged, all are counted as `background_errors.NAME`.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0  # seconds before it begins again, twice as long after each early end


class TaskSupervisor:
    """Owns tasks from their start to `stop`."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run until its own end; an error is logged and counted."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(lambda done: self.on_done(name, done))
        return task

    def supervise(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run, and run again whenever it ends, until `stop`."""
        self.spawn(name, self.run_supervised(name, work))

    async def stop(self) -> None:
        """Cancel all, and wait until they have ended."""
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks)

    def on_done(self, name: str, task: asyncio.Task[None]) -> None:
        """A task has ended."""
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.report_failure(name, error)

    async def run_supervised(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run work again and again, with a growing backoff while it ends early."""
        loop, me = asyncio.get_running_loop(), asyncio.current_task()
        pause = MIN_BACKOFF_S
        while True:
            began = loop.time()
            error: BaseException | None = None
            try:
                await work()
            except asyncio.CancelledError as cancelled:
                if me is None or me.cancelling():
                    raise
                error = cancelled  # of something it waited for, not of itself
            except Exception as raised:
                error = raised
            self.report_failure(name, error)
            pause = MIN_BACKOFF_S if loop.time() - began > MAX_BACKOFF_S else min(2 * pause, MAX_BACKOFF_S)
            await asyncio.sleep(pause)

    def report_failure(self, name: str, error: BaseException | None) -> None:
        """Count a failure, and log the first of a name; without an error the task ended by itself."""
        if self.counters.add_once(f"background_errors.{name}"):
            why = type(error).__name__ if error is not None else "ended"
            LOGGER.error("background_failed", exc_info=error, extra={"fields": {"task": name, "why": why}})
