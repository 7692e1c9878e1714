"""Decides when this router sends its own evidence on a subject to the other routers.

A fault is sent at once. Evidence that a subject serves is only an answer: it is sent after enough other
routers have reported a fault of the subject, unless answers of other routers already outweigh the fault. So
no evidence is sent while all members serve.
"""

from paddlequay.cluster.evidence_store import TRANSIT_ALLOWANCE_S, EvidenceStore, SubjectRecord
from paddlequay.cluster.messages import Evidence
from paddlequay.cluster.types import NEVER, Action, ClusterBounds, Fleet, NameDigest, SendMessage, Urgency
from paddlequay.cluster.verdict_rules import (
    DOWN_FAULTS,
    Observation,
    fault_group,
    is_outweighed,
)
from paddlequay.placement.homes import digest

# Answers are spread over this time, so that most routers see that enough others have answered before them.
ANSWER_SPREAD_S = 0.05
MIN_REPORT_INTERVAL_S = 0.2  # between reports on one subject, so at most five per second
REPEAT_INTERVAL_S = 0.7  # between unchanged reports, so that two are sent while evidence is valid
# In larger fleets about this many routers report on each subject: enough for a majority at a low byte rate.
MAX_REPORTING_ROUTERS = 48


class EvidenceReports:
    """Decides which observations of this router are sent, and when."""

    def __init__(self, fleet: Fleet, bounds: ClusterBounds, store: EvidenceStore) -> None:
        self._fleet = fleet
        self._store = store
        self._max_own_age_s = bounds.evidence_s - TRANSIT_ALLOWANCE_S

    def report(self, subject: NameDigest, record: SubjectRecord, now: float) -> list[Action]:
        """Sends this router's evidence on a subject if it is due; otherwise sets when it will be due."""
        record.report_at = NEVER
        own = record.own_observation
        if own is None or not self._may_report(subject, own, now):
            return []
        other_members = self._store.other_serving_members(record, now)
        if own.fault in DOWN_FAULTS and not other_members:
            return []  # receivers would ignore it, since this router may be isolated
        previous = self._previous_report(record, now)
        due = self._report_due(subject, record, own, previous, now)
        if due is None:
            return []
        if now < due:
            record.report_at = due
            self._store.open_subjects.add(subject)
            return []
        record.last_report = Observation(0, own.subject_start_ms, own.fault, own.weight, now, other_members)
        age_ms = int((now - own.observed_at) * 1000) + 1
        evidence = Evidence(
            subject, own.subject_start_ms, own.fault, own.attempt_count, age_ms, other_members
        )
        urgency = Urgency.CHANGE if self._has_changed(own, previous) else Urgency.ROUTINE
        return [SendMessage(None, evidence, urgency)]

    def _may_report(self, subject: NameDigest, own: Observation, now: float) -> bool:
        """Returns whether this router reports on a subject and its evidence would be valid on arrival."""
        too_old = now - own.observed_at > self._max_own_age_s
        return not self._store.is_isolated and not too_old and self._is_reporting_router(subject)

    def _is_reporting_router(self, subject: NameDigest) -> bool:
        size = self._fleet.size
        if size <= MAX_REPORTING_ROUTERS:
            return True
        return digest(f"{subject} {self._fleet.me}") % size < MAX_REPORTING_ROUTERS

    def _previous_report(self, record: SubjectRecord, now: float) -> Observation | None:
        """Returns this router's last report on a subject; None if it is no longer valid for receivers."""
        previous = record.last_report
        if previous is not None and now - previous.observed_at > self._max_own_age_s:
            return None
        return previous

    def _report_due(
        self,
        subject: NameDigest,
        record: SubjectRecord,
        own: Observation,
        previous: Observation | None,
        now: float,
    ) -> float | None:
        """Returns when this router's evidence is due to be sent; None if there is nothing to send."""
        is_answer = not own.fault and (previous is None or not previous.fault)
        if is_answer:
            answer_at = self._answer_due(subject, record, now)
            if answer_at is None or now < answer_at:
                return answer_at
        if previous is None:
            return now
        changed = self._has_changed(own, previous)
        if not changed and own.observed_at <= previous.observed_at:
            return None
        return previous.observed_at + (MIN_REPORT_INTERVAL_S if changed else REPEAT_INTERVAL_S)

    def _answer_due(self, subject: NameDigest, record: SubjectRecord, now: float) -> float | None:
        """Returns when to send the answer that the subject serves this router; None if none is needed."""
        if record.witnesses_since is None or self._is_outweighed(record, now):
            return None
        spread_ratio = (digest(f"{self._fleet.me} {subject}") % 1000) / 1000
        return record.witnesses_since + ANSWER_SPREAD_S * spread_ratio

    def _is_outweighed(self, record: SubjectRecord, now: float) -> bool:
        valid = self._store.valid_evidence(record, now)
        return is_outweighed(
            [observation for observation in valid if observation is not record.own_observation]
        )

    @staticmethod
    def _has_changed(own: Observation, previous: Observation | None) -> bool:
        """Returns whether this router's evidence differs from its last report."""
        if previous is None:
            return True
        gained_weight = own.fault != 0 and previous.attempt_count < own.weight
        return (
            previous.subject_start_ms != own.subject_start_ms
            or fault_group(previous.fault) != fault_group(own.fault)
            or gained_weight
        )
