"""Counters by name, such as of messages received and sent, answers and errors."""

import logging
from collections import Counter

from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)


class Counters:
    """Counters by name, which the program logs on SIGUSR1, periodically and at its exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""
        self.counts[name] += count

    def add_once(self, name: str) -> bool:
        """Adds 1 to a counter; returns whether it was 0, as callers log only the first occurrence."""
        self.counts[name] += 1
        return self.counts[name] == 1

    def log_all(self, why: str) -> None:
        """Logs all counters; `why` is the reason, such as a signal or the exit."""
        log.event(LOGGER, logging.INFO, "counters", why=why, **dict(sorted(self.counts.items())))
