"""Attempts in service: their start, the check at the moment of writing, their time-out and their one end."""

import logging
from collections.abc import Mapping
from typing import Protocol

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import (
    NO_FIELDS,
    AnswerStatus,
    AttemptResult,
    FinalAnswer,
    PendingRequest,
    RequestInterceptor,
    Scheduler,
    UpstreamAttempt,
    UpstreamPool,
    UpstreamRequest,
)
from paddlequay.requests.write_checks import WriteChecks
from paddlequay.routing.interface import (
    AttemptEnded,
    Cancel,
    Event,
    Fetch,
    Idempotency,
    Outcome,
    RequestClass,
)

LOGGER = logging.getLogger(__name__)

READ_FIRST_S = 0.002  # two turns of the loop, in which what has come is read and answered


class AttemptOwner(Protocol):
    """Who owns the requests that attempts are for."""

    pending: dict[str, PendingRequest]

    def drop_if_disconnected(self, pending: PendingRequest) -> bool:
        """Whether its client has gone, which ends the request."""
        ...

    def answer(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Give a request its one final answer."""
        ...

    def deliver(self, event: Event) -> None:
        """Hand an event to the decisions."""
        ...


class AttemptRunner:
    """Runs the attempts that the decisions choose; each ends exactly once.

    `upstreams` carries them, and `interceptor`, where there is one, may reject a write.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        classes: Mapping[str, RequestClass],
        write_checks: WriteChecks,
        limits: Limits,
        scheduler: Scheduler,
        counters: Counters,
    ) -> None:
        self.owner = owner
        self.classes = classes
        self.write_checks = write_checks
        self.limits = limits
        self.scheduler = scheduler
        self.counters = counters
        self.upstreams: UpstreamPool | None = None
        self.interceptor: RequestInterceptor | None = None
        # One clock for the decisions: it never goes back, and list entries' Unix start times stand on it.
        self.clock_offset = scheduler.unix() - scheduler.monotonic()

    def start(self, fetch: Fetch) -> None:
        """Begin an attempt; one that may not or cannot go out ends at once as not sent."""
        pending = self.owner.pending.get(fetch.request)
        if pending is None or self.owner.drop_if_disconnected(pending):
            return
        now = self.scheduler.monotonic()
        expires = pending.deadline if not fetch.timeout else min(pending.deadline, now + fetch.timeout)
        attempt = UpstreamAttempt(pending, len(pending.attempts), fetch, now, expires)
        idempotency = self.classes[pending.request.class_name].idempotency
        attempt.never_resend = idempotency is not Idempotency.IDEMPOTENT
        attempt.chosen_members = self.write_checks.chosen_members(fetch)
        pending.attempts.append(attempt)
        if len(pending.attempts) > self.limits.max_attempts or expires <= now or self.upstreams is None:
            return self.end(attempt, AttemptResult(Outcome.NOT_SENT))
        attempt.timer = self.scheduler.call_later(expires - now, lambda: self.expire(attempt))
        try:
            self.upstreams.start(attempt)
        except Exception:  # such as no descriptor left for its connection: this request's affair alone
            self.log_failure("start", attempt)
            self.abandon(attempt)

    def prepare_write(self, attempt: UpstreamAttempt) -> UpstreamRequest | None:
        """What to write, at the moment of writing; None when it must not be written any more.

        A decision may be written late, after a connection came up or a socket took bytes again. What held
        when it was made is checked once more: drains and restarts of target and source, the window and the
        scope of a retry, purges, and the time left.
        """
        if attempt.ended or self.owner.drop_if_disconnected(attempt.pending):
            return None
        now = self.scheduler.monotonic()
        left = attempt.expires_at - now
        if left < self.limits.min_time_left or not self.write_checks.allows(attempt, now + self.clock_offset):
            self.counters.add("not_sent")
            self.end(attempt, AttemptResult(Outcome.NOT_SENT))
            return None
        # The interceptor comes last: the permit that it lends is for what is written now.
        detail = self.interceptor.before_write(attempt, left) if self.interceptor is not None else None
        if detail is not None:
            self.counters.add("not_sent.fleet_limit")
            self.end(attempt, AttemptResult(Outcome.REJECTED, detail=detail))
            return None
        return self.upstream_request(attempt, left)

    def upstream_request(self, attempt: UpstreamAttempt, time_left: float) -> UpstreamRequest:
        """What an attempt says to its target, with `time_left` seconds for the answer."""
        request, fetch = attempt.pending.request, attempt.fetch
        return UpstreamRequest(
            id=request.id,
            class_name=request.class_name,
            object_name=request.object_name,
            part=request.part,
            body=request.body,
            known_tag=request.known_tag,
            idempotency_key=request.idempotency_key,
            time_left=time_left,
            source=None if fetch.source == fetch.target else fetch.source,
            retention=fetch.retention,
            max_age=self.write_checks.max_age(request, self.classes[request.class_name], fetch.max_age),
            coalesce=fetch.coalesce,
            only_if_cached=fetch.only_if_cached,
            refresh=fetch.refresh,
            extra_fields=NO_FIELDS if request.extra_fields is None else request.extra_fields(fetch.target),
        )

    def mark_written(self, attempt: UpstreamAttempt) -> None:
        """An attempt was written whole: from now on it may be executed."""
        attempt.written_at = self.scheduler.monotonic()
        self.counters.add("sent")

    def end(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """An attempt's end; the first `SERVED` is the request's final answer."""
        if attempt.ended:
            return
        now = self.scheduler.monotonic()
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        pending = attempt.pending
        if self.interceptor is not None:
            self.interceptor.attempt_ended(attempt, result)
        self.counters.add(f"ended.{result.outcome.value.replace(' ', '_')}")
        final = result.outcome is Outcome.SERVED and pending.serial in self.owner.pending
        pending.last_detail = result.detail
        if final:
            self.owner.answer(pending, served_answer(attempt, result))
        self.owner.deliver(
            AttemptEnded(
                request=pending.serial,
                attempt=attempt.number,
                target=attempt.fetch.target,
                outcome=result.outcome,
                latency=now - attempt.started_at,
                final=final,
                detail=result.detail,
                source_wait=result.source_wait,
                load_report=result.load_report,
                unresponsive=result.unresponsive,
                loop_hint=result.loop_hint,
            )
        )

    def expire(self, attempt: UpstreamAttempt, has_read: bool = False) -> None:
        """Out of time: not executed where never written, else it may have been.

        What has come on its connection is read first.
        """
        if attempt.ended:
            return
        if not has_read and attempt.carrier is not None and attempt.carrier.has_unread:
            attempt.timer = self.scheduler.call_later(
                READ_FIRST_S, lambda: self.expire(attempt, has_read=True)
            )
            return
        outcome = Outcome.NOT_SENT if attempt.written_at is None else Outcome.TIMEOUT
        unresponsive = self.release_carrier(attempt)
        self.end(attempt, AttemptResult(outcome, unresponsive=unresponsive))

    def cancel(self, action: Cancel) -> None:
        """Abandon an attempt that the decisions cancel; one that has ended is passed over."""
        pending = self.owner.pending.get(action.request)
        if pending is None or action.attempt >= len(pending.attempts):
            return
        if not pending.attempts[action.attempt].ended:
            self.abandon(pending.attempts[action.attempt])

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Give up an attempt by this router's own will: not executed where it was never written."""
        outcome = Outcome.NOT_SENT if attempt.written_at is None else Outcome.CANCELLED
        self.release_carrier(attempt)
        self.end(attempt, AttemptResult(outcome))

    def release(self, pending: PendingRequest) -> None:
        """A request is over: end its attempts that are still in flight, and hand nothing on."""
        for attempt in pending.attempts:
            if not attempt.ended:
                attempt.ended = True
                if attempt.timer is not None:
                    attempt.timer.cancel()
                self.release_carrier(attempt)
        # Attempts refer to their request: without this, each would wait for the cycle collector.
        pending.attempts.clear()

    def release_carrier(self, attempt: UpstreamAttempt) -> bool:
        """Have its carrier drop an attempt; whether that was unresponsive since the write.

        The attempt's end does not rest on it.
        """
        try:
            return attempt.carrier is not None and attempt.carrier.abandon(attempt)
        except Exception:  # a carrier's fault harms no request
            self.log_failure("abandon", attempt)
            return False

    def log_failure(self, what: str, on: object) -> None:
        """An error that is one request's own and never stops the program; the first of a kind is logged."""
        if self.counters.add_once(f"{what}_errors"):
            LOGGER.exception(f"{what}_failed", extra={"fields": {"on": type(on).__name__}})


def served_answer(attempt: UpstreamAttempt, result: AttemptResult) -> FinalAnswer:
    """The final answer of a request that an attempt has served."""
    status = AnswerStatus.NOT_MODIFIED if result.not_modified else AnswerStatus.SERVED
    return FinalAnswer(
        status, result.body, stamp=result.stamp, detail=result.detail, served_by=attempt.fetch.target
    )
