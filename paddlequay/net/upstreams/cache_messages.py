"""Requests to caches as fields of their protocol, and their answers as results."""

import math
from collections.abc import Mapping

from paddlequay.protocol import caches as wire
from paddlequay.protocol.load_reports import load_report
from paddlequay.requests.messages import AttemptResult, CopyStamp, UpstreamRequest
from paddlequay.routing.interface import NO_LOAD_REPORT, LoadReport, Outcome, ReplyDetail

OUTCOMES = {
    "HIT": Outcome.SERVED,
    "VALID": Outcome.SERVED,
    "NONE": Outcome.MISS,
    "SHED": Outcome.REJECTED,
    "FAULT": Outcome.ERROR,
    "LATE": Outcome.NOT_SENT,
}
DETAILS = {
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
LOAD_NAMES = {"inflight": "active", "util": "cpu"}  # the words of the settings' list of load fields


def request_fields(order: UpstreamRequest) -> dict[str, str]:
    """A request as fields of the caches' protocol; what has its default is left out."""
    fields = {"queue": order.class_name, "path": order.object_name}
    if order.part is not None:
        fields["blk"] = str(order.part)
    fields["budget"] = str(max(1, int(order.time_left * 1000)))
    if order.source is not None:
        fields["via"] = order.source
    if order.retention:
        fields["tier"] = str(order.retention)
    if order.max_age is not None:
        fields["fresh"] = str(max(1, int(order.max_age * 1000)))
    options = {"join": order.coalesce, "held": order.only_if_cached, "renew": order.refresh}
    if any(options.values()):
        fields["opts"] = "+".join(word for word, wanted in options.items() if wanted)
    if order.known_tag is not None:
        fields["known"] = order.known_tag
    if order.idempotency_key is not None:
        fields["uniq"] = order.idempotency_key
    fields.update(order.extra_fields)
    return fields


def parse_figure(text: str) -> float:
    """A finite number: one `nan` would stay in every mean that it enters."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is no figure")
    return value


def parse_load(text: str) -> LoadReport:
    """Returns the load report of `name:figure` pairs; raises `ValueError`."""
    pairs = (pair.partition(":") for pair in text.split(";"))
    return load_report([(LOAD_NAMES.get(name, name), parse_figure(value)) for name, _, value in pairs])


def parse_stamp(fields: Mapping[str, str]) -> CopyStamp | None:
    """Which copy an answer carries, where it says so."""
    if "minted" not in fields:
        return None
    group = fields.get("lot")
    return CopyStamp(
        fields.get("tag", ""), int(fields["minted"]) / 1000.0, None if group is None else int(group)
    )


def parse_result(answer: wire.CacheAnswer) -> AttemptResult:
    """An answer as the result of its attempt; raises `CacheProtocolError`."""
    try:
        lag = answer.fields.get("lag")
        return AttemptResult(
            outcome=OUTCOMES[answer.status],
            body=answer.body,
            not_modified=answer.status == "VALID",
            detail=DETAILS.get(answer.fields.get("detail", "")),
            source_wait=None if lag is None else parse_figure(lag) / 1000.0,
            load_report=parse_load(answer.fields["use"]) if answer.fields.get("use") else NO_LOAD_REPORT,
            stamp=parse_stamp(answer.fields),
            loop_hint=answer.fields.get("next", ""),
        )
    except (KeyError, ValueError) as error:
        raise wire.CacheProtocolError(f"answer {answer.status}: {type(error).__name__} {error}") from None
