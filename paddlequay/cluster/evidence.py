"""What the end of an attempt is evidence of, for the fleet's word: only what points at one member.

A request's own fault, a slow answer, an end of this router's own making say nothing: the fleet's word is to
tell of members that fail for everybody.
"""

from paddlequay.cluster.types import Fault
from paddlequay.routing.interface import Fetch, Outcome, ReplyDetail

FILLS = (ReplyDetail.FILLED, ReplyDetail.FILLED_FROM_ORIGIN)
Found = tuple[str, bool, Fault | None]  # a member, whether it has served, and what is wrong with it


def found(
    fetch: Fetch, outcome: Outcome, note: ReplyDetail | None, silent: bool, origin: str | None
) -> list[Found]:
    """What an attempt's end shows of its target, its source and the origin behind that one."""
    target, source = fetch.target, fetch.source
    fills = source != target
    if outcome is Outcome.SERVED:
        shown: list[Found] = [(target, True, None)]
        if fills and note in FILLS:
            shown.append((source, True, None))
        if note is ReplyDetail.FILLED_FROM_ORIGIN and origin is not None and origin != source:
            shown.append((origin, True, None))
        return shown
    if note is ReplyDetail.ORIGIN_FAILED:
        return [(origin, False, Fault.FAILING)] if origin is not None else []
    if note is ReplyDetail.SOURCE_UNREACHABLE and fills:
        return [(target, True, None), (source, False, Fault.SILENT)]
    if note is ReplyDetail.SOURCE_REJECTED and fills:
        return [(target, True, None), (source, True, Fault.FULL)]
    if outcome is Outcome.MISS:
        return [(target, True, None)]
    if outcome is Outcome.CONNECT_FAILED or silent:
        return [(target, False, Fault.SILENT)]
    if outcome is Outcome.RESET:
        return [(target, False, Fault.FAILING)]
    if outcome is Outcome.TIMEOUT and fills:
        # The target's connection is alive, and what it waits for is its source.
        return [(source, False, Fault.SILENT)]
    return []
