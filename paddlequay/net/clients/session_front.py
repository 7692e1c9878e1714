"""What a client connection needs of the front that all of them share."""

from typing import Protocol

from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.clients.answer_writer import WriterFront
from paddlequay.net.clients.idle_sessions import IdleSessions
from paddlequay.net.clients.waiting_calls import QueueFront
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import FinalAnswer


class SessionFront(WriterFront, QueueFront, Protocol):
    """The exchange, idle connections, shared bounds, and whether connections are to close."""

    exchange: Exchange
    overload: OverloadGuard
    overload_answer: FinalAnswer
    draining_answer: FinalAnswer
    idle_sessions: IdleSessions
    rejecting_new: bool
    closing_when_quiet: bool

    @property
    def max_queued(self) -> float:
        """The bound on `queued_bytes`, over all connections."""
        ...

    def accepts_requests(self) -> bool:
        """Whether this router is ready, as its clients' platform is told."""
        ...
