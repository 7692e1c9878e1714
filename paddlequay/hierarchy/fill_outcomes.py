"""What a request is told of the fill that it waited for, and when it may wait for another one."""

from dataclasses import dataclass

from paddlequay.hierarchy.fill_requests import FillRequest, FillResult, ReplyReason, ReplyStatus
from paddlequay.routing.interface import ReplyDetail

MIN_RESTART_TIME_S = 0.05  # left before its deadline, for a request to begin a fill of its own
REASON_OF_FAILURE = {
    ReplyDetail.SOURCE_REJECTED: ReplyReason.SOURCE_REJECTED,
    ReplyDetail.SOURCE_UNREACHABLE: ReplyReason.SOURCE_UNREACHABLE,
    ReplyDetail.SOURCE_MISS: ReplyReason.SOURCE_MISS,
    ReplyDetail.ORIGIN_FAILED: ReplyReason.ORIGIN_FAILED,
}


@dataclass(frozen=True, slots=True)
class FailureReply:
    """The status and reason that a failed fill is replied with."""

    status: ReplyStatus
    reason: ReplyReason


def reply_to_failure(result: FillResult) -> FailureReply:
    """Returns what the waiters of a failed fill are told.

    A rejection and a failure of the origin are told apart from a miss: no other source would help.
    """
    if result.is_rejected:
        return FailureReply(ReplyStatus.REJECTED, ReplyReason.SOURCE_REJECTED)
    if result.failure is ReplyDetail.ORIGIN_FAILED:
        return FailureReply(ReplyStatus.FAILED, ReplyReason.ORIGIN_FAILED)
    reason = ReplyReason.SOURCE_UNREACHABLE
    if result.failure is not None:
        reason = REASON_OF_FAILURE.get(result.failure, reason)
    return FailureReply(ReplyStatus.MISS, reason)


def reason_of_copy(result: FillResult, has_begun_fill: bool) -> ReplyReason:
    """Returns where the copy of a fill came from, for the request that began it or for one that joined."""
    if not has_begun_fill:
        return ReplyReason.COALESCED
    return ReplyReason.FILLED_FROM_ORIGIN if result.from_origin else ReplyReason.FILLED


def has_restarts_left(request: FillRequest, max_restarts: int) -> bool:
    """Returns whether a request may begin a further fill."""
    return request.may_fill and request.restarts < max_restarts


def may_restart_after(
    result: FillResult, request: FillRequest, has_begun_fill: bool, max_restarts: int, now: float
) -> bool:
    """Returns whether a request that joined a failed fill may begin one of its own.

    It may have the time, or may ask the sources, that the request which began the fill had not.

    Args:
        result: How the fill failed.
        request: The request.
        has_begun_fill: Whether the request has begun the fill itself.
        max_restarts: The most fills that a request may begin after its first.
        now: The time in Unix seconds.
    """
    could_help = not result.is_rejected and result.failure is not ReplyDetail.ORIGIN_FAILED
    has_time = request.deadline > now + MIN_RESTART_TIME_S
    return could_help and has_time and not has_begun_fill and has_restarts_left(request, max_restarts)
