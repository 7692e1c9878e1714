"""The requests that are pending, and whether one more is taken in."""

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import AnswerStatus, ClientRequest, FinalAnswer, PendingRequest
from paddlequay.requests.quotas import ProcessQuotas


class RequestIntake:
    """Pending requests by serial, their ids, and the bytes of their bodies."""

    def __init__(self, limits: Limits, quotas: ProcessQuotas, counters: Counters) -> None:
        self.limits, self.quotas, self.counters = limits, quotas, counters
        self.by_serial: dict[str, PendingRequest] = {}
        self.open_ids: set[str] = set()
        self.body_bytes = 0

    def answer_at_once(self, request: ClientRequest) -> FinalAnswer | None:
        """The answer to a request that is not taken in: too much is pending, or its id is."""
        full = self.body_bytes + len(request.body) > self.limits.max_body_bytes * self.quotas.memory_share
        if full or len(self.by_serial) >= self.limits.max_open_requests:
            # Bodies wait here for their upstreams: thirty-two of 48,000 bytes on each connection are more
            # than a small router has.
            self.counters.add("rejected.too_many_open")
            return FinalAnswer(AnswerStatus.REJECTED, retry_after=self.limits.busy_retry_after)
        if request.id in self.open_ids:
            # The first request's answer must not serve another object, nor a second one's end end the first.
            self.counters.add("rejected.id_open")
            return FinalAnswer(AnswerStatus.FAILED)
        return None

    def add(self, pending: PendingRequest) -> None:
        """A request is pending from now on."""
        self.open_ids.add(pending.request.id)
        self.body_bytes += len(pending.request.body)
        self.by_serial[pending.serial] = pending

    def remove(self, pending: PendingRequest) -> None:
        """A request is over; KeyError where it is not pending."""
        del self.by_serial[pending.serial]
        self.open_ids.discard(pending.request.id)
        self.body_bytes -= len(pending.request.body)
