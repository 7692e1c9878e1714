"""Maps requests to fields of the caches' protocol, and answers of caches to results of attempts."""

import math
from collections.abc import Mapping

from paddlequay.protocol import caches as wire
from paddlequay.protocol.load_reports import load_report
from paddlequay.requests.messages import AttemptResult, CopyStamp, UpstreamRequest
from paddlequay.routing.interface import NO_LOAD_REPORT, LoadReport, Outcome, ReplyDetail

OUTCOME_BY_STATUS = {
    "HIT": Outcome.SERVED,
    "VALID": Outcome.SERVED,
    "NONE": Outcome.MISS,
    "SHED": Outcome.REJECTED,
    "FAULT": Outcome.ERROR,
    "LATE": Outcome.NOT_SENT,
}
DETAIL_BY_WIRE_NAME = {
    "HIT": ReplyDetail.HIT,
    "MISS": ReplyDetail.FILLED,
    "MISS_ORIGIN": ReplyDetail.FILLED_FROM_ORIGIN,
    "COLLAPSED": ReplyDetail.COALESCED,
    "STALE": ReplyDetail.STALE,
    "UP_BUSY": ReplyDetail.SOURCE_REJECTED,
    "UP_DOWN": ReplyDetail.SOURCE_UNREACHABLE,
    "UP_MISS": ReplyDetail.SOURCE_MISS,
    "NO_FILL": ReplyDetail.FILL_LIMIT,
    "ORIGIN_ERR": ReplyDetail.ORIGIN_FAILED,
    "LOOP": ReplyDetail.FILL_LOOP,
    "OLD_TERM": ReplyDetail.STALE_TERM,
}
LOAD_NAME_BY_WIRE_NAME = {"inflight": "active", "util": "cpu"}  # from wire names to names in the settings
MS_PER_S = 1000.0
MAX_QUOTED_CHARS = 20  # of an invalid number that an error message quotes


def request_fields(request: UpstreamRequest) -> dict[str, str]:
    """Returns a request as fields of the caches' protocol, without fields that have their default value."""
    fields = {"queue": request.class_name, "path": request.object_name}
    if request.part is not None:
        fields["blk"] = str(request.part)
    fields["budget"] = str(max(1, int(request.time_left * MS_PER_S)))
    if request.source is not None:
        fields["via"] = request.source
    if request.retention:
        fields["tier"] = str(request.retention)
    if request.max_age is not None:
        fields["fresh"] = str(max(1, int(request.max_age * MS_PER_S)))
    options = {"join": request.coalesce, "held": request.only_if_cached, "renew": request.refresh}
    if any(options.values()):
        fields["opts"] = "+".join(name for name, is_set in options.items() if is_set)
    if request.known_tag is not None:
        fields["known"] = request.known_tag
    if request.idempotency_key is not None:
        fields["uniq"] = request.idempotency_key
    fields.update(request.extra_fields)
    return fields


def parse_number(text: str) -> float:
    """Returns a finite number. Raises `ValueError`: a `nan` would stay in every mean that includes it."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:MAX_QUOTED_CHARS]} is not a finite number")
    return value


def parse_load(text: str) -> LoadReport:
    """Returns the load report that `name:number` pairs give, separated by `;`. Raises `ValueError`."""
    pairs = (pair.partition(":") for pair in text.split(";"))
    return load_report(
        [(LOAD_NAME_BY_WIRE_NAME.get(name, name), parse_number(value)) for name, _, value in pairs]
    )


def parse_stamp(fields: Mapping[str, str]) -> CopyStamp | None:
    """Returns the stamp of the copy in an answer; None if the answer has none. Raises `ValueError`."""
    if "minted" not in fields:
        return None
    group = fields.get("lot")
    return CopyStamp(
        fields.get("tag", ""), int(fields["minted"]) / MS_PER_S, None if group is None else int(group)
    )


def parse_result(answer: wire.CacheAnswer) -> AttemptResult:
    """Returns the result of an attempt from its answer. Raises `CacheProtocolError` for an invalid answer."""
    try:
        source_wait_ms = answer.fields.get("lag")
        return AttemptResult(
            outcome=OUTCOME_BY_STATUS[answer.status],
            body=answer.body,
            not_modified=answer.status == "VALID",
            detail=DETAIL_BY_WIRE_NAME.get(answer.fields.get("detail", "")),
            source_wait=None if source_wait_ms is None else parse_number(source_wait_ms) / MS_PER_S,
            load_report=parse_load(answer.fields["use"]) if answer.fields.get("use") else NO_LOAD_REPORT,
            stamp=parse_stamp(answer.fields),
            loop_hint=answer.fields.get("next", ""),
        )
    except (KeyError, ValueError) as error:
        raise wire.CacheProtocolError(f"answer {answer.status}: {type(error).__name__} {error}") from None
