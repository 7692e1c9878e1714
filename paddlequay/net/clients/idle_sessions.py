"""Client connections on which nothing is owed, and which of them is closed first for another."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

MAX_CANDIDATES = 8  # looked at in each state: thousands of connections are not searched for one


class IdleSession(Protocol):
    """A connection that may be idle; `last_used_at` is in monotonic seconds."""

    last_used_at: float

    def close_without_message(self) -> bool:
        """Close at rest, or where no complete message has come."""
        ...

    def close_lingering(self) -> bool:
        """Close one that has ended and still reads what comes."""
        ...

    def close_at_rest(self) -> bool:
        """Close where nothing is owed, unsent or unread."""
        ...


@dataclass(frozen=True, slots=True)
class ClosedSession:
    """A connection that was closed for another, and whether it had ever sent a complete message."""

    session: IdleSession
    had_message: bool


class IdleSessions:
    """Connections by state, the one used longest ago first in each; each is in one at most."""

    def __init__(self) -> None:
        self.lingering: OrderedDict[IdleSession, None] = OrderedDict()  # ended, and still read
        self.silent: OrderedDict[IdleSession, None] = OrderedDict()  # not one byte has come
        self.message_begun: OrderedDict[IdleSession, None] = OrderedDict()  # one piece of a message
        self.message_progressing: OrderedDict[IdleSession, None] = OrderedDict()  # several pieces of it
        self.idle: OrderedDict[IdleSession, None] = OrderedDict()  # after a complete message

    def queue_for(
        self, has_ended: bool, partial_reads: int, has_sent_message: bool
    ) -> OrderedDict[IdleSession, None]:
        """The queue of a connection's state; `partial_reads`: in which an incomplete message has come."""
        if has_ended:
            return self.lingering
        if partial_reads:
            return self.message_progressing if partial_reads > 1 else self.message_begun
        return self.idle if has_sent_message else self.silent

    def close_one(self, now: float, recent_progress: float) -> ClosedSession | None:
        """Close one connection on which nothing is owed, with no search among them all.

        First one that has sent no byte, then one that has stopped inside a message: thousands that connect
        and send nothing would else push out clients with requests. Then the one idle for longest: its client
        sends again what crosses the close. One that went on with a message within `recent_progress` seconds
        is closed only where there is no other.
        """
        order: tuple[tuple[OrderedDict[IdleSession, None], float, Callable[[IdleSession], bool]], ...] = (
            (self.silent, 0.0, lambda session: session.close_without_message()),
            (self.message_begun, 0.0, lambda session: session.close_without_message()),
            (self.lingering, 0.0, lambda session: session.close_lingering()),
            (self.message_progressing, recent_progress, lambda session: session.close_at_rest()),
            (self.idle, 0.0, lambda session: session.close_at_rest()),
            (self.message_progressing, 0.0, lambda session: session.close_at_rest()),
        )
        for state, min_age, close in order:
            # One whose request has come and is not read yet is passed over; a few are tried, not all.
            for session in list(islice(state, MAX_CANDIDATES)):
                if now - session.last_used_at < min_age:
                    break
                if close(session):
                    del state[session]
                    return ClosedSession(session, had_message=state is self.idle)
        return None
