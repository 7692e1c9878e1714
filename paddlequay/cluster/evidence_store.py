"""Stores the evidence on subjects, this router's own and that of peers, and decides which of it is valid now.

Evidence of a peer is not valid while the peer is suspect or dead, or after the peer or the subject has
restarted. A peer's report that a subject is failing or silent is not valid either if no other member of the
subject's kind serves that peer, because the peer itself may then be isolated.

Clocks of different routers are not compared. The age of a peer's evidence is the stated age plus the time
since it was received, both extended by the clock drift, plus `TRANSIT_ALLOWANCE_S`. The age is checked
whenever a verdict is queried, so that no evidence older than `ClusterBounds.evidence_s` counts, provided that
no datagram is under way for longer than `TRANSIT_ALLOWANCE_S`.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from paddlequay.cluster.types import NEVER, ClusterBounds, Fault, NameDigest, Peer, PeerChanged, PeerState
from paddlequay.cluster.verdict_rules import DOWN_FAULTS, Observation, fault_group

# Time that a peer's evidence may spend in the peer's outbox and on the network; always added to its age.
TRANSIT_ALLOWANCE_S = 0.5
MAX_SUBJECTS = 256  # more than the endpoint list has members near one router
MAX_WITNESSES_PER_SUBJECT = 64  # peers whose evidence is kept, per subject
MAX_ATTEMPT_COUNT = 1 << 20


@dataclass(slots=True)
class SubjectRecord:
    """The evidence on one subject and the state of its verdict. Times are seconds of this router's clock."""

    kind: str = ""
    start_ms: int = 0  # Unix time of the subject's start in this router's endpoint list
    own_observation: Observation | None = None
    last_served_at: float = -NEVER  # when it last served this router
    by_peer: dict[Peer, Observation] = field(default_factory=dict)
    last_report: Observation | None = None  # what was last sent to peers; `observed_at` is when it was sent
    report_at: float = NEVER  # when the next report is due
    witnesses_since: float | None = None  # since when enough routers observe a fault, whatever their weight
    majority_since: float | None = None  # since when these routers have the majority of the weight
    published: Fault | None = None  # the verdict that was last reported to other components
    published_until: float = 0.0


class EvidenceStore:
    """Keeps the records of the `MAX_SUBJECTS` most recently used subjects.

    It also keeps what decides whether a peer's evidence counts: the peer's incarnation and its state.
    """

    def __init__(self, bounds: ClusterBounds) -> None:
        self._max_age_s = bounds.evidence_s
        self._drift_factor = 1.0 + bounds.drift_ratio
        self._records: dict[NameDigest, SubjectRecord] = {}  # least recently used first
        self._incarnations: dict[Peer, int] = {}
        self._unreliable: set[Peer] = set()
        self.open_subjects: set[NameDigest] = set()  # subjects with a reported fault or a report to send
        self.is_isolated = False

    def get(self, subject: NameDigest) -> SubjectRecord | None:
        """Returns the record of a subject; None if there is no evidence on it."""
        return self._records.get(subject)

    def use(self, subject: NameDigest) -> SubjectRecord:
        """Returns the record of a subject, creating it if needed; may drop the least recently used one."""
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
        """Returns the open subjects with their records, in the order of their digests."""
        for subject in sorted(self.open_subjects):
            yield subject, self._records[subject]

    def add_own(
        self, record: SubjectRecord, kind: str, served: bool, fault: Fault | None, now: float
    ) -> None:
        """Records the end of an attempt of this router; an attempt that served may show a fault as well."""
        record.kind = kind
        if served:
            record.last_served_at = now
        observed = self._observed_fault(served, fault)
        count = 1
        if record.own_observation is not None and self._continues(
            record, record.own_observation, observed, now
        ):
            count = min(record.own_observation.attempt_count + 1, MAX_ATTEMPT_COUNT)
        record.own_observation = Observation(0, record.start_ms, observed, count, now, 0)

    @staticmethod
    def _observed_fault(served: bool, fault: Fault | None) -> int:
        if fault is not None:
            return int(fault)
        return 0 if served else int(Fault.FAILING)

    def _continues(self, record: SubjectRecord, own: Observation, fault: int, now: float) -> bool:
        """Returns whether an attempt repeats a fresh result, with no restart of the subject in between."""
        same_end = fault_group(own.fault) == fault_group(fault)
        same_start = own.subject_start_ms in (0, record.start_ms)
        return same_end and same_start and self.is_own_fresh(own, now)

    def accepts_incarnation(self, peer: Peer, incarnation: int) -> bool:
        """Returns whether an incarnation of a peer is at least the highest known one."""
        return incarnation >= self._incarnations.get(peer, 0)

    def note_incarnation(self, peer: Peer, incarnation: int) -> None:
        """Records an incarnation of a peer; evidence of earlier incarnations no longer counts."""
        self._incarnations[peer] = max(self._incarnations.get(peer, 0), incarnation)

    def add_of_peer(self, record: SubjectRecord, peer: Peer, observation: Observation) -> bool:
        """Records a peer's evidence.

        Returns False, and records nothing, if the record has more recent evidence from the same incarnation
        of the peer.
        """
        previous = record.by_peer.get(peer)
        if previous is None and len(record.by_peer) >= MAX_WITNESSES_PER_SUBJECT:
            oldest = min(record.by_peer, key=lambda other: record.by_peer[other].observed_at)
            del record.by_peer[oldest]
        same_process = previous is not None and previous.incarnation == observation.incarnation
        if previous is not None and same_process and previous.observed_at > observation.observed_at:
            return False
        record.by_peer[peer] = observation
        return True

    def apply_peer_state(self, event: PeerChanged) -> None:
        """Records a peer's new state, which decides whether the peer's evidence counts."""
        self.note_incarnation(event.peer, event.incarnation)
        if event.state in (PeerState.SUSPECT, PeerState.DEAD):
            self._unreliable.add(event.peer)
        else:
            self._unreliable.discard(event.peer)

    def observation_time(self, age_s: float, now: float) -> float:
        """Returns the time, by this router's clock, of an observation with a stated age of `age_s`."""
        return now - age_s * self._drift_factor

    def age_s(self, observation: Observation, now: float) -> float:
        """Returns the highest possible age of a peer's evidence, including clock drift and transit."""
        return (now - observation.observed_at) * self._drift_factor + TRANSIT_ALLOWANCE_S

    def is_fresh(self, observation: Observation, now: float) -> bool:
        """Returns whether a peer's evidence is recent enough to count."""
        return self.age_s(observation, now) <= self._max_age_s

    def is_own_fresh(self, own: Observation, now: float) -> bool:
        """Returns whether this router's own evidence is recent enough to count."""
        return now - own.observed_at <= self._max_age_s

    def other_serving_members(self, record: SubjectRecord, now: float) -> int:
        """Returns how many other members of a subject's kind serve this router.

        A member counts if it served recently and the last attempt on it showed none of the `DOWN_FAULTS`.
        """
        return sum(
            other is not record
            and other.kind == record.kind
            and now - other.last_served_at <= self._max_age_s
            and other.own_observation is not None
            and other.own_observation.fault not in DOWN_FAULTS
            for other in self._records.values()
        )

    def valid_evidence(self, record: SubjectRecord, now: float) -> list[Observation]:
        """Returns all valid evidence on a subject; this router's own evidence comes last."""
        valid = [
            observation
            for peer, observation in record.by_peer.items()
            if peer not in self._unreliable
            and self.accepts_incarnation(peer, observation.incarnation)
            and self.is_fresh(observation, now)
        ]
        own = record.own_observation
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
        """Returns False for a failing or silent subject if no other member serves the observing router.

        That router may then itself be isolated.
        """
        return observation.other_member_count > 0 or observation.fault not in DOWN_FAULTS
