"""Admits requests into the set of pending ones, within limits on their number and total body size."""

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer, PendingRequest
from paddlequay.requests.quotas import ProcessQuotas


class RequestIntake:
    """Owns the pending requests by serial, the ids that clients gave them, and the bytes of their bodies."""

    def __init__(self, limits: Limits, quotas: ProcessQuotas, counters: Counters) -> None:
        self.limits = limits
        self.quotas = quotas
        self.counters = counters
        self.by_serial: dict[str, PendingRequest] = {}
        self.open_ids: set[str] = set()
        self.body_bytes = 0

    def immediate_answer(self, request: ClientRequest) -> FinalAnswer | None:
        """Returns the final answer to a request that is not admitted; None if it is admitted.

        The answer is a rejection if too many requests or too many bytes of bodies are pending, and a
        failure if a request with the same id is pending.
        """
        if not self.has_capacity(request):
            self.counters.add("rejected.too_many_open")
            return FinalAnswer(AnswerStatus.REJECTED, retry_after=self.limits.busy_retry_after)
        if request.id in self.open_ids:
            # With one id for two requests, the answer or end of one would be taken for that of the other.
            self.counters.add("rejected.id_open")
            return FinalAnswer(AnswerStatus.FAILED)
        return None

    def has_capacity(self, request: ClientRequest) -> bool:
        """Returns whether one more request stays within the limits on pending requests and body bytes."""
        max_body_bytes = self.limits.max_body_bytes * self.quotas.memory_share
        if self.body_bytes + len(request.body) > max_body_bytes:
            return False
        return len(self.by_serial) < self.limits.max_open_requests

    def add(self, pending: PendingRequest) -> None:
        """Adds an admitted request."""
        self.open_ids.add(pending.request.id)
        self.body_bytes += len(pending.request.body)
        self.by_serial[pending.serial] = pending

    def remove(self, pending: PendingRequest) -> None:
        """Removes a request that has ended; raises KeyError if it is not pending."""
        del self.by_serial[pending.serial]
        self.open_ids.discard(pending.request.id)
        self.body_bytes -= len(pending.request.body)
