"""The reply to a request after its fill ended, and whether the request may begin another fill."""

from dataclasses import dataclass

from paddlequay.hierarchy.fill_requests import FillRequest, FillResult, ReplyReason, ReplyStatus
from paddlequay.routing.interface import ReplyDetail

MIN_RESTART_TIME_S = 0.05  # time left before its deadline that a request needs to begin a fill of its own
REASON_OF_FAILURE = {
    ReplyDetail.SOURCE_REJECTED: ReplyReason.SOURCE_REJECTED,
    ReplyDetail.SOURCE_UNREACHABLE: ReplyReason.SOURCE_UNREACHABLE,
    ReplyDetail.SOURCE_MISS: ReplyReason.SOURCE_MISS,
    ReplyDetail.ORIGIN_FAILED: ReplyReason.ORIGIN_FAILED,
}


@dataclass(frozen=True, slots=True)
class FailureReply:
    """The status and reason of the reply to a request whose fill failed."""

    status: ReplyStatus
    reason: ReplyReason


def reply_to_failure(result: FillResult) -> FailureReply:
    """Returns the status and reason for the waiters of a failed fill.

    A rejection and a failure of the origin differ from a miss: asking another source would not help.
    """
    if result.is_rejected:
        return FailureReply(ReplyStatus.REJECTED, ReplyReason.SOURCE_REJECTED)
    if result.failure is ReplyDetail.ORIGIN_FAILED:
        return FailureReply(ReplyStatus.FAILED, ReplyReason.ORIGIN_FAILED)
    reason = ReplyReason.SOURCE_UNREACHABLE
    if result.failure is not None:
        reason = REASON_OF_FAILURE.get(result.failure, reason)
    return FailureReply(ReplyStatus.MISS, reason)


def reason_of_copy(result: FillResult, began_fill: bool) -> ReplyReason:
    """Returns the reason in a reply with a fill's copy; it shows whether the request began the fill."""
    if not began_fill:
        return ReplyReason.COALESCED
    return ReplyReason.FILLED_FROM_ORIGIN if result.from_origin else ReplyReason.FILLED


def has_restarts_left(request: FillRequest, max_restarts: int) -> bool:
    """Returns whether a request may begin another fill."""
    return request.may_fill and request.restarts < max_restarts


def may_restart_after(
    result: FillResult, request: FillRequest, began_fill: bool, max_restarts: int, now: float
) -> bool:
    """Returns whether a request that joined a failed fill may begin one of its own.

    The request that began the failed fill may have had less time left, or fewer sources that it could ask.

    Args:
        result: The result of the failed fill.
        request: The request.
        began_fill: Whether the request began the failed fill itself.
        max_restarts: How many fills a request may begin after its first one.
        now: The time in Unix seconds.
    """
    could_help = not result.is_rejected and result.failure is not ReplyDetail.ORIGIN_FAILED
    has_time = request.deadline > now + MIN_RESTART_TIME_S
    return could_help and has_time and not began_fill and has_restarts_left(request, max_restarts)
