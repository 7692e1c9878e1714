"""Coordination of fills: which requests are served from the cache, wait for a fill, or begin a fill."""

from paddlequay.hierarchy.copy_cache import CachedCopy
from paddlequay.hierarchy.fill_leases import FillLeases, LeaseDecision
from paddlequay.hierarchy.fill_outcomes import (
    has_restarts_left,
    may_restart_after,
    reason_of_copy,
    reply_to_failure,
)
from paddlequay.hierarchy.fill_path import FillPath
from paddlequay.hierarchy.fill_requests import (
    Action,
    FillRequest,
    FillResult,
    NodeLimits,
    Reply,
    ReplyReason,
    ReplyStatus,
    StartFill,
)
from paddlequay.hierarchy.node_cache import NodeCache
from paddlequay.hierarchy.source_selection import SourceSelector
from paddlequay.hierarchy.waiting_requests import WaitingRequests
from paddlequay.observability.counters import Counters


class FillCoordinator:
    """Handles the requests and fills of a node.

    Args:
        name: The node's name, which is appended to the paths of fills.
        limits: The node's limits.
        cache: The node's cache.
        source_selector: Chooses the sources of fills.
        counters: The node's counters.
    """

    def __init__(
        self,
        name: str,
        limits: NodeLimits,
        cache: NodeCache,
        source_selector: SourceSelector,
        counters: Counters,
    ) -> None:
        self.name = name
        self.limits = limits
        self.cache = cache
        self.source_selector = source_selector
        self.counters = counters
        self.leases: FillLeases[FillRequest] = FillLeases(limits.max_fills, limits.max_waiters)
        self.waiting = WaitingRequests()
        self.last_started_us = 0
        self.actions: list[Action] = []  # since the last call of take_actions()

    def take_actions(self) -> list[Action]:
        """Returns the actions that were added since the last call."""
        actions = self.actions
        self.actions = []
        return actions

    def serve(self, request: FillRequest, now: float) -> None:
        """Replies to a request at once or lets it wait for a fill; `now` is in Unix seconds."""
        if self._serve_cached(request, now):
            return
        decision = self.leases.decide(request.key, request.path, only_if_cached=not request.may_fill)
        if decision is LeaseDecision.JOIN:
            self.counters.add("joined")
            self.waiting.add(request)
            self.leases.join(request.key, request, request.path)
        elif decision is LeaseDecision.ABORT:
            # Waiting might not close a wait cycle, so the reply names the node that the fill here waits for,
            # and the requester can ask that node.
            self.counters.add("rings_refused")
            next_hop = self.leases.joinable[request.key].source
            self.reply(request, ReplyStatus.MISS, ReplyReason.LOOP, next_hop=next_hop)
        elif not request.may_fill:
            self.reply(request, ReplyStatus.MISS, ReplyReason.SOURCE_MISS)
        elif decision is LeaseDecision.REJECT or self.waiting.count >= self.limits.max_waiting:
            self.counters.add("full")
            self.reply(request, ReplyStatus.REJECTED, ReplyReason.FILL_REJECTED)
        else:
            self.waiting.add(request)
            self._begin_fill(request, now)

    def cancel(self, request: FillRequest) -> None:
        """Closes a request whose requester no longer waits. Its fill continues, to fill the cache."""
        request.is_closed = True
        self.waiting.remove(request)

    def end_fill(self, number: int, result: FillResult, now: float) -> None:
        """Ends a fill: replies to each waiter, or begins another fill if the copy is too old for that waiter.

        Args:
            number: The number of the fill's lease; an unknown one is ignored.
            result: The copy, or the reason why there is none.
            now: The time in Unix seconds.
        """
        lease = self.leases.end(number)
        if lease is None:
            return
        copy = result.copy
        if copy is None:
            self.counters.add("fills_failed")
            for waiter_index, request in enumerate(lease.waiters):
                self._on_failed(request, waiter_index == 0, result, now)
            return
        self.cache.store(lease.key, copy, lease.waiters)
        for waiter_index, request in enumerate(lease.waiters):
            purged_at = lease.latest_purge_before(waiter_index, copy.group)
            if request.is_closed:
                continue
            if copy.generated_at < max(request.min_generated_at, purged_at):
                self._on_outdated(request, purged_at, now)
            else:
                reason = reason_of_copy(result, waiter_index == 0)
                self.reply(request, ReplyStatus.HIT, reason, copy, now - lease.started_at)

    def expire(self, now: float) -> None:
        """Replies to the requests whose deadline has passed; `now` is in Unix seconds."""
        for request in self.waiting.pop_expired(now):
            self.counters.add("late")
            self.reply(request, ReplyStatus.TIMED_OUT)

    def reply(
        self,
        request: FillRequest,
        status: ReplyStatus,
        reason: ReplyReason | None = None,
        copy: CachedCopy | None = None,
        fill_s: float = 0.0,
        next_hop: str = "",
    ) -> None:
        """Closes a request and adds its reply to the actions, unless the request is closed already."""
        if request.is_closed:
            return
        is_known = copy is not None and request.known_tag is not None and request.known_tag == copy.tag
        if status is ReplyStatus.HIT and is_known:
            status = ReplyStatus.NOT_MODIFIED
        self.cancel(request)
        self.counters.add(f"answered.{status.value}")
        self.actions.append(Reply(request, status, reason, copy, fill_s, next_hop))

    def _serve_cached(self, request: FillRequest, now: float) -> bool:
        """Replies with the cached copy, and refreshes a stale one; returns whether a reply was sent."""
        served = self.cache.lookup(request)
        if served is None:
            return False
        if served.reason is ReplyReason.STALE and request.refreshes_stale:
            self._refresh(request, now)
        self.reply(request, ReplyStatus.HIT, served.reason, served.copy)
        return True

    def _refresh(self, request: FillRequest, now: float) -> None:
        """Begins a fill that replaces a stale copy in the cache; no requester waits for it."""
        if self.leases.decide(request.key, request.path) is not LeaseDecision.BEGIN:
            return
        self.counters.add("renewed")
        refresh = FillRequest(
            requester=None,
            object_name=request.object_name,
            part=request.part,
            class_name=request.class_name,
            min_generated_at=now,
            deadline=now,
            path=request.path,
            is_closed=True,
        )
        self._begin_fill(refresh, now)

    def _begin_fill(self, request: FillRequest, now: float) -> None:
        """Begins a fill, which later requests for the same object and part join."""
        path = (request.path or self._new_path(now)).extended_by(self.name)
        lease = self.leases.begin(request.key, path, now, request)
        purged_at = self.cache.purges.latest_of_object(request.object_name)
        lease.min_generated_at = max(request.min_generated_at, purged_at)
        lease.sources.extend(self.source_selector.sources(request, path, now))
        self.counters.add("fills")
        order = StartFill(
            number=lease.number,
            key=lease.key,
            class_name=request.class_name,
            min_generated_at=lease.min_generated_at,
            topology_version=self.source_selector.migration.version,
            max_duration_s=self.limits.max_fill_s,
        )
        self.actions.append(order)

    def _new_path(self, now: float) -> FillPath:
        """Returns an empty path whose start time, together with this node's name, is unique."""
        self.last_started_us = max(self.last_started_us + 1, int(now * 1e6))
        return FillPath(self.last_started_us, ())

    def _on_outdated(self, request: FillRequest, purged_at: float, now: float) -> None:
        """Restarts a request for which the copy is too old; without restarts left it gets a miss."""
        request.min_generated_at = max(request.min_generated_at, purged_at)
        if has_restarts_left(request, self.limits.max_restarts):
            self._restart(request, now)
        else:
            self.reply(request, ReplyStatus.MISS, ReplyReason.SOURCE_MISS)

    def _on_failed(self, request: FillRequest, is_first: bool, result: FillResult, now: float) -> None:
        """Restarts a request whose fill has failed, or replies with the reason."""
        if request.is_closed:
            return
        if may_restart_after(result, request, is_first, self.limits.max_restarts, now):
            self._restart(request, now)
            return
        failure = reply_to_failure(result)
        self.reply(request, failure.status, failure.reason)

    def _restart(self, request: FillRequest, now: float) -> None:
        """Serves a request again: from the cache, by another fill in flight, or by a new fill."""
        request.restarts += 1
        self.waiting.remove(request)
        self.counters.add("fills_again")
        self.serve(request, now)
