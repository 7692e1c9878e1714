"""Connects the exchange to the cluster: called for each request and attempt.

Limits admit or reject requests, live channels and placement prepare routing decisions, and ends of attempts
become evidence for verdicts.
"""

import contextlib
import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING, Protocol

from paddlequay.net.cluster.limit_permits import LimitPermits
from paddlequay.net.cluster.session import ClusterSession
from paddlequay.net.cluster.verdict_exchange import VerdictExchange
from paddlequay.observability.counters import Counters
from paddlequay.requests.messages import AttemptResult, PendingRequest, UpstreamAttempt
from paddlequay.routing.interface import ReplyDetail

if TYPE_CHECKING:
    from paddlequay.net.cluster.channel_prefetcher import ChannelPrefetcher
    from paddlequay.net.cluster.placement_tables import PlacementTables

LOGGER = logging.getLogger(__name__)


class ActiveComponents(Protocol):
    """The parts of the driver that are active now; None for those that are not in use."""

    session: ClusterSession | None
    prefetcher: "ChannelPrefetcher | None"
    placement: "PlacementTables | None"


class ClusterInterceptor:
    """Implements the exchange's `RequestInterceptor`. An error in the cluster does not fail a request."""

    def __init__(
        self, driver: ActiveComponents, permits: LimitPermits, verdicts: VerdictExchange, counters: Counters
    ) -> None:
        self._driver = driver
        self._permits = permits
        self._verdicts = verdicts
        self._counters = counters

    def admit(self, pending: PendingRequest, time_left: float) -> float | None:
        """Returns None to admit a request, or the seconds after which its client may retry."""
        retry_after_s = self._permits.admit(pending, time_left)
        with self._suppress_cluster_errors():
            if retry_after_s is None and self._driver.prefetcher is not None:
                self._driver.prefetcher.admit(pending)
            if retry_after_s is None and self._driver.placement is not None:
                self._driver.placement.prepare_request(pending.request)
            self._wake()
        return retry_after_s

    def before_write(self, attempt: UpstreamAttempt, time_left: float) -> ReplyDetail | None:
        """Returns None to let an attempt be written, or the detail of its rejection."""
        # Also after this process has left the cluster: a prefetch that still waits is rejected by its term.
        detail = (
            self._driver.prefetcher.before_write(attempt) if self._driver.prefetcher is not None else None
        )
        detail = detail or self._permits.before_write(attempt, time_left)
        with self._suppress_cluster_errors():
            self._wake()
        return detail

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Releases an attempt's permits, and reports the evidence of its end about members."""
        with self._suppress_cluster_errors():
            self._permits.attempt_ended(attempt, result)
            self._report_attempt(attempt, result)

    def request_ended(self, pending: PendingRequest) -> None:
        """Releases a request's permits, and informs the prefetcher."""
        with self._suppress_cluster_errors():
            self._permits.request_ended(pending)
            if self._driver.prefetcher is not None:
                self._driver.prefetcher.request_ended(pending)

    @contextlib.contextmanager
    def _suppress_cluster_errors(self) -> Iterator[None]:
        """Counts and logs any error in the cluster, which must not fail the request."""
        try:
            yield
        except Exception:  # boundary between a request and the cluster
            if self._counters.add_once("cluster.errors"):
                LOGGER.exception("cluster_failed")

    def _report_attempt(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        session = self._driver.session
        if session is None or session.node.verdicts is None:
            return
        if not self._verdicts.is_evidence(attempt, result):
            return
        actions = self._verdicts.record_attempt(session.node.verdicts, attempt, result)
        if actions:
            session.execute(actions)
            session.transport.flush()
        else:
            self._wake()

    def _wake(self) -> None:
        """Sends messages and resets the timer if the cluster has work before the timer is due."""
        if self._driver.session is not None:
            self._driver.session.transport.wake(self._driver.session.due())
