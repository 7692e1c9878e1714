"""Supervises background tasks, which no other code of the program awaits.

A permanent task is restarted after a backoff whenever it ends. Every failure is counted as
`background_errors.NAME`, and the first one of each name is logged with its traceback.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

MIN_BACKOFF_S = 0.05  # wait before a permanent task restarts; doubled each time it ends early
MAX_BACKOFF_S = 1.0


class TaskSupervisor:
    """Owns background tasks from their start to `stop`."""

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, name: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that is not restarted; counts and logs its error."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(lambda done: self.on_done(name, done))
        return task

    def supervise(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Starts a permanent task, which is restarted whenever it ends, until `stop` is called."""
        self.spawn(name, self.run_supervised(name, work))

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        while self.tasks:
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks)

    def on_done(self, name: str, task: asyncio.Task[None]) -> None:
        """Removes a task that has ended, and reports its error."""
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.report_failure(name, error)

    async def run_supervised(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Runs the work repeatedly, with a backoff that grows while the work ends early."""
        loop = asyncio.get_running_loop()
        current_task = asyncio.current_task()
        backoff = MIN_BACKOFF_S
        while True:
            started_at = loop.time()
            error: BaseException | None = None
            try:
                await work()
            except asyncio.CancelledError as cancelled:
                if current_task is None or current_task.cancelling():
                    raise
                error = cancelled  # the work awaited something that was cancelled; this task was not
            except Exception as raised:  # error boundary of a task: it is restarted after any error
                error = raised
            self.report_failure(name, error)
            ended_early = loop.time() - started_at <= MAX_BACKOFF_S
            backoff = min(2 * backoff, MAX_BACKOFF_S) if ended_early else MIN_BACKOFF_S
            await asyncio.sleep(backoff)

    def report_failure(self, name: str, error: BaseException | None) -> None:
        """Counts a failure, and logs the first one of each name; `error` is None if the task returned."""
        if not self.counters.add_once(f"background_errors.{name}"):
            return
        cause = type(error).__name__ if error is not None else "ended"
        LOGGER.error("background_failed", exc_info=error, extra={"fields": {"task": name, "why": cause}})
