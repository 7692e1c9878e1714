"""Counters of what the program received, sent and answered, by name."""

import logging
from collections import Counter

from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)


class Counters:
    """Counts by name, logged on SIGUSR1, periodically and at the exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Adds `count` to the counter of a name."""
        self.counts[name] += count

    def add_once(self, name: str) -> bool:
        """Adds 1 to the counter of a name; returns whether it was the first, which alone is logged."""
        self.counts[name] += 1
        return self.counts[name] == 1

    def print(self, why: str) -> None:
        """Logs all counters, with the reason `why`."""
        log.event(LOGGER, logging.INFO, "counters", why=why, **dict(sorted(self.counts.items())))
