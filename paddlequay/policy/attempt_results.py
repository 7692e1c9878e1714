"""Attempt results: update the estimates of the members involved, and the state of the request."""

from paddlequay.policy.concurrency_limits import FILL_RATIO
from paddlequay.policy.origin_shedding import is_origin_slow
from paddlequay.policy.outlier_ejection import RECENT_SUCCESS_S
from paddlequay.policy.router_state import RouterState
from paddlequay.routing.interface import Action, AttemptEnded, Outcome, ReplyDetail
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

# A filled answer counts for its source, and not for its target, if the target waited for the source for more
# than this share of the answer's latency.
MIN_SOURCE_WAIT_RATIO = 0.25
MAX_REQUEST_ERRORS = 1  # errors without a reply detail; after more, the request itself is at fault
FILLED_DETAILS = (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN)
SOURCE_FAULT_DETAILS = (
    ReplyDetail.SOURCE_REJECTED,
    ReplyDetail.SOURCE_UNREACHABLE,
    ReplyDetail.SOURCE_MISS,
    ReplyDetail.ORIGIN_FAILED,
)
UNREACHABLE_DETAILS = (ReplyDetail.ORIGIN_FAILED, ReplyDetail.SOURCE_UNREACHABLE)


class ResultHandler:
    """Passes the results of attempts to the rules that learn from them."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def handle(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """Records the result of an attempt; returns log messages and cancellations that follow from it."""
        if event.outcome is Outcome.SERVED:
            return self.handle_served(request, attempt, event, now)
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            request.failed_members.append(attempt.target.member.name)
            return []
        self.state.hot_objects.drop_holder(request.part_state, attempt.target.member.name)
        if event.outcome is Outcome.MISS:
            return self.handle_miss(request, attempt, now)
        return self.handle_failed(request, attempt, event, now)

    def handle_miss(self, request: RequestState, attempt: AttemptState, now: float) -> list[Action]:
        """Records that the source lacks the object, and that the target, which has answered, is healthy."""
        source = attempt.source
        request.failed_members.append(source.member.name)
        if source.tier is CacheTier.PARENT:
            request.source_missed = True
        self.state.hot_objects.drop_holder(request.part_state, source.member.name)
        return self.state.outliers.record_success(attempt.target, now)

    def handle_failed(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """Records a failure of the member at fault, unless something else explains it.

        A failure does not count towards ejection if one of these holds, checked in this order: the request
        had too little time left; the member only lacked capacity; the member has answered since this attempt
        was sent, and so is only slow; the request itself is at fault.
        """
        at_fault = self.member_at_fault(attempt, event)
        request.connection_lost = event.outcome is Outcome.RESET
        request.failed_members.append(at_fault.member.name)
        if self.is_deadline_too_short(request, attempt, event) and not at_fault.ejected:
            return []
        if event.outcome is Outcome.ERROR and event.detail is None:
            request.error_count += 1
        if event.detail is ReplyDetail.ORIGIN_FAILED:
            request.source_missed = True  # other parents ask the same origin; only cached copies are left
        if event.unresponsive:  # the connection was lost, which says nothing about the source or about load
            return self.state.outliers.record_failure(at_fault, connection_broke=True, now=now)
        self.record_load(attempt, event, at_fault, now)
        if self.is_capacity_rejection(event):
            return []
        if event.outcome is Outcome.TIMEOUT and at_fault.last_success_at > attempt.sent_at:
            # The member is slow, but responsive. Ejecting it would move its load to members that are as busy,
            # and its fills to a parent that lacks the objects. Concurrency limits and longer time-outs deal
            # with slow members.
            self.state.latency.record_timeout(request)
            return []
        if self.is_request_at_fault(request, event, at_fault, now):
            return []
        connection_broke = event.outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        return self.state.outliers.record_failure(at_fault, connection_broke, now)

    def member_at_fault(self, attempt: AttemptState, event: AttemptEnded) -> Upstream:
        """Returns the member that the detail names, else the source of a fill, else the target.

        The source of a fill is not at fault if the failure is the target's own.
        """
        origins = self.state.members.origins
        if event.detail is ReplyDetail.ORIGIN_FAILED and origins:
            return origins[0]
        if event.detail in SOURCE_FAULT_DETAILS:
            return attempt.source
        if attempt.fills and not self.is_target_at_fault(event):
            return attempt.source
        return attempt.target

    def is_target_at_fault(self, event: AttemptEnded) -> bool:
        """Whether a failed fill for which no reply detail blames the source is the target's fault.

        With detailed replies, the target would have reported a failure of the source, except after a
        time-out, which comes without a reply.
        """
        if event.detail is ReplyDetail.FILL_LIMIT or event.unresponsive:
            return True
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            return True
        return bool(self.state.settings.detailed_replies) and event.outcome is not Outcome.TIMEOUT

    def is_deadline_too_short(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded
    ) -> bool:
        """Whether an attempt timed out because its client left it less time than the latency objective."""
        if event.outcome is not Outcome.TIMEOUT:
            return False
        return request.deadline - attempt.sent_at < self.state.latency.objective(request)

    def record_load(self, attempt: AttemptState, event: AttemptEnded, at_fault: Upstream, now: float) -> None:
        """Updates the load estimates of the origin and of a member that timed out or rejected the attempt."""
        abandoned_fill = event.outcome is Outcome.TIMEOUT and attempt.fills
        if abandoned_fill and is_origin_slow(self.state.zone_load, attempt.target.member.name, now):
            self.state.origin_wait.record_abandoned(event.latency, now)
        if event.outcome in (Outcome.TIMEOUT, Outcome.REJECTED):
            self.state.limits.record_answer(at_fault, True, now)

    def is_capacity_rejection(self, event: AttemptEnded) -> bool:
        """Whether a member only lacks capacity; ejecting it would move its load to the next member."""
        if event.outcome is not Outcome.REJECTED or not self.state.settings.detailed_replies:
            return False
        return event.detail not in UNREACHABLE_DETAILS

    def is_request_at_fault(
        self, request: RequestState, event: AttemptEnded, at_fault: Upstream, now: float
    ) -> bool:
        """Whether the request itself is presumed to cause an error without a detail.

        It is if the request had such errors before, or if the member has served others recently.
        """
        if event.outcome is not Outcome.ERROR or event.detail is not None:
            return False
        return request.error_count > MAX_REQUEST_ERRORS or now - at_fault.last_success_at < RECENT_SUCCESS_S

    def handle_served(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """Records a success of the target, and of the source and the origin if they took part in the fill."""
        filled = attempt.fills if event.detail is None else event.detail in FILLED_DETAILS
        actions = self.state.outliers.record_success(attempt.target, now)
        self.record_work(request, attempt, event, filled, now)
        if filled:
            actions += self.state.outliers.record_success(attempt.source, now)
        if event.detail is ReplyDetail.FILLED_FROM_ORIGIN and self.state.members.origins:
            actions += self.state.outliers.record_success(self.state.members.origins[0], now)
            if event.source_wait is not None:
                # A wait cannot exceed the latency of its answer; a corrupt one would shed fills for minutes.
                self.state.origin_wait.record(min(event.source_wait, event.latency), now)
        self.record_latency(request, attempt, event, filled, now)
        return actions

    def record_work(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, filled: bool, now: float
    ) -> None:
        """Counts the work of an answer in slow start; a hit puts back the tokens taken for the source."""
        work = self.state.latency.work[request.request_class.name]
        edge_work = work if attempt.target.tier is CacheTier.EDGE else 0.0
        fill_work = 0.0
        if filled:
            fill_work = work * FILL_RATIO if event.detail is None else work
        slow_start = self.state.members.slow_start
        reported_links = self.state.zone_load.total_utilization()
        slow_start[CacheTier.EDGE].record_served(edge_work, now, reported_links)
        slow_start[CacheTier.PARENT].record_served(fill_work, now)
        if event.detail is ReplyDetail.HIT and attempt.fills:
            attempt.source.slow_start_bucket.take(-work)

    def record_latency(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, filled: bool, now: float
    ) -> None:
        """Records, for the member that an answer waited for, whether the answer was late.

        A late fill counts against its source only with a reply detail, and not if the reported wait is short.
        """
        wait = event.source_wait
        waited_for_source = event.detail is not None and (
            wait is None or wait > MIN_SOURCE_WAIT_RATIO * event.latency
        )
        late = self.state.latency.record_answer(request, event.latency)
        self.state.limits.record_answer(
            attempt.source if filled and waited_for_source else attempt.target, late, now
        )
        if filled and event.detail is None and not late and not attempt.source.transfer_capacity:
            # Without reply details, only timely fills lower the late ratio of a source of unknown size again.
            self.state.limits.record_answer(attempt.source, late, now)
