"""Derives evidence about members from the end of an attempt, where the end can be attributed to one member.

An attempt that failed because of the request itself, was slow, or was ended by this router gives no evidence:
verdicts are for members that fail for all routers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from paddlequay.cluster.types import Action, Fault, NameDigest
from paddlequay.cluster.verdicts import Verdicts
from paddlequay.routing.interface import Fetch, Member, Outcome, ReplyDetail

FILL_DETAILS = (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN)


@dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """The evidence of one attempt about one member. A member that served may have a fault as well."""

    member: str
    served: bool
    fault: Fault | None = None


def evidence_of_attempt(
    fetch: Fetch, outcome: Outcome, detail: ReplyDetail | None, unresponsive: bool, origin: str | None
) -> list[AttemptEvidence]:
    """Returns the evidence of an attempt about its target, its source and the origin behind the source.

    Args:
        fetch: the attempt.
        outcome: how the attempt ended.
        detail: what the target reported about the source; None if nothing.
        unresponsive: whether the target's connection had many open requests and delivered no answer.
        origin: the name of the origin; None if there is none.
    """
    if outcome is Outcome.SERVED:
        return _evidence_of_answer(fetch, detail, origin)
    if detail is ReplyDetail.ORIGIN_FAILED:
        return [AttemptEvidence(origin, False, Fault.FAILING)] if origin is not None else []
    is_fill = fetch.source != fetch.target
    if detail is ReplyDetail.SOURCE_UNREACHABLE and is_fill:
        return [AttemptEvidence(fetch.target, True), AttemptEvidence(fetch.source, False, Fault.SILENT)]
    if detail is ReplyDetail.SOURCE_REJECTED and is_fill:
        return [AttemptEvidence(fetch.target, True), AttemptEvidence(fetch.source, True, Fault.FULL)]
    if outcome is Outcome.MISS:
        return [AttemptEvidence(fetch.target, True)]
    if outcome is Outcome.CONNECT_FAILED or unresponsive:
        return [AttemptEvidence(fetch.target, False, Fault.SILENT)]
    if outcome is Outcome.RESET:
        return [AttemptEvidence(fetch.target, False, Fault.FAILING)]
    if outcome is Outcome.TIMEOUT and is_fill:
        # The target's connection works, so the target is waiting for its source.
        return [AttemptEvidence(fetch.source, False, Fault.SILENT)]
    return []


def _evidence_of_answer(
    fetch: Fetch, detail: ReplyDetail | None, origin: str | None
) -> list[AttemptEvidence]:
    """Returns evidence that the members that took part in an answer have served."""
    evidence = [AttemptEvidence(fetch.target, True)]
    if fetch.source != fetch.target and detail in FILL_DETAILS:
        evidence.append(AttemptEvidence(fetch.source, True))
    filled_from_origin = detail is ReplyDetail.FILLED_FROM_ORIGIN
    if filled_from_origin and origin is not None and origin != fetch.source:
        evidence.append(AttemptEvidence(origin, True))
    return evidence


def record_evidence(
    verdicts: Verdicts,
    attempt_evidence: Iterable[AttemptEvidence],
    find_member: Callable[[str], Member | None],
    digest_of: Callable[[str], NameDigest],
    now: float,
) -> list[Action]:
    """Passes the evidence of an attempt to the verdicts, and returns the actions that follow.

    Args:
        verdicts: this router's verdicts.
        attempt_evidence: the evidence of the attempt.
        find_member: returns a member of the endpoint list by name; evidence on other members is ignored.
        digest_of: returns the digest of a member's name.
        now: this router's clock in seconds.
    """
    actions: list[Action] = []
    for evidence in attempt_evidence:
        member = find_member(evidence.member)
        if member is not None:
            subject = digest_of(evidence.member)
            start_ms = int((member.started or 0.0) * 1000)
            kind = member.kind or ""
            actions += verdicts.record_attempt(subject, start_ms, kind, evidence.served, evidence.fault, now)
    return actions
