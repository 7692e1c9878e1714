"""Chooses which idle client connection to close when a new one needs its descriptor."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

MAX_CANDIDATES = 8  # tried in each state, because there may be thousands of connections


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
        """Closes the connection if it is at rest; returns whether it did."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedSession:
    """A connection closed to accept another, and whether its client had sent a complete message."""

    session: IdleSession
    had_message: bool


@dataclass(frozen=True, slots=True)
class ClosingStep:
    """A queue of idle connections to try, how long one must have been unused, and how to close it."""

    queue: OrderedDict[IdleSession, None]
    min_idle_s: float
    close: Callable[[IdleSession], bool]


class IdleSessions:
    """Idle connections by state, the least recently used one first; each is in one state at most.

    Attributes:
        lingering: Ended by this side, which still reads.
        silent: No byte was ever received.
        message_begun: An incomplete message was received, in one read.
        message_progressing: An incomplete message was received, in several reads.
        idle: The last message was complete.
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
            partial_reads: The number of reads that have returned parts of an incomplete message.
            has_sent_message: Whether the client has sent a complete message.
        """
        if has_ended:
            return self.lingering
        if partial_reads:
            return self.message_progressing if partial_reads > 1 else self.message_begun
        return self.idle if has_sent_message else self.silent

    def close_one(self, now: float, recent_progress: float) -> ClosedSession | None:
        """Closes one idle connection, and returns it; None if there is none.

        Silent connections are closed first, then those with one read of an incomplete message, lingering
        ones, and those that have received no more of their message for `recent_progress` seconds. So
        connections without requests cannot displace clients with requests. The least recently used
        connection in `idle` follows; its client repeats a request that it sends while the connection closes.
        A connection that has received more of its message within `recent_progress` seconds comes last.
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
            # A connection with an unread request refuses to close, so several candidates are tried.
            for session in list(islice(step.queue, MAX_CANDIDATES)):
                if now - session.last_used_at < step.min_idle_s:
                    break
                if step.close(session):
                    del step.queue[session]
                    return ClosedSession(session, had_message=step.queue is self.idle)
        return None
