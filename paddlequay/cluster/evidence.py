"""What the end of an attempt shows about members: only what points at one member counts.

A request's own fault, a slow answer, or an end that this router caused shows nothing: a verdict is to name
the members that fail for everybody.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from paddlequay.cluster.types import Action, Fault, NameDigest
from paddlequay.cluster.verdicts import Verdicts
from paddlequay.routing.interface import Fetch, Member, Outcome, ReplyDetail

FILL_DETAILS = (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN)


@dataclass(frozen=True, slots=True)
class AttemptEvidence:
    """What an attempt has shown about one member. A member that served may have a fault as well."""

    member: str
    served: bool
    fault: Fault | None = None


def evidence_of_attempt(
    fetch: Fetch, outcome: Outcome, detail: ReplyDetail | None, unresponsive: bool, origin: str | None
) -> list[AttemptEvidence]:
    """Returns what an attempt's end shows about its target, its source and the origin behind that source.

    Args:
        fetch: the attempt.
        outcome: how it ended.
        detail: what the target said about the source, where it said anything.
        unresponsive: whether the target's connection was silent under many requests.
        origin: the name of the origin, None where there is none.
    """
    if outcome is Outcome.SERVED:
        return _evidence_of_answer(fetch, detail, origin)
    if detail is ReplyDetail.ORIGIN_FAILED:
        return [AttemptEvidence(origin, False, Fault.FAILING)] if origin is not None else []
    fills = fetch.source != fetch.target
    if detail is ReplyDetail.SOURCE_UNREACHABLE and fills:
        return [AttemptEvidence(fetch.target, True), AttemptEvidence(fetch.source, False, Fault.SILENT)]
    if detail is ReplyDetail.SOURCE_REJECTED and fills:
        return [AttemptEvidence(fetch.target, True), AttemptEvidence(fetch.source, True, Fault.FULL)]
    if outcome is Outcome.MISS:
        return [AttemptEvidence(fetch.target, True)]
    if outcome is Outcome.CONNECT_FAILED or unresponsive:
        return [AttemptEvidence(fetch.target, False, Fault.SILENT)]
    if outcome is Outcome.RESET:
        return [AttemptEvidence(fetch.target, False, Fault.FAILING)]
    if outcome is Outcome.TIMEOUT and fills:
        # The target's connection works, so the target waits for its source.
        return [AttemptEvidence(fetch.source, False, Fault.SILENT)]
    return []


def _evidence_of_answer(
    fetch: Fetch, detail: ReplyDetail | None, origin: str | None
) -> list[AttemptEvidence]:
    """Returns which members took part in an answer."""
    found = [AttemptEvidence(fetch.target, True)]
    if fetch.source != fetch.target and detail in FILL_DETAILS:
        found.append(AttemptEvidence(fetch.source, True))
    filled_from_origin = detail is ReplyDetail.FILLED_FROM_ORIGIN
    if filled_from_origin and origin is not None and origin != fetch.source:
        found.append(AttemptEvidence(origin, True))
    return found


def record_evidence(
    verdicts: Verdicts,
    found: Iterable[AttemptEvidence],
    find_member: Callable[[str], Member | None],
    digest_of: Callable[[str], NameDigest],
    now: float,
) -> list[Action]:
    """Gives the verdicts what an attempt has shown, and returns the actions that follow.

    Args:
        verdicts: this router's verdicts.
        found: what the attempt has shown.
        find_member: returns a member of the endpoint list by its name; evidence on others is ignored.
        digest_of: returns the digest of a member's name.
        now: this router's clock in seconds.
    """
    actions: list[Action] = []
    for evidence in found:
        member = find_member(evidence.member)
        if member is not None:
            subject = digest_of(evidence.member)
            start_ms = int((member.started or 0.0) * 1000)
            kind = member.kind or ""
            actions += verdicts.record_attempt(subject, start_ms, kind, evidence.served, evidence.fault, now)
    return actions
