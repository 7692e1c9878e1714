"""Runs attempts at upstreams: starts them, checks them before the write, times them out, ends each once."""

import logging
from collections.abc import Mapping
from typing import Protocol

from paddlequay.config.limits import Limits
from paddlequay.observability.counters import Counters
from paddlequay.requests.executed_ids import ExecutedIds
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

UNREAD_GRACE_S = 0.002  # postpones a time-out while bytes are unread: two iterations of the event loop


class AttemptOwner(Protocol):
    """Owns the pending requests to which the attempts belong."""

    pending: dict[str, PendingRequest]
    executed_ids: ExecutedIds

    def drop_if_disconnected(self, pending: PendingRequest) -> bool:
        """Withdraws a request if its client has disconnected, and returns whether it has."""
        ...

    def answer(self, pending: PendingRequest, answer: FinalAnswer) -> None:
        """Sends the one final answer to a request."""
        ...

    def deliver(self, event: Event) -> None:
        """Delivers an event to the routing policy."""
        ...


class AttemptRunner:
    """Runs the attempts that the routing policy chooses; each attempt ends exactly once.

    Attributes:
        upstreams: Sends the attempts to their targets; None until the connection pool exists.
        interceptor: Enforces the limits of the fleet on requests and writes; None without a cluster.
        clock_offset: Seconds to add to the monotonic clock to get the clock of the routing policy, which
            equals Unix time at the start of the process and never goes back.
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
        self.clock_offset = scheduler.unix() - scheduler.monotonic()

    def admit_by_fleet_limits(self, pending: PendingRequest, time_left: float) -> float | None:
        """Returns None if the limits of the fleet admit a request, else the Retry-After in seconds."""
        return None if self.interceptor is None else self.interceptor.admit(pending, time_left)

    def start(self, fetch: Fetch) -> None:
        """Starts an attempt; ends it at once as not sent if it must not or cannot be sent."""
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
            self.end(attempt, AttemptResult(Outcome.NOT_SENT))
            return
        attempt.timer = self.scheduler.call_later(expires - now, lambda: self.expire(attempt))
        try:
            self.upstreams.start(attempt)
        except Exception:  # error boundary of one attempt; for example, no descriptor is free
            self.log_failure("start", attempt)
            self.abandon(attempt)

    def prepare_write(self, attempt: UpstreamAttempt) -> UpstreamRequest | None:
        """Returns the request to write for an attempt; None if the attempt must no longer be written.

        The connection calls this immediately before the write, which may be long after the routing policy
        chose the attempt. So the following are checked again: whether target and source are draining or
        have restarted, the dedup window and scope of a retry, purges, and the time left.
        """
        if attempt.ended or self.owner.drop_if_disconnected(attempt.pending):
            return None
        now = self.scheduler.monotonic()
        left = attempt.expires_at - now
        if left < self.limits.min_time_left or not self.write_checks.allows(attempt, now + self.clock_offset):
            self.counters.add("not_sent")
            self.end(attempt, AttemptResult(Outcome.NOT_SENT))
            return None
        # The interceptor is asked last: the permit that it grants is valid for an immediate write only.
        detail = self.interceptor.before_write(attempt, left) if self.interceptor is not None else None
        if detail is not None:
            self.counters.add("not_sent.fleet_limit")
            self.end(attempt, AttemptResult(Outcome.REJECTED, detail=detail))
            return None
        return self.upstream_request(attempt, left)

    def upstream_request(self, attempt: UpstreamAttempt, time_left: float) -> UpstreamRequest:
        """Returns the request to send to an attempt's target, which has `time_left` seconds to answer."""
        request = attempt.pending.request
        fetch = attempt.fetch
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
        """Records that an attempt was written completely, so that the target may execute it from now on."""
        attempt.written_at = self.scheduler.monotonic()
        if attempt.never_resend:
            self.owner.executed_ids.add(attempt.id)
        self.counters.add("sent")

    def end(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Ends an attempt; the first `SERVED` result of a request becomes its final answer."""
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

    def expire(self, attempt: UpstreamAttempt, was_postponed: bool = False) -> None:
        """Ends an attempt at its time-out.

        If received bytes are unread, its answer may be among them, so the end is postponed once by
        `UNREAD_GRACE_S` to let them be read (`was_postponed`). An attempt that was never written ends as
        not sent; a written one ends as timed out, because the target may have executed it.
        """
        if attempt.ended:
            return
        if not was_postponed and attempt.carrier is not None and attempt.carrier.has_unread:
            attempt.timer = self.scheduler.call_later(
                UNREAD_GRACE_S, lambda: self.expire(attempt, was_postponed=True)
            )
            return
        outcome = Outcome.NOT_SENT if attempt.written_at is None else Outcome.TIMEOUT
        unresponsive = self.release_carrier(attempt)
        self.end(attempt, AttemptResult(outcome, unresponsive=unresponsive))

    def cancel(self, action: Cancel) -> None:
        """Abandons an attempt that the routing policy cancels, unless it has ended."""
        pending = self.owner.pending.get(action.request)
        if pending is None or action.attempt >= len(pending.attempts):
            return
        if not pending.attempts[action.attempt].ended:
            self.abandon(pending.attempts[action.attempt])

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Ends an attempt that this router abandons: as cancelled if it was written, else as not sent."""
        outcome = Outcome.NOT_SENT if attempt.written_at is None else Outcome.CANCELLED
        self.release_carrier(attempt)
        self.end(attempt, AttemptResult(outcome))

    def release(self, pending: PendingRequest) -> None:
        """Ends the remaining attempts of a request that has ended, without an event to the routing policy."""
        for attempt in pending.attempts:
            if not attempt.ended:
                attempt.ended = True
                if attempt.timer is not None:
                    attempt.timer.cancel()
                self.release_carrier(attempt)
        # Attempts and their request refer to each other; without this cycle, both are freed at once.
        pending.attempts.clear()

    def release_carrier(self, attempt: UpstreamAttempt) -> bool:
        """Makes the carrier drop an attempt; returns whether the carrier received nothing since the write."""
        try:
            return attempt.carrier is not None and attempt.carrier.abandon(attempt)
        except Exception:  # error boundary of one carrier: its error must not prevent the end of the attempt
            self.log_failure("abandon", attempt)
            return False

    def log_failure(self, operation: str, subject: object) -> None:
        """Counts an error that affects a single request, and logs the first error of each operation."""
        if self.counters.add_once(f"{operation}_errors"):
            LOGGER.exception(f"{operation}_failed", extra={"fields": {"on": type(subject).__name__}})


def served_answer(attempt: UpstreamAttempt, result: AttemptResult) -> FinalAnswer:
    """Returns the final answer to a request from the result of the attempt that served it."""
    status = AnswerStatus.NOT_MODIFIED if result.not_modified else AnswerStatus.SERVED
    return FinalAnswer(
        status, result.body, stamp=result.stamp, detail=result.detail, served_by=attempt.fetch.target
    )
