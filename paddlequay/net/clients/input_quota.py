"""Limits the memory of incomplete messages over all client connections."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from paddlequay.config.limits import Limits
from paddlequay.requests.quotas import ProcessQuotas


class InputConnection(Protocol):
    """A client connection."""

    def has_hung_up(self) -> bool:
        """Returns whether the client has closed the connection, or it is broken."""
        ...

    def close_stream(self) -> None:
        """Closes the connection."""
        ...


class InputQuota:
    """Reservations of the size of the largest message, one for each connection that receives a long message.

    Short incomplete messages need none: the number of connections bounds them. A connection without a
    reservation does not read on, so its client's bytes wait in the kernel. Reservations are granted in the
    order in which connections begin to wait, so each of them gets one in the end.

    Args:
        limits: The limits on the size of one message and of all of them.
        quotas: The share of the limits that this process has beside another one.
        now: The clock, in monotonic seconds.

    Attributes:
        reserved_at: When each connection that has a reservation got it.
        waiting: The connections that wait for a reservation, in this order; each future ends a wait.
    """

    def __init__(self, limits: Limits, quotas: ProcessQuotas, now: Callable[[], float]) -> None:
        self.limits = limits
        self.quotas = quotas
        self.now = now
        self.reserved_at: dict[InputConnection, float] = {}
        self.waiting: dict[InputConnection, asyncio.Future[None]] = {}

    @property
    def max_reservations(self) -> int:
        """Returns how many connections may have a reservation at once."""
        max_bytes = self.limits.max_input_bytes * self.quotas.memory_share
        return max(1, int(max_bytes / self.limits.max_client_frame))

    def reserve(self, connection: InputConnection) -> bool:
        """Returns whether a connection has a reservation, if necessary a new one."""
        if connection not in self.reserved_at:
            if self.waiting or len(self.reserved_at) >= self.max_reservations:
                return False
            self.reserved_at[connection] = self.now()
        return True

    async def wait(self, connection: InputConnection) -> None:
        """Waits until a connection without a reservation has one, or until `release` is called for it."""
        granted = asyncio.get_running_loop().create_future()
        self.waiting[connection] = granted
        try:
            await granted
        finally:
            self.waiting.pop(connection, None)

    def release(self, connection: InputConnection) -> None:
        """Ends the reservation of a connection or its wait for one; ignores a connection without either."""
        self.reserved_at.pop(connection, None)
        granted = self.waiting.pop(connection, None)
        if granted is not None and not granted.done():
            granted.set_result(None)
        self._grant()

    def close_disconnected(self) -> None:
        """Closes the waiting connections whose clients have gone, as nothing is read from them."""
        for connection in [each for each in self.waiting if each.has_hung_up()]:
            connection.close_stream()
            self.release(connection)

    def is_overdue(self, connection: InputConnection) -> bool:
        """Returns whether a connection has kept its reservation for too long while others wait for one."""
        reserved_at = self.reserved_at.get(connection)
        if reserved_at is None or not self.waiting:
            return False
        return self.now() - reserved_at > self.limits.client_message_timeout

    def _grant(self) -> None:
        """Grants reservations to waiting connections while the limit allows it."""
        while self.waiting and len(self.reserved_at) < self.max_reservations:
            connection = next(iter(self.waiting))
            granted = self.waiting.pop(connection)
            if not granted.done():
                self.reserved_at[connection] = self.now()
                granted.set_result(None)
