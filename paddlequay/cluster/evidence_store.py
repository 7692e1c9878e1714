"""All evidence that this router has on subjects, its own and that of peers, and which of it is valid now.

Evidence of a peer does not count while the peer is suspect or dead, after it or the subject has restarted, or
where no other member of the subject's kind serves the peer: it may be isolated itself.

Clocks are not compared. The age of a peer's evidence is the stated age plus the time since it was received,
both with the clock drift, plus `TRANSIT_S`. It is checked whenever a verdict is asked for, so that nothing
older than `ClusterBounds.evidence_s` counts, provided that no datagram is under way for longer than
`TRANSIT_S`.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.types import NEVER, ClusterBounds, Fault, NameDigest, Peer, PeerChanged, PeerState
from paddlequay.cluster.verdict_rules import DOWN_FAULTS, Observation, fault_group

TRANSIT_S = 0.5  # in the sender's outbox and on the network; evidence is valid for that much less
MAX_SUBJECTS = 256  # more than the endpoint list has near one router
MAX_WITNESSES = 64  # for each subject
MAX_ATTEMPT_COUNT = 1 << 20


@dataclass(slots=True)
class SubjectRecord:
    """What is known about one subject. Times are seconds of this router's clock."""

    kind: str = ""
    start_ms: int = 0  # Unix time of the subject's start, by this router's endpoint list
    own: Observation | None = None
    last_served_at: float = -NEVER  # when it last served this router
    by_peer: dict[Peer, Observation] = field(default_factory=dict)
    last_report: Observation | None = None  # what was last sent to peers, with the time of sending
    report_at: float = NEVER  # when the next report is due
    witnesses_since: float | None = None  # since when there are enough witnesses, whatever their weight
    majority_since: float | None = None  # since when they have the majority
    published: Fault | None = None  # the verdict as other components know it
    published_until: float = 0.0


class EvidenceStore:
    """The records of subjects, and the peers whose evidence counts. Keeps `MAX_SUBJECTS`, the latest used."""

    def __init__(self, bounds: ClusterBounds) -> None:
        self._max_age_s = bounds.evidence_s
        self._drift_factor = 1.0 + bounds.drift_ratio
        self._records: dict[NameDigest, SubjectRecord] = {}  # the one used last at the end
        self._incarnations: dict[Peer, int] = {}
        self._unreliable: set[Peer] = set()
        self.open_subjects: set[NameDigest] = set()  # with a fault, or with a report to send
        self.is_isolated = False

    # --- records ---

    def get(self, subject: NameDigest) -> SubjectRecord | None:
        """Returns the record of a subject; None where nothing is known about it."""
        return self._records.get(subject)

    def use(self, subject: NameDigest) -> SubjectRecord:
        """Returns the record of a subject, a new one if need be; drops the one unused for longest."""
        record = self._records.pop(subject, None)
        if record is None:
            record = SubjectRecord()
            while len(self._records) >= MAX_SUBJECTS:
                self._drop(next(iter(self._records)))
        self._records[subject] = record
        return record

    def _drop(self, subject: NameDigest) -> None:
        del self._records[subject]
        self.open_subjects.discard(subject)

    def open_records(self) -> Iterator[tuple[NameDigest, SubjectRecord]]:
        """Returns the open subjects with their records, in order of their digests."""
        for subject in sorted(self.open_subjects):
            yield subject, self._records[subject]

    # --- evidence ---

    def add_own(
        self, record: SubjectRecord, kind: str, served: bool, fault: Fault | None, now: float
    ) -> None:
        """Records the end of an attempt of this router; an attempt that served may show a fault as well."""
        record.kind = kind
        if served:
            record.last_served_at = now
        observed = self._observed_fault(served, fault)
        count = 1
        if record.own is not None and self._continues(record, record.own, observed, now):
            count = min(record.own.attempt_count + 1, MAX_ATTEMPT_COUNT)
        record.own = Observation(0, record.start_ms, observed, count, now, 0)

    @staticmethod
    def _observed_fault(served: bool, fault: Fault | None) -> int:
        if fault is not None:
            return int(fault)
        return 0 if served else int(Fault.FAILING)

    def _continues(self, record: SubjectRecord, own: Observation, fault: int, now: float) -> bool:
        """Returns whether an attempt ended as the one before it, at the same start of the subject."""
        same_end = fault_group(own.fault) == fault_group(fault)
        same_start = own.subject_start_ms in (0, record.start_ms)
        return same_end and same_start and self.is_own_fresh(own, now)

    def accepts_incarnation(self, peer: Peer, incarnation: int) -> bool:
        """Returns whether an incarnation is no earlier than any known one of a peer."""
        return incarnation >= self._incarnations.get(peer, 0)

    def note_incarnation(self, peer: Peer, incarnation: int) -> None:
        """Records an incarnation of a peer; evidence of earlier ones no longer counts."""
        self._incarnations[peer] = max(self._incarnations.get(peer, 0), incarnation)

    def add_of_peer(self, record: SubjectRecord, peer: Peer, observation: Observation) -> bool:
        """Records a peer's evidence. Returns False for evidence that a later one has overtaken."""
        previous = record.by_peer.get(peer)
        if previous is None and len(record.by_peer) >= MAX_WITNESSES:
            oldest = min(record.by_peer, key=lambda other: record.by_peer[other].observed_at)
            del record.by_peer[oldest]
        same_process = previous is not None and previous.incarnation == observation.incarnation
        if previous is not None and same_process and previous.observed_at > observation.observed_at:
            return False
        record.by_peer[peer] = observation
        return True

    def apply_peer_state(self, event: PeerChanged) -> None:
        """Records whether the evidence of a peer counts, after liveness has reported a change."""
        self.note_incarnation(event.peer, event.incarnation)
        if event.state in (PeerState.SUSPECT, PeerState.DEAD):
            self._unreliable.add(event.peer)
        else:
            self._unreliable.discard(event.peer)

    # --- validity ---

    def observation_time(self, age_s: float, now: float) -> float:
        """Returns when evidence of a stated age was observed at the latest, by this router's clock."""
        return now - age_s * self._drift_factor

    def age_s(self, observation: Observation, now: float) -> float:
        """Returns the age of a peer's evidence at most, with clock drift and its time under way."""
        return (now - observation.observed_at) * self._drift_factor + TRANSIT_S

    def is_fresh(self, observation: Observation, now: float) -> bool:
        """Returns whether a peer's evidence is recent enough to count."""
        return self.age_s(observation, now) <= self._max_age_s

    def is_own_fresh(self, own: Observation, now: float) -> bool:
        """Returns whether this router's own evidence is recent enough to count."""
        return now - own.observed_at <= self._max_age_s

    def other_serving_members(self, record: SubjectRecord, now: float) -> int:
        """Returns how many other members of a subject's kind serve this router, the last attempt included."""
        return sum(
            other is not record
            and other.kind == record.kind
            and now - other.last_served_at <= self._max_age_s
            and other.own is not None
            and other.own.fault not in DOWN_FAULTS
            for other in self._records.values()
        )

    def valid_evidence(self, record: SubjectRecord, now: float) -> list[Observation]:
        """Returns all evidence on a subject that counts now, this router's own last."""
        valid = [
            observation
            for peer, observation in record.by_peer.items()
            if peer not in self._unreliable
            and self.accepts_incarnation(peer, observation.incarnation)
            and self.is_fresh(observation, now)
        ]
        own = record.own
        if own is not None and not self.is_isolated and self.is_own_fresh(own, now):
            own.other_member_count = self.other_serving_members(record, now)
            valid.append(own)
        latest_start_ms = max([record.start_ms, *(each.subject_start_ms for each in valid)])
        return [
            observation
            for observation in valid
            if observation.subject_start_ms in (0, latest_start_ms) and self._is_convincing(observation)
        ]

    @staticmethod
    def _is_convincing(observation: Observation) -> bool:
        """Returns False where the observing router may be isolated: no other member serves it either."""
        return observation.other_member_count > 0 or observation.fault not in DOWN_FAULTS
