"""Counts and logs the faults of an event stream: lost connections, and events that cannot be applied."""

import logging

from paddlequay.observability import log
from paddlequay.observability.counters import Counters

LOGGER = logging.getLogger(__name__)

MAX_REASON_CHARS = 200  # of an error that a log line quotes


class StreamReport:
    """Counts each fault of one stream, and logs the first of each kind.

    Args:
        name: The name of the stream in log events and counters.
        counters: The counters of the program.

    Attributes:
        is_lost: Whether the stream is lost; a loss is logged once until the stream is restored.
    """

    def __init__(self, name: str, counters: Counters) -> None:
        self.name = name
        self.counters = counters
        self.is_lost = False

    def lost(self, why: str, last: int) -> None:
        """Reports that nothing has been received since the event with the number `last`."""
        self.counters.add(f"{self.name}_lost")
        if not self.is_lost:
            log.event(LOGGER, logging.INFO, f"{self.name}_lost", why=why, last=last)
        self.is_lost = True

    def restored(self, last: int) -> None:
        """Reports that data was received again; `last` is the number of the last event."""
        if self.is_lost:
            self.is_lost = False
            log.event(LOGGER, logging.INFO, f"{self.name}_restored", last=last)

    def failed(self, error: BaseException) -> None:
        """Reports an error of this program rather than of the source."""
        if self.counters.add_once(f"{self.name}_errors"):
            LOGGER.error(f"{self.name}_failed", exc_info=error)

    def invalid(self, error: BaseException) -> None:
        """Reports invalid data from the source."""
        if self.counters.add_once(f"bad_{self.name}_lines"):
            why = str(error)[:MAX_REASON_CHARS]
            log.event(LOGGER, logging.WARNING, f"bad_{self.name}_line", why=why)

    def unusable(self, number: int, why: str) -> None:
        """Reports an event that was received completely but is unusable."""
        if self.counters.add_once(f"{self.name}_unusable"):
            log.event(LOGGER, logging.WARNING, f"{self.name}_unusable", number=number, why=why)

    def gap(self, last: int, number: int) -> None:
        """Reports that the source has no events between two numbers."""
        log.event(LOGGER, logging.WARNING, f"{self.name}_gap", last=last, next=number)

    def skipped(self, number: int) -> None:
        """Reports an event that is skipped because it failed too often."""
        if self.counters.add_once(f"{self.name}_skipped"):
            log.event(LOGGER, logging.ERROR, f"{self.name}_skipped", number=number)
