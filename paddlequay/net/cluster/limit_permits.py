"""Permits of the fleet's limits: a request needs one before it is admitted, an attempt before it is written.

`cluster/fleet_limits.py` decides; this module keeps which request and which attempt has which permit, so that
each is released once.
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

NO_LIMITS_RETRY_S = 0.3  # told a client whose request a strict limit rejects while this process has no share
PERMIT_MAX_AGE_S = 0.1  # a permit that no attempt was written on for longer has to be renewed
NOTHING_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS)


@dataclass(slots=True)
class RequestPermit:
    """What a request was admitted by.

    Attributes:
        permit: None once its renewal was rejected: the request has to ask again.
        granted_at: When the permit was granted, in seconds of the loop's clock.
        in_use: Whether an attempt was written on it that may have run.
    """

    permit: Permit | None
    granted_at: float
    in_use: bool = False


class LimitPermits:
    """The permits of all requests that are pending. `limits` is None while this process has no share."""

    def __init__(
        self, settings: ClusterSettings, exchange: Exchange, counters: Counters, clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.exchange = exchange
        self.counters = counters
        self.clock = clock
        self.limits: FleetLimits | None = None
        self.requests: dict[str, RequestPermit] = {}  # by serial
        self.attempts: dict[str, list[tuple[UpstreamAttempt, Permit]]] = {}  # in flight, by serial
        self.named_values = {
            scope: {rule.match for rule in settings.limits if rule.scope is scope} - {ANY_VALUE}
            for scope in LimitScope
        }

    def use_limits(self, limits: FleetLimits | None) -> None:
        """Starts another incarnation in the cluster, or none, to which former permits mean nothing."""
        self.limits = limits
        self.attempts.clear()
        for request in self.requests.values():
            request.permit = None

    # --- requests ---

    def admit(self, item: PendingRequest, left: float) -> float | None:
        """Admits a request that has `left` seconds.

        Returns:
            None, or the seconds after which the client may retry.
        """
        keys = self.keys_of(item.request)
        if self.limits is None:
            return NO_LIMITS_RETRY_S if self.is_strict(keys) else None
        answer = self.limits.admit_all(keys, self.clock(), left)
        if not isinstance(answer, Permit):
            self.counters.add(f"limit.refused.{answer.rule}")
            return answer.retry_after_s
        if answer.limits:
            self.requests[item.serial] = RequestPermit(answer, self.clock())
            self.counters.add("limit.admitted")
        return None

    @staticmethod
    def keys_of(request: ClientRequest) -> list[LimitKey]:
        """Returns the scopes and values that a request falls under."""
        keys: list[LimitKey] = [(LimitScope.CLASS, request.class_name)]
        if request.group is not None:
            keys.append((LimitScope.GROUP, str(request.group)))
        if request.tenant is not None:
            keys.append((LimitScope.TENANT, request.tenant))
        return keys

    def is_strict(self, keys: Iterable[LimitKey]) -> bool:
        """Returns whether a strict limit is among these, of which another process may still use the share."""
        return any(
            rule.mode is PartitionMode.STRICT and rule.scope is scope and rule.match in (ANY_VALUE, value)
            for rule in self.settings.limits
            for scope, value in keys
        )

    def request_ended(self, item: PendingRequest) -> None:
        """Releases what a request has, once it has its final answer or its client has left."""
        request = self.requests.pop(item.serial, None)
        if request is not None and request.permit is not None:
            self._release(request.permit)
        for _, permit in self.attempts.pop(item.serial, ()):
            self._release(permit)

    # --- attempts ---

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        """Admits an attempt that has `left` seconds, and renews the permit of its request if need be.

        Returns:
            None, or the detail under which the attempt counts as rejected.
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
        answer = self.limits.admit_all(keys, self.clock(), left)
        if not isinstance(answer, Permit):
            self.counters.add(f"limit.refused.{answer.rule}")
            return rejection
        serial = attempt.pending.serial
        if answer.limits:
            self.attempts.setdefault(serial, []).append((attempt, answer))
        request = self.requests.get(serial)
        if request is not None:
            request.in_use = True
        return None

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Releases what an attempt has, written or not."""
        serial = attempt.pending.serial
        request = self.requests.get(serial)
        if request is not None and result.outcome in NOTHING_RAN:
            # The next attempt is the first that may run: it needs a permit that is young enough.
            request.in_use = False
        for index, (other, permit) in enumerate(self.attempts.get(serial, ())):
            if other is attempt:
                self._release(permit)
                del self.attempts[serial][index]
                return

    def keys_of_member(self, scope: LimitScope, name: str) -> Iterable[LimitKey]:
        """Yields what a member falls under: its name, and its kind where a limit is set for that."""
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
        return list(self.keys_of_member(LimitScope.SOURCE, fetch.target))  # asked past the caches

    def _renew(self, attempt: UpstreamAttempt) -> bool:
        """Returns whether the request's permit is valid for a write; renews one that is too old.

        A process that was stopped, or waited for a connection, must not act on an old permit. One that an
        attempt may have run on is not renewed.
        """
        item = attempt.pending
        now = self.clock()
        request = self.requests.get(item.serial)
        if request is None or request.in_use:
            return True
        if request.permit is not None and now - request.granted_at <= PERMIT_MAX_AGE_S:
            return True
        keys = self.keys_of(item.request)
        if self.limits is None:
            return not self.is_strict(keys)
        if request.permit is not None:
            self.limits.release(request.permit, now)
        # For all that is left of the request, not of the attempt: it may go on after that.
        answer = self.limits.admit_all(keys, now, item.deadline - now)
        request.permit = answer if isinstance(answer, Permit) else None
        request.granted_at = now
        return request.permit is not None

    def _release(self, permit: Permit) -> None:
        if self.limits is not None:
            self.limits.release(permit, self.clock())
