"""The interface of the front, as client connections use it."""

from typing import Protocol

from paddlequay.lifecycle.overload import OverloadGuard
from paddlequay.net.clients.answer_writer import WriterFront
from paddlequay.net.clients.idle_sessions import IdleSessions
from paddlequay.net.clients.input_quota import InputQuota
from paddlequay.net.clients.waiting_calls import WaitingCallsFront
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import FinalAnswer


class ClientSessionFront(WriterFront, WaitingCallsFront, Protocol):
    """The state that all client connections share."""

    exchange: Exchange
    overload: OverloadGuard
    overload_answer: FinalAnswer
    draining_answer: FinalAnswer
    idle_sessions: IdleSessions
    input_quota: InputQuota
    rejects_new_calls: bool
    closing_when_quiet: bool

    @property
    def max_queued(self) -> float:
        """Returns the limit on `queued_bytes` of all connections."""
        ...

    def accepts_requests(self) -> bool:
        """Returns whether clients are told that the router is ready."""
        ...
