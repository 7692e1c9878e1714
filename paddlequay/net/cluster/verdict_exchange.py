"""Connects verdicts and the exchange: attempts become evidence, verdicts become outlier reports."""

from collections import OrderedDict
from collections.abc import Callable

from paddlequay.cluster.evidence import evidence_of_attempt, record_evidence
from paddlequay.cluster.types import Action, NameDigest, VerdictChanged
from paddlequay.cluster.verdicts import Verdicts
from paddlequay.observability.counters import Counters
from paddlequay.placement.homes import digest
from paddlequay.requests.exchange import Exchange
from paddlequay.requests.messages import AttemptResult, UpstreamAttempt
from paddlequay.routing.interface import Outcome, OutlierReported

MAX_MEMBER_NAMES = 20_000


class MemberNames:
    """The names of members by digest; keeps the `MAX_MEMBER_NAMES` most recently used."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._names: OrderedDict[NameDigest, str] = OrderedDict()

    def digest_of(self, name: str) -> NameDigest:
        """Returns the digest of a member's name, and stores the name."""
        subject = digest(name)
        self._names[subject] = name
        self._names.move_to_end(subject)
        if len(self._names) > MAX_MEMBER_NAMES:
            self._names.popitem(last=False)
        return subject

    def find(self, subject: NameDigest) -> str | None:
        """Returns the name of a subject, even if this router has not used the member yet; None if unknown."""
        if subject not in self._names:
            for name in self._exchange.members:
                self.digest_of(name)
        return self._names.get(subject)

    def latest(self, count: int) -> list[tuple[NameDigest, str]]:
        """Returns the `count` most recently used names with their digests."""
        return list(self._names.items())[-count:]


class VerdictExchange:
    """Passes evidence from the exchange to the verdicts, and verdicts to the routing decisions."""

    def __init__(self, exchange: Exchange, counters: Counters, clock: Callable[[], float]) -> None:
        self._exchange = exchange
        self._counters = counters
        self._clock = clock
        self.names = MemberNames(exchange)

    def record_attempt(
        self, verdicts: Verdicts, attempt: UpstreamAttempt, result: AttemptResult
    ) -> list[Action]:
        """Passes the evidence of an attempt to the verdicts, and returns the actions that follow."""
        origins = self._exchange.router.state.members.origins
        origin = origins[0].member.name if origins else None
        evidence = evidence_of_attempt(
            attempt.fetch, result.outcome, result.detail, result.unresponsive, origin
        )
        return record_evidence(
            verdicts, evidence, self._exchange.members.get, self.names.digest_of, self._clock()
        )

    def is_evidence(self, attempt: UpstreamAttempt, result: AttemptResult) -> bool:
        """Returns whether an attempt gives evidence: it was written, and had enough time for an answer."""
        if attempt.written_at is None:
            return False
        if result.outcome is not Outcome.TIMEOUT:
            return True
        request_class = self._exchange.router.classes[attempt.pending.request.class_name]
        return attempt.expires_at - attempt.started_at >= request_class.latency_objective

    def deliver(self, verdicts: Verdicts, event: VerdictChanged) -> None:
        """Counts a verdict, and reports the member as an outlier if it should be probed early."""
        name = self.names.find(event.subject)
        if name is None:
            return
        fault = event.fault.name.lower() if event.fault else "none"
        self._counters.add(f"cluster.word.{fault}")
        if verdicts.should_probe_early(event.subject, self._clock()):
            self._counters.add("cluster.words_passed_on")
            self._exchange.deliver(OutlierReported(name))
