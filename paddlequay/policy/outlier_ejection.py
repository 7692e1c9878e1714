"""Outlier ejection: excludes members after consecutive failures, and probes them after a delay."""

from collections.abc import Callable, Iterable

from paddlequay.routing.interface import Action, LogMessage
from paddlequay.routing.state import Upstream

EJECTION_FAILURES = 3  # consecutive failures that eject a member; two in a row happen by chance
PROBE_DELAY_S = 5.0
SAME_FAILURE_S = 0.05  # a connection lost within this time after another failure is not counted again
# Outlier reports, and errors without a reply detail, do not count against a member that has served within
# this time.
RECENT_SUCCESS_S = 1.0

CancelPending = Callable[[Upstream], Iterable[Action]]


class OutlierDetector:
    """Ejects members after consecutive failures and admits one probe at a time to an ejected one.

    Args:
        cancel_pending: Returns the actions that cancel the requests pending at a member just ejected.
    """

    def __init__(self, cancel_pending: CancelPending) -> None:
        self.cancel_pending = cancel_pending

    def is_usable(self, upstream: Upstream, now: float) -> bool:
        """Whether a member is not ejected, or is due for a probe."""
        return not upstream.ejected or (upstream.probe_request is None and now >= upstream.probe_at)

    def begin_probe(self, upstream: Upstream, request_id: str) -> None:
        """Makes a request that is sent to an ejected member its probe, unless another one is."""
        if upstream.ejected and upstream.probe_request is None:
            upstream.probe_request = request_id

    def end_probe(self, upstream: Upstream, request_id: str) -> None:
        """Allows another probe if the request that ended was the probe."""
        if upstream.probe_request == request_id:
            upstream.probe_request = None

    def record_success(self, upstream: Upstream, now: float) -> list[Action]:
        """Readmits a member that has answered; returns a log message if it was ejected."""
        was_ejected = upstream.ejected
        upstream.last_success_at = now
        upstream.failures = 0
        upstream.ejected = False
        return [LogMessage(f"{upstream.member.name} answers again")] if was_ejected else []

    def record_outlier_report(self, upstream: Upstream, now: float) -> None:
        """Ejects a member that other routers report as failing, with a probe due at once.

        Ignores the report if the member is ejected already or has recently served a request of this router.
        """
        if upstream.ejected or now - upstream.last_success_at <= RECENT_SUCCESS_S:
            return
        upstream.ejected = True
        upstream.probe_at = now
        upstream.failures = EJECTION_FAILURES - 1

    def record_failure(self, upstream: Upstream, connection_broke: bool, now: float) -> list[Action]:
        """Counts a failure, and ejects the member after `EJECTION_FAILURES` in a row.

        Args:
            upstream: The member at fault.
            connection_broke: Whether a connection was lost, which ends all requests on it at the same time.
            now: Seconds of the router's clock.

        Returns:
            A log message and the cancellation of pending requests if the member has just been ejected.
        """
        if connection_broke and now - upstream.last_failure_at < SAME_FAILURE_S:
            return []
        upstream.last_failure_at = now
        upstream.failures += 1
        if upstream.failures < EJECTION_FAILURES:
            return []
        was_ejected = upstream.ejected
        upstream.ejected = True
        upstream.probe_at = now + PROBE_DELAY_S
        if was_ejected:
            return []
        message = LogMessage(f"{upstream.member.name} skipped after {upstream.failures} failures")
        return [message, *self.cancel_pending(upstream)]
