"""The fleet's verdicts on sources and caches, from what several routers have observed in the last seconds.

Each router sends only its own observations (`evidence_reports.py`), never those that it has received. Valid
evidence (`evidence_store.py`) becomes a verdict after a majority (`verdict_rules.py`) has lasted for
`SETTLE_S`, during which routers that the subject serves can answer. A router's own evidence counts like that
of any other router, but a router that the subject has served since the majority began ignores the verdict. A
verdict only makes a router start its own probe of the subject earlier.
"""

from typing import ClassVar

from paddlequay.cluster.evidence_reports import EvidenceReports
from paddlequay.cluster.evidence_store import EvidenceStore, SubjectRecord
from paddlequay.cluster.messages import Evidence, PeerMessage
from paddlequay.cluster.settings import ClusterSettings
from paddlequay.cluster.types import (
    NEVER,
    Action,
    Fault,
    Fleet,
    LocalEvent,
    NameDigest,
    Peer,
    PeerChanged,
    SelfChanged,
    VerdictChanged,
)
from paddlequay.cluster.verdict_rules import (
    DOWN_FAULTS,
    MIN_WITNESSES,
    Observation,
    Verdict,
    find_witnesses,
    most_common_fault,
)

SETTLE_S = 0.1  # how long a majority must last before it becomes a verdict
OPEN_POLL_INTERVAL_S = 0.1  # between ticks while there are open subjects
IDLE_POLL_INTERVAL_S = 0.25  # between ticks while there are none, so that a stall is detected
MIN_STALL_S = 0.1  # a tick that is later than this is a stall


class ReceiveDelay:
    """Estimates how long a received message may have waited in the socket during a stall of this process."""

    def __init__(self, now: float) -> None:
        self.last_tick_at = now
        self._stall_s = 0.0
        self._applies_until = -NEVER

    def detect_stall(self, now: float) -> None:
        """Detects a stall by a late tick. Messages that are read soon after it may be as old as the stall."""
        since_tick_s = now - self.last_tick_at
        if since_tick_s > IDLE_POLL_INTERVAL_S + MIN_STALL_S:
            self._stall_s = since_tick_s
            self._applies_until = now + IDLE_POLL_INTERVAL_S
            self.last_tick_at = now

    def seconds(self, now: float) -> float:
        """Returns how many seconds a message that is read now may have waited."""
        return self._stall_s if now <= self._applies_until else 0.0


class Verdicts:
    """Turns evidence into verdicts; a `Component`. `record_attempt` adds this router's own evidence."""

    HANDLED_MESSAGES: ClassVar[tuple[type[PeerMessage], ...]] = (Evidence,)

    def __init__(self, fleet: Fleet, settings: ClusterSettings, now: float) -> None:
        self._fleet = fleet
        self._max_age_s = settings.bounds.evidence_s
        self._store = EvidenceStore(settings.bounds)
        self._reports = EvidenceReports(fleet, settings.bounds, self._store)
        self._receive_delay = ReceiveDelay(now)

    def verdict_on(self, subject: NameDigest, now: float) -> Verdict | None:
        """Returns the verdict on a subject; None without one, or if the subject served this router since."""
        record = self._store.get(subject)
        if record is None or record.majority_since is None or now - record.majority_since < SETTLE_S:
            return None
        if self._was_served_since(record, record.majority_since, now):
            return None
        return self._evaluate(record, now)

    def should_probe_early(self, subject: NameDigest, now: float) -> bool:
        """Returns whether to probe a subject before this router's own failures would cause a probe."""
        verdict = self.verdict_on(subject, now)
        return verdict is not None and verdict.fault in DOWN_FAULTS

    def record_restart(self, subject: NameDigest, start_ms: int, now: float) -> list[Action]:
        """Handles a restart of a subject that the endpoint list shows: earlier evidence no longer counts.

        Args:
            subject: digest of the member's name.
            start_ms: Unix time of the subject's start in milliseconds.
            now: this router's clock in seconds.
        """
        record = self._store.use(subject)
        record.start_ms = max(record.start_ms, start_ms)
        return self._publish(subject, record, now)

    def record_attempt(
        self, subject: NameDigest, start_ms: int, kind: str, served: bool, fault: Fault | None, now: float
    ) -> list[Action]:
        """Records the end of an attempt of this router.

        Args:
            subject: digest of the member's name.
            start_ms: Unix time of the member's start in the endpoint list, in milliseconds; 0 unknown.
            kind: the member's kind.
            served: whether the member served.
            fault: the observed fault, possibly of a member that served; None if there was none.
            now: this router's clock in seconds.
        """
        self._receive_delay.detect_stall(now)
        record = self._store.use(subject)
        began_before_restart = 0 < start_ms < record.start_ms
        if began_before_restart:
            return []
        record.start_ms = max(record.start_ms, start_ms)
        self._store.add_own(record, kind, served, fault, now)
        return self._reports.report(subject, record, now) + self._publish(subject, record, now)

    def handle_message(
        self, sender: Peer, incarnation: int, message: PeerMessage, now: float
    ) -> list[Action]:
        """Handles the evidence of a peer."""
        self._receive_delay.detect_stall(now)
        if not isinstance(message, Evidence) or not self._is_acceptable(sender, incarnation, message):
            return []
        self._store.note_incarnation(sender, incarnation)
        age_s = message.age_ms / 1000 + self._receive_delay.seconds(now)
        observed_at = self._store.observation_time(age_s, now)
        if now - observed_at > self._max_age_s:
            return []
        subject = message.subject
        record = self._store.use(subject)
        observation = Observation(
            incarnation,
            message.subject_start_ms,
            message.fault,
            message.attempt_count,
            observed_at,
            message.other_member_count,
        )
        if not self._store.add_of_peer(record, sender, observation):
            return []
        if message.fault:
            self._store.open_subjects.add(subject)
        # Reports depend on the state that `_publish` updates, but come first in the returned actions.
        published = self._publish(subject, record, now)
        return self._reports.report(subject, record, now) + published

    def handle_event(self, event: LocalEvent, now: float) -> list[Action]:
        """Handles a change of a peer's state or of this router's own connectivity."""
        match event:
            case PeerChanged():
                self._store.apply_peer_state(event)
            case SelfChanged():
                self._store.is_isolated = not (event.receives and event.reaches)
            case _:
                return []
        return self._update_open_subjects(now)

    def tick(self, now: float) -> list[Action]:
        """Sends due reports and updates the verdicts on open subjects."""
        self._receive_delay.detect_stall(now)
        self._receive_delay.last_tick_at = now
        return self._update_open_subjects(now)

    def due(self) -> float:
        """Returns when `tick` next has work."""
        last_tick_at = self._receive_delay.last_tick_at
        due = last_tick_at + (OPEN_POLL_INTERVAL_S if self._store.open_subjects else IDLE_POLL_INTERVAL_S)
        for _, record in self._store.open_records():
            due = min(due, record.report_at)
            if record.majority_since is not None and record.majority_since + SETTLE_S > last_tick_at:
                due = min(due, record.majority_since + SETTLE_S)
        return due

    def _is_acceptable(self, sender: Peer, incarnation: int, message: Evidence) -> bool:
        is_peer = 0 <= sender < self._fleet.size and sender != self._fleet.me
        is_usable = message.fault in (0, *Fault) and message.attempt_count >= 1
        return is_peer and is_usable and self._store.accepts_incarnation(sender, incarnation)

    def _update_open_subjects(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for subject, record in self._store.open_records():
            actions += self._reports.report(subject, record, now) + self._publish(subject, record, now)
        return actions

    def _was_served_since(self, record: SubjectRecord, since: float, now: float) -> bool:
        """Returns whether this router's last attempt on a subject was served and ended after `since`."""
        own = record.own_observation
        if own is None or own.fault or not self._store.is_own_fresh(own, now):
            return False
        return own.observed_at > since

    def _evaluate(self, record: SubjectRecord, now: float) -> Verdict | None:
        """Returns the verdict that valid evidence supports, even if the majority has not settled yet."""
        witnesses = find_witnesses(self._store.valid_evidence(record, now))
        if witnesses is None:
            return None
        age_s = max(
            now - witness.observed_at
            if witness is record.own_observation
            else self._store.age_s(witness, now)
            for witness in witnesses
        )
        return Verdict(most_common_fault(witnesses), len(witnesses), age_s)

    def _publish(self, subject: NameDigest, record: SubjectRecord, now: float) -> list[Action]:
        """Updates since when a subject has witnesses and a majority, and reports a changed verdict."""
        self._update_since(subject, record, now)
        verdict = self.verdict_on(subject, now)
        fault = verdict.fault if verdict is not None else None
        valid_until = now + self._max_age_s - verdict.age_s if verdict is not None else 0.0
        expires_soon = now >= record.published_until - OPEN_POLL_INTERVAL_S
        extends = valid_until > record.published_until
        if fault is record.published and not (expires_soon and extends):
            return []
        record.published = fault
        record.published_until = valid_until
        return [VerdictChanged(subject, fault, valid_until)]

    def _update_since(self, subject: NameDigest, record: SubjectRecord, now: float) -> None:
        valid = self._store.valid_evidence(record, now)
        fault_count = sum(observation.fault != 0 for observation in valid)
        if fault_count < MIN_WITNESSES:
            record.witnesses_since = None
        elif record.witnesses_since is None:
            record.witnesses_since = now
        if self._evaluate(record, now) is None:
            record.majority_since = None
        elif record.majority_since is None:
            record.majority_since = now
        if record.report_at == NEVER and not fault_count:
            self._store.open_subjects.discard(subject)
        else:
            self._store.open_subjects.add(subject)
