"""What the result of an attempt teaches: who gets credit, who is at fault, what the request knows now."""

import math

from paddlequay.policy.concurrency_limits import FILL_SHARE
from paddlequay.policy.outlier_ejection import RECENT_SUCCESS_S
from paddlequay.policy.router_state import RouterState
from paddlequay.routing.interface import Action, AttemptEnded, Outcome, ReplyDetail
from paddlequay.routing.state import AttemptState, CacheTier, RequestState, Upstream

MIN_WAIT_SHARE = 0.25  # of a filled answer's latency, waited for the source: then lateness is the source's
FILLED = (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN)
SOURCE_REJECTED, SOURCE_UNREACHABLE = ReplyDetail.SOURCE_REJECTED, ReplyDetail.SOURCE_UNREACHABLE
SOURCE_FAULTS = (SOURCE_REJECTED, SOURCE_UNREACHABLE, ReplyDetail.SOURCE_MISS, ReplyDetail.ORIGIN_FAILED)


class ResultHandler:
    """Hands results to the parts; its own is what each request has failed at."""

    def __init__(self, state: RouterState) -> None:
        self.state = state

    def handle(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """Credit or fault: whom the detail names, else the named source of a fill, else the edge."""
        target, source, hot_objects = attempt.target, attempt.source, self.state.hot_objects
        if event.outcome is Outcome.SERVED:
            return self.handle_served(request, attempt, event, now)
        if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            request.failed_members.append(target.member.name)
            return []
        hot_objects.drop_holder(request.object_state, target.member.name)
        if event.outcome is Outcome.MISS:
            request.failed_members.append(source.member.name)
            request.source_missed = request.source_missed or source.tier is CacheTier.PARENT
            hot_objects.drop_holder(request.object_state, source.member.name)
            return self.state.outliers.record_success(target, now)
        return self.handle_failed(request, attempt, event, now)

    def handle_failed(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """An attempt has failed: what that says of whoever is at fault, if anything."""
        state, outcome, timed_out = self.state, event.outcome, event.outcome is Outcome.TIMEOUT
        request.connection_lost = outcome is Outcome.RESET
        at_fault = self.find_fault(attempt, event)
        request.failed_members.append(at_fault.member.name)
        short = request.deadline - attempt.sent_at < state.latency.objective(request)
        if timed_out and short and not at_fault.ejected:
            return []  # its client gave it less time than answers take: no fault of whoever was asked
        plain = outcome is Outcome.ERROR and event.detail is None
        request.error_count += plain
        cut_off = event.detail is ReplyDetail.ORIGIN_FAILED
        # Another parent would have to ask the same origin: a cached copy may still do.
        request.source_missed = request.source_missed or cut_off
        if event.unresponsive:  # nothing for anybody: this says nothing of source or load
            return state.outliers.record_failure(at_fault, True, now)
        if timed_out and attempt.fills and state.zone_load.is_healthy(attempt.target.member.name, now):
            state.origin_wait.record_abandoned(event.latency, now)
        if outcome in (Outcome.TIMEOUT, Outcome.REJECTED):
            state.limits.record_answer(at_fault, True, now)
        away = cut_off or event.detail is SOURCE_UNREACHABLE
        if outcome is Outcome.REJECTED and state.settings.detailed_replies and not away:
            return []  # full, not failing: ejected, it would fill up the next one with its load and its fills
        if timed_out and at_fault.last_success_at > attempt.sent_at:
            # Slow, not unresponsive: ejecting it would move its load to members as busy, and its fills to a
            # parent that must fetch them anew. The limit answers for slowness, and time-outs grow, for a fill
            # cut short is lost work that its next reader asks for again.
            state.latency.adjust_ratio(request, math.inf)
            return []
        if plain and (request.error_count > 1 or now - at_fault.last_success_at < RECENT_SUCCESS_S):
            return []  # the request is at fault: bad clients got healthy members ejected one after the other
        broke = outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        return state.outliers.record_failure(at_fault, broke, now)

    def handle_served(
        self, request: RequestState, attempt: AttemptState, event: AttemptEnded, now: float
    ) -> list[Action]:
        """The edge has answered, and so has the source of what it filled."""
        state, target, source = self.state, attempt.target, attempt.source
        origins, slow_start, detail = state.members.origins, state.members.slow_start, event.detail
        actions = state.outliers.record_success(target, now)
        filled = attempt.fills if detail is None else detail in FILLED
        work = state.latency.work[request.request_class.name]
        fill_work = work * (filled * (FILL_SHARE if detail is None else 1.0))
        use = state.zone_load.total_utilization()
        slow_start[CacheTier.EDGE].record_served(work * (target.tier is CacheTier.EDGE), now, use)
        slow_start[CacheTier.PARENT].record_served(fill_work, now)
        if filled:
            actions += state.outliers.record_success(source, now)
        if detail is ReplyDetail.FILLED_FROM_ORIGIN and origins:
            actions += state.outliers.record_success(origins[0], now)
            if event.source_wait is not None:
                # No wait is longer than its answer took: a corrupt one would close the origin for minutes.
                state.origin_wait.record(min(event.source_wait, event.latency), now)
        if detail is ReplyDetail.HIT and attempt.fills:
            source.slow_start_bucket.take(-work)
        # A late answer that did not wait for its fill, or does not tell, says nothing of who filled it: one
        # edge that bore all of its location was late, and the parents' limits were cut for it.
        wait = event.source_wait
        waited = detail and (wait is None or wait > MIN_WAIT_SHARE * event.latency)
        late = state.latency.record_answer(request, event.latency)
        state.limits.record_answer(source if filled and waited else target, late, now)
        if filled and detail is None and not (late or source.transfer_capacity):
            # No size bounds its cuts, and nothing else clears them.
            state.limits.record_answer(source, late, now)
        return actions

    def find_fault(self, attempt: AttemptState, event: AttemptEnded) -> Upstream:
        """Whom the detail names; else the edge for a lost connection, the named source for a fill."""
        detail, outcome = event.detail, event.outcome
        if detail is ReplyDetail.ORIGIN_FAILED and self.state.members.origins:
            return self.state.members.origins[0]
        if detail in SOURCE_FAULTS:
            return attempt.source
        targets = detail is ReplyDetail.FILL_LIMIT or outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        detailed = bool(self.state.settings.detailed_replies)
        targets = targets or event.unresponsive or (detailed and outcome is not Outcome.TIMEOUT)
        return attempt.source if attempt.fills and not targets else attempt.target
