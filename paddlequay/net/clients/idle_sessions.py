"""Chooses which idle client connection is closed when a new one needs its place."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

MAX_CANDIDATES = 8  # of each state: the search must not walk through thousands of connections


class IdleSession(Protocol):
    """A connection that may be idle; `last_used_at` is in monotonic seconds."""

    last_used_at: float

    def close_without_message(self) -> bool:
        """Closes the connection if it is at rest or never had a complete message; returns whether it did."""
        ...

    def close_lingering(self) -> bool:
        """Closes a connection that has ended and lingers; returns whether it did."""
        ...

    def close_at_rest(self) -> bool:
        """Closes the connection if nothing is owed, unsent or unread; returns whether it did."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedSession:
    """A connection that was closed for another, and whether it had sent a complete message."""

    session: IdleSession
    had_message: bool


@dataclass(frozen=True, slots=True)
class ClosingStep:
    """One queue of idle connections to try: the unused time that is required, and how one is closed."""

    queue: OrderedDict[IdleSession, None]
    min_idle_s: float
    close: Callable[[IdleSession], bool]


class IdleSessions:
    """Idle connections by state, the least recently used one first; each is in one state at most.

    Attributes:
        lingering: Ended by this side, and still reading.
        silent: Without a byte received.
        message_begun: With an incomplete message, received in one read.
        message_progressing: With an incomplete message, received in several reads.
        idle: After a complete message.
    """

    def __init__(self) -> None:
        self.lingering: OrderedDict[IdleSession, None] = OrderedDict()
        self.silent: OrderedDict[IdleSession, None] = OrderedDict()
        self.message_begun: OrderedDict[IdleSession, None] = OrderedDict()
        self.message_progressing: OrderedDict[IdleSession, None] = OrderedDict()
        self.idle: OrderedDict[IdleSession, None] = OrderedDict()

    def queue_for(
        self, has_ended: bool, partial_reads: int, has_sent_message: bool
    ) -> OrderedDict[IdleSession, None]:
        """Returns the queue of a connection's state.

        Args:
            has_ended: Whether this side has ended the connection.
            partial_reads: The number of reads that brought parts of an incomplete message.
            has_sent_message: Whether the client has sent a complete message.
        """
        if has_ended:
            return self.lingering
        if partial_reads:
            return self.message_progressing if partial_reads > 1 else self.message_begun
        return self.idle if has_sent_message else self.silent

    def close_one(self, now: float, recent_progress: float) -> ClosedSession | None:
        """Closes one idle connection, and returns it; None if there is none.

        Connections without a byte come first, then those that stopped inside a message, so that
        connections without requests cannot displace clients with requests. The least recently used idle
        one follows; its client repeats a request that crosses the close. A connection whose message
        made progress within `recent_progress` seconds comes last.
        """
        steps = (
            ClosingStep(self.silent, 0.0, lambda session: session.close_without_message()),
            ClosingStep(self.message_begun, 0.0, lambda session: session.close_without_message()),
            ClosingStep(self.lingering, 0.0, lambda session: session.close_lingering()),
            ClosingStep(self.message_progressing, recent_progress, lambda session: session.close_at_rest()),
            ClosingStep(self.idle, 0.0, lambda session: session.close_at_rest()),
            ClosingStep(self.message_progressing, 0.0, lambda session: session.close_at_rest()),
        )
        for step in steps:
            # A connection with an unread request does not close, so a few candidates are tried.
            for session in list(islice(step.queue, MAX_CANDIDATES)):
                if now - session.last_used_at < step.min_idle_s:
                    break
                if step.close(session):
                    del step.queue[session]
                    return ClosedSession(session, had_message=step.queue is self.idle)
        return None
