"""Permits of the fleet's limits: a request needs one to be admitted, an attempt needs one to be written.

`cluster/fleet_limits.py` decides. This module records the permits of each request and attempt, and releases
each permit once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from paddlequay.cluster.fleet_limits import FleetLimits, LimitKey, Permit
from paddlequay.cluster.limit_registry import ANY_VALUE
from paddlequay.cluster.settings import ClusterSettings, LimitScope, PartitionMode
from paddlequay.observability.counters import Counters
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, ClientRequest, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import Member, Outcome, ReplyDetail

NO_LIMITS_RETRY_S = 0.3  # for a request that a strict limit rejects while this process uses no limits
PERMIT_MAX_AGE_S = 0.1  # an older permit has to be renewed, unless an attempt was written under it
UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)


@dataclass(slots=True)
class RequestPermit:
    """The permit of an admitted request.

    Attributes:
        permit: The permit; None if its renewal was rejected, or if it was of a former incarnation: the next
            attempt then needs a new one.
        granted_at: When the permit was granted, in seconds of the loop's clock.
        in_use: Whether an attempt that may have been executed was written under the permit.
    """

    permit: Permit | None
    granted_at: float
    in_use: bool = False


class LimitPermits:
    """The permits of all pending requests. `limits` is None while this process is not in the cluster."""

    def __init__(
        self, settings: ClusterSettings, exchange: Exchange, counters: Counters, clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.exchange = exchange
        self.counters = counters
        self.clock = clock
        self.limits: FleetLimits | None = None
        self.request_permits: dict[str, RequestPermit] = {}  # by serial
        self.attempt_permits: dict[str, list[tuple[UpstreamAttempt, Permit]]] = {}  # in flight, by serial
        self.named_values = {
            scope: {rule.match for rule in settings.limits if rule.scope is scope} - {ANY_VALUE}
            for scope in LimitScope
        }

    def use_limits(self, limits: FleetLimits | None) -> None:
        """Uses the limits of a new incarnation, or none; discards the permits of the former incarnation."""
        self.limits = limits
        self.attempt_permits.clear()
        for request_permit in self.request_permits.values():
            request_permit.permit = None

    def admit(self, pending_request: PendingRequest, time_left: float) -> float | None:
        """Admits or rejects a request that has `time_left` seconds.

        Returns:
            None to admit it, or the seconds after which the client may retry.
        """
        keys = self.keys_of(pending_request.request)
        if self.limits is None:
            return NO_LIMITS_RETRY_S if self.is_strict(keys) else None
        answer = self.limits.admit_all(keys, self.clock(), time_left)
        if not isinstance(answer, Permit):
            self.counters.add(f"limit.refused.{answer.rule}")
            return answer.retry_after_s
        if answer.limits:
            self.request_permits[pending_request.serial] = RequestPermit(answer, self.clock())
            self.counters.add("limit.admitted")
        return None

    @staticmethod
    def keys_of(request: ClientRequest) -> list[LimitKey]:
        """Returns the scopes and values by which limits apply to a request."""
        keys: list[LimitKey] = [(LimitScope.CLASS, request.class_name)]
        if request.group is not None:
            keys.append((LimitScope.GROUP, str(request.group)))
        if request.tenant is not None:
            keys.append((LimitScope.TENANT, request.tenant))
        return keys

    def is_strict(self, keys: Iterable[LimitKey]) -> bool:
        """Returns whether a strict limit applies: another process may still be using this router's share."""
        return any(
            rule.mode is PartitionMode.STRICT and rule.scope is scope and rule.match in (ANY_VALUE, value)
            for rule in self.settings.limits
            for scope, value in keys
        )

    def request_ended(self, pending_request: PendingRequest) -> None:
        """Releases the permits of a request and its attempts, once it is answered or its client has left."""
        request_permit = self.request_permits.pop(pending_request.serial, None)
        if request_permit is not None and request_permit.permit is not None:
            self._release(request_permit.permit)
        for _, permit in self.attempt_permits.pop(pending_request.serial, ()):
            self._release(permit)

    def before_write(self, attempt: UpstreamAttempt, time_left: float) -> ReplyDetail | None:
        """Admits or rejects an attempt that has `time_left` seconds; renews its request's permit if needed.

        Returns:
            None to admit it, or the detail with which the attempt is rejected.
        """
        if not self._renew(attempt):
            self.counters.add("limit.too_late")
            return ReplyDetail.FILL_LIMIT
        fetch = attempt.fetch
        is_fill = fetch.source != fetch.target
        rejection = ReplyDetail.SOURCE_REJECTED if is_fill else ReplyDetail.FILL_LIMIT
        keys = self._keys_of_attempt(attempt)
        if self.limits is None:
            return rejection if self.is_strict(keys) else None
        answer = self.limits.admit_all(keys, self.clock(), time_left)
        if not isinstance(answer, Permit):
            self.counters.add(f"limit.refused.{answer.rule}")
            return rejection
        serial = attempt.pending.serial
        if answer.limits:
            self.attempt_permits.setdefault(serial, []).append((attempt, answer))
        request_permit = self.request_permits.get(serial)
        if request_permit is not None:
            request_permit.in_use = True
        return None

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Releases the permit of an attempt, whether it was written or not."""
        serial = attempt.pending.serial
        request_permit = self.request_permits.get(serial)
        if request_permit is not None and result.outcome in UNEXECUTED_OUTCOMES:
            # No attempt has been executed yet, so the next one needs a permit that is recent enough.
            request_permit.in_use = False
        for index, (other, permit) in enumerate(self.attempt_permits.get(serial, ())):
            if other is attempt:
                self._release(permit)
                del self.attempt_permits[serial][index]
                return

    def keys_of_member(self, scope: LimitScope, name: str) -> Iterable[LimitKey]:
        """Yields the keys of a member: its name, and its kind if a limit names that kind."""
        member: Member | None = self.exchange.members.get(name)
        if member is None:
            return
        yield scope, member.name
        if member.kind is not None and member.kind in self.named_values[scope]:
            yield scope, member.kind

    def _keys_of_attempt(self, attempt: UpstreamAttempt) -> list[LimitKey]:
        fetch = attempt.fetch
        if fetch.source != fetch.target:
            cache = self.keys_of_member(LimitScope.MEMBER, fetch.target)
            return [*cache, *self.keys_of_member(LimitScope.SOURCE, fetch.source)]
        if fetch.target in self.exchange.router.edge_names():
            return list(self.keys_of_member(LimitScope.MEMBER, fetch.target))
        return list(self.keys_of_member(LimitScope.SOURCE, fetch.target))  # bypasses the caches

    def _renew(self, attempt: UpstreamAttempt) -> bool:
        """Returns whether the request's permit allows an attempt to be written; renews an old permit.

        An attempt must not use an old permit after this process was stopped or the attempt waited for a
        connection. A permit under which an attempt may have been executed is not renewed.
        """
        pending_request = attempt.pending
        now = self.clock()
        request_permit = self.request_permits.get(pending_request.serial)
        if request_permit is None or request_permit.in_use:
            return True
        if request_permit.permit is not None and now - request_permit.granted_at <= PERMIT_MAX_AGE_S:
            return True
        keys = self.keys_of(pending_request.request)
        if self.limits is None:
            return not self.is_strict(keys)
        if request_permit.permit is not None:
            self.limits.release(request_permit.permit, now)
        # For the remaining time of the request, which may outlast this attempt.
        answer = self.limits.admit_all(keys, now, pending_request.deadline - now)
        request_permit.permit = answer if isinstance(answer, Permit) else None
        request_permit.granted_at = now
        return request_permit.permit is not None

    def _release(self, permit: Permit) -> None:
        if self.limits is not None:
            self.limits.release(permit, self.clock())
