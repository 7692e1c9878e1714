"""The requests of a client connection that were submitted to the exchange."""

from collections.abc import Callable

from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import ClientRequest, FinalAnswer, PendingRequest
from paddlequay.routing.interface import AbandonRequest


class OpenRequests:
    """Open requests by message number; None marks a request whose submission has not returned yet."""

    __slots__ = ("by_number", "exchange")

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.by_number: dict[int, PendingRequest | None] = {}

    def __len__(self) -> int:
        return len(self.by_number)

    def __contains__(self, number: int) -> bool:
        return number in self.by_number

    def submit(
        self,
        number: int,
        request: ClientRequest,
        send_answer: Callable[[FinalAnswer], None],
        is_disconnected: Callable[[], bool],
    ) -> None:
        """Submits a request to the exchange."""
        # An answer sent before `submit` returns removes the number, which must not be added again.
        self.by_number[number] = None
        pending = self.exchange.submit(request, send_answer, is_disconnected)
        if number in self.by_number:
            self.by_number[number] = pending

    def remove(self, number: int) -> None:
        """Removes an answered request; ignores an unknown number."""
        self.by_number.pop(number, None)

    def cancel(self, number: int) -> None:
        """Withdraws a request that the client cancels; ignores an unknown number."""
        pending = self.by_number.pop(number, None)
        if pending is not None:
            self.exchange.withdraw(pending)

    def withdraw_all(self) -> None:
        """Withdraws all requests."""
        for pending in list(self.by_number.values()):
            if pending is not None:
                self.exchange.withdraw(pending)
        self.by_number.clear()

    def abandon_all(self) -> None:
        """Abandons all requests, so that their final answers are sent now."""
        for pending in list(self.by_number.values()):
            if pending is not None:
                self.exchange.counters.add("abandoned")
                self.exchange.deliver(AbandonRequest(pending.serial))
        self.withdraw_all()
