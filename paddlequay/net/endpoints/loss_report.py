"""Counts each loss of a stream of events, and logs the first one and the return."""

import logging

from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)


class LossReport:
    """Whether a stream is lost, and that this is logged. `name` stands in log lines and counters."""

    def __init__(self, name: str, counters: Counters) -> None:
        self.name, self.counters = name, counters
        self.is_lost = False

    def lost(self, why: str, last: int) -> None:
        """Nothing comes any more after event number `last`."""
        self.counters.add(f"{self.name}_lost")
        if not self.is_lost:  # once: it is tried again five times a second
            log.event(LOGGER, logging.INFO, f"{self.name}_lost", why=why, last=last)
        self.is_lost = True

    def restored(self, last: int) -> None:
        """Something came; logged where it was lost."""
        if self.is_lost:
            self.is_lost = False
            log.event(LOGGER, logging.INFO, f"{self.name}_restored", last=last)
