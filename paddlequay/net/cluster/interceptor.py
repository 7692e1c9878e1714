"""What the cluster does with each request and attempt of the exchange, which asks at the moment of use.

Limits admit or reject; live channels and placement prepare the decisions; ends of attempts become evidence.
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


class JoinedParts(Protocol):
    """What the driver has joined to the exchange at this moment; None for what is not in use."""

    session: ClusterSession | None
    prefetcher: "ChannelPrefetcher | None"
    placement: "PlacementTables | None"


class ClusterInterceptor:
    """Implements the exchange's `RequestInterceptor`. No error of the cluster costs a request its answer."""

    def __init__(
        self, driver: JoinedParts, permits: LimitPermits, verdicts: VerdictExchange, counters: Counters
    ) -> None:
        self._driver = driver
        self._permits = permits
        self._verdicts = verdicts
        self._counters = counters

    def admit(self, item: PendingRequest, left: float) -> float | None:
        """Returns None to admit a request, or the seconds after which its client may retry."""
        retry_after_s = self._permits.admit(item, left)
        with self._contained():
            if retry_after_s is None and self._driver.prefetcher is not None:
                self._driver.prefetcher.admit(item)
            if retry_after_s is None and self._driver.placement is not None:
                self._driver.placement.prepare_request(item.request)
            self._wake()
        return retry_after_s

    def before_write(self, attempt: UpstreamAttempt, left: float) -> ReplyDetail | None:
        """Returns None to have an attempt written, or the detail under which it is rejected."""
        # Also after this process has left: a prefetch that still waits is rejected by its term.
        detail = (
            self._driver.prefetcher.before_write(attempt) if self._driver.prefetcher is not None else None
        )
        detail = detail or self._permits.before_write(attempt, left)
        with self._contained():
            self._wake()
        return detail

    def attempt_ended(self, attempt: UpstreamAttempt, end: AttemptResult) -> None:
        """Gives back what an attempt held, and reports what its end shows about members."""
        with self._contained():
            self._permits.attempt_ended(attempt, end)
            self._report_attempt(attempt, end)

    def request_ended(self, item: PendingRequest) -> None:
        """Gives back what a request held."""
        with self._contained():
            self._permits.request_ended(item)
            if self._driver.prefetcher is not None:
                self._driver.prefetcher.request_ended(item)

    @contextlib.contextmanager
    def _contained(self) -> Iterator[None]:
        """Counts and logs any error of the cluster: it must not cost a request its answer."""
        try:
            yield
        except Exception:  # the edge between a request and the cluster
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
        """Sends messages and sets the timer anew, where the cluster has work before the timer."""
        if self._driver.session is not None:
            self._driver.session.transport.wake(self._driver.session.due())
