"""Outlier detection: failures of members, who is ejected for them, and probes of who is."""

from collections.abc import Callable, Iterable

from paddlequay.routing.interface import Action, LogMessage
from paddlequay.routing.state import Upstream

EJECTION_FAILURES = 3  # consecutive failures: one is chance, three in a row hardly ever
PROBE_DELAY_S = 5.0  # an ejected member gets one probe after this long
SAME_FAULT_S = 0.05  # connections lost so close together count once: one that breaks ends all that is on it
RECENT_SUCCESS_S = 1.0  # a plain error says little of a member that has served within this time

CancelWaiting = Callable[[Upstream], Iterable[Action]]


class OutlierDetector:
    """Who fails; `cancel_waiting` gives the actions that cancel what waits at a member just ejected."""

    def __init__(self, cancel_waiting: CancelWaiting) -> None:
        self.cancel_waiting = cancel_waiting

    def is_usable(self, upstream: Upstream, now: float) -> bool:
        """Whether a member is not ejected, or is due its probe."""
        return not upstream.ejected or (upstream.probe_request is None and now >= upstream.probe_at)

    def begin_probe(self, upstream: Upstream, request_id: str) -> None:
        """A request goes there: the probe of a member that is ejected, if it has none yet."""
        if upstream.ejected and upstream.probe_request is None:
            upstream.probe_request = request_id

    def end_probe(self, upstream: Upstream, request_id: str) -> None:
        """The request has ended; if it was the probe, another may follow."""
        if upstream.probe_request == request_id:
            upstream.probe_request = None

    def record_success(self, upstream: Upstream, now: float) -> list[Action]:
        """A member has answered: it is no outlier any more."""
        actions: list[Action] = []
        if upstream.ejected:
            actions.append(LogMessage(f"{upstream.member.name} answers again"))
        upstream.last_success_at, upstream.failures, upstream.ejected = now, 0, False
        return actions

    def record_hint(self, upstream: Upstream, now: float) -> None:
        """Other routers report that it fails: it is probed first, unless it has served here lately."""
        if not upstream.ejected and now - upstream.last_success_at > RECENT_SUCCESS_S:
            upstream.ejected, upstream.probe_at, upstream.failures = True, now, EJECTION_FAILURES - 1

    def record_failure(self, upstream: Upstream, connection_broke: bool, now: float) -> list[Action]:
        """Eject after consecutive failures; a failed probe puts the next one off."""
        if connection_broke and now - upstream.last_failure_at < SAME_FAULT_S:
            return []
        upstream.last_failure_at, upstream.failures = now, upstream.failures + 1
        if upstream.failures < EJECTION_FAILURES:
            return []
        was_ejected, upstream.ejected, upstream.probe_at = upstream.ejected, True, now + PROBE_DELAY_S
        if was_ejected:
            return []
        message = LogMessage(f"{upstream.member.name} skipped after {upstream.failures} failures")
        return [message, *self.cancel_waiting(upstream)]
