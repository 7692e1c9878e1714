"""The calls of a client connection that have been read but not yet submitted to the exchange."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from paddlequay.requests.messages import ClientRequest


class WaitingCallsFront(Protocol):
    """The state that all connections share: the total bytes of the bodies of waiting calls."""

    queued_bytes: int


@dataclass(slots=True)
class WaitingCall:
    """A request, and when it was read, in monotonic seconds."""

    request: ClientRequest
    read_at: float


class WaitingCalls:
    """Waiting calls by message number, in the order of their arrival."""

    __slots__ = ("by_number", "front")

    def __init__(self, front: WaitingCallsFront) -> None:
        self.front = front
        self.by_number: dict[int, WaitingCall] = {}

    def __len__(self) -> int:
        return len(self.by_number)

    def __contains__(self, number: int) -> bool:
        return number in self.by_number

    def __iter__(self) -> Iterator[int]:
        return iter(self.by_number)

    def __getitem__(self, number: int) -> WaitingCall:
        return self.by_number[number]

    def add(self, number: int, request: ClientRequest, read_at: float) -> None:
        """Adds a call."""
        self.by_number[number] = WaitingCall(request, read_at)
        self.front.queued_bytes += len(request.body)

    def remove(self, number: int) -> None:
        """Removes a call; ignores an unknown number."""
        call = self.by_number.pop(number, None)
        if call is not None:
            self.front.queued_bytes -= len(call.request.body)

    def clear(self) -> None:
        """Removes all calls."""
        for number in list(self.by_number):
            self.remove(number)
