"""What the router received, sent and answered, by name."""

import logging
from collections import Counter

from paddlequay.observability import log

LOGGER = logging.getLogger(__name__)


class Counters:
    """Counts by name; printed on SIGUSR1 and at the exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Count something under a name."""
        self.counts[name] += count

    def add_once(self, name: str) -> bool:
        """Count, and say whether it was the first: what is logged once is counted always."""
        self.counts[name] += 1
        return self.counts[name] == 1

    def print(self, why: str) -> None:
        """Log all counters, with the reason for it."""
        log.event(LOGGER, logging.INFO, "counters", why=why, **dict(sorted(self.counts.items())))
